package placement

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// nearCandidate returns a replica in the same zone.
func nearCandidate(running int) Candidate {
	return Candidate{Name: "near", Running: running, Latency: 40 * time.Millisecond, Connected: true}
}

// Guards against reads that leave their zone needlessly, and against reads that
// queue at a busy member while another one is free.
func TestReadsStayNearUntilItIsCrowded(t *testing.T) {
	far := Candidate{Name: "far", Distance: OtherRegion, Latency: 64 * time.Millisecond, Connected: true}
	assert.Assert(t, Better(nearCandidate(0), far))
	assert.Assert(t, Better(nearCandidate(3), far))
	assert.Assert(t, Better(far, nearCandidate(6)))
}

// Guards against reads that use slots of the primary although a replica is equally
// near.
func TestReplicaBeforePrimary(t *testing.T) {
	primary := nearCandidate(0)
	primary.Name, primary.Primary = "a", true
	assert.Assert(t, Better(nearCandidate(0), primary))
}

// Guards against a choice that depends on the order in which members are compared.
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
			t.Fatalf("%+v and %+v are not ordered", a, b)
		}
	})
}
