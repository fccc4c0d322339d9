package core

import "skylarkhinge.dev/skylarkhinge/core/entity"

type recordState uint8

const (
	// recordOpen: a request with the id is open.
	recordOpen recordState = iota
	// recordDone: the request was committed.
	recordDone
	// recordUnknown: the request may have been committed.
	recordUnknown
	// recordNotRun: the id was seen before, and its request is proven not to have
	// run or was rolled back.
	recordNotRun
)

// record is the outcome of a request id at this owner, used to detect duplicates.
type record struct {
	key   entity.RequestKey
	state recordState
	// handle is the request that opened the record.
	handle entity.Handle
	// position is the log position that covers the write, set in recordDone.
	position  entity.Position
	expiresAt entity.Time
	// waiters are the duplicates that wait for the request.
	waiters []entity.Handle
}

// recordTable keeps the outcomes of request ids, for a limited time and up to a
// limit of records.
type recordTable struct {
	byKey map[entity.RequestKey]*record
	// queue has the records from head on in the order of their creation, which is
	// also the order of their expiry.
	queue []*record
	head  int
	limit int
	// incompleteUntil is the time until which outcomes may be missing because the
	// table was full.
	incompleteUntil entity.Time
	// free has removed records whose memory is reused.
	free []*record
}

func newRecordTable(limit int) recordTable {
	return recordTable{byKey: map[entity.RequestKey]*record{}, limit: limit}
}

func (t *recordTable) get(key entity.RequestKey) *record { return t.byKey[key] }

// open adds a record for a request id. A full table evicts its oldest record.
func (t *recordTable) open(key entity.RequestKey, handle entity.Handle, expires entity.Time) *record {
	if len(t.byKey) >= t.limit {
		t.evictOldest()
	}
	r := t.allocate()
	*r = record{key: key, handle: handle, expiresAt: expires, waiters: r.waiters[:0]}
	t.byKey[key] = r
	t.push(r)
	return r
}

func (t *recordTable) allocate() *record {
	if n := len(t.free); n > 0 {
		r := t.free[n-1]
		t.free = t.free[:n-1]
		return r
	}
	return &record{}
}

func (t *recordTable) push(r *record) {
	if t.head > 0 && len(t.queue) == cap(t.queue) {
		n := copy(t.queue, t.queue[t.head:])
		clear(t.queue[n:])
		t.queue = t.queue[:n]
		t.head = 0
	}
	t.queue = append(t.queue, r)
}

// unlink removes a record from the index, unless a newer one has replaced it there.
func (t *recordTable) unlink(r *record) {
	if t.byKey[r.key] == r {
		delete(t.byKey, r.key)
	}
}

func (t *recordTable) evictOldest() {
	r := t.queue[t.head]
	if r.state != recordNotRun {
		t.incompleteUntil = max(t.incompleteUntil, r.expiresAt)
	}
	t.removeOldest()
}

func (t *recordTable) removeOldest() {
	r := t.queue[t.head]
	t.queue[t.head] = nil
	t.head++
	if t.head == len(t.queue) {
		t.queue = t.queue[:0]
		t.head = 0
	}
	t.unlink(r)
	if r.state != recordOpen {
		t.free = append(t.free, r)
	}
}

func (t *recordTable) expire(now entity.Time) {
	for t.head < len(t.queue) && t.queue[t.head].expiresAt <= now {
		t.removeOldest()
	}
}
