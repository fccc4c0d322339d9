package managed

import (
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// stages records the time that a statement spent in each stage, summed over its tries.
type stages struct {
	// queue is the time waiting for a permit, connect the time opening a connection, confirm
	// the time confirming the primary, and run the time at the upstream or gateway.
	queue, connect, confirm, run time.Duration
	// tries counts the granted permits and the statements sent to an upstream or gateway;
	// member is the last one used.
	tries  int
	member entity.Upstream
	// source is the role of the last member: primary or replica.
	source telemetry.Source
	// floor is the minimum position of the last read, zero if there was none.
	floor entity.Position
	// lagged, busy and readOnly count the tries that the upstream refused with these codes.
	lagged, busy, readOnly int
}

// addElapsed adds the time since start to a stage.
func addElapsed(stage *time.Duration, start entity.Time) { *stage += now().Sub(start) }

func (s *stages) logFields() logrus.Fields {
	fields := logrus.Fields{
		"queue_ms": s.queue.Milliseconds(), "connect_ms": s.connect.Milliseconds(), "proof_ms": s.confirm.Milliseconds(),
		"run_ms": s.run.Milliseconds(), "tries": s.tries, "peer": s.member,
	}
	if !s.floor.IsZero() {
		fields["floor_term"], fields["floor_offset"] = s.floor.Term, s.floor.Offset
	}
	for name, count := range map[string]int{"lagged": s.lagged, "busy": s.busy, "read_only": s.readOnly} {
		if count > 0 {
			fields[name] = count
		}
	}
	return fields
}
