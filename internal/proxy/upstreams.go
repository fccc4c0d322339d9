package proxy

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
)

// checkTimeout bounds the round trip that checks an idle connection, and the
// sending of a cancel request.
const checkTimeout = time.Second

// upstreamTable holds the connections to upstreams.
type upstreamTable struct {
	proxy *Proxy
	mu    sync.Mutex
	conns map[entity.ConnectionID]*upstreamConn
}

// upstreamConn is a connection to an upstream that runs one job at a time.
type upstreamConn struct {
	id       entity.ConnectionID
	upstream entity.Upstream
	mu       sync.Mutex
	cond     *sync.Cond
	conn     *pgwire.UpstreamConn
	closed   bool
	jobs     chan func(*pgwire.UpstreamConn)
	// busy is set while a batch runs; batchNumber counts the batches.
	// pendingCancels counts the cancel requests that the upstream has not confirmed.
	// cancelUncertain is set if one failed, so that it may still take effect later.
	busy            bool
	batchNumber     uint64
	pendingCancels  int
	cancelUncertain bool
}

func newUpstreamConn(id entity.ConnectionID, upstream entity.Upstream) *upstreamConn {
	c := &upstreamConn{id: id, upstream: upstream, jobs: make(chan func(*pgwire.UpstreamConn), 2)}
	c.cond = sync.NewCond(&c.mu)
	return c
}

func (c *upstreamConn) beginBatch() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = true
	c.batchNumber++
}

// endBatch waits for the pending cancel requests, since one that arrives later
// would cancel the next batch. It reports whether the connection can be used again.
func (c *upstreamConn) endBatch(err error) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.busy = false
	for err == nil && c.pendingCancels > 0 {
		c.cond.Wait()
	}
	return err == nil && !c.cancelUncertain
}

const (
	// maxCancelAttempts bounds how often a cancel request is sent to stop a batch.
	// It is repeated since one that the upstream handles before the statement
	// starts has no effect.
	maxCancelAttempts   = 5
	cancelRetryInterval = 50 * time.Millisecond
)

// cancel asks the upstream to cancel the running batch, if any. It does not block.
func (c *upstreamConn) cancel(log *logrus.Logger) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.busy {
		return
	}
	c.pendingCancels++
	go c.cancelBatch(c.batchNumber, log)
}

// cancelBatch sends cancel requests until the batch has ended, one failed, or
// maxCancelAttempts were sent.
func (c *upstreamConn) cancelBatch(batchNumber uint64, log *logrus.Logger) {
	for attempt := 1; ; attempt++ {
		err := c.sendCancel()
		if err != nil {
			log.WithFields(logrus.Fields{"event": "cancel_failed", "step": "cancel_upstream", "peer": c.upstream}).Warn(err)
		}
		c.mu.Lock()
		c.pendingCancels--
		c.cancelUncertain = c.cancelUncertain || err != nil
		c.cond.Broadcast()
		c.mu.Unlock()
		if err != nil || attempt == maxCancelAttempts {
			return
		}
		time.Sleep(cancelRetryInterval)
		c.mu.Lock()
		stillRunning := c.busy && c.batchNumber == batchNumber
		if stillRunning {
			c.pendingCancels++
		}
		c.mu.Unlock()
		if !stillRunning {
			return
		}
	}
}

func (c *upstreamConn) sendCancel() error {
	ctx, cancel := context.WithTimeout(context.Background(), checkTimeout)
	defer cancel()
	return c.conn.Cancel(ctx)
}

func newUpstreamTable(p *Proxy) *upstreamTable {
	return &upstreamTable{proxy: p, conns: map[entity.ConnectionID]*upstreamConn{}}
}

func (t *upstreamTable) get(id entity.ConnectionID) (*upstreamConn, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c, ok := t.conns[id]
	return c, ok
}

func (t *upstreamTable) open(o *core.OpenConnection) {
	c := newUpstreamConn(o.Connection, o.Upstream)
	t.mu.Lock()
	t.conns[c.id] = c
	t.mu.Unlock()
	go t.connect(c, o.Database)
}

// connect opens the connection, then runs its jobs until it is closed.
func (t *upstreamTable) connect(c *upstreamConn, database entity.Database) {
	p := t.proxy
	timeout := p.options.Settings.UpstreamConnectTimeout.Std()
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	target, ok := p.topology.upstreamEndpoint(database, c.upstream)
	err := errUnknownUpstream
	var conn *pgwire.UpstreamConn
	if ok {
		conn, err = pgwire.Dial(ctx, string(c.upstream), target.address, target.user, string(database))
	}
	if err != nil {
		t.remove(c.id)
		p.logFailure("upstream_connect_failed", "connect_upstream", string(c.upstream), err)
		p.postConnection(c.id, core.ConnectionFailed)
		return
	}
	c.mu.Lock()
	c.conn = conn
	closed := c.closed
	c.mu.Unlock()
	if closed {
		conn.Close()
		return
	}
	p.postConnection(c.id, core.ConnectionOpened)
	for job := range c.jobs {
		job(conn)
	}
}

var errUnknownUpstream = errors.New("the document in force does not name the upstream")

func (p *Proxy) postConnection(id entity.ConnectionID, state core.ConnectionState) {
	p.post(func(in *core.Inputs) {
		in.Connections = append(in.Connections, core.ConnectionEvent{Connection: id, State: state})
	})
}

func (t *upstreamTable) remove(id entity.ConnectionID) {
	t.mu.Lock()
	delete(t.conns, id)
	t.mu.Unlock()
}

// close closes a connection, so that its running batch fails. It also cancels the
// batch, since an upstream notices a closed connection only when it sends.
func (t *upstreamTable) close(id entity.ConnectionID) {
	c, ok := t.get(id)
	if !ok {
		return
	}
	t.remove(id)
	c.cancel(t.proxy.log)
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	close(c.jobs)
	if c.conn != nil {
		c.conn.Close()
	}
}

// submit queues a job on a connection. It reports false if the connection is
// closed.
func (t *upstreamTable) submit(id entity.ConnectionID, job func(*pgwire.UpstreamConn)) bool {
	c, ok := t.get(id)
	if !ok {
		return false
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.jobs <- job
	return true
}

// check makes a round trip on an idle connection and closes it on a failure. The
// result is posted to the core.
func (t *upstreamTable) check(id entity.ConnectionID) {
	t.submit(id, func(conn *pgwire.UpstreamConn) {
		if err := conn.Ping(checkTimeout); err != nil {
			t.close(id)
			t.proxy.postConnection(id, core.ConnectionClosed)
			return
		}
		t.proxy.postConnection(id, core.ConnectionChecked)
	})
}

func (t *upstreamTable) cancel(id entity.ConnectionID) {
	if c, ok := t.get(id); ok {
		c.cancel(t.proxy.log)
	}
}

// dispatch queues a request's batch on a connection. If that is not possible, it
// posts the completion CompletionNotSent.
func (t *upstreamTable) dispatch(d *core.Dispatch) {
	dispatch := *d
	r, ok := t.proxy.inflight.get(d.Handle)
	if !ok {
		t.postCompletion(&dispatch, core.Completion{Kind: core.CompletionNotSent})
		return
	}
	observation := t.proxy.observer.recordDispatch(r, &dispatch)
	c, _ := t.get(d.Connection)
	if !t.submit(d.Connection, func(conn *pgwire.UpstreamConn) { t.runBatch(c, conn, r, &dispatch, observation) }) {
		t.postCompletion(&dispatch, core.Completion{Kind: core.CompletionNotSent})
	}
}

func (t *upstreamTable) postCompletion(d *core.Dispatch, c core.Completion) {
	c.Handle, c.Connection = d.Handle, d.Connection
	t.proxy.post(func(in *core.Inputs) { in.Completions = append(in.Completions, c) })
}

// runBatch executes a request's batch on the connection and posts the completion.
func (t *upstreamTable) runBatch(c *upstreamConn, conn *pgwire.UpstreamConn, r *inflightRequest, d *core.Dispatch, observation dispatchObservation) {
	run := &pgwire.Run{
		Batch:     r.batch(),
		ReadOnly:  d.ReadOnly,
		Hold:      d.Hold,
		Continued: d.Continued,
	}
	if d.Ledger {
		run.LedgerID = r.request.GetRequestId()
	}
	c.beginBatch()
	started := observation.batchStarted()
	out := conn.Run(run, func(data []byte) error {
		if r.markStreamed() {
			t.proxy.post(func(in *core.Inputs) { in.Streaming = append(in.Streaming, d.Handle) })
		}
		return r.origin.sendChunk(r, data)
	})
	observation.batchEnded(started, out.Kind)
	r.setTail(out.Tail)
	if out.Err != nil {
		t.close(d.Connection)
	}
	usable := c.endBatch(out.Err)
	t.postCompletion(d, core.Completion{
		Kind:          completionKinds[out.Kind],
		InTransaction: out.Status == 'T' || out.Status == 'E',
		Streamed:      r.wasStreamed(),
		Wrote:         out.Wrote,
		Failed:        out.Failed,
	})
	if !usable && out.Err == nil {
		t.close(d.Connection)
		t.proxy.postConnection(d.Connection, core.ConnectionClosed)
	}
}

var completionKinds = [...]core.CompletionKind{
	pgwire.RunAnswered:  core.CompletionAnswered,
	pgwire.RunRejected:  core.CompletionRejected,
	pgwire.RunNotSent:   core.CompletionNotSent,
	pgwire.RunBroken:    core.CompletionBroken,
	pgwire.RunDuplicate: core.CompletionDuplicate,
}
