package core

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// stepArrivals classifies new requests and routes them to the owner.
func (n *Node) stepArrivals(in *Inputs) {
	for i := range in.Arrivals {
		n.arrive(&in.Arrivals[i])
	}
}

func (n *Node) arrive(a *Arrival) {
	r := n.newRequest(*a)
	if len(n.requests) > n.config.MaxRequests {
		n.refuse(r, "too_many_requests", n.retryHint(r))
		return
	}
	if !n.classify(r) {
		return
	}
	n.deadlines.push(deadline{at: r.deadline, handle: a.Handle})
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

// classify finds the request's database and class.
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

func (db *database) classOf(user string) string {
	for i := range db.spec.Users {
		if db.spec.Users[i].User == user {
			return db.spec.Users[i].Class
		}
	}
	return db.spec.DefaultClass
}

// continueTransaction sends a statement to where its transaction is open.
func (n *Node) continueTransaction(r *request) {
	p, ok := n.pins[r.arrival.Caller]
	switch {
	case !ok || p.transaction != r.arrival.Transaction:
		n.refuse(r, "transaction_lost", 0)
	case p.conn != nil:
		r.db = p.conn.db
		n.dispatchPinned(r, p.conn)
	default:
		n.forward(r, p.peer)
	}
}

// route sends a request to the first owner that is alive in this view.
func (n *Node) route(r *request) {
	if r.tries == maxForwardTries {
		n.refuse(r, "no_owner", n.retryHint(r))
		return
	}
	owner, ok := n.members.Owner(n.now, r.db.name, r.tried[:r.tries])
	if !ok || owner == n.config.Self {
		n.admit(r)
		return
	}
	r.tried[r.tries] = owner
	r.tries++
	n.forward(r, owner)
}

func (n *Node) forward(r *request, peer entity.VM) {
	n.leavePeer(r)
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

// leavePeer ends a request's wait for its peer.
func (n *Node) leavePeer(r *request) {
	if r.peer == "" {
		return
	}
	n.forwarded[r.peer]--
	if n.forwarded[r.peer] == 0 {
		delete(n.forwarded, r.peer)
	}
	r.peer = ""
}

// peerCheckInterval is the time between looks for peers that went silent.
const peerCheckInterval = 50 * time.Millisecond

// reportLostPeers gives up on peers that have requests and went silent.
func (n *Node) reportLostPeers() {
	if n.now < n.nextPeers {
		return
	}
	n.nextPeers = n.now.Add(peerCheckInterval)
	from := len(n.out.PeersLost)
	for vm := range n.forwarded {
		alive := n.members.Alive(n.now, vm)
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
		n.dropPeer(p)
	}
}

func (n *Node) stepPeerResult(p *PeerResult) {
	if p.Kind != ResultNotOwner && p.Kind != ResultUnknown {
		// The shell itself reports the other kinds for peers that are lost.
		n.heard[p.Peer] = n.now
	}
	r, ok := n.requests[p.Handle]
	if !ok || r.state != stateForwarded || r.peer != p.Peer {
		return
	}
	if n.rerouted(r, p) {
		return
	}
	if p.InTransaction {
		n.pins[r.arrival.Caller] = pin{peer: p.Peer, transaction: r.arrival.Transaction}
	} else if n.pins[r.arrival.Caller].transaction == r.arrival.Transaction {
		delete(n.pins, r.arrival.Caller)
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
	if n.paused && result.AcknowledgesWrite() {
		// The acknowledgement may have waited here while the primary was replaced.
		result = Result{Kind: ResultUnknown, Reason: "stale_acknowledgement"}
	}
	n.finish(r, result)
}

// ReasonPeerLost is the reason that the shell gives for requests whose owner was
// lost. What an owner itself gives up on is final.
const ReasonPeerLost = "peer_lost"

// rerouted tries the next owner if the request is proven not to have run, or if
// its owner was lost, it may run again and no part of its answer has left.
func (n *Node) rerouted(r *request, p *PeerResult) bool {
	again := p.Kind == ResultNotOwner
	if p.Kind == ResultUnknown && p.Reason == ReasonPeerLost && n.mayRunAgain(r) && !p.Streamed {
		again = true
	}
	if !again || r.arrival.InTransaction || n.now >= r.deadline {
		return false
	}
	r.maybeRan = r.maybeRan || p.Kind == ResultUnknown
	n.leavePeer(r)
	n.route(r)
	return true
}

// mayRunAgain reports whether a request whose outcome is unknown may be sent
// again: it is repeatable, or the ledger refuses a second execution.
func (n *Node) mayRunAgain(r *request) bool {
	return r.class.Repeatable || r.usesLedger()
}

// dropPeer ends the transactions that were open at a peer, or that a peer's
// callers had open here.
func (n *Node) dropPeer(p PeerDown) {
	callers := n.callersOf(p)
	for _, caller := range callers {
		n.dropPin(caller)
	}
	if p.Inbound {
		n.cancelFrom(p.Peer)
	}
}

func (n *Node) callersOf(p PeerDown) []entity.CallerID {
	var callers []entity.CallerID
	for caller, at := range n.pins {
		inbound := at.conn != nil && at.conn.from == p.Peer
		outbound := at.conn == nil && at.peer == p.Peer
		if (p.Inbound && inbound) || (!p.Inbound && outbound) {
			callers = append(callers, caller)
		}
	}
	slices.Sort(callers)
	return callers
}

// cancelFrom gives up on the requests that a peer forwarded.
func (n *Node) cancelFrom(peer entity.VM) {
	var handles []entity.Handle
	for h, r := range n.requests {
		if r.arrival.ForwardedBy == peer {
			handles = append(handles, h)
		}
	}
	slices.Sort(handles)
	for _, h := range handles {
		n.cancel(h)
	}
}

func (n *Node) dropPin(caller entity.CallerID) {
	p, ok := n.pins[caller]
	if !ok {
		return
	}
	delete(n.pins, caller)
	if p.conn == nil {
		return
	}
	if r := p.conn.request; r != nil {
		n.finishUnknown(r, "caller_closed")
	}
	n.closeConnection(p.conn)
}

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
		if n.pins[c.Caller].transaction == c.Transaction {
			n.dropPin(c.Caller)
		}
	}
}

// cancel gives up on a request. What runs is cancelled at the upstream and ends
// with its completion.
func (n *Node) cancel(h entity.Handle) {
	r, ok := n.requests[h]
	if !ok {
		return
	}
	switch r.state {
	case stateRunning:
		n.out.Cancels = append(n.out.Cancels, CancelUpstream{Connection: r.conn.id})
	case stateFloor, stateQueued, stateReplica:
		n.refuse(r, "cancelled", 0)
	case stateForwarded, stateConfirming, stateJoined:
		// The shell passes the cancel on to the peer; the result ends the request.
	}
}

// forwardGrace is how long an entry waits after the deadline for the owner's
// final answer, which the owner gives at the deadline.
const forwardGrace = 250 * time.Millisecond

// expireForwarded ends a request whose owner did not answer in time. The owner
// counts as silent only if nothing came from it since: in a flood it refuses
// many requests at their deadline, and to skip it then would start owners one
// after the other.
func (n *Node) expireForwarded(r *request) {
	if giveUp := r.deadline.Add(forwardGrace); n.now < giveUp {
		n.deadlines.push(deadline{at: giveUp, handle: r.arrival.Handle})
		return
	}
	if n.heard[r.peer] < r.forwardedAt {
		n.members.ReportSilent(n.now, r.peer)
	}
	n.finishUnknown(r, "owner_timeout")
}
