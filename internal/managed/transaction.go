package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// rollbackTimeout bounds the write of a rollback whose reply is not awaited.
const rollbackTimeout = time.Second

// transaction is a caller's transaction. It is opened at an upstream by its first
// statement, so that a caller that pauses after BEGIN holds no connection.
type transaction struct {
	session  *session
	route    Route
	db       *database
	readOnly bool
	state    TransactionState
	// organisation is the organisation for which the transaction began. admitted is set once
	// its first statement that goes to an upstream was admitted.
	organisation organisation.Name
	admitted     bool
	// conn is the upstream connection, pinned from the first statement to the end.
	conn *memberConn
	// wrote is set once a statement that modifies data has completed.
	wrote bool
}

func (t *transaction) execute(statement *Statement, arrived entity.Time) (Reply, TransactionState) {
	s := t.session
	if t.state == StateFailed {
		return t.executeFailed(statement)
	}
	switch statement.Kind {
	case StatementBegin, StatementBeginRead:
		return errorReply(CodeMalformed, "a transaction is already open"), t.state
	case StatementSet, StatementPrepare, StatementClose:
		return s.executeLocal(statement), t.state
	case StatementRollback:
		t.rollBackAsync()
		s.tx = nil
		return Reply{}, StateIdle
	case StatementExecute:
		if _, known := s.state.prepared[statement.Name]; !known {
			return errorReply(CodeUnknownStatement, "statement is not prepared"), t.state
		}
	}
	if t.conn == nil {
		if reply, ok := t.begin(arrived); !ok {
			t.markFailed("")
			return t.replyAfterFailure(statement, reply)
		}
	}
	return t.forward(statement, arrived)
}

// executeFailed replies to statements of a failed transaction, which accepts only COMMIT
// and ROLLBACK.
func (t *transaction) executeFailed(statement *Statement) (Reply, TransactionState) {
	switch statement.Kind {
	case StatementRollback:
		t.session.tx = nil
		return Reply{}, StateIdle
	case StatementCommit:
		t.session.tx = nil
		return errorReply(CodeAborted, "transaction was rolled back"), StateIdle
	}
	return errorReply(CodeMalformed, "transaction has failed"), StateFailed
}

// replyAfterFailure returns the reply and the state after a statement that made the
// transaction fail.
func (t *transaction) replyAfterFailure(statement *Statement, reply Reply) (Reply, TransactionState) {
	if statement.Kind == StatementCommit {
		t.session.tx = nil
		return reply, StateIdle
	}
	return reply, StateFailed
}

// begin opens the transaction at an upstream, with retries.
func (t *transaction) begin(arrived entity.Time) (Reply, bool) {
	lane := flood.LanePrimary
	if t.readOnly && t.route.Consistency != StrictConsistency {
		lane = flood.LaneReplica
	}
	a := t.session.newAttempt(t.route, t.db, arrived, lane)
	for {
		reply, final := t.tryBegin(a)
		if t.conn != nil {
			return Reply{}, true
		}
		if final {
			return reply, false
		}
	}
}

func (t *transaction) tryBegin(a *attempt) (Reply, bool) {
	command := Command{Kind: CommandBegin}
	if t.readOnly {
		command.Kind = CommandBeginRead
		if t.route.Consistency != StrictConsistency {
			floor, ok, reply := a.readFloor()
			if !ok {
				return reply, true
			}
			command.MinPosition = floor
		}
	}
	p, refused := a.acquire()
	if p == nil {
		return refused, true
	}
	if reply, final, ok := a.recheckCaller(p); !ok {
		return reply, final
	}
	if err := a.connect(p); err != nil {
		return a.handleDialFailure(p, err)
	}
	if t.readOnly && t.route.Consistency == StrictConsistency {
		floor, ok, reply := a.strictFloor(p)
		if !ok {
			return reply, reply.Code != CodeNone
		}
		command.MinPosition = floor
	}
	if reply, final, ok := a.recheckCaller(p); !ok {
		return reply, final
	}
	sent := now()
	defer addElapsed(&t.session.stages.run, sent)
	replies, refused, err := p.conn.exchangeWithVariables(wallTime(a.deadline, sent), &t.session.state, command)
	if err != nil {
		p.connFailed(err)
		return a.handleConnFailure(false, err)
	}
	reply := replies[0]
	if refused.Code != CodeNone {
		if reply.State != StateIdle {
			// The variables of another session cannot be discarded in a transaction.
			if err := p.conn.sendRollback(time.Now().Add(rollbackTimeout)); err != nil {
				p.connFailed(err)
				return a.handleConnFailure(false, err)
			}
		}
		return a.handleRefusedVariables(p, refused)
	}
	if reply.Code != CodeNone {
		return a.handleReply(p, reply, false, sent)
	}
	if !t.readOnly {
		t.db.recordConfirmation(p.member, sent, reply.Position)
	}
	t.pin(p)
	return Reply{}, true
}

// pin keeps the permit's connection for the transaction and releases its execution slot.
func (t *transaction) pin(p *permit) {
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	t.conn = p.conn
	p.conn = nil
	d.finishPermit(p, false)
}

// forward runs a statement on the transaction's connection.
func (t *transaction) forward(statement *Statement, arrived entity.Time) (Reply, TransactionState) {
	s := t.session
	a := s.newAttempt(t.route, t.db, arrived, flood.LanePrimary)
	defer addElapsed(&s.stages.run, now())
	s.stages.member = t.conn.member.name
	for {
		if s.callerChanged(t.organisation) {
			return s.failTransaction(statement, s.changedReply()), s.transactionState()
		}
		s.stages.tries++
		reply, sent, err := t.run(statement, a.deadline)
		if err != nil {
			return t.handleConnFailure(statement, err, sent != 0)
		}
		if reply.Code == CodeBusy && reply.State == StateOpen && !a.expired() {
			time.Sleep(min(retryDelay, a.deadline.Sub(now())))
			continue
		}
		if reply.Code == CodeUnknownStatement && reply.State == StateOpen && t.conn.prepared != nil && !a.expired() {
			// The upstream lost the prepared statements and did not run this one.
			t.conn.prepared = nil
			continue
		}
		return t.handleReply(statement, reply, sent, a.deadline)
	}
}

// run sets the session's variables on the transaction's connection and runs a statement. It
// returns when that was sent, 0 if it was not, which is so if the upstream refuses a variable.
func (t *transaction) run(statement *Statement, deadline entity.Time) (reply Reply, sent entity.Time, err error) {
	state := &t.session.state
	refused, err := t.conn.applyVariables(wallTime(deadline, now()), state)
	if err != nil || refused.Code != CodeNone {
		return refused, 0, err
	}
	sent = now()
	reply, err = t.conn.run(wallTime(deadline, sent), state, statement, entity.Position{})
	return reply, sent, err
}

// handleConnFailure fails the transaction after its connection failed. The upstream rolls
// back a transaction whose connection closes, unless the commit was already sent.
func (t *transaction) handleConnFailure(statement *Statement, err error, sent bool) (Reply, TransactionState) {
	m := t.conn.member
	t.dropConn()
	d := t.db
	d.mu.Lock()
	if isTimeout(err) {
		if m == d.primary {
			d.monitor.suspectPrimary()
		}
	} else {
		d.recordConnFailure(m, now())
	}
	d.mu.Unlock()
	t.markFailed("")
	if statement.Kind == StatementCommit && sent {
		return t.replyAfterFailure(statement, errorReply(CodeInDoubt, "no answer to the commit: "+err.Error()))
	}
	return t.replyAfterFailure(statement, errorReply(CodeAborted, "rolled back, the upstream's connection failed: "+err.Error()))
}

// handleReply updates the transaction from an upstream's reply.
func (t *transaction) handleReply(statement *Statement, reply Reply, sent, deadline entity.Time) (Reply, TransactionState) {
	s := t.session
	if reply.Code == CodeReadOnly {
		t.db.recordNotPrimary(t.conn.member)
	}
	if reply.Code == CodeNone && !t.readOnly {
		t.wrote = t.wrote || s.state.writes(statement)
		// A replaced primary still accepts the commit of a transaction that wrote nothing,
		// so that commit does not confirm the primary.
		if t.wrote || statement.Kind != StatementCommit {
			t.db.recordConfirmation(t.conn.member, sent, reply.Position)
		}
	}
	switch reply.State {
	case StateOpen:
		return reply, StateOpen
	case StateFailed:
		t.rollBackAsync()
		t.markFailed("")
		return t.replyAfterFailure(statement, reply)
	}
	// The transaction has ended at the upstream.
	c := newCommit(t.conn.member, reply.Position, sent)
	t.releaseConn()
	if reply.Code == CodeNone && t.wrote {
		if c.confirm(s, statement, t.db, deadline) {
			s.state.lastWrite = reply.Position
		} else {
			reply = errorReply(CodeInDoubt, unconfirmedCommit)
		}
	}
	if statement.Kind == StatementCommit {
		s.tx = nil
		return reply, StateIdle
	}
	t.markFailed("")
	return reply, StateFailed
}

// markFailed marks the transaction as failed. A non-empty reason is logged, because no
// reply reports it.
func (t *transaction) markFailed(reason string) {
	t.state = StateFailed
	if reason != "" {
		t.session.proxy.events.transactionEnded(t.session, reason)
	}
}

// releaseConn returns the connection to the pool.
func (t *transaction) releaseConn() {
	if t.conn == nil {
		return
	}
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	t.conn.member.clearFailures()
	d.returnConn(t.conn)
	t.conn = nil
	at := now()
	d.dispatch(at)
	d.armTimer(at)
}

// rollBackAsync rolls the transaction back at the upstream without waiting for the reply.
func (t *transaction) rollBackAsync() {
	if t.conn == nil {
		return
	}
	if err := t.conn.sendRollback(time.Now().Add(rollbackTimeout)); err != nil {
		t.dropConn()
		return
	}
	t.releaseConn()
}

func (t *transaction) dropConn() {
	if t.conn == nil {
		return
	}
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropConnLocked(t.conn)
	t.conn = nil
	at := now()
	d.dispatch(at)
	d.armTimer(at)
}
