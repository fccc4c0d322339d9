package managed

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// scoutInterval is the time between looks at a database that is well.
	scoutInterval = 250 * time.Millisecond
	// doubtInterval is the same while the primary is in doubt.
	doubtInterval = 100 * time.Millisecond
	// probeTimeout bounds one status call, a new connection included. On a busy
	// upstream in another region it takes up to 300 ms.
	probeTimeout = 360 * time.Millisecond
	// refusedMisses and silentMisses are the failed status calls after which a
	// primary counts as lost: one that refuses connections is down for certain.
	refusedMisses = 2
	silentMisses  = 2
	// requestFailures is the number of connections that failed for requests which
	// together count as a failed status call.
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
	// heldCheckDelay is the time from the start, or from the end of a claim, to
	// the look for abandoned pauses by heldInspectors proxies. Only takeovers
	// pause replicas, and status calls are priced like health checks.
	heldCheckDelay = 4 * time.Second
	heldInspectors = 2
	// localUseRecent is how long a proxy that is no gateway of a database watches it
	// after it had to serve a session itself.
	localUseRecent = 5 * time.Second
	// stallWindow is the time within which a healthy primary's replicas receive
	// something if writes wait.
	stallWindow = 300 * time.Millisecond
)

// scout watches one database: who leads it, whether the leader is well, and how
// fresh the newest proof is.
type scout struct {
	db       *database
	wakeup   chan struct{}
	doubtful atomic.Bool
	// claimant is a member whose entry says that it is the primary.
	claimant atomic.Pointer[member]
	// misses counts failed status calls in a row, silent those without any answer.
	misses, silent  int
	leaderlessSince entity.Time
	nextTakeover    entity.Time
	nextInspection  entity.Time
	// heldCheckAt is when to look for abandoned pauses, 0 if there is no reason to.
	heldCheckAt atomic.Int64
	// warmed is set once the first connections were opened.
	warmed bool
}

func newScout(d *database) *scout {
	s := &scout{db: d, wakeup: make(chan struct{}, 1)}
	s.checkHeldLater()
	return s
}

// checkHeldLater makes the scout look for abandoned pauses after a while.
func (s *scout) checkHeldLater() { s.heldCheckAt.Store(int64(now().Add(heldCheckDelay))) }

// wake makes the scout look at once.
func (s *scout) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// doubt makes the scout check the primary.
func (s *scout) doubt() {
	s.doubtful.Store(true)
	s.wake()
}

func (s *scout) run(ctx context.Context) {
	timer := time.NewTimer(scoutInterval)
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
func (s *scout) look() time.Duration {
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
	crowded := leader != nil && d.crowded(at)
	// A proxy that hands its sessions over does not use the upstreams.
	idle := !d.serves && (d.usedAt == 0 || at.Sub(d.usedAt) > localUseRecent)
	d.mu.Unlock()
	switch {
	case known == 0 || idle:
		return scoutInterval
	case leader == nil:
		s.findLeader(at)
		return doubtInterval
	case failing || s.doubtful.Load():
		s.checkLeader(leader)
		return doubtInterval
	case leaving:
		s.takeOver(true, "leaving")
		return doubtInterval
	case crowded:
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
	return scoutInterval
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
