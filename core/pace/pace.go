// Package pace limits the statements in flight of one proxy at one upstream while the
// upstream starts or recovers. It is meant for the load of a database group whose callers
// all return at once to a server with a cold cache: up to 15 proxies send to 5 slots and
// do not talk to each other about it. Each finds its limit from the answers it gets.
//
// The usual bound, which the caller passes, is the limit that applies otherwise. It keeps
// two statements per slot in flight, so half of it occupies the slots without a queue.
package pace

import (
	"math"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// MaxDuration is the time after which a limit ends in any case. It is twice the 5 s in
	// which a cold cache warms up.
	MaxDuration = 10 * time.Second
	// startFraction is the part of the usual bound at which a limit starts.
	startFraction = 0.25
	// slowFactor is the multiple of the baseline up to which the latency is near it. The
	// usual bound of two statements per slot doubles the latency of a healthy upstream.
	slowFactor = 2
	// jitter is the latency above the baseline that is never considered slow. Without it,
	// the scheduling of goroutines would decide at baselines of 1 ms.
	jitter = 5 * time.Millisecond
	// growth is the factor of an increase while the latency is near the baseline. It takes
	// four rounds from a quarter of the usual bound to all of it. An increase is at least 1.
	growth = 1.5
	// steadyFactor is the multiple of the lowest latency of this recovery up to which a slow
	// upstream is slow for another reason than the number of statements in flight. With 1.25,
	// the variation of the mean of three service times led to decreases.
	steadyFactor = 1.5
	// occupyFraction is the part of the usual bound that occupies the slots without a queue.
	occupyFraction = 0.5
	// slowDecrease and failureDecrease are the factors of a decrease.
	slowDecrease    = 0.7
	failureDecrease = 0.5
	// minLastAnswers is the minimum number of answers in the round after which a limit ends.
	// With one answer, many gateways before a single slot took the first answers of its queue
	// for a fast upstream. In the rounds before, it would leave a fast upstream idle.
	minLastAnswers = 4
	// minLimit is the lowest limit, because only answers show the state of the upstream.
	minLimit = 1
)

// Limit is the limit at one upstream. The zero value is not valid; see Begin.
type Limit struct {
	beganAt, endsAt entity.Time
	// baseline is the latency of a healthy upstream, 0 if unknown.
	baseline time.Duration
	limit    float64
	// least is the limit at the beginning.
	least   float64
	largest int
	ended   bool
	// suspended is set while the upstream has failed and has not answered since.
	suspended bool

	// roundBeganAt is when the current round began. A round consists of the answers to
	// statements that were sent after it, so that its latency is that of the current limit.
	roundBeganAt entity.Time
	answers      int
	total        time.Duration
	// inUse is set if the statements in flight came near the limit in this round.
	inUse bool
	// lowest is the lowest mean latency of a round since the last decrease, 0 before the
	// first one.
	lowest time.Duration
}

// Begin starts a limit. The baseline is the latency of a healthy upstream, 0 if it is not
// known; usual is the usual bound.
func Begin(at entity.Time, baseline time.Duration, usual int) Limit {
	l := Limit{beganAt: at, endsAt: at.Add(MaxDuration), roundBeganAt: at, baseline: baseline}
	l.limit = max(minLimit, math.Ceil(startFraction*float64(usual)))
	l.least, l.largest = l.limit, l.Bound(usual)
	return l
}

// Suspend reduces the bound to one statement until Resume, for an upstream that has failed
// and that others can replace.
func (l *Limit) Suspend() { l.suspended = true }

// Resume starts the limit again after the upstream has answered.
func (l *Limit) Resume(at entity.Time) {
	if l.suspended {
		l.suspended, l.limit, l.lowest, l.endsAt = false, l.least, 0, at.Add(MaxDuration)
		l.beginRound(at)
	}
}

// Bound returns the maximum number of statements in flight, at least 1 and at most usual.
func (l *Limit) Bound(usual int) int {
	if l.suspended {
		return minLimit
	}
	return max(minLimit, min(usual, int(l.limit)))
}

// UrgentBound returns the bound while urgent statements wait that nothing else can serve.
// lessUrgent is the number of less urgent statements in flight, urgent the usual bound while
// urgent statements wait. The limit holds for the urgent ones alone, so that they never wait
// for less urgent ones. Less urgent ones beyond the limit, which were sent before it fell,
// take the places of urgent ones.
func (l *Limit) UrgentBound(usual, urgent, lessUrgent int) int {
	bound := l.Bound(usual)
	return max(minLimit, min(urgent, bound+min(bound, lessUrgent)))
}

// Ended reports whether the limit no longer applies.
func (l *Limit) Ended(at entity.Time) bool {
	return l.ended || at >= l.endsAt && !l.suspended
}

// Duration returns the time since the limit began.
func (l *Limit) Duration(at entity.Time) time.Duration { return at.Sub(l.beganAt) }

// Largest returns the largest bound so far.
func (l *Limit) Largest() int { return l.largest }

// Answered records a statement that was sent at an instant and ran. inFlight is the number
// of statements in flight until the answer, this one included.
func (l *Limit) Answered(at, sent entity.Time, inFlight, usual int) {
	if l.suspended || sent < l.roundBeganAt {
		return
	}
	l.answers++
	l.total += at.Sub(sent)
	// Half of the limit in use shows how the upstream copes: an increase is by half.
	l.inUse = l.inUse || 2*inFlight >= l.Bound(usual)
	if l.answers < roundLength(l.Bound(usual), usual) {
		return
	}
	mean, inUse := l.total/time.Duration(l.answers), l.inUse
	l.beginRound(at)
	l.adjust(mean, inUse, usual)
}

// roundLength returns the number of answers in a round.
func roundLength(bound, usual int) int {
	if bound < usual {
		return bound
	}
	return max(minLastAnswers, bound)
}

// Failed records a statement that was sent at an instant and that was refused or got no
// answer. Statements that were sent before the last change of the limit count once.
func (l *Limit) Failed(at, sent entity.Time) {
	if l.suspended || sent < l.roundBeganAt {
		return
	}
	l.decrease(failureDecrease)
	l.beginRound(at)
}

func (l *Limit) beginRound(at entity.Time) {
	l.roundBeganAt, l.answers, l.total, l.inUse = at, 0, 0, false
}

// adjust changes the limit after a round with the given mean latency.
func (l *Limit) adjust(mean time.Duration, inUse bool, usual int) {
	if l.lowest == 0 || mean < l.lowest {
		l.lowest = mean
	}
	near := l.near(mean)
	switch {
	case near && l.Bound(usual) == usual:
		l.ended = true
	case near && inUse:
		l.increase(max(l.limit+1, l.limit*growth), usual)
	case near:
		// Too few statements were in flight to show how the upstream copes with more.
	case mean > time.Duration(steadyFactor*float64(l.lowest)):
		l.decrease(slowDecrease)
	case inUse:
		// The upstream is slow with any number of statements in flight. Idle slots would not
		// make it faster.
		l.increase(math.Ceil(occupyFraction*float64(usual)), usual)
	}
}

// near reports whether a latency is near the baseline. Without a baseline, the lowest
// latency of this recovery takes its place.
func (l *Limit) near(mean time.Duration) bool {
	baseline := l.baseline
	if baseline == 0 {
		baseline = l.lowest
	}
	return mean <= max(slowFactor*baseline, baseline+jitter)
}

func (l *Limit) increase(to float64, usual int) {
	l.limit = min(max(l.limit, to), float64(usual))
	l.largest = max(l.largest, l.Bound(usual))
}

// decrease reduces the limit, but not below its beginning, so that an upstream whose
// failures do not depend on its load is not left idle. The lowest latency is forgotten: if the upstream has become
// slower for another reason, the limit would otherwise fall to its minimum.
func (l *Limit) decrease(factor float64) {
	l.limit = max(l.least, l.limit*factor)
	l.lowest = 0
}
