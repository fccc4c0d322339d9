package managed

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// remoteSession is the connection to a gateway that serves the session. The gateway holds
// the session's variables, prepared statements and transaction.
type remoteSession struct {
	conn UpstreamConn
	vm   entity.VM
	// organisation is the organisation that was named to the gateway, empty if none.
	organisation organisation.Name
	// state is the state of the session's transaction at the gateway. admitted is set once a
	// statement of an open transaction that goes to an upstream was admitted.
	state    TransactionState
	admitted bool
	// broken is set once the gateway failed to answer. The connection is not used any more.
	broken bool
}

func (r *remoteSession) inTransaction() bool { return r.state != StateIdle }

// abandon closes the connection. The gateway rolls back an open transaction then.
func (r *remoteSession) abandon() {
	// The connection is not used again, so the error is ignored.
	_ = r.conn.Close()
	r.broken, r.state, r.admitted = true, StateIdle, false
}

// executeRemote forwards a statement to the gateway. closeSession is set if the session
// must end because its transaction was lost with the gateway.
func (s *session) executeRemote(statement *Statement, arrived entity.Time) (reply Reply, state TransactionState, closeSession bool) {
	if !s.remote.inTransaction() && s.gatewayUnavailable() && !s.changeGateway() && s.remote.broken {
		// A late answer on the old connection would be taken for the answer to the next
		// statement.
		return errorReply(CodeBusy, "not run: no gateway can be reached"), StateIdle, false
	}
	defer addElapsed(&s.stages.run, now())
	deadline := s.remoteDeadline()
	for moved := false; s.remote != nil; moved = true {
		r := s.remote
		if s.needsCaller(statement) && s.callerChanged(r.organisation) {
			return s.failTransaction(statement, s.changedReply()), s.transactionState(), false
		}
		s.stages.tries++
		s.stages.member = entity.Upstream(r.vm)
		reply, err := r.exchange(deadline, Command{Kind: CommandStatement, ID: statement.ID, Text: statement.Text})
		if err == nil {
			s.recordRemoteReply(statement, reply)
			return reply, reply.State, false
		}
		r.broken = true
		s.proxy.suspectedGateways.add(r.vm)
		repeat := !moved && !r.inTransaction() && s.repeatable(statement) && time.Now().Before(deadline)
		if !repeat || !s.changeGateway() {
			return r.lostReply(statement, err), StateIdle, r.inTransaction()
		}
		if s.needsCaller(statement) {
			s.chargeRetry(s.organisation())
		}
	}
	reply, state = s.execute(statement, arrived)
	return reply, state, false
}

// remoteDeadline returns the deadline for a gateway's reply.
func (s *session) remoteDeadline() time.Time {
	route, _ := s.proxy.route(s.databaseName)
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	return time.Now().Add(timeout + handOverSlack)
}

// exchange sends commands and returns the last reply, or the first error reply.
func (r *remoteSession) exchange(deadline time.Time, commands ...Command) (Reply, error) {
	if err := r.conn.Send(deadline, commands...); err != nil {
		return Reply{}, err
	}
	var reply Reply
	for range commands {
		var err error
		if reply, err = r.conn.Receive(deadline); err != nil || reply.Code != CodeNone {
			return reply, err
		}
	}
	return reply, nil
}

// recordRemoteReply tracks the state needed to move the session to another gateway.
func (s *session) recordRemoteReply(statement *Statement, reply Reply) {
	s.remote.state = reply.State
	if reply.State == StateIdle {
		s.remote.admitted = false
	}
	if !reply.Position.IsZero() {
		s.state.lastWrite = reply.Position
	}
	if reply.Code == CodeNone {
		s.executeLocal(statement)
	}
}

// repeatable reports whether a statement outside a transaction may safely run twice.
func (s *session) repeatable(statement *Statement) bool {
	switch statement.Kind {
	case StatementWrite, StatementCommit:
		return false
	case StatementExecute:
		return !s.state.writes(statement)
	}
	return true
}

// lostReply returns the reply to a statement whose gateway failed. The gateway's failure
// rolls back an open transaction, unless the commit was already sent.
func (r *remoteSession) lostReply(statement *Statement, err error) Reply {
	text := fmt.Sprintf("proxy %s failed: %v", r.vm, err)
	switch {
	case statement.Kind == StatementRead && !r.inTransaction():
		return errorReply(CodeTimeout, text)
	case r.inTransaction() && statement.Kind != StatementCommit:
		return errorReply(CodeAborted, text)
	case statement.Kind == StatementWrite || statement.Kind == StatementExecute || statement.Kind == StatementCommit:
		return errorReply(CodeInDoubt, text)
	}
	return errorReply(CodeAborted, text)
}
