package managed

import (
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/takeover"
)

const (
	// takeoverLimit bounds one takeover, unless the promotion of the successor of a lost primary
	// is pending. If it expires, another proxy may be able to reach members that this one cannot.
	takeoverLimit = 2500 * time.Millisecond
	// takeoverPollInterval is the interval between status queries during a takeover.
	takeoverPollInterval = 40 * time.Millisecond
	// promoteTimeout bounds one call to the promotion API.
	promoteTimeout = time.Second
	// newPrimaryTimeout is how long to wait for the target to become primary after the
	// call. The platform needs up to 1 s.
	newPrimaryTimeout = 2500 * time.Millisecond
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
	return &takeoverRun{
		monitor: mon, db: mon.db, claim: c, reason: reason, replaced: replaced, startedAt: now(), renewedAt: now(),
		planned:  reason == primaryLeaves || reason == replicasLag,
		progress: takeover.New(reason == primaryStalled), paused: map[entity.Upstream]*member{},
	}
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
	// planned is set while replaced answers as the healthy primary.
	planned   bool
	progress  *takeover.Takeover
	startedAt entity.Time
	renewedAt entity.Time
	// paused are the members that this takeover tried to pause.
	paused map[entity.Upstream]*member
	// fenceUsed is set once a promotion was sent with the claim's current fencing token, ordered
	// once one was sent with any token.
	fenceUsed, ordered bool
	// promotionPending is set while a promotion without an answer may still be carried out late.
	// Members stay paused then.
	promotionPending bool
	// membersRead is set once the members that this proxy did not know have been read from the
	// store.
	membersRead bool
	// fenceRefused is set once the platform refused the fencing token. The token is not
	// used again; the next takeover gets a new one.
	fenceRefused bool
}

func (t *takeoverRun) run() {
	for now().Sub(t.startedAt) < takeoverLimit || t.promotionPending && !t.planned {
		if t.fenceRefused || !t.renewClaim() {
			break
		}
		if !t.membersRead {
			if _, t.membersRead = t.readNewMembers(); !t.membersRead {
				time.Sleep(takeoverPollInterval)
				continue
			}
		}
		reports := t.monitor.queryMembers(Command{Kind: CommandStatus}, t.membersToQuery())
		decision := t.progress.Next(now(), t.view(reports))
		t.db.proxy.events.takeoverStep(t.db.name, decision, t.claim.fence())
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
			t.recordEnd("another primary leads")
			t.end()
			return
		case takeover.StepPromote:
			// A member that was added since the replicas were paused receives commits.
			added, ok := t.readNewMembers()
			if !ok {
				time.Sleep(takeoverPollInterval)
				continue
			}
			if added == 0 && t.promote(reports, decision.Target) {
				// The claim is left to expire, so that no other proxy promotes within its
				// lease time.
				t.recordEnd("promoted")
				return
			}
		}
	}
	t.giveUp()
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
	if t.planned {
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
	v := takeover.View{
		Term:          d.primaryTerm,
		Expected:      groupSize,
		Synchronous:   d.limits.SyncReplicas > 0,
		IncompleteFor: at.Sub(d.membersChangedAt),
	}
	if lost := d.lastReplicaLoss(); lost != 0 {
		v.ReplicaLost, v.LostFor = true, at.Sub(lost)
	}
	if t.replaced != nil && !t.planned {
		v.Members = append(v.Members, takeover.Member{Name: t.replaced.name})
	}
	for i := range reports {
		r := &reports[i]
		m := takeover.Member{
			Name: r.entry.Name, Reached: r.err == nil, Primary: r.status.Primary, Term: r.status.Term,
			PauseTerm: r.status.PauseTerm, Received: r.status.Received, Leaving: r.member.leavingSince != 0,
		}
		switch {
		case r.member == t.replaced:
			v.LeaderHealthy = m.Reached && m.Primary
			// A primary that does not answer is considered lost and is not queried again.
			t.planned = m.Reached
		case r.member == d.primary && !m.Reached:
			t.replaced, t.planned = r.member, false
			v.LeaderHealthy = false
		}
		v.Members = append(v.Members, m)
	}
	if t.replaced != nil {
		v.Leader = t.replaced.name
	}
	return v
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

// resume lifts the pauses of members while the primary is healthy. An earlier order of a
// promotion, also one of another proxy that paused them, must not be carried out after that.
func (t *takeoverRun) resume(members []*member) {
	earlier := slices.ContainsFunc(members, func(m *member) bool { return t.paused[m.name] == nil })
	if (earlier || t.promotionPending) && !t.revokeOrders() {
		time.Sleep(takeoverPollInterval)
		return
	}
	for _, r := range t.monitor.queryMembers(Command{Kind: CommandResume}, members) {
		t.db.proxy.events.memberResumed(t.db.name, r.entry.Name, r.err)
		if r.err == nil {
			delete(t.paused, r.member.name)
		}
	}
	// What follows is a new attempt, with another successor.
	t.startedAt = now()
}

// revokeOrders makes sure that no earlier order of a promotion is carried out any more: it
// promotes the primary, which must have been seen to lead since the claim was acquired, with a
// newer fencing token, and waits until an order that was accepted before has taken effect. It
// reports whether the primary still leads.
func (t *takeoverRun) revokeOrders() bool {
	if added, ok := t.readNewMembers(); !ok || added > 0 {
		return false
	}
	if t.order(t.replaced.name) != orderAccepted {
		return false
	}
	for end := now().Add(newPrimaryTimeout); now() < end; time.Sleep(suspectInterval) {
		r := t.monitor.queryMember(t.replaced, Command{Kind: CommandStatus})
		if r.err != nil || !r.status.Primary || !t.renewClaim() {
			return false
		}
	}
	t.promotionPending = false
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

// order sends the promotion of a member with an unused fencing token.
func (t *takeoverRun) order(target entity.Upstream) orderResult {
	if t.fenceUsed {
		// A repeated promotion needs a new token, so that the platform refuses the earlier
		// one if it arrives late.
		if err := t.claim.writeKey(); err != nil {
			t.db.proxy.events.storeFailed("renew_fence", err)
			return orderRefused
		}
		t.fenceUsed = false
	}
	if !t.claim.validFor(claimMargin) {
		if err := t.claim.renew(); err != nil {
			t.db.proxy.events.storeFailed("keep_claim", err)
			return orderRefused
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	err := t.db.proxy.options.Promoter.Promote(ctx, t.db.name, target, t.db.proxy.settings().VM, t.claim.fence())
	cancel()
	t.db.proxy.events.promotionOrdered(t.db.name, target, t.claim.fence(), err)
	switch {
	case errors.Is(err, ErrNotApplied):
		return orderRefused
	case errors.Is(err, ErrFenced):
		// The target is not running, or another proxy has used a newer token.
		t.fenceRefused = true
		return orderRefused
	}
	t.fenceUsed, t.ordered = true, true
	if err != nil {
		t.promotionPending = true
		return orderUnanswered
	}
	return orderAccepted
}

// promote orders the promotion of a member and waits until it is primary. It reports whether it
// is. An accepted promotion that has had no effect by then never will: its target was lost.
func (t *takeoverRun) promote(reports []statusReport, target entity.Upstream) bool {
	result := t.order(target)
	if result == orderRefused {
		time.Sleep(takeoverPollInterval)
		return false
	}
	if o := t.db.proxy.observer; o != nil && result == orderAccepted {
		o.metrics.ForDatabase(string(t.db.name)).CountPromotion()
	}
	return t.awaitNewPrimary(reports, target)
}

// awaitNewPrimary waits until the target is primary and reports whether it is. It pauses members
// that are added meanwhile: what only they receive would be lost.
func (t *takeoverRun) awaitNewPrimary(reports []statusReport, target entity.Upstream) bool {
	began := now()
	members := membersNamed(reports, []entity.Upstream{target})
	known := map[*member]bool{t.replaced: true}
	for i := range reports {
		known[reports[i].member] = true
	}
	for end := now().Add(newPrimaryTimeout); now() < end; time.Sleep(takeoverPollInterval) {
		if t.monitor.adoptNewestPrimary(t.monitor.queryMembers(Command{Kind: CommandStatus}, members)) {
			t.db.proxy.events.promotionEffective(t.db.name, target, t.claim.fence(), now().Sub(began))
			return true
		}
		var added []*member
		for _, m := range t.db.allMembers() {
			if !known[m] {
				known[m] = true
				added = append(added, m)
			}
		}
		if len(added) > 0 {
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

// liftPauses resumes the members that this takeover paused, unless a promotion is pending.
func (t *takeoverRun) liftPauses() {
	if len(t.paused) == 0 || t.promotionPending {
		return
	}
	members := slices.Collect(maps.Values(t.paused))
	for _, r := range t.monitor.queryMembers(Command{Kind: CommandResume}, members) {
		if r.err != nil {
			t.db.proxy.events.memberFailed(t.db.name, r.entry.Name, "resume", r.err)
		}
	}
}

// giveUp ends a takeover without a promotion. Members stay paused if the primary does not answer
// or a promotion is pending; the next takeover continues from there.
func (t *takeoverRun) giveUp() {
	t.recordEnd("given up")
	if t.planned || t.reason == primaryStalled {
		t.liftPauses()
	}
	t.end()
}

func (t *takeoverRun) recordEnd(outcome string) {
	t.db.proxy.events.takeoverEnded(t.db.name, outcome, t.claim.fence(), t.promotionPending)
}

// end ends the claim. After an order it is left to expire instead, so that no other proxy
// promotes within its lease time. This proxy may acquire it again.
func (t *takeoverRun) end() {
	if !t.ordered {
		t.claim.release()
	}
}

// liftAbandonedPauses resumes replicas left paused by a failed proxy while their primary is
// healthy.
func (mon *monitor) liftAbandonedPauses(primary *member) {
	if now() < mon.nextTakeover {
		return
	}
	t := mon.beginTakeover("claim_release", primary, primaryLeaves)
	if t == nil {
		return
	}
	defer t.end()
	// The members are queried after the claim was acquired: another proxy may have promoted one
	// of them until then.
	reports := mon.queryMembers(Command{Kind: CommandStatus}, mon.db.allMembers())
	if !leadsAlone(reports, primary) {
		mon.adoptNewestPrimary(reports)
		return
	}
	if paused := pausedReplicas(reports, primary); len(paused) > 0 {
		t.resume(paused)
	}
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
