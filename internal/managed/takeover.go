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
	// takeoverLimit bounds one takeover unless a promotion is pending. If it expires, another
	// proxy may be able to reach members that this one cannot.
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

// takeOver replaces a primary, nil if none is known, if this proxy acquires the claim.
// planned is set if that primary is healthy. Another member may have become the believed
// primary by the time the claim is acquired.
func (mon *monitor) takeOver(replaced *member, planned bool, reason string) {
	d := mon.db
	if now() < mon.nextTakeover || !d.membersSettled() {
		return
	}
	c := mon.acquireClaim("claim_takeover")
	if c == nil {
		return
	}
	t := &takeoverRun{monitor: mon, db: d, claim: c, replaced: replaced, planned: planned, startedAt: now()}
	d.proxy.events.takeoverBegan(d.name, reason, c.fence())
	t.run()
	mon.misses = 0
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
	// replaced is the primary to replace, nil if none was known. A primary that becomes
	// known during the takeover ends it, unless that one does not answer either.
	replaced *member
	// planned is set while replaced is healthy.
	planned   bool
	startedAt entity.Time
	renewedAt entity.Time
	// paused are the members that this takeover tried to pause.
	paused map[entity.Upstream]*member
	// promotionPending is set once a promotion was sent whose outcome is unknown. Members stay
	// paused then, since the promotion may be carried out late.
	promotionPending bool
	// membersRead is set once the members that other proxies may use by now have been read.
	membersRead bool
	// fenceRefused is set once the platform refused the fencing token. The token is not
	// used again; the next takeover gets a new one.
	fenceRefused bool
}

func (t *takeoverRun) run() {
	t.renewedAt = t.startedAt
	for now().Sub(t.startedAt) < takeoverLimit || t.promotionPending {
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
		decision := takeover.Decide(t.view(reports))
		t.db.proxy.events.takeoverStep(t.db.name, decision, t.claim.fence())
		switch decision.Step {
		case takeover.StepWait:
			time.Sleep(takeoverPollInterval)
		case takeover.StepPause:
			t.pause(reports, decision)
		case takeover.StepDone:
			t.monitor.adoptNewestPrimary(reports)
			t.liftPauses()
			t.claim.release()
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
// would prolong the write outage.
func (t *takeoverRun) membersToQuery() []*member {
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
	v := takeover.View{
		Term:          d.primaryTerm,
		Expected:      groupSize,
		IncompleteFor: now().Sub(d.membersChangedAt),
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

func (t *takeoverRun) pause(reports []statusReport, decision takeover.Decision) {
	var members []*member
	for i := range reports {
		for _, name := range decision.Pause {
			if reports[i].entry.Name == name {
				members = append(members, reports[i].member)
			}
		}
	}
	if t.paused == nil {
		t.paused = map[entity.Upstream]*member{}
	}
	for _, m := range members {
		t.paused[m.name] = m
	}
	for _, r := range t.monitor.queryMembers(Command{Kind: CommandPause, Term: decision.Term}, members) {
		if r.err != nil {
			t.db.proxy.events.memberFailed(t.db.name, r.entry.Name, "pause", r.err)
		}
	}
}

// promote sends the promotion and waits until the target is primary. It reports whether it
// is.
func (t *takeoverRun) promote(reports []statusReport, target entity.Upstream) bool {
	if t.promotionPending {
		// A repeated promotion needs a new token, so that the platform refuses the earlier
		// one if it arrives late.
		if err := t.claim.writeKey(); err != nil {
			t.db.proxy.events.storeFailed("renew_fence", err)
			time.Sleep(takeoverPollInterval)
			return false
		}
	}
	if !t.claim.validFor(claimMargin) {
		if err := t.claim.renew(); err != nil {
			t.db.proxy.events.storeFailed("keep_claim", err)
			return false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	err := t.db.proxy.options.Promoter.Promote(ctx, t.db.name, target, t.db.proxy.settings().VM, t.claim.fence())
	cancel()
	t.db.proxy.events.promotionOrdered(t.db.name, target, t.claim.fence(), err)
	switch {
	case errors.Is(err, ErrNotApplied):
		time.Sleep(takeoverPollInterval)
		return false
	case errors.Is(err, ErrFenced):
		// The target is not running, or another proxy has used a newer token.
		t.fenceRefused = true
		return false
	}
	t.promotionPending = true
	if o := t.db.proxy.observer; o != nil && err == nil {
		o.metrics.ForDatabase(string(t.db.name)).CountPromotion()
	}
	return t.awaitNewPrimary(reports, target)
}

func (t *takeoverRun) awaitNewPrimary(reports []statusReport, target entity.Upstream) bool {
	var members []*member
	for i := range reports {
		if reports[i].entry.Name == target {
			members = append(members, reports[i].member)
		}
	}
	for end := now().Add(newPrimaryTimeout); now() < end; time.Sleep(takeoverPollInterval) {
		answers := t.monitor.queryMembers(Command{Kind: CommandStatus}, members)
		if t.monitor.adoptNewestPrimary(answers) {
			return true
		}
		t.renewClaim()
	}
	return false
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

// giveUp ends a takeover without a promotion. Members stay paused if the primary is lost or
// a promotion is pending; the next takeover continues from there.
func (t *takeoverRun) giveUp() {
	t.db.proxy.events.takeoverGivenUp(t.db.name, t.claim.fence())
	if t.planned {
		t.liftPauses()
	}
	t.claim.release()
}

// liftAbandonedPauses resumes replicas left paused by a failed proxy. It first promotes the
// current primary again with a newer fencing token, so that the platform refuses a late
// promotion from that proxy.
func (mon *monitor) liftAbandonedPauses(primary *member, paused []*member) {
	d := mon.db
	if now() < mon.nextTakeover {
		return
	}
	c := mon.acquireClaim("claim_release")
	if c == nil {
		return
	}
	defer c.release()
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	defer cancel()
	err := d.proxy.options.Promoter.Promote(ctx, d.name, primary.name, d.proxy.settings().VM, c.fence())
	d.proxy.events.promotionOrdered(d.name, primary.name, c.fence(), err)
	if err != nil {
		return
	}
	for _, r := range mon.queryMembers(Command{Kind: CommandResume}, paused) {
		d.proxy.events.memberResumed(d.name, r.entry.Name, r.err)
	}
}
