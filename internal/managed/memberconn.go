package managed

import (
	"context"
	"errors"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// maxPreparedPerConn bounds the prepared statements on one upstream connection. A
// connection with more is closed instead of returned to the pool.
const maxPreparedPerConn = 256

// memberConn is a connection to a member, together with the session state that the upstream
// holds for it.
type memberConn struct {
	upstream UpstreamConn
	member   *member
	// organisation is the organisation for which the connection was opened, empty if it was
	// opened for the proxy itself or for callers without an organisation.
	organisation organisation.Name
	// variablesKey encodes the session variables set on the connection; see sessionState. It is
	// unknownVariables while some of the commands that set them may not have run.
	variablesKey string
	prepared     map[string]struct{}
	// owner is the session whose variables are set. Variables are never unset, so the
	// owner's own changes need no DISCARD first.
	owner *sessionState
	// rollbackUnread is set while the reply to a rollback sent by sendRollback is outstanding. It
	// is read before the next command is sent.
	rollbackUnread bool
	lastUsed       entity.Time
	// pooled is set if the connection counts towards the member's openConns.
	pooled bool
}

// unknownVariables is a variablesKey that no session has.
const unknownVariables = "\n"

var errTransactionOpen = errors.New("the upstream did not end the connection's last transaction")

// exchange sends commands and returns their replies in the same order.
func (c *memberConn) exchange(deadline time.Time, commands ...Command) ([]Reply, error) {
	if err := c.awaitRollback(deadline); err != nil || len(commands) == 0 {
		return nil, err
	}
	if err := c.upstream.Send(deadline, commands...); err != nil {
		return nil, err
	}
	replies := make([]Reply, len(commands))
	for i := range commands {
		reply, err := c.upstream.Receive(deadline)
		if err != nil {
			return nil, err
		}
		replies[i] = reply
	}
	return replies, nil
}

// sendRollback sends a rollback without waiting for its reply.
func (c *memberConn) sendRollback(deadline time.Time) error {
	if err := c.upstream.Send(deadline, Command{Kind: CommandRollback}); err != nil {
		return err
	}
	c.rollbackUnread = true
	return nil
}

// awaitRollback reads the reply to a rollback sent by sendRollback. If the upstream refused it,
// the next statement would run in the transaction of another caller.
func (c *memberConn) awaitRollback(deadline time.Time) error {
	if !c.rollbackUnread {
		return nil
	}
	reply, err := c.upstream.Receive(deadline)
	if err != nil {
		return err
	}
	c.rollbackUnread = false
	if reply.State != StateIdle {
		return errTransactionOpen
	}
	return nil
}

// status sends a status, pause or resume command and returns the member's replication
// status.
func (c *memberConn) status(protocol Protocol, deadline time.Time, command Command) (Status, error) {
	reply, err := c.runCommand(deadline, command)
	if err != nil {
		return Status{}, err
	}
	return protocol.DecodeStatus(reply)
}

// preparedName derives the name of a prepared statement from its content, so that sessions
// that prepare the same statement share it and different statements do not collide.
func preparedName(template string, writes bool) string {
	prefix := "r"
	if writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(xxhash.Sum64String(template), 36)
}

// applyVariables sets the session's variables on the connection. It waits until they are set:
// an upstream that refuses one of the commands still runs a statement sent after it. It returns
// the first reply with an error code, if there is one.
func (c *memberConn) applyVariables(deadline time.Time, s *sessionState) (refused Reply, err error) {
	_, refused, err = c.exchangeWithVariables(deadline, s)
	return refused, err
}

// exchangeWithVariables is applyVariables together with commands that run no statement of a
// caller, whose replies it returns.
func (c *memberConn) exchangeWithVariables(deadline time.Time, s *sessionState, commands ...Command) (replies []Reply, refused Reply, err error) {
	setup, discards := c.variableCommands(s)
	if len(setup) > 0 {
		c.variablesKey, c.owner = unknownVariables, s
	}
	if discards {
		c.owner, c.prepared = nil, nil
	}
	replies, err = c.exchange(deadline, append(setup, commands...)...)
	if err != nil {
		return nil, Reply{}, err
	}
	for i := range setup {
		if replies[i].Code != CodeNone {
			return replies[len(setup):], replies[i], nil
		}
	}
	c.variablesKey, c.owner = s.variablesKey, s
	return replies[len(setup):], Reply{}, nil
}

// variableCommands returns the commands that set the session's variables on the connection, none
// if they are set. discards reports whether the first of them discards those of another session.
func (c *memberConn) variableCommands(s *sessionState) (commands []Command, discards bool) {
	if c.variablesKey == s.variablesKey {
		return nil, false
	}
	discards = c.variablesKey != "" && c.owner != s
	if discards {
		commands = append(commands, Command{Kind: CommandDiscard})
	}
	for _, v := range s.variables {
		commands = append(commands, Command{Kind: CommandSet, Name: v.name, Value: v.value})
	}
	return commands, discards
}

// run runs a statement, after applyVariables. A statement that needs a prepared statement that
// the connection lacks is sent together with it: without it the upstream does not run it, so the
// reply may be the one that refuses to prepare.
func (c *memberConn) run(deadline time.Time, s *sessionState, statement *Statement, floor entity.Position) (Reply, error) {
	command := s.command(statement, floor)
	if statement.Kind != StatementExecute {
		return c.runCommand(deadline, command)
	}
	if _, known := c.prepared[command.Name]; known {
		return c.runCommand(deadline, command)
	}
	p := s.prepared[statement.Name]
	replies, err := c.exchange(deadline, Command{Kind: CommandPrepare, Name: command.Name, Value: p.template, Writes: p.writes}, command)
	if err != nil {
		return Reply{}, err
	}
	prepared, reply := replies[0], replies[1]
	if prepared.Code != CodeNone {
		if reply.Code == CodeUnknownStatement {
			reply.Code, reply.Text = prepared.Code, prepared.Text
		}
		return reply, nil
	}
	if c.prepared == nil {
		c.prepared = map[string]struct{}{}
	}
	c.prepared[command.Name] = struct{}{}
	return reply, nil
}

// runCommand sends a command and returns its reply.
func (c *memberConn) runCommand(deadline time.Time, command Command) (Reply, error) {
	replies, err := c.exchange(deadline, command)
	if err != nil {
		return Reply{}, err
	}
	return replies[0], nil
}

// dialMember opens a connection for an organisation, empty for the proxy's own use. It is
// not counted as pooled.
func dialMember(ctx context.Context, protocol Protocol, m *member, entry Member, owner organisation.Name) (*memberConn, error) {
	conn, err := protocol.Dial(ctx, entry, string(owner))
	if err != nil {
		return nil, err
	}
	return &memberConn{upstream: conn, member: m, organisation: owner, lastUsed: now()}, nil
}
