package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/pace"
	"skylarkhinge.dev/skylarkhinge/core/placement"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// memberPace limits the statements in flight at a member that starts or recovers; see
// core/pace. It is nil without the setting UpstreamPace, which its methods allow. It is
// guarded by the database's mutex.
type memberPace struct {
	db     *database
	member *member
	// limit is valid while active is set.
	limit  pace.Limit
	active bool
	// baseline is the latency of the member before the limit began, 0 if unknown.
	baseline time.Duration
	// lessUrgent counts the statements in flight that are not of rank 0.
	lessUrgent int
}

// Reasons for a limit, as they appear in the log.
const (
	paceNew       = "new"
	paceRestarted = "restarted"
	paceFailed    = "failed"
	paceRecovered = "recovered"
	pacePromoted  = "promoted"
)

// permitResult is what a permit's statement showed about the member.
type permitResult uint8

const (
	// resultNone means that the permit ran no statement that takes a slot.
	resultNone permitResult = iota
	resultServed
	// resultFailed means that the member refused the statement, or the connection, for lack
	// of capacity or gave no answer.
	resultFailed
)

// addPace prepares the limit of a member that was added, if the setting asks for it. A
// member that is listed when this proxy starts has not started itself. The mutex is held.
func (d *database) addPace(m *member) {
	if !d.proxy.settings().UpstreamPace {
		return
	}
	m.pace = &memberPace{db: d, member: m}
	if d.proxy.firstListingDone.Load() {
		m.pace.begin(paceNew)
	}
}

// begin starts the limit. One that is active starts again, except for a member that has
// recovered: it has limited the member since the failure.
func (u *memberPace) begin(reason string) {
	if u == nil {
		return
	}
	at := now()
	wasActive := u.active
	if wasActive && reason == paceRecovered {
		u.limit.Resume(at)
		return
	}
	if !wasActive {
		u.baseline = u.member.latency
	}
	usual := u.db.usualBound(u.member)
	u.limit, u.active = pace.Begin(at, u.healthyLatency(reason), usual), true
	if !wasActive {
		u.db.proxy.events.paceBegan(u.db.name, u.member.name, reason, u.limit.Bound(usual))
	}
}

// failed records that the member failed. A replica gets one statement at a time until it
// answers; the primary, which nothing else can replace, is limited once it answers.
func (u *memberPace) failed() {
	if u == nil || u.member == u.db.primary {
		return
	}
	if !u.active {
		u.begin(paceFailed)
	}
	u.limit.Suspend()
}

// healthyLatency returns the lower of the member's earlier latency and that of the other
// members, corrected for their distance. A promoted member serves the former primary's mix
// of work from now on, so that its latency applies if it is known. It returns 0 if no
// latency is known.
func (u *memberPace) healthyLatency(reason string) time.Duration {
	d := u.db
	if reason == pacePromoted && d.primaryLatency > 0 {
		return max(d.primaryLatency, u.baseline)
	}
	lowest := u.baseline
	for _, m := range d.members {
		if m == u.member || m.latency == 0 || m.failures > 0 || m.pace != nil && m.pace.active {
			continue
		}
		latency := m.latency + max(0, roundTrip(u.member.distance)-roundTrip(m.distance))
		if lowest == 0 || latency < lowest {
			lowest = latency
		}
	}
	return lowest
}

// roundTrip returns the network round trip time that is assumed for a distance.
func roundTrip(distance int) time.Duration {
	switch distance {
	case placement.SameZone:
		return time.Millisecond
	case placement.SameRegion:
		return 3 * time.Millisecond
	}
	return 25 * time.Millisecond
}

// pacePrimaryReplaced keeps the latency of a primary that was replaced. If it has failed, it
// is limited like a failed replica. The mutex is held.
func (d *database) pacePrimaryReplaced(previous *member) {
	if previous == nil || previous == d.primary || previous.pace == nil {
		return
	}
	if !previous.pace.active {
		d.primaryLatency = previous.latency
	}
	if previous.failures > 0 {
		previous.pace.failed()
	}
}

// bound returns the limit that is active, given the usual bound and the one while urgent statements wait,
// which is 0 if none wait.
func (u *memberPace) bound(usual, urgent int) int {
	switch {
	case urgent == 0:
		return u.limit.Bound(usual)
	case u.member == u.db.primary:
		return u.limit.UrgentBound(usual, urgent, u.lessUrgent)
	}
	// Other members can serve urgent reads.
	return min(urgent, u.limit.Bound(usual))
}

// granted records a permit.
func (u *memberPace) granted(p *permit) {
	if u != nil && p.item.Rank > 0 {
		u.lessUrgent++
	}
}

// finished records the end of a permit. inFlight includes it.
func (u *memberPace) finished(p *permit, at entity.Time) {
	if u == nil {
		return
	}
	if p.item.Rank > 0 {
		u.lessUrgent--
	}
	if !u.active {
		return
	}
	switch p.result {
	case resultServed:
		// The time to open a connection is not part of the latency.
		sent := max(p.startedAt, p.conn.lastUsed)
		u.limit.Answered(at, sent, u.member.inFlight, u.db.usualBound(u.member))
	case resultFailed:
		u.limit.Failed(at, p.startedAt)
	}
	u.endIfDue(at)
}

// endIfDue ends the limit when it has reached the usual bound or its longest time.
func (u *memberPace) endIfDue(at entity.Time) {
	if u == nil || !u.active || !u.limit.Ended(at) {
		return
	}
	u.active = false
	u.db.proxy.events.paceEnded(u.db.name, u.member.name, &u.limit, at)
}

// endPaces ends the limits that are due. The mutex is held.
func (d *database) endPaces(at entity.Time) {
	for _, m := range d.members {
		m.pace.endIfDue(at)
	}
}

// paceSample returns the limits for the metrics, nil without the setting. The mutex is held.
func (d *database) paceSample() *telemetry.LimitSample {
	if !d.proxy.settings().UpstreamPace {
		return nil
	}
	sample := &telemetry.LimitSample{}
	for _, m := range d.members {
		if m.pace == nil || !m.pace.active {
			continue
		}
		limit := &sample.Replicas
		if m == d.primary {
			limit = &sample.Primary
		}
		*limit += m.pace.limit.Bound(d.usualBound(m))
	}
	return sample
}
