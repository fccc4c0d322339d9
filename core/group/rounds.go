package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// roundHistorySize is the number of rounds whose results are kept. At one round per
// 2 ms it covers 512 ms, more than three times the probe timeout.
const roundHistorySize = 256

// round is a probe round that has started.
type round struct {
	id    RoundID
	start entity.Time
	// freshMembers are the members probed on a new connection, doneMembers those
	// whose probe was answered or failed.
	freshMembers memberSet
	doneMembers  memberSet
	result       RoundResult
}

// roundTable holds the last rounds in a ring buffer. An answer to a later round also
// confirms earlier ones, so rounds are decided in order and the pending ones are
// always the last ones.
type roundTable struct {
	ring [roundHistorySize]round
	// next is the ID of the next round to start.
	next RoundID
	// firstPending is the oldest round that may be pending.
	firstPending RoundID
	// firstUnexpired is the oldest round whose probes have not timed out.
	firstUnexpired RoundID
	// lastStart is the start of the last round, lastFreshStart that of the last
	// round on fresh connections.
	lastStart      entity.Time
	lastFreshStart entity.Time
	// requested is set while a caller waits for the next round.
	requested bool
}

// confirmation describes a round that confirmed a member as primary of a term.
type confirmation struct {
	round   RoundID
	start   entity.Time
	primary entity.Upstream
	term    uint64
}

// get returns a started round, or nil if it is no longer in the ring.
func (t *roundTable) get(id RoundID) *round {
	r := &t.ring[id%roundHistorySize]
	if id == 0 || r.id != id {
		return nil
	}
	return r
}

// RequestRound returns the ID of a round that starts at now or later. All callers
// that ask before that round starts share it.
func (g *Group) RequestRound(now entity.Time) RoundID {
	g.rounds.requested = true
	return g.rounds.next
}

// Round returns the result of a round. A round that is too old to be kept counts
// as failed.
func (g *Group) Round(id RoundID) RoundResult {
	if id >= g.rounds.next {
		return RoundResult{}
	}
	if r := g.rounds.get(id); r != nil {
		return r.result
	}
	return RoundResult{State: RoundFailed}
}

// StepProbe handles a member's answer to a probe.
//
// It first fails the rounds that have timed out: an answer that waited in a socket
// while the owner was paused proves nothing about the time since it was sent.
func (g *Group) StepProbe(now entity.Time, answer ProbeAnswer) {
	g.beginCall(now)
	g.expireProbes(now)
	i := g.index(answer.Upstream)
	r := g.rounds.get(answer.Round)
	if i < 0 || r == nil {
		return
	}
	if answer.Failed {
		g.recordProbeFailure(r, i)
		return
	}
	g.recordProbeAnswer(now, r, i, answer.Status)
	g.resolveRounds()
	g.updatePrimaryLoss(now)
	g.endObsoletePromotion(now)
}

// recordProbeAnswer stores member i's answer. The status in it is ignored if a later
// round was already answered, or if it is older than the known status.
func (g *Group) recordProbeAnswer(now entity.Time, r *round, i int, status entity.MemberStatus) {
	m := &g.members[i]
	r.doneMembers = r.doneMembers.with(i)
	m.detector.recordAnswer(now, r.freshMembers.has(i))
	m.updateRoundTrip(now.Sub(r.start))
	if r.id <= m.answeredRound {
		return
	}
	m.answeredRound, m.answeredRoundStart = r.id, r.start
	if m.hasStatus && status.Term < m.status.Term {
		return
	}
	if r.id < m.statusFromRound && status.Term == m.status.Term && !status.Primary {
		return
	}
	g.storeStatus(now, m, status)
	if status.Primary {
		m.primaryRound = r.id
	}
}

// resolveRounds confirms or fails the rounds that can be decided from the answers
// received so far.
func (g *Group) resolveRounds() {
	primary := g.highestTermPrimary()
	if primary == nil || primary.primaryRound == 0 {
		return
	}
	if g.highestTerm > primary.status.Term {
		g.failRounds(primary.primaryRound)
		return
	}
	g.confirmRounds(min(primary.primaryRound, g.majorityRound()), primary)
}

// majorityRound returns the highest round such that a majority of members
// answered it or a later one.
func (g *Group) majorityRound() RoundID {
	var answered [maxMembers]RoundID
	for i := range g.members {
		insertDescending(answered[:i+1], g.members[i].answeredRound)
	}
	return answered[g.majority()-1]
}

// insertDescending inserts v into s, which is in descending order except for its
// last element, which is overwritten.
func insertDescending(s []RoundID, v RoundID) {
	i := len(s) - 1
	for ; i > 0 && s[i-1] < v; i-- {
		s[i] = s[i-1]
	}
	s[i] = v
}

// failRounds fails the pending rounds up to and including through.
func (g *Group) failRounds(through RoundID) {
	for ; g.rounds.firstPending <= through; g.rounds.firstPending++ {
		if r := g.rounds.get(g.rounds.firstPending); r != nil {
			r.result.State = RoundFailed
		}
	}
}

// confirmRounds confirms the pending rounds up to and including through, which the
// primary and a majority answered, directly or by answering a later round.
func (g *Group) confirmRounds(through RoundID, primary *member) {
	last := g.rounds.get(through)
	if last == nil || through <= g.lastConfirmation.round {
		return
	}
	g.advanceMajorityPosition(primary)
	result := RoundResult{
		State:            RoundConfirmed,
		Position:         primary.status.Log,
		MajorityPosition: g.majorityPosition,
		Primary:          primary.name,
		Term:             primary.status.Term,
	}
	for ; g.rounds.firstPending <= through; g.rounds.firstPending++ {
		if r := g.rounds.get(g.rounds.firstPending); r != nil {
			r.result = result
		}
	}
	if primary.status.Term != g.lastConfirmation.term {
		g.samples.dropDiverged(&primary.status)
	}
	g.lastConfirmation = confirmation{round: through, start: last.start, primary: primary.name, term: primary.status.Term}
	g.samples.add(sample{at: last.start, position: primary.status.Log})
}

// advanceMajorityPosition raises the position that is proven to survive promotions.
//
// Only members whose log has reached the primary's own term count. Entries of an
// earlier term are not safe merely because a majority has them: a member with a
// shorter log that ends in a later term would be promoted in preference.
func (g *Group) advanceMajorityPosition(primary *member) {
	term := primary.status.Term
	if logEnd(&primary.status).Term != term {
		return
	}
	// Offsets are stored as RoundID for insertDescending.
	var offsets [maxMembers]RoundID
	for i := range g.members {
		offset := uint64(0)
		if end := logEnd(&g.members[i].status); end.Term == term {
			offset = min(end.Offset, primary.status.Log.Offset)
		}
		insertDescending(offsets[:i+1], RoundID(offset))
	}
	majority := entity.Position{Term: term, Offset: uint64(offsets[g.majority()-1])}
	if majority.Offset > 0 && g.majorityPosition.Less(majority) {
		g.majorityPosition = majority
	}
}

// startDueRound starts a round if one is due: because a caller waits for it or the
// probe interval has passed.
func (g *Group) startDueRound(now entity.Time) {
	if now < g.nextRoundTime() {
		return
	}
	t := &g.rounds
	fresh := t.next > 1 && now.Sub(t.lastFreshStart) >= g.freshInterval()
	r := &t.ring[t.next%roundHistorySize]
	*r = round{id: t.next, start: now}
	t.next++
	// If the ring is full of undecided rounds, the oldest one is dropped.
	t.firstPending = max(t.firstPending, t.next-min(t.next, roundHistorySize))
	t.firstUnexpired = max(t.firstUnexpired, t.next-min(t.next, roundHistorySize))
	for i := range g.members {
		g.sendProbe(r, i, fresh)
	}
	// Connecting takes tens of milliseconds, so a requested round on fresh
	// connections is followed at once by one on persistent connections, whose
	// answers confirm both.
	t.requested = fresh && t.requested
	t.lastStart = now
	if fresh {
		t.lastFreshStart = now
	}
}

// freshInterval returns the time between rounds on fresh connections. Such a round
// costs several times as much as one on persistent connections, and while all
// members answer on those it only shows that new connections work as well.
func (g *Group) freshInterval() time.Duration {
	if g.isPrimaryUncertain() {
		return 2 * g.probeInterval()
	}
	return healthyFreshInterval
}

// sendProbe queues the probe of member i in round r.
func (g *Group) sendProbe(r *round, i int, fresh bool) {
	m := &g.members[i]
	if fresh || g.needsFreshConnection(m, r.start) {
		r.freshMembers = r.freshMembers.with(i)
		m.detector.lastFreshProbe = r.start
	}
	g.ready.Probes = append(g.ready.Probes, ProbeRequest{Round: r.id, Upstream: m.name, FreshConnection: r.freshMembers.has(i)})
}

// nextRoundTime returns when the next round is due.
func (g *Group) nextRoundTime() entity.Time {
	t := &g.rounds
	if t.next == 1 {
		return 0
	}
	if t.requested {
		return t.lastStart.Add(g.config.MinRoundGap)
	}
	return t.lastStart.Add(max(g.probeInterval(), g.config.MinRoundGap))
}

// expireProbes fails the probes and rounds that have timed out.
func (g *Group) expireProbes(now entity.Time) {
	t := &g.rounds
	for ; t.firstUnexpired < t.next; t.firstUnexpired++ {
		r := t.get(t.firstUnexpired)
		if now.Sub(r.start) < g.config.ProbeTimeout {
			return
		}
		for i := range g.members {
			g.recordProbeFailure(r, i)
		}
		g.failRounds(r.id)
	}
}

// nextProbeTimeout returns when the probes of the oldest unexpired round time out.
func (g *Group) nextProbeTimeout() entity.Time {
	r := g.rounds.get(g.rounds.firstUnexpired)
	if r == nil {
		return entity.Never
	}
	return r.start.Add(g.config.ProbeTimeout)
}

// probeInterval returns the time between rounds while no caller waits for one.
func (g *Group) probeInterval() time.Duration {
	if g.isPrimaryUncertain() {
		return g.config.ProbeInterval / uncertainProbeDivisor
	}
	return g.config.ProbeInterval
}
