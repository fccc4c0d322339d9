package core

import "time"

const (
	// stallMin and stallFactor set when a running batch counts as stalled: after
	// stallFactor times the cost of its class, but not before stallMin. Its
	// connection may be dead while new connections work. stallMin is longer than
	// the pauses of 200 ms that occur without a failure.
	stallMin    = 500 * time.Millisecond
	stallFactor = 10
)

// scheduleStallCheck sets the timer at which a dispatched request counts as
// stalled, if that is before its deadline.
func (n *Node) scheduleStallCheck(r *request) {
	timeout := max(stallMin, stallFactor*r.class.cost)
	at := r.dispatchedAt.Add(timeout)
	if at < r.deadline {
		n.requestTimers.push(requestTimer{at: at, handle: r.arrival.Handle, stalledDispatch: r.dispatchedAt})
	}
}

// handleStall handles a batch that got no response in time. The idle connections
// to its upstream are checked before use. A request that may run again is
// dispatched once more on another connection. Any other request keeps waiting, but
// its batch no longer counts toward upstream.inFlight.
func (n *Node) handleStall(r *request) {
	c := r.conn
	u := &c.db.upstreams[c.upstream]
	if r.streamed {
		return
	}
	u.suspectedAt = n.now
	n.markDirty(c.db)
	if n.mayRunAgain(r) && !r.retriedAfterStall && !r.arrival.InTransaction {
		r.retriedAfterStall, r.mayHaveRun = true, true
		n.out.Cancels = append(n.out.Cancels, CancelUpstream{Connection: c.id})
		n.chargeSlot(r, r.class.cost)
		n.closeConnection(c)
		n.admitAgain(r)
		return
	}
	if c.stalled || u.stalledCount >= u.maxInFlight {
		return
	}
	c.stalled = true
	u.inFlight--
	u.stalledCount++
}
