package model

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Session is a simulated session, whose requests may go to different proxies.
type Session struct {
	id int
	// writes counts the writes; the number of a write is also its value.
	writes int
	// ackedValue is the highest acknowledged value, which later reads must see.
	ackedValue int
	// token is the last position that a proxy returned. If SendsToken is set, it is
	// kept and sent with each request.
	token      entity.Position
	SendsToken bool
	caller     entity.CallerID
}

// Op is an attempt of a read or write request of a session.
type Op struct {
	world   *World
	session *Session
	// proxy is the proxy that the session sends the request to.
	proxy *Proxy
	Class string
	// Transaction makes the write a transaction of two statements.
	Transaction bool
	request     uint64
	attempt     uint32
	// value is what a write writes, 0 for a read.
	value int
	// floor is the lowest value that a read must return.
	floor   int
	started entity.Time
	// lastStatement is set once the last statement of the transaction is sent.
	lastStatement bool
	// Done is called with the final result, if set.
	Done func(Outcome)
}

// Outcome is the result of an attempt as the caller sees it.
type Outcome struct {
	Result  core.Result
	Value   int
	Latency time.Duration
	// FromReplica is set if a replica served the read.
	FromReplica bool
	At          entity.Time
}

// NewSession returns a session with an id of its own. sendsToken selects whether it
// keeps and sends tokens.
func (w *World) NewSession(sendsToken bool) *Session {
	w.checks.sessions++
	id := w.checks.sessions
	return &Session{id: id, SendsToken: sendsToken, caller: entity.CallerID(id) << 16}
}

// Write sends a write of the session to the proxy.
func (w *World) Write(s *Session, proxy *Proxy, class string, transaction bool, done func(Outcome)) *Op {
	s.writes++
	w.checks.requests++
	op := &Op{
		world: w, session: s, proxy: proxy, Class: class, Transaction: transaction,
		request: w.checks.requests, attempt: 1, value: s.writes, started: w.Now, Done: done,
	}
	op.send()
	return op
}

// Retry sends a write again with the same request id and the next attempt number.
// The proxy may be another one.
func (w *World) Retry(op *Op, proxy *Proxy, done func(Outcome)) *Op {
	retry := *op
	retry.proxy, retry.started, retry.Done, retry.lastStatement = proxy, w.Now, done, false
	retry.attempt++
	retry.send()
	return &retry
}

// Read sends a read of the session's last value to the proxy.
func (w *World) Read(s *Session, proxy *Proxy, class string, done func(Outcome)) *Op {
	op := &Op{world: w, session: s, proxy: proxy, Class: class, floor: s.ackedValue, started: w.Now, Done: done}
	op.send()
	return op
}

func (op *Op) send() {
	w := op.world
	w.after(w.Config.CallerDelay, func() {
		if op.proxy.dead {
			w.after(w.Config.CallerDelay, func() {
				op.complete(core.Result{Kind: core.ResultNotRun, Reason: "connection_refused"}, execution{})
			})
			return
		}
		op.proxy.accept(&request{op: op}, op.arrival())
	})
}

func (op *Op) arrival() core.Arrival {
	a := core.Arrival{
		Caller:        op.session.caller + entity.CallerID(op.proxy.index),
		Database:      DatabaseName,
		Class:         op.Class,
		Session:       entity.SessionKey(op.session.id),
		Attempt:       op.attempt,
		InTransaction: op.lastStatement,
		Transaction:   op.request<<8 | uint64(op.attempt),
	}
	if op.request != 0 && !op.lastStatement {
		a.Request = entity.RequestKey{op.request, 1}
	}
	if op.session.SendsToken {
		a.Token = op.session.token
	}
	return a
}

// deliverResult sends a result to the caller. The caller then sends the last
// statement of an open transaction, or completes.
func (op *Op) deliverResult(res core.Result, executed execution) {
	w := op.world
	w.checks.recordResult(w, op, res)
	w.after(w.Config.CallerDelay, func() {
		if res.Kind == core.ResultDone && res.InTransaction && !op.lastStatement {
			op.lastStatement = true
			op.send()
			return
		}
		op.complete(res, executed)
	})
}

func (op *Op) complete(res core.Result, executed execution) {
	w, s := op.world, op.session
	isRead := op.value == 0
	if !res.Position.IsZero() && s.SendsToken {
		s.token = res.Position
	}
	switch {
	case res.Kind == core.ResultWriteLost:
		// The session was told that its earlier writes may be lost.
		s.ackedValue = 0
		w.checks.LossReports++
	case isRead && res.Kind == core.ResultDone:
		w.checks.checkRead(w, op, executed)
	case !isRead && (res.Kind == core.ResultDone || res.Kind == core.ResultAlreadyExecuted):
		s.ackedValue = max(s.ackedValue, op.value)
		w.checks.recordAck(w, op)
	}
	if op.Done != nil {
		op.Done(Outcome{
			Result:      res,
			Value:       executed.value,
			Latency:     w.Now.Sub(op.started),
			FromReplica: isRead && executed.member != nil && !executed.member.IsPrimary(),
			At:          w.Now,
		})
	}
}
