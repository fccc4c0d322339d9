package managed

import (
	"sync/atomic"
	"time"
)

// rotationDelay is the time after which no new connections arrive at a proxy that reports
// itself as not ready: two health probes, one second apart, plus a margin.
const rotationDelay = 2300 * time.Millisecond

// drainSchedule computes the deadlines of a graceful shutdown. It is safe for concurrent
// use.
type drainSchedule struct {
	start atomic.Pointer[drainStart]
}

// drainStart is the start time and the grace period of a shutdown.
type drainStart struct {
	startedAt time.Time
	grace     time.Duration
}

// begin starts the shutdown and reports whether this call started it.
func (d *drainSchedule) begin(grace time.Duration) bool {
	return d.start.CompareAndSwap(nil, &drainStart{time.Now(), grace})
}

// active reports whether the shutdown has begun.
func (d *drainSchedule) active() bool { return d.start.Load() != nil }

// outOfRotation reports whether sessions may be closed so that callers reconnect elsewhere.
// Earlier, callers might reconnect to this proxy.
func (d *drainSchedule) outOfRotation() bool {
	began := d.start.Load()
	return began != nil && time.Since(began.startedAt) >= rotationDelay
}

// sessionDeadline returns the time at which an idle session is closed, zero if the proxy is
// not shutting down. An open transaction gets half of the grace period.
func (d *drainSchedule) sessionDeadline(inTransaction bool) time.Time {
	began := d.start.Load()
	if began == nil {
		return time.Time{}
	}
	if inTransaction {
		return began.startedAt.Add(max(began.grace/2, rotationDelay))
	}
	return began.startedAt.Add(rotationDelay)
}

// exitDeadline returns the time at which the process exits regardless of open sessions. The
// shutdown must have begun.
func (d *drainSchedule) exitDeadline() time.Time {
	began := d.start.Load()
	return began.startedAt.Add(began.grace - exitMargin)
}

// exitMargin is the part of the grace period reserved for closing the listeners and
// revoking the lease.
const exitMargin = 300 * time.Millisecond
