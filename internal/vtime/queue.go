// Package vtime has the event queue of the models that run on virtual time.
package vtime

import "skylarkhinge.dev/skylarkhinge/core/entity"

type item[E any] struct {
	at entity.Time
	// order breaks ties, so that a run depends on its seed alone.
	order uint64
	event E
}

func (i *item[E]) before(j *item[E]) bool {
	if i.at != j.at {
		return i.at < j.at
	}
	return i.order < j.order
}

// Queue is a heap of events by instant; events of one instant leave in the
// order in which they came. The zero value is empty.
type Queue[E any] struct {
	items []item[E]
	order uint64
}

// Len returns the number of events.
func (q *Queue[E]) Len() int { return len(q.items) }

// NextTime returns the instant of the first event, entity.Never if there is none.
func (q *Queue[E]) NextTime() entity.Time {
	if len(q.items) == 0 {
		return entity.Never
	}
	return q.items[0].at
}

// Push adds an event.
func (q *Queue[E]) Push(at entity.Time, event E) {
	q.order++
	q.items = append(q.items, item[E]{at, q.order, event})
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

// Pop removes and returns the first event. The queue must not be empty.
func (q *Queue[E]) Pop() (entity.Time, E) {
	first := q.items[0]
	last := len(q.items) - 1
	q.items[0] = q.items[last]
	q.items[last] = item[E]{}
	q.items = q.items[:last]
	q.sink()
	return first.at, first.event
}

func (q *Queue[E]) sink() {
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
