package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func near(running int) Candidate {
	return Candidate{Name: "near", Running: running, Latency: 40 * time.Millisecond, Connected: true}
}

// Guards against reads that leave their zone without need, and against reads that
// stay at a crowded member while another one is free.
func TestReadsStayNearUntilItIsCrowded(t *testing.T) {
	far := Candidate{Name: "far", Distance: OtherRegion, Latency: 64 * time.Millisecond, Connected: true}
	assert.Assert(t, Better(near(0), far))
	assert.Assert(t, Better(near(3), far))
	assert.Assert(t, Better(far, near(6)))
}

// Guards against reads that take the primary's slots while a replica is as near.
func TestReplicaBeforePrimary(t *testing.T) {
	primary := near(0)
	primary.Name, primary.Primary = "a", true
	assert.Assert(t, Better(near(0), primary))
}

// Guards against a choice that depends on the order in which members are looked at.
func TestOrderIsTotal(t *testing.T) {
	candidate := rapid.Custom(func(t *rapid.T) Candidate {
		return Candidate{
			Name:     entity.Upstream(rapid.StringMatching("[a-c]{2}").Draw(t, "name")),
			Distance: rapid.IntRange(SameZone, OtherRegion).Draw(t, "distance"),
			Running:  rapid.IntRange(0, 3).Draw(t, "running"),
			Primary:  rapid.Bool().Draw(t, "primary"),
			Latency:  time.Duration(rapid.IntRange(0, 3).Draw(t, "latency")) * 20 * time.Millisecond,
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		a, b := candidate.Draw(t, "a"), candidate.Draw(t, "b")
		if a.Name != b.Name && Better(a, b) == Better(b, a) {
			t.Fatalf("%+v and %+v have no order", a, b)
		}
	})
}
