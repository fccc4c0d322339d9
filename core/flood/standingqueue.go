package flood

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// standingQueueTargetShare is the fraction of the latency target up to which a
// standing queue is filled. At the full target, about half of the items would
// just miss it.
const standingQueueTargetShare = 0.75

// minTargetToCostRatio is the smallest effective target in units of an item's cost.
// A queue shorter than a few items cannot keep the slots busy.
const minTargetToCostRatio = 4

// standingQueueDetector detects a queue whose drain time stays above the rank's
// target. A burst drains by itself; a standing queue adds its drain time to the
// latency of every request without increasing throughput.
type standingQueueDetector struct {
	since entity.Time
	above bool
}

// observe takes the predicted drain time and reports whether the queue is
// standing: the drain time rose above the target at least one target duration
// before now and has not fallen below half of it since.
func (s *standingQueueDetector) observe(now entity.Time, drain, target time.Duration) bool {
	if drain < target/2 {
		s.above = false
		return false
	}
	if drain > target && !s.above {
		s.above = true
		s.since = now
	}
	return s.above && now.Sub(s.since) >= target
}
