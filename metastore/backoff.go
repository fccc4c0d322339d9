package metastore

import (
	"math/rand/v2"
	"time"
)

// Backoff gives growing waits between attempts. Each is spread over the upper
// half of its range, so that clients that failed together do not return together.
type Backoff struct {
	// Base is the first wait before jitter, Max the longest.
	Base, Max time.Duration
	random    *rand.Rand
	failures  int
}

// NewBackoff returns a backoff whose jitter comes from a seed.
func NewBackoff(base, longest time.Duration, seed uint64) *Backoff {
	return &Backoff{Base: base, Max: longest, random: rand.New(rand.NewPCG(seed, 0))}
}

// Next returns the wait before the next attempt.
func (b *Backoff) Next() time.Duration {
	wait := b.Max
	// 30 doublings of a nanosecond exceed every wait in use.
	if b.failures < 30 && b.Base<<b.failures < b.Max {
		wait = b.Base << b.failures
		b.failures++
	}
	return wait/2 + time.Duration(b.random.Int64N(int64(wait/2)+1))
}

// Reset starts again at Base, after a success.
func (b *Backoff) Reset() { b.failures = 0 }
