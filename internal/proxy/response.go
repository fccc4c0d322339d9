package proxy

import (
	"context"
	"errors"
	"net"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
)

// submit posts the batch to the core as a request and relays the response to the
// caller. An error means that the connection cannot be used any more.
func (c *callerConn) submit(batch *pgwire.Batch, declared *pgwire.Declarations) error {
	p := c.proxy
	if c.inTransaction() {
		declared.Class = c.class
	} else {
		c.transaction = p.nextTransaction.Add(1)
	}
	r := &inflightRequest{
		handle:    entity.Handle(p.nextHandle.Add(1)),
		request:   c.requestMessage(batch, declared),
		arrivedAt: time.Now(),
		origin:    c,
	}
	pipe := &responsePipe{
		handle:    r.handle,
		request:   r,
		chunks:    make(chan []byte),
		chunkErrs: make(chan error),
		outcomes:  make(chan outcome, 1),
		done:      make(chan struct{}),
	}
	defer close(pipe.done)
	c.setRunning(pipe)
	defer c.setRunning(nil)
	p.inflight.add(r)
	arrival := newArrival(r)
	p.post(func(in *core.Inputs) { in.Arrivals = append(in.Arrivals, arrival) })
	if !c.inTransaction() {
		c.class = declared.Class
	}
	return c.awaitOutcome(pipe)
}

func (c *callerConn) setRunning(pipe *responsePipe) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.running = pipe
	c.idleSince = time.Now()
}

// pipe returns the response pipe of a request. It reports false if the caller
// does not wait for this request.
func (c *callerConn) pipe(h entity.Handle) (*responsePipe, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.running, c.running != nil && c.running.handle == h
}

// idleFor returns how long the caller has had neither a running request nor an
// open transaction; it is 0 while there is one.
func (c *callerConn) idleFor() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.running != nil || c.inTransaction() {
		return 0
	}
	return time.Since(c.idleSince)
}

// requestShutdown makes serveBatches end the connection when no request runs.
func (c *callerConn) requestShutdown() { c.shutdownOnce.Do(func() { close(c.shutdown) }) }

// awaitOutcome writes the chunks of a response to the caller as they come, then
// the outcome. If the caller disconnects first, the request is cancelled.
func (c *callerConn) awaitOutcome(pipe *responsePipe) error {
	readDone := c.readDone
	for {
		select {
		case data := <-pipe.chunks:
			pipe.chunkErrs <- c.write(data)
		case o := <-pipe.outcomes:
			c.proxy.observer.recordResult(pipe.request, &o.result)
			return c.writeOutcome(o)
		case <-readDone:
			readDone = nil
			c.cancel(pipe.handle)
			if c.inTransaction() {
				// A cancel request that arrives before the statement starts has no
				// effect. Roll back now rather than wait for the statement.
				c.endTransaction()
			}
		case <-c.proxy.done:
			c.sendFatal("57P01", "the proxy has shut down")
			return net.ErrClosed
		}
	}
}

// cancel cancels a request here and at the peer that it was forwarded to.
func (c *callerConn) cancel(h entity.Handle) {
	c.proxy.post(func(in *core.Inputs) { in.Cancels = append(in.Cancels, core.Cancel{Handle: h}) })
	c.proxy.peers.cancel(h)
}

// sendChunk writes a part of the response to the caller and returns the error of
// the write. It returns context.Canceled if the request has ended.
func (c *callerConn) sendChunk(r *inflightRequest, data []byte) error {
	pipe, ok := c.pipe(r.handle)
	if !ok {
		return context.Canceled
	}
	select {
	case pipe.chunks <- data:
		return <-pipe.chunkErrs
	case <-pipe.done:
		return context.Canceled
	}
}

func (c *callerConn) sendOutcome(r *inflightRequest, o outcome) {
	if pipe, ok := c.pipe(r.handle); ok {
		pipe.outcomes <- o
	}
}

// writeOutcome sends the rest of the response, or the error that the result stands
// for, to the caller.
//
// An acknowledgement is assembled first, and its age is checked right before the only
// write, so that no part of it leaves after a pause of the process. Only a pause between
// the check and the system call is not noticed; docs/proofs.md says what bounds it.
func (c *callerConn) writeOutcome(o outcome) error {
	answer, err := c.encodeOutcome(&o)
	if err != nil {
		return err
	}
	c.conn.SetWriteDeadline(time.Now().Add(callerWriteTimeout))
	if o.expireAcknowledgement(c.proxy.now()) {
		if answer, err = c.encodeOutcome(&o); err != nil {
			return err
		}
	}
	if _, err := c.conn.Write(answer); err != nil {
		return err
	}
	if o.result.Kind == core.ResultDone {
		c.setStatus(o.transactionStatus(), false)
	}
	return nil
}

// encodeOutcome returns the messages that answer the caller. If the result is an error,
// it also rolls back an open transaction; see encodeError.
func (c *callerConn) encodeOutcome(o *outcome) ([]byte, error) {
	var answer []byte
	res := &o.result
	if !res.Position.IsZero() {
		token := &pgproto3.ParameterStatus{Name: pgwire.ParameterPrefix + "token", Value: pgwire.FormatToken(res.Position)}
		var err error
		if answer, err = token.Encode(answer); err != nil {
			return nil, err
		}
	}
	if res.Kind != core.ResultDone {
		e := errorResponse(res)
		if res.Kind == core.ResultNotRun && res.Reason == reasonCancelled {
			e.Code, e.Message = "57014", "canceling statement due to user request; the request did not run"
		}
		return c.encodeError(answer, e)
	}
	if len(o.tail) == 0 {
		return nil, errNoTail
	}
	return append(answer, o.tail...), nil
}

// reasonCancelled is the core's reason for a request that was cancelled before it ran.
const reasonCancelled = "cancelled"

var errNoTail = errors.New("the upstream's response has no final messages")
