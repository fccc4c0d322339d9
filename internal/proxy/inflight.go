package proxy

import (
	"sync"
	"time"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
)

// origin is where a request came from and its response goes: a caller connection
// or the stream of a peer.
type origin interface {
	// sendChunk sends a part of the response. It may block until the receiver has
	// room, and does not keep the slice.
	sendChunk(r *inflightRequest, data []byte) error
	// sendOutcome sends the outcome of the request. It does not block.
	sendOutcome(r *inflightRequest, o outcome)
}

// outcome is the final result of a request.
type outcome struct {
	result core.Result
	// tail is the part of the upstream's response that was held back until the
	// result was known. It ends with ReadyForQuery.
	tail []byte
	// decidedAt is the time of the tick that produced the result.
	decidedAt entity.Time
}

// maxAcknowledgementAge is how long after its tick an acknowledgement of a write
// may still be sent. If the process was paused for longer, the primary may have
// been replaced since. No promotion completes within this time.
const maxAcknowledgementAge = 100 * time.Millisecond

// expireAcknowledgement turns the acknowledgement of a write into an unknown
// result if it is older than maxAcknowledgementAge. It reports whether it did so.
func (o *outcome) expireAcknowledgement(now entity.Time) bool {
	if !o.result.AcknowledgesWrite() || now.Sub(o.decidedAt) <= maxAcknowledgementAge {
		return false
	}
	o.result = core.Result{Handle: o.result.Handle, Kind: core.ResultUnknown, Reason: "stale_acknowledgement"}
	o.tail = nil
	return true
}

// transactionStatus returns the caller's transaction status after the response: I, T
// or E.
func (o *outcome) transactionStatus() byte {
	if !o.result.InTransaction {
		return 'I'
	}
	// The tail ends with ReadyForQuery, whose last byte is the transaction status.
	return o.tail[len(o.tail)-1]
}

// inflightRequest is an open request with the data that the core does not hold.
type inflightRequest struct {
	handle    entity.Handle
	request   *peerpb.Request
	arrivedAt time.Time
	origin    origin
	// remoteHandle is the handle of a forwarded request at the forwarding proxy.
	remoteHandle uint64

	// mu protects tail and streamed.
	mu       sync.Mutex
	tail     []byte
	streamed bool
	class    requestClass
	// credit is used at the owner of a forwarded request, chunkQueue at the
	// forwarding proxy.
	credit     credit
	chunkQueue chunkQueue
}

func (r *inflightRequest) setTail(tail []byte) {
	r.mu.Lock()
	r.tail = tail
	r.mu.Unlock()
}

func (r *inflightRequest) getTail() []byte {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.tail
}

// markStreamed records that a part of the response was sent before the outcome.
// It reports whether this is the first part.
func (r *inflightRequest) markStreamed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	first := !r.streamed
	r.streamed = true
	return first
}

func (r *inflightRequest) wasStreamed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.streamed
}

// batch returns the request's batch for an upstream connection.
func (r *inflightRequest) batch() *pgwire.Batch {
	b := &pgwire.Batch{Messages: r.request.GetBatch()}
	for _, s := range r.request.GetStatements() {
		b.Statements = append(b.Statements, pgwire.Statement{Name: s.GetName(), Query: s.GetQuery(), ParameterOIDs: s.GetParameterOids()})
	}
	return b
}

// inflightTable holds the open requests of this proxy by handle.
type inflightTable struct {
	mu       sync.Mutex
	byHandle map[entity.Handle]*inflightRequest
}

func (t *inflightTable) add(r *inflightRequest) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.byHandle == nil {
		t.byHandle = map[entity.Handle]*inflightRequest{}
	}
	t.byHandle[r.handle] = r
}

func (t *inflightTable) len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.byHandle)
}

func (t *inflightTable) get(h entity.Handle) (*inflightRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byHandle[h]
	return r, ok
}

func (t *inflightTable) remove(h entity.Handle) (*inflightRequest, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	r, ok := t.byHandle[h]
	delete(t.byHandle, h)
	return r, ok
}

const (
	// maxCachedResponses bounds the responses that are kept for retries with the
	// same request id.
	maxCachedResponses = 10_000
	// maxCachedResponseBytes is the size of the largest response kept. A retry of a
	// request with a larger one learns only that the request was executed.
	maxCachedResponseBytes = 4 << 10
)

// responseCache keeps the responses of the last requests that have an id. When it
// is full, the oldest response is evicted.
type responseCache struct {
	mu        sync.Mutex
	responses map[entity.Handle][]byte
	// order is a ring of the handles in the order of insertion; oldest is the index
	// of the next one to evict.
	order  []entity.Handle
	oldest int
}

func (t *responseCache) put(h entity.Handle, tail []byte) {
	if len(tail) > maxCachedResponseBytes {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.responses == nil {
		t.responses = map[entity.Handle][]byte{}
	}
	if len(t.order) < maxCachedResponses {
		t.order = append(t.order, h)
	} else {
		delete(t.responses, t.order[t.oldest])
		t.order[t.oldest] = h
		t.oldest = (t.oldest + 1) % maxCachedResponses
	}
	t.responses[h] = tail
}

func (t *responseCache) get(h entity.Handle) ([]byte, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	tail, ok := t.responses[h]
	return tail, ok
}

// initialCredit is how many bytes of a response an owner sends before the
// forwarding proxy has written any of them to the caller.
const initialCredit = 1 << 20

// credit is the flow control of one forwarded request: the owner sends only as
// many bytes as the caller has made room for, so that a slow caller does not hold
// up the other requests on the stream.
type credit struct {
	mu   sync.Mutex
	cond *sync.Cond
	// used and limit are totals in bytes.
	used   int
	limit  int
	closed bool
}

func (c *credit) init() {
	c.cond = sync.NewCond(&c.mu)
	c.limit = initialCredit
}

// acquire waits until there is credit left, then uses n bytes; the last use may
// exceed the limit. It reports false if the request has ended.
func (c *credit) acquire(n int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	for c.used >= c.limit && !c.closed {
		c.cond.Wait()
	}
	c.used += n
	return !c.closed
}

// add raises the limit by n bytes.
func (c *credit) add(n int) {
	c.mu.Lock()
	c.limit += n
	c.mu.Unlock()
	c.cond.Broadcast()
}

func (c *credit) close() {
	c.mu.Lock()
	c.closed = true
	c.mu.Unlock()
	c.cond.Broadcast()
}

// chunkQueue delivers the chunks of a forwarded request's response to its origin
// in order. Its goroutine runs only while there are chunks.
type chunkQueue struct {
	mu      sync.Mutex
	deliver func([]byte)
	queue   [][]byte
	// onEnd is called once the queue is empty.
	onEnd   func()
	running bool
}

func (q *chunkQueue) enqueue(data []byte) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.queue = append(q.queue, data)
	if !q.running {
		q.running = true
		go q.run()
	}
}

// finish calls onEnd after all chunks are delivered.
func (q *chunkQueue) finish(onEnd func()) {
	q.mu.Lock()
	if q.running {
		q.onEnd = onEnd
		q.mu.Unlock()
		return
	}
	q.mu.Unlock()
	onEnd()
}

func (q *chunkQueue) run() {
	for {
		data, onEnd, ok := q.next()
		if !ok {
			if onEnd != nil {
				onEnd()
			}
			return
		}
		q.deliver(data)
	}
}

// next returns the next chunk. If there is none, it reports false and returns the
// function that finish stored, if any.
func (q *chunkQueue) next() ([]byte, func(), bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.queue) > 0 {
		data := q.queue[0]
		q.queue = q.queue[1:]
		return data, nil, true
	}
	q.running = false
	onEnd := q.onEnd
	q.onEnd = nil
	return nil, onEnd, false
}
