package fleet

import (
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/vtime"
)

// eventLoop runs events in time order and keeps the virtual time.
type eventLoop struct {
	now   entity.Time
	queue vtime.Queue[func()]
}

// runAt schedules run for t, or for now if t has passed.
func (l *eventLoop) runAt(t entity.Time, run func()) {
	l.queue.Push(max(t, l.now), run)
}

// runUntil runs the events up to end and advances the virtual time to it.
func (l *eventLoop) runUntil(end entity.Time) {
	for l.queue.NextTime() <= end {
		at, run := l.queue.Pop()
		l.now = at
		run()
	}
	l.now = end
}
