package upstream

import (
	"context"
	"errors"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"
)

// Error carries the fields of a PostgreSQL ErrorResponse. A fatal error closes
// the session.
type Error struct {
	Code       string
	Message    string
	Detail     string
	Table      string
	Constraint string
	Fatal      bool
}

// Error returns the message and the SQLSTATE.
func (e *Error) Error() string { return fmt.Sprintf("%s (SQLSTATE %s)", e.Message, e.Code) }

var (
	errDeadlock           = &Error{Code: "40P01", Message: "deadlock detected"}
	errCanceled           = &Error{Code: "57014", Message: "canceling statement due to user request"}
	errAdminShutdown      = &Error{Code: "57P01", Message: "terminating connection due to administrator command", Fatal: true}
	errTransactionAborted = &Error{Code: "25P02", Message: "current transaction is aborted, commands ignored until end of transaction block"}
	// errRevoked has the SQLSTATE of a write on a replica, since a fenced
	// member is one.
	errRevoked = &Error{Code: "25006", Message: "transaction was rolled back because the member is no longer primary"}
)

func readOnlyError(command string) *Error {
	return &Error{Code: "25006", Message: "cannot execute " + command + " in a read-only transaction"}
}

func syntaxError(query string) *Error {
	return &Error{Code: "42601", Message: fmt.Sprintf("the stand-in does not know the statement %.80q", query)}
}

func uniqueViolation(table, key string) *Error {
	return &Error{
		Code:       "23505",
		Message:    fmt.Sprintf("duplicate key value violates unique constraint %q", table+"_pkey"),
		Detail:     fmt.Sprintf("Key (%s)=(%s) already exists.", keyColumn(table), key),
		Table:      table,
		Constraint: table + "_pkey",
	}
}

func keyColumn(table string) string {
	if table == TableLedger {
		return "request_id"
	}
	return "k"
}

// contextError returns the reason why a statement's context ended: its cause if
// that is an Error, else errAdminShutdown.
func contextError(ctx context.Context) error {
	var reason *Error
	if errors.As(context.Cause(ctx), &reason) {
		return reason
	}
	return errAdminShutdown
}

// errorResponse converts an error to its protocol message. Errors other than
// *Error get SQLSTATE XX000.
func errorResponse(err error) *pgproto3.ErrorResponse {
	var pgErr *Error
	if !errors.As(err, &pgErr) {
		pgErr = &Error{Code: "XX000", Message: err.Error()}
	}
	severity := "ERROR"
	if pgErr.Fatal {
		severity = "FATAL"
	}
	out := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                pgErr.Code,
		Message:             pgErr.Message,
		Detail:              pgErr.Detail,
		TableName:           pgErr.Table,
		ConstraintName:      pgErr.Constraint,
	}
	if pgErr.Table != "" {
		out.SchemaName = "public"
	}
	return out
}
