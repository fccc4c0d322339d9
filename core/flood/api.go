// Package flood schedules the requests of one database onto its slots. It
// refuses requests that cannot meet their deadline, divides slot time among
// ranks, serves the callers of one rank round-robin and limits retries to a
// fraction of the first attempts. An upstream has one slot for each statement
// that it runs at the same time.
package flood

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Lane is the kind of upstream on which an item may run.
type Lane uint8

const (
	// LanePrimary items run on the primary only.
	LanePrimary Lane = iota
	// LaneReplica items run on any eligible replica.
	LaneReplica
	// NumLanes is the number of lanes.
	NumLanes
)

// RankPolicy configures one rank, that is one priority level. Ranks are listed
// from the most to the least urgent.
type RankPolicy struct {
	Name string
	// Target is the latency target of the rank, including time in the queue.
	Target time.Duration
	// KeptShare is the fraction of slot time, 0 to 1, that is guaranteed to the
	// rank while it has queued items.
	KeptShare float64
}

// Policy is the scheduler's configuration.
type Policy struct {
	Ranks []RankPolicy
	// RetryRatio is the number of retries admitted per first attempt.
	RetryRatio float64
	// MaxQueued is the maximum number of queued items, summed over all ranks.
	MaxQueued int
}

// Item is a request to be scheduled.
type Item struct {
	Handle entity.Handle
	// Rank is the index into Policy.Ranks. Values out of range are clamped.
	Rank int
	// Caller identifies the caller for round-robin service within a rank.
	Caller uint64
	// SharedCaller is set if the caller may have many items queued at once, for example an
	// organisation. As long as at most numBuckets such callers have queued items, none of
	// them waits behind the queue of another one. Other callers share buckets at random.
	SharedCaller bool
	Lane         Lane
	Retry        bool
	Arrived      entity.Time
	Deadline     entity.Time
	// Cost is the expected slot time, 0 if unknown.
	Cost time.Duration
}

// Reason is the reason for refusing an item.
type Reason uint8

const (
	// ReasonNone means that the item was not refused.
	ReasonNone Reason = iota
	// ReasonDeadline means that the item cannot finish before its deadline.
	ReasonDeadline
	// ReasonQueueFull means that the queue has no room for the item's rank.
	ReasonQueueFull
	// ReasonRetryBudget means that the retry budget is exhausted.
	ReasonRetryBudget
	// ReasonOverload means that the rank has a standing queue and that the item
	// would miss the rank's latency target.
	ReasonOverload
)

var reasonNames = [...]string{"none", "deadline", "queue_full", "retry_budget", "overload"}

// String returns the reason as it appears in logs and metrics.
func (r Reason) String() string { return reasonNames[r] }

// Refusal reports an item that was refused and will not run.
type Refusal struct {
	Handle entity.Handle
	Reason Reason
	// RetryAfter is the delay after which the caller should retry.
	RetryAfter time.Duration
}

// Decision is the result of Offer. The item is queued if Reason is ReasonNone.
type Decision struct {
	Reason     Reason
	RetryAfter time.Duration
}
