package telemetry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against flooding the log during an outage, and against wrong counts of omitted
// lines.
func TestRepeatsLogFirstThenEveryInterval(t *testing.T) {
	var r RepeatLimiter
	start := time.Unix(0, 0)
	dead := Problem{Event: "upstream_connect_failed", Step: "connect_upstream", Peer: "u1"}
	var lines []string
	for at := time.Duration(0); at <= 25*time.Second; at += time.Second {
		if omitted, ok := r.Admit(start.Add(at), dead); ok {
			lines = append(lines, fmt.Sprint(at, " ", omitted))
		}
	}
	assert.DeepEqual(t, lines, []string{"0s 0", "10s 9", "20s 9"})
	omitted, ok := r.Admit(start.Add(time.Minute), dead)
	assert.Assert(t, ok)
	assert.Equal(t, omitted, 5)
}

// Guards against a problem that suppresses the log lines of another one.
func TestRepeatsKeepProblemsApart(t *testing.T) {
	var r RepeatLimiter
	now := time.Unix(0, 0)
	for _, peer := range []string{"u1", "u2"} {
		_, ok := r.Admit(now, Problem{Event: "upstream_connect_failed", Peer: peer})
		assert.Assert(t, ok, peer)
	}
}

// Guards against memory use that grows with the number of peers.
func TestRepeatsAreBounded(t *testing.T) {
	var r RepeatLimiter
	now := time.Unix(0, 0)
	for i := range 3 * maxProblems {
		r.Admit(now, Problem{Peer: fmt.Sprint(i)})
		assert.Assert(t, len(r.problems) <= maxProblems)
	}
}
