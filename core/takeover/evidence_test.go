package takeover

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against a commit that is reported although a promotion may lose it, and against one that is
// not reported although every possible successor holds it.
func TestEvidenceHolds(t *testing.T) {
	at := pos(1, 10)
	holder := func(name string, received entity.Position, listed bool) Holder {
		return Holder{Name: entity.Upstream(name), Listed: listed, Reached: true, Term: received.Term, Received: received}
	}
	leader := func(name string, received entity.Position) Holder {
		h := holder(name, received, true)
		h.Primary = true
		return h
	}
	ordered := func(names ...entity.Upstream) Evidence { return Evidence{Ordered: names} }
	departing := func(e Evidence) Evidence {
		e.Departing = []entity.Upstream{"b"}
		return e
	}
	for _, c := range []struct {
		name     string
		evidence Evidence
		members  []Holder
		want     bool
	}{
		{"the target holds it", ordered("b"), []Holder{holder("b", pos(1, 10), true)}, true},
		{"the target lacks it", ordered("b"), []Holder{holder("b", pos(1, 9), true), holder("c", pos(1, 10), true)}, false},
		{"one of two targets lacks it", ordered("b", "c"), []Holder{holder("b", pos(1, 10), true), holder("c", pos(1, 9), true)}, false},
		{"the target does not answer", ordered("b"), []Holder{{Name: "b", Listed: true}}, false},
		{"the target's log is of a later term", ordered("b"), []Holder{holder("b", pos(2, 11), true)}, false},
		{"the target is the primary", ordered("a"), nil, true},
		{"a takeover began after the target became the primary", Evidence{Ordered: []entity.Upstream{"a"}, Claimed: true},
			[]Holder{holder("d", pos(1, 10), false)}, false},
		{"a listed replica holds it as well then", Evidence{Ordered: []entity.Upstream{"a"}, Claimed: true},
			[]Holder{holder("b", pos(1, 10), true)}, true},
		{"a replica that joined after the claim", Evidence{Claimed: true}, []Holder{holder("d", pos(1, 10), false)}, false},
		{"a replica that was listed before the claim", Evidence{Claimed: true}, []Holder{holder("b", pos(1, 10), true)}, true},
		{"only the primary holds it", Evidence{Uncertain: true}, []Holder{holder("a", pos(1, 10), true)}, false},
		{"a known replica holds it", Evidence{Uncertain: true}, []Holder{holder("b", pos(1, 10), true)}, true},
		{"the next primary is not known", Evidence{Replaced: true}, []Holder{holder("b", pos(1, 10), true)}, false},
		{"the next primary holds it", Evidence{Replaced: true, Leader: "b"}, []Holder{leader("b", pos(1, 10))}, true},
		{"the one that is taken for the next primary does not lead", Evidence{Replaced: true, Leader: "b"},
			[]Holder{holder("b", pos(1, 10), true)}, false},
		{"only a replica that leaves holds it", departing(Evidence{}), []Holder{holder("b", pos(1, 10), true), holder("c", pos(1, 9), true)}, false},
		{"a replica that stays holds it", departing(Evidence{}), []Holder{holder("c", pos(1, 10), true)}, true},
		{"the replica that leaves was listed before the claim", departing(Evidence{Claimed: true}), []Holder{holder("b", pos(1, 10), true)}, false},
		{"the target leaves", departing(ordered("b")), []Holder{holder("b", pos(1, 10), true)}, false},
		{"the target leaves and another one holds it as well", departing(ordered("b")),
			[]Holder{holder("b", pos(1, 10), true), holder("c", pos(1, 10), true)}, true},
		{"the next primary and only a replica that leaves hold it", departing(Evidence{Replaced: true, Leader: "c"}),
			[]Holder{leader("c", pos(1, 10)), holder("b", pos(1, 10), true)}, false},
		{"a takeover began after the next primary", Evidence{Replaced: true, Leader: "b", Claimed: true}, []Holder{leader("b", pos(1, 10))}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			assert.Assert(t, c.evidence.Required())
			assert.Equal(t, c.evidence.Holds("a", at, c.members), c.want)
		})
	}
}
