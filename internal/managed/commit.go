package managed

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/takeover"
)

const (
	// slowCommit is the time after which the acknowledgement of a commit counts as delayed. The
	// primary may have waited for a replica that joined after a successor was chosen.
	slowCommit = 500 * time.Millisecond
	// overdueRenewal is the time after which a renewal of the proxy's lease without an answer means
	// that the store may be lost. Renewals normally take milliseconds.
	overdueRenewal = 200 * time.Millisecond
	// holderPollInterval is the interval between the status calls that look for the holders of a
	// commit.
	holderPollInterval = 20 * time.Millisecond
)

// commit is a commit that its primary has acknowledged.
type commit struct {
	primary  *member
	position entity.Position
	// took is the time from the statement to the acknowledgement.
	took time.Duration
}

// confirm reports whether a commit may be reported to its caller: no promotion that is under way
// will lose it. It waits for that until the deadline. See docs/design/open-orders.md.
func (c *commit) confirm(s *session, statement *Statement, d *database, deadline entity.Time) bool {
	began := now()
	for {
		evidence, settled := d.commitEvidence(c)
		if !evidence.Required() && settled {
			return true
		}
		held, superseded := c.findHolders(d, &evidence, deadline)
		if held {
			s.proxy.events.commitConfirmed(s, statement, d.name, c, now().Sub(began))
			return true
		}
		if superseded || now().Add(holderPollInterval) >= deadline {
			s.proxy.events.commitInDoubt(s, statement, d.name, c, &evidence)
			return false
		}
		time.Sleep(holderPollInterval)
	}
}

// commitEvidence returns what is known of takeovers. settled is set if the commit's primary still is
// the believed one. Otherwise the present primary must hold the commit.
func (d *database) commitEvidence(c *commit) (evidence takeover.Evidence, settled bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limits.SyncReplicas == 0 {
		return takeover.Evidence{}, true
	}
	evidence = takeover.Evidence{
		Ordered: d.orders.Targets, Claimed: d.openClaim() != Revision{},
		Uncertain: d.proxy.storeUncertain() || c.took >= slowCommit,
	}
	settled = d.primary == c.primary
	if !settled && d.primary != nil && !evidence.Required() {
		evidence.Ordered = []entity.Upstream{d.primary.name}
	}
	return evidence, settled
}

// storeUncertain reports whether changes of the store may fail to reach this proxy.
func (p *Proxy) storeUncertain() bool {
	sent := entity.Time(p.renewalSentAt.Load())
	return p.storeLost.Load() || sent != 0 && now().Sub(sent) >= overdueRenewal
}

// openClaim returns the revision of the claim of a takeover that has not ended, zero if there is
// none. The mutex is held.
func (d *database) openClaim() Revision {
	switch {
	case d.ownClaim != nil:
		return d.ownClaim.revision
	case d.claim.held() && !d.orders.concludes(d.claim.revision):
		return d.claim.revision
	case d.announcementOpen():
		return d.announced
	}
	return Revision{}
}

// announcementOpen reports whether an announced takeover has not ended as far as known. The mutex is
// held.
func (d *database) announcementOpen() bool {
	ended := d.announced.before(d.claimRemovedAt) || d.orders.concludes(d.announced) ||
		d.claim.held() && !d.claim.revision.before(d.announced)
	return !ended && now() < d.announcedUntil
}

// findHolders queries the members that count as evidence and reports whether they hold the commit.
// superseded is set if a later primary leads, so that they never will.
func (c *commit) findHolders(d *database, evidence *takeover.Evidence, deadline entity.Time) (held, superseded bool) {
	if evidence.Holds(c.primary.name, c.position, nil) {
		return true, false
	}
	members, listed := d.possibleHolders(c, evidence)
	answers := make(chan takeover.Holder, len(members))
	for i, m := range members {
		go func() {
			h := d.monitor.sharedStatus(m)
			h.Listed = listed[i]
			answers <- h
		}()
	}
	timeout := time.NewTimer(max(deadline.Sub(now()), 0))
	defer timeout.Stop()
	var holders []takeover.Holder
	for range members {
		select {
		case h := <-answers:
			holders = append(holders, h)
		case <-timeout.C:
			return false, false
		}
		if evidence.Holds(c.primary.name, c.position, holders) {
			return true, false
		}
	}
	return false, takeover.Superseded(c.position, holders)
}

// possibleHolders returns the members other than the primary whose logs count as evidence, and
// whether each was listed before the open claim.
func (d *database) possibleHolders(c *commit, evidence *takeover.Evidence) (members []*member, listed []bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim := d.openClaim()
	for _, m := range d.members {
		before := claim == Revision{} || m.listedAt.Epoch == claim.Epoch && m.listedAt.Number < claim.Number
		counts := before && m.missingSince == 0
		if len(evidence.Ordered) > 0 {
			counts = slices.Contains(evidence.Ordered, m.name)
		}
		if m == c.primary || !counts {
			continue
		}
		members, listed = append(members, m), append(listed, before)
	}
	return members, listed
}

// statusCall is a status call whose result several commits share.
type statusCall struct {
	done   chan struct{}
	holder takeover.Holder
}

// sharedStatus returns the status of a member. Calls made while another one is in progress wait for
// its result: commits need only a report that shows enough of the log, however old.
func (mon *monitor) sharedStatus(m *member) takeover.Holder {
	d := mon.db
	d.mu.Lock()
	call := m.statusCall
	if call == nil {
		call = &statusCall{done: make(chan struct{})}
		m.statusCall = call
		go func() {
			r := mon.queryMember(m, Command{Kind: CommandStatus})
			call.holder = takeover.Holder{Name: m.name, Reached: r.err == nil, Term: r.status.Term, Received: r.status.Received}
			d.mu.Lock()
			m.statusCall = nil
			d.mu.Unlock()
			close(call.done)
		}()
	}
	d.mu.Unlock()
	<-call.done
	return call.holder
}
