package proxy

import (
	"crypto/rand"
	"fmt"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkhinge.dev/skylarkhinge/core"
)

// SQLSTATEs of the errors that the proxy itself raises. docs/OPERATIONS.md describes them.
const (
	// CodeNotRun means that the request did not run.
	CodeNotRun = "SH001"
	// CodeUnknown means that the request may have run.
	CodeUnknown = "SH002"
	// CodeWriteLost means that an earlier write of the session may have been lost
	// in a change of primary. The request itself did not run.
	CodeWriteLost = "SH003"
	// CodeAlreadyExecuted means that a request with the same id was executed before
	// and that its response is not cached.
	CodeAlreadyExecuted = "SH004"
)

// errorResponse returns the error that a caller receives for a result without a
// response from an upstream.
func errorResponse(res *core.Result) *pgproto3.ErrorResponse {
	e := &pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR"}
	switch res.Kind {
	case core.ResultUnknown:
		e.Code, e.Message = CodeUnknown, "outcome unknown: the request may have run ("+res.Reason+")"
	case core.ResultWriteLost:
		e.Code, e.Message = CodeWriteLost, "an earlier write of this session is not proven to have survived a change of primary; this request did not run"
	case core.ResultAlreadyExecuted:
		e.Code, e.Message = CodeAlreadyExecuted, "a request with this id was executed before"
	default:
		e.Code, e.Message = CodeNotRun, "the request did not run ("+res.Reason+")"
		if res.RetryAfter > 0 {
			e.Detail = fmt.Sprintf("retry_after_ms=%d", res.RetryAfter.Milliseconds())
		}
	}
	return e
}

// secretBytes is the length of the cancel key in BackendKeyData, in bytes.
const secretBytes = 4

// randomSecret returns the cancel key of a caller connection.
func randomSecret() []byte {
	secret := make([]byte, secretBytes)
	rand.Read(secret)
	return secret
}
