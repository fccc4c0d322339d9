package flood

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Offer queues the item or refuses it. An earlier item with the same handle, queued
// or running, is dropped without a Refusal.
func (s *Scheduler) Offer(now entity.Time, item Item) Decision {
	s.discardUnfinished(item.Handle)
	id := s.slab.allocate()
	n := s.slab.at(id)
	s.initNode(n, item)
	l := &s.lanes[item.Lane]
	if reason := s.refusalReason(now, l, n); reason != ReasonNone {
		after := s.retryAfter(now, l, int(n.rank))
		s.slab.release(id)
		return Decision{Reason: reason, RetryAfter: after}
	}
	s.admit(now, l, id)
	return Decision{}
}

// discardUnfinished removes a node left by an earlier item with the same handle
// whose end was never reported.
func (s *Scheduler) discardUnfinished(handle entity.Handle) {
	id := s.index.get(handle)
	if id == noNode {
		return
	}
	if s.slab.at(id).state == nodeRunning {
		s.finish(id)
		return
	}
	s.Remove(handle)
}

// initNode fills in the node of a new item.
func (s *Scheduler) initNode(n *node, item Item) {
	rank := min(max(item.Rank, 0), len(s.policy.Ranks)-1)
	cost := s.lanes[item.Lane].ranks[rank].cost.estimate(item.Cost)
	*n = node{
		item:          item,
		estimatedCost: cost,
		latestStart:   item.Deadline - entity.Time(cost),
		rank:          int32(rank),
		callerBucket:  bucketOf(item.Caller, s.seed),
	}
	if item.SharedCaller {
		n.callerBucket = s.lanes[item.Lane].ranks[rank].queue(item.Retry).bucketOfShared(&s.slab, item.Caller, n.callerBucket)
	}
}

// refusalReason returns the reason to refuse a new item, ReasonNone to admit it.
func (s *Scheduler) refusalReason(now entity.Time, l *lane, n *node) Reason {
	if n.item.Deadline <= now {
		return ReasonDeadline
	}
	if n.item.Retry && !s.budgets[n.rank].allows() {
		return ReasonRetryBudget
	}
	if !s.hasCapacity(int(n.rank)) {
		return ReasonQueueFull
	}
	r := &l.ranks[n.rank]
	if r.running == 0 && r.queued() == 0 && n.latestStart < now {
		// If the cost estimate exceeds the deadline, admit one item anyway:
		// otherwise every item of the rank would be refused and the estimate
		// never corrected.
		n.latestStart = n.item.Deadline - 1
	}
	wait := s.predictWait(now, l, n)
	if now.Add(wait) > n.latestStart {
		return ReasonDeadline
	}
	if s.overloaded(now, l, n, wait) {
		return ReasonOverload
	}
	return ReasonNone
}

// overloaded reports whether the rank has a standing queue and the item would
// exceed standingQueueTargetShare of the rank's target. It is false for ranks without a target.
func (s *Scheduler) overloaded(now entity.Time, l *lane, n *node, wait time.Duration) bool {
	target := s.policy.Ranks[n.rank].Target
	if target <= 0 {
		return false
	}
	target = max(target, minTargetToCostRatio*n.estimatedCost)
	r := &l.ranks[n.rank]
	drain := s.drainTime(now, l, int(n.rank), r.firstAttempts.work)
	if !r.standingQueue.observe(now, drain, target) {
		return false
	}
	return wait+n.estimatedCost > time.Duration(standingQueueTargetShare*float64(target))
}

// hasCapacity reports whether the queue can hold another item of the rank without
// using capacity that is reserved for other ranks.
func (s *Scheduler) hasCapacity(rank int) bool {
	if s.waitingTotal >= s.policy.MaxQueued {
		return false
	}
	if s.waiting[rank] < s.reservedPerRank {
		return true
	}
	usedOrReserved := 0
	for i, n := range s.waiting {
		if i < len(s.policy.Ranks) {
			n = max(n, s.reservedPerRank)
		}
		usedOrReserved += n
	}
	return usedOrReserved < s.policy.MaxQueued
}

// admit queues a new item.
func (s *Scheduler) admit(now entity.Time, l *lane, id nodeID) {
	n := s.slab.at(id)
	r := &l.ranks[n.rank]
	n.state = nodeQueued
	r.admitted.add(now, float64(n.estimatedCost))
	if n.item.Retry {
		s.budgets[n.rank].withdraw()
	} else {
		r.firstAttemptsAdmitted.add(now, float64(n.estimatedCost))
		s.budgets[n.rank].deposit(max(0, s.policy.RetryRatio))
	}
	r.queue(n.item.Retry).push(&s.slab, id)
	l.queued++
	s.waiting[n.rank]++
	s.waitingTotal++
	s.index.put(n.item.Handle, id)
	s.expiry.push(&s.slab, id)
}
