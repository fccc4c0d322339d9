package model

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// DatabaseName is the one database of a model.
const DatabaseName = "orders"

// Proxy runs one node of the decision core.
type Proxy struct {
	world *World
	index int
	vm    entity.VM
	// Config is the configuration of the node.
	Config   core.Config
	node     *core.Node
	inputs   core.Inputs
	paused   bool
	dead     bool
	draining bool
	ticking  bool
	nextAt   entity.Time
	handle   entity.Handle
	open     map[entity.Handle]*request
	conns    map[entity.ConnectionID]*conn
	// Record receives each tick, if set.
	Record func(now entity.Time, in *core.Inputs, out *core.Outputs)
	// Drained is set once a drain is complete.
	Drained bool
}

// request is an open request at one node.
type request struct {
	op   *Op
	from *Proxy
	// to is the peer that the request was forwarded to.
	to *Proxy
	// remote is the handle at the entry.
	remote entity.Handle
	value  int
	// term is the term in which the member committed the write.
	term uint64
}

type conn struct {
	id     entity.ConnectionID
	member *Member
	// pending is the write of an open transaction.
	pending *Entry
	term    uint64
	// silent connections swallow everything.
	silent bool
	// reset connections break with the next answer.
	reset bool
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
		open:  map[entity.Handle]*request{},
		conns: map[entity.ConnectionID]*conn{},
	}
}

// IsOwner reports whether the proxy is the owner in its own view.
func (p *Proxy) IsOwner() bool {
	for _, d := range p.node.Snapshot().Databases {
		return d.Owner == p.vm
	}
	return false
}

// Name returns the proxy's name.
func (p *Proxy) Name() string { return string(p.vm) }

func (p *Proxy) start() {
	p.inputs.Documents = append(p.inputs.Documents, p.world.document())
	p.SetList(1, p.world.list(), nil)
}

// SetList gives the proxy the platform's list.
func (p *Proxy) SetList(revision uint64, list []membership.ListedVM, leaving []entity.Upstream) {
	p.inputs.ProxyList = append(p.inputs.ProxyList[:0], list...)
	p.inputs.LeavingUpstreams = append(p.inputs.LeavingUpstreams[:0], leaving...)
	p.inputs.ListRevision = revision
	p.wake()
}

func (w *World) list() []membership.ListedVM {
	var out []membership.ListedVM
	for _, p := range w.Proxies {
		out = append(out, membership.ListedVM{VM: p.vm, AvailabilityZone: fmt.Sprintf("z%d", p.index%3)})
	}
	return out
}

// Leave makes the platform's list call members leaving. The list reaches each
// proxy after the lag.
func (w *World) Leave(lag time.Duration, members ...*Member) {
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
			p.SetList(revision, w.list(), leaving)
		}
	})
}

// Classes of a model.
const (
	ClassOrder     = "order"
	ClassSafeOrder = "safe-order"
	ClassLookup    = "lookup"
	ClassDispatch  = "dispatch"
	ClassBrowse    = "browse"
)

func (w *World) document() core.Service {
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

// Pause stops the proxy as SIGSTOP does; Resume lets it go on.
func (p *Proxy) Pause() { p.paused = true }

// Resume ends a pause.
func (p *Proxy) Resume() {
	p.paused = false
	p.wake()
}

// Kill ends the proxy. Its connections are closed; its callers see them break.
func (p *Proxy) Kill() {
	p.dead = true
	for _, c := range p.conns {
		c.pending = nil
	}
	for _, other := range p.world.Proxies {
		if other != p {
			other.peerLost(p, true)
		}
	}
	for _, h := range sortedHandles(p.open) {
		r := p.open[h]
		if r.from == nil {
			r.op.finish(core.Result{Kind: core.ResultUnknown, Reason: "proxy_lost"}, 0)
		}
	}
}

// peerLost reports the end of the stream to a peer, and of the one from it.
func (p *Proxy) peerLost(peer *Proxy, inbound bool) {
	for _, h := range sortedHandles(p.open) {
		r := p.open[h]
		if r.from == nil && r.to == peer {
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
	p.wake()
}

func (p *Proxy) wake() {
	if p.ticking || p.paused || p.dead {
		return
	}
	p.ticking = true
	p.world.after(0, p.tick)
}

func (p *Proxy) tick() {
	p.ticking = false
	if p.paused || p.dead {
		return
	}
	out := p.node.Tick(p.world.Now, &p.inputs)
	if p.Record != nil {
		p.Record(p.world.Now, &p.inputs, out)
	}
	p.inputs.Reset()
	p.execute(out)
	p.nextAt = out.NextTick
	at := out.NextTick
	if at == entity.Never {
		return
	}
	p.world.after(at.Sub(p.world.Now), func() {
		if p.nextAt == at {
			p.wake()
		}
	})
}

func (p *Proxy) execute(out *core.Outputs) {
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
		p.result(r)
	}
	for _, o := range out.Opens {
		p.openConnection(o)
	}
	for _, c := range out.Closes {
		if k, ok := p.conns[c.Connection]; ok {
			k.pending = nil
			delete(p.conns, c.Connection)
		}
	}
	for _, c := range out.Checks {
		p.check(c.Connection)
	}
	p.executeControl(out)
	for _, vm := range out.PeersLost {
		p.peerLost(p.peer(vm), false)
	}
	for _, h := range out.Heartbeats {
		p.heartbeat(h)
	}
	for _, r := range out.Replies {
		p.reply(r)
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

func (p *Proxy) heartbeat(h membership.HeartbeatRequest) {
	to := p.peer(h.To)
	p.world.datagram(string(p.vm), string(to.vm), p.world.delay(p.index, to.index), func() {
		to.post(func(in *core.Inputs) { in.Heartbeats = append(in.Heartbeats, h) })
	})
}

func (p *Proxy) reply(r membership.HeartbeatReply) {
	to := p.peer(r.To)
	p.world.datagram(string(p.vm), string(to.vm), p.world.delay(p.index, to.index), func() {
		to.post(func(in *core.Inputs) { in.Replies = append(in.Replies, r) })
	})
}

func (p *Proxy) forward(f core.Forward) {
	r := p.open[f.Handle]
	to := p.peer(f.Peer)
	r.to = to
	arrival := r.op.arrival()
	arrival.Class, arrival.Timeout, arrival.ForwardedBy = f.Class, f.Timeout, p.vm
	if to.dead {
		p.world.after(p.world.delay(p.index, to.index), func() {
			p.post(func(in *core.Inputs) {
				in.PeerResults = append(in.PeerResults, core.PeerResult{Handle: f.Handle, Peer: f.Peer, Kind: core.ResultNotOwner})
			})
		})
		return
	}
	p.world.stream(string(p.vm), string(to.vm), p.world.delay(p.index, to.index), func() {
		to.accept(&request{op: r.op, from: p, remote: f.Handle}, arrival)
	})
}

// accept opens a request at this node.
func (p *Proxy) accept(r *request, a core.Arrival) {
	p.handle++
	a.Handle = p.handle
	p.open[a.Handle] = r
	p.post(func(in *core.Inputs) { in.Arrivals = append(in.Arrivals, a) })
}

func (p *Proxy) result(res core.Result) {
	r, ok := p.open[res.Handle]
	if !ok {
		return
	}
	delete(p.open, res.Handle)
	if r.term != 0 && res.Kind == core.ResultDone {
		p.world.checks.noteRelease(p.world, r.op, r.term)
	}
	if r.from == nil {
		r.op.finish(res, r.value)
		return
	}
	entry := r.from
	value := r.value
	answer := core.PeerResult{
		Handle: r.remote, Peer: p.vm, Kind: res.Kind, Reason: res.Reason,
		RetryAfter: res.RetryAfter, Position: res.Position, InTransaction: res.InTransaction,
	}
	p.world.stream(string(p.vm), string(entry.vm), p.world.delay(p.index, entry.index), func() {
		if k, ok := entry.open[r.remote]; ok {
			k.value = value
		}
		entry.post(func(in *core.Inputs) { in.PeerResults = append(in.PeerResults, answer) })
	})
}
