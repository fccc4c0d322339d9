package managed

import (
	"context"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// monitorInterval is the interval between checks of a healthy database.
	monitorInterval = 250 * time.Millisecond
	// suspectInterval is the interval between checks while the primary is unknown,
	// suspected or being replaced.
	suspectInterval = 100 * time.Millisecond
	// probeTimeout bounds one status call, including the opening of a connection. On a busy
	// upstream in another region it takes up to 300 ms.
	probeTimeout = 360 * time.Millisecond
	// maxMisses is the number of consecutive failed status calls after which the primary is
	// considered lost. Each call tries a new connection.
	maxMisses = 2
	// requestFailureThreshold is the number of connection failures seen by requests after
	// which a single failed status call is enough.
	requestFailureThreshold = 3
	// noPrimaryWait is how long no member may report itself as primary before a takeover
	// starts.
	noPrimaryWait = 700 * time.Millisecond
	// confirmationRenewalAge is the age of the newest confirmed position at which the
	// primary is confirmed again while there are reads.
	confirmationRenewalAge = 500 * time.Millisecond
	// recentReadWindow is how long after a read confirmations are still renewed.
	recentReadWindow = 3 * time.Second
	// idleConfirmationInterval is the interval at which a proxy confirms an idle primary.
	// idleConfirmationProxies is the number of proxies per database that do so.
	idleConfirmationInterval = 1500 * time.Millisecond
	idleConfirmationProxies  = 3
	// pauseCheckDelay is the delay from the start, or from the end of a claim, to the check
	// for abandoned pauses, done by pauseCheckProxies proxies. The check is rare because
	// only takeovers pause replicas and a status call costs as much as a health check.
	pauseCheckDelay   = 4 * time.Second
	pauseCheckProxies = 2
	// localUseWindow is how long a proxy that is not a gateway monitors a database after
	// serving a statement for it.
	localUseWindow = 5 * time.Second
	// stallWindow is the time within which the replicas of a healthy primary receive
	// something if writes are waiting.
	stallWindow = 300 * time.Millisecond
)

// monitor tracks the primary of one database: which member it is, whether it answers, and
// how recent its newest confirmed position is. It starts takeovers. Its goroutine runs only
// while this proxy uses the database.
type monitor struct {
	db     *database
	wakeup chan struct{}
	// mu guards running. ctx is nil if the monitor never runs.
	mu      sync.Mutex
	running bool
	ctx     context.Context

	primarySuspected atomic.Bool
	// listedPrimary is a member whose entry newly says primary and that has not been
	// queried yet.
	listedPrimary atomic.Pointer[member]
	// misses counts consecutive failed status calls to the primary.
	misses int
	// missedAt is when the primary last did not answer.
	missedAt             entity.Time
	noPrimarySince       entity.Time
	nextTakeover         entity.Time
	nextIdleConfirmation entity.Time
	// pauseCheckAt is when to check for abandoned pauses, 0 if no check is due.
	pauseCheckAt atomic.Int64
	// warmedUp is set once the initial connections have been opened.
	warmedUp bool
}

func newMonitor(d *database) *monitor {
	mon := &monitor{db: d, wakeup: make(chan struct{}, 1)}
	mon.schedulePauseCheck(pauseCheckDelay)
	return mon
}

// schedulePauseCheck schedules a check for abandoned pauses and open orders.
func (mon *monitor) schedulePauseCheck(delay time.Duration) {
	mon.pauseCheckAt.Store(int64(now().Add(delay)))
}

// wake makes the monitor run its next check immediately.
func (mon *monitor) wake() {
	select {
	case mon.wakeup <- struct{}{}:
	default:
	}
	mon.start()
}

// start starts the goroutine unless it runs.
func (mon *monitor) start() {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	if mon.running || mon.ctx == nil {
		return
	}
	mon.running = true
	go mon.run(mon.ctx)
}

// stop reports whether the goroutine may end: it was not woken since its last check.
func (mon *monitor) stop() bool {
	mon.mu.Lock()
	defer mon.mu.Unlock()
	if len(mon.wakeup) > 0 {
		return false
	}
	mon.running = false
	return true
}

// suspectPrimary makes the monitor check the primary immediately.
func (mon *monitor) suspectPrimary() {
	mon.primarySuspected.Store(true)
	mon.wake()
}

func (mon *monitor) run(ctx context.Context) {
	timer := time.NewTimer(monitorInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		pause := mon.check()
		if pause == 0 && mon.stop() {
			return
		}
		timer.Reset(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-mon.wakeup:
		}
	}
}

// check runs one check of the database and returns the time until the next one, 0 if none
// is needed until the database is used or changes.
func (mon *monitor) check() time.Duration {
	d := mon.db
	at := now()
	d.mu.Lock()
	unused := !d.inUse(at)
	d.mu.Unlock()
	if unused {
		mon.forgetReplacedPrimary()
	} else {
		mon.checkListedPrimary()
	}
	d.mu.Lock()
	d.removeExpiredMembers(at)
	d.closeIdle(at)
	d.endPaces(at)
	primary := d.primary
	leaving := primary != nil && primary.leavingSince != 0
	failing := primary != nil && (primary.failures > 0 || primary.removed)
	memberCount := len(d.members)
	movePrimary := primary != nil && d.shouldMovePrimary(at)
	settled := d.settled()
	d.mu.Unlock()
	switch {
	case (memberCount == 0 || unused) && settled:
		return 0
	case memberCount == 0 || unused:
		return monitorInterval
	case primary == nil:
		mon.findPrimary(at)
		return suspectInterval
	case failing || mon.primarySuspected.Load():
		mon.checkPrimary(primary)
		return suspectInterval
	case leaving:
		mon.takeOver(primary, primaryLeaves)
		return suspectInterval
	case movePrimary:
		mon.takeOver(primary, replicasLag)
		return suspectInterval
	}
	mon.noPrimarySince = 0
	if !mon.warmedUp {
		mon.warmedUp = true
		mon.warmUp(primary)
	}
	mon.renewConfirmation(at)
	mon.checkIdle(at, primary)
	return monitorInterval
}

// inUse reports whether this proxy uses the database's members: it is a gateway, or has run
// a statement recently. A proxy that hands all its sessions over does not use them. Before
// it knows the other proxies, it takes itself for a gateway of each database. The mutex is
// held.
func (d *database) inUse(at entity.Time) bool {
	if d.inUseAsGateway() {
		return true
	}
	return d.lastStatementAt != 0 && at.Sub(d.lastStatementAt) <= localUseWindow
}

// inUseAsGateway reports whether this proxy is known to be a gateway of the database, so that the holder
// of a takeover asks it. The mutex is held.
func (d *database) inUseAsGateway() bool { return d.isGateway && d.proxy.fleetKnown.Load() }

// settled reports whether nothing is left to be done for a database that is not in use: no
// connection is open and no member's entry is missing. The mutex is held.
func (d *database) settled() bool {
	for _, m := range d.members {
		if m.openConns > 0 || m.missingSince != 0 {
			return false
		}
	}
	return true
}

// takeoverDelay returns a random delay before the next attempt. It spreads the attempts of
// the proxies, so that one acquires the claim before the others try.
func takeoverDelay() time.Duration {
	return 150*time.Millisecond + rand.N(250*time.Millisecond)
}
