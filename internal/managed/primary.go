package managed

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// setListedPrimary records that a member's entry now says primary, and wakes the monitor.
// The monitor queries the member, since entries may be out of date.
func (mon *monitor) setListedPrimary(m *member) {
	mon.listedPrimary.Store(m)
	mon.wake()
}

// checkListedPrimary queries the member last listed as primary.
func (mon *monitor) checkListedPrimary() {
	if m := mon.listedPrimary.Swap(nil); m != nil {
		mon.adoptNewestPrimary(mon.queryMembers(Command{Kind: CommandStatus}, []*member{m}))
	}
}

// forgetReplacedPrimary adopts the member last listed as primary without a status call. All
// proxies of a large fleet would otherwise query the new primary after each promotion, most
// of them for a database that they do not use.
func (mon *monitor) forgetReplacedPrimary() {
	if mon.listedPrimary.Swap(nil) == nil {
		return
	}
	d := mon.db
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setPrimary(nil, d.primaryTerm, "listed")
	d.adoptListedPrimary()
}

// findPrimary looks for a primary when none is known, and starts a takeover after
// noPrimaryWait.
func (mon *monitor) findPrimary(at entity.Time) {
	if mon.noPrimarySince == 0 {
		mon.noPrimarySince = at
	}
	mon.db.mu.Lock()
	mon.db.adoptListedPrimary()
	found := mon.db.primary != nil
	mon.db.mu.Unlock()
	if found {
		mon.noPrimarySince = 0
		return
	}
	reports := mon.queryMembers(Command{Kind: CommandStatus}, mon.db.allMembers())
	if mon.adoptNewestPrimary(reports) || anyAtCapacity(reports) {
		mon.noPrimarySince = 0
		return
	}
	if now().Sub(mon.noPrimarySince) > noPrimaryWait {
		mon.takeOver(nil, primaryUnknown)
	}
}

// adoptNewestPrimary makes the reported primary with the newest term the believed primary.
// It reports false if there is none, or if its term is older than the known one.
func (mon *monitor) adoptNewestPrimary(reports []statusReport) bool {
	best := newestPrimary(reports)
	if best == nil {
		return false
	}
	d := mon.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if best.status.Term < d.primaryTerm {
		return false
	}
	mon.misses = 0
	mon.primarySuspected.Store(false)
	d.setPrimary(best.member, best.status.Term, "survey")
	return true
}

// newestPrimary returns the report of the primary with the newest term, nil if there is none.
func newestPrimary(reports []statusReport) *statusReport {
	var best *statusReport
	for i := range reports {
		r := &reports[i]
		if r.err == nil && r.status.Primary && (best == nil || best.status.Term < r.status.Term) {
			best = r
		}
	}
	return best
}

// checkPrimary queries the believed primary. After repeated failures it queries the other
// members for a new primary, and starts a takeover if there is none.
func (mon *monitor) checkPrimary(primary *member) {
	began := now()
	reports := mon.queryMembers(Command{Kind: CommandStatus}, []*member{primary})
	r := reports[0]
	if r.err == nil && r.status.Primary {
		mon.misses = 0
		mon.checkReplication(primary, r.status)
		return
	}
	if r.err == nil {
		mon.db.mu.Lock()
		mon.db.setPrimary(nil, mon.db.primaryTerm, "reports replica")
		mon.db.mu.Unlock()
		return
	}
	if took := now().Sub(began); took > 2*probeTimeout {
		// The call took longer than its timeouts allow, so this VM was suspended and the
		// missing reply means nothing.
		return
	}
	if anyAtCapacity(reports) {
		return
	}
	mon.misses++
	mon.missedAt = began
	mon.db.proxy.events.primaryMissed(mon.db.name, primary, mon.misses, r.err)
	if mon.db.connFailures(primary) >= requestFailureThreshold {
		mon.misses = max(mon.misses, maxMisses)
	}
	if mon.misses < maxMisses {
		return
	}
	// Another proxy may have promoted a member already. While the store is unavailable,
	// this is the only way to learn of it.
	if mon.adoptNewestPrimary(mon.queryMembers(Command{Kind: CommandStatus}, mon.allExcept(primary))) {
		return
	}
	mon.takeOver(primary, primaryUnanswered)
}

// checkReplication clears the suspicion against a primary that answers, unless its replicas
// receive nothing of what it has written: such a primary cannot acknowledge commits and is
// replaced.
func (mon *monitor) checkReplication(primary *member, primaryStatus Status) {
	if !mon.primarySuspected.Load() {
		return
	}
	if !mon.db.replicatesSynchronously() {
		mon.primarySuspected.Store(false)
		return
	}
	before := mon.queryMembers(Command{Kind: CommandStatus}, mon.allExcept(primary))
	if len(pausedReplicas(before, primary)) > 0 {
		// The replicas receive nothing because of their pauses, which a failed proxy has left
		// unless a takeover is in progress.
		mon.settleTakeover(primary)
		return
	}
	if !mon.replicationStalled(primary, primaryStatus, before) {
		mon.primarySuspected.Store(false)
		return
	}
	mon.takeOver(primary, primaryStalled)
}

func (d *database) replicatesSynchronously() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.SyncReplicas > 0
}

// replicationStalled reports whether the replicas that stay, whose first reports are given, are behind
// the primary and receive nothing within stallWindow. If none stays, those that leave count.
func (mon *monitor) replicationStalled(primary *member, primaryStatus Status, reports []statusReport) bool {
	before, ok := furthestReceived(mon.staying(reports))
	if !ok || !before.Less(primaryStatus.Received) {
		return false
	}
	time.Sleep(stallWindow)
	after, ok := furthestReceived(mon.staying(mon.queryMembers(Command{Kind: CommandStatus}, mon.allExcept(primary))))
	return ok && after == before
}

// staying returns the reports of the members that do not leave, all if there are none.
func (mon *monitor) staying(reports []statusReport) []statusReport {
	mon.db.mu.Lock()
	defer mon.db.mu.Unlock()
	stay := slices.DeleteFunc(slices.Clone(reports), func(r statusReport) bool { return r.member.leavingSince != 0 })
	if len(stay) == 0 {
		return reports
	}
	return stay
}
