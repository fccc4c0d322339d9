package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// SetLeaving marks a member whose VM leaves, or takes the mark back.
func (g *Group) SetLeaving(upstream entity.Upstream, leaving bool) {
	if i := g.index(upstream); i >= 0 {
		g.members[i].leaving = leaving
	}
}

// RequestSwitchover asks for another primary in place of a leaving one. The promotion
// starts once a member that stays holds all that the primary holds, so that no
// acknowledged write is lost. The owner sends the primary no writes meanwhile.
func (g *Group) RequestSwitchover() { g.handOver = true }

// isHandOverDue reports whether a leaving primary can be replaced now.
func (g *Group) isHandOverDue(now entity.Time, leader *member) bool {
	if !g.handOver || !leader.leaving {
		return false
	}
	for i := range g.members {
		m := &g.members[i]
		if m != leader && !m.leaving && g.isAnswering(now, m) && !logEnd(&m.status).Less(leader.status.Log) {
			return true
		}
	}
	return false
}

// isBetterTarget reports whether member i is to be promoted rather than j: it
// holds more, or as much while j leaves.
func (g *Group) isBetterTarget(i, j int) bool {
	a, b := &g.members[i], &g.members[j]
	if a.fencedEnd != b.fencedEnd {
		return b.fencedEnd.Less(a.fencedEnd)
	}
	return b.leaving && !a.leaving
}

// SetProbeInterval changes the time between rounds while no one waits.
func (g *Group) SetProbeInterval(interval time.Duration) { g.config.ProbeInterval = interval }
