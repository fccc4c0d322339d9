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
	// Transaction makes the write a transaction of two statements, each of which writes
	// one row. The first one also begins it and the last one commits it, unless
	// SeparateEnds is set.
	Transaction bool
	// SeparateEnds makes BEGIN and COMMIT statements of their own.
	SeparateEnds bool
	request      uint64
	attempt      uint32
	// value is what a write writes, 0 for a read.
	value int
	// floor is the lowest value that a read must return.
	floor   int
	started entity.Time
	// statement is the index of the last statement sent.
	statement int
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

// twoRowsTimeout is the deadline that the callers of WriteTwoRows declare. It is shorter
// than a failover, so that late statements of a transaction meet the next one.
const twoRowsTimeout = 600 * time.Millisecond

// WriteTwoRows sends a transaction of the session to the proxy: BEGIN, two statements that
// write one row each, and COMMIT.
func (w *World) WriteTwoRows(s *Session, proxy *Proxy, class string, done func(Outcome)) *Op {
	s.writes++
	w.checks.requests++
	op := &Op{
		world: w, session: s, proxy: proxy, Class: class, Transaction: true, SeparateEnds: true,
		request: w.checks.requests, attempt: 1, value: s.writes, started: w.Now, Done: done,
	}
	op.send()
	return op
}

// lastStatement returns the index of the statement that commits.
func (op *Op) lastStatement() int {
	switch {
	case op.SeparateEnds:
		return 3
	case op.Transaction:
		return 1
	}
	return 0
}

// writesRow reports whether a statement of the transaction writes a row.
func (op *Op) writesRow(statement int) bool {
	return !op.SeparateEnds || (statement > 0 && statement < op.lastStatement())
}

// Retry sends a write again with the same request id and the next attempt number.
// The proxy may be another one.
func (w *World) Retry(op *Op, proxy *Proxy, done func(Outcome)) *Op {
	retry := *op
	retry.proxy, retry.started, retry.Done, retry.statement = proxy, w.Now, done, 0
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
	r := &request{op: op, statement: op.statement}
	w.after(w.Config.CallerDelay, func() {
		w.recordMessage()
		if op.proxy.dead {
			w.after(w.Config.CallerDelay, func() {
				op.complete(core.Result{Kind: core.ResultNotRun, Reason: "connection_refused"}, execution{})
			})
			return
		}
		op.proxy.accept(r, op.arrival(r.statement))
	})
}

// arrival returns the core's input for a statement of the request.
func (op *Op) arrival(statement int) core.Arrival {
	a := core.Arrival{
		Caller:        op.session.caller + entity.CallerID(op.proxy.index),
		Database:      DatabaseName,
		Class:         op.Class,
		Session:       entity.SessionKey(op.session.id),
		Attempt:       op.attempt,
		InTransaction: statement > 0,
		Transaction:   op.request<<8 | uint64(op.attempt),
	}
	if op.request != 0 && statement == 0 {
		a.Request = entity.RequestKey{op.request, 1}
	}
	if op.SeparateEnds {
		a.Timeout = twoRowsTimeout
	}
	if op.session.SendsToken {
		a.Token = op.session.token
	}
	return a
}

// deliverResult sends a result to the caller. The caller then sends the next statement
// of an open transaction, or completes.
func (op *Op) deliverResult(res core.Result, executed execution) {
	w := op.world
	w.checks.recordResult(w, op, res)
	if op.SeparateEnds && res.Kind != core.ResultDone {
		op.proxy.endTransaction(op)
	}
	w.after(w.Config.CallerDelay, func() {
		w.recordMessage()
		if res.Kind == core.ResultDone && res.InTransaction && op.statement < op.lastStatement() {
			op.statement++
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
