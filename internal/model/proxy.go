package model

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// DatabaseName is the name of the only database.
const DatabaseName = "orders"

// Proxy is a simulated proxy. It runs one node of the decision core and carries out
// its outputs.
type Proxy struct {
	world *World
	index int
	vm    entity.VM
	// Config is the configuration of the node.
	Config        core.Config
	node          *core.Node
	inputs        core.Inputs
	paused        bool
	dead          bool
	draining      bool
	tickScheduled bool
	nextTickAt    entity.Time
	lastHandle    entity.Handle
	openRequests  map[entity.Handle]*request
	conns         map[entity.ConnectionID]*conn
	// Record is called with the inputs and outputs of each tick, if set.
	Record func(now entity.Time, in *core.Inputs, out *core.Outputs)
	// Drained is set once a drain is complete.
	Drained bool
}

// request is an open request at one proxy: the one that the caller sent it to, or
// the owner that it was forwarded to.
type request struct {
	op *Op
	// statement is the index of the statement of a transaction.
	statement int
	// forwardedBy is the proxy that forwarded the request here, nil if the caller
	// sent it here.
	forwardedBy *Proxy
	// forwardedTo is the peer that the request was forwarded to, if any.
	forwardedTo *Proxy
	// remoteHandle is the handle of a forwarded request at the forwarding proxy.
	remoteHandle entity.Handle
	// dispatchedOn is the connection of the latest dispatch. Completions of earlier
	// dispatches do not decide the result.
	dispatchedOn entity.ConnectionID
	// execution is that of the latest dispatch, once it completed.
	execution execution
}

// execution is what one dispatch did at a member. A request may be dispatched again
// while an earlier dispatch still runs, so that it has several.
type execution struct {
	member *Member
	// value is what a read returned.
	value int
	// term is the term in which the member committed the write, 0 for a read.
	term uint64
}

// conn is a proxy's connection to a member.
type conn struct {
	id     entity.ConnectionID
	member *Member
	// pending is the uncommitted write of an open transaction.
	pending *LogEntry
	// term is the term in which that transaction began.
	term uint64
	// blackholed connections drop every batch and stay open.
	blackholed bool
	// resetOnResponse connections break instead of returning the next response.
	resetOnResponse bool
}

func newProxy(w *World, index int) *Proxy {
	vm := entity.VM(fmt.Sprintf("p%d", index+1))
	cfg := core.DefaultConfig(vm, 1, w.Config.Seed+uint64(index))
	if w.Config.Adjust != nil {
		w.Config.Adjust(&cfg)
	}
	return &Proxy{
		world: w, index: index, vm: vm,
		Config: cfg, node: core.New(cfg),
		openRequests: map[entity.Handle]*request{},
		conns:        map[entity.ConnectionID]*conn{},
	}
}

// IsOwner reports whether the proxy considers itself the owner of the database.
func (p *Proxy) IsOwner() bool {
	for _, d := range p.node.Snapshot().Databases {
		return d.Owner == p.vm
	}
	return false
}

// Name returns the name of the proxy's VM.
func (p *Proxy) Name() string { return string(p.vm) }

func (p *Proxy) start() {
	p.inputs.Documents = append(p.inputs.Documents, p.world.serviceDocument())
	p.SetVMList(1, p.world.vmList(), nil)
}

// SetVMList sets the proxy's copy of the platform's list of VMs and of leaving
// upstreams.
func (p *Proxy) SetVMList(revision uint64, list []membership.ListedVM, leaving []entity.Upstream) {
	p.inputs.ProxyList = append(p.inputs.ProxyList[:0], list...)
	p.inputs.LeavingUpstreams = append(p.inputs.LeavingUpstreams[:0], leaving...)
	p.inputs.ListRevision = revision
	p.scheduleTick()
}

func (w *World) vmList() []membership.ListedVM {
	var out []membership.ListedVM
	for _, p := range w.Proxies {
		out = append(out, membership.ListedVM{VM: p.vm, AvailabilityZone: fmt.Sprintf("z%d", p.index%3)})
	}
	return out
}

// MarkLeaving lists members as leaving in the platform's list, which reaches the
// proxies after the lag.
func (w *World) MarkLeaving(lag time.Duration, members ...*Member) {
	w.listRevision++
	revision := w.listRevision
	for _, m := range members {
		w.leaving = append(w.leaving, m.name)
	}
	leaving := w.leaving[:len(w.leaving):len(w.leaving)]
	w.after(lag, func() {
		for _, m := range members {
			m.leavingSince = w.Now
		}
		for _, p := range w.Proxies {
			p.SetVMList(revision, w.vmList(), leaving)
		}
	})
}

// Names of the request classes.
const (
	ClassOrder     = "order"
	ClassSafeOrder = "safe-order"
	ClassLookup    = "lookup"
	ClassDispatch  = "dispatch"
	ClassBrowse    = "browse"
)

func (w *World) serviceDocument() core.Service {
	s := core.Service{
		Name: "shop", Revision: 1, RetryRatio: 0.2, MaxQueued: 10_000,
		Ranks: []flood.RankPolicy{
			{Name: "checkout", Target: 250 * time.Millisecond, KeptShare: 0.5},
			{Name: "dispatch", Target: time.Second, KeptShare: 0.15},
			{Name: "browsing", Target: 2 * time.Second, KeptShare: 0.05},
		},
		Classes: []core.Class{
			{Name: ClassOrder, Timeout: 3 * time.Second, Cost: w.Config.ServiceTime},
			{Name: ClassSafeOrder, Ack: core.AckMajority, Ledger: true, Timeout: 3 * time.Second, Cost: w.Config.ServiceTime},
			{Name: ClassLookup, ReadOnly: true, Repeatable: true, Timeout: 3 * time.Second, Cost: w.Config.ServiceTime},
			{Name: ClassDispatch, Rank: 1, Timeout: 4 * time.Second, Cost: w.Config.ServiceTime},
			{Name: ClassBrowse, Rank: 2, ReadOnly: true, Repeatable: true, MaxAge: 2 * time.Second, Timeout: 3 * time.Second, Cost: w.Config.ServiceTime},
		},
	}
	db := core.DatabaseSpec{Name: DatabaseName, DefaultClass: ClassOrder}
	for _, m := range w.Members {
		db.Upstreams = append(db.Upstreams, core.UpstreamSpec{Name: m.name, Slots: w.Config.Slots, Connections: w.Config.Connections})
	}
	s.Databases = []core.DatabaseSpec{db}
	return s
}

// Pause stops the proxy as SIGSTOP does, until Resume.
func (p *Proxy) Pause() { p.paused = true }

// Resume ends a pause.
func (p *Proxy) Resume() {
	p.paused = false
	p.scheduleTick()
}

// Kill ends the proxy. Its connections break, so that its callers get unknown
// outcomes, and transactions that are open on upstream connections are rolled back.
func (p *Proxy) Kill() {
	p.dead = true
	for _, c := range p.conns {
		c.pending = nil
	}
	for _, other := range p.world.Proxies {
		if other != p {
			other.postPeerLost(p, true)
		}
	}
	for _, h := range sortedHandles(p.openRequests) {
		r := p.openRequests[h]
		if r.forwardedBy == nil {
			r.op.deliverResult(core.Result{Kind: core.ResultUnknown, Reason: "proxy_lost"}, execution{})
		}
	}
}

// postPeerLost reports the loss of the stream to a peer to the node, and, if inbound
// is set, of the stream from it.
func (p *Proxy) postPeerLost(peer *Proxy, inbound bool) {
	for _, h := range sortedHandles(p.openRequests) {
		r := p.openRequests[h]
		if r.forwardedBy == nil && r.forwardedTo == peer {
			p.post(func(in *core.Inputs) {
				in.PeerResults = append(in.PeerResults, core.PeerResult{Handle: h, Peer: peer.vm, Kind: core.ResultUnknown, Reason: core.ReasonPeerLost})
			})
		}
	}
	p.post(func(in *core.Inputs) {
		in.PeersDown = append(in.PeersDown, core.PeerDown{Peer: peer.vm})
		if inbound {
			in.PeersDown = append(in.PeersDown, core.PeerDown{Peer: peer.vm, Inbound: true})
		}
	})
}

// Drain starts a graceful shutdown.
func (p *Proxy) Drain() {
	p.draining = true
	p.post(func(in *core.Inputs) { in.Drain = true })
}

func (p *Proxy) post(add func(*core.Inputs)) {
	if p.dead {
		return
	}
	add(&p.inputs)
	p.scheduleTick()
}

func (p *Proxy) scheduleTick() {
	if p.tickScheduled || p.paused || p.dead {
		return
	}
	p.tickScheduled = true
	p.world.after(0, p.tick)
}

func (p *Proxy) tick() {
	p.tickScheduled = false
	if p.paused || p.dead {
		return
	}
	out := p.node.Tick(p.world.Now, &p.inputs)
	if p.Record != nil {
		p.Record(p.world.Now, &p.inputs, out)
	}
	p.inputs.Reset()
	p.applyOutputs(out)
	p.nextTickAt = out.NextTick
	at := out.NextTick
	if at == entity.Never {
		return
	}
	p.world.after(at.Sub(p.world.Now), func() {
		if p.nextTickAt == at {
			p.scheduleTick()
		}
	})
}

func (p *Proxy) applyOutputs(out *core.Outputs) {
	for _, e := range out.Events {
		if e.Kind == core.EventDrained {
			p.Drained = true
		}
	}
	for _, f := range out.Forwards {
		p.forward(f)
	}
	for _, d := range out.Dispatches {
		p.dispatch(d)
	}
	for _, r := range out.Results {
		p.handleResult(r)
	}
	for _, o := range out.Opens {
		p.openConnection(o)
	}
	for _, closed := range out.Closes {
		if c, ok := p.conns[closed.Connection]; ok {
			c.pending = nil
			delete(p.conns, closed.Connection)
		}
	}
	for _, c := range out.Checks {
		p.checkConnection(c.Connection)
	}
	p.sendControlCalls(out)
	for _, vm := range out.PeersLost {
		p.postPeerLost(p.peer(vm), false)
	}
	for _, h := range out.Heartbeats {
		p.sendHeartbeat(h)
	}
	for _, r := range out.Replies {
		p.sendHeartbeatReply(r)
	}
}

func (p *Proxy) peer(vm entity.VM) *Proxy {
	for _, other := range p.world.Proxies {
		if other.vm == vm {
			return other
		}
	}
	return nil
}

func (p *Proxy) sendHeartbeat(h membership.HeartbeatRequest) {
	to := p.peer(h.To)
	p.world.sendDatagram(string(p.vm), string(to.vm), p.world.delay(p.index, to.index), func() {
		to.post(func(in *core.Inputs) { in.Heartbeats = append(in.Heartbeats, h) })
	})
}

func (p *Proxy) sendHeartbeatReply(r membership.HeartbeatReply) {
	to := p.peer(r.To)
	p.world.sendDatagram(string(p.vm), string(to.vm), p.world.delay(p.index, to.index), func() {
		to.post(func(in *core.Inputs) { in.Replies = append(in.Replies, r) })
	})
}

func (p *Proxy) forward(f core.Forward) {
	r := p.openRequests[f.Handle]
	to := p.peer(f.Peer)
	r.forwardedTo = to
	arrival := r.op.arrival(r.statement)
	arrival.Class, arrival.Timeout, arrival.ForwardedBy = f.Class, f.Timeout, p.vm
	arrival.Stream = p.world.streamNumber
	if to.dead {
		p.world.after(p.world.delay(p.index, to.index), func() {
			p.post(func(in *core.Inputs) {
				in.PeerResults = append(in.PeerResults, core.PeerResult{Handle: f.Handle, Peer: f.Peer, Kind: core.ResultNotOwner})
			})
		})
		return
	}
	p.world.sendOnStream(string(p.vm), string(to.vm), p.world.delay(p.index, to.index), func() {
		to.accept(&request{op: r.op, statement: r.statement, forwardedBy: p, remoteHandle: f.Handle}, arrival)
	})
}

// endTransaction tells the node and its peers that the caller has abandoned the
// transaction, as a proxy does when it answers a statement of it with an error.
func (p *Proxy) endTransaction(op *Op) {
	a := op.arrival(op.statement)
	closed := core.CallerClosed{Caller: a.Caller, Transaction: a.Transaction}
	for _, other := range p.world.Proxies {
		delay := time.Duration(0)
		if other != p {
			delay = p.world.delay(p.index, other.index)
		}
		p.world.sendOnStream(string(p.vm), string(other.vm), delay, func() {
			other.post(func(in *core.Inputs) { in.CallersClosed = append(in.CallersClosed, closed) })
		})
	}
}

// accept passes a new request to the node.
func (p *Proxy) accept(r *request, a core.Arrival) {
	p.lastHandle++
	a.Handle = p.lastHandle
	p.openRequests[a.Handle] = r
	p.post(func(in *core.Inputs) { in.Arrivals = append(in.Arrivals, a) })
}

func (p *Proxy) handleResult(res core.Result) {
	r, ok := p.openRequests[res.Handle]
	if !ok {
		return
	}
	delete(p.openRequests, res.Handle)
	if r.execution.term != 0 && res.Kind == core.ResultDone {
		p.world.checks.checkAckRelease(p.world, r.op, r.execution.term)
	}
	if r.forwardedBy == nil {
		r.op.deliverResult(res, r.execution)
		return
	}
	forwarder := r.forwardedBy
	answer := core.PeerResult{
		Handle: r.remoteHandle, Peer: p.vm, Kind: res.Kind, Reason: res.Reason,
		RetryAfter: res.RetryAfter, Position: res.Position, InTransaction: res.InTransaction,
	}
	p.world.sendOnStream(string(p.vm), string(forwarder.vm), p.world.delay(p.index, forwarder.index), func() {
		if forwarded, ok := forwarder.openRequests[r.remoteHandle]; ok && forwarded.forwardedTo == p {
			forwarded.execution = execution{member: r.execution.member, value: r.execution.value}
		}
		forwarder.post(func(in *core.Inputs) { in.PeerResults = append(in.PeerResults, answer) })
	})
}
