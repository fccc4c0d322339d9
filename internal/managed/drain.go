package managed

import (
	"sync/atomic"
	"time"
)

// rotationDelay is the time after which no new connection arrives at a proxy
// that reports itself as not ready: two probes, one second apart, and slack.
const rotationDelay = 2300 * time.Millisecond

// drainSchedule is the shutdown of a proxy in time. It is safe for concurrent use.
type drainSchedule struct {
	began atomic.Pointer[time.Time]
	grace time.Duration
}

// begin starts the shutdown. Further calls have no effect.
func (d *drainSchedule) begin() bool {
	at := time.Now()
	return d.began.CompareAndSwap(nil, &at)
}

// active reports whether the shutdown began.
func (d *drainSchedule) active() bool { return d.began.Load() != nil }

// handingOver reports whether sessions are to move on. Before the proxy is out
// of rotation they would come back to it.
func (d *drainSchedule) handingOver() bool {
	began := d.began.Load()
	return began != nil && time.Since(*began) >= rotationDelay
}

// sessionEnd returns when a session without a request is closed, zero if the
// proxy is not shutting down. An open transaction has half of the grace period.
func (d *drainSchedule) sessionEnd(inTransaction bool) time.Time {
	began := d.began.Load()
	if began == nil {
		return time.Time{}
	}
	if inTransaction {
		return began.Add(max(d.grace/2, rotationDelay))
	}
	return began.Add(rotationDelay)
}

// exitBy returns when the process ends whatever is open.
func (d *drainSchedule) exitBy() time.Time {
	return d.began.Load().Add(d.grace - exitMargin)
}

// exitMargin is left of the grace period for closing the listeners and the lease.
const exitMargin = 300 * time.Millisecond
