package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// failurePause is how long a member gets no new work after a connection failure. It
	// doubles with each further failure up to maxFailurePause.
	failurePause    = 50 * time.Millisecond
	maxFailurePause = 400 * time.Millisecond
	// maxLostReplyPause is the same limit for a replica that does not answer. Other members
	// serve its reads, and each trial delays a read until its reply counts as lost.
	maxLostReplyPause = 1600 * time.Millisecond
	// connectionLimitPause is how long no new connection is opened after the member refused
	// one because its connection limit was reached.
	connectionLimitPause = 200 * time.Millisecond
	// busyPause is how long a member gets no new work after it refused a statement as busy.
	busyPause = 10 * time.Millisecond
	// lagPause is how long a replica gets no reads after it lacked a read's minimum
	// position. Replicas are usually 20 to 60 ms behind.
	lagPause = 100 * time.Millisecond
	// missingGrace is how long a member stays in use after its entry was removed. Entries
	// that expired during a store outage are restored within 2 s of its end.
	missingGrace = 2500 * time.Millisecond
)

// member is this proxy's state of one upstream. It is guarded by the database's mutex.
type member struct {
	// name is immutable, so it may be read without the mutex.
	name     entity.Upstream
	entry    Member
	distance int
	// idleConns are ordered by the time at which they became idle, the oldest first.
	idleConns []*memberConn
	// openConns counts the pooled connections, including those being opened.
	openConns int
	// inFlight counts the statements in flight from this proxy.
	inFlight int
	// failures counts the connection failures since the last successful reply.
	failures        int
	pauseUntil      entity.Time
	lagUntil        entity.Time
	noNewConnsUntil entity.Time
	// noReplacementUntil is set while the member refuses even a new connection that
	// replaces one just closed.
	noReplacementUntil entity.Time
	// lagSince is the first read refused as lagging since the member last completed a
	// statement, zero if there was none.
	lagSince entity.Time
	// leavingSince and missingSince are when the member announced its departure and when
	// its entry was removed, zero if it did not.
	leavingSince, missingSince entity.Time
	removed                    bool
	// deniedPrimary is set when the member refused a primary's work, until its entry
	// changes to primary again.
	deniedPrimary bool
	latency       time.Duration
	// listedAt is a revision of the store at which the member was listed, zero if that is unknown.
	listedAt Revision
	// received is the end of the log that the member held in its latest status.
	received entity.Position
	// statusCall is the status call in progress that commits share, nil if there is none.
	statusCall *statusCall
	// pace is nil without the setting UpstreamPace.
	pace *memberPace
}

// available reports whether the member is in use and not paused.
func (m *member) available(at entity.Time) bool {
	return !m.removed && at >= m.pauseUntil
}

// idleTimeout is how long a connection beyond minPooledConns stays idle before it is
// closed. The connections of a proxy that lost power count at the upstream for another 3 s,
// while the restarted proxy needs connections at once. With 4 s, the proxies held three
// quarters of the limit and restarted proxies were refused until the dead connections were
// dropped.
const idleTimeout = 400 * time.Millisecond

// minPooledConns is the number of connections to a member that stay open without load. All
// gateways together leave half of the member's limit free; other proxies keep none. With
// organisations a gateway keeps its share: a connection serves one organisation only, so
// that few requests would find one, and opening one takes a slot of the member. The mutex
// is held.
func (d *database) minPooledConns() int {
	if !d.isGateway {
		return 0
	}
	if d.proxy.document().Organisations != nil {
		return d.connectionShare
	}
	return max(1, d.connectionShare/2)
}

// closeIdle closes idle connections beyond minPooledConns. The mutex is held.
func (d *database) closeIdle(at entity.Time) {
	kept := d.minPooledConns()
	for _, m := range d.members {
		for len(m.idleConns) > 0 && m.openConns > kept && at.Sub(m.idleConns[0].lastUsed) > idleTimeout {
			d.dropConnLocked(m.idleConns[0])
			m.idleConns = m.idleConns[1:]
		}
	}
}

// recordFailure records a failed connection and pauses the member.
func (m *member) recordFailure(at entity.Time) {
	m.failures++
	m.pace.failed()
	m.pauseUntil = at.Add(min(failurePause<<min(m.failures, 4), maxFailurePause))
}

// recordLostReply records that a replica did not answer a read in time and pauses it. Reads
// that were sent to it together count once.
func (m *member) recordLostReply(at entity.Time) {
	if at < m.pauseUntil {
		return
	}
	m.failures++
	m.pace.failed()
	m.pauseUntil = at.Add(min(failurePause<<min(m.failures, 5), maxLostReplyPause))
}

// onTrial reports whether the member failed and has not answered since. It gets one
// statement at a time then.
func (m *member) onTrial() bool { return m.failures > 0 }

// clearFailures records that the member is reachable.
func (m *member) clearFailures() {
	if m.failures > 0 {
		m.pace.begin(paceRecovered)
	}
	m.failures = 0
	m.pauseUntil = 0
}

// observeLatency updates the moving average of statement latency, with a weight of 1/10 for
// the new sample.
func (m *member) observeLatency(took time.Duration) {
	if m.latency == 0 {
		m.latency = took
		return
	}
	m.latency += (took - m.latency) / 10
}
