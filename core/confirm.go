package core

import (
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// awaitConfirmation holds the response until a probe round proves that the
// primary was not replaced. A write needs a round that starts after the
// upstream's response, a read one that started when it was dispatched or later.
func (n *Node) awaitConfirmation(r *request) {
	r.state = stateConfirming
	if r.mayHaveWritten() {
		r.round = r.db.group.RequestRound(n.now)
	}
	r.db.confirming.push(r.arrival.Handle)
}

// mayHaveWritten reports whether the response may acknowledge a write.
func (r *request) mayHaveWritten() bool { return !r.class.ReadOnly || r.wrote }

// releaseConfirmed finishes the requests whose probe round was confirmed.
func (n *Node) releaseConfirmed(db *database) {
	if db.confirming.len() == 0 {
		return
	}
	// MayAcknowledge also marks this node as acting owner, which prevents it from
	// granting exclusivity to others. So it is called only while requests wait
	// for confirmation.
	_, mayAcknowledge := n.membership.MayAcknowledge(n.now, db.name)
	for k := db.confirming.len(); k > 0; k-- {
		h := db.confirming.pop()
		r, ok := n.requests[h]
		if !ok || r.state != stateConfirming {
			continue
		}
		if !n.tryConfirm(r, mayAcknowledge) {
			db.confirming.push(h)
		}
	}
}

// tryConfirm finishes the request if its probe round has a result that allows
// it. It reports whether the request left stateConfirming.
func (n *Node) tryConfirm(r *request, mayAcknowledge bool) bool {
	res := r.db.group.Round(r.round)
	switch res.State {
	case group.RoundPending:
		return false
	case group.RoundFailed:
		return n.retryConfirm(r)
	}
	if res.Primary != r.upstream || res.Term != r.term {
		n.handlePrimaryReplaced(r)
		return true
	}
	if !r.mayHaveWritten() {
		n.finish(r, Result{Kind: r.outcome})
		return true
	}
	if !n.majorityHolds(r, res) {
		return n.retryConfirm(r)
	}
	if !mayAcknowledge {
		// The confirmation must be recent when the response is released, so another
		// round is requested.
		return n.retryConfirm(r)
	}
	n.acknowledge(r, res.Position)
	return true
}

// retryConfirm requests another probe round, unless the primary is known to be
// replaced. It reports whether the request left stateConfirming.
func (n *Node) retryConfirm(r *request) bool {
	if r.db.primary != r.upstream || r.db.term != r.term {
		n.handlePrimaryReplaced(r)
		return true
	}
	r.round = r.db.group.RequestRound(n.now)
	return false
}

// majorityHolds reports whether the durability that the class asks for is
// reached. The first confirmed round after the write sets the position that
// covers it.
func (n *Node) majorityHolds(r *request, res group.RoundResult) bool {
	if r.class.Ack != AckMajority || termHasNoWrites(res) {
		return true
	}
	if r.ackPosition.IsZero() {
		r.ackPosition = res.Position
	}
	return !res.MajorityPosition.Less(r.ackPosition)
}

// termHasNoWrites reports whether the log has no entry of the primary's term yet,
// so that there is no write to wait for.
func termHasNoWrites(res group.RoundResult) bool {
	return res.Position.Term < res.Term || res.Position.Offset == 0
}

// acknowledge finishes a write and records its position for the session.
func (n *Node) acknowledge(r *request, position entity.Position) {
	if !r.ackPosition.IsZero() {
		position = r.ackPosition
	}
	r.db.sessions.advance(r.arrival.Session, position)
	n.finish(r, Result{Kind: r.outcome, Position: position})
}

// handlePrimaryReplaced handles a request whose primary was replaced before the
// response was confirmed. A repeatable read outside a transaction is queued again
// if no part of its response was sent. Any other request has an unknown outcome.
func (n *Node) handlePrimaryReplaced(r *request) {
	if !r.mayHaveWritten() && r.class.Repeatable && !r.streamed && !r.arrival.InTransaction {
		n.admitAgain(r)
		return
	}
	n.finishUnknown(r, "primary_replaced")
}
