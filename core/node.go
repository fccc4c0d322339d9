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
	// stateForwarded requests wait for a peer's answer.
	stateForwarded requestState = iota
	// stateFloor reads wait for the probe round that gives their floor.
	stateFloor
	// stateQueued requests wait for a slot.
	stateQueued
	// stateReplica reads wait for a replica to reach their floor.
	stateReplica
	// stateRunning requests were dispatched.
	stateRunning
	// stateConfirming requests were answered and wait for a confirmed round.
	stateConfirming
	// stateJoined requests wait for the request that has their id.
	stateJoined
)

const maxForwardTries = 4

// request is a row of the request table.
type request struct {
	arrival  Arrival
	state    requestState
	service  *service
	class    *classRow
	db       *database
	arrived  entity.Time
	deadline entity.Time
	// dispatched is when the batch was last handed to a connection.
	dispatched entity.Time
	item       flood.Item
	queuedItem bool
	floor      entity.Position
	round      group.RoundID
	conn       *connection
	// term is the primary's term when the request was dispatched to it.
	term     uint64
	upstream entity.Upstream
	// ackPosition is what a majority must hold before the acknowledgement.
	ackPosition entity.Position
	outcome     ResultKind
	streamed    bool
	record      *record
	rejections  int
	// duplicate is set while a duplicate of a finished request waits for a round.
	duplicate bool
	// wrote and failed are as in the request's Completion.
	wrote, failed bool
	// seenBefore is set if the request's id came before.
	seenBefore bool
	// maybeRan is set once an attempt ended without proof that it did not run.
	maybeRan bool
	// stalled is set if the request was once dispatched again because its
	// connection did not answer.
	stalled     bool
	peer        entity.VM
	forwardedAt entity.Time
	tried       [maxForwardTries]entity.VM
	tries       int
	replicaWait entity.Time
}

// service is a document in force.
type service struct {
	spec    Service
	classes map[string]*classRow
}

// classRow is a class with its measured cost.
type classRow struct {
	Class
	cost time.Duration
}

// Node is the state of one proxy.
type Node struct {
	config    Config
	now       entity.Time
	members   *membership.Table
	services  map[string]*service
	databases map[entity.Database]*database
	order     []*database
	// surveyed has the databases that this node owns or may come to own.
	surveyed   []*database
	requests   map[entity.Handle]*request
	free       []*request
	pins       map[entity.CallerID]pin
	conns      map[entity.ConnectionID]*connection
	nextConn   entity.ConnectionID
	leaving    map[entity.Upstream]bool
	deadlines  deadlineHeap
	timers     databaseHeap
	dirty      []*database
	scratch    []flood.Refusal
	listRev    uint64
	nextSurvey entity.Time
	// paused is set in the first tick after a pause.
	paused bool
	// forwarded counts the requests that wait for each peer.
	forwarded map[entity.VM]int
	// heard is when each peer last answered a forwarded request.
	heard     map[entity.VM]entity.Time
	lostPeers map[entity.VM]bool
	nextPeers entity.Time
	draining  bool
	drainAt   entity.Time
	drained   bool
	out       Outputs
}

// pin tells where a caller's open transaction is.
type pin struct {
	peer entity.VM
	conn *connection
	// transaction is as in the Arrival that began it.
	transaction uint64
}

// New returns a node without documents.
func New(config Config) *Node {
	return &Node{
		config:    config,
		members:   membership.New(config.Membership, config.Seed),
		services:  map[string]*service{},
		databases: map[entity.Database]*database{},
		requests:  map[entity.Handle]*request{},
		pins:      map[entity.CallerID]pin{},
		conns:     map[entity.ConnectionID]*connection{},
		leaving:   map[entity.Upstream]bool{},
		forwarded: map[entity.VM]int{},
		heard:     map[entity.VM]entity.Time{},
		lostPeers: map[entity.VM]bool{},
		nextConn:  1,
	}
}

// Tick takes the inputs that arrived since the last tick and runs the systems
// in order: intake, membership, completion, routing, confirmation, admission,
// dispatch, probing and promotion, expiry. The outputs are valid until the
// next tick. The time must not go back.
func (n *Node) Tick(now entity.Time, in *Inputs) *Outputs {
	// A tick long after its time follows a pause of this node.
	n.paused = n.out.NextTick > 0 && now.Sub(n.out.NextTick) > pauseTolerance
	n.now = max(now, n.now)
	n.out.reset()
	n.intake(in)
	n.stepMembership(in)
	n.stepConnections(in)
	n.stepCompletions(in)
	n.stepGroups(in)
	n.stepPeers(in)
	n.stepCallers(in)
	n.stepArrivals(in)
	n.reportLostPeers()
	n.expireRequests()
	n.survey()
	n.runDatabases()
	n.stepDrain()
	n.emitMembership()
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
	next := min(n.members.NextTick(), n.nextSurvey)
	if len(n.forwarded) > 0 {
		next = min(next, n.nextPeers)
	}
	if len(n.deadlines) > 0 {
		next = min(next, n.deadlines[0].at)
	}
	if len(n.timers) > 0 {
		next = min(next, n.timers[0].nextTick)
	}
	if n.draining && !n.drained {
		next = min(next, max(n.drainAt, n.now.Add(drainPoll)))
	}
	return max(next, n.now.Add(minTickGap))
}

const (
	// minTickGap keeps a timer that is already due from starting ticks without pause.
	minTickGap = 100 * time.Microsecond
	drainPoll  = 50 * time.Millisecond
	// pauseTolerance is the lateness of a tick that counts as a pause. A
	// promotion takes longer than that.
	pauseTolerance = 500 * time.Millisecond
	// surveyInterval is the time between looks at which databases are owned here.
	surveyInterval = 500 * time.Millisecond
)

func (n *Node) stepMembership(in *Inputs) {
	if in.ListRevision > 0 {
		n.updateList(in)
	}
	for _, r := range in.Heartbeats {
		n.members.StepHeartbeat(n.now, r)
	}
	for _, r := range in.Replies {
		n.members.StepReply(n.now, r)
	}
	for _, p := range in.PeersDown {
		n.members.ReportSilent(n.now, p.Peer)
	}
	n.members.Tick(n.now)
}

// updateList takes the platform's list. An older list than the one in force is ignored.
func (n *Node) updateList(in *Inputs) {
	if in.ListRevision < n.listRev {
		return
	}
	n.listRev = in.ListRevision
	n.members.Update(n.now, in.ProxyList)
	clear(n.leaving)
	for _, u := range in.LeavingUpstreams {
		n.leaving[u] = true
	}
	n.nextSurvey = n.now
	for _, db := range n.order {
		n.placeDatabase(db)
		if db.acting {
			n.markDirty(db)
		}
	}
}

func (n *Node) emitMembership() {
	ready := n.members.Ready()
	n.out.Heartbeats = append(n.out.Heartbeats, ready.Requests...)
	n.out.Replies = append(n.out.Replies, ready.Replies...)
}

// newRequest takes a row of the request table.
func (n *Node) newRequest(a Arrival) *request {
	var r *request
	if k := len(n.free); k > 0 {
		r = n.free[k-1]
		n.free = n.free[:k-1]
	} else {
		r = &request{}
	}
	*r = request{arrival: a, arrived: n.now}
	n.requests[a.Handle] = r
	return r
}

// finish gives the request its result and frees its row.
func (n *Node) finish(r *request, result Result) {
	result.Handle = r.arrival.Handle
	if r.maybeRan && result.Kind.saysNotRun() {
		result.Kind, result.RetryAfter = ResultUnknown, 0
	}
	n.out.Results = append(n.out.Results, result)
	delete(n.requests, r.arrival.Handle)
	n.leavePeer(r)
	if r.queuedItem {
		r.db.sched.Remove(r.arrival.Handle)
		r.queuedItem = false
	}
	n.settleRecord(r, result)
	n.free = append(n.free, r)
}

func (n *Node) refuse(r *request, reason string, retryAfter time.Duration) {
	n.finish(r, Result{Kind: ResultNotRun, Reason: reason, RetryAfter: retryAfter})
}

// expireRequests ends requests whose deadline has passed in a state in which
// the scheduler does not hold them.
func (n *Node) expireRequests() {
	for len(n.deadlines) > 0 && n.deadlines[0].at <= n.now {
		d := n.deadlines.pop()
		r, ok := n.requests[d.handle]
		switch {
		case !ok:
		case r.deadline <= n.now:
			n.expire(r)
		case r.state == stateRunning && r.dispatched == d.stall:
			n.stall(r)
		}
	}
}

func (n *Node) expire(r *request) {
	switch r.state {
	case stateForwarded:
		n.expireForwarded(r)
	case stateRunning:
		n.expireRunning(r)
	case stateConfirming:
		n.finishUnknown(r, "not_confirmed")
	case stateJoined:
		n.finishUnknown(r, "duplicate_running")
	default:
		n.refuse(r, "deadline", n.retryHint(r))
	}
}

func (n *Node) finishUnknown(r *request, reason string) {
	n.finish(r, Result{Kind: ResultUnknown, Reason: reason})
}

// retryHint is the delay given with refusals that the scheduler did not make.
func (n *Node) retryHint(r *request) time.Duration {
	const base = 250 * time.Millisecond
	spread := time.Duration(uint64(r.arrival.Handle)*0x9e3779b97f4a7c15>>40) % base
	return base + spread
}
