// Package revocation bounds the age of the configuration by which requests are accepted.
// A key that a configuration removed must not be accepted later than the revocation
// timeout after the store acknowledged that configuration, also by a proxy that can reach
// neither the store nor other proxies.
//
// Each proxy keeps a Clock: the instant up to which its configuration is confirmed as
// current. All instants are times of the proxy's own clock, which continues while the VM
// is suspended. Between proxies only ages are exchanged.
package revocation

import (
	"math"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Never is the age of a configuration that was never confirmed.
const Never = time.Duration(math.MaxInt64)

// Clock is the latest instant up to which the configuration is confirmed as current:
// every configuration that the store acknowledged before it is in force, or has been
// replaced by a later one. It never goes back. The zero Clock is never confirmed. It is
// safe for concurrent use.
type Clock struct {
	// confirmed is an entity.Time, 0 if there was no confirmation.
	confirmed atomic.Int64
}

// Confirm records an answer that showed the state of its source at some instant after
// sent, the time at which the question was sent. age is the age of the source's own
// confirmation when it answered, 0 for the store. All that the answer shows must be in
// force before the call. Confirm reports whether the clock advanced.
func (c *Clock) Confirm(sent entity.Time, age time.Duration) bool {
	// The source answered after sent, so its confirmation is of an instant after sent - age.
	at := int64(sent) - int64(age)
	if age < 0 || age == Never || at <= 0 {
		return false
	}
	for {
		before := c.confirmed.Load()
		if at <= before {
			return false
		}
		if c.confirmed.CompareAndSwap(before, at) {
			return true
		}
	}
}

// Age returns the time since the confirmed instant, Never if there is none.
func (c *Clock) Age(at entity.Time) time.Duration {
	confirmed := c.confirmed.Load()
	if confirmed == 0 {
		return Never
	}
	return max(0, at.Sub(entity.Time(confirmed)))
}

const (
	// clockSlack is the part of the revocation timeout that is left for differences
	// between clocks and for the time between a check and the sending of the request.
	clockSlack = 200 * time.Millisecond
	// watchPart and pollPart are the longest waits as parts of MaxAge.
	watchPart = 0.3
	pollPart  = 0.125
	// minWaitPart is the shortest wait as a part of MaxAge. It bounds the rate of polls of a
	// watcher whose own confirmation is old.
	minWaitPart = 0.015
	// overduePart is the age, as a part of MaxAge, beyond which other proxies are asked as
	// well. With a timeout of 5 s it leaves time for three requests of relayPart each, of
	// which two may remain unanswered.
	overduePart = 0.7
	relayPart   = 0.06
)

// Policy holds the limits that follow from a revocation timeout.
type Policy struct {
	// MaxAge is the age beyond which a configuration must not be used to accept a key.
	MaxAge time.Duration
	// WatchWait is the longest wait of a watch of the store without changes, PollWait that
	// of a poll of another proxy.
	WatchWait, PollWait time.Duration
	// RelayTimeout is the time limit of a request for another proxy's configuration.
	RelayTimeout time.Duration
	minWait      time.Duration
}

// NewPolicy returns the policy for a revocation timeout of at least 1 s.
func NewPolicy(timeout time.Duration) Policy {
	maxAge := max(0, timeout-clockSlack)
	return Policy{
		MaxAge:    maxAge,
		WatchWait: part(maxAge, watchPart),
		PollWait:  part(maxAge, pollPart),
		minWait:   part(maxAge, minWaitPart),

		RelayTimeout: part(maxAge, relayPart),
	}
}

func part(d time.Duration, fraction float64) time.Duration {
	return time.Duration(float64(d) * fraction)
}

// Expired reports whether a configuration of this age must not be used to accept a key.
func (p Policy) Expired(age time.Duration) bool { return age > p.MaxAge }

// Overdue reports whether the sources that usually confirm the configuration have failed
// or are slow, so that other proxies should be asked before it expires.
func (p Policy) Overdue(age time.Duration) bool { return age > part(p.MaxAge, overduePart) }

// WaitForWatch returns the wait of the next watch of the store. An answer confirms the
// instant at which the watch was sent, so the age reaches twice the wait while nothing
// fails. After a failure the wait is shorter, so that the next answer comes at that age.
func (p Policy) WaitForWatch(age time.Duration) time.Duration {
	return min(p.WatchWait, max(p.minWait, 2*p.WatchWait-age))
}

// WaitForPoll returns the wait of the next poll of a watcher. It is short once the age
// exceeds what a watcher and a poll add up to while nothing fails.
func (p Policy) WaitForPoll(age time.Duration) time.Duration {
	return min(p.PollWait, max(p.minWait, 2*(p.WatchWait+p.PollWait)-age))
}
