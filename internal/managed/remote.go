package managed

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// remote is a session that a gateway serves. Its values, prepared statements and
// transaction live there.
type remote struct {
	conn UpstreamConn
	vm   entity.VM
	// open is set while the caller has a transaction open or failed.
	open bool
	// broken is set once the gateway did not answer. Nothing is sent to it then.
	broken bool
}

// executeRemote passes a statement to the gateway. last is set if the session
// cannot go on, since its transaction was lost with the gateway.
func (s *session) executeRemote(statement *Statement, arrived entity.Time) (reply Reply, state TransactionState, last bool) {
	if !s.remote.open && s.gatewayGone() && !s.leaveGateway() && s.remote.broken {
		// An answer may still come on the old connection, which the next statement
		// would take for its own.
		return failure(CodeBusy, "not run: no gateway can be reached"), StateIdle, false
	}
	defer since(&s.stages.run, now())
	deadline := s.remoteDeadline()
	for moved := false; s.remote != nil; moved = true {
		r := s.remote
		s.stages.tries++
		s.stages.member = entity.Upstream(r.vm)
		reply, err := r.exchange(deadline, Command{Kind: CommandStatement, ID: statement.ID, Text: statement.Text})
		if err == nil {
			s.noteRemote(statement, reply)
			return reply, reply.State, false
		}
		r.broken = true
		s.proxy.suspects.add(r.vm)
		repeat := !moved && !r.open && s.repeatable(statement) && time.Now().Before(deadline)
		if !repeat || !s.leaveGateway() {
			return r.lost(statement, err), StateIdle, r.open
		}
	}
	reply, state = s.execute(statement, arrived)
	return reply, state, false
}

// remoteDeadline bounds a statement at a gateway.
func (s *session) remoteDeadline() time.Time {
	route, _ := s.proxy.route(s.host)
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	return time.Now().Add(timeout + handOverSlack)
}

// exchange sends commands and returns the last reply, or the first that is an error.
func (r *remote) exchange(deadline time.Time, commands ...Command) (Reply, error) {
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

// noteRemote keeps what the session needs at another gateway.
func (s *session) noteRemote(statement *Statement, reply Reply) {
	s.remote.open = reply.State != StateIdle
	if !reply.Position.IsZero() {
		s.state.written = reply.Position
	}
	if reply.Code == CodeNone {
		s.local(statement)
	}
}

// repeatable reports whether a statement outside a transaction may run twice.
func (s *session) repeatable(statement *Statement) bool {
	switch statement.Kind {
	case StatementWrite, StatementCommit:
		return false
	case StatementExecute:
		return !s.state.writes(statement)
	}
	return true
}

// lost returns the answer to a statement whose gateway failed. A transaction ends
// with its gateway unless its commit was sent.
func (r *remote) lost(statement *Statement, err error) Reply {
	text := fmt.Sprintf("proxy %s failed: %v", r.vm, err)
	switch {
	case statement.Kind == StatementRead && !r.open:
		return failure(CodeTimeout, text)
	case r.open && statement.Kind != StatementCommit:
		return failure(CodeAborted, text)
	case statement.Kind == StatementWrite || statement.Kind == StatementExecute || statement.Kind == StatementCommit:
		return failure(CodeInDoubt, text)
	}
	return failure(CodeAborted, text)
}
