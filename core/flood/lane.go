package flood

import "time"

const (
	// firstAttemptsPerRetry is the number of first attempts served per retry
	// while both are queued. It prevents starvation of retries and leaves 98% of
	// the items served to first attempts. At 95% (19 per retry), the first
	// attempts of a rank near its kept share queued up to their deadlines.
	firstAttemptsPerRetry = 49
	// maxDeficitPerSlot bounds the deficit in both directions, per slot of the
	// lane. Without it, one very long statement would block its rank for minutes.
	maxDeficitPerSlot = time.Second
)

// laneRank is the state of one rank in one lane.
type laneRank struct {
	firstAttempts, retries roundRobinQueue
	// deficit is the slot time by which the rank is behind its kept share, as in
	// deficit round-robin; negative if it has used more than its share.
	deficit time.Duration
	cost    costEstimator
	// admitted is the rate of estimated slot time admitted,
	// firstAttemptsAdmitted the part of it due to first attempts.
	admitted, firstAttemptsAdmitted rateMeter
	// firstAttemptsSinceRetry counts the first attempts served since the last retry
	// while retries were queued.
	firstAttemptsSinceRetry int
	// running is the number of the rank's items that occupy slots of the lane.
	running int
	// standingQueue watches the queue of first attempts.
	standingQueue standingQueueDetector
}

// lane is the state of the slots of one kind. Deficits are per lane, so that slot
// time used on idle replicas does not reduce a rank's share on the primary.
type lane struct {
	// slots is the last nonzero slot count. While a lane has no slots,
	// predictions assume that they will return.
	slots   int
	ranks   []laneRank
	queued  int
	running int
	// runningWork is the sum of the estimated costs of the running items.
	runningWork time.Duration
}

func (r *laneRank) queue(retry bool) *roundRobinQueue {
	if retry {
		return &r.retries
	}
	return &r.firstAttempts
}

func (r *laneRank) queued() int { return r.firstAttempts.length + r.retries.length }

func (r *laneRank) queuedWork() time.Duration { return r.firstAttempts.work + r.retries.work }

// nextQueue returns the queue to serve next. The rank must have queued items.
func (r *laneRank) nextQueue() *roundRobinQueue {
	if r.retries.length == 0 {
		return &r.firstAttempts
	}
	if r.firstAttempts.length == 0 || r.firstAttemptsSinceRetry >= firstAttemptsPerRetry {
		r.firstAttemptsSinceRetry = 0
		return &r.retries
	}
	r.firstAttemptsSinceRetry++
	return &r.firstAttempts
}

// chooseRank returns the rank to serve next and whether to charge the slot time to
// its kept share. Ranks that have not exceeded their kept share come first, in rank
// order. The remaining slot time goes, uncharged, to the most urgent rank with queued
// items.
func (l *lane) chooseRank(shares []float64) (rank int, charged, ok bool) {
	mostUrgent := -1
	for i := range l.ranks {
		r := &l.ranks[i]
		if r.queued() == 0 {
			continue
		}
		if shares[i] > 0 && r.deficit >= 0 {
			return i, true, true
		}
		if mostUrgent < 0 {
			mostUrgent = i
		}
	}
	return mostUrgent, false, mostUrgent >= 0
}

// creditShares credits each rank with its kept share of the used slot time. A rank
// without queued items can only reduce a negative deficit, not accumulate credit.
func (l *lane) creditShares(shares []float64, used time.Duration) {
	limit := maxDeficitPerSlot * time.Duration(l.slots)
	for i := range l.ranks {
		r := &l.ranks[i]
		r.deficit += time.Duration(float64(used) * shares[i])
		ceiling := limit
		if r.queued() == 0 {
			ceiling = 0
		}
		r.deficit = min(max(r.deficit, -limit), ceiling)
	}
}
