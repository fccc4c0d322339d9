package managed

import (
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// stages tells where the time of a statement went. A retried statement adds up
// its tries.
type stages struct {
	// queue is the wait for a permit, connect the opening of a connection, proof
	// the confirmation of the primary, and run the upstream's own time.
	queue, connect, proof, run time.Duration
	// tries counts the permits, member is the last one's.
	tries  int
	member entity.Upstream
	// source is the kind of the last member.
	source telemetry.Source
	// floor is the position that the last read had to see.
	floor entity.Position
	// lagged, busy and readOnly count the tries that the upstream refused so.
	lagged, busy, readOnly int
}

// since adds the time from start to a stage.
func since(stage *time.Duration, start entity.Time) { *stage += now().Sub(start) }

func (s *stages) fields() logrus.Fields {
	fields := logrus.Fields{
		"queue_ms": s.queue.Milliseconds(), "connect_ms": s.connect.Milliseconds(), "proof_ms": s.proof.Milliseconds(),
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
