package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// uncertainProbeDivisor divides the probe interval while the primary is
	// uncertain, so that SuspectProbes probes have failed by SuspectAfter and
	// competing owners notice each other's promotions sooner. It shortens the
	// median time without a primary from 870 to 842 ms, and the longest one with
	// two competing owners from 1281 to 1206 ms.
	uncertainProbeDivisor = 4
	// healthyFreshInterval is the time between rounds on new connections while
	// the primary answers.
	healthyFreshInterval = 2 * time.Second
	// uncertainFailures is the number of failed probes after which the primary,
	// or a member's persistent connection, counts as uncertain.
	uncertainFailures = 2
)

// failureDetector counts the failed probes of one member. Probes run on the
// member's persistent control connection or on a new ("fresh") one.
type failureDetector struct {
	// silentSince is the time of the last answer, or of the owner's start, plus
	// the owner's own pauses since. It is not the start of the first failed
	// probe, which an idle owner sends up to ProbeInterval later. It is 0 from
	// resetFailureDetectors to the next answer, so that only the counts matter.
	silentSince entity.Time
	// persistentFailures and freshFailures count the failed probes on the
	// persistent and on fresh connections since the last answer on either.
	persistentFailures, freshFailures int
	// persistentStreak counts the failed probes on the persistent connection
	// since the last answer on that connection.
	persistentStreak int
	// lastFreshProbe is the start of the last probe on a fresh connection.
	lastFreshProbe entity.Time
}

func (d *failureDetector) recordAnswer(now entity.Time, fresh bool) {
	d.silentSince = now
	d.persistentFailures, d.freshFailures = 0, 0
	if !fresh {
		d.persistentStreak = 0
	}
}

func (d *failureDetector) failures() int { return d.persistentFailures + d.freshFailures }

func (d *failureDetector) recordFailure(fresh bool) {
	if fresh {
		d.freshFailures++
		return
	}
	d.persistentFailures++
	d.persistentStreak++
}

// primaryLossDetection is the state from which the owner decides whether the
// group has lost its primary.
type primaryLossDetection struct {
	// noPrimary is set while no member is primary in the highest term seen.
	noPrimary      bool
	noPrimarySince entity.Time
	// promotionDelay is how long to wait without a primary before a promotion.
	promotionDelay time.Duration
	// firstCountedRound is the first round whose failures count. Failures of
	// probes that were in flight while the owner was paused or isolated say
	// nothing about the members.
	firstCountedRound RoundID
	// isolated is set while no majority of members answers this owner.
	isolated bool
}

// recordProbeFailure counts a failed probe of member i. If a later probe was
// answered, it counts only against the persistent connection.
func (g *Group) recordProbeFailure(r *round, i int) {
	m := &g.members[i]
	if r.doneMembers.has(i) {
		return
	}
	r.doneMembers = r.doneMembers.with(i)
	if r.id < g.detection.firstCountedRound {
		return
	}
	if r.id > m.answeredRound {
		m.detector.recordFailure(r.freshMembers.has(i))
	} else if !r.freshMembers.has(i) {
		m.detector.persistentStreak++
	}
}

// needsFreshConnection reports whether to probe a member on a fresh connection
// because its persistent one stopped answering. It limits the connect rate.
func (g *Group) needsFreshConnection(m *member, now entity.Time) bool {
	gap := 2 * g.config.ProbeInterval / uncertainProbeDivisor
	return m.detector.persistentStreak >= uncertainFailures && now.Sub(m.detector.lastFreshProbe) >= gap
}

// handlePause discards state that a pause of the owner made unreliable: it resets
// the failure counts, excludes the pause from the members' silent time, and
// abandons a running promotion, since another owner may have promoted meanwhile.
func (g *Group) handlePause(pause time.Duration) {
	g.detection.firstCountedRound = g.rounds.next
	g.detection.noPrimarySince = g.detection.noPrimarySince.Add(pause)
	for i := range g.members {
		d := &g.members[i].detector
		d.silentSince = d.silentSince.Add(pause)
		d.persistentFailures, d.freshFailures, d.persistentStreak = 0, 0, 0
	}
	g.abandonPromotion()
}

// recordTerm records a term that a member reported. A term that another owner
// fenced restarts the promotion delay, to give that owner time to promote.
func (g *Group) recordTerm(now entity.Time, term uint64) {
	if term <= g.highestTerm {
		return
	}
	g.highestTerm = term
	if term > g.promotion.lastFencedTerm {
		g.detection.noPrimarySince = now
		g.detection.promotionDelay = g.config.SuspectAfter
	}
}

// updatePrimaryLoss tracks whether, and since when, there is no primary.
func (g *Group) updatePrimaryLoss(now entity.Time) {
	d := &g.detection
	noPrimary := g.currentPrimary() == nil
	if noPrimary && !d.noPrimary {
		d.noPrimarySince = now
		d.promotionDelay = g.config.SuspectAfter
		if g.isOwnTermPending() {
			// The primary's loss was already detected before this promotion.
			d.promotionDelay = 0
		}
	}
	d.noPrimary = noPrimary
}

// isPrimaryUncertain reports whether the primary is unknown or failed to answer
// uncertainFailures probes. It makes probes more frequent.
func (g *Group) isPrimaryUncertain() bool {
	primary := g.currentPrimary()
	return primary == nil || primary.detector.failures() >= uncertainFailures
}

// isUnresponsive reports whether a member failed enough probes for long enough,
// on both persistent and fresh connections, to count as lost.
func (g *Group) isUnresponsive(now entity.Time, m *member) bool {
	d := &m.detector
	return d.failures() >= g.config.SuspectProbes &&
		min(d.persistentFailures, d.freshFailures) >= g.config.SuspectProbes/2 &&
		now.Sub(d.silentSince) >= g.config.SuspectAfter
}

// isAnswering reports whether a member answered a recent probe.
func (g *Group) isAnswering(now entity.Time, m *member) bool {
	return m.answeredRound != 0 && now.Sub(m.answeredRoundStart) <= 2*g.config.ProbeTimeout
}

// answeringMembers returns the members that answered a recent probe.
func (g *Group) answeringMembers(now entity.Time) memberSet {
	var set memberSet
	for i := range g.members {
		if g.isAnswering(now, &g.members[i]) {
			set = set.with(i)
		}
	}
	return set
}

// isPrimaryLost reports whether a promotion is due: a majority answers, and either
// the primary is unresponsive or ready for a switchover, or no member has been
// primary in the highest term for promotionDelay and each one has reported a status
// or is unresponsive.
func (g *Group) isPrimaryLost(now entity.Time) bool {
	if g.answeringMembers(now).len() < g.majority() {
		g.detection.isolated = true
		return false
	}
	if g.detection.isolated {
		g.detection.isolated = false
		g.resetFailureDetectors()
		return false
	}
	if primary := g.currentPrimary(); primary != nil {
		return g.isUnresponsive(now, primary) || g.isSwitchoverReady(now, primary)
	}
	if now.Sub(g.detection.noPrimarySince) < g.detection.promotionDelay {
		return false
	}
	for i := range g.members {
		m := &g.members[i]
		if !m.hasStatus && !g.isUnresponsive(now, m) {
			return false
		}
	}
	return true
}

// resetFailureDetectors discards the failure state of all members. Probes that failed
// while the owner was isolated are no evidence against them: once the partition heals,
// the replicas may answer before a healthy primary does.
func (g *Group) resetFailureDetectors() {
	g.detection.firstCountedRound = g.rounds.next
	for i := range g.members {
		g.members[i].detector = failureDetector{}
	}
}
