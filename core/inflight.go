package core

import "time"

const (
	// inFlightTuneInterval is the time between updates of upstream.maxInFlight.
	inFlightTuneInterval = 100 * time.Millisecond
	// minServiceTime bounds maxInFlight for very short batches.
	minServiceTime = 500 * time.Microsecond
	// serviceTimeWeight is the divisor of the moving average of service times.
	serviceTimeWeight = 16
)

// observeServiceTime updates the moving average of the time that batches spend at
// the upstream: the time to completion less the network round trip. It grows
// when batches wait at the upstream for a slot.
func (n *Node) observeServiceTime(c *connection, took time.Duration) {
	u := &c.db.upstreams[c.upstream]
	sample := max(took-c.db.group.RoundTrip(u.name), minServiceTime)
	if u.serviceTime == 0 {
		u.serviceTime = sample
		return
	}
	u.serviceTime += (sample - u.serviceTime) / serviceTimeWeight
}

// tuneInFlight sets how many batches may be in flight at each upstream. With one
// for each slot, a slot is idle while its batch or response is on the network: at
// a round trip of 24 ms and 5 ms of work, five slots would do the work of one.
func (n *Node) tuneInFlight(db *database) {
	if n.now < db.nextInFlightTune {
		return
	}
	db.nextInFlightTune = n.now.Add(inFlightTuneInterval)
	changed := false
	for i := range db.upstreams {
		u := &db.upstreams[i]
		limit := u.slots
		if u.serviceTime > 0 {
			networkRatio := float64(db.group.RoundTrip(u.name)) / float64(u.serviceTime)
			limit = u.slots + int(float64(u.slots)*networkRatio+0.5)
		}
		limit = max(1, min(limit, u.maxConnections))
		changed = changed || limit != u.maxInFlight
		u.maxInFlight = limit
	}
	if changed {
		n.setSlots(db)
	}
}
