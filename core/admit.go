package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// admitForwarded admits a request that another proxy forwarded to this node as
// the owner, unless this node is draining.
func (n *Node) admitForwarded(r *request) {
	if n.draining {
		n.finish(r, Result{Kind: ResultNotOwner, Reason: "draining"})
		return
	}
	n.admit(r)
}

// admit starts processing a request as owner of its database. It answers a
// duplicate, has the request wait for a probe round, or queues it.
func (n *Node) admit(r *request) {
	db := r.db
	n.startOwning(db)
	db.lastUsed = n.now
	n.markDirty(db)
	if n.deduplicate(r) {
		return
	}
	if n.needsFloorRound(r) {
		n.awaitRound(r)
		return
	}
	n.enqueue(r, false)
}

// mayUseReplica reports whether a replica may serve the request.
func (r *request) mayUseReplica() bool { return r.class.ReadOnly && r.class.MaxAge > 0 }

// needsFloorRound sets the floor of a read that a replica may serve. It reports
// true if the floor can only be determined by a probe round.
func (n *Node) needsFloorRound(r *request) bool {
	db := r.db
	if !r.mayUseReplica() {
		return false
	}
	if n.sessionsComplete(db) {
		known, _ := db.sessions.get(r.arrival.Session)
		r.floor = maxPosition(known, maxPosition(db.basePosition, r.arrival.Token))
		return false
	}
	r.floor = r.arrival.Token
	return r.floor.IsZero()
}

func maxPosition(a, b entity.Position) entity.Position {
	if a.Less(b) {
		return b
	}
	return a
}

// sessionsComplete reports whether the session table and basePosition together
// cover every acknowledged write of the database.
func (n *Node) sessionsComplete(db *database) bool {
	if db.basePosition.IsZero() {
		return false
	}
	since, ok := n.membership.Exclusive(n.now, db.name)
	return ok && since == db.exclusiveSince
}

// updateExclusivity tracks whether this node is the exclusive owner according to
// the membership grants. When exclusivity begins, a probe round determines the
// position that covers the writes of earlier owners.
func (n *Node) updateExclusivity(db *database) {
	since, ok := n.membership.Exclusive(n.now, db.name)
	if !ok {
		db.basePosition, db.baseRound = entity.Position{}, 0
		return
	}
	if since != db.exclusiveSince {
		db.exclusiveSince = since
		db.basePosition, db.baseRound = entity.Position{}, 0
	}
	if !db.basePosition.IsZero() {
		return
	}
	n.resolveBasePosition(db)
}

// resolveBasePosition sets basePosition once its probe round is confirmed, and
// repeats a failed round.
func (n *Node) resolveBasePosition(db *database) {
	if db.baseRound == 0 {
		db.baseRound = db.group.RequestRound(n.now)
		return
	}
	switch res := db.group.Round(db.baseRound); res.State {
	case group.RoundConfirmed:
		db.basePosition = res.Position
	case group.RoundFailed:
		db.baseRound = db.group.RequestRound(n.now)
	case group.RoundPending:
	}
}

// awaitRound has the request wait for a probe round that starts now or later.
func (n *Node) awaitRound(r *request) {
	r.state = stateAwaitingRound
	r.round = r.db.group.RequestRound(n.now)
	r.db.awaitingRound.push(r.arrival.Handle)
}

// resumeAfterRounds continues the requests whose probe round was confirmed. The
// queue is in round order, so it stops at the first pending round.
func (n *Node) resumeAfterRounds(db *database) {
	for k := db.awaitingRound.len(); k > 0; k-- {
		r, ok := n.requests[db.awaitingRound.front()]
		if !ok || r.state != stateAwaitingRound {
			db.awaitingRound.pop()
			continue
		}
		res := db.group.Round(r.round)
		if res.State == group.RoundPending {
			return
		}
		db.awaitingRound.pop()
		if res.State == group.RoundFailed {
			n.awaitRound(r)
			continue
		}
		if r.confirmingDuplicate {
			n.answerDuplicate(r)
			continue
		}
		if r.mayUseReplica() {
			r.floor = maxPosition(res.Position, r.arrival.Token)
		}
		n.enqueue(r, true)
	}
}

// enqueue hands the request to the scheduler, unless an earlier write of its
// session was lost. If there is no known primary, or the group's view is older
// than the session's token, this is decided after a confirmed probe round.
// confirmed is set if the request has just waited for one.
func (n *Node) enqueue(r *request, confirmed bool) {
	switch survival := n.sessionSurvival(r); {
	case survival == group.SurvivalLost, survival == group.SurvivalUnknown && confirmed:
		n.reportWriteLost(r)
		return
	case survival == group.SurvivalUnknown:
		n.awaitRound(r)
		return
	}
	lane := flood.LanePrimary
	if r.mayUseReplica() {
		lane = n.readLane(r)
		if lane == flood.NumLanes {
			n.awaitReplica(r)
			return
		}
	}
	n.offerToScheduler(r, lane)
}

// readLane returns the lane of a read that may use a replica, or NumLanes if it
// must wait for a replica to catch up.
func (n *Node) readLane(r *request) flood.Lane {
	db := r.db
	hasReplicas := false
	for i := range db.upstreams {
		u := &db.upstreams[i]
		if u.name == db.primary || n.leavingUpstreams[u.name] {
			continue
		}
		hasReplicas = true
		if db.group.Eligible(n.now, u.name, r.floor, r.class.MaxAge) {
			return flood.LaneReplica
		}
	}
	if !hasReplicas {
		return flood.LanePrimary
	}
	return flood.NumLanes
}

// offerToScheduler queues the request in a lane, or refuses it if the scheduler
// does.
func (n *Node) offerToScheduler(r *request, lane flood.Lane) {
	r.item = flood.Item{
		Handle:   r.arrival.Handle,
		Rank:     r.class.Rank,
		Caller:   r.fairnessKey(),
		Lane:     lane,
		Retry:    r.arrival.Attempt > 1 || r.seenBefore,
		Arrived:  r.arrivedAt,
		Deadline: r.deadline,
		Cost:     r.class.cost,
	}
	decision := r.db.sched.Offer(n.now, r.item)
	if decision.Reason != flood.ReasonNone {
		n.refuse(r, decision.Reason.String(), decision.RetryAfter)
		return
	}
	r.state = stateQueued
	r.inScheduler = true
}

// fairnessKey returns the key by which the scheduler shares slots fairly: the
// session or, without one, the caller's connection.
func (r *request) fairnessKey() uint64 {
	if r.arrival.Session != 0 {
		return uint64(r.arrival.Session)
	}
	return uint64(r.arrival.Caller)
}

// sessionSurvival returns whether the last write of the session, as known from
// the session table and from the request's token, is part of the current
// primary's log.
func (n *Node) sessionSurvival(r *request) group.Survival {
	db := r.db
	worst := group.SurvivalHeld
	if known, ok := db.sessions.get(r.arrival.Session); ok {
		worst = db.group.Survival(known)
	}
	if worst == group.SurvivalLost || r.arrival.Token.IsZero() {
		return worst
	}
	if token := db.group.Survival(r.arrival.Token); token != group.SurvivalHeld {
		return token
	}
	return worst
}

// reportWriteLost reports to a session, once, that its last write may have been
// lost in a failover. A request that may itself have run gets ResultUnknown,
// which does not report the lost write, so the next request of the session does.
func (n *Node) reportWriteLost(r *request) {
	db := r.db
	status, _ := db.group.Status(db.primary)
	if r.mayHaveRun {
		n.finish(r, Result{Kind: ResultUnknown, Reason: "primary_changed"})
		return
	}
	db.sessions.set(r.arrival.Session, status.Log)
	n.finish(r, Result{Kind: ResultWriteLost, Reason: "primary_changed", Position: status.Log})
}

// expireQueued refuses the queued requests that the scheduler dropped because
// they can no longer meet their deadline.
func (n *Node) expireQueued(db *database) {
	n.refusals = db.sched.Expire(n.now, n.refusals[:0])
	for _, refusal := range n.refusals {
		r, ok := n.requests[refusal.Handle]
		if !ok {
			continue
		}
		r.inScheduler = false
		n.refuse(r, refusal.Reason.String(), refusal.RetryAfter)
	}
}

// replicaPollInterval is the time between checks whether a replica has caught up
// with waiting reads.
const replicaPollInterval = 10 * time.Millisecond

// awaitReplica has a read wait for a replica to reach its floor. After the
// configured part of its timeout the read is queued for the primary.
func (n *Node) awaitReplica(r *request) {
	r.state = stateAwaitingReplica
	if r.replicaWaitUntil == 0 {
		wait := time.Duration(n.config.ReplicaWait * float64(r.deadline.Sub(r.arrivedAt)))
		r.replicaWaitUntil = r.arrivedAt.Add(wait)
	}
	if n.now >= r.replicaWaitUntil {
		n.offerToScheduler(r, flood.LanePrimary)
		return
	}
	r.db.awaitingReplica.push(r.arrival.Handle)
}

// resumeReplicaReads queues the reads whose floor a replica has reached, and
// queues those whose wait is over for the primary.
func (n *Node) resumeReplicaReads(db *database) {
	for k := db.awaitingReplica.len(); k > 0; k-- {
		r, ok := n.requests[db.awaitingReplica.pop()]
		if !ok || r.state != stateAwaitingReplica {
			continue
		}
		lane := n.readLane(r)
		if lane == flood.NumLanes {
			n.awaitReplica(r)
			continue
		}
		n.offerToScheduler(r, lane)
	}
}
