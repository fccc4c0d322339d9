package managed

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"slices"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/takeover"
)

const (
	// takeoverLimit bounds one takeover, unless orders are open while no primary is known to lead. If it
	// expires, another proxy may be able to reach members that this one cannot.
	takeoverLimit = 2500 * time.Millisecond
	// takeoverPollInterval is the interval between status queries during a takeover.
	takeoverPollInterval = 40 * time.Millisecond
	// promoteTimeout bounds one call to the promotion API.
	promoteTimeout = time.Second
	// newPrimaryTimeout is how long to wait for the target to become primary after the
	// call. The platform needs up to 1 s.
	newPrimaryTimeout = 2500 * time.Millisecond
	// maxTakeover bounds a takeover with open orders while no primary is known to lead.
	maxTakeover = 10 * time.Second
	// unansweredOrderWait is how long to wait for the effect of an order without an answer, after
	// promoteTimeout, before it is repeated.
	unansweredOrderWait = 300 * time.Millisecond
	// claimMargin is the minimum remaining time of the claim when a promotion is sent.
	claimMargin = promoteTimeout
)

// takeoverReason is why a primary is replaced.
type takeoverReason string

// The reasons. Only with the first two the primary is healthy.
const (
	primaryLeaves     takeoverReason = "leaving"
	replicasLag       takeoverReason = "replicas lag"
	primaryStalled    takeoverReason = "primary does not replicate"
	primaryUnanswered takeoverReason = "primary does not answer"
	primaryUnknown    takeoverReason = "no member leads"
)

// takeOver replaces a primary, nil if none is known, if this proxy acquires the claim. Another
// member may have become the believed primary by the time the claim is acquired.
func (mon *monitor) takeOver(replaced *member, reason takeoverReason) {
	if now() < mon.nextTakeover || !mon.db.membersSettled() {
		return
	}
	t := mon.beginTakeover("claim_takeover", replaced, reason)
	if t == nil {
		return
	}
	mon.db.proxy.events.takeoverBegan(mon.db.name, string(reason), t.claim.fence())
	t.run()
	mon.misses = 0
}

// beginTakeover acquires the claim. It returns nil on failure.
func (mon *monitor) beginTakeover(step string, replaced *member, reason takeoverReason) *takeoverRun {
	c := mon.acquireClaim(step)
	if c == nil {
		return nil
	}
	mon.db.setOwnClaim(c)
	t := &takeoverRun{
		announcer: newAnnouncer(mon.db, c.revision),
		monitor:   mon, db: mon.db, claim: c, reason: reason, replaced: replaced, startedAt: now(), renewedAt: now(),
		planned: reason == primaryLeaves || reason == replicasLag, keepLeader: reason == primaryStalled,
		progress: takeover.New(reason == primaryStalled), paused: map[entity.Upstream]*member{},
	}
	t.answers = t.planned || reason == primaryStalled
	t.announcer.announce()
	return t
}

// acquireClaim acquires the claim of the database. It returns nil on failure.
func (mon *monitor) acquireClaim(step string) *claim {
	mon.nextTakeover = now().Add(takeoverDelay())
	c, err := mon.db.proxy.claimTakeover(mon.db)
	if err == nil {
		return c
	}
	if !errors.Is(err, errClaimHeld) {
		mon.db.proxy.events.storeFailed(step, err)
	}
	return nil
}

// settleTime is how long the member list must have been stable before a takeover. Entries
// that expired during a store outage are restored within 2 s of its end.
const settleTime = 3 * time.Second

// membersSettled reports whether settleTime has passed since a member was added to an
// incomplete group, so that the listed members can be assumed to be complete.
func (d *database) membersSettled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now().Sub(d.memberAddedAt) >= settleTime
}

// takeoverRun is one takeover performed by this proxy.
type takeoverRun struct {
	monitor *monitor
	db      *database
	claim   *claim
	reason  takeoverReason
	// replaced is the primary to replace, nil if none was known. A primary that becomes
	// known during the takeover ends it, unless that one does not answer either.
	replaced *member
	// planned is set while replaced answers as the healthy primary, answers while it answers as the
	// primary, whether it replicates or not.
	planned, answers bool
	// leaderMisses counts the latest calls that replaced has not answered.
	leaderMisses int
	// leaderReceived is the end of the log of replaced in its latest status, zero if unknown.
	leaderReceived entity.Position
	// keepLeader is set if replaced, while it is healthy, is to be replaced only by the target of an
	// open order.
	keepLeader bool
	progress   *takeover.Takeover
	startedAt  entity.Time
	renewedAt  entity.Time
	// paused are the members that this takeover tried to pause.
	paused map[entity.Upstream]*member
	// orders are the open orders. Members other than their targets stay paused while there are any.
	orders orderLog
	// term is the highest term that a member knew when the last decision was made.
	term uint64
	// recordedAt is the revision of the record of open orders that this takeover read or wrote last. If
	// another holder has written it since, the next write fails.
	recordedAt Revision
	// logged is the last decision that was logged.
	logged takeover.Decision
	// announcer tells the other gateways of the takeover.
	announcer *announcer
	// ordered is set once an order was sent.
	ordered bool
	// prepared is set once the open orders and the members that this proxy did not know have been
	// read from the store.
	prepared bool
	// fenceRefused is set once the platform refused the fencing token. The token is not
	// used again; the next takeover gets a new one.
	fenceRefused bool
}

func (t *takeoverRun) run() {
	for now().Sub(t.startedAt) < t.limit() {
		if t.fenceRefused || !t.renewClaim() {
			break
		}
		if !t.prepare() {
			time.Sleep(takeoverPollInterval)
			continue
		}
		reports := t.monitor.queryMembers(Command{Kind: CommandStatus}, t.membersToQuery())
		t.announcer.announce()
		t.followPrimary(reports)
		if t.leaderMissed(reports) {
			time.Sleep(takeoverPollInterval)
			continue
		}
		view := t.view(reports)
		decision := t.progress.Next(now(), view)
		t.logStep(&view, decision)
		switch decision.Step {
		case takeover.StepWait:
			time.Sleep(takeoverPollInterval)
		case takeover.StepPause:
			t.pause(membersNamed(reports, decision.Members), decision.Term)
		case takeover.StepResume:
			t.resume(membersNamed(reports, decision.Members))
		case takeover.StepDone:
			t.monitor.adoptNewestPrimary(reports)
			t.liftPauses()
			t.conclude("another primary leads")
			return
		case takeover.StepRevoke:
			if t.revokeOrders(t.replaced) {
				t.startedAt = now()
			} else {
				time.Sleep(takeoverPollInterval)
			}
		case takeover.StepPromote:
			if t.announcer.wait(); t.reportsChanged(&view, decision.Target) {
				continue
			}
			// A member that was added since the replicas were paused receives commits.
			added, ok := t.readNewMembers()
			if !ok {
				time.Sleep(takeoverPollInterval)
				continue
			}
			if added > 0 || !t.promote(reports, decision.Target) {
				continue
			}
			if !t.orderedOtherThan(decision.Target) {
				t.conclude("promoted")
				return
			}
			t.startedAt = now()
		}
	}
	t.giveUp()
}

// leaderMissed reports whether the primary to replace, which answered until now, has not answered the
// latest calls but may answer the next one.
func (t *takeoverRun) leaderMissed(reports []statusReport) bool {
	i := slices.IndexFunc(reports, func(r statusReport) bool { return r.member == t.replaced })
	if i < 0 || reports[i].err == nil {
		t.leaderMisses = 0
		return false
	}
	t.leaderMisses++
	t.monitor.missedAt = now()
	return t.leaderMisses < maxMisses
}

// reportsChanged reports whether the target of a failover is not known any more to hold what other
// proxies have reported, since they have answered after the decision.
func (t *takeoverRun) reportsChanged(v *takeover.View, target entity.Upstream) bool {
	if !v.Synchronous || v.LeaderHealthy && !t.progress.LeaderStalled() {
		return false
	}
	t.db.mu.Lock()
	defer t.db.mu.Unlock()
	newest, complete := t.announcer.newestReported()
	if v.ReportsComplete && !complete {
		return true
	}
	return v.Reported != newest.position && slices.ContainsFunc(v.Members, func(m takeover.Member) bool {
		return m.Name == target && m.Received.Less(newest.position)
	})
}

// logStep logs a decision unless it only repeats the wait of the last one.
func (t *takeoverRun) logStep(v *takeover.View, d takeover.Decision) {
	repeated := d.Step == takeover.StepWait && t.logged.Step == d.Step && t.logged.Reason == d.Reason
	t.logged = d
	if !repeated {
		t.db.proxy.events.takeoverStep(t.db.name, v, d, t.claim.fence())
	}
}

// followPrimary goes on with a primary that leads instead of the one to replace while an order with
// another target is open.
func (t *takeoverRun) followPrimary(reports []statusReport) {
	if !t.monitor.adoptNewestPrimary(reports) {
		return
	}
	primary := newestPrimary(reports).member
	t.orders.expire(now())
	t.orders.leads(primary.name)
	if primary == t.replaced || !t.orderedOtherThan(primary.name) {
		return
	}
	t.replaced, t.planned, t.answers, t.keepLeader = primary, true, true, true
	t.leaderReceived = entity.Position{}
	t.progress = takeover.New(false)
}

// limit returns the time that the takeover may take. Without a primary, one that has open orders goes
// on for longer: another proxy would begin with them only after the claim has expired.
func (t *takeoverRun) limit() time.Duration {
	if len(t.orders.open) > 0 && !t.planned {
		return maxTakeover
	}
	return takeoverLimit
}

// prepare reads from the store what happened until the claim was acquired: the open orders and the
// members that this proxy does not know. It reports false if the store does not answer.
func (t *takeoverRun) prepare() bool {
	if t.prepared {
		return true
	}
	var loaded error
	var wait sync.WaitGroup
	wait.Go(func() { loaded = t.db.loadOrders() })
	_, read := t.readNewMembers()
	wait.Wait()
	if loaded != nil {
		t.db.proxy.events.storeFailed("read_orders", loaded)
	}
	if loaded != nil || !read {
		return false
	}
	record := t.db.openOrders()
	t.orders, t.recordedAt = orderLog{}, record.revision
	t.orders.inherit(record.Targets)
	t.prepared = true
	return true
}

// orderedOtherThan reports whether an order is open with another target than the given member.
func (t *takeoverRun) orderedOtherThan(name entity.Upstream) bool {
	return slices.ContainsFunc(t.orders.open, func(o sentOrder) bool { return o.target != name })
}

// readNewMembers adds the members that this proxy does not know yet and returns their number.
// It reports false if the store does not answer.
func (t *takeoverRun) readNewMembers() (added int, ok bool) {
	added, err := t.db.readNewMembers()
	if err != nil {
		t.db.proxy.events.storeFailed("read_members", err)
	}
	return added, err == nil
}

// membersToQuery returns the members to query. A lost primary is skipped: waiting for it
// would prolong the write outage. The monitor does nothing else during a takeover, so members
// whose entries have expired are removed here.
func (t *takeoverRun) membersToQuery() []*member {
	t.db.mu.Lock()
	t.db.removeExpiredMembers(now())
	t.db.mu.Unlock()
	members := t.db.allMembers()
	if t.answers {
		return members
	}
	return slices.DeleteFunc(members, func(m *member) bool { return m == t.replaced })
}

// renewClaim renews the claim if due. It reports false if the claim may have expired.
func (t *takeoverRun) renewClaim() bool {
	if now().Sub(t.renewedAt) >= claimRenewalInterval {
		if err := t.claim.renew(); err != nil {
			t.db.proxy.events.storeFailed("keep_claim", err)
		} else {
			t.renewedAt = now()
		}
	}
	return t.claim.validFor(0)
}

// view converts the members' replies to the input of takeover.Decide.
func (t *takeoverRun) view(reports []statusReport) takeover.View {
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	t.orders.expire(at)
	t.term = d.primaryTerm
	v := takeover.View{
		Ordered:       t.orders.targets(),
		KeepLeader:    t.keepLeader,
		Term:          d.primaryTerm,
		Expected:      groupSize,
		Synchronous:   d.limits.SyncReplicas > 0,
		IncompleteFor: at.Sub(d.membersChangedAt),
	}
	if lost := d.lastReplicaLoss(); lost != 0 {
		v.ReplicaLost, v.LostFor = true, at.Sub(lost)
	}
	if v.Synchronous {
		newest, complete := t.announcer.newestReported()
		v.Reported, v.ReportedAtLeast, v.ReportsComplete = newest.position, newest.atLeast, complete
		v.Departed = t.announcer.replicaDeparted(at) || !complete && at.Sub(d.recordedSince) < unknownDepartures
	}
	if t.replaced != nil && !t.answers {
		v.Members = append(v.Members, takeover.Member{Name: t.replaced.name})
	}
	for i := range reports {
		r := &reports[i]
		m := takeover.Member{
			Name: r.entry.Name, Reached: r.err == nil, Primary: r.status.Primary, Term: r.status.Term,
			PauseTerm: r.status.PauseTerm, Received: r.status.Received, Leaving: r.member.leavingSince != 0,
		}
		t.term = max(t.term, m.Term)
		switch {
		case r.member == t.replaced:
			v.LeaderHealthy = m.Reached && m.Primary
			v.LeaderAnswers = v.LeaderHealthy
			if m.Reached {
				t.leaderReceived = m.Received
			}
			// A primary that does not answer is considered lost and is not queried again.
			t.planned, t.answers = t.planned && m.Reached, v.LeaderHealthy
		case r.member == d.primary && !m.Reached:
			t.replaced, t.planned, t.answers = r.member, false, false
			v.LeaderHealthy, v.LeaderAnswers = false, false
		}
		v.Members = append(v.Members, m)
	}
	if t.replaced != nil {
		v.Leader = t.replaced.name
		v.LeaderAnswers = v.LeaderAnswers || t.announcer.reached(v.Leader, t.monitor.missedAt)
		v.LeaderReceived = t.leaderReceived
	}
	v.BehindFor = d.behindFor(&v, at)
	return v
}

// behindFor returns the time for which no primary has answered while no replica was known to hold all
// reported commits, also in earlier takeovers of this proxy. The mutex is held.
func (d *database) behindFor(v *takeover.View, at entity.Time) time.Duration {
	if v.LeaderAnswers || !v.Behind() {
		d.behindSince = 0
		return 0
	}
	if d.behindSince == 0 {
		d.behindSince = at
	}
	return at.Sub(d.behindSince)
}

// groupSize is the number of members of a complete group.
const groupSize = 3

// membersNamed returns the members with the given names among those of the reports.
func membersNamed(reports []statusReport, names []entity.Upstream) []*member {
	var members []*member
	for i := range reports {
		if slices.Contains(names, reports[i].entry.Name) {
			members = append(members, reports[i].member)
		}
	}
	return members
}

func (t *takeoverRun) pause(members []*member, term uint64) {
	for _, m := range members {
		t.paused[m.name] = m
	}
	for _, r := range t.monitor.queryMembers(Command{Kind: CommandPause, Term: term}, members) {
		if r.err != nil {
			t.db.proxy.events.memberFailed(t.db.name, r.entry.Name, "pause", r.err)
		}
	}
}

// resume lifts the pauses of members while a primary leads. Unless all are targets of open orders,
// no open order may be left.
func (t *takeoverRun) resume(members []*member) {
	targets := t.orders.targets()
	onlyTargets := !slices.ContainsFunc(members, func(m *member) bool { return !slices.Contains(targets, m.name) })
	if !onlyTargets && t.mustRevoke(members) && !t.revokeOrders(t.replaced) {
		time.Sleep(takeoverPollInterval)
		return
	}
	if t.sendResume(members) {
		// What follows is a new attempt, with another successor.
		t.startedAt = now()
	} else {
		time.Sleep(takeoverPollInterval)
	}
}

// mustRevoke reports whether an order may be open before the pauses of members are lifted. Pauses
// that another proxy left may belong to an order whose record a restore of the store has lost.
func (t *takeoverRun) mustRevoke(members []*member) bool {
	if len(t.orders.open) > 0 {
		return true
	}
	record := t.db.openOrders()
	return !record.complete() && slices.ContainsFunc(members, func(m *member) bool { return t.paused[m.name] == nil })
}

// sendResume lifts the pauses of members, unless they may be those of another holder. It reports
// whether any did so.
func (t *takeoverRun) sendResume(members []*member) (resumed bool) {
	if !t.claim.validFor(0) {
		return false
	}
	for _, r := range t.monitor.queryMembers(Command{Kind: CommandResume}, members) {
		t.db.proxy.events.memberResumed(t.db.name, r.entry.Name, r.err)
		if r.err == nil {
			delete(t.paused, r.member.name)
			resumed = true
		}
	}
	return resumed
}

// revokeOrders makes sure that no earlier order of a promotion is carried out any more: it
// promotes a member that has been seen to lead since the claim was acquired, with a newer fencing
// token, and waits until an order that was accepted before has taken effect. It reports whether
// the member still leads.
func (t *takeoverRun) revokeOrders(leader *member) bool {
	if added, ok := t.readNewMembers(); !ok || added > 0 {
		return false
	}
	if !t.orders.acceptedFor(leader.name) && t.order(leader.name, leader) != orderAccepted {
		return false
	}
	for end := t.orders.acceptedAt.Add(newPrimaryTimeout); now() < end; time.Sleep(suspectInterval) {
		r := t.monitor.queryMember(leader, Command{Kind: CommandStatus})
		if r.err != nil || !r.status.Primary || !t.renewClaim() {
			return false
		}
	}
	t.orders.expire(now())
	return true
}

// orderResult is what is known of an order of a promotion.
type orderResult int

const (
	// orderRefused orders are not carried out; some were not even sent.
	orderRefused orderResult = iota
	orderAccepted
	// orderUnanswered orders may be carried out late.
	orderUnanswered
)

// order records the promotion of a member and sends it. The revision of the record is the fencing
// token, so that the platform refuses every earlier order that arrives late. The leader, nil if none
// answers, must not have been replaced by an earlier order until the record is written.
func (t *takeoverRun) order(target entity.Upstream, leader *member) orderResult {
	t.orders.add(target)
	if err := t.writeOrders(false); err != nil {
		t.orders.refused()
		t.db.proxy.events.storeFailed("record_order", err)
		// The record may have been written, by this proxy or by the holder of a newer claim.
		t.prepared = false
		return orderRefused
	}
	if len(t.orders.open) > 1 && !t.stillLeads(leader) {
		// What the target of another order acknowledges was confirmed without this one.
		t.orders.refused()
		return orderRefused
	}
	if !t.claim.validFor(claimMargin) {
		if err := t.claim.renew(); err != nil {
			t.orders.refused()
			t.db.proxy.events.storeFailed("keep_claim", err)
			return orderRefused
		}
	}
	fence := t.recordedAt.FencingToken()
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	err := t.db.proxy.options.Promoter.Promote(ctx, t.db.name, target, t.db.proxy.settings().VM, fence)
	cancel()
	t.db.proxy.events.promotionOrdered(t.db.name, target, fence, err)
	switch {
	case errors.Is(err, ErrNotApplied):
		t.orders.refused()
		return orderRefused
	case errors.Is(err, ErrFenced):
		// The target is not running, or another proxy has used a newer token.
		t.orders.refused()
		t.fenceRefused = true
		return orderRefused
	}
	t.ordered = true
	if err != nil {
		return orderUnanswered
	}
	t.orders.acceptedLast(now())
	return orderAccepted
}

// stillLeads reports whether a member leads, or for nil whether none that answers does, and no
// member knows of a later promotion than the decision did.
func (t *takeoverRun) stillLeads(leader *member) bool {
	reports := t.monitor.queryMembers(Command{Kind: CommandStatus}, t.membersToQuery())
	newest := newestPrimary(reports)
	if newest == nil && leader != nil || newest != nil && newest.member != leader {
		return false
	}
	return !slices.ContainsFunc(reports, func(r statusReport) bool { return r.err == nil && r.status.Term > t.term })
}

// writeOrders writes the record of open orders. On an error it may have been written.
func (t *takeoverRun) writeOrders(concluded bool) error {
	d := t.db
	record := orderRecord{Epoch: t.claim.lease.Epoch, Claim: t.claim.revision.Number, Targets: t.orders.targets(), Concluded: concluded}
	value, err := json.Marshal(&record)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	// Without a lease the record outlasts this proxy.
	epoch := t.claim.lease.Epoch
	number, err := d.proxy.options.Store.Put(ctx, ordersPrefix+string(d.name), value, t.recordedAt.Number, Lease{Epoch: epoch})
	if err != nil {
		return err
	}
	t.recordedAt = Revision{epoch, number}
	record.revision = t.recordedAt
	d.setOrders(record)
	return nil
}

// promote orders the promotion of a member and waits until it is primary. It reports whether it
// is. An accepted promotion that has had no effect by then never will: its target was lost. One
// without an answer is ordered again after a shorter time.
func (t *takeoverRun) promote(reports []statusReport, target entity.Upstream) bool {
	var resumed sync.WaitGroup
	if !t.planned {
		// A lost primary may be alive and acknowledge commits to other proxies. The target must
		// hold them.
		resumed.Go(func() { t.sendResume(pausedAmong(membersNamed(reports, []entity.Upstream{target}), reports)) })
	}
	var leader *member
	if t.answers {
		leader = t.replaced
	}
	result := t.order(target, leader)
	resumed.Wait()
	wait := newPrimaryTimeout
	switch result {
	case orderRefused:
		time.Sleep(takeoverPollInterval)
		return false
	case orderUnanswered:
		wait = unansweredOrderWait
	case orderAccepted:
		if o := t.db.proxy.observer; o != nil {
			o.metrics.ForDatabase(string(t.db.name)).CountPromotion()
		}
	}
	return t.awaitNewPrimary(reports, target, wait)
}

// pausedAmong returns the members that are paused according to their reports.
func pausedAmong(members []*member, reports []statusReport) []*member {
	return slices.DeleteFunc(members, func(m *member) bool {
		return !slices.ContainsFunc(reports, func(r statusReport) bool { return r.member == m && r.err == nil && r.status.PauseTerm != 0 })
	})
}

// awaitNewPrimary waits until the target is primary and reports whether it is. It pauses members
// that are added or restart meanwhile: what only they receive would be lost.
func (t *takeoverRun) awaitNewPrimary(reports []statusReport, target entity.Upstream, wait time.Duration) bool {
	began := now()
	members := membersNamed(reports, []entity.Upstream{target})
	known := map[entity.Upstream]int64{target: 0}
	if t.replaced != nil {
		known[t.replaced.name] = 0
	}
	for i := range reports {
		known[reports[i].entry.Name] = reports[i].entry.Incarnation
	}
	for end := now().Add(wait); now() < end; time.Sleep(takeoverPollInterval) {
		if t.monitor.adoptNewestPrimary(t.monitor.queryMembers(Command{Kind: CommandStatus}, members)) {
			t.db.proxy.events.promotionEffective(t.db.name, target, t.recordedAt.FencingToken(), now().Sub(began))
			return true
		}
		if added := t.db.startedMembers(known, target); len(added) > 0 {
			t.pause(added, pauseTerm(reports))
		}
		t.renewClaim()
	}
	return false
}

// pauseTerm returns a term for which members can be paused, given the reports of the others.
func pauseTerm(reports []statusReport) uint64 {
	newest := uint64(0)
	for i := range reports {
		newest = max(newest, reports[i].status.Term, reports[i].status.PauseTerm)
	}
	return newest + 1
}

// liftPauses resumes the members that this takeover paused.
func (t *takeoverRun) liftPauses() {
	if len(t.paused) == 0 {
		return
	}
	t.sendResume(slices.Collect(maps.Values(t.paused)))
}

// conclude ends a takeover after which a member leads and no order with another target is open.
func (t *takeoverRun) conclude(outcome string) {
	t.db.proxy.events.takeoverEnded(t.db.name, outcome, t.claim.fence(), len(t.orders.open))
	if len(t.orders.open) > 1 {
		// Another order for the member that leads may have been carried out and take effect yet. Only
		// this proxy can acquire the claim before.
		t.monitor.nextTakeover = now().Add(newPrimaryTimeout)
	}
	t.orders.open = nil
	if t.claim.validFor(0) && (t.ordered || len(t.db.openOrders().Targets) > 0) {
		if err := t.writeOrders(true); err != nil {
			t.db.proxy.events.storeFailed("conclude_orders", err)
		}
	}
	t.end()
}

// giveUp ends a takeover without a promotion. Members stay paused if the primary does not answer
// or an order is open; the next takeover continues from there.
func (t *takeoverRun) giveUp() {
	t.orders.expire(now())
	t.db.proxy.events.takeoverEnded(t.db.name, "given up", t.claim.fence(), len(t.orders.open))
	// Without a valid claim the pauses may be those of another proxy.
	held := t.prepared && t.claim.validFor(0)
	if held && !t.fenceRefused && len(t.orders.open) == 0 && (t.planned || t.reason == primaryStalled) {
		t.liftPauses()
	}
	if held && !slices.Equal(t.orders.targets(), t.db.openOrders().Targets) {
		if err := t.writeOrders(len(t.orders.open) == 0); err != nil {
			t.db.proxy.events.storeFailed("record_orders", err)
		}
	}
	t.end()
}

// end ends the claim. After an order it is left to expire instead, so that no other proxy
// promotes within its lease time. This proxy may acquire it again.
func (t *takeoverRun) end() {
	t.db.setOwnClaim(nil)
	if !t.ordered {
		t.claim.release()
	}
}

// settleTakeover ends what a failed proxy left while the primary is healthy: open orders, and
// replicas that are paused.
func (mon *monitor) settleTakeover(primary *member) {
	if now() < mon.nextTakeover {
		return
	}
	t := mon.beginTakeover("claim_release", primary, primaryLeaves)
	if t == nil {
		return
	}
	switch {
	case !t.prepare():
		t.giveUp()
	case t.orderedOtherThan(primary.name):
		t.keepLeader = true
		t.run()
	case t.liftAbandonedPauses(primary):
		t.conclude("settled")
	default:
		t.giveUp()
	}
}

// liftAbandonedPauses resumes the paused replicas of a healthy primary. It reports whether they
// are resumed and the primary still leads.
func (t *takeoverRun) liftAbandonedPauses(primary *member) bool {
	mon := t.monitor
	// The members are queried after the claim was acquired: another proxy may have promoted one
	// of them until then.
	reports := mon.queryMembers(Command{Kind: CommandStatus}, t.db.allMembers())
	if !leadsAlone(reports, primary) {
		mon.adoptNewestPrimary(reports)
		return false
	}
	t.orders.leads(primary.name)
	paused := pausedReplicas(reports, primary)
	if len(paused) > 0 && t.mustRevoke(paused) && !t.revokeOrders(primary) {
		return false
	}
	t.sendResume(paused)
	return true
}

// leadsAlone reports whether a member is the only one that reports to be primary.
func leadsAlone(reports []statusReport, primary *member) bool {
	leads := false
	for i := range reports {
		r := &reports[i]
		if r.err == nil && r.status.Primary {
			if r.member != primary {
				return false
			}
			leads = true
		}
	}
	return leads
}

// pausedReplicas returns the replicas that report to be paused.
func pausedReplicas(reports []statusReport, primary *member) []*member {
	var paused []*member
	for i := range reports {
		r := &reports[i]
		if r.member != primary && r.err == nil && r.status.PauseTerm != 0 {
			paused = append(paused, r.member)
		}
	}
	return paused
}
