package managed

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against replicas whose word counts although they take their log with them, and against
// commits that cannot be reported because nothing else is left.
func TestDepartingReplicas(t *testing.T) {
	const listed, leaving, missing = 0, 1, 2
	for _, c := range []struct {
		name   string
		states map[entity.Upstream]int
		lost   bool
		want   []entity.Upstream
	}{
		{"all stay", map[entity.Upstream]int{"b": listed, "c": listed}, false, nil},
		{"one leaves", map[entity.Upstream]int{"b": leaving, "c": listed}, false, []entity.Upstream{"b"}},
		{"one is missing", map[entity.Upstream]int{"b": listed, "c": missing}, false, []entity.Upstream{"c"}},
		{"one was lost", map[entity.Upstream]int{"b": listed}, true, []entity.Upstream{"z"}},
		{"all leave", map[entity.Upstream]int{"b": leaving, "c": leaving}, true, nil},
		{"all are missing", map[entity.Upstream]int{"b": missing, "c": missing}, false, nil},
		{"one leaves, the other is missing", map[entity.Upstream]int{"b": leaving, "c": missing}, false, []entity.Upstream{"b"}},
	} {
		t.Run(c.name, func(t *testing.T) {
			d := newDirectoryTest()
			d.putMember(Member{Name: "a"}, 0, Revision{})
			d.setPrimary(d.members["a"], 1, "test")
			for name, state := range c.states {
				d.putMember(Member{Name: name, Leaving: state == leaving}, 0, Revision{})
				if state == missing {
					d.removeMember(name)
				}
			}
			if c.lost {
				d.recordLostReplica(now(), "z")
			}
			assert.DeepEqual(t, d.departing(d.primary, now()), c.want)
		})
	}
}
