package fleet

import (
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/vtime"
)

// clock runs events in the order of their instants.
type clock struct {
	now   entity.Time
	queue vtime.Queue[func()]
}

func (c *clock) at(t entity.Time, run func()) {
	c.queue.Push(max(t, c.now), run)
}

// runUntil runs the events up to an instant.
func (c *clock) runUntil(end entity.Time) {
	for c.queue.NextTime() <= end {
		at, run := c.queue.Pop()
		c.now = at
		run()
	}
	c.now = end
}
