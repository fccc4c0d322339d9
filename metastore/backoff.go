package metastore

import (
	"math/rand/v2"
	"time"
)

// Backoff computes exponentially growing waits between attempts. Jitter takes up to
// half of each wait off, so that clients that failed at the same time do not retry at
// the same time. It is not safe for concurrent use.
type Backoff struct {
	// Base is the first wait and Max the longest, both before jitter.
	Base, Max time.Duration
	random    *rand.Rand
	failures  int
}

// NewBackoff returns a backoff with the given seed for its jitter.
func NewBackoff(base, maxWait time.Duration, seed uint64) *Backoff {
	return &Backoff{Base: base, Max: maxWait, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the wait before the next attempt.
func (b *Backoff) Next() time.Duration {
	wait := b.Max
	// The limit keeps the shift from overflowing. A base of 2 ns or more exceeds every
	// Max in use (2 s) after 30 doublings.
	if b.failures < 30 && b.Base<<b.failures < b.Max {
		wait = b.Base << b.failures
		b.failures++
	}
	return wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
}

// Reset makes the next wait start at Base again; call it after a success.
func (b *Backoff) Reset() { b.failures = 0 }
