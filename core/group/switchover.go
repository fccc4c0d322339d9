package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// SetLeaving sets or clears the mark of a member whose VM is being removed.
func (g *Group) SetLeaving(upstream entity.Upstream, leaving bool) {
	if i := g.index(upstream); i >= 0 {
		g.members[i].leaving = leaving
	}
}

// RequestSwitchover asks to replace a leaving primary by another member. The
// promotion starts once a member that is not leaving has the primary's whole log,
// so that no acknowledged write is lost. The owner must send the primary no writes
// meanwhile.
func (g *Group) RequestSwitchover() { g.switchoverRequested = true }

// isSwitchoverReady reports whether a switchover was requested and an answering
// member that is not leaving has the leaving primary's whole log.
func (g *Group) isSwitchoverReady(now entity.Time, primary *member) bool {
	if !g.switchoverRequested || !primary.leaving {
		return false
	}
	for i := range g.members {
		m := &g.members[i]
		if m != primary && !m.leaving && g.isAnswering(now, m) && !logEnd(&m.status).Less(primary.status.Log) {
			return true
		}
	}
	return false
}

// isBetterTarget reports whether to promote member i rather than j: i has a longer
// log, or an equal one while only j is leaving.
func (g *Group) isBetterTarget(i, j int) bool {
	a, b := &g.members[i], &g.members[j]
	if a.fencedEnd != b.fencedEnd {
		return b.fencedEnd.Less(a.fencedEnd)
	}
	return b.leaving && !a.leaving
}

// SetProbeInterval changes the time between rounds while no caller waits for one.
func (g *Group) SetProbeInterval(interval time.Duration) { g.config.ProbeInterval = interval }
