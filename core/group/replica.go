package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Eligible reports whether a member may serve a read that must see every write up
// to the position floor, and whose data may be at most maxAge old.
//
// The primary is eligible while its last confirmation is at most maxAge old, so
// that an isolated former primary does not count as up to date. Reads with maxAge 0
// are therefore not decided here: they run on the primary and are confirmed by a
// round that starts after they arrived. A member that failed SuspectProbes
// consecutive probes is not eligible.
func (g *Group) Eligible(now entity.Time, upstream entity.Upstream, floor entity.Position, maxAge time.Duration) bool {
	i := g.index(upstream)
	if i < 0 {
		return false
	}
	m := &g.members[i]
	if m.detector.failures() >= g.config.SuspectProbes {
		return false
	}
	age, ok := g.dataAge(now, m)
	return ok && age <= maxAge && g.meetsFloor(m, floor)
}

// Lag returns an upper bound on the age of the data that a member has applied, and
// whether it is known.
func (g *Group) Lag(now entity.Time, upstream entity.Upstream) (time.Duration, bool) {
	i := g.index(upstream)
	if i < 0 {
		return 0, false
	}
	return g.dataAge(now, &g.members[i])
}

// dataAge returns an upper bound on the age of a member's data. It uses samples of
// confirmed rounds only: the position of a primary that had already been replaced
// would make a replica of the old history look up to date.
func (g *Group) dataAge(now entity.Time, m *member) (time.Duration, bool) {
	if !m.hasStatus {
		return 0, false
	}
	if g.isConfirmedPrimary(m) {
		return now.Sub(g.lastConfirmation.start), true
	}
	at, ok := g.samples.appliedUntil(&m.status)
	return now.Sub(at), ok
}

// isConfirmedPrimary reports whether the last confirmed round confirmed the member
// as primary in the term that it reports now.
func (g *Group) isConfirmedPrimary(m *member) bool {
	return m.status.Primary && m.name == g.lastConfirmation.primary && m.status.Term == g.lastConfirmation.term
}

// meetsFloor reports whether reads at a member see every write up to floor.
func (g *Group) meetsFloor(m *member, floor entity.Position) bool {
	if m.status.Primary && floor.Term == m.status.Term {
		return true
	}
	return hasApplied(&m.status, floor)
}
