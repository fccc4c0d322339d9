// Package pgwire reads request batches of the PostgreSQL v3 protocol from
// callers and runs them on upstream connections. It contains no SQL parser.
package pgwire

import (
	"fmt"
	"regexp"
	"strconv"
	"strings"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Declarations are the attributes that a caller declares for its requests, by
// startup parameters, SET statements or a comment before a query.
type Declarations struct {
	Class   string
	Session string
	// Request is the request id, the same for all attempts of a request.
	Request string
	// Attempt counts from 1; 0 means that none was declared.
	Attempt uint32
	// Deadline is the time left for the request; 0 means that none was declared.
	Deadline time.Duration
	// Token is a log position that the request must see.
	Token entity.Position
}

// ParameterPrefix is the prefix of the names of declarations in startup
// parameters and SET statements.
const ParameterPrefix = "skylarkhinge."

var (
	commentPattern = regexp.MustCompile(`^\s*/\*\s*skylarkhinge\s([^*]*)\*/`)
	setPattern     = regexp.MustCompile(`(?i)^\s*SET\s+(?:SESSION\s+)?skylarkhinge\.([a-z_]+)\s*(?:=|\sTO\s)\s*'?([^';]*)'?\s*;?\s*$`)
)

// Set sets one declaration. The names are class, session, request, attempt,
// deadline and token; another name or an invalid value is an error.
func (d *Declarations) Set(name, value string) error {
	switch name {
	case "class":
		d.Class = value
	case "session":
		d.Session = value
	case "request":
		d.Request = value
	case "attempt":
		return d.setAttempt(value)
	case "deadline":
		return d.setDeadline(value)
	case "token":
		return d.setToken(value)
	default:
		return fmt.Errorf("unknown declaration %q; allowed are class, session, request, attempt, deadline, token", name)
	}
	return nil
}

func (d *Declarations) setAttempt(value string) error {
	n, err := strconv.ParseUint(value, 10, 32)
	if err != nil || n == 0 {
		return fmt.Errorf("attempt %q is not a whole number from 1", value)
	}
	d.Attempt = uint32(n)
	return nil
}

func (d *Declarations) setDeadline(value string) error {
	t, err := time.ParseDuration(value)
	if err != nil || t <= 0 {
		return fmt.Errorf("deadline %q is not a positive duration such as 250ms", value)
	}
	d.Deadline = t
	return nil
}

func (d *Declarations) setToken(value string) error {
	p, err := ParseToken(value)
	if err != nil {
		return err
	}
	d.Token = p
	return nil
}

// ParseToken parses a token in the format of FormatToken. An empty token is the
// zero position.
func ParseToken(value string) (entity.Position, error) {
	if value == "" {
		return entity.Position{}, nil
	}
	term, offset, ok := strings.Cut(value, ".")
	t, err1 := strconv.ParseUint(term, 10, 64)
	o, err2 := strconv.ParseUint(offset, 10, 64)
	if !ok || err1 != nil || err2 != nil {
		return entity.Position{}, fmt.Errorf("token %q is not one that a proxy gave", value)
	}
	return entity.Position{Term: t, Offset: o}, nil
}

// FormatToken formats a log position as the token that callers send back.
func FormatToken(p entity.Position) string {
	return strconv.FormatUint(p.Term, 10) + "." + strconv.FormatUint(p.Offset, 10)
}

// ApplyComment applies the declarations in the comment at the start of a query.
// The comment stays in the query.
func (d *Declarations) ApplyComment(query string) error {
	m := commentPattern.FindStringSubmatch(query)
	if m == nil {
		return nil
	}
	for _, pair := range strings.Fields(m[1]) {
		name, value, ok := strings.Cut(pair, "=")
		if !ok {
			return fmt.Errorf("declaration %q is not of the form key=value", pair)
		}
		if err := d.Set(name, value); err != nil {
			return err
		}
	}
	return nil
}

// ParseSet parses a query of the form SET skylarkhinge.name = value. ok is false
// for any other query.
func ParseSet(query string) (name, value string, ok bool) {
	m := setPattern.FindStringSubmatch(query)
	if m == nil {
		return "", "", false
	}
	return strings.ToLower(m[1]), strings.TrimSpace(m[2]), true
}

// leadingPattern matches the spaces, comments and semicolons before a command.
const leadingPattern = `(?is)^(?:\s|;|--[^\n]*\n|/\*.*?\*/)*`

var (
	unsupportedPattern    = regexp.MustCompile(leadingPattern + `(COPY|LISTEN|UNLISTEN|SET)\b\s*(\S*)`)
	transactionEndPattern = regexp.MustCompile(leadingPattern + `(?:ROLLBACK|ABORT|COMMIT|END)(?:\s+(?:WORK|TRANSACTION))?\s*;?\s*$`)
)

// EndsTransaction reports whether a query is a single statement that ends a
// transaction without starting another one.
func EndsTransaction(query string) bool { return transactionEndPattern.MatchString(query) }

// UnsupportedReason returns why a statement can't run on a shared connection, or ""
// if it can. A session-level SET would not apply to the next statement, which may
// run on another connection.
func UnsupportedReason(query string, inTransaction bool) string {
	m := unsupportedPattern.FindStringSubmatch(query)
	if m == nil {
		return ""
	}
	command, next := strings.ToUpper(m[1]), strings.ToUpper(m[2])
	if command != "SET" {
		return command + " is not supported by the proxy"
	}
	if next == "LOCAL" || next == "TRANSACTION" {
		return ""
	}
	if inTransaction {
		return "SET of a session setting is not supported by the proxy; use SET LOCAL"
	}
	return "SET of a session setting is not supported by the proxy; use SET LOCAL in a transaction"
}
