// Package placement chooses the upstream that serves a read. It is meant for many
// small reads that any of several members could serve. A read at a near member saves a
// round trip between availability zones or regions; a read that avoids a busy member
// saves time in its queue.
package placement

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Distances of a member from the proxy.
const (
	SameZone = iota
	SameRegion
	OtherRegion
)

// Candidate is a member that could serve a read.
type Candidate struct {
	Name entity.Upstream
	// Distance is SameZone, SameRegion or OtherRegion.
	Distance int
	// Running is the number of statements that this proxy runs at the member, Slots
	// the number that the member runs at once for all proxies.
	Running, Slots int
	// Primary is set for the primary, which also executes all writes.
	Primary bool
	// Latency is the recent latency of statements at the member.
	Latency time.Duration
	// Connected is set if an idle connection to the member is open.
	Connected bool
}

const (
	// otherRegionCost is added for a member in another region. It exceeds the round
	// trip time of 24 ms because traffic between regions is billed.
	otherRegionCost = 60 * time.Millisecond
	// otherZoneCost is added for a member in another availability zone of the region.
	otherZoneCost = 10 * time.Millisecond
	// primaryCost is added for the primary, to keep its slots for writes.
	primaryCost = 15 * time.Millisecond
	// connectCost is the time to open a connection.
	connectCost = 20 * time.Millisecond
	// waitFactor is the fraction of the recent latency that each statement already
	// running from this proxy adds to the expected wait.
	waitFactor = 0.5
)

// Cost returns the expected latency of a read at the candidate, plus surcharges for
// network traffic and for slots of the primary.
func Cost(c Candidate) time.Duration {
	cost := c.Latency + time.Duration(waitFactor*float64(c.Running)*float64(c.Latency))
	switch c.Distance {
	case SameZone:
	case SameRegion:
		cost += otherZoneCost
	default:
		cost += otherRegionCost
	}
	if c.Primary {
		cost += primaryCost
	}
	if !c.Connected {
		cost += connectCost
	}
	return cost
}

// Better reports whether a is preferable to b. The order is total, so the choice
// does not depend on map iteration order.
func Better(a, b Candidate) bool {
	costA, costB := Cost(a), Cost(b)
	if costA != costB {
		return costA < costB
	}
	return a.Name < b.Name
}
