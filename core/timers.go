package core

import "skylarkhinge.dev/skylarkhinge/core/entity"

// requestTimer is the time of a request's deadline or stall check.
type requestTimer struct {
	at     entity.Time
	handle entity.Handle
	// stalledDispatch is the time of the dispatch to check for a stall; 0 if the
	// timer is for the request's deadline.
	stalledDispatch entity.Time
}

// requestTimerHeap is a binary min-heap of timers by time. Timers of ended requests
// stay in it until they are due.
type requestTimerHeap []requestTimer

func (h *requestTimerHeap) push(t requestTimer) {
	*h = append(*h, t)
	s := *h
	i := len(s) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if s[parent].at <= s[i].at {
			return
		}
		s[parent], s[i] = s[i], s[parent]
		i = parent
	}
}

func (h *requestTimerHeap) pop() requestTimer {
	s := *h
	top := s[0]
	last := len(s) - 1
	s[0] = s[last]
	s = s[:last]
	*h = s
	i := 0
	for {
		child := 2*i + 1
		if child >= last {
			return top
		}
		if child+1 < last && s[child+1].at < s[child].at {
			child++
		}
		if s[i].at <= s[child].at {
			return top
		}
		s[i], s[child] = s[child], s[i]
		i = child
	}
}

// handleQueue is a FIFO queue of handles that reuses its memory.
type handleQueue struct {
	items []entity.Handle
	head  int
}

func (q *handleQueue) len() int { return len(q.items) - q.head }

func (q *handleQueue) push(h entity.Handle) {
	if q.head > 0 && len(q.items) == cap(q.items) {
		n := copy(q.items, q.items[q.head:])
		q.items = q.items[:n]
		q.head = 0
	}
	q.items = append(q.items, h)
}

func (q *handleQueue) front() entity.Handle { return q.items[q.head] }

func (q *handleQueue) pop() entity.Handle {
	h := q.items[q.head]
	q.head++
	if q.head == len(q.items) {
		q.items = q.items[:0]
		q.head = 0
	}
	return h
}

// databaseTimerHeap is a binary min-heap of databases by nextTick. Each database
// holds its index in the heap, so that it can be moved and removed.
type databaseTimerHeap []*database

func (h databaseTimerHeap) swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].timerIndex = i
	h[j].timerIndex = j
}

func (h databaseTimerHeap) up(i int) {
	for i > 0 {
		parent := (i - 1) / 2
		if h[parent].nextTick <= h[i].nextTick {
			return
		}
		h.swap(parent, i)
		i = parent
	}
}

func (h databaseTimerHeap) down(i int) {
	for {
		child := 2*i + 1
		if child >= len(h) {
			return
		}
		if child+1 < len(h) && h[child+1].nextTick < h[child].nextTick {
			child++
		}
		if h[i].nextTick <= h[child].nextTick {
			return
		}
		h.swap(i, child)
		i = child
	}
}

// set adds the database to the heap or changes the time of its next tick.
func (h *databaseTimerHeap) set(db *database, at entity.Time) {
	if db.timerIndex < 0 {
		db.timerIndex = len(*h)
		db.nextTick = at
		*h = append(*h, db)
		h.up(db.timerIndex)
		return
	}
	db.nextTick = at
	h.up(db.timerIndex)
	h.down(db.timerIndex)
}

// remove takes the database out of the heap if it is in it.
func (h *databaseTimerHeap) remove(db *database) {
	i := db.timerIndex
	if i < 0 {
		return
	}
	last := len(*h) - 1
	h.swap(i, last)
	*h = (*h)[:last]
	db.timerIndex = -1
	if i < last {
		h.up(i)
		h.down(i)
	}
}
