package managed

import (
	"maps"
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
	// sent is when the statement was sent, took the time from then to the acknowledgement.
	sent entity.Time
	took time.Duration
	// holders are the upstreams that were found to hold the commit, if the primary's word did not suffice.
	holders []entity.Upstream
}

// newCommit returns a commit that a primary has just acknowledged.
func newCommit(primary *member, position entity.Position, sent entity.Time) commit {
	return commit{primary: primary, position: position, sent: sent, took: now().Sub(sent)}
}

// confirm reports whether a commit may be reported to its caller: no promotion that is under way
// will lose it. It waits for that until the deadline. See docs/design/open-orders.md.
func (c *commit) confirm(s *session, statement *Statement, d *database, deadline entity.Time) bool {
	began := now()
	for {
		evidence := d.commitEvidence(c)
		if !evidence.Required() {
			d.recordReported(c.position)
			return true
		}
		switch c.awaitHolders(d, &evidence, deadline) {
		case commitHeld:
			d.recordReported(c.position)
			s.proxy.events.commitConfirmed(s, statement, d.name, c, now().Sub(began))
			return true
		case commitMayBeLost:
			s.proxy.events.commitInDoubt(s, statement, d.name, c, &evidence)
			return false
		}
	}
}

// recordReported records the position of a commit that is about to be reported to its caller.
func (d *database) recordReported(position entity.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.reported.Less(position) {
		d.reported = position
	}
}

// commitVerdict is what is known of a commit.
type commitVerdict int

const (
	commitHeld commitVerdict = iota
	// commitMayBeLost means that the time has passed, or that a later primary leads which may lack
	// the commit.
	commitMayBeLost
	// evidenceChanged means that other members count than before.
	evidenceChanged
)

// commitEvidence returns what is known of takeovers.
func (d *database) commitEvidence(c *commit) takeover.Evidence {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.limits.SyncReplicas == 0 {
		return takeover.Evidence{}
	}
	evidence := takeover.Evidence{
		Ordered: d.orders.Targets, Claimed: d.openClaim() != Revision{},
		Uncertain: d.proxy.storeUncertain() || c.took >= slowCommit,
		// A takeover that ended since then may have replaced the primary, which this proxy may not know
		// yet.
		Replaced: d.primary != c.primary || d.primaryTerm != c.position.Term || d.takeoverChangedAt >= c.sent,
	}
	if evidence.Replaced && d.primary != nil {
		evidence.Leader = d.primary.name
	}
	return evidence
}

// storeUncertain reports whether changes of the store may fail to reach this proxy.
func (p *Proxy) storeUncertain() bool {
	sent := entity.Time(p.renewalSentAt.Load())
	return p.storeLost.Load() || p.renewalFails.Load() || sent != 0 && now().Sub(sent) >= overdueRenewal
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

// awaitHolders queries the members that count as evidence until they hold the commit.
func (c *commit) awaitHolders(d *database, evidence *takeover.Evidence, deadline entity.Time) commitVerdict {
	if evidence.Holds(c.primary.name, c.position, nil) {
		return commitHeld
	}
	members, listed := d.possibleHolders(c, evidence)
	ended := make(chan struct{})
	defer close(ended)
	answers := make(chan takeover.Holder)
	for i, m := range members {
		go d.monitor.pollHolder(m, listed[i], answers, ended)
	}
	ticker := time.NewTicker(holderPollInterval)
	defer ticker.Stop()
	answered := map[entity.Upstream]takeover.Holder{}
	for now() < deadline {
		select {
		case h := <-answers:
			answered[h.Name] = h
		case <-ticker.C:
		}
		// The answers are judged by what is known after them.
		if latest := d.commitEvidence(c); !latest.Equal(evidence) {
			return evidenceChanged
		}
		holders := slices.Collect(maps.Values(answered))
		if evidence.Holds(c.primary.name, c.position, holders) {
			c.holders = takeover.HoldersOf(c.position, holders)
			return commitHeld
		}
		if len(members) > 0 && len(holders) == len(members) && takeover.Superseded(c.position, holders) {
			return commitMayBeLost
		}
	}
	return commitMayBeLost
}

// pollHolder sends the status of a member again and again until ended is closed.
func (mon *monitor) pollHolder(m *member, listed bool, answers chan<- takeover.Holder, ended <-chan struct{}) {
	for {
		h := mon.sharedStatus(m)
		h.Listed = listed
		select {
		case answers <- h:
		case <-ended:
			return
		}
		select {
		case <-time.After(holderPollInterval):
		case <-ended:
			return
		}
	}
}

// possibleHolders returns the members whose logs count as evidence, and whether each was listed
// before the open claim.
func (d *database) possibleHolders(c *commit, evidence *takeover.Evidence) (members []*member, listed []bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim := d.openClaim()
	for _, m := range d.members {
		before := claim == Revision{} || m.listedAt.Epoch == claim.Epoch && m.listedAt.Number < claim.Number
		counts := slices.Contains(evidence.Ordered, m.name) || evidence.Replaced && m.name == evidence.Leader ||
			evidence.NeedsListed(c.primary.name) && before && m.missingSince == 0
		if counts && (m != c.primary || evidence.Replaced) {
			members, listed = append(members, m), append(listed, before)
		}
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
			call.holder = takeover.Holder{
				Name: m.name, Reached: r.err == nil, Primary: r.err == nil && r.status.Primary, Term: r.status.Term, Received: r.status.Received,
			}
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
