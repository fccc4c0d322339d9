package managed

import (
	"context"
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
	// variablesKey encodes the session variables set on the connection; see sessionState.
	variablesKey string
	prepared     map[string]struct{}
	// owner is the session whose variables are set. Variables are never unset, so the
	// owner's own changes need no DISCARD first.
	owner *sessionState
	// unreadReplies is the number of outstanding replies to commands sent by sendOnly. They
	// are read and dropped before the next exchange.
	unreadReplies int
	lastUsed      entity.Time
	// pooled is set if the connection counts towards the member's openConns.
	pooled bool
}

// exchange sends commands and returns their replies in the same order.
func (c *memberConn) exchange(deadline time.Time, commands ...Command) ([]Reply, error) {
	if err := c.upstream.Send(deadline, commands...); err != nil {
		return nil, err
	}
	for ; c.unreadReplies > 0; c.unreadReplies-- {
		if _, err := c.upstream.Receive(deadline); err != nil {
			return nil, err
		}
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

// sendOnly sends a command without waiting; the next exchange reads and drops its reply.
func (c *memberConn) sendOnly(deadline time.Time, command Command) error {
	if err := c.upstream.Send(deadline, command); err != nil {
		return err
	}
	c.unreadReplies++
	return nil
}

// status sends a status, pause or resume command and returns the member's replication
// status.
func (c *memberConn) status(protocol Protocol, deadline time.Time, command Command) (Status, error) {
	replies, err := c.exchange(deadline, command)
	if err != nil {
		return Status{}, err
	}
	return protocol.DecodeStatus(replies[0])
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

// sessionSetup returns the commands that apply the session's state to the connection before
// a statement, and records that state as applied. A nil statement needs no prepared
// statement.
func (c *memberConn) sessionSetup(s *sessionState, statement *Statement) []Command {
	var commands []Command
	if c.variablesKey != s.variablesKey {
		if c.variablesKey != "" && c.owner != s {
			commands = append(commands, Command{Kind: CommandDiscard})
			c.prepared = nil
		}
		for _, v := range s.variables {
			commands = append(commands, Command{Kind: CommandSet, Name: v.name, Value: v.value})
		}
		c.variablesKey, c.owner = s.variablesKey, s
	}
	if statement == nil || statement.Kind != StatementExecute {
		return commands
	}
	p := s.prepared[statement.Name]
	name := preparedName(p.template, p.writes)
	if _, known := c.prepared[name]; !known {
		commands = append(commands, Command{Kind: CommandPrepare, Name: name, Value: p.template, Writes: p.writes})
		if c.prepared == nil {
			c.prepared = map[string]struct{}{}
		}
		c.prepared[name] = struct{}{}
	}
	return commands
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
