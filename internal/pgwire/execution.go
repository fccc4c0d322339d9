package pgwire

import (
	"errors"
	"fmt"
	"regexp"
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/samber/oops"
)

// LedgerTable is the upstream table that holds the ids of executed requests.
const LedgerTable = "skylarkhinge_ledger"

// SQLSTATEs of upstreams that the proxy acts on.
const (
	codeReadOnly        = "25006"
	codeUniqueViolation = "23505"
	// classTransactionRollback is the SQLSTATE class of serialization failures and
	// deadlocks.
	classTransactionRollback = "40"
)

// execution is the state of one UpstreamConn.Run.
type execution struct {
	upstream   *UpstreamConn
	run        *Run
	writeChunk func([]byte) error
	// buffer holds the encoded backend messages that were not passed on yet.
	buffer []byte
	// holding is set while messages stay in buffer instead of being streamed.
	holding  bool
	streamed bool
	// firstError is the SQLSTATE of the first ErrorResponse.
	firstError       string
	beganTransaction bool
	// committed is set once a statement of the batch has committed.
	committed bool
	txStatus  byte
}

var errHeldTooLarge = errors.New("response held for confirmation exceeds the buffer limit")

func (x *execution) execute() Outcome {
	if err := x.upstream.checkIdle(); err != nil {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if err := x.upstream.prepareSession(x.run); err != nil {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if x.run.LedgerID != "" && !x.run.Continued {
		return x.runWithLedger()
	}
	if err := x.exchange(); err != nil {
		return x.brokenOutcome(err)
	}
	return x.outcome()
}

func (x *execution) brokenOutcome(err error) Outcome {
	return Outcome{Kind: RunBroken, Streamed: x.streamed, Err: err}
}

// outcome returns the outcome of a run with a response up to ReadyForQuery: rejected
// if the upstream accepts no writes and the batch had no effect, otherwise answered.
func (x *execution) outcome() Outcome {
	kind := RunAnswered
	if x.rejectedReadOnly() && !x.run.ReadOnly && !x.run.Continued && x.txStatus == 'I' {
		kind = RunRejected
	}
	return x.answeredOutcome(kind)
}

// answeredOutcome returns the outcome of a run with a response up to ReadyForQuery.
func (x *execution) answeredOutcome(kind RunKind) Outcome {
	out := Outcome{Kind: kind, Status: x.txStatus, Tail: x.buffer, Streamed: x.streamed, Wrote: x.upstream.wroteInTransaction}
	out.Failed = x.firstError != "" && !x.committed && x.txStatus == 'I'
	if x.txStatus == 'I' {
		x.upstream.wroteInTransaction = false
	}
	return out
}

// rejectedReadOnly reports whether the batch failed because the upstream accepts no
// writes, and nothing of it was committed before.
func (x *execution) rejectedReadOnly() bool { return x.firstError == codeReadOnly && !x.committed }

// ledgerIdleTimeout is the time after which the upstream ends the proxy's own transaction
// if the connection went silent within it. Its locks delay the retries of the request. A
// proxy that is paused for longer loses the transaction too, and reports it as such.
const ledgerIdleTimeout = time.Second

// transactionCommands matches statements with which a caller begins a transaction. A
// false match leaves the transaction without ledgerIdleTimeout.
var transactionCommands = regexp.MustCompile(`(?i)begin|transaction`)

// beginLedger returns the command that begins the proxy's own transaction.
func (x *execution) beginLedger() string {
	if x.run.Batch.matches(transactionCommands) {
		return "BEGIN"
	}
	return fmt.Sprintf("BEGIN; SET LOCAL idle_in_transaction_session_timeout = %d", ledgerIdleTimeout.Milliseconds())
}

// runWithLedger runs the batch in a transaction that first stores the request id.
// The batch is sent only after the id was stored: a COMMIT in the batch could
// otherwise end the transaction before the insert.
func (x *execution) runWithLedger() Outcome {
	if _, err := x.upstream.runCommand(x.beginLedger()); err != nil {
		return x.beginFailedOutcome(err)
	}
	insert := "INSERT INTO " + LedgerTable + " (request_id) VALUES ('" + strings.ReplaceAll(x.run.LedgerID, "'", "''") + "')"
	if _, err := x.upstream.runCommand(insert); err != nil {
		return x.abortLedger(err)
	}
	if err := x.exchange(); err != nil {
		return x.brokenOutcome(err)
	}
	if x.txStatus == 'I' || x.beganTransaction {
		return x.outcome()
	}
	return x.endLedgerTransaction()
}

// beginFailedOutcome returns the outcome if BEGIN failed: rejected if the upstream
// refused it, not sent if the connection failed.
func (x *execution) beginFailedOutcome(err error) Outcome {
	var commandErr *commandError
	if !errors.As(err, &commandErr) {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	return Outcome{Kind: RunRejected, Status: 'I'}
}

// abortLedger rolls back after the insert into the ledger failed.
func (x *execution) abortLedger(err error) Outcome {
	var commandErr *commandError
	if !errors.As(err, &commandErr) {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if _, err := x.upstream.runCommand("ROLLBACK"); err != nil {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if commandErr.Code == codeUniqueViolation {
		return Outcome{Kind: RunDuplicate, Status: 'I'}
	}
	return x.commandErrorOutcome(commandErr)
}

// commandErrorOutcome returns the outcome of a run that was rolled back because the
// insert into the ledger or the COMMIT failed. The caller gets the upstream's error,
// unless a retry may succeed.
func (x *execution) commandErrorOutcome(commandErr *commandError) Outcome {
	if commandErr.Code == codeReadOnly || strings.HasPrefix(commandErr.Code, classTransactionRollback) {
		return Outcome{Kind: RunRejected, Status: 'I', Streamed: x.streamed}
	}
	tail, err := commandErr.Encode(nil)
	if err != nil {
		return x.brokenOutcome(err)
	}
	tail, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(tail)
	if err != nil {
		return x.brokenOutcome(err)
	}
	return Outcome{Kind: RunAnswered, Status: 'I', Tail: tail, Streamed: x.streamed, Failed: true}
}

// endLedgerTransaction ends the transaction that the proxy began around a batch
// without transaction statements, and corrects the transaction status that the
// caller sees.
func (x *execution) endLedgerTransaction() Outcome {
	command := "COMMIT"
	if x.txStatus == 'E' {
		command = "ROLLBACK"
	}
	status, err := x.upstream.runCommand(command)
	var commandErr *commandError
	if err != nil && !errors.As(err, &commandErr) {
		return x.brokenOutcome(err)
	}
	if commandErr != nil {
		if status != 'I' {
			if _, err := x.upstream.runCommand("ROLLBACK"); err != nil {
				return x.brokenOutcome(err)
			}
		}
		return x.commandErrorOutcome(commandErr)
	}
	x.txStatus = status
	x.setReadyStatus(status)
	if x.rejectedReadOnly() {
		return Outcome{Kind: RunRejected, Status: status, Streamed: x.streamed}
	}
	return x.answeredOutcome(RunAnswered)
}

// setReadyStatus replaces the transaction status in the held ReadyForQuery, whose
// last byte it is.
func (x *execution) setReadyStatus(status byte) {
	if n := len(x.buffer); n > 0 {
		x.buffer[n-1] = status
	}
}

// exchange sends the batch and processes the response up to ReadyForQuery.
func (x *execution) exchange() error {
	errorBuilder := oops.With("step", "run_batch", "peer", x.upstream.name)
	p, err := makePlan(x.run.Batch, x.upstream.prepared)
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	if _, err := x.upstream.conn.Write(p.wire); err != nil {
		return errorBuilder.Wrap(err)
	}
	if x.run.Batch.matches(sessionStateFunctions) {
		x.upstream.sessionChanged = true
	}
	s := &sequencer{steps: p.steps, prepared: x.upstream.prepared, emit: x.emit}
	for {
		message, err := x.upstream.frontend.Receive()
		if err != nil {
			return errorBuilder.Wrap(err)
		}
		done, err := s.handle(message)
		if err != nil {
			return errorBuilder.Wrap(err)
		}
		if done {
			return nil
		}
	}
}

// emit buffers a message of the response. It passes the buffer on once that has
// chunkBytes, except for messages that are held.
func (x *execution) emit(message pgproto3.BackendMessage) error {
	start, committed := len(x.buffer), x.committed
	switch m := message.(type) {
	case *pgproto3.CommandComplete:
		x.recordCommandTag(string(m.CommandTag))
		x.holding = x.holding || x.run.Hold
	case *pgproto3.ErrorResponse:
		if x.firstError == "" {
			x.firstError = m.Code
		}
		x.holding = x.holding || x.run.Hold
	case *pgproto3.ReadyForQuery:
		x.txStatus = m.TxStatus
		x.holding = true
	}
	out, err := message.Encode(x.buffer)
	if err != nil {
		return err
	}
	x.buffer = out
	if x.holding {
		return x.limitHeld(message, start, committed)
	}
	if len(x.buffer) < chunkBytes {
		return nil
	}
	return x.flush(len(x.buffer))
}

func (x *execution) recordCommandTag(tag string) {
	switch tag {
	case "BEGIN", "START TRANSACTION":
		x.beganTransaction = true
	case "COMMIT", "PREPARE TRANSACTION":
		x.committed = true
	case "DEALLOCATE ALL", "DISCARD ALL":
		clear(x.upstream.prepared)
	}
	if changesSessionState(tag) {
		x.upstream.sessionChanged = true
	}
	if x.run.ReadOnly && isWriteTag(tag) {
		x.upstream.wroteInTransaction = true
	}
}

// isWriteTag reports whether a command tag is that of a write.
func isWriteTag(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "TRUNCATE", "CREATE", "ALTER", "DROP":
		return true
	}
	return false
}

// limitHeld bounds the size of the held messages. As long as nothing was committed,
// the CommandComplete of an earlier statement acknowledges no write and may be
// passed on. start is the offset of the message in the buffer; committed is the
// state before the message.
func (x *execution) limitHeld(message pgproto3.BackendMessage, start int, committed bool) error {
	if _, ready := message.(*pgproto3.ReadyForQuery); ready || len(x.buffer) <= maxHeldBytes+chunkBytes {
		return nil
	}
	if committed {
		return errHeldTooLarge
	}
	switch message.(type) {
	case *pgproto3.CommandComplete, *pgproto3.ErrorResponse:
	default:
		x.holding = false
	}
	return x.flush(start)
}

// flush passes on the first n bytes of the buffer.
func (x *execution) flush(n int) error {
	if err := x.writeChunk(x.buffer[:n]); err != nil {
		return err
	}
	x.streamed = true
	x.buffer = append(x.buffer[:0], x.buffer[n:]...)
	return nil
}
