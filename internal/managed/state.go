package managed

import (
	"strings"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// maxSessionValues and maxSessionPrepared bound what one session may keep.
const (
	maxSessionValues   = 256
	maxSessionPrepared = 256
)

// sessionState is what a caller's session keeps across statements.
type sessionState struct {
	values []sessionValue
	// settings is the canonical form of values.
	settings string
	prepared map[string]preparedStatement
	// written is the end of the log after the session's last write.
	written entity.Position
}

type sessionValue struct{ name, value string }

type preparedStatement struct {
	shape  string
	writes bool
}

// set changes a session value. It reports false if the session has too many.
func (s *sessionState) set(name, value string) bool {
	found := false
	for i := range s.values {
		if s.values[i].name == name {
			s.values[i].value = value
			found = true
		}
	}
	if !found {
		if len(s.values) >= maxSessionValues {
			return false
		}
		s.values = append(s.values, sessionValue{name, value})
	}
	var b strings.Builder
	for _, v := range s.values {
		b.WriteString(v.name)
		b.WriteByte(' ')
		b.WriteString(v.value)
		b.WriteByte('\n')
	}
	s.settings = b.String()
	return true
}

// prepare notes a prepared statement. It reports false if the session has too many.
func (s *sessionState) prepare(name string, p preparedStatement) bool {
	if s.prepared == nil {
		s.prepared = map[string]preparedStatement{}
	}
	if _, known := s.prepared[name]; !known && len(s.prepared) >= maxSessionPrepared {
		return false
	}
	s.prepared[name] = p
	return true
}

// writes reports whether a statement changes data.
func (s *sessionState) writes(statement *Statement) bool {
	if statement.Kind == StatementExecute {
		return s.prepared[statement.Name].writes
	}
	return statement.Kind == StatementWrite
}

// command returns the command that passes a statement on.
func (s *sessionState) command(statement *Statement, after entity.Position) Command {
	if statement.Kind == StatementExecute {
		p := s.prepared[statement.Name]
		return Command{Kind: CommandExecute, ID: statement.ID, Name: preparedName(p.shape, p.writes), Value: statement.Value, MinPosition: after}
	}
	return Command{Kind: CommandStatement, ID: statement.ID, Text: statement.Text, MinPosition: after}
}
