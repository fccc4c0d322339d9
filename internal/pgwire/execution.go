package pgwire

import (
	"errors"
	"strings"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/samber/oops"
)

// LedgerTable is the table that holds the ids of executed requests.
const LedgerTable = "skylarkhinge_ledger"

// SQLSTATEs of upstreams that the proxy acts on.
const (
	codeReadOnly        = "25006"
	codeUniqueViolation = "23505"
	// classRollback is the class of serialization failures and deadlocks.
	classRollback = "40"
)

// execution is the state of one run.
type execution struct {
	u     *UpstreamConn
	run   *Run
	chunk func([]byte) error
	// buffer holds the messages that were not passed on. Those before held may
	// leave as they come.
	buffer   []byte
	holding  bool
	streamed bool
	// firstError is the code of the first ErrorResponse.
	firstError string
	began      bool
	// committed is set once a part of the batch was committed.
	committed bool
	status    byte
}

var errHeldTooLarge = errors.New("the part of the answer that waits for confirmation is too large")

func (x *execution) do() Outcome {
	if err := x.u.quiet(); err != nil {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if err := x.u.prepare(x.run); err != nil {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if x.run.LedgerID != "" && !x.run.Continued {
		return x.runWithLedger()
	}
	if err := x.exchange(); err != nil {
		return x.broken(err)
	}
	return x.outcome()
}

func (x *execution) broken(err error) Outcome {
	return Outcome{Kind: RunBroken, Streamed: x.streamed, Err: err}
}

func (x *execution) outcome() Outcome {
	kind := RunAnswered
	if x.rolledBack() && !x.run.ReadOnly && !x.run.Continued && x.status == 'I' {
		kind = RunRejected
	}
	return x.answered(kind)
}

// answered is the outcome of a run that the upstream answered to its end.
func (x *execution) answered(kind RunKind) Outcome {
	out := Outcome{Kind: kind, Status: x.status, Tail: x.buffer, Streamed: x.streamed, Wrote: x.u.wrote}
	out.Failed = x.firstError != "" && !x.committed && x.status == 'I'
	if x.status == 'I' {
		x.u.wrote = false
	}
	return out
}

// rolledBack reports whether the upstream took no write and nothing of the
// batch was committed before.
func (x *execution) rolledBack() bool { return x.firstError == codeReadOnly && !x.committed }

// runWithLedger stores the request id in the batch's transaction. The batch is
// sent only after the id was stored, so that it can't leave that transaction
// before.
func (x *execution) runWithLedger() Outcome {
	if _, err := x.u.command("BEGIN"); err != nil {
		return x.refusedCommand(err)
	}
	insert := "INSERT INTO " + LedgerTable + " (request_id) VALUES ('" + strings.ReplaceAll(x.run.LedgerID, "'", "''") + "')"
	if _, err := x.u.command(insert); err != nil {
		return x.abandon(err)
	}
	if err := x.exchange(); err != nil {
		return x.broken(err)
	}
	if x.status == 'I' || x.began {
		return x.outcome()
	}
	return x.endLedger()
}

// refusedCommand handles the failure of a command before the batch was sent.
func (x *execution) refusedCommand(err error) Outcome {
	var refused *commandError
	if !errors.As(err, &refused) {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	return Outcome{Kind: RunRejected, Status: 'I'}
}

// abandon rolls back after the ledger refused the id.
func (x *execution) abandon(err error) Outcome {
	var refused *commandError
	if !errors.As(err, &refused) {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if _, err := x.u.command("ROLLBACK"); err != nil {
		return Outcome{Kind: RunNotSent, Err: err}
	}
	if refused.Code == codeUniqueViolation {
		return Outcome{Kind: RunDuplicate, Status: 'I'}
	}
	return x.refusedWith(refused)
}

// refusedWith ends a run that a command of the proxy's own rolled back. The
// caller gets the upstream's error, unless another try may succeed.
func (x *execution) refusedWith(refused *commandError) Outcome {
	if refused.Code == codeReadOnly || strings.HasPrefix(refused.Code, classRollback) {
		return Outcome{Kind: RunRejected, Status: 'I', Streamed: x.streamed}
	}
	tail, err := refused.Encode(nil)
	if err != nil {
		return x.broken(err)
	}
	tail, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(tail)
	if err != nil {
		return x.broken(err)
	}
	return Outcome{Kind: RunAnswered, Status: 'I', Tail: tail, Streamed: x.streamed, Failed: true}
}

// endLedger ends the transaction that the proxy began around a plain batch and
// corrects the status that the caller sees.
func (x *execution) endLedger() Outcome {
	command := "COMMIT"
	if x.status == 'E' {
		command = "ROLLBACK"
	}
	status, err := x.u.command(command)
	var refused *commandError
	if err != nil && !errors.As(err, &refused) {
		return x.broken(err)
	}
	if refused != nil {
		if status != 'I' {
			if _, err := x.u.command("ROLLBACK"); err != nil {
				return x.broken(err)
			}
		}
		return x.refusedWith(refused)
	}
	x.status = status
	x.setReady(status)
	if x.rolledBack() {
		return Outcome{Kind: RunRejected, Status: status, Streamed: x.streamed}
	}
	return x.answered(RunAnswered)
}

// setReady replaces the transaction status in the last message held.
func (x *execution) setReady(status byte) {
	if n := len(x.buffer); n > 0 {
		x.buffer[n-1] = status
	}
}

// exchange sends the batch and takes the answer.
func (x *execution) exchange() error {
	fail := oops.With("step", "run_batch", "peer", x.u.name)
	p, err := makePlan(x.run.Batch, x.u.prepared)
	if err != nil {
		return fail.Wrap(err)
	}
	if _, err := x.u.conn.Write(p.wire); err != nil {
		return fail.Wrap(err)
	}
	if stateFunctions.Match(x.run.Batch.Messages) || x.run.Batch.usesStateFunctions() {
		x.u.changed = true
	}
	s := &sequencer{steps: p.steps, prepared: x.u.prepared, emit: x.emit}
	for {
		message, err := x.u.frontend.Receive()
		if err != nil {
			return fail.Wrap(err)
		}
		done, err := s.take(message)
		if err != nil {
			return fail.Wrap(err)
		}
		if done {
			return nil
		}
	}
}

// emit collects a message of the answer and hands on what need not be held.
func (x *execution) emit(message pgproto3.BackendMessage) error {
	start, committed := len(x.buffer), x.committed
	switch m := message.(type) {
	case *pgproto3.CommandComplete:
		x.noteTag(string(m.CommandTag))
		x.holding = x.holding || x.run.Hold
	case *pgproto3.ErrorResponse:
		if x.firstError == "" {
			x.firstError = m.Code
		}
		x.holding = x.holding || x.run.Hold
	case *pgproto3.ReadyForQuery:
		x.status = m.TxStatus
		x.holding = true
	}
	out, err := message.Encode(x.buffer)
	if err != nil {
		return err
	}
	x.buffer = out
	if x.holding {
		return x.passHeld(message, start, committed)
	}
	if len(x.buffer) < chunkBytes {
		return nil
	}
	return x.send(len(x.buffer))
}

func (x *execution) noteTag(tag string) {
	switch tag {
	case "BEGIN", "START TRANSACTION":
		x.began = true
	case "COMMIT", "PREPARE TRANSACTION":
		x.committed = true
	case "DEALLOCATE ALL", "DISCARD ALL":
		clear(x.u.prepared)
	}
	if leavesState(tag) {
		x.u.changed = true
	}
	if x.run.ReadOnly && writes(tag) {
		x.u.wrote = true
	}
}

// writes reports whether a command tag tells of a write.
func writes(tag string) bool {
	word, _, _ := strings.Cut(tag, " ")
	switch word {
	case "INSERT", "UPDATE", "DELETE", "MERGE", "TRUNCATE", "CREATE", "ALTER", "DROP":
		return true
	}
	return false
}

// passHeld bounds what is held. Until something was committed, the end of an
// earlier statement acknowledges nothing, so that it may leave. The message
// starts at the given place of the buffer; committed is the state before it.
func (x *execution) passHeld(message pgproto3.BackendMessage, start int, committed bool) error {
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
	return x.send(start)
}

// send passes on the first n bytes of the buffer.
func (x *execution) send(n int) error {
	if err := x.chunk(x.buffer[:n]); err != nil {
		return err
	}
	x.streamed = true
	x.buffer = append(x.buffer[:0], x.buffer[n:]...)
	return nil
}
