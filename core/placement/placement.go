// Package placement chooses the upstream that serves a read. It answers the
// load of many small reads that several members could serve: each read that
// stays in its availability zone saves two crossings of a region, and each read
// that leaves a crowded member saves its wait.
package placement

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Distance of a member from the proxy.
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
	// Running counts this proxy's statements at the member, Slots is how many
	// statements the member runs at once, for all proxies together.
	Running, Slots int
	// Primary members also carry all writes.
	Primary bool
	// Latency is the recent time of a statement at the member.
	Latency time.Duration
	// Connected is set if a connection is idle.
	Connected bool
}

const (
	// crossingCost is what a read in another region is charged in expected time.
	// It is above the round trip of 24 ms since such bytes are paid for.
	crossingCost = 60 * time.Millisecond
	// zoneCost is the same for another availability zone of the region.
	zoneCost = 10 * time.Millisecond
	// primaryCost keeps slots of the primary for writes.
	primaryCost = 15 * time.Millisecond
	// connectCost is the time that a new connection takes.
	connectCost = 20 * time.Millisecond
	// waitPart is the part of the recent latency that each of this proxy's own
	// running statements adds to the wait.
	waitPart = 0.5
)

// Cost is the expected time of a read at the candidate, with what its bytes and
// the primary's slots are worth.
func Cost(c Candidate) time.Duration {
	cost := c.Latency + time.Duration(waitPart*float64(c.Running)*float64(c.Latency))
	switch c.Distance {
	case SameZone:
	case SameRegion:
		cost += zoneCost
	default:
		cost += crossingCost
	}
	if c.Primary {
		cost += primaryCost
	}
	if !c.Connected {
		cost += connectCost
	}
	return cost
}

// Better reports whether a is to be preferred to b. The order is total, so that
// it does not depend on the order of a map.
func Better(a, b Candidate) bool {
	costA, costB := Cost(a), Cost(b)
	if costA != costB {
		return costA < costB
	}
	return a.Name < b.Name
}
