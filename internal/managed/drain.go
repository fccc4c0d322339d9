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
	began atomic.Pointer[drainStart]
}

// drainStart is when a shutdown began and how long it may take.
type drainStart struct {
	at    time.Time
	grace time.Duration
}

// begin starts the shutdown. Further calls have no effect.
func (d *drainSchedule) begin(grace time.Duration) bool {
	return d.began.CompareAndSwap(nil, &drainStart{time.Now(), grace})
}

// active reports whether the shutdown began.
func (d *drainSchedule) active() bool { return d.began.Load() != nil }

// handingOver reports whether sessions are to move on. Before the proxy is out
// of rotation they would come back to it.
func (d *drainSchedule) handingOver() bool {
	began := d.began.Load()
	return began != nil && time.Since(began.at) >= rotationDelay
}

// sessionEnd returns when a session without a request is closed, zero if the
// proxy is not shutting down. An open transaction has half of the grace period.
func (d *drainSchedule) sessionEnd(inTransaction bool) time.Time {
	began := d.began.Load()
	if began == nil {
		return time.Time{}
	}
	if inTransaction {
		return began.at.Add(max(began.grace/2, rotationDelay))
	}
	return began.at.Add(rotationDelay)
}

// exitBy returns when the process ends whatever is open.
func (d *drainSchedule) exitBy() time.Time {
	began := d.began.Load()
	return began.at.Add(began.grace - exitMargin)
}

// exitMargin is left of the grace period for closing the listeners and the lease.
const exitMargin = 300 * time.Millisecond
