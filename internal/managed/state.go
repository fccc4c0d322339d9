package managed

import (
	"strings"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// maxSessionVariables and maxSessionPrepared bound the memory used per session.
const (
	maxSessionVariables = 256
	maxSessionPrepared  = 256
)

// sessionState is the state of a caller's session that outlives a statement.
type sessionState struct {
	variables []sessionVariable
	// variablesKey encodes variables, in the order in which they were first set. Connections
	// with equal keys are interchangeable.
	variablesKey string
	prepared     map[string]preparedStatement
	// lastWrite is the end of the log after the session's last write.
	lastWrite entity.Position
}

type sessionVariable struct{ name, value string }

type preparedStatement struct {
	template string
	writes   bool
}

// setVariable sets a session variable. It reports false if there are too many.
func (s *sessionState) setVariable(name, value string) bool {
	found := false
	for i := range s.variables {
		if s.variables[i].name == name {
			s.variables[i].value = value
			found = true
		}
	}
	if !found {
		if len(s.variables) >= maxSessionVariables {
			return false
		}
		s.variables = append(s.variables, sessionVariable{name, value})
	}
	var b strings.Builder
	for _, v := range s.variables {
		b.WriteString(v.name)
		b.WriteByte(' ')
		b.WriteString(v.value)
		b.WriteByte('\n')
	}
	s.variablesKey = b.String()
	return true
}

// prepare stores a prepared statement. It reports false if there are too many.
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

// writes reports whether a statement modifies data.
func (s *sessionState) writes(statement *Statement) bool {
	if statement.Kind == StatementExecute {
		return s.prepared[statement.Name].writes
	}
	return statement.Kind == StatementWrite
}

// command returns the upstream command for a statement. A read fails on an upstream that
// lacks minPosition.
func (s *sessionState) command(statement *Statement, minPosition entity.Position) Command {
	if statement.Kind == StatementExecute {
		p := s.prepared[statement.Name]
		return Command{Kind: CommandExecute, ID: statement.ID, Name: preparedName(p.template, p.writes), Value: statement.Value, MinPosition: minPosition}
	}
	return Command{Kind: CommandStatement, ID: statement.ID, Text: statement.Text, MinPosition: minPosition}
}
