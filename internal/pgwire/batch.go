package pgwire

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
	"errors"
	"fmt"
	"io"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Statement is a prepared statement. Name is its name on upstream connections,
// which differs from the one that the caller chose.
type Statement struct {
	Name          string
	Query         string
	ParameterOIDs []uint32
}

// Batch is the group of messages that a caller sent up to and including a Query
// or Sync.
type Batch struct {
	// Messages are the encoded frontend messages. Names of prepared statements
	// are replaced by names derived from their text, so that callers can share
	// the statements prepared on an upstream connection.
	Messages []byte
	// Statements are the prepared statements that the batch uses and that
	// earlier batches of the caller parsed.
	Statements []Statement
	// Query is the text of a simple query; Simple is set if the batch is one.
	Query  string
	Simple bool
	// StatementTexts are the texts of the simple query, or of the prepared
	// statements in the order in which the batch first parses, binds or describes
	// them.
	StatementTexts []string
	// messageCount counts the messages, statementCloses the Close messages of
	// prepared statements.
	messageCount, statementCloses int
	// Err is set if the batch can't run because of an error of the caller. The
	// messages up to the end of the batch were read and dropped.
	Err error
}

// FirstStatementText returns the text of the first statement, or "".
func (b *Batch) FirstStatementText() string {
	if len(b.StatementTexts) == 0 {
		return ""
	}
	return b.StatementTexts[0]
}

// Empty reports whether the batch consists of a Sync only.
func (b *Batch) Empty() bool { return !b.Simple && len(b.Messages) == syncMessageBytes }

const syncMessageBytes = 5 // type byte and 4-byte length

// OnlyClosesStatements reports whether the batch closes prepared statements and
// does nothing else. No upstream is needed for it, since upstream connections keep
// the statements for other callers.
func (b *Batch) OnlyClosesStatements() bool {
	return b.statementCloses > 0 && b.messageCount == b.statementCloses+1
}

// ErrTerminated means that the caller sent Terminate.
var ErrTerminated = errors.New("caller terminated the connection")

// maxStatements bounds the prepared statements of one caller connection.
const maxStatements = 1000

// Assembler collects the messages of one caller connection into batches.
type Assembler struct {
	maxBytes   int
	statements map[string]Statement
	// textBytes is the total size of the texts of statements; maxBytes bounds it.
	textBytes int
	batch     *Batch
	// addedNames are the upstream names of the statements that the batch parses or
	// lists in Batch.Statements.
	addedNames map[string]bool
}

// NewAssembler returns an assembler for one caller connection. maxBytes bounds the
// size of a batch, and the total size of the texts of prepared statements.
func NewAssembler(maxBytes int) *Assembler {
	return &Assembler{maxBytes: maxBytes, statements: map[string]Statement{}}
}

// Add adds the next message. It returns the batch once it is complete, else nil.
// Errors of the caller are set in the batch; other errors end the connection.
func (a *Assembler) Add(message pgproto3.FrontendMessage) (*Batch, error) {
	if a.batch == nil {
		a.batch = &Batch{}
		a.addedNames = map[string]bool{}
	}
	done, err := a.addOrSkip(message)
	if err != nil || !done {
		return nil, err
	}
	b := a.batch
	a.batch = nil
	return b, nil
}

// addOrSkip adds a message to the batch and reports whether it completes the batch.
// After an error of the caller it skips messages up to the end of the batch, as a
// server does.
func (a *Assembler) addOrSkip(message pgproto3.FrontendMessage) (bool, error) {
	if a.batch.Err != nil {
		return endsBatch(message), nil
	}
	done, err := a.add(message)
	var callerErr *CallerError
	if errors.As(err, &callerErr) {
		a.batch.Err = callerErr
		return endsBatch(message), nil
	}
	return done, err
}

// endsBatch reports whether the server answers the message with ReadyForQuery.
func endsBatch(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Sync, *pgproto3.Query, *pgproto3.FunctionCall:
		return true
	}
	return false
}

// add adds a message to the batch and reports whether it completes the batch.
func (a *Assembler) add(message pgproto3.FrontendMessage) (bool, error) {
	b := a.batch
	switch m := message.(type) {
	case *pgproto3.Query:
		if len(b.Messages) > 0 {
			// If one of the earlier messages failed, an upstream would skip the
			// query and wait for a Sync.
			return true, &CallerError{Code: "08P01", Message: "simple query before the Sync of an extended query"}
		}
		b.Simple = true
		b.Query, b.StatementTexts = m.String, []string{m.String}
		return true, a.appendMessage(m)
	case *pgproto3.Sync:
		return true, a.appendMessage(m)
	case *pgproto3.Parse:
		return false, a.addParse(m)
	case *pgproto3.Bind:
		name, err := a.useStatement(m.PreparedStatement)
		if err != nil {
			return false, err
		}
		renamed := *m
		renamed.PreparedStatement = name
		return false, a.appendMessage(&renamed)
	case *pgproto3.Describe:
		return false, a.addDescribe(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			a.removeStatement(m.Name)
			b.statementCloses++
		}
		return false, a.appendMessage(m)
	case *pgproto3.Execute:
		return false, a.appendMessage(m)
	case *pgproto3.Flush:
		// The response is sent when the batch ends.
		return false, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// COPY is rejected, but a caller may already have sent its data. A server
		// ignores such messages too.
		return false, nil
	case *pgproto3.Terminate:
		return false, ErrTerminated
	default:
		return false, &CallerError{Code: "0A000", Message: fmt.Sprintf("message %T is not supported by the proxy", message)}
	}
}

func (a *Assembler) appendMessage(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(a.batch.Messages)
	if err != nil {
		return err
	}
	if len(out) > a.maxBytes {
		return &CallerError{Code: "54000", Message: fmt.Sprintf("request batch is larger than %d bytes", a.maxBytes)}
	}
	a.batch.Messages = out
	a.batch.messageCount++
	return nil
}

func (a *Assembler) addParse(m *pgproto3.Parse) error {
	a.removeStatement(m.Name)
	if len(a.statements) >= maxStatements || a.textBytes+len(m.Query) > a.maxBytes {
		return &CallerError{Code: "54000", Message: "too many prepared statements on one connection"}
	}
	s := Statement{Query: m.Query, ParameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}
	s.Name = statementName(s)
	a.statements[m.Name] = s
	a.textBytes += len(s.Query)
	a.addedNames[s.Name] = true
	a.batch.StatementTexts = append(a.batch.StatementTexts, m.Query)
	return a.appendMessage(&pgproto3.Parse{Name: s.Name, Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

func (a *Assembler) removeStatement(name string) {
	a.textBytes -= len(a.statements[name].Query)
	delete(a.statements, name)
}

func (a *Assembler) addDescribe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return a.appendMessage(m)
	}
	name, err := a.useStatement(m.Name)
	if err != nil {
		return err
	}
	return a.appendMessage(&pgproto3.Describe{ObjectType: 'S', Name: name})
}

// useStatement returns the upstream name of a caller's prepared statement and adds
// the statement to those that the batch needs.
func (a *Assembler) useStatement(name string) (string, error) {
	s, ok := a.statements[name]
	if !ok {
		return "", &CallerError{Code: "26000", Message: fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	if !a.addedNames[s.Name] {
		a.addedNames[s.Name] = true
		a.batch.Statements = append(a.batch.Statements, s)
		a.batch.StatementTexts = append(a.batch.StatementTexts, s.Query)
	}
	return s.Name, nil
}

// CallerError is an error in what the caller sent. Code is its SQLSTATE.
type CallerError struct {
	Code    string
	Message string
}

// Error returns the message that is sent to the caller.
func (e *CallerError) Error() string { return e.Message }

// statementName derives a name from the statement's text and parameter types.
// Callers share upstream connections, so a caller that found a collision could run
// its text in place of another caller's: the hash must be cryptographic.
func statementName(s Statement) string {
	h := sha256.New()
	io.WriteString(h, s.Query)
	// A text contains no zero byte, so this one separates it from the types.
	h.Write([]byte{0})
	for _, oid := range s.ParameterOIDs {
		binary.Write(h, binary.BigEndian, oid)
	}
	return "sh_" + hex.EncodeToString(h.Sum(nil)[:statementHashBytes])
}

const statementHashBytes = 16
