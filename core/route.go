package core

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// stepArrivals classifies new requests and routes them to the owners.
func (n *Node) stepArrivals(in *Inputs) {
	for i := range in.Arrivals {
		n.stepArrival(&in.Arrivals[i])
	}
}

func (n *Node) stepArrival(a *Arrival) {
	r := n.newRequest(*a)
	if len(n.requests) > n.config.MaxRequests {
		n.refuse(r, "too_many_requests", n.retryHint(r))
		return
	}
	if !n.classify(r) {
		return
	}
	n.requestTimers.push(requestTimer{at: r.deadline, handle: a.Handle})
	if a.InTransaction {
		n.continueTransaction(r)
		return
	}
	if a.ForwardedBy != "" {
		n.admitForwarded(r)
		return
	}
	n.route(r)
}

// classify sets the request's database, class and deadline. It refuses the
// request and reports false if the database or class is unknown.
func (n *Node) classify(r *request) bool {
	db, ok := n.databases[r.arrival.Database]
	if !ok {
		n.refuse(r, "unknown_database", 0)
		return false
	}
	r.db = db
	r.service = db.service
	name := r.arrival.Class
	if name == "" {
		name = db.classOf(r.arrival.User)
	}
	class, ok := db.service.classes[name]
	if !ok {
		n.refuse(r, "unknown_class", 0)
		return false
	}
	r.class = class
	timeout := class.Timeout
	if r.arrival.Timeout > 0 {
		timeout = min(timeout, r.arrival.Timeout)
	}
	r.deadline = n.now.Add(timeout)
	return true
}

// classOf returns the class that the document assigns to a user.
func (db *database) classOf(user string) string {
	for i := range db.spec.Users {
		if db.spec.Users[i].User == user {
			return db.spec.Users[i].Class
		}
	}
	return db.spec.DefaultClass
}

// continueTransaction sends a statement to the connection or the peer at which
// its transaction is open.
func (n *Node) continueTransaction(r *request) {
	tx, ok := n.transactions[r.arrival.Caller]
	switch {
	case !ok || tx.id != r.arrival.Transaction:
		n.refuse(r, "transaction_lost", 0)
	case tx.conn != nil:
		r.db = tx.conn.db
		n.dispatchPinned(r, tx.conn)
	default:
		n.forward(r, tx.peer)
	}
}

// route forwards a request to the first usable owner in hash order, as defined by
// membership.Table.Owner, that was not tried yet. If there is none, or if it is
// this node, the request is admitted here.
func (n *Node) route(r *request) {
	if r.triedCount == maxForwardAttempts {
		n.refuse(r, "no_owner", n.retryHint(r))
		return
	}
	owner, ok := n.membership.Owner(n.now, r.db.name, r.triedOwners[:r.triedCount])
	if !ok || owner == n.config.Self {
		n.admit(r)
		return
	}
	r.triedOwners[r.triedCount] = owner
	r.triedCount++
	n.forward(r, owner)
}

// forward sends a request to a peer and ends its wait for an earlier peer.
func (n *Node) forward(r *request, peer entity.VM) {
	n.stopAwaitingPeer(r)
	r.state = stateForwarded
	r.peer = peer
	r.forwardedAt = n.now
	n.forwarded[peer]++
	n.out.Forwards = append(n.out.Forwards, Forward{
		Handle:  r.arrival.Handle,
		Peer:    peer,
		Class:   r.class.Name,
		Timeout: r.deadline.Sub(n.now),
	})
}

// stopAwaitingPeer ends a request's wait for its peer.
func (n *Node) stopAwaitingPeer(r *request) {
	if r.peer == "" {
		return
	}
	n.forwarded[r.peer]--
	if n.forwarded[r.peer] == 0 {
		delete(n.forwarded, r.peer)
	}
	r.peer = ""
}

// peerCheckInterval is the time between checks for peers that stopped responding.
const peerCheckInterval = 50 * time.Millisecond

// reportLostPeers reports peers that stopped responding while requests wait for
// them in Outputs.PeersLost, each once until it is alive again.
func (n *Node) reportLostPeers() {
	if n.now < n.nextPeerCheck {
		return
	}
	n.nextPeerCheck = n.now.Add(peerCheckInterval)
	from := len(n.out.PeersLost)
	for vm := range n.forwarded {
		alive := n.membership.Alive(n.now, vm)
		if !alive && !n.lostPeers[vm] {
			n.out.PeersLost = append(n.out.PeersLost, vm)
		}
		if alive {
			delete(n.lostPeers, vm)
		}
	}
	slices.Sort(n.out.PeersLost[from:])
	for _, vm := range n.out.PeersLost[from:] {
		n.lostPeers[vm] = true
	}
}

func (n *Node) stepPeers(in *Inputs) {
	for i := range in.PeerResults {
		n.stepPeerResult(&in.PeerResults[i])
	}
	for _, p := range in.PeersDown {
		n.handlePeerDown(p)
	}
}

func (n *Node) stepPeerResult(p *PeerResult) {
	if p.Kind != ResultNotOwner && p.Kind != ResultUnknown {
		// The runtime reports the excluded kinds also for peers that it can't
		// reach, so they don't prove that the peer is alive.
		n.lastPeerResult[p.Peer] = n.now
	}
	r, ok := n.requests[p.Handle]
	if !ok || r.state != stateForwarded || r.peer != p.Peer {
		return
	}
	if n.tryReroute(r, p) {
		return
	}
	if p.InTransaction {
		n.transactions[r.arrival.Caller] = openTransaction{peer: p.Peer, id: r.arrival.Transaction}
	} else if n.transactions[r.arrival.Caller].id == r.arrival.Transaction {
		delete(n.transactions, r.arrival.Caller)
	}
	kind := p.Kind
	if kind == ResultNotOwner {
		kind = ResultNotRun
	}
	result := Result{
		Kind:          kind,
		Reason:        p.Reason,
		RetryAfter:    p.RetryAfter,
		Position:      p.Position,
		InTransaction: p.InTransaction,
	}
	if r.forwardedAt < n.lastResume && result.AcknowledgesWrite() {
		// This node was paused while the request was at the owner. The acknowledgement
		// may have waited in a socket buffer, also if it reaches the core some ticks
		// after the pause, and the primary may have been replaced meanwhile.
		result = Result{Kind: ResultUnknown, Reason: "stale_acknowledgement"}
	}
	n.finish(r, result)
}

// ReasonPeerLost is the Reason of PeerResults that the runtime makes up for
// requests whose owner was lost. A ResultUnknown with another reason comes from
// the owner and is final.
const ReasonPeerLost = "peer_lost"

// tryReroute sends the request to the next owner if it is proven not to have
// run, or if its owner was lost, it may run again and no part of its response was
// sent to the caller. It reports whether it did so.
func (n *Node) tryReroute(r *request, p *PeerResult) bool {
	retry := p.Kind == ResultNotOwner
	if p.Kind == ResultUnknown && p.Reason == ReasonPeerLost && n.mayRunAgain(r) && !p.Streamed {
		retry = true
	}
	if !retry || r.arrival.InTransaction || n.now >= r.deadline {
		return false
	}
	r.mayHaveRun = r.mayHaveRun || p.Kind == ResultUnknown
	n.stopAwaitingPeer(r)
	n.route(r)
	return true
}

// mayRunAgain reports whether a request whose outcome is unknown may be
// dispatched again: it is repeatable, or the ledger prevents a second execution.
func (n *Node) mayRunAgain(r *request) bool {
	return r.class.Repeatable || r.usesLedger()
}

// handlePeerDown ends the transactions that used the broken stream: those that
// callers of this node have open at the peer or, for an inbound stream, those
// that callers of the peer have open here. For an inbound stream it also cancels
// the requests that the peer forwarded.
func (n *Node) handlePeerDown(p PeerDown) {
	callers := n.transactionCallers(p)
	for _, caller := range callers {
		n.abortTransaction(caller)
	}
	if p.Inbound {
		n.cancelForwarded(streamKey{p.Peer, p.Stream})
	}
}

// transactionCallers returns the callers whose open transactions use the stream,
// sorted.
func (n *Node) transactionCallers(p PeerDown) []entity.CallerID {
	var callers []entity.CallerID
	stream := streamKey{p.Peer, p.Stream}
	for caller, tx := range n.transactions {
		inbound := tx.conn != nil && tx.conn.inbound == stream
		outbound := tx.conn == nil && tx.peer == p.Peer
		if (p.Inbound && inbound) || (!p.Inbound && outbound) {
			callers = append(callers, caller)
		}
	}
	slices.Sort(callers)
	return callers
}

// streamKey identifies an inbound stream.
type streamKey struct {
	peer   entity.VM
	stream uint64
}

// inboundStream returns the stream on which a forwarded request came.
func (a *Arrival) inboundStream() streamKey { return streamKey{a.ForwardedBy, a.Stream} }

// cancelForwarded cancels the requests that came on an inbound stream.
func (n *Node) cancelForwarded(stream streamKey) {
	var handles []entity.Handle
	for h, r := range n.requests {
		if r.arrival.inboundStream() == stream {
			handles = append(handles, h)
		}
	}
	slices.Sort(handles)
	for _, h := range handles {
		n.cancel(h)
	}
}

// abortTransaction forgets a caller's open transaction. If it is open on this
// node, closing its connection rolls it back.
func (n *Node) abortTransaction(caller entity.CallerID) {
	tx, ok := n.transactions[caller]
	if !ok {
		return
	}
	delete(n.transactions, caller)
	if tx.conn == nil {
		return
	}
	if r := tx.conn.request; r != nil {
		n.finishUnknown(r, "caller_closed")
	}
	n.closeConnection(tx.conn)
}

// stepCallers handles the events of callers other than new requests.
func (n *Node) stepCallers(in *Inputs) {
	for _, h := range in.Streaming {
		if r, ok := n.requests[h]; ok {
			r.streamed = true
		}
	}
	for _, c := range in.Cancels {
		n.cancel(c.Handle)
	}
	for _, c := range in.CallersClosed {
		if n.transactions[c.Caller].id == c.Transaction {
			n.abortTransaction(c.Caller)
		}
	}
}

// cancel cancels a request. A running batch is cancelled at the upstream, and its
// Completion ends the request.
func (n *Node) cancel(h entity.Handle) {
	r, ok := n.requests[h]
	if !ok {
		return
	}
	switch r.state {
	case stateRunning:
		n.out.Cancels = append(n.out.Cancels, CancelUpstream{Connection: r.conn.id})
	case stateAwaitingRound, stateQueued, stateAwaitingReplica:
		n.refuse(r, "cancelled", 0)
	case stateForwarded, stateConfirming, stateAwaitingOriginal:
		// The request ends with its result. The runtime passes the cancel of a
		// forwarded request on to the peer.
	}
}

// forwardGrace is how long after the deadline a node waits for the result of a
// forwarded request. The owner sends its result at the deadline.
const forwardGrace = 250 * time.Millisecond

// expireForwarded ends a request whose owner sent no result in time. The owner is
// reported as silent only if it sent no result since the request was forwarded.
// Under overload an owner refuses many requests at their deadline, and skipping
// it would make one node after the other start to act as owner.
func (n *Node) expireForwarded(r *request) {
	if giveUp := r.deadline.Add(forwardGrace); n.now < giveUp {
		n.requestTimers.push(requestTimer{at: giveUp, handle: r.arrival.Handle})
		return
	}
	if n.lastPeerResult[r.peer] < r.forwardedAt {
		n.membership.ReportSilent(n.now, r.peer)
	}
	n.finishUnknown(r, "owner_timeout")
}
