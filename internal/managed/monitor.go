package managed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// monitorInterval is the time between looks at a database that is well.
	monitorInterval = 250 * time.Millisecond
	// doubtInterval is the same while the primary is in doubt.
	doubtInterval = 100 * time.Millisecond
	// probeTimeout bounds one status call, a new connection included. On a busy
	// upstream in another region it takes up to 300 ms.
	probeTimeout = 360 * time.Millisecond
	// maxMisses is the number of failed status calls in a row after which a primary
	// counts as lost. Each makes an attempt on a new connection.
	maxMisses = 2
	// requestFailures is the number of failed connections of requests with which one
	// failed status call suffices.
	requestFailures = 3
	// leaderlessWait is how long no member may claim to lead before a takeover.
	leaderlessWait = 700 * time.Millisecond
	// proofAge is the age at which the newest proof is renewed while reads come.
	proofAge = 500 * time.Millisecond
	// readsRecent is how long reads count as coming.
	readsRecent = 3 * time.Second
	// inspectionInterval is the time between proofs of a primary at rest by one
	// proxy, and inspectors is how many proxies do so for each database.
	inspectionInterval = 1500 * time.Millisecond
	inspectors         = 3
	// pauseCheckDelay is the time from the start, or from the end of a claim, to
	// the look for abandoned pauses by pauseInspectors proxies. Only takeovers
	// pause replicas, and status calls are priced like health checks.
	pauseCheckDelay = 4 * time.Second
	pauseInspectors = 2
	// localUseRecent is how long a proxy that is no gateway of a database watches it
	// after it had to serve a session itself.
	localUseRecent = 5 * time.Second
	// stallWindow is the time within which a healthy primary's replicas receive
	// something if writes wait.
	stallWindow = 300 * time.Millisecond
)

// monitor watches one database: which member is the primary, whether it answers, and how
// fresh the newest proof is.
type monitor struct {
	db       *database
	wakeup   chan struct{}
	doubtful atomic.Bool
	// claimant is a member whose entry says that it is the primary.
	claimant atomic.Pointer[member]
	// misses counts failed status calls in a row.
	misses          int
	leaderlessSince entity.Time
	nextTakeover    entity.Time
	nextInspection  entity.Time
	// pauseCheckAt is when to look for abandoned pauses, 0 if there is no reason to.
	pauseCheckAt atomic.Int64
	// warmed is set once the first connections were opened.
	warmed bool
}

func newMonitor(d *database) *monitor {
	s := &monitor{db: d, wakeup: make(chan struct{}, 1)}
	s.checkPausesLater()
	return s
}

// checkPausesLater makes the monitor look for abandoned pauses after a while.
func (s *monitor) checkPausesLater() { s.pauseCheckAt.Store(int64(now().Add(pauseCheckDelay))) }

// wake makes the monitor look at once.
func (s *monitor) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// doubt makes the monitor check the primary.
func (s *monitor) doubt() {
	s.doubtful.Store(true)
	s.wake()
}

func (s *monitor) run(ctx context.Context) {
	timer := time.NewTimer(monitorInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		pause := s.look()
		timer.Reset(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wakeup:
		}
	}
}

// look checks the database once and returns the time until the next look.
func (s *monitor) look() time.Duration {
	d := s.db
	at := now()
	s.checkClaimant()
	d.mu.Lock()
	d.forgetMissing(at)
	d.closeIdle(at)
	leader := d.leader
	leaving := leader != nil && leader.leavingSince != 0
	failing := leader != nil && (leader.failures > 0 || leader.gone)
	known := len(d.members)
	overloadedByLag := leader != nil && d.overloadedByLag(at)
	// A proxy that hands its sessions over does not use the upstreams.
	idle := !d.serves && (d.usedAt == 0 || at.Sub(d.usedAt) > localUseRecent)
	d.mu.Unlock()
	switch {
	case known == 0 || idle:
		return monitorInterval
	case leader == nil:
		s.findLeader(at)
		return doubtInterval
	case failing || s.doubtful.Load():
		s.checkLeader(leader)
		return doubtInterval
	case leaving:
		s.takeOver(true, "leaving")
		return doubtInterval
	case overloadedByLag:
		s.takeOver(true, "replicas lag")
		return doubtInterval
	}
	s.leaderlessSince = 0
	if !s.warmed {
		s.warmed = true
		s.warm(leader)
	}
	s.renewProof(at)
	s.inspect(at, leader)
	return monitorInterval
}

// forgetMissing drops members whose entries stayed away. The mutex is held.
func (d *database) forgetMissing(at entity.Time) {
	for name, m := range d.members {
		if m.missingSince == 0 || at.Sub(m.missingSince) < missingGrace {
			continue
		}
		m.gone = true
		for _, l := range m.idle {
			d.dropLocked(l)
		}
		m.idle = nil
		delete(d.members, name)
		d.changedSince = at
		d.proxy.events.memberGone(d.name, name)
	}
}

// takeoverPause spreads the proxies' attempts, so that one of them holds the
// claim before the others ask for it.
func takeoverPause() time.Duration {
	return 150*time.Millisecond + rand.N(250*time.Millisecond)
}
