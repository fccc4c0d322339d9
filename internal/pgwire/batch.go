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

// Statement is a prepared statement under its name on upstream connections.
type Statement struct {
	Name          string
	Query         string
	ParameterOIDs []uint32
}

// Batch is what a caller sent up to a Query or Sync.
type Batch struct {
	// Messages are the encoded frontend messages. Names of prepared statements
	// are replaced by names derived from their text, so that any upstream
	// connection can hold them.
	Messages []byte
	// Statements are the prepared statements that the batch uses and that
	// earlier batches parsed.
	Statements []Statement
	// Query is the text of a simple query.
	Query  string
	Simple bool
	// StatementTexts are the texts of the simple query or of the prepared statements
	// that the batch parses, binds or describes, in this order.
	StatementTexts []string
	// messages counts the messages, closes those that close a statement.
	messages, closes int
	// Err is why the batch can't run. It is set for the caller's own faults;
	// the batch was read to its end.
	Err error
}

// FirstStatementText returns the text of the first statement, or "".
func (b *Batch) FirstStatementText() string {
	if len(b.StatementTexts) == 0 {
		return ""
	}
	return b.StatementTexts[0]
}

// Empty reports whether the batch asks for nothing but ReadyForQuery.
func (b *Batch) Empty() bool { return !b.Simple && len(b.Messages) == syncBytes }

const syncBytes = 5

// OnlyClosesStatements reports whether the batch does no more than forget statements,
// which upstream connections keep for others.
func (b *Batch) OnlyClosesStatements() bool { return b.closes > 0 && b.messages == b.closes+1 }

// ErrTerminated means that the caller ended the connection in an orderly way.
var ErrTerminated = errors.New("caller terminated the connection")

// maxStatements bounds the prepared statements of one caller connection.
const maxStatements = 1000

// Assembler collects a caller's messages into batches.
type Assembler struct {
	limit      int
	statements map[string]Statement
	// textBytes is the size of the texts of statements, which limit bounds too.
	textBytes int
	batch     *Batch
	used      map[string]bool
}

// NewAssembler returns an assembler for one caller connection. limit bounds a
// batch in bytes.
func NewAssembler(limit int) *Assembler {
	return &Assembler{limit: limit, statements: map[string]Statement{}}
}

// Add takes the next message. It returns the batch once it is complete.
func (a *Assembler) Add(message pgproto3.FrontendMessage) (*Batch, error) {
	if a.batch == nil {
		a.batch = &Batch{}
		a.used = map[string]bool{}
	}
	done, err := a.next(message)
	if err != nil || !done {
		return nil, err
	}
	b := a.batch
	a.batch = nil
	return b, nil
}

// next skips the messages after a fault up to the batch's end, as a server does.
func (a *Assembler) next(message pgproto3.FrontendMessage) (bool, error) {
	if a.batch.Err != nil {
		return endsBatch(message), nil
	}
	done, err := a.add(message)
	var fault *CallerError
	if errors.As(err, &fault) {
		a.batch.Err = fault
		return endsBatch(message), nil
	}
	return done, err
}

// endsBatch reports whether the caller awaits ReadyForQuery after the message.
func endsBatch(message pgproto3.FrontendMessage) bool {
	switch message.(type) {
	case *pgproto3.Sync, *pgproto3.Query, *pgproto3.FunctionCall:
		return true
	}
	return false
}

func (a *Assembler) add(message pgproto3.FrontendMessage) (bool, error) {
	b := a.batch
	switch m := message.(type) {
	case *pgproto3.Query:
		if len(b.Messages) > 0 {
			// After an error in the messages before, an upstream would wait for
			// a Sync rather than answer the query.
			return true, &CallerError{Code: "08P01", Message: "simple query before the Sync of an extended query"}
		}
		b.Simple = true
		b.Query, b.StatementTexts = m.String, []string{m.String}
		return true, a.append(m)
	case *pgproto3.Sync:
		return true, a.append(m)
	case *pgproto3.Parse:
		return false, a.parse(m)
	case *pgproto3.Bind:
		name, err := a.use(m.PreparedStatement)
		if err != nil {
			return false, err
		}
		renamed := *m
		renamed.PreparedStatement = name
		return false, a.append(&renamed)
	case *pgproto3.Describe:
		return false, a.describe(m)
	case *pgproto3.Close:
		if m.ObjectType == 'S' {
			a.forget(m.Name)
			b.closes++
		}
		return false, a.append(m)
	case *pgproto3.Execute:
		return false, a.append(m)
	case *pgproto3.Flush:
		// The answer goes out when the batch ends.
		return false, nil
	case *pgproto3.CopyData, *pgproto3.CopyDone, *pgproto3.CopyFail:
		// What a caller sends for a COPY that was refused is ignored, as by a server.
		return false, nil
	case *pgproto3.Terminate:
		return false, ErrTerminated
	default:
		return false, &CallerError{Code: "0A000", Message: fmt.Sprintf("message %T is not supported by the proxy", message)}
	}
}

func (a *Assembler) append(m pgproto3.FrontendMessage) error {
	out, err := m.Encode(a.batch.Messages)
	if err != nil {
		return err
	}
	if len(out) > a.limit {
		return &CallerError{Code: "54000", Message: fmt.Sprintf("request batch is larger than %d bytes", a.limit)}
	}
	a.batch.Messages = out
	a.batch.messages++
	return nil
}

func (a *Assembler) parse(m *pgproto3.Parse) error {
	a.forget(m.Name)
	if len(a.statements) >= maxStatements || a.textBytes+len(m.Query) > a.limit {
		return &CallerError{Code: "54000", Message: "too many prepared statements on one connection"}
	}
	s := Statement{Query: m.Query, ParameterOIDs: append([]uint32(nil), m.ParameterOIDs...)}
	s.Name = statementName(s)
	a.statements[m.Name] = s
	a.textBytes += len(s.Query)
	a.used[s.Name] = true
	a.batch.StatementTexts = append(a.batch.StatementTexts, m.Query)
	return a.append(&pgproto3.Parse{Name: s.Name, Query: m.Query, ParameterOIDs: m.ParameterOIDs})
}

func (a *Assembler) forget(name string) {
	a.textBytes -= len(a.statements[name].Query)
	delete(a.statements, name)
}

func (a *Assembler) describe(m *pgproto3.Describe) error {
	if m.ObjectType != 'S' {
		return a.append(m)
	}
	name, err := a.use(m.Name)
	if err != nil {
		return err
	}
	return a.append(&pgproto3.Describe{ObjectType: 'S', Name: name})
}

// use returns the upstream name of a caller's statement and notes that the
// batch needs it.
func (a *Assembler) use(name string) (string, error) {
	s, ok := a.statements[name]
	if !ok {
		return "", &CallerError{Code: "26000", Message: fmt.Sprintf("prepared statement %q does not exist", name)}
	}
	if !a.used[s.Name] {
		a.used[s.Name] = true
		a.batch.Statements = append(a.batch.Statements, s)
		a.batch.StatementTexts = append(a.batch.StatementTexts, s.Query)
	}
	return s.Name, nil
}

// CallerError is a fault of the caller's own, with its SQLSTATE.
type CallerError struct {
	Code    string
	Message string
}

// Error returns the message for the caller.
func (e *CallerError) Error() string { return e.Message }

// statementName derives a name from the statement's text and parameter types.
// Callers share upstream connections, so that none may be able to make another
// text with the same name: the hash must be a cryptographic one.
func statementName(s Statement) string {
	h := sha256.New()
	io.WriteString(h, s.Query)
	// A text has no zero byte, so that this one separates it from the types.
	h.Write([]byte{0})
	for _, oid := range s.ParameterOIDs {
		binary.Write(h, binary.BigEndian, oid)
	}
	return "sh_" + hex.EncodeToString(h.Sum(nil)[:statementNameBytes])
}

const statementNameBytes = 16
