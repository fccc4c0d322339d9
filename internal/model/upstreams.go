package model

import (
	"cmp"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

func sortedHandles(open map[entity.Handle]*request) []entity.Handle {
	out := make([]entity.Handle, 0, len(open))
	for h := range open {
		out = append(out, h)
	}
	slices.SortFunc(out, cmp.Compare)
	return out
}

func (w *World) member(name entity.Upstream) *Member {
	for _, m := range w.Members {
		if m.name == name {
			return m
		}
	}
	return nil
}

// connectTimeout is the time after which a connection attempt or check fails.
const connectTimeout = time.Second

func (p *Proxy) openConnection(o core.OpenConnection) {
	m := p.world.member(o.Upstream)
	id := o.Connection
	postEvent := func(state core.ConnectionState) {
		p.post(func(in *core.Inputs) {
			in.Connections = append(in.Connections, core.ConnectionEvent{Connection: id, State: state})
		})
	}
	if m.dead {
		p.world.after(p.world.delay(p.index, m.index), func() { postEvent(core.ConnectionFailed) })
		return
	}
	if p.world.isCut(string(p.vm), string(m.name)) {
		p.world.after(connectTimeout, func() { postEvent(core.ConnectionFailed) })
		return
	}
	p.conns[id] = &conn{id: id, member: m}
	p.world.after(p.world.Config.ConnectTime+2*p.world.delay(p.index, m.index), func() { postEvent(core.ConnectionOpened) })
}

// BlackholeConnections makes the open connections to a member drop every batch
// without an error. New connections work.
func (p *Proxy) BlackholeConnections(m *Member) {
	for _, c := range p.conns {
		if c.member == m {
			c.blackholed = true
		}
	}
}

// ResetConnections breaks each open connection to a member after the member executed
// the next batch, so that the response is lost.
func (p *Proxy) ResetConnections(m *Member) {
	for _, c := range p.conns {
		if c.member == m {
			c.resetOnResponse = true
		}
	}
}

func (p *Proxy) checkConnection(id entity.ConnectionID) {
	c, ok := p.conns[id]
	state := core.ConnectionChecked
	d := p.world.delay(p.index, 0)
	if !ok || c.blackholed || c.member.dead {
		state, d = core.ConnectionClosed, connectTimeout
	}
	p.world.after(d, func() {
		p.post(func(in *core.Inputs) {
			in.Connections = append(in.Connections, core.ConnectionEvent{Connection: id, State: state})
		})
	})
}

func (p *Proxy) dispatch(d core.Dispatch) {
	r := p.openRequests[d.Handle]
	c, ok := p.conns[d.Connection]
	if r != nil {
		r.dispatchedOn = d.Connection
	}
	if ok {
		p.world.checks.checkDispatch(p.world, c.member)
	}
	if !ok || c.member.dead {
		p.postCompletion(d, core.Completion{Kind: core.CompletionNotSent}, execution{}, p.world.Config.ZoneDelay)
		return
	}
	if c.blackholed {
		return
	}
	m := c.member
	w := p.world
	w.sendOnStream(string(p.vm), string(m.name), w.delay(p.index, m.index), func() {
		if m.dead {
			p.postCompletion(d, core.Completion{Kind: core.CompletionBroken}, execution{}, w.delay(p.index, m.index))
			return
		}
		m.whenNotFrozen(func() { p.runBatch(d, r, c) })
	})
}

// runBatch runs a batch at the member in one of its slots.
func (p *Proxy) runBatch(d core.Dispatch, r *request, c *conn) {
	w, m := p.world, c.member
	serviceTime := w.Config.ServiceTime/2 + time.Duration(w.rng.Int64N(int64(w.Config.ServiceTime)))
	m.execute(serviceTime, func() {
		p.awaitLedgerLock(d, r, c, w.Now.Add(ledgerLockTimeout), func() { p.answerBatch(d, r, c) })
	})
}

const (
	// ledgerLockTimeout bounds the wait for the ledger row of an open transaction. It is
	// that of the upstream of the tests with real processes.
	ledgerLockTimeout  = 2 * time.Second
	ledgerLockInterval = 10 * time.Millisecond
)

// awaitLedgerLock calls run once no other open transaction at the member holds the ledger
// row of the request. If the lock is not free in time, the batch is rejected.
func (p *Proxy) awaitLedgerLock(d core.Dispatch, r *request, c *conn, until entity.Time, run func()) {
	w := p.world
	switch {
	case !d.Ledger || d.Continued || !c.member.holdsLedgerRow(r.op.request, c):
		run()
	case w.Now >= until:
		p.postCompletion(d, core.Completion{Kind: core.CompletionRejected}, execution{}, w.delay(c.member.index, p.index))
	default:
		w.after(ledgerLockInterval, func() { p.awaitLedgerLock(d, r, c, until, run) })
	}
}

// answerBatch applies a batch at the member and sends the response.
func (p *Proxy) answerBatch(d core.Dispatch, r *request, c *conn) {
	w, m := p.world, c.member
	if p.dead && c.pending == nil && d.Continued {
		// Kill rolled the transaction back.
		return
	}
	done, executed := p.executeBatch(d, r, c)
	if c.resetOnResponse {
		done = core.Completion{Kind: core.CompletionBroken}
	}
	w.sendOnStream(string(m.name), string(p.vm), w.delay(m.index, p.index), func() {
		p.postCompletion(d, done, executed, 0)
	})
}

// executeBatch applies a batch at the member and returns its completion.
func (p *Proxy) executeBatch(d core.Dispatch, r *request, c *conn) (core.Completion, execution) {
	m, op := c.member, r.op
	if d.ReadOnly {
		return core.Completion{Kind: core.CompletionAnswered}, execution{member: m, value: m.read(op.session.id)}
	}
	e := LogEntry{Request: op.request, Session: op.session.id, Value: op.value}
	if d.Continued {
		return p.continueTransaction(r, c)
	}
	if !op.Transaction {
		term := m.term
		return core.Completion{Kind: m.commit(0, e, d.Ledger)}, execution{member: m, term: term}
	}
	if !m.primary {
		return core.Completion{Kind: core.CompletionRejected}, execution{}
	}
	if d.Ledger && m.hasRequest(op.request) {
		return core.Completion{Kind: core.CompletionDuplicate}, execution{}
	}
	e.Rows = []uint64{}
	if op.writesRow(0) {
		e.Rows = append(e.Rows, op.request)
	}
	c.pending, c.term = &e, m.term
	return core.Completion{Kind: core.CompletionAnswered, InTransaction: true}, execution{member: m}
}

// continueTransaction runs a statement of the open transaction of a connection.
func (p *Proxy) continueTransaction(r *request, c *conn) (core.Completion, execution) {
	if c.pending == nil {
		return core.Completion{Kind: core.CompletionBroken}, execution{}
	}
	if r.op.writesRow(r.statement) {
		c.pending.Rows = append(c.pending.Rows, r.op.request)
	}
	if r.statement == r.op.lastStatement() {
		return p.commitPending(c)
	}
	if !c.member.primary || c.member.term != c.term {
		// A fence aborted the transaction, and the upstream closed the connection.
		c.pending = nil
		return core.Completion{Kind: core.CompletionBroken}, execution{}
	}
	return core.Completion{Kind: core.CompletionAnswered, InTransaction: true}, execution{member: c.member}
}

// commitPending commits the open transaction of a connection.
func (p *Proxy) commitPending(c *conn) (core.Completion, execution) {
	kind := c.member.commit(c.term, *c.pending, false)
	c.pending = nil
	if kind == core.CompletionRejected {
		// A fence aborted the transaction, and the upstream closed the connection.
		kind = core.CompletionBroken
	}
	return core.Completion{Kind: kind}, execution{member: c.member, term: c.term}
}

// postCompletion passes the completion of a dispatch to the node, and keeps what the
// dispatch did unless the request was dispatched again meanwhile.
func (p *Proxy) postCompletion(d core.Dispatch, c core.Completion, executed execution, delay time.Duration) {
	c.Handle, c.Connection = d.Handle, d.Connection
	p.world.after(delay, func() {
		if p.dead {
			return
		}
		if r, ok := p.openRequests[d.Handle]; ok && r.dispatchedOn == d.Connection {
			r.execution = executed
		}
		p.post(func(in *core.Inputs) { in.Completions = append(in.Completions, c) })
	})
}

func (p *Proxy) sendControlCalls(out *core.Outputs) {
	for _, r := range out.Probes {
		p.probe(r)
	}
	for _, r := range out.Fences {
		p.fence(r)
	}
	for _, r := range out.Promotes {
		p.promote(r)
	}
	for _, r := range out.Claims {
		p.claim(r)
	}
}

// callMember makes a control call to a member. call runs at the member, the function
// that it returns runs at the proxy. Either message may be lost.
func (p *Proxy) callMember(name entity.Upstream, call func(*Member) func()) {
	w, m := p.world, p.world.member(name)
	w.recordMessage()
	w.sendDatagram(string(p.vm), string(m.name), w.delay(p.index, m.index), func() {
		w.recordMessage()
		m.whenNotFrozen(func() {
			answer := call(m)
			w.sendDatagram(string(m.name), string(p.vm), w.delay(m.index, p.index), func() {
				w.recordMessage()
				answer()
			})
		})
	})
}

func (p *Proxy) probe(r core.GroupProbeRequest) {
	p.callMember(r.Upstream, func(m *Member) func() {
		answer := core.GroupProbeAnswer{Database: r.Database, ProbeAnswer: group.ProbeAnswer{Round: r.Round, Upstream: r.Upstream, Status: m.status()}}
		return func() { p.post(func(in *core.Inputs) { in.Probes = append(in.Probes, answer) }) }
	})
}

func (p *Proxy) fence(r core.GroupFenceRequest) {
	p.callMember(r.Upstream, func(m *Member) func() {
		ok := m.fence(r.Term, p.vm)
		answer := core.GroupFenceAnswer{Database: r.Database, FenceAnswer: group.FenceAnswer{Upstream: r.Upstream, Term: r.Term, Accepted: ok, Status: m.status()}}
		return func() { p.post(func(in *core.Inputs) { in.Fences = append(in.Fences, answer) }) }
	})
}

func (p *Proxy) promote(r core.GroupPromoteRequest) {
	p.callMember(r.Upstream, func(m *Member) func() {
		ok := m.promote(r.Term, p.vm)
		answer := core.GroupPromoteAnswer{Database: r.Database, PromoteAnswer: group.PromoteAnswer{Upstream: r.Upstream, Term: r.Term, Accepted: ok, Status: m.status()}}
		return func() { p.post(func(in *core.Inputs) { in.Promotes = append(in.Promotes, answer) }) }
	})
}

func (p *Proxy) claim(r core.GroupClaimRequest) {
	w := p.world
	if w.StoreDown {
		return
	}
	w.sendDatagram(string(p.vm), "store", w.Config.ZoneDelay, func() {
		holder, taken := w.claims[r.Term]
		if !taken {
			w.claims[r.Term] = p.vm
			holder = p.vm
		}
		answer := core.GroupClaimAnswer{Database: r.Database, ClaimAnswer: group.ClaimAnswer{Term: r.Term, Claimed: holder == p.vm}}
		w.sendDatagram("store", string(p.vm), w.Config.ZoneDelay, func() {
			p.post(func(in *core.Inputs) { in.Claims = append(in.Claims, answer) })
		})
	})
}
