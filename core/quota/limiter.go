package quota

import (
	"math"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

const (
	// maxPause is the interval between ticks beyond which the limiter counts as paused and
	// another one may have granted tokens in its place.
	maxPause = 500 * time.Millisecond
	// maxRefillPause is the interval between ticks beyond which the pause is not refilled.
	maxRefillPause = 150 * time.Millisecond
	// bucketRetention is the time after which an unused bucket is dropped. An organisation
	// that returns later starts with an empty bucket.
	bucketRetention = 10 * time.Minute
	// maxBuckets bounds the memory of a limiter to about 20 MB.
	maxBuckets = 1 << 17
	// sweepInterval is the interval at which unused buckets are dropped.
	sweepInterval = 30 * time.Second
	// maxRetryAfter bounds the time for which a holder is told to wait because others wait.
	maxRetryAfter = 200 * time.Millisecond
	// urgentReserve is the refill time that a bucket keeps for urgent operations, and
	// urgentPart the largest part of the capacity. Holders ask for others in larger numbers
	// and would leave no token.
	urgentReserve = 50 * time.Millisecond
	urgentPart    = 0.25
	// NoOtherLimiter is the value of elsewhere if no other limiter granted tokens lately.
	NoOtherLimiter = time.Duration(math.MaxInt64)
)

// bucket is the token bucket of one organisation.
type bucket struct {
	tokens   float64
	refilled entity.Time
	lastUse  entity.Time
	limits   Limits
	// unmet is the recent number of requests that were not served in full, as of unmetAt.
	unmet   float64
	unmetAt entity.Time
	role    role
}

// role is the reason why a proxy limits an organisation.
type role uint8

const (
	// roleFirst: it is the first candidate.
	roleFirst role = iota
	// roleStandIn: the candidates before it have failed.
	roleStandIn
	// roleNew: all candidates have just started, and it is the first.
	roleNew
)

// Limiter keeps the token buckets of the organisations that this proxy limits.
type Limiter struct {
	parameters Parameters
	buckets    map[organisation.Name]*bucket
	lastTick   entity.Time
	lastSweep  entity.Time
	// pausedAt is the end of the last pause that is not refilled.
	pausedAt entity.Time
	// resumedAt is the end of the last pause.
	resumedAt entity.Time
	// granted is the number of tokens granted to all organisations.
	granted uint64
}

// NewLimiter returns a Limiter without buckets.
func NewLimiter(parameters Parameters) *Limiter {
	return &Limiter{parameters: parameters, buckets: map[organisation.Name]*bucket{}}
}

// Tick must be called regularly, and before Grant. It empties all buckets after a pause of
// more than maxPause, and drops unused ones.
func (l *Limiter) Tick(at entity.Time) {
	pause := at.Sub(l.lastTick)
	if l.lastTick != 0 && pause > maxRefillPause {
		l.pausedAt = at
		l.resumedAt = at
		for _, b := range l.buckets {
			b.refilled = at
			if pause > maxPause {
				b.tokens = 0
			}
		}
	}
	l.lastTick = at
	if at.Sub(l.lastSweep) < sweepInterval {
		return
	}
	l.lastSweep = at
	for name, b := range l.buckets {
		if at.Sub(b.lastUse) > bucketRetention {
			delete(l.buckets, name)
		}
	}
}

// Forget drops the bucket of an organisation that this proxy no longer limits.
func (l *Limiter) Forget(name organisation.Name) { delete(l.buckets, name) }

// assume empties the bucket of an organisation if the role of this proxy has changed, or if
// it was last used before the candidates ahead of this proxy failed: another one may have
// granted tokens meanwhile. A new bucket was empty at emptyAt.
func (l *Limiter) assume(at entity.Time, name organisation.Name, limits Limits, r role, since, emptyAt entity.Time) {
	b, ok := l.buckets[name]
	if !ok {
		emptyAt = max(emptyAt, l.pausedAt, since)
		l.add(name, &bucket{refilled: min(at, emptyAt), lastUse: at, limits: limits, role: r})
		return
	}
	if b.role != r || b.lastUse < since {
		b.tokens, b.refilled, b.role = 0, at, r
	}
}

// add adds a bucket. If there are too many, it drops another one, which will start empty.
func (l *Limiter) add(name organisation.Name, b *bucket) {
	if len(l.buckets) >= maxBuckets {
		for other := range l.buckets {
			delete(l.buckets, other)
			break
		}
	}
	l.buckets[name] = b
}

// lastStandIn returns the last use of the bucket of an organisation as a stand-in.
func (l *Limiter) lastStandIn(name organisation.Name) (entity.Time, bool) {
	b, ok := l.buckets[name]
	if !ok || b.role != roleStandIn {
		return 0, false
	}
	return b.lastUse, true
}

// Grant takes up to want tokens, of which urgent are for urgent operations. elsewhere is the time since the last grant by another
// limiter, for which no earlier refill is counted. If fewer tokens are granted, retryAfter
// is the time after which to ask again.
func (l *Limiter) Grant(at entity.Time, name organisation.Name, limits Limits, want, urgent int, elsewhere time.Duration) (granted int, retryAfter time.Duration) {
	b, ok := l.buckets[name]
	if !ok {
		b = &bucket{refilled: at, limits: limits}
		l.add(name, b)
	}
	b.lastUse = at
	refill := l.parameters.Refill(limits)
	// The refill since the last grant is counted at the lower of the two limits, so that a
	// lowered limit takes effect at once.
	l.refill(b, at, min(refill, l.parameters.Refill(b.limits)), limits)
	b.limits = limits
	if elsewhere < l.parameters.Window {
		b.tokens = min(b.tokens, refill*max(0, elsewhere).Seconds())
	}
	reserve := min(refill*urgentReserve.Seconds(), l.parameters.Capacity(limits)*urgentPart)
	granted = max(0, min(want, max(min(urgent, int(b.tokens)), int(b.tokens-reserve))))
	b.tokens -= float64(granted)
	l.granted += uint64(granted)
	if granted >= want {
		return granted, 0
	}
	return granted, l.retryAfter(b, at, refill, want > urgent)
}

func (l *Limiter) refill(b *bucket, at entity.Time, rate float64, limits Limits) {
	gained := max(0, at.Sub(b.refilled)).Seconds() * rate
	b.tokens = min(b.tokens+gained, l.parameters.Capacity(limits))
	b.refilled = at
}

// retryAfter returns the time until a token is available. It grows with the number of
// requests that were not served in full during the last lease time, so that many holders
// do not ask for each single token. Requests for urgent operations alone do not count.
func (l *Limiter) retryAfter(b *bucket, at entity.Time, refill float64, counts bool) time.Duration {
	if refill <= 0 {
		return l.parameters.Window
	}
	decay := math.Exp(-at.Sub(b.unmetAt).Seconds() / l.parameters.Lease().Seconds())
	b.unmet *= decay
	if counts {
		b.unmet++
	}
	b.unmetAt = at
	next := max(0, 1-b.tokens) / refill
	crowd := min(b.unmet/2/refill, maxRetryAfter.Seconds())
	return max(time.Millisecond, min(time.Duration(max(next, crowd)*float64(time.Second)), l.parameters.Window))
}
