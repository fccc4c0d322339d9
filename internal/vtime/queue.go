// Package vtime provides the event queue of simulations that run on virtual time.
package vtime

import "skylarkhinge.dev/skylarkhinge/core/entity"

type item[E any] struct {
	at entity.Time
	// seq breaks ties by insertion order, so that a simulation depends only on its
	// seed.
	seq   uint64
	event E
}

func (i *item[E]) before(j *item[E]) bool {
	if i.at != j.at {
		return i.at < j.at
	}
	return i.seq < j.seq
}

// Queue is a min-heap of events ordered by time. Events of the same time leave in
// the order in which they were pushed. The zero value is empty.
type Queue[E any] struct {
	items   []item[E]
	lastSeq uint64
}

// Len returns the number of events.
func (q *Queue[E]) Len() int { return len(q.items) }

// NextTime returns the time of the first event, entity.Never if there is none.
func (q *Queue[E]) NextTime() entity.Time {
	if len(q.items) == 0 {
		return entity.Never
	}
	return q.items[0].at
}

// Push adds an event.
func (q *Queue[E]) Push(at entity.Time, event E) {
	q.lastSeq++
	q.items = append(q.items, item[E]{at, q.lastSeq, event})
	i := len(q.items) - 1
	for i > 0 {
		parent := (i - 1) / 2
		if q.items[parent].before(&q.items[i]) {
			return
		}
		q.items[i], q.items[parent] = q.items[parent], q.items[i]
		i = parent
	}
}

// Pop removes and returns the first event with its time. The queue must not be
// empty.
func (q *Queue[E]) Pop() (entity.Time, E) {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item[E]{}
	q.items = q.items[:last]
	q.siftDown()
	return first.at, first.event
}

func (q *Queue[E]) siftDown() {
	i := 0
	for {
		child := 2*i + 1
		if child >= len(q.items) {
			return
		}
		if child+1 < len(q.items) && q.items[child+1].before(&q.items[child]) {
			child++
		}
		if q.items[i].before(&q.items[child]) {
			return
		}
		q.items[i], q.items[child] = q.items[child], q.items[i]
		i = child
	}
}
