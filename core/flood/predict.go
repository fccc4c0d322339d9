package flood

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minRetryAfter and maxRetryAfter bound the delay given to refused callers.
	minRetryAfter = 20 * time.Millisecond
	maxRetryAfter = 10 * time.Second
	// minAvailableShare is the share of a lane assumed for a rank without a kept
	// share while other ranks use all slot time. It keeps predictions finite.
	minAvailableShare = 0.001
	// maxPredictedWait keeps predictions far below the maximum of time.Duration.
	maxPredictedWait = 1000 * time.Hour
)

// availableShare returns the fraction of the lane's slot time that is available to
// the rank: what more urgent ranks and the kept shares of less urgent ones leave, but
// no less than the rank's own kept share.
func (s *Scheduler) availableShare(now entity.Time, l *lane, rank int) float64 {
	free := 1.0
	for i := range l.ranks {
		used := l.ranks[i].admitted.perNano(now) / float64(l.slots)
		if i < rank {
			free -= used
		}
		if i > rank {
			free -= min(used, s.shares[i])
		}
	}
	return max(free, s.shares[rank], minAvailableShare)
}

// drainTime predicts how long it takes until the lane starts an item of the rank
// that has ownWork of its own rank ahead of it. Running items are assumed to be half
// done. A rank with a kept share waits at most until ownWork is served at that share.
func (s *Scheduler) drainTime(now entity.Time, l *lane, rank int, ownWork time.Duration) time.Duration {
	var wait time.Duration
	if l.running >= l.slots {
		wait = l.runningWork / time.Duration(2*l.slots)
	}
	if l.queued == 0 {
		return wait
	}
	urgentWork := time.Duration(0)
	for i := range rank {
		urgentWork += l.ranks[i].queuedWork()
	}
	slots := float64(l.slots)
	ahead := float64(urgentWork+ownWork) / (slots * s.availableShare(now, l, rank))
	if share := s.shares[rank]; share > 0 {
		ahead = min(ahead, float64(ownWork)/(slots*share))
	}
	return wait + time.Duration(min(ahead, float64(maxPredictedWait)))
}

// predictWait predicts how long a new item waits for a slot.
func (s *Scheduler) predictWait(now entity.Time, l *lane, n *node) time.Duration {
	r := &l.ranks[n.rank]
	ownWork := r.firstAttempts.workAhead(n.callerBucket)
	if n.item.Retry {
		ownWork = s.workAheadOfRetry(now, l, n)
	}
	return s.drainTime(now, l, int(n.rank), ownWork)
}

// workAheadOfRetry returns the work of the rank that is served before a new retry:
// the queued work and the first attempts that arrive in the meantime, limited by
// the share of slot time that firstAttemptsPerRetry leaves to retries.
func (s *Scheduler) workAheadOfRetry(now entity.Time, l *lane, n *node) time.Duration {
	r := &l.ranks[n.rank]
	retries := r.retries.workAhead(n.callerBucket)
	arrivalShare := r.firstAttemptsAdmitted.perNano(now) / float64(l.slots)
	spareShare := 1 - arrivalShare/s.availableShare(now, l, int(n.rank))
	retryShare := 1.0 / (firstAttemptsPerRetry + 1)
	if spareShare <= retryShare {
		return time.Duration(float64(retries+n.estimatedCost) / retryShare)
	}
	return min(time.Duration(float64(r.firstAttempts.work+retries)/spareShare), time.Duration(float64(retries+n.estimatedCost)/retryShare))
}

// retryAfter returns the delay after which a refused caller should retry: the
// predicted drain time of the rank's backlog plus random jitter of up to the same
// duration, which keeps callers from retrying at once.
func (s *Scheduler) retryAfter(now entity.Time, l *lane, rank int) time.Duration {
	drain := s.drainTime(now, l, rank, l.ranks[rank].queuedWork())
	drain = min(max(drain, minRetryAfter), maxRetryAfter/2)
	return drain + time.Duration(s.random.Int64N(int64(drain)))
}
