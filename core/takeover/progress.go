package takeover

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// stallWindow is the time within which a replica that is not paused receives something if the
// primary holds more. It covers several round trips between regions.
const stallWindow = 300 * time.Millisecond

// Takeover is what one takeover remembers between its steps.
type Takeover struct {
	// stalled is set while the leader is known to answer but to replicate nothing to those that stay.
	stalled bool
	// required is the end of the leader's log that the successor must hold. keepRequired is set
	// while it need not be taken from the latest report.
	required     entity.Position
	keepRequired bool
	// replicas are the replicas that were listed at any time. seen is the most advanced log that
	// one of them reported, sawReceiver is set once one of them was not paused.
	replicas    map[entity.Upstream]bool
	seen        entity.Position
	sawReceiver bool
	// quiesced is set once all replicas were paused, after at least one had received the log.
	quiesced bool
	// received are the logs of the replicas that stay and are not paused, furthest is the most advanced
	// one, advancedAt when it last grew.
	received   map[entity.Upstream]entity.Position
	furthest   entity.Position
	advancedAt entity.Time
}

// New returns a takeover that has not begun. leaderStalled is set if the leader to replace
// answers but replicates nothing.
func New(leaderStalled bool) *Takeover {
	return &Takeover{stalled: leaderStalled, replicas: map[entity.Upstream]bool{}}
}

// Next returns the next step, given the latest reports of the members.
func (t *Takeover) Next(at entity.Time, v View) Decision {
	t.observeReplicas(&v)
	if v.LeaderHealthy {
		t.observeLeader(at, &v)
	}
	v.LeaderStalled = t.stalled
	v.LeaderHealthy = v.LeaderHealthy && !t.stalled
	v.Required = t.seen
	if v.LeaderHealthy {
		v.Required = t.required
	}
	d := Decide(v)
	if d.Step == StepResume || d.Step == StepPromote && !v.LeaderHealthy {
		// The successor of a lost primary receives the log while its order is open.
		t.quiesced = false
	}
	// While the successor catches up, it is measured by an earlier report: it receives the log
	// of the latest one a moment later.
	t.keepRequired = d.Step == StepPromote || d.Step == StepPause || d.Step == StepWait && d.Target != ""
	return d
}

// LeaderStalled reports whether the leader is known to answer but to replicate nothing.
func (t *Takeover) LeaderStalled() bool { return t.stalled }

// observeReplicas records what the replicas report, and sets which of them were paused early.
func (t *Takeover) observeReplicas(v *View) {
	paused := 0
	replicas := replicasOf(v)
	for _, m := range replicas {
		if !t.replicas[m.Name] {
			t.replicas[m.Name], t.keepRequired, t.quiesced = true, false, false
		}
		if t.seen.Less(m.Received) {
			t.seen = m.Received
		}
		t.sawReceiver = t.sawReceiver || m.Reached && m.PauseTerm == 0
		if m.Reached && m.PauseTerm != 0 {
			paused++
		}
	}
	t.quiesced = t.quiesced || t.sawReceiver && paused == len(t.replicas)
	for _, m := range replicas {
		m.PausedEarly = m.PauseTerm != 0 && !t.quiesced
	}
}

// observeLeader records the end of a healthy leader's log, and whether its replicas receive it.
func (t *Takeover) observeLeader(at entity.Time, v *View) {
	var leader *Member
	var furthest entity.Position
	receives, stays := false, anyStays(v)
	received := map[entity.Upstream]entity.Position{}
	for i := range v.Members {
		m := &v.Members[i]
		switch {
		case m.Name == v.Leader:
			leader = m
		case m.Reached && m.PauseTerm == 0 && !(stays && m.Leaving):
			receives = true
			received[m.Name] = m.Received
			if before, ok := t.received[m.Name]; ok && before.Less(m.Received) {
				// The primary replicates again, if it had stopped.
				t.stalled = false
			}
			if furthest.Less(m.Received) {
				furthest = m.Received
			}
		}
	}
	t.received = received
	if leader == nil {
		return
	}
	if !t.keepRequired {
		t.required = leader.Received
	}
	if !receives || t.advancedAt == 0 || t.furthest.Less(furthest) || !furthest.Less(leader.Received) {
		t.furthest, t.advancedAt = furthest, at
		return
	}
	t.stalled = t.stalled || v.Synchronous && at.Sub(t.advancedAt) >= stallWindow
}

// anyStays reports whether a replica does not leave.
func anyStays(v *View) bool {
	return slices.ContainsFunc(v.Members, func(m Member) bool { return m.Name != v.Leader && !m.Leaving })
}
