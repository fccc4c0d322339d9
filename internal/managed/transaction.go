package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// rollbackTimeout bounds the write of a rollback nobody waits for.
const rollbackTimeout = time.Second

// transaction is a caller's transaction. It begins at an upstream with its first
// statement, so that a caller that pauses after BEGIN holds no connection.
type transaction struct {
	session  *session
	route    Route
	db       *database
	readOnly bool
	state    TransactionState
	// link is pinned from the first statement to the end.
	link *link
	// wrote is set once a statement that changes data completed.
	wrote bool
}

func (t *transaction) execute(statement *Statement, arrived entity.Time) (Reply, TransactionState) {
	s := t.session
	if t.state == StateFailed {
		return t.executeFailed(statement)
	}
	switch statement.Kind {
	case StatementBegin, StatementBeginRead:
		return failure(CodeMalformed, "a transaction is already open"), t.state
	case StatementSet, StatementPrepare, StatementClose:
		return s.local(statement), t.state
	case StatementRollback:
		t.abandon()
		s.tx = nil
		return Reply{}, StateIdle
	case StatementExecute:
		if _, known := s.state.prepared[statement.Name]; !known {
			return failure(CodeUnknownStatement, "statement is not prepared"), t.state
		}
	}
	if t.link == nil {
		if reply, ok := t.begin(arrived); !ok {
			t.fail("")
			return t.ended(statement, reply)
		}
	}
	return t.forward(statement, arrived)
}

// executeFailed answers statements of a failed transaction: only its end is accepted.
func (t *transaction) executeFailed(statement *Statement) (Reply, TransactionState) {
	switch statement.Kind {
	case StatementRollback:
		t.session.tx = nil
		return Reply{}, StateIdle
	case StatementCommit:
		t.session.tx = nil
		return failure(CodeAborted, "transaction was rolled back"), StateIdle
	}
	return failure(CodeMalformed, "transaction has failed"), StateFailed
}

// ended returns the answer to a statement with which the transaction failed.
func (t *transaction) ended(statement *Statement, reply Reply) (Reply, TransactionState) {
	if statement.Kind == StatementCommit {
		t.session.tx = nil
		return reply, StateIdle
	}
	return reply, StateFailed
}

// begin opens the transaction at an upstream.
func (t *transaction) begin(arrived entity.Time) (Reply, bool) {
	lane := flood.LanePrimary
	if t.readOnly && t.route.Consistency != StrictConsistency {
		lane = flood.LaneReplica
	}
	a := t.session.newAttempt(t.route, t.db, arrived, lane)
	for {
		reply, final := t.tryBegin(a)
		if t.link != nil {
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
			floor, ok, reply := a.floor()
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
	if err := a.open(p); err != nil {
		return a.notConnected(p, err)
	}
	if t.readOnly && t.route.Consistency == StrictConsistency {
		floor, ok, reply := a.strictFloor(p)
		if !ok {
			return reply, reply.Code != CodeNone
		}
		command.MinPosition = floor
	}
	sent := now()
	defer since(&t.session.stages.run, sent)
	commands := append(p.link.prelude(&t.session.state, nil), command)
	replies, err := p.link.exchange(wall(a.deadline, now()), commands...)
	if err != nil {
		p.broke(err)
		return a.broken(false, err)
	}
	reply := replies[len(replies)-1]
	if reply.Code != CodeNone {
		return a.judge(p, reply, false, sent)
	}
	if !t.readOnly {
		t.db.noteProof(p.member, sent, reply.Position)
	}
	t.pin(p)
	return Reply{}, true
}

// pin keeps the permit's link for the transaction and gives its slot back.
func (t *transaction) pin(p *permit) {
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	t.link = p.link
	p.link = nil
	d.finish(p, false)
}

// forward runs a statement on the transaction's link.
func (t *transaction) forward(statement *Statement, arrived entity.Time) (Reply, TransactionState) {
	s := t.session
	a := s.newAttempt(t.route, t.db, arrived, flood.LanePrimary)
	defer since(&s.stages.run, now())
	s.stages.member = t.link.member.name
	for {
		s.stages.tries++
		commands := append(t.link.prelude(&s.state, statement), s.state.command(statement, entity.Position{}))
		sent := now()
		replies, err := t.link.exchange(wall(a.deadline, now()), commands...)
		if err != nil {
			return t.broken(statement, err)
		}
		reply := replies[len(replies)-1]
		if reply.Code == CodeBusy && reply.State == StateOpen && !a.expired() {
			time.Sleep(min(retryPause, a.deadline.Sub(now())))
			continue
		}
		if reply.Code == CodeUnknownStatement && reply.State == StateOpen && t.link.prepared != nil && !a.expired() {
			// The upstream lost the prepared statements; nothing ran.
			t.link.prepared = nil
			continue
		}
		return t.judge(statement, reply, sent)
	}
}

// broken ends the transaction after its link failed. The upstream rolls back a
// transaction whose connection closes, unless its commit was sent.
func (t *transaction) broken(statement *Statement, err error) (Reply, TransactionState) {
	m := t.link.member
	t.dropLink()
	d := t.db
	d.mu.Lock()
	if isTimeout(err) {
		if m == d.leader {
			d.monitor.doubt()
		}
	} else {
		d.noteFailure(m, now())
	}
	d.mu.Unlock()
	t.fail("")
	if statement.Kind == StatementCommit {
		return t.ended(statement, failure(CodeInDoubt, "no answer to the commit: "+err.Error()))
	}
	return t.ended(statement, failure(CodeAborted, "rolled back, the upstream's connection failed: "+err.Error()))
}

// judge decides what an upstream's reply means for the transaction.
func (t *transaction) judge(statement *Statement, reply Reply, sent entity.Time) (Reply, TransactionState) {
	s := t.session
	if reply.Code == CodeReadOnly {
		t.db.noteNotLeading(t.link.member)
	}
	if reply.Code == CodeNone && !t.readOnly {
		t.wrote = t.wrote || s.state.writes(statement)
		// A replaced primary still commits transactions that wrote nothing.
		if t.wrote || statement.Kind != StatementCommit {
			t.db.noteProof(t.link.member, sent, reply.Position)
		}
	}
	switch reply.State {
	case StateOpen:
		return reply, StateOpen
	case StateFailed:
		t.abandon()
		t.fail("")
		return t.ended(statement, reply)
	}
	// The transaction ended at the upstream.
	if reply.Code == CodeNone && t.wrote {
		s.state.written = reply.Position
	}
	t.release()
	if statement.Kind == StatementCommit {
		s.tx = nil
		return reply, StateIdle
	}
	t.fail("")
	return reply, StateFailed
}

// fail marks the transaction as failed. A reason is logged, since no statement's
// answer tells it.
func (t *transaction) fail(reason string) {
	t.state = StateFailed
	if reason != "" {
		t.session.proxy.events.transactionEnded(t.session, reason)
	}
}

// release returns the link to the pool.
func (t *transaction) release() {
	if t.link == nil {
		return
	}
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	t.link.member.answered()
	d.putBack(t.link)
	t.link = nil
	at := now()
	d.dispatch(at)
	d.arm(at)
}

// abandon rolls the transaction back without waiting for the answer.
func (t *transaction) abandon() {
	if t.link == nil {
		return
	}
	if err := t.link.sendOnly(time.Now().Add(rollbackTimeout), Command{Kind: CommandRollback}); err != nil {
		t.dropLink()
		return
	}
	t.release()
}

func (t *transaction) dropLink() {
	if t.link == nil {
		return
	}
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	d.dropLocked(t.link)
	t.link = nil
	at := now()
	d.dispatch(at)
	d.arm(at)
}
