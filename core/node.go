package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

type requestState uint8

const (
	// stateForwarded requests wait for a peer's result.
	stateForwarded requestState = iota
	// stateAwaitingRound requests wait for a probe round before they are queued.
	stateAwaitingRound
	// stateQueued requests wait for a slot.
	stateQueued
	// stateAwaitingReplica reads wait for a replica to apply the log up to their
	// floor.
	stateAwaitingReplica
	// stateRunning requests were dispatched.
	stateRunning
	// stateConfirming requests got a response, which is held until a probe round
	// confirms it.
	stateConfirming
	// stateAwaitingOriginal requests are duplicates of a request that is still
	// open and get a copy of its result.
	stateAwaitingOriginal
)

// maxForwardAttempts bounds the owners to which one request is forwarded in turn.
const maxForwardAttempts = 4

// request is the state of an open request.
type request struct {
	arrival   Arrival
	state     requestState
	service   *service
	class     *classState
	db        *database
	arrivedAt entity.Time
	deadline  entity.Time
	// dispatchedAt is when the batch was last dispatched.
	dispatchedAt entity.Time
	item         flood.Item
	// inScheduler is set while the scheduler has item queued.
	inScheduler bool
	// floor is the lowest log position that a read must see.
	floor entity.Position
	// round is the probe round that the request waits for.
	round group.RoundID
	conn  *connection
	// term is the primary's term when the request was dispatched to it.
	term     uint64
	upstream entity.Upstream
	// ackPosition is the position that a majority must have stored before the
	// write is acknowledged.
	ackPosition entity.Position
	// outcome is the result given once the response is confirmed.
	outcome  ResultKind
	streamed bool
	// record is the deduplication record of the request's id, if this request
	// opened it.
	record *record
	// rejections counts the failed dispatches after which the request could be
	// queued again.
	rejections int
	// confirmingDuplicate is set while a duplicate of a finished request waits
	// for a probe round.
	confirmingDuplicate bool
	// wrote and failed are as in the request's Completion.
	wrote, failed bool
	// seenBefore is set if an earlier request had the same id.
	seenBefore bool
	// mayHaveRun is set once a dispatch or forward ended without proof that the
	// request did not run.
	mayHaveRun bool
	// retriedAfterStall is set once the request was dispatched again because its
	// connection did not respond.
	retriedAfterStall bool
	// peer is the owner whose result the request waits for, or empty.
	peer        entity.VM
	forwardedAt entity.Time
	triedOwners [maxForwardAttempts]entity.VM
	triedCount  int
	// replicaWaitUntil is when a read that waits for a replica is sent to the
	// primary; 0 before the first wait.
	replicaWaitUntil entity.Time
}

// service is the current document of a service.
type service struct {
	spec    Service
	classes map[string]*classState
}

// classState is a class with its measured cost.
type classState struct {
	Class
	// cost is the moving average of the slot time.
	cost time.Duration
}

// Node is the state of one proxy. It is not safe for concurrent use.
type Node struct {
	config     Config
	now        entity.Time
	membership *membership.Table
	services   map[string]*service
	databases  map[entity.Database]*database
	// sortedDatabases has all databases in name order.
	sortedDatabases []*database
	// ownerCandidates has the databases that this node owns or may come to own.
	ownerCandidates []*database
	requests        map[entity.Handle]*request
	// freeRequests has finished requests whose memory is reused.
	freeRequests []*request
	transactions map[entity.CallerID]openTransaction
	conns        map[entity.ConnectionID]*connection
	nextConn     entity.ConnectionID
	// leavingUpstreams has the upstreams whose VM is about to shut down.
	leavingUpstreams map[entity.Upstream]bool
	requestTimers    requestTimerHeap
	databaseTimers   databaseTimerHeap
	// dirtyDatabases has the databases to run in this tick.
	dirtyDatabases []*database
	// refusals is a buffer that is reused between ticks.
	refusals           []flood.Refusal
	listRevision       uint64
	nextOwnershipCheck entity.Time
	// lastResume is the time of the first tick after the last pause, 0 if there was none.
	lastResume entity.Time
	// forwarded counts the requests that wait for each peer.
	forwarded map[entity.VM]int
	// lastPeerResult is when each peer last sent a result that proves it alive.
	lastPeerResult map[entity.VM]entity.Time
	// lostPeers has the peers that were reported in Outputs.PeersLost.
	lostPeers      map[entity.VM]bool
	nextPeerCheck  entity.Time
	draining       bool
	drainNotBefore entity.Time
	drained        bool
	out            Outputs
}

// openTransaction locates a caller's open transaction: on a connection of this
// node or, if conn is nil, at a peer.
type openTransaction struct {
	peer entity.VM
	conn *connection
	// id is the Transaction of the Arrival that began it.
	id uint64
}

// New returns a node without documents. It serves no database until Tick is
// given some.
func New(config Config) *Node {
	return &Node{
		config:           config,
		membership:       membership.New(config.Membership, config.Seed),
		services:         map[string]*service{},
		databases:        map[entity.Database]*database{},
		requests:         map[entity.Handle]*request{},
		transactions:     map[entity.CallerID]openTransaction{},
		conns:            map[entity.ConnectionID]*connection{},
		leavingUpstreams: map[entity.Upstream]bool{},
		forwarded:        map[entity.VM]int{},
		lastPeerResult:   map[entity.VM]entity.Time{},
		lostPeers:        map[entity.VM]bool{},
		nextConn:         1,
	}
}

// Tick processes the inputs that arrived since the last tick in a fixed order:
// documents, membership, connections, completions, probe and promotion answers,
// peer results, caller events, arrivals, expiry. It then runs each owned database
// that had input or whose timer is due. The outputs are valid until the next tick.
// now must not decrease.
func (n *Node) Tick(now entity.Time, in *Inputs) *Outputs {
	n.now = max(now, n.now)
	if n.out.NextTick > 0 && now.Sub(n.out.NextTick) > pauseTolerance {
		// A tick that runs long after it was due means that this node was paused.
		n.lastResume = n.now
	}
	n.out.reset()
	n.stepDocumentsAndDrain(in)
	n.stepMembership(in)
	n.stepConnections(in)
	n.stepCompletions(in)
	n.stepGroups(in)
	n.stepPeers(in)
	n.stepCallers(in)
	n.stepArrivals(in)
	n.reportLostPeers()
	n.expireRequests()
	n.updateOwnership()
	n.runDatabases()
	n.stepDrain()
	n.emitHeartbeats()
	n.out.NextTick = n.nextTick()
	return &n.out
}

func (o *Outputs) reset() {
	o.Forwards = o.Forwards[:0]
	o.Dispatches = o.Dispatches[:0]
	o.Results = o.Results[:0]
	o.Opens = o.Opens[:0]
	o.Closes = o.Closes[:0]
	o.Checks = o.Checks[:0]
	o.Cancels = o.Cancels[:0]
	o.Probes = o.Probes[:0]
	o.Fences = o.Fences[:0]
	o.Promotes = o.Promotes[:0]
	o.Claims = o.Claims[:0]
	o.Heartbeats = o.Heartbeats[:0]
	o.Replies = o.Replies[:0]
	o.PeersLost = o.PeersLost[:0]
	o.Events = o.Events[:0]
}

func (n *Node) nextTick() entity.Time {
	next := min(n.membership.NextTick(), n.nextOwnershipCheck)
	if len(n.forwarded) > 0 {
		next = min(next, n.nextPeerCheck)
	}
	if len(n.requestTimers) > 0 {
		next = min(next, n.requestTimers[0].at)
	}
	if len(n.databaseTimers) > 0 {
		next = min(next, n.databaseTimers[0].nextTick)
	}
	if n.draining && !n.drained {
		next = min(next, max(n.drainNotBefore, n.now.Add(drainPollInterval)))
	}
	return max(next, n.now.Add(minTickGap))
}

const (
	// minTickGap prevents a timer that is already due from causing a busy loop.
	minTickGap = 100 * time.Microsecond
	// drainPollInterval is the time between checks whether a drain is complete.
	drainPollInterval = 50 * time.Millisecond
	// pauseTolerance is the lateness of a tick above which the node counts as
	// paused. A promotion takes longer than that.
	pauseTolerance = 500 * time.Millisecond
	// ownershipCheckInterval is the time between updates of the databases that
	// this node owns.
	ownershipCheckInterval = 500 * time.Millisecond
)

func (n *Node) stepMembership(in *Inputs) {
	if in.ListRevision > 0 {
		n.updateProxyList(in)
	}
	for _, r := range in.Heartbeats {
		n.membership.StepHeartbeat(n.now, r)
	}
	for _, r := range in.Replies {
		n.membership.StepReply(n.now, r)
	}
	for _, p := range in.PeersDown {
		n.membership.ReportSilent(n.now, p.Peer)
	}
	n.membership.Tick(n.now)
}

// updateProxyList applies the platform's list of VMs unless it is older than the
// current one.
func (n *Node) updateProxyList(in *Inputs) {
	if in.ListRevision < n.listRevision {
		return
	}
	n.listRevision = in.ListRevision
	n.membership.Update(n.now, in.ProxyList)
	clear(n.leavingUpstreams)
	for _, u := range in.LeavingUpstreams {
		n.leavingUpstreams[u] = true
	}
	n.nextOwnershipCheck = n.now
	for _, db := range n.sortedDatabases {
		n.updateOwnerCandidate(db)
		if db.owned {
			n.markDirty(db)
		}
	}
}

func (n *Node) emitHeartbeats() {
	ready := n.membership.Ready()
	n.out.Heartbeats = append(n.out.Heartbeats, ready.Requests...)
	n.out.Replies = append(n.out.Replies, ready.Replies...)
}

// newRequest registers the request of an arrival.
func (n *Node) newRequest(a Arrival) *request {
	var r *request
	if k := len(n.freeRequests); k > 0 {
		r = n.freeRequests[k-1]
		n.freeRequests = n.freeRequests[:k-1]
	} else {
		r = &request{}
	}
	*r = request{arrival: a, arrivedAt: n.now}
	n.requests[a.Handle] = r
	return r
}

// finish emits the result of the request and removes the request. A result that
// claims that the request did not run becomes ResultUnknown if an earlier
// dispatch or forward may have run.
func (n *Node) finish(r *request, result Result) {
	result.Handle = r.arrival.Handle
	if r.mayHaveRun && result.Kind.impliesNotRun() {
		result.Kind, result.RetryAfter = ResultUnknown, 0
	}
	n.out.Results = append(n.out.Results, result)
	delete(n.requests, r.arrival.Handle)
	n.stopAwaitingPeer(r)
	if r.inScheduler {
		r.db.sched.Remove(r.arrival.Handle)
		r.inScheduler = false
	}
	n.closeRecord(r, result)
	n.freeRequests = append(n.freeRequests, r)
}

// refuse finishes a request that did not run.
func (n *Node) refuse(r *request, reason string, retryAfter time.Duration) {
	n.finish(r, Result{Kind: ResultNotRun, Reason: reason, RetryAfter: retryAfter})
}

// expireRequests handles the request timers that are due: deadlines and stall
// checks.
func (n *Node) expireRequests() {
	for len(n.requestTimers) > 0 && n.requestTimers[0].at <= n.now {
		timer := n.requestTimers.pop()
		r, ok := n.requests[timer.handle]
		switch {
		case !ok:
		case r.deadline <= n.now:
			n.expire(r)
		case r.state == stateRunning && r.dispatchedAt == timer.stalledDispatch:
			n.handleStall(r)
		}
	}
}

// expire handles the deadline of a request.
func (n *Node) expire(r *request) {
	switch r.state {
	case stateForwarded:
		n.expireForwarded(r)
	case stateRunning:
		n.expireRunning(r)
	case stateConfirming:
		n.finishUnknown(r, "not_confirmed")
	case stateAwaitingOriginal:
		n.finishUnknown(r, "duplicate_running")
	default:
		n.refuse(r, "deadline", n.retryHint(r))
	}
}

func (n *Node) finishUnknown(r *request, reason string) {
	n.finish(r, Result{Kind: ResultUnknown, Reason: reason})
}

// retryHint returns the RetryAfter of refusals that are not made by the
// scheduler. A hash of the handle adds up to 17 ms (24 bits of nanoseconds) to
// spread retries.
func (n *Node) retryHint(r *request) time.Duration {
	const base = 250 * time.Millisecond
	jitter := time.Duration(uint64(r.arrival.Handle)*0x9e3779b97f4a7c15>>40) % base
	return base + jitter
}
