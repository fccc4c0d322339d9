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
	prepared map[string]bool
	readOnly bool
	// changed is set if a statement may have left session state behind.
	changed bool
	// wrote is set while a transaction of a read-only run has written.
	wrote  bool
	pid    uint32
	secret []byte
}

const (
	// maxPrepared bounds the prepared statements of one upstream connection.
	maxPrepared = 256
	// chunkBytes is how much of an answer is collected before it is passed on.
	// An answer that is smaller leaves whole, so that the batch can be tried
	// again as long as it has not.
	chunkBytes = 64 << 10
	// maxHeldBytes bounds the final messages held back for a confirmation.
	maxHeldBytes = 1 << 20
)

// Dial opens a connection and logs in. The error names the step and the peer.
func Dial(ctx context.Context, name, address, user, database string) (*UpstreamConn, error) {
	fail := oops.With("step", "connect_upstream", "peer", name)
	var d net.Dialer
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, fail.Wrap(err)
	}
	u := &UpstreamConn{name: name, address: address, conn: conn, prepared: map[string]bool{}}
	u.frontend = pgproto3.NewFrontend(conn, conn)
	if at, ok := ctx.Deadline(); ok {
		conn.SetDeadline(at)
	}
	if err := u.login(user, database); err != nil {
		conn.Close()
		return nil, fail.Wrap(err)
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
			return errors.New("the upstream asks for an authentication that is not supported")
		}
	}
}

// Close closes the connection; an open transaction is rolled back by the upstream.
func (u *UpstreamConn) Close() error { return u.conn.Close() }

// Cancel asks the upstream to cancel what runs on the connection. It returns
// once the upstream has closed the connection of the cancel request, after
// which the cancel can no longer hit a later statement.
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

var errStray = errors.New("the upstream sent something that no request asked for")

// quiet makes sure that nothing waits on the connection that the next request
// could take for its own answer.
func (u *UpstreamConn) quiet() error {
	fail := oops.With("step", "check_quiet", "peer", u.name)
	for {
		waiting, err := u.waiting()
		if err != nil || !waiting {
			return fail.Wrap(err)
		}
		u.conn.SetReadDeadline(time.Now().Add(strayTimeout))
		message, err := u.frontend.Receive()
		u.conn.SetReadDeadline(time.Time{})
		if err != nil {
			return fail.Wrap(err)
		}
		switch message.(type) {
		case *pgproto3.NoticeResponse, *pgproto3.ParameterStatus, *pgproto3.NotificationResponse:
		default:
			return fail.Wrap(errStray)
		}
	}
}

// strayTimeout bounds the wait for the rest of a message of which some has come.
const strayTimeout = 100 * time.Millisecond

// waiting reports whether bytes were received that no request has read. The
// error is io.EOF if the upstream has closed the connection.
func (u *UpstreamConn) waiting() (bool, error) {
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

// Run is a batch with the way in which it runs.
type Run struct {
	Batch    *Batch
	ReadOnly bool
	// Hold keeps the final messages in the outcome rather than passing them on.
	Hold bool
	// Continued is set for a statement of an open transaction.
	Continued bool
	// LedgerID is stored in the ledger within the batch's transaction, if set.
	LedgerID string
}

// RunKind tells how a run ended.
type RunKind uint8

const (
	// RunAnswered runs were answered up to ReadyForQuery.
	RunAnswered RunKind = iota
	// RunRejected runs took no effect, since the upstream accepts no writes.
	RunRejected
	// RunNotSent runs did not reach the upstream.
	RunNotSent
	// RunBroken runs lost the connection after the batch was sent.
	RunBroken
	// RunDuplicate runs found their id in the ledger.
	RunDuplicate
)

// Outcome is the end of a run.
type Outcome struct {
	Kind RunKind
	// Status is the transaction status of ReadyForQuery.
	Status byte
	// Tail is the part of the answer that was not passed on.
	Tail []byte
	// Streamed is set if some of the answer was passed on.
	Streamed bool
	// Wrote is set if a read-only run wrote all the same, in a transaction that
	// its caller declared as READ WRITE.
	Wrote bool
	// Failed is set if the answer is an error and nothing took effect.
	Failed bool
	// Err is set if the connection can't be used any more.
	Err error
}

// Run runs a batch. chunk receives whole backend messages as they come; it must
// not keep the slice.
func (u *UpstreamConn) Run(run *Run, chunk func([]byte) error) Outcome {
	x := &execution{u: u, run: run, chunk: chunk}
	return x.do()
}

// Ping does a round trip within the deadline.
func (u *UpstreamConn) Ping(timeout time.Duration) error {
	u.conn.SetDeadline(time.Now().Add(timeout))
	defer u.conn.SetDeadline(time.Time{})
	if err := u.quiet(); err != nil {
		return err
	}
	_, err := u.command("SELECT 1")
	return err
}

// commandError is an ErrorResponse to a command of the proxy's own.
type commandError struct{ pgproto3.ErrorResponse }

func (e *commandError) Error() string { return "SQLSTATE " + e.Code }

// command runs a simple query whose answer the caller does not see. It returns
// the transaction status.
func (u *UpstreamConn) command(query string) (byte, error) {
	u.frontend.Send(&pgproto3.Query{String: query})
	if err := u.frontend.Flush(); err != nil {
		return 0, oops.With("step", "send_command", "peer", u.name).Wrap(err)
	}
	var failed error
	for {
		message, err := u.frontend.Receive()
		if err != nil {
			return 0, oops.With("step", "receive_command", "peer", u.name).Wrap(err)
		}
		switch m := message.(type) {
		case *pgproto3.ErrorResponse:
			failed = &commandError{*m}
		case *pgproto3.ReadyForQuery:
			return m.TxStatus, failed
		}
	}
}

// prepare brings the connection's session state to what the run needs.
func (u *UpstreamConn) prepare(run *Run) error {
	if run.Continued {
		return nil
	}
	if u.changed || len(u.prepared) > maxPrepared {
		if _, err := u.command("DISCARD ALL"); err != nil {
			return err
		}
		u.changed, u.readOnly = false, false
		u.prepared = map[string]bool{}
	}
	if u.readOnly == run.ReadOnly {
		return nil
	}
	value := "off"
	if run.ReadOnly {
		value = "on"
	}
	if _, err := u.command("SET default_transaction_read_only = " + value); err != nil {
		return err
	}
	u.readOnly = run.ReadOnly
	return nil
}

// stateFunctions are the functions that change session state without a command
// tag that tells of it. A text that merely contains the name costs no more than
// a needless DISCARD ALL.
var stateFunctions = regexp.MustCompile(`(?i)\bset_config\s*\(|\bpg_(?:try_)?advisory_lock`)

func (b *Batch) usesStateFunctions() bool {
	return slices.ContainsFunc(b.Statements, func(s Statement) bool { return stateFunctions.MatchString(s.Query) })
}

// leavesState reports whether a command tag tells of session state that
// outlives the transaction.
func leavesState(tag string) bool {
	word, rest, _ := strings.Cut(tag, " ")
	switch word {
	case "SET", "RESET", "PREPARE", "LISTEN", "DECLARE", "LOAD", "DEALLOCATE", "DISCARD":
		return true
	case "CREATE":
		return strings.HasPrefix(rest, "TABLE") || strings.HasPrefix(rest, "VIEW") || strings.HasPrefix(rest, "SEQUENCE")
	}
	return false
}
