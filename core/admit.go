package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// admitForwarded takes a request from an entry that holds this node for the owner.
func (n *Node) admitForwarded(r *request) {
	if n.draining {
		n.finish(r, Result{Kind: ResultNotOwner, Reason: "draining"})
		return
	}
	n.admit(r)
}

// admit is the owner's first step for a request.
func (n *Node) admit(r *request) {
	db := r.db
	n.startOwning(db)
	db.lastUsed = n.now
	n.markDirty(db)
	if n.joined(r) {
		return
	}
	if n.needsFloorRound(r) {
		n.awaitFloor(r)
		return
	}
	n.enqueue(r, false)
}

// isAgedRead reports whether a replica may serve the request.
func (r *request) isAgedRead() bool { return r.class.ReadOnly && r.class.MaxAge > 0 }

// needsFloorRound sets the floor of a read from what is known, or reports that
// only a probe round can tell it.
func (n *Node) needsFloorRound(r *request) bool {
	db := r.db
	if !r.isAgedRead() {
		return false
	}
	if n.trustsTables(db) {
		known, _ := db.sessions.get(r.arrival.Session)
		r.floor = maxPosition(known, maxPosition(db.base, r.arrival.Token))
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

// trustsTables reports whether the session table covers every acknowledged write.
func (n *Node) trustsTables(db *database) bool {
	if db.base.IsZero() {
		return false
	}
	since, ok := n.members.Exclusive(n.now, db.name)
	return ok && since == db.exclusiveSince
}

// trackExclusive follows the grants. When exclusivity begins, a probe round
// gives the position that covers the writes of earlier owners.
func (n *Node) trackExclusive(db *database) {
	since, ok := n.members.Exclusive(n.now, db.name)
	if !ok {
		db.base, db.baseRound = entity.Position{}, 0
		return
	}
	if since != db.exclusiveSince {
		db.exclusiveSince = since
		db.base, db.baseRound = entity.Position{}, 0
	}
	if !db.base.IsZero() {
		return
	}
	n.resolveBase(db)
}

func (n *Node) resolveBase(db *database) {
	if db.baseRound == 0 {
		db.baseRound = db.group.RequestRound(n.now)
		return
	}
	switch res := db.group.Round(db.baseRound); res.State {
	case group.RoundConfirmed:
		db.base = res.Position
	case group.RoundFailed:
		db.baseRound = db.group.RequestRound(n.now)
	case group.RoundPending:
	}
}

func (n *Node) awaitFloor(r *request) {
	r.state = stateFloor
	r.round = r.db.group.RequestRound(n.now)
	r.db.floors.push(r.arrival.Handle)
}

// resolveFloors queues the reads whose probe round was confirmed. Rounds are in
// the order of the queue, so that it stops at the first pending one.
func (n *Node) resolveFloors(db *database) {
	for k := db.floors.len(); k > 0; k-- {
		r, ok := n.requests[db.floors.front()]
		if !ok || r.state != stateFloor {
			db.floors.pop()
			continue
		}
		res := db.group.Round(r.round)
		if res.State == group.RoundPending {
			return
		}
		db.floors.pop()
		if res.State == group.RoundFailed {
			n.awaitFloor(r)
			continue
		}
		if r.duplicate {
			n.answerDuplicate(r)
			continue
		}
		if r.isAgedRead() {
			r.floor = maxPosition(res.Position, r.arrival.Token)
		}
		n.enqueue(r, true)
	}
}

// enqueue hands the request to the scheduler, unless an earlier write of its
// session is lost. Without a primary, or in a view that is older than the
// session's token, only a confirmed round can tell.
func (n *Node) enqueue(r *request, confirmed bool) {
	switch survival := n.survival(r); {
	case survival == group.SurvivalLost, survival == group.SurvivalUnknown && confirmed:
		n.reportLost(r)
		return
	case survival == group.SurvivalUnknown:
		n.awaitFloor(r)
		return
	}
	lane := flood.LanePrimary
	if r.isAgedRead() {
		lane = n.readLane(r)
		if lane == flood.NumLanes {
			n.awaitReplica(r)
			return
		}
	}
	n.offer(r, lane)
}

// readLane returns the lane of an aged read, or NumLanes if it must wait for a
// replica to catch up.
func (n *Node) readLane(r *request) flood.Lane {
	db := r.db
	replicas := false
	for i := range db.upstreams {
		u := &db.upstreams[i]
		if u.name == db.primary || n.leaving[u.name] {
			continue
		}
		replicas = true
		if db.group.Eligible(n.now, u.name, r.floor, r.class.MaxAge) {
			return flood.LaneReplica
		}
	}
	if !replicas {
		return flood.LanePrimary
	}
	return flood.NumLanes
}

func (n *Node) offer(r *request, lane flood.Lane) {
	r.item = flood.Item{
		Handle:   r.arrival.Handle,
		Rank:     r.class.Rank,
		Caller:   r.fairnessKey(),
		Lane:     lane,
		Retry:    r.arrival.Attempt > 1 || r.seenBefore,
		Arrived:  r.arrived,
		Deadline: r.deadline,
		Cost:     r.class.cost,
	}
	d := r.db.sched.Offer(n.now, r.item)
	if d.Reason != flood.ReasonNone {
		n.refuse(r, d.Reason.String(), d.RetryAfter)
		return
	}
	r.state = stateQueued
	r.queuedItem = true
}

func (r *request) fairnessKey() uint64 {
	if r.arrival.Session != 0 {
		return uint64(r.arrival.Session)
	}
	return uint64(r.arrival.Caller)
}

// survival tells whether the session's writes that are known here, or by its
// token, are part of the current history.
func (n *Node) survival(r *request) group.Survival {
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

// reportLost tells a session once that its last write is not proven to have
// survived a change of primary. A request that may have run is answered as such,
// which tells nothing of the earlier write, so that the next request does.
func (n *Node) reportLost(r *request) {
	db := r.db
	status, _ := db.group.Status(db.primary)
	if r.maybeRan {
		n.finish(r, Result{Kind: ResultUnknown, Reason: "primary_changed"})
		return
	}
	db.sessions.set(r.arrival.Session, status.Log)
	n.finish(r, Result{Kind: ResultWriteLost, Reason: "primary_changed", Position: status.Log})
}

// expireQueued gives the final answers that the scheduler decided on.
func (n *Node) expireQueued(db *database) {
	n.scratch = db.sched.Expire(n.now, n.scratch[:0])
	for _, x := range n.scratch {
		r, ok := n.requests[x.Handle]
		if !ok {
			continue
		}
		r.queuedItem = false
		n.refuse(r, x.Reason.String(), x.RetryAfter)
	}
}

const replicaPoll = 10 * time.Millisecond

func (n *Node) awaitReplica(r *request) {
	r.state = stateReplica
	if r.replicaWait == 0 {
		wait := time.Duration(n.config.ReplicaWait * float64(r.deadline.Sub(r.arrived)))
		r.replicaWait = r.arrived.Add(wait)
	}
	if n.now >= r.replicaWait {
		n.offer(r, flood.LanePrimary)
		return
	}
	r.db.replicas.push(r.arrival.Handle)
}

// checkReplicas queues the reads whose floor a replica has reached, and sends
// those that waited long enough to the primary.
func (n *Node) checkReplicas(db *database) {
	for k := db.replicas.len(); k > 0; k-- {
		r, ok := n.requests[db.replicas.pop()]
		if !ok || r.state != stateReplica {
			continue
		}
		lane := n.readLane(r)
		if lane == flood.NumLanes {
			n.awaitReplica(r)
			continue
		}
		n.offer(r, lane)
	}
}
