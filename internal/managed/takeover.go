package managed

import (
	"context"
	"errors"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/takeover"
)

const (
	// takeoverLimit bounds one takeover; another proxy may reach what this one
	// does not.
	takeoverLimit = 2500 * time.Millisecond
	// surveyPause is the time between two surveys of a takeover.
	surveyPause = 40 * time.Millisecond
	// promoteTimeout bounds the call that orders a promotion.
	promoteTimeout = time.Second
	// leadTimeout is how long the named member may take to lead. The platform
	// needs up to a second.
	leadTimeout = 2500 * time.Millisecond
	// claimMargin is the time left on the claim when an order is sent.
	claimMargin = promoteTimeout
)

// takeOver promotes a successor if this proxy gets the claim.
func (s *monitor) takeOver(leaving bool, reason string) {
	d := s.db
	if now() < s.nextTakeover || !d.settled() {
		return
	}
	c := s.claim("claim_takeover")
	if c == nil {
		return
	}
	t := &takeoverRun{monitor: s, db: d, claim: c, leaving: leaving, began: now()}
	d.proxy.events.takeoverBegan(d.name, reason, c.fence)
	t.run()
	s.misses = 0
}

// claim asks for the claim of the database, nil if this proxy does not get it.
func (s *monitor) claim(step string) *claim {
	s.nextTakeover = now().Add(takeoverPause())
	c, err := s.db.proxy.claimTakeover(s.db)
	if err == nil {
		return c
	}
	if !errors.Is(err, errClaimHeld) {
		s.db.proxy.events.storeFailed(step, err)
	}
	return nil
}

// settleTime is how long a proxy that has just started takes no lost primary over.
// Entries that lapsed with the store are back within two seconds of its return.
const settleTime = 3 * time.Second

// settled reports whether the listed members are the whole group, as far as time
// can tell.
func (d *database) settled() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return now().Sub(d.listedSince) >= settleTime
}

// takeoverRun is one takeover by this proxy.
type takeoverRun struct {
	monitor *monitor
	db      *database
	claim   *claim
	leaving bool
	began   entity.Time
	renewed entity.Time
	paused  map[entity.Upstream]*member
	// ordered is set once an order was sent whose outcome is open. Pauses are
	// not lifted then, since the order may be carried out late.
	ordered bool
	// refused is set once the platform refused the fence token. It is not used
	// again: the next takeover has a new one.
	refused bool
}

func (t *takeoverRun) run() {
	t.renewed = t.began
	for now().Sub(t.began) < takeoverLimit || t.ordered {
		if t.refused || !t.renew() {
			break
		}
		reports := t.monitor.survey(Command{Kind: CommandStatus}, t.asked())
		decision := takeover.Decide(t.view(reports))
		t.db.proxy.events.takeoverStep(t.db.name, decision, t.claim.fence)
		switch decision.Step {
		case takeover.StepWait:
			time.Sleep(surveyPause)
		case takeover.StepPause:
			t.pause(reports, decision)
		case takeover.StepDone:
			t.monitor.adopt(reports)
			t.claim.end()
			return
		case takeover.StepPromote:
			if t.promote(reports, decision.Target) {
				// The claim lapses by itself, so that no other proxy promotes
				// within its time.
				return
			}
		}
	}
	t.giveUp()
}

// asked returns the members to survey. A lost primary is left out: each wait for
// its answer would be part of the gap in writes.
func (t *takeoverRun) asked() []*member {
	members := t.db.all()
	if t.leaving {
		return members
	}
	t.db.mu.Lock()
	leader := t.db.leader
	t.db.mu.Unlock()
	return slices.DeleteFunc(members, func(m *member) bool { return m == leader })
}

// renew keeps the claim. It reports false if the claim may be lost.
func (t *takeoverRun) renew() bool {
	if now().Sub(t.renewed) >= claimRenewal {
		if err := t.claim.keep(); err != nil {
			t.db.proxy.events.storeFailed("keep_claim", err)
		} else {
			t.renewed = now()
		}
	}
	return t.claim.valid(0)
}

// view translates a survey for the decision.
func (t *takeoverRun) view(reports []report) takeover.View {
	d := t.db
	d.mu.Lock()
	defer d.mu.Unlock()
	v := takeover.View{
		Term:     d.leaderTerm,
		Expected: groupSize,
		Waited:   now().Sub(d.changedSince),
	}
	if d.leader != nil {
		v.Leader = d.leader.name
	}
	if d.leader != nil && !t.leaving {
		v.Members = append(v.Members, takeover.Member{Name: v.Leader})
	}
	for i := range reports {
		r := &reports[i]
		m := takeover.Member{
			Name: r.spec.Name, Reached: r.err == nil, Primary: r.status.Primary, Term: r.status.Term,
			PauseTerm: r.status.PauseTerm, Received: r.status.Received, Leaving: r.member.leavingSince != 0,
		}
		if r.member == d.leader {
			v.LeaderHealthy = t.leaving && m.Reached && m.Primary
			// A primary that does not answer is lost; it is not asked again.
			t.leaving = t.leaving && m.Reached
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// groupSize is the number of members of a whole group.
const groupSize = 3

func (t *takeoverRun) pause(reports []report, decision takeover.Decision) {
	var members []*member
	for i := range reports {
		for _, name := range decision.Pause {
			if reports[i].spec.Name == name {
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
	for _, r := range t.monitor.survey(Command{Kind: CommandPause, Term: decision.Term}, members) {
		if r.err != nil {
			t.db.proxy.events.memberFailed(t.db.name, r.spec.Name, "pause", r.err)
		}
	}
}

// promote orders the promotion and waits until the target leads. It reports
// whether it does.
func (t *takeoverRun) promote(reports []report, target entity.Upstream) bool {
	if t.ordered {
		// A new order needs a new token, so that the platform refuses the old
		// one if it is carried out late.
		if err := t.claim.write(); err != nil {
			t.db.proxy.events.storeFailed("renew_fence", err)
			time.Sleep(surveyPause)
			return false
		}
	}
	if !t.claim.valid(claimMargin) {
		if err := t.claim.keep(); err != nil {
			t.db.proxy.events.storeFailed("keep_claim", err)
			return false
		}
	}
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	err := t.db.proxy.options.Promoter.Promote(ctx, t.db.name, target, t.db.proxy.settings().VM, t.claim.fence)
	cancel()
	t.db.proxy.events.promoted(t.db.name, target, t.claim.fence, err)
	switch {
	case errors.Is(err, ErrNotApplied):
		time.Sleep(surveyPause)
		return false
	case errors.Is(err, ErrFenced):
		// The target does not run, or another proxy acted with a newer token.
		t.refused = true
		return false
	}
	t.ordered = true
	if o := t.db.proxy.observer; o != nil && err == nil {
		o.metrics.Database(string(t.db.name)).Promoted()
	}
	return t.awaitLead(reports, target)
}

func (t *takeoverRun) awaitLead(reports []report, target entity.Upstream) bool {
	var members []*member
	for i := range reports {
		if reports[i].spec.Name == target {
			members = append(members, reports[i].member)
		}
	}
	for end := now().Add(leadTimeout); now() < end; time.Sleep(surveyPause) {
		answers := t.monitor.survey(Command{Kind: CommandStatus}, members)
		if t.monitor.adopt(answers) {
			return true
		}
		t.renew()
	}
	return false
}

// giveUp ends a takeover without a promotion. Members are left paused if the
// primary is lost or an order is open: the next takeover goes on from there.
func (t *takeoverRun) giveUp() {
	t.db.proxy.events.takeoverEnded(t.db.name, t.claim.fence)
	if t.leaving && !t.ordered {
		members := make([]*member, 0, len(t.paused))
		for _, m := range t.paused {
			members = append(members, m)
		}
		for _, r := range t.monitor.survey(Command{Kind: CommandResume}, members) {
			if r.err != nil {
				t.db.proxy.events.memberFailed(t.db.name, r.spec.Name, "resume", r.err)
			}
		}
	}
	t.claim.end()
}

// release lifts pauses that a dead proxy left. A newer fence token comes first, so
// that the platform refuses an order of that proxy which is carried out late.
func (s *monitor) release(leader *member, held []*member) {
	d := s.db
	if now() < s.nextTakeover {
		return
	}
	c := s.claim("claim_release")
	if c == nil {
		return
	}
	defer c.end()
	ctx, cancel := context.WithTimeout(context.Background(), promoteTimeout)
	defer cancel()
	err := d.proxy.options.Promoter.Promote(ctx, d.name, leader.name, d.proxy.settings().VM, c.fence)
	d.proxy.events.promoted(d.name, leader.name, c.fence, err)
	if err != nil {
		return
	}
	for _, r := range s.survey(Command{Kind: CommandResume}, held) {
		d.proxy.events.resumed(d.name, r.spec.Name, r.err)
	}
}
