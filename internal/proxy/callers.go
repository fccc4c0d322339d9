package proxy

import (
	"errors"
	"fmt"
	"io"
	"net"
	"sync"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
)

// callerTable holds the caller connections by the process id that each got in its
// BackendKeyData.
type callerTable struct {
	mu    sync.Mutex
	byPID map[uint32]*callerConn
}

// add stores a connection and returns the number of connections with it.
func (t *callerTable) add(c *callerConn) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byPID == nil {
		t.byPID = map[uint32]*callerConn{}
	}
	t.byPID[c.pid] = c
	return len(t.byPID)
}

func (t *callerTable) remove(c *callerConn) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.byPID, c.pid)
}

func (t *callerTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byPID)
}

func (t *callerTable) get(pid uint32) (*callerConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.byPID[pid]
	return c, ok
}

func (t *callerTable) all() []*callerConn {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := make([]*callerConn, 0, len(t.byPID))
	for _, c := range t.byPID {
		out = append(out, c)
	}
	return out
}

// serveCallers accepts callers until the listener is closed.
func (p *Proxy) serveCallers(listener net.Listener) {
	for {
		conn, err := listener.Accept()
		if errors.Is(err, net.ErrClosed) {
			return
		}
		if err != nil {
			p.logFailure("accept_failed", "accept_caller", "", err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go p.serveCaller(conn)
	}
}

const (
	// acceptRetryDelay keeps the accept loop from spinning on a persistent error.
	acceptRetryDelay = 10 * time.Millisecond
	// startupTimeout bounds a caller's login.
	startupTimeout = 10 * time.Second
	// callerWriteTimeout bounds one write to a caller. Without it, a caller that
	// stops reading would hold the resources of its request forever.
	callerWriteTimeout = time.Minute
	// discardTimeout bounds how long the rest of an oversized message is read.
	discardTimeout = time.Second
)

// callerConn is one caller's connection.
type callerConn struct {
	proxy    *Proxy
	conn     net.Conn
	backend  *pgproto3.Backend
	id       entity.CallerID
	pid      uint32
	secret   []byte
	user     string
	database string
	defaults pgwire.Declarations
	batches  chan *pgwire.Batch
	// shutdown is closed to end the connection when no request runs.
	shutdown     chan struct{}
	shutdownOnce sync.Once
	// readDone is closed when reading from the caller ended; readErr, the reason,
	// is set before.
	readDone chan struct{}
	readErr  error
	// serveDone is closed when the connection is no longer served.
	serveDone chan struct{}

	// mu protects running, idleSince, status and aborted. Only the goroutine of
	// serveCaller writes them, so it reads them without the lock.
	mu sync.Mutex
	// running is the response of the open request, if any; idleSince is when a
	// request last started or ended.
	running   *responsePipe
	idleSince time.Time
	// status is the transaction status in the last ReadyForQuery: I, T or E.
	status byte
	// transaction identifies the open transaction, or the last one.
	transaction uint64
	// aborted is set after the proxy itself failed a statement in a transaction.
	// The upstream has rolled back, but the caller must still end the transaction.
	aborted bool

	// class is the declared class of the last batch that ran outside a transaction.
	// It holds for all statements of a transaction that this batch opened.
	class string
}

// responsePipe carries the response of one request to the caller. Each request
// has its own, so that a late chunk can't become part of the next response.
type responsePipe struct {
	handle  entity.Handle
	request *inflightRequest
	// chunks are written to the caller one at a time; chunkErrs returns the
	// result of each write.
	chunks    chan []byte
	chunkErrs chan error
	outcomes  chan outcome
	// done is closed when the request has ended and no more chunks are accepted.
	done chan struct{}
}

func (p *Proxy) serveCaller(conn net.Conn) {
	c := &callerConn{
		proxy:     p,
		conn:      conn,
		backend:   pgproto3.NewBackend(conn, conn),
		batches:   make(chan *pgwire.Batch),
		shutdown:  make(chan struct{}),
		readDone:  make(chan struct{}),
		serveDone: make(chan struct{}),
		idleSince: time.Now(),
		status:    'I',
	}
	defer conn.Close()
	defer close(c.serveDone)
	if !c.login() {
		return
	}
	defer p.callers.remove(c)
	go c.readBatches()
	c.serveBatches()
	c.endTransaction()
}

// endTransaction rolls back the caller's open transaction, whether this proxy or
// a peer owns the database.
func (c *callerConn) endTransaction() {
	transaction := c.transaction
	c.proxy.post(func(in *core.Inputs) {
		in.CallersClosed = append(in.CallersClosed, core.CallerClosed{Caller: c.id, Transaction: transaction})
	})
	c.proxy.peers.sendCallerClosed(c.id, transaction)
}

// readBatches groups the caller's messages into batches until the connection ends.
func (c *callerConn) readBatches() {
	defer close(c.readDone)
	limit := c.proxy.options.Settings.MaxRequestBytes
	c.backend.SetMaxBodyLen(limit)
	assembler := pgwire.NewAssembler(limit)
	for {
		message, err := c.backend.Receive()
		if err != nil {
			c.readErr = err
			return
		}
		batch, err := assembler.Add(message)
		if err != nil {
			c.readErr = err
			return
		}
		if batch == nil {
			continue
		}
		select {
		case c.batches <- batch:
		case <-c.serveDone:
			return
		}
	}
}

// serveBatches runs the caller's batches one at a time.
func (c *callerConn) serveBatches() {
	for {
		select {
		case batch := <-c.batches:
			if err := c.handleBatch(batch); err != nil {
				c.logConnectionError(err)
				return
			}
		case <-c.readDone:
			c.sendReadError()
			return
		case <-c.shutdown:
			if !c.handlePendingBatch() {
				c.sendFatal("57P01", "the proxy is draining; connect again")
			}
			return
		case <-c.proxy.done:
			c.sendFatal("57P01", "the proxy has shut down")
			return
		}
	}
}

// handlePendingBatch runs a batch that arrived before the shutdown was requested.
// It reports whether the connection is broken.
func (c *callerConn) handlePendingBatch() bool {
	select {
	case batch := <-c.batches:
		return c.handleBatch(batch) != nil
	default:
		return false
	}
}

// sendReadError sends the caller the reason why reading stopped, if the caller
// caused it.
func (c *callerConn) sendReadError() {
	var tooLarge *pgproto3.ExceededMaxBodyLenErr
	var network net.Error
	switch err := c.readErr; {
	case errors.As(err, &tooLarge):
		limit := c.proxy.options.Settings.MaxRequestBytes
		c.sendFatal("54000", fmt.Sprintf("message is larger than %d bytes", limit))
		c.discardInput(limit)
	case errors.Is(err, pgwire.ErrTerminated), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), errors.As(err, &network):
	default:
		c.sendFatal("08P01", "protocol violation: "+err.Error())
	}
}

// discardInput reads and drops what the caller is still sending, up to twice the
// limit in bytes. Closing a connection with unread bytes resets it, and the caller
// might lose the error that was sent.
func (c *callerConn) discardInput(limit int) {
	if tcp, ok := c.conn.(*net.TCPConn); ok {
		tcp.CloseWrite()
	}
	c.conn.SetReadDeadline(time.Now().Add(discardTimeout))
	io.CopyN(io.Discard, c.conn, 2*int64(limit))
}

func (c *callerConn) logConnectionError(err error) {
	if errors.Is(err, io.EOF) || errors.Is(err, net.ErrClosed) {
		return
	}
	c.proxy.log.WithFields(logrus.Fields{"event": "caller_ended", "step": "serve_caller", "peer": c.conn.RemoteAddr().String()}).Debug(err)
}

// handleBatch answers a batch that needs no upstream, rejects one that is not
// supported, and submits any other. An error means that the connection cannot be
// used any more.
func (c *callerConn) handleBatch(batch *pgwire.Batch) error {
	if batch.Err != nil {
		return c.sendBatchError(batch.Err)
	}
	if batch.Empty() {
		return c.sendReadyForQuery()
	}
	if batch.OnlyClosesStatements() {
		return c.answerLocally(batch, "")
	}
	singleStatement := len(batch.StatementTexts) == 1
	if c.aborted {
		return c.handleAborted(batch, singleStatement)
	}
	if name, value, ok := pgwire.ParseSet(batch.FirstStatementText()); ok && singleStatement {
		return c.setDeclaration(batch, name, value)
	}
	for _, text := range batch.StatementTexts {
		if reason := pgwire.UnsupportedReason(text, c.inTransaction()); reason != "" {
			return c.sendBatchError(&pgwire.CallerError{Code: "0A000", Message: reason})
		}
	}
	declared := c.defaults
	if err := declared.ApplyComment(batch.FirstStatementText()); err != nil {
		return c.sendBatchError(&pgwire.CallerError{Code: "22023", Message: err.Error()})
	}
	return c.submit(batch, &declared)
}

// handleAborted rejects every batch until the caller ends the transaction, as
// PostgreSQL does after an error in a transaction.
func (c *callerConn) handleAborted(batch *pgwire.Batch, singleStatement bool) error {
	if !singleStatement || !pgwire.EndsTransaction(batch.FirstStatementText()) {
		return c.sendBatchError(&pgwire.CallerError{
			Code:    "25P02",
			Message: "current transaction is aborted, commands ignored until end of transaction block",
		})
	}
	c.setStatus('I', false)
	return c.answerLocally(batch, "ROLLBACK")
}

// setDeclaration changes a default declaration of the connection.
func (c *callerConn) setDeclaration(batch *pgwire.Batch, name, value string) error {
	if err := c.defaults.Set(name, value); err != nil {
		return c.sendBatchError(&pgwire.CallerError{Code: "22023", Message: err.Error()})
	}
	return c.answerLocally(batch, "SET")
}

// answerLocally answers a batch without an upstream. tag is the command tag.
func (c *callerConn) answerLocally(batch *pgwire.Batch, tag string) error {
	wire, err := batch.LocalResponse(tag, c.status)
	if err != nil {
		return err
	}
	return c.write(wire)
}

// sendBatchError sends the error of a batch that was not run, with its SQLSTATE if
// it is a pgwire.CallerError.
func (c *callerConn) sendBatchError(err error) error {
	code := "XX000"
	var callerErr *pgwire.CallerError
	if errors.As(err, &callerErr) {
		code = callerErr.Code
	}
	return c.sendError(&pgproto3.ErrorResponse{Severity: "ERROR", SeverityUnlocalized: "ERROR", Code: code, Message: err.Error()})
}

// sendError sends an error that the proxy itself raised, and ReadyForQuery.
func (c *callerConn) sendError(e *pgproto3.ErrorResponse) error {
	wire, err := c.encodeError(nil, e)
	if err != nil {
		return err
	}
	return c.write(wire)
}

// encodeError appends an error that the proxy itself raised, and ReadyForQuery. It rolls
// back an open transaction at once, so that the caller can't commit a part of it.
func (c *callerConn) encodeError(wire []byte, e *pgproto3.ErrorResponse) ([]byte, error) {
	if c.inTransaction() {
		c.endTransaction()
		c.setStatus('E', true)
	}
	wire, err := e.Encode(wire)
	if err != nil {
		return nil, err
	}
	return (&pgproto3.ReadyForQuery{TxStatus: c.status}).Encode(wire)
}

func (c *callerConn) sendReadyForQuery() error {
	wire, err := (&pgproto3.ReadyForQuery{TxStatus: c.status}).Encode(nil)
	if err != nil {
		return err
	}
	return c.write(wire)
}

func (c *callerConn) write(data []byte) error {
	c.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	_, err := c.conn.Write(data)
	return err
}

// inTransaction reports whether the caller has a transaction open at an upstream.
func (c *callerConn) inTransaction() bool { return c.status != 'I' && !c.aborted }

func (c *callerConn) setStatus(status byte, aborted bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.status, c.aborted = status, aborted
}
