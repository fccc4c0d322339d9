package floodsim

import (
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// eventKind is what happens at an event.
type eventKind uint8

const (
	// eventOrder sends the first attempt of the order at index.
	eventOrder eventKind = iota
	// eventDuplicate sends a duplicate of the order at index.
	eventDuplicate
	// eventRetry sends the next attempt after the one at index.
	eventRetry
	// eventTimeout ends the caller's wait for the attempt at index.
	eventTimeout
	// eventDone ends the execution of the attempt at index.
	eventDone
	// eventExpiry collects expired items from the scheduler.
	eventExpiry
)

// event is one event of the simulation; item is set for eventDone.
type event struct {
	at    entity.Time
	kind  eventKind
	index int
	item  flood.Item
}
