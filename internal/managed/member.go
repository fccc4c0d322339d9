package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// failurePause is how long a member that failed gets no new work, doubled
	// with each further failure up to maxFailurePause.
	failurePause    = 50 * time.Millisecond
	maxFailurePause = 400 * time.Millisecond
	// connectionLimitPause is how long no connection is opened after the member
	// reported that all of its connections are taken.
	connectionLimitPause = 200 * time.Millisecond
	// busyPause is how long a member that shed a statement gets no new work.
	busyPause = 10 * time.Millisecond
	// lagPause is how long a replica that lacked a floor gets no reads. Replicas
	// are usually 20 to 60 ms behind.
	lagPause = 100 * time.Millisecond
	// missingGrace is how long a member whose entry was removed is still used.
	// Entries that lapsed with the store are back within 2 s of its return.
	missingGrace = 2500 * time.Millisecond
)

// member is one upstream as this proxy uses it. The database's mutex guards it.
type member struct {
	// name never changes, so that it is read without the mutex.
	name     entity.Upstream
	spec     Member
	distance int
	idle     []*link
	// open counts the pooled connections, those being opened included.
	open int
	// running counts the statements in flight.
	running int
	// failures counts failed connections since the last answer.
	failures   int
	pauseUntil entity.Time
	lagUntil   entity.Time
	fullUntil  entity.Time
	// lagSince is the first read that the member refused as lagging since it last
	// served one.
	lagSince entity.Time
	// leavingSince and missingSince are zero while the member is neither.
	leavingSince, missingSince entity.Time
	gone                       bool
	// denied is set once the member refused to lead, until its entry claims the
	// lead anew.
	denied  bool
	latency time.Duration
}

// available reports whether the member takes another statement at all.
func (m *member) available(at entity.Time) bool {
	return !m.gone && at >= m.pauseUntil
}

// hasConnection reports whether a connection is idle or may be opened.
func (m *member) hasConnection(at entity.Time, share int) bool {
	if len(m.idle) > 0 {
		return true
	}
	return m.open < share && at >= m.fullUntil
}

// idleTimeout is how long a connection beyond the kept ones stays idle. What a
// proxy that lost power held still counts at the upstream for 3 s, and its
// successor needs connections at once. With 4 s the fleet held three quarters of
// the limit, and successors were refused until the dead connections were dropped.
const idleTimeout = 400 * time.Millisecond

// keptConnections is how many connections to a member stay open without load, so
// that all proxies together leave half of its limit free. The mutex is held.
func (d *database) keptConnections() int { return max(1, d.share/2) }

// closeIdle closes the connections that the load does not need. The mutex is held.
func (d *database) closeIdle(at entity.Time) {
	kept := d.keptConnections()
	for _, m := range d.members {
		for len(m.idle) > 0 && m.open > kept && at.Sub(m.idle[0].lastUsed) > idleTimeout {
			d.dropLocked(m.idle[0])
			m.idle = m.idle[1:]
		}
	}
}

// takeIdle returns the idle link that fits the settings best, nil if none is idle.
func (m *member) takeIdle(settings string) *link {
	n := len(m.idle)
	if n == 0 {
		return nil
	}
	best := n - 1
	for i := n - 1; i >= 0; i-- {
		if m.idle[i].settings == settings {
			best = i
			break
		}
		if m.idle[i].settings == "" && m.idle[best].settings != "" {
			best = i
		}
	}
	l := m.idle[best]
	m.idle = append(m.idle[:best], m.idle[best+1:]...)
	return l
}

// failed notes a connection that could not be opened or that broke.
func (m *member) failed(at entity.Time) {
	m.failures++
	m.pauseUntil = at.Add(min(failurePause<<min(m.failures, 4), maxFailurePause))
}

// answered notes that the member is reachable.
func (m *member) answered() {
	m.failures = 0
	m.pauseUntil = 0
}

// observeLatency averages the time of statements over about ten.
func (m *member) observeLatency(took time.Duration) {
	if m.latency == 0 {
		m.latency = took
		return
	}
	m.latency += (took - m.latency) / 10
}
