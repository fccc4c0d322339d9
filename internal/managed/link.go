package managed

import (
	"context"
	"strconv"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// maxPreparedPerLink bounds the prepared statements of one upstream connection.
// A connection with more is closed when it is given back.
const maxPreparedPerLink = 256

// link is one pooled connection to an upstream with what its session there holds.
type link struct {
	conn   UpstreamConn
	member *member
	// settings is the canonical form of the session values in force on the connection.
	settings string
	prepared map[string]struct{}
	// owner is the session whose values are in force. A session's values are only
	// added and changed, so its own link needs no reset.
	owner *sessionState
	// pending is the number of replies that were not read yet, of commands whose
	// outcome nobody waits for.
	pending  int
	lastUsed entity.Time
	// pooled links count towards the member's connections.
	pooled bool
}

// exchange sends commands and returns their replies in order.
func (l *link) exchange(deadline time.Time, commands ...Command) ([]Reply, error) {
	if err := l.conn.Send(deadline, commands...); err != nil {
		return nil, err
	}
	for ; l.pending > 0; l.pending-- {
		if _, err := l.conn.Receive(deadline); err != nil {
			return nil, err
		}
	}
	replies := make([]Reply, len(commands))
	for i := range commands {
		reply, err := l.conn.Receive(deadline)
		if err != nil {
			return nil, err
		}
		replies[i] = reply
	}
	return replies, nil
}

// sendOnly sends a command whose reply is read before the next exchange.
func (l *link) sendOnly(deadline time.Time, command Command) error {
	if err := l.conn.Send(deadline, command); err != nil {
		return err
	}
	l.pending++
	return nil
}

// status asks the member for its replication status.
func (l *link) status(protocol Protocol, deadline time.Time, command Command) (Status, error) {
	replies, err := l.exchange(deadline, command)
	if err != nil {
		return Status{}, err
	}
	return protocol.DecodeStatus(replies[0])
}

// preparedName names a prepared statement by its content, so that callers who
// prepare the same statement share it and different ones never collide.
func preparedName(shape string, writes bool) string {
	prefix := "r"
	if writes {
		prefix = "w"
	}
	return prefix + strconv.FormatUint(xxhash.Sum64String(shape), 36)
}

// prelude returns the commands that bring the connection into the session's
// state before a statement, and notes that state.
func (l *link) prelude(s *sessionState, statement *Statement) []Command {
	var commands []Command
	if l.settings != s.settings {
		if l.settings != "" && l.owner != s {
			commands = append(commands, Command{Kind: CommandDiscard})
			l.prepared = nil
		}
		for _, v := range s.values {
			commands = append(commands, Command{Kind: CommandSet, Name: v.name, Value: v.value})
		}
		l.settings, l.owner = s.settings, s
	}
	if statement == nil || statement.Kind != StatementExecute {
		return commands
	}
	p := s.prepared[statement.Name]
	name := preparedName(p.shape, p.writes)
	if _, known := l.prepared[name]; !known {
		commands = append(commands, Command{Kind: CommandPrepare, Name: name, Value: p.shape, Writes: p.writes})
		if l.prepared == nil {
			l.prepared = map[string]struct{}{}
		}
		l.prepared[name] = struct{}{}
	}
	return commands
}

// dialLink opens a connection that counts towards no pool.
func dialLink(ctx context.Context, protocol Protocol, m *member, spec Member) (*link, error) {
	conn, err := protocol.Dial(ctx, spec)
	if err != nil {
		return nil, err
	}
	return &link{conn: conn, member: m, lastUsed: now()}, nil
}
