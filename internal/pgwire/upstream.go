package pgwire

import (
	"context"
	"errors"
	"io"
	"net"
	"regexp"
	"slices"
	"strings"
	"syscall"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/samber/oops"
)

// UpstreamConn is a connection to an upstream. It runs one batch at a time.
type UpstreamConn struct {
	name     string
	address  string
	conn     net.Conn
	frontend *pgproto3.Frontend
	prepared map[string]bool // names of the statements prepared on the connection
	readOnly bool            // value of default_transaction_read_only
	// sessionChanged is set if a statement may have changed session state.
	sessionChanged bool
	// wroteInTransaction is set if a read-only run has written in the open transaction.
	wroteInTransaction bool
	pid                uint32
	secret             []byte
}

const (
	// maxPrepared bounds the prepared statements of one upstream connection.
	maxPrepared = 256
	// chunkBytes is how much of a response is buffered before it is passed on. A
	// batch can be retried only while no part of its response was passed on, so a
	// smaller response is passed on whole.
	chunkBytes = 64 << 10
	// maxHeldBytes bounds the final messages that are held for a confirmation.
	maxHeldBytes = 1 << 20
)

// Dial opens a connection and logs in, within the deadline of ctx. The error has
// the attributes step and peer.
func Dial(ctx context.Context, name, address, user, database string) (*UpstreamConn, error) {
	errorBuilder := oops.With("step", "connect_upstream", "peer", name)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errorBuilder.Wrap(err)
	}
	u := &UpstreamConn{name: name, address: address, conn: conn, prepared: map[string]bool{}}
	u.frontend = pgproto3.NewFrontend(conn, conn)
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	if err := u.login(user, database); err != nil {
		conn.Close()
		return nil, errorBuilder.Wrap(err)
	}
	conn.SetDeadline(time.Time{})
	return u, nil
}

func (u *UpstreamConn) login(user, database string) error {
	u.frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": user, "database": database, "application_name": "skylarkhinge"},
	})
	if err := u.frontend.Flush(); err != nil {
		return err
	}
	for {
		message, err := u.frontend.Receive()
		if err != nil {
			return err
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			return errors.New(m.Code + ": " + m.Message)
		case *pgproto3.BackendKeyData:
			u.pid, u.secret = m.ProcessID, append([]byte(nil), m.SecretKey...)
		case *pgproto3.ReadyForQuery:
			return nil
		case *pgproto3.AuthenticationOk, *pgproto3.ParameterStatus, *pgproto3.NoticeResponse:
		default:
			return errors.New("upstream requests an unsupported authentication method")
		}
	}
}

// Close closes the connection; an open transaction is rolled back by the upstream.
func (u *UpstreamConn) Close() error { return u.conn.Close() }

// Cancel asks the upstream to cancel the statement that runs on the connection. It
// returns once the upstream has closed the connection of the cancel request, after
// which the request can no longer cancel a later statement.
func (u *UpstreamConn) Cancel(ctx context.Context) error {
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", u.address)
	if err != nil {
		return oops.With("step", "cancel_upstream", "peer", u.name).Wrap(err)
	}
	defer conn.Close()
	request := &pgproto3.CancelRequest{ProcessID: u.pid, SecretKey: u.secret}
	wire, err := request.Encode(nil)
	if err != nil {
		return err
	}
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	if _, err = conn.Write(wire); err == nil {
		_, err = io.Copy(io.Discard, conn)
	}
	return oops.With("step", "cancel_upstream", "peer", u.name).Wrap(err)
}

var errUnexpectedMessage = errors.New("unexpected message from the upstream while no batch was running")

// checkIdle drops pending asynchronous messages. It fails if any other message is
// pending, since the next batch would take it for its own response.
func (u *UpstreamConn) checkIdle() error {
	errorBuilder := oops.With("step", "check_quiet", "peer", u.name)
	for {
		pending, err := u.hasInput()
		if err != nil || !pending {
			return errorBuilder.Wrap(err)
		}
		u.conn.SetReadDeadline(time.Now().Add(partialMessageTimeout))
		message, err := u.frontend.Receive()
		u.conn.SetReadDeadline(time.Time{})
		if err != nil {
			return errorBuilder.Wrap(err)
		}
		switch message.(type) {
		case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		default:
			return errorBuilder.Wrap(errUnexpectedMessage)
		}
	}
}

// partialMessageTimeout bounds the wait for the rest of a partly received message.
const partialMessageTimeout = 100 * time.Millisecond

// hasInput reports whether received bytes are unread. It does not block. The error
// is io.EOF if the upstream has closed the connection.
func (u *UpstreamConn) hasInput() (bool, error) {
	if u.frontend.ReadBufferLen() > 0 {
		return true, nil
	}
	socket, ok := u.conn.(syscall.Conn)
	if !ok {
		return false, nil
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return false, err
	}
	var n int
	var peekErr error
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		n, _, peekErr = syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		return true
	})
	switch {
	case err != nil:
		return false, err
	case peekErr == syscall.EAGAIN || peekErr == syscall.EINTR:
		return false, nil
	case peekErr != nil:
		return false, peekErr
	case n == 0:
		return false, io.EOF
	}
	return true, nil
}

// Run is a batch with the options of its execution.
type Run struct {
	Batch    *Batch
	ReadOnly bool
	// Hold keeps the messages from the first CommandComplete or ErrorResponse on
	// for Outcome.Tail instead of streaming them, up to a size limit.
	Hold bool
	// Continued is set if the batch continues an open transaction.
	Continued bool
	// LedgerID is the request id that is stored in the ledger, in the transaction
	// of the batch. It is empty for batches without a ledger entry.
	LedgerID string
}

// RunKind is how a run ended.
type RunKind uint8

const (
	// RunAnswered runs got a response up to ReadyForQuery.
	RunAnswered RunKind = iota
	// RunRejected runs had no effect: the upstream accepts no writes, or the
	// proxy's ledger transaction failed with an error after which a retry may
	// succeed.
	RunRejected
	// RunNotSent runs ended before the batch was sent.
	RunNotSent
	// RunBroken runs failed during or after sending the batch. They may have taken
	// effect.
	RunBroken
	// RunDuplicate runs had no effect: the ledger already had their request id.
	RunDuplicate
)

// Outcome is the result of a run.
type Outcome struct {
	Kind RunKind
	// Status is the transaction status of ReadyForQuery: I, T or E.
	Status byte
	// Tail is the part of the response that was not passed on.
	Tail []byte
	// Streamed is set if a part of the response was passed on.
	Streamed bool
	// Wrote is set if a read-only run wrote, which is possible in a transaction
	// that the caller began as READ WRITE.
	Wrote bool
	// Failed is set if the response has an error and the batch had no effect.
	Failed bool
	// Err is set if the connection can't be used any more, and must be closed.
	Err error
}

// Run runs a batch. It passes the response to writeChunk in parts of whole backend
// messages. writeChunk must not keep the slice; its error breaks the run.
func (u *UpstreamConn) Run(run *Run, writeChunk func([]byte) error) Outcome {
	x := &execution{upstream: u, run: run, writeChunk: writeChunk}
	return x.execute()
}

// Ping runs a trivial query to check the connection.
func (u *UpstreamConn) Ping(timeout time.Duration) error {
	u.conn.SetDeadline(time.Now().Add(timeout))
	defer u.conn.SetDeadline(time.Time{})
	if err := u.checkIdle(); err != nil {
		return err
	}
	_, err := u.runCommand("SELECT 1")
	return err
}

// commandError is an ErrorResponse to a command that the proxy itself sent.
type commandError struct{ pgproto3.ErrorResponse }

func (e *commandError) Error() string { return "SQLSTATE " + e.Code }

// runCommand runs a simple query whose response the caller does not see. It returns
// the transaction status. The error is a *commandError if the command failed at the
// upstream, and any other if the connection did.
func (u *UpstreamConn) runCommand(query string) (byte, error) {
	u.frontend.Send(&pgproto3.Query{String: query})
	if err := u.frontend.Flush(); err != nil {
		return 0, oops.With("step", "send_command", "peer", u.name).Wrap(err)
	}
	var commandErr error
	for {
		message, err := u.frontend.Receive()
		if err != nil {
			return 0, oops.With("step", "receive_command", "peer", u.name).Wrap(err)
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			commandErr = &commandError{*m}
		case *pgproto3.ReadyForQuery:
			return m.TxStatus, commandErr
		}
	}
}

// prepareSession resets session state that earlier batches changed, and sets the
// default transaction mode that the run needs.
func (u *UpstreamConn) prepareSession(run *Run) error {
	if run.Continued {
		return nil
	}
	if u.sessionChanged || len(u.prepared) > maxPrepared {
		if _, err := u.runCommand("DISCARD ALL"); err != nil {
			return err
		}
		u.sessionChanged, u.readOnly = false, false
		u.prepared = map[string]bool{}
	}
	if u.readOnly == run.ReadOnly {
		return nil
	}
	value := "off"
	if run.ReadOnly {
		value = "on"
	}
	if _, err := u.runCommand("SET default_transaction_read_only = " + value); err != nil {
		return err
	}
	u.readOnly = run.ReadOnly
	return nil
}

// sessionStateFunctions matches calls of functions that change session state, which
// the command tag of the statement does not show. A false match only costs an
// unneeded DISCARD ALL.
var sessionStateFunctions = regexp.MustCompile(`(?i)\bset_config\s*\(|\bpg_(?:try_)?advisory_lock`)

// matches reports whether the pattern matches a message or a prepared statement.
func (b *Batch) matches(pattern *regexp.Regexp) bool {
	return pattern.Match(b.Messages) || slices.ContainsFunc(b.Statements, func(s Statement) bool { return pattern.MatchString(s.Query) })
}

// changesSessionState reports whether a command tag is that of a statement that may
// change session state beyond its transaction.
func changesSessionState(tag string) bool {
	command, rest, _ := strings.Cut(tag, " ")
	switch command {
	case "SET", "RESET", "PREPARE", "LISTEN", "DECLARE", "LOAD", "DEALLOCATE", "DISCARD":
		return true
	case "CREATE":
		return strings.HasPrefix(rest, "TABLE") || strings.HasPrefix(rest, "VIEW") || strings.HasPrefix(rest, "SEQUENCE")
	}
	return false
}
