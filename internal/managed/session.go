package managed

import (
	"errors"
	"fmt"
	"net"
	"os"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// startTimeout bounds the wait for a caller's start message.
const startTimeout = 10 * time.Second

// session serves one caller connection.
type session struct {
	proxy        *Proxy
	caller       CallerConn
	databaseName string
	// route is the route by which the session started.
	route    Route
	identity callerIdentity
	state    sessionState

	// fromPeer is set if another proxy handed this session over.
	fromPeer bool
	// remote is set if another proxy serves the session. nextMove is the earliest time at
	// which moveToGateway moves it.
	remote   *remoteSession
	nextMove entity.Time
	// stages are the timings and counters of the current statement.
	stages stages

	// tx is the open or failed transaction, nil if there is none.
	tx *transaction
}

// serve runs the session until the caller disconnects or an error ends it.
func (s *session) serve() {
	defer s.close()
	if !s.start() {
		return
	}
	for {
		message, err := s.caller.Receive(s.receiveDeadline())
		switch {
		case errors.Is(err, os.ErrDeadlineExceeded):
			if !s.handleReceiveTimeout() {
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
		if !s.serveStatement(&message.Statement) {
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
	s.databaseName = message.Database
	s.setCredential(message.Credential)
	route, ok := s.proxy.awaitRoute(s.databaseName)
	if !ok {
		s.rejectUnknown()
		return false
	}
	if s.rejectExpired() {
		return false
	}
	if !s.identify() {
		s.proxy.observer.countUnknownKey()
		s.reject(CodeUnauthenticated, unauthenticated)
		return false
	}
	s.route = route
	s.remote = s.handOver(route, handOverAttempts)
	s.nextMove = now().Add(moveDelay)
	return s.caller.Accept() == nil
}

// rejectUnknown rejects a session without a route. Before the first configuration it is
// unknown whether a route exists, so the caller is told to retry.
func (s *session) rejectUnknown() {
	if s.proxy.document().Version == 0 {
		s.reject(CodeBusy, "no configuration yet")
		return
	}
	s.proxy.events.databaseUnknown(s)
	s.reject(CodeUnknownDatabase, "no route for this database")
}

// reject sends an error that ends the session. The connection is closed next, so a write
// error is ignored.
func (s *session) reject(code Code, text string) { _ = s.caller.Reject(code, text) }

// receiveDeadline returns the deadline for the next message, zero for none. It is set for
// an open transaction by the configured idle timeout, and during a shutdown by the drain
// schedule.
func (s *session) receiveDeadline() time.Time {
	pinned := s.pinned()
	deadline := s.proxy.drain.sessionDeadline(pinned)
	if idle := s.proxy.document().TransactionIdleTimeout; pinned && s.remote == nil && idle > 0 {
		if end := time.Now().Add(idle); deadline.IsZero() || end.Before(deadline) {
			deadline = end
		}
	}
	return deadline
}

// pinned reports whether the session holds a transaction open at an upstream or a gateway.
func (s *session) pinned() bool {
	if s.remote != nil {
		return s.remote.inTransaction()
	}
	return s.tx != nil && s.tx.conn != nil
}

// handleReceiveTimeout handles an expired receive deadline or an interrupt. It reports
// whether the session goes on.
func (s *session) handleReceiveTimeout() bool {
	deadline := s.receiveDeadline()
	if end := s.proxy.drain.sessionDeadline(s.pinned()); !end.IsZero() {
		return time.Now().Before(end)
	}
	if s.tx == nil || s.tx.conn == nil || deadline.IsZero() {
		return true
	}
	s.tx.rollBackAsync()
	s.tx.markFailed("transaction was idle for too long")
	return true
}

func (s *session) close() {
	if s.remote != nil {
		// The gateway rolls back an open transaction when the connection closes.
		_ = s.remote.conn.Close()
	}
	if s.tx != nil {
		s.tx.rollBackAsync()
	}
	// The session has ended, so the error is ignored.
	_ = s.caller.Close()
}

// serveStatement executes one statement and replies. It reports whether the session goes
// on.
func (s *session) serveStatement(statement *Statement) bool {
	arrived := now()
	s.stages = stages{}
	reply, state, closeSession := s.dispatch(statement, arrived)
	reply.Position = entity.Position{}
	if s.fromPeer {
		// The proxy that handed the session over needs the position to move the session if
		// this one stops.
		reply.Position = s.state.lastWrite
	}
	s.reportStatement(statement, reply, now().Sub(arrived))
	if err := s.caller.SendReply(reply, state); err != nil || closeSession {
		return false
	}
	// Callers tolerate a close right after a reply outside a transaction, so a draining
	// proxy closes its sessions then.
	return !s.proxy.drain.outOfRotation() || state != StateIdle
}

// dispatch executes a statement here or at the session's gateway. closeSession is set if
// the session must end after the reply.
func (s *session) dispatch(statement *Statement, arrived entity.Time) (reply Reply, state TransactionState, closeSession bool) {
	if statement.Kind == StatementSet && statement.Name == lastWriteVariable && !s.fromPeer {
		return errorReply(CodeMalformed, "name of the session value is reserved"), s.transactionState(), false
	}
	if s.credentialExpired(arrived) {
		return s.refuseExpired(statement)
	}
	known := s.identify()
	if known {
		s.moveToGateway(arrived)
	}
	if reply, ok := s.checkCaller(statement); !ok {
		return reply, s.transactionState(), false
	}
	s.leaveStaleGateway()
	// Without a known caller only statements that change nothing but session values remain.
	if s.remote != nil && s.tx == nil && (known || s.remote.inTransaction()) {
		return s.executeRemote(statement, arrived)
	}
	reply, state = s.execute(statement, arrived)
	return reply, state, false
}

// reportStatement records metrics and logs a statement that failed or exceeded its target
// latency.
func (s *session) reportStatement(statement *Statement, reply Reply, took time.Duration) {
	route, ok := s.proxy.route(s.databaseName)
	if ok && s.proxy.observer != nil {
		s.proxy.observer.statement(s, statement, &route, reply, took)
	}
	switch {
	case reply.Code != CodeNone:
		s.proxy.events.requestFailed(s, statement, reply, took)
	case ok && route.TargetLatency > 0 && took > route.TargetLatency:
		s.proxy.events.requestSlow(s, statement, took)
	}
}

// databaseGroup returns the database group of the session's route, empty if there is no
// route.
func (s *session) databaseGroup() entity.Database {
	route, _ := s.proxy.route(s.databaseName)
	return route.Database
}

func (s *session) execute(statement *Statement, arrived entity.Time) (Reply, TransactionState) {
	if statement.Kind == StatementInvalid {
		return errorReply(CodeMalformed, "statement is unknown"), s.transactionState()
	}
	if s.tx != nil {
		return s.tx.execute(statement, arrived)
	}
	switch statement.Kind {
	case StatementBegin, StatementBeginRead:
		return s.begin(statement)
	case StatementCommit, StatementRollback:
		return errorReply(CodeMalformed, "no transaction is open"), StateIdle
	case StatementRead, StatementWrite, StatementExecute:
		return s.executeAutocommit(statement, arrived), StateIdle
	}
	return s.executeLocal(statement), StateIdle
}

func (s *session) transactionState() TransactionState {
	switch {
	case s.tx != nil:
		return s.tx.state
	case s.remote != nil:
		return s.remote.state
	}
	return StateIdle
}

// executeLocal executes statements that only change session state.
func (s *session) executeLocal(statement *Statement) Reply {
	switch statement.Kind {
	case StatementSet:
		if s.fromPeer && statement.Name == lastWriteVariable {
			if err := s.state.setLastWrite(statement.Value); err != nil {
				return errorReply(CodeMalformed, "position cannot be read")
			}
			return Reply{}
		}
		if !s.state.setVariable(statement.Name, statement.Value) {
			return errorReply(CodeTooLarge, fmt.Sprintf("session has more than %d values", maxSessionVariables))
		}
	case StatementPrepare:
		if !s.state.prepare(statement.Name, preparedStatement{statement.Value, statement.Writes}) {
			return errorReply(CodeTooLarge, fmt.Sprintf("session has more than %d prepared statements", maxSessionPrepared))
		}
	case StatementClose:
		delete(s.state.prepared, statement.Name)
	}
	return Reply{}
}

func (s *session) begin(statement *Statement) (Reply, TransactionState) {
	route, ok := s.proxy.route(s.databaseName)
	if !ok {
		return errorReply(CodeUnknownDatabase, "no route for this database"), StateIdle
	}
	s.tx = &transaction{
		session: s, route: route, db: s.proxy.database(route.Database),
		readOnly: statement.Kind == StatementBeginRead, state: StateOpen, organisation: s.identity.organisation,
	}
	return Reply{}, StateOpen
}

func errorReply(code Code, text string) Reply { return Reply{Code: code, Text: text} }

// isClosed reports whether an error is due to a connection or listener closed by this
// process.
func isClosed(err error) bool { return errors.Is(err, net.ErrClosed) }
