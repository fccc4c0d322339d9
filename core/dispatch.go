package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// dispatch sends queued requests to upstreams with free capacity.
func (n *Node) dispatch(db *database) {
	n.dispatchPrimary(db)
	n.dispatchReplicas(db)
}

func (n *Node) dispatchPrimary(db *database) {
	index := db.primaryIndex()
	if index < 0 || n.leavingUpstreams[db.primary] || n.now < db.primaryPausedUntil {
		return
	}
	u := &db.upstreams[index]
	for u.inFlight < u.maxInFlight && db.sched.Len(flood.LanePrimary) > 0 {
		c := n.takeIdle(u)
		if c == nil {
			n.openConnections(db, index, db.sched.Len(flood.LanePrimary))
			return
		}
		item, ok := db.sched.Next(n.now, flood.LanePrimary)
		if !ok {
			u.putBack(c)
			return
		}
		r := n.requests[item.Handle]
		if !n.checkSessionWrites(r) {
			u.putBack(c)
			continue
		}
		n.dispatchTo(r, c)
	}
}

// checkSessionWrites reports whether the session's earlier writes are part of the
// current primary's log. If not, it finishes the request or has it wait for a
// probe round. The primary may have changed while the request was queued, and
// running a write regardless would hide the loss from the session.
func (n *Node) checkSessionWrites(r *request) bool {
	survival := n.sessionSurvival(r)
	if survival == group.SurvivalHeld {
		return true
	}
	r.db.sched.Done(n.now, r.item, 0)
	r.inScheduler = false
	if survival == group.SurvivalLost {
		n.reportWriteLost(r)
	} else {
		n.awaitRound(r)
	}
	return false
}

// primaryIndex returns the index of the primary in db.upstreams, or -1.
func (db *database) primaryIndex() int {
	for i := range db.upstreams {
		if db.upstreams[i].name == db.primary {
			return i
		}
	}
	return -1
}

func (n *Node) dispatchReplicas(db *database) {
	for db.sched.Len(flood.LaneReplica) > 0 {
		if !n.hasReadyReplica(db) {
			return
		}
		item, ok := db.sched.Next(n.now, flood.LaneReplica)
		if !ok {
			return
		}
		n.dispatchToReplica(n.requests[item.Handle])
	}
}

// hasReadyReplica reports whether a replica has free capacity and an idle
// connection. It opens connections to replicas that lack only the connection.
func (n *Node) hasReadyReplica(db *database) bool {
	ready := false
	for i := range db.upstreams {
		u := &db.upstreams[i]
		if u.name == db.primary || n.leavingUpstreams[u.name] || u.inFlight >= u.maxInFlight {
			continue
		}
		if c := n.takeIdle(u); c != nil {
			u.putBack(c)
			ready = true
			continue
		}
		n.openConnections(db, i, db.sched.Len(flood.LaneReplica))
	}
	return ready
}

// dispatchToReplica dispatches a read to the eligible replica with the most free
// capacity. Without one, the read goes back to waiting for a replica.
func (n *Node) dispatchToReplica(r *request) {
	if !n.checkSessionWrites(r) {
		return
	}
	db := r.db
	best := -1
	for i := range db.upstreams {
		u := &db.upstreams[i]
		if u.name == db.primary || n.leavingUpstreams[u.name] || u.inFlight >= u.maxInFlight || len(u.idleConnections) == 0 {
			continue
		}
		if !db.group.Eligible(n.now, u.name, r.floor, r.class.MaxAge) {
			continue
		}
		if best < 0 || u.maxInFlight-u.inFlight > db.upstreams[best].maxInFlight-db.upstreams[best].inFlight {
			best = i
		}
	}
	if best < 0 {
		db.sched.Done(n.now, r.item, 0)
		r.inScheduler = false
		n.awaitReplica(r)
		return
	}
	n.dispatchTo(r, n.takeIdle(&db.upstreams[best]))
}

// dispatchTo sends the request's batch to an idle connection.
func (n *Node) dispatchTo(r *request, c *connection) {
	db := r.db
	u := &db.upstreams[c.upstream]
	r.inScheduler = false
	r.state = stateRunning
	r.conn = c
	r.dispatchedAt = n.now
	r.upstream = u.name
	r.term = db.term
	c.state = connBusy
	c.request = r
	u.inFlight++
	db.runningRequests++
	n.scheduleStallCheck(r)
	hold := r.item.Lane == flood.LanePrimary
	if hold && r.class.ReadOnly {
		// The round runs concurrently with the read. It proves that the primary was
		// not replaced before the read began.
		r.round = db.group.RequestRound(n.now)
	}
	n.out.Dispatches = append(n.out.Dispatches, Dispatch{
		Handle:     r.arrival.Handle,
		Connection: c.id,
		Upstream:   u.name,
		ReadOnly:   r.class.ReadOnly,
		Ledger:     r.usesLedger(),
		Hold:       hold,
	})
}

// dispatchPinned sends a statement of an open transaction to the transaction's
// connection. It bypasses the queue, since the transaction holds locks and a
// connection.
func (n *Node) dispatchPinned(r *request, c *connection) {
	if c.state != connPinned {
		n.refuse(r, "statement_running", 0)
		return
	}
	db := c.db
	n.markDirty(db)
	db.lastUsed = n.now
	r.state = stateRunning
	r.conn = c
	r.dispatchedAt = n.now
	r.upstream = db.upstreams[c.upstream].name
	r.term = c.term
	r.item.Lane = c.lane
	c.state = connBusy
	c.request = r
	db.upstreams[c.upstream].inFlight++
	db.runningRequests++
	n.scheduleStallCheck(r)
	if r.class.ReadOnly {
		r.round = db.group.RequestRound(n.now)
	}
	n.out.Dispatches = append(n.out.Dispatches, Dispatch{
		Handle:     r.arrival.Handle,
		Connection: c.id,
		Upstream:   r.upstream,
		ReadOnly:   r.class.ReadOnly,
		Hold:       true,
		Continued:  true,
	})
}

func (n *Node) stepCompletions(in *Inputs) {
	for i := range in.Completions {
		n.stepCompletion(&in.Completions[i])
	}
}

func (n *Node) stepCompletion(p *Completion) {
	c, ok := n.conns[p.Connection]
	if !ok || c.state != connBusy || c.request == nil || c.request.arrival.Handle != p.Handle {
		return
	}
	r := c.request
	n.markDirty(c.db)
	n.chargeSlot(r, n.now.Sub(r.dispatchedAt))
	n.observeServiceTime(c, n.now.Sub(r.dispatchedAt))
	r.streamed = r.streamed || p.Streamed
	switch p.Kind {
	case CompletionAnswered:
		n.handleAnswered(r, p)
	case CompletionDuplicate:
		n.releaseConnection(c)
		r.outcome = ResultAlreadyExecuted
		n.awaitConfirmation(r)
	case CompletionRejected:
		n.releaseConnection(c)
		n.requeueRejected(r, reasonNotPrimary)
	case CompletionNotSent:
		n.dropConnection(r)
		n.requeueRejected(r, "upstream_unreachable")
	case CompletionBroken:
		n.dropConnection(r)
		n.handleConnectionLost(r)
	}
}

// chargeSlot reports the slot time of a dispatch to the scheduler and adds it to
// the measured cost of the class. Statements of open transactions bypass the
// scheduler and are not reported.
func (n *Node) chargeSlot(r *request, cost time.Duration) {
	if r.arrival.InTransaction {
		return
	}
	r.db.sched.Done(n.now, r.item, cost)
	r.class.observeCost(cost)
}

// observeCost updates the moving average of the class's cost.
func (c *classState) observeCost(cost time.Duration) {
	const weight = 16
	c.cost += (cost - c.cost) / weight
}

// handleAnswered handles a batch that got a response. An open transaction keeps
// its connection; otherwise the response waits for confirmation, unless it is a
// read from a replica.
func (n *Node) handleAnswered(r *request, p *Completion) {
	c := r.conn
	r.wrote, r.failed = p.Wrote, p.Failed
	if p.InTransaction {
		n.pinConnection(r, c)
		n.finish(r, Result{Kind: ResultDone, InTransaction: true})
		return
	}
	n.unpin(c)
	n.releaseConnection(c)
	if r.item.Lane == flood.LaneReplica && !r.wrote {
		n.finish(r, Result{Kind: ResultDone})
		return
	}
	r.outcome = ResultDone
	n.awaitConfirmation(r)
}

// pinConnection reserves the connection for the caller's open transaction.
func (n *Node) pinConnection(r *request, c *connection) {
	n.freeSlot(c)
	c.state = connPinned
	c.request = nil
	c.lastUsed = n.now
	c.caller = r.arrival.Caller
	if n.transactions[c.caller].conn != c {
		c.inbound = r.arrival.inboundStream()
	}
	c.term = r.term
	c.lane = r.item.Lane
	if old, ok := n.transactions[c.caller]; ok && old.conn != c {
		// An earlier transaction of the caller is still open on this node.
		n.abortTransaction(c.caller)
	}
	n.transactions[c.caller] = openTransaction{conn: c, id: r.arrival.Transaction}
}

// unpin removes the open transaction of a connection, if there is one.
func (n *Node) unpin(c *connection) {
	if n.transactions[c.caller].conn == c {
		delete(n.transactions, c.caller)
	}
}

// releaseConnection makes a busy connection available again.
func (n *Node) releaseConnection(c *connection) {
	n.freeSlot(c)
	c.caller, c.inbound = 0, streamKey{}
	n.markIdle(c)
}

// dropConnection removes the request's connection, which can't be used again.
func (n *Node) dropConnection(r *request) {
	n.unpin(r.conn)
	n.removeConnection(r.conn)
}

const (
	reasonNotPrimary = "not_primary"
	// maxRejections bounds how often a request is queued again.
	maxRejections = 10
	// rejectionPause is how long dispatch to the primary pauses after a rejection.
	// Until the group detects the change of primary, more writes would be rejected.
	rejectionPause = 100 * time.Millisecond
)

// requeueRejected queues a request again that did not run or may run twice. It
// refuses statements of open transactions, requests of whose response a part was
// sent, and requests with more than maxRejections.
func (n *Node) requeueRejected(r *request, reason string) {
	r.rejections++
	if reason == reasonNotPrimary {
		r.db.primaryPausedUntil = n.now.Add(rejectionPause)
	}
	if r.arrival.InTransaction || r.streamed || r.rejections > maxRejections {
		n.refuse(r, reason, n.retryHint(r))
		return
	}
	n.admitAgain(r)
}

// handleConnectionLost handles a request whose connection was lost after the
// batch was sent. It is queued again if it may run twice, and otherwise gets
// ResultUnknown.
func (n *Node) handleConnectionLost(r *request) {
	r.mayHaveRun = true
	if n.mayRunAgain(r) && !r.streamed && !r.arrival.InTransaction {
		n.requeueRejected(r, "upstream_lost")
		return
	}
	n.finishUnknown(r, "upstream_lost")
}

// admitAgain has the request wait for a probe round, which determines the current
// primary, before it is queued again.
func (n *Node) admitAgain(r *request) {
	if n.now >= r.deadline {
		n.refuse(r, "deadline", n.retryHint(r))
		return
	}
	r.conn = nil
	n.awaitRound(r)
}

// expireRunning abandons a batch that got no response in time. It closes the
// connection, so that a late response is not taken for that of another request.
func (n *Node) expireRunning(r *request) {
	c := r.conn
	n.out.Cancels = append(n.out.Cancels, CancelUpstream{Connection: c.id})
	// A connection that does not respond gives no measurement of the class's cost.
	n.chargeSlot(r, r.class.cost)
	c.db.upstreams[c.upstream].suspectedAt = n.now
	n.unpin(c)
	n.closeConnection(c)
	n.finishUnknown(r, "upstream_timeout")
}
