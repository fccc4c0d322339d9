package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// resendInterval is the time after which an unanswered fence or promote
	// request is sent again: twice the round trip between regions.
	resendInterval = 50 * time.Millisecond
	// fenceGracePeriod is how long to wait, after a majority accepted the fence,
	// for the other members that answer probes, since one of them can hold later
	// writes. It covers a round trip between regions.
	fenceGracePeriod = 50 * time.Millisecond
	// backoffBase is the mean wait before the first retry. It is longer than a
	// fence and a promotion take, so that one of two competing owners finishes
	// before the other retries.
	backoffBase = 100 * time.Millisecond
	// backoffDoublings limits the mean wait to 800 ms.
	backoffDoublings = 3
)

// promotionPhase is a step of a promotion.
type promotionPhase uint8

const (
	phaseIdle promotionPhase = iota
	// phaseClaim waits for the store to grant the claim on the term.
	phaseClaim
	// phaseFence waits for a majority to accept the term.
	phaseFence
	// phasePromote waits for the chosen member to accept the promotion.
	phasePromote
	// phaseBackoff waits before the next attempt.
	phaseBackoff
)

// promotion is the state of this owner's attempts to make a member primary.
type promotion struct {
	phase promotionPhase
	// term is the term of the last attempt. Terms are never reused, since
	// answers of the earlier attempt may still be in flight.
	term uint64
	// lastFencedTerm is the last term for which fence requests were sent.
	lastFencedTerm uint64
	// attempts counts the failed attempts since the last successful one.
	attempts int
	// storeUnavailable is set if the store did not answer the last claim.
	// Retries then do not wait for it.
	storeUnavailable bool
	// phaseEnd is when the phase times out, nextResend when unanswered requests
	// are sent again.
	phaseEnd   entity.Time
	nextResend entity.Time
	// graceEnd ends the fence grace period; it is Never until a majority has
	// accepted the fence.
	graceEnd entity.Time
	// expected are the members that answered probes when fencing started.
	expected memberSet
	accepted memberSet
	rejected memberSet
	// target is the index of the member to promote.
	target int
}

// tickPromotion starts a promotion if one is due, and handles the timeouts of the
// current phase.
func (g *Group) tickPromotion(now entity.Time) {
	p := &g.promotion
	switch p.phase {
	case phaseIdle:
		if g.isPrimaryLost(now) {
			g.startPromotion(now)
		}
	case phaseClaim:
		if now >= p.phaseEnd {
			p.storeUnavailable = true
			g.startFence(now)
		}
	case phaseFence:
		g.tickFence(now)
	case phasePromote:
		g.tickPromote(now)
	case phaseBackoff:
		if now >= p.phaseEnd {
			g.retryPromotion(now)
		}
	}
}

// nextPromotionTime returns when tickPromotion has to run next.
func (g *Group) nextPromotionTime() entity.Time {
	p := &g.promotion
	switch p.phase {
	case phaseIdle:
		return entity.Never
	case phaseFence:
		return min(p.phaseEnd, p.nextResend, p.graceEnd)
	case phasePromote:
		return min(p.phaseEnd, p.nextResend)
	}
	return p.phaseEnd
}

// startPromotion claims the next term in the store. The claim only keeps owners
// from competing; fencing alone ensures safety.
func (g *Group) startPromotion(now entity.Time) {
	p := &g.promotion
	p.phase = phaseClaim
	p.term = max(g.highestTerm, p.term) + 1
	p.phaseEnd = now.Add(g.config.ClaimTimeout)
	g.ready.Claims = append(g.ready.Claims, ClaimRequest{Term: p.term})
	if p.storeUnavailable {
		g.startFence(now)
	}
}

// StepClaim handles the store's answer to a claim.
func (g *Group) StepClaim(now entity.Time, answer ClaimAnswer) {
	g.beginCall(now)
	p := &g.promotion
	if p.phase != phaseClaim || answer.Term != p.term {
		return
	}
	p.storeUnavailable = answer.Failed
	if answer.Failed || answer.Claimed {
		g.startFence(now)
		return
	}
	// Another owner claimed the term: leave it time for a whole attempt.
	g.enterBackoff(now, g.config.FenceTimeout)
}

// startFence starts to fence the members at the claimed term, unless the primary
// answers again or another owner has fenced a member at this term or a later one.
func (g *Group) startFence(now entity.Time) {
	p := &g.promotion
	if !g.isPrimaryLost(now) || g.highestTerm >= p.term {
		g.abandonPromotion()
		return
	}
	p.phase = phaseFence
	p.lastFencedTerm = p.term
	p.phaseEnd = now.Add(g.config.FenceTimeout)
	p.graceEnd = entity.Never
	p.expected = g.answeringMembers(now)
	p.accepted, p.rejected = 0, 0
	g.sendFences(now)
}

// sendFences sends fence requests to the members that have not answered yet.
func (g *Group) sendFences(now entity.Time) {
	p := &g.promotion
	p.nextResend = now.Add(resendInterval)
	for i := range g.members {
		if !p.accepted.has(i) && !p.rejected.has(i) {
			g.ready.Fences = append(g.ready.Fences, FenceRequest{Upstream: g.members[i].name, Term: p.term})
		}
	}
}

// StepFence handles a member's answer to a fence request.
func (g *Group) StepFence(now entity.Time, answer FenceAnswer) {
	g.beginCall(now)
	i := g.index(answer.Upstream)
	if i < 0 || answer.Failed {
		return
	}
	m, p := &g.members[i], &g.promotion
	g.storeNewerTermStatus(now, m, answer.Status)
	if p.phase != phaseFence || answer.Term != p.term {
		return
	}
	if answer.Accepted {
		p.accepted = p.accepted.with(i)
		m.fencedEnd = logEnd(&answer.Status)
	} else {
		p.rejected = p.rejected.with(i)
	}
	g.tickFence(now)
}

// tickFence proceeds to the promotion once a majority is fenced and the other
// expected members have answered or the grace period is over. It backs off when
// no majority can be reached.
func (g *Group) tickFence(now entity.Time) {
	p := &g.promotion
	fenced := p.accepted.len() >= g.majority()
	if fenced && p.graceEnd == entity.Never {
		p.graceEnd = now.Add(fenceGracePeriod)
	}
	answered := p.accepted | p.rejected
	switch {
	case fenced && (now >= p.graceEnd || answered.containsAll(p.expected)):
		g.startPromote(now)
	case now >= p.phaseEnd || g.isFenceLost():
		g.enterBackoff(now, g.backoff())
	case now >= p.nextResend:
		g.sendFences(now)
	}
}

// isFenceLost reports whether another owner was faster, so that a majority can't
// accept this fence any more, or all expected members have answered without one.
// Waiting for a dead member would only leave the votes split until FenceTimeout.
func (g *Group) isFenceLost() bool {
	p := &g.promotion
	if len(g.members)-p.rejected.len() < g.majority() {
		return true
	}
	answered := p.accepted | p.rejected
	return p.rejected != 0 && p.accepted.len() < g.majority() && answered.containsAll(p.expected)
}

// startPromote chooses the fenced member with the most recent log and asks it to
// become primary.
func (g *Group) startPromote(now entity.Time) {
	p := &g.promotion
	p.phase = phasePromote
	p.target = -1
	for i := range g.members {
		if p.accepted.has(i) && (p.target < 0 || g.isBetterTarget(i, p.target)) {
			p.target = i
		}
	}
	g.sendPromote(now)
}

// sendPromote sends a promote request to the chosen member. No other member is
// asked in the same term, since both could accept.
func (g *Group) sendPromote(now entity.Time) {
	p := &g.promotion
	p.nextResend = now.Add(resendInterval)
	g.ready.Promotes = append(g.ready.Promotes, PromoteRequest{Upstream: g.members[p.target].name, Term: p.term})
}

// tickPromote resends the promote request, or backs off after the timeout.
func (g *Group) tickPromote(now entity.Time) {
	p := &g.promotion
	switch {
	case now >= p.phaseEnd:
		g.enterBackoff(now, g.backoff())
	case now >= p.nextResend:
		g.sendPromote(now)
	}
}

// StepPromote handles the answer to a promote request.
func (g *Group) StepPromote(now entity.Time, answer PromoteAnswer) {
	g.beginCall(now)
	i := g.index(answer.Upstream)
	if i < 0 || answer.Failed {
		return
	}
	m, p := &g.members[i], &g.promotion
	g.storeNewerTermStatus(now, m, answer.Status)
	if p.phase != phasePromote || answer.Term != p.term || i != p.target {
		return
	}
	if !answer.Accepted {
		g.enterBackoff(now, g.backoff())
		return
	}
	if m.status.Term == answer.Status.Term {
		g.storeStatus(now, m, answer.Status)
		m.statusFromRound = g.rounds.next
		g.updatePrimaryLoss(now)
	}
	m.detector.recordAnswer(now, false)
	g.finishPromotion()
	g.rounds.requested = true
}

// storeNewerTermStatus stores the status in a fence or promote answer if its term
// is higher than the known one. Within a term only probe answers are ordered.
func (g *Group) storeNewerTermStatus(now entity.Time, m *member, status entity.MemberStatus) {
	if m.hasStatus && status.Term <= m.status.Term {
		return
	}
	g.storeStatus(now, m, status)
	g.updatePrimaryLoss(now)
}

// endObsoletePromotion ends a promotion when a primary of its term or a later one
// is confirmed, and outside the fence and promote phases also when the current
// primary answers again.
func (g *Group) endObsoletePromotion(now entity.Time) {
	p := &g.promotion
	switch p.phase {
	case phaseIdle:
	case phaseClaim, phaseBackoff:
		if primary := g.currentPrimary(); primary != nil && g.isAnswering(now, primary) && primary.detector.failures() == 0 && !g.isSwitchoverReady(now, primary) {
			g.finishPromotion()
		}
	default:
		if g.lastConfirmation.term >= p.term {
			g.finishPromotion()
		}
	}
}

// retryPromotion starts the next attempt if the primary is still lost.
func (g *Group) retryPromotion(now entity.Time) {
	if !g.isPrimaryLost(now) {
		g.abandonPromotion()
		return
	}
	g.startPromotion(now)
}

// enterBackoff ends the attempt and waits about the mean before the next one.
func (g *Group) enterBackoff(now entity.Time, mean time.Duration) {
	p := &g.promotion
	p.phase = phaseBackoff
	p.attempts++
	p.phaseEnd = now.Add(g.jitter(mean))
}

// jitter returns a random duration between half and one and a half of the mean.
func (g *Group) jitter(mean time.Duration) time.Duration {
	return mean/2 + time.Duration(g.random.Int64N(int64(mean)+1))
}

// backoff returns the mean wait before the next attempt.
func (g *Group) backoff() time.Duration {
	return backoffBase << min(g.promotion.attempts, backoffDoublings)
}

// abandonPromotion stops the promotion but keeps the count of failed attempts.
func (g *Group) abandonPromotion() { g.promotion.phase = phaseIdle }

// finishPromotion stops the promotion after a success and resets its state.
func (g *Group) finishPromotion() {
	g.switchoverRequested = false
	g.promotion.phase = phaseIdle
	g.promotion.attempts = 0
	g.promotion.storeUnavailable = false
}

// isOwnTermPending reports whether the highest term seen is that of this owner's
// promotion, which is still running or waits for a retry.
func (g *Group) isOwnTermPending() bool {
	return g.promotion.phase != phaseIdle && g.highestTerm == g.promotion.term
}
