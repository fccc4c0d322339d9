package managed

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// startTimeout bounds the wait for a caller's first message.
const startTimeout = 10 * time.Second

// session serves one connection of a caller.
type session struct {
	proxy  *Proxy
	caller CallerConn
	host   string
	state  sessionState

	// fromPeer is set if another proxy handed the session over.
	fromPeer bool
	// remote is set if a gateway serves the session.
	remote *remote
	// stages are those of the statement under way.
	stages stages

	// tx is the open or failed transaction, nil if there is none.
	tx *transaction
}

// serve runs the session until the caller leaves.
func (s *session) serve() {
	defer s.close()
	if !s.start() {
		return
	}
	for {
		message, err := s.caller.Receive(s.receiveDeadline())
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !s.idleEnded() {
				return
			}
			continue
		case errors.Is(err, ErrMalformed):
			s.reject(CodeMalformed, "message cannot be read")
			return
		case err != nil || message.Kind == MessageTerminate:
			return
		case message.Kind == MessageStart:
			s.reject(CodeMalformed, "session has already started")
			return
		}
		if !s.run(&message.Statement) {
			return
		}
	}
}

func (s *session) start() bool {
	message, err := s.caller.Receive(time.Now().Add(startTimeout))
	if err != nil {
		if errors.Is(err, ErrMalformed) {
			s.reject(CodeMalformed, "message cannot be read")
		}
		return false
	}
	if message.Kind != MessageStart {
		s.reject(CodeMalformed, "session has not started")
		return false
	}
	s.host = message.Database
	route, ok := s.proxy.awaitRoute(s.host)
	if !ok {
		s.rejectUnknown()
		return false
	}
	s.remote = s.handOver(route)
	return s.caller.Accept() == nil
}

// rejectUnknown refuses a database without a route. Without a configuration the
// proxy cannot know whether there is one.
func (s *session) rejectUnknown() {
	if s.proxy.document().Version == 0 {
		s.reject(CodeBusy, "no configuration yet")
		return
	}
	s.reject(CodeUnknownDatabase, "no route for this database")
}

// reject ends the session with an error. The connection closes next, so a
// failed write has no consequence.
func (s *session) reject(code Code, text string) { _ = s.caller.Reject(code, text) }

// receiveDeadline bounds the wait for the next statement: of an open transaction
// by the operators' limit, and while the proxy shuts down by its schedule.
func (s *session) receiveDeadline() time.Time {
	pinned := s.pinned()
	deadline := s.proxy.drain.sessionEnd(pinned)
	if idle := s.proxy.document().TransactionIdleTimeout; pinned && s.remote == nil && idle > 0 {
		if end := time.Now().Add(idle); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	return deadline
}

// pinned reports whether the session has a transaction open at an upstream.
func (s *session) pinned() bool {
	if s.remote != nil {
		return s.remote.open
	}
	return s.tx != nil && s.tx.link != nil
}

// idleEnded handles the end of a wait. It reports whether the session goes on.
func (s *session) idleEnded() bool {
	deadline := s.receiveDeadline()
	if end := s.proxy.drain.sessionEnd(s.pinned()); !end.IsZero() {
		return time.Now().Before(end)
	}
	if s.tx == nil || s.tx.link == nil || deadline.IsZero() {
		return true
	}
	s.tx.abandon()
	s.tx.fail("transaction was idle for too long")
	return true
}

func (s *session) close() {
	if s.remote != nil {
		// The gateway rolls back what is open when its connection ends.
		_ = s.remote.conn.Close()
	}
	if s.tx != nil {
		s.tx.abandon()
	}
	// The session is over whatever Close says.
	_ = s.caller.Close()
}

// run serves one statement. It reports whether the session goes on.
func (s *session) run(statement *Statement) bool {
	arrived := now()
	s.stages = stages{}
	var reply Reply
	var state TransactionState
	last := false
	switch {
	case statement.Kind == StatementSet && statement.Name == writtenSetting && !s.fromPeer:
		reply, state = failure(CodeMalformed, "name of the session value is reserved"), s.transactionState()
	case s.remote != nil:
		reply, state, last = s.executeRemote(statement, arrived)
	default:
		reply, state = s.execute(statement, arrived)
	}
	reply.Position = entity.Position{}
	if s.fromPeer {
		// The other proxy needs it if this one ends.
		reply.Position = s.state.written
	}
	s.report(statement, reply, now().Sub(arrived))
	if err := s.caller.SendReply(reply, state); err != nil || last {
		return false
	}
	// A close between statements is no failure, so a draining proxy hands its
	// sessions on at the next answer.
	return !s.proxy.drain.handingOver() || state != StateIdle
}

// report logs a statement that failed or took longer than its route aims for.
func (s *session) report(statement *Statement, reply Reply, took time.Duration) {
	route, ok := s.proxy.route(s.host)
	if ok && s.proxy.observer != nil {
		s.proxy.observer.statement(s, statement, &route, reply, took)
	}
	switch {
	case reply.Code != CodeNone:
		s.proxy.events.failed(s, statement, reply, took)
	case ok && route.TargetLatency > 0 && took > route.TargetLatency:
		s.proxy.events.slow(s, statement, took)
	}
}

// group returns the database group that serves the session, empty if no route does.
func (s *session) group() entity.Database {
	route, _ := s.proxy.route(s.host)
	return route.Database
}

func (s *session) execute(statement *Statement, arrived entity.Time) (Reply, TransactionState) {
	if statement.Kind == StatementInvalid {
		return failure(CodeMalformed, "statement is unknown"), s.transactionState()
	}
	if s.tx != nil {
		return s.tx.execute(statement, arrived)
	}
	switch statement.Kind {
	case StatementBegin, StatementBeginRead:
		return s.begin(statement)
	case StatementCommit, StatementRollback:
		return failure(CodeMalformed, "no transaction is open"), StateIdle
	case StatementRead, StatementWrite, StatementExecute:
		return s.single(statement, arrived), StateIdle
	}
	return s.local(statement), StateIdle
}

func (s *session) transactionState() TransactionState {
	if s.remote != nil && s.remote.open {
		return StateOpen
	}
	if s.tx == nil {
		return StateIdle
	}
	return s.tx.state
}

// local answers statements that concern the session alone.
func (s *session) local(statement *Statement) Reply {
	switch statement.Kind {
	case StatementSet:
		if s.fromPeer && statement.Name == writtenSetting {
			if err := s.state.setWritten(statement.Value); err != nil {
				return failure(CodeMalformed, "position cannot be read")
			}
			return Reply{}
		}
		if !s.state.set(statement.Name, statement.Value) {
			return failure(CodeTooLarge, fmt.Sprintf("session has more than %d values", maxSessionValues))
		}
	case StatementPrepare:
		if !s.state.prepare(statement.Name, preparedStatement{statement.Value, statement.Writes}) {
			return failure(CodeTooLarge, fmt.Sprintf("session has more than %d prepared statements", maxSessionPrepared))
		}
	case StatementClose:
		delete(s.state.prepared, statement.Name)
	}
	return Reply{}
}

func (s *session) begin(statement *Statement) (Reply, TransactionState) {
	route, ok := s.proxy.route(s.host)
	if !ok {
		return failure(CodeUnknownDatabase, "no route for this database"), StateIdle
	}
	s.tx = &transaction{
		session: s, route: route, db: s.proxy.database(route.Database),
		readOnly: statement.Kind == StatementBeginRead, state: StateOpen,
	}
	return Reply{}, StateOpen
}

func failure(code Code, text string) Reply { return Reply{Code: code, Text: text} }

// isClosed reports whether an error means that a connection was closed locally.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
