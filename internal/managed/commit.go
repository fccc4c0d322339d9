package managed

import (
	"cmp"
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
	// nextHolderDelay is the time after which more members are asked if the nearest one does not hold
	// a commit. It covers a round trip between regions.
	nextHolderDelay = 50 * time.Millisecond
	// logReads is how often a replica is asked for the log that its reads see before it is asked for its
	// status. The status also shows what it has received and not applied, but takes a slot.
	logReads = 5
)

// commit is a commit that its primary has acknowledged.
type commit struct {
	primary  *member
	position entity.Position
	// sent is when the statement was sent, took the time from then to the acknowledgement.
	sent entity.Time
	took time.Duration
	// suspected is set once the primary is checked because the commit waits.
	suspected bool
	// holders are the upstreams that were found to hold the commit, if the primary's word did not suffice.
	holders []entity.Upstream
}

// newCommit returns a commit that a primary has just acknowledged.
func newCommit(primary *member, position entity.Position, sent entity.Time) commit {
	return commit{primary: primary, position: position, sent: sent, took: now().Sub(sent)}
}

// confirm reports whether a commit may be reported to its caller: no promotion that is under way, or that
// follows, will lose it. It waits for that until the deadline. See docs/design/open-orders.md.
func (c *commit) confirm(s *session, statement *Statement, d *database, deadline entity.Time) bool {
	began := now()
	for {
		evidence, reported := d.tryReport(c, nil, nil)
		if reported && !evidence.Required() {
			return true
		}
		verdict := commitHeld
		if !reported {
			verdict = c.awaitHolders(d, &evidence, deadline)
		}
		switch verdict {
		case commitHeld:
			s.proxy.events.commitConfirmed(s, statement, d.name, c, now().Sub(began))
			return true
		case commitMayBeLost:
			s.proxy.events.commitInDoubt(s, statement, d.name, c, &evidence)
			return false
		}
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

// tryReport returns what evidence a commit needs now, and whether the answers of the members suffice.
// Then the commit counts as reported, before anybody else hears of a takeover from this proxy. The
// answers are those that the expected evidence asked for, nil if there are none.
func (d *database) tryReport(c *commit, expected *takeover.Evidence, answers []takeover.Holder) (evidence takeover.Evidence, reported bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	evidence = d.commitEvidence(c)
	if expected != nil && !evidence.Equal(expected) {
		return evidence, false
	}
	if evidence.Required() && !evidence.Holds(c.primary.name, c.position, answers) {
		return evidence, false
	}
	if d.limits.SyncReplicas > 0 {
		d.reported = d.reported.newer(reportedCommit{c.position, d.logEnds.after(c.sent), c.sent})
	}
	return evidence, true
}

// commitEvidence returns what is known of takeovers and departures. The mutex is held.
func (d *database) commitEvidence(c *commit) takeover.Evidence {
	if d.limits.SyncReplicas == 0 {
		return takeover.Evidence{}
	}
	evidence := takeover.Evidence{
		Ordered: d.orders.Targets, Claimed: d.openClaim() != Revision{}, Departing: d.departing(c, now()),
		Uncertain: d.proxy.storeUncertain() || c.took >= slowCommit || !d.inUseAsGateway(),
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
	members, listed := d.possibleHolders(c, evidence)
	ended := make(chan struct{})
	defer close(ended)
	answers := make(chan takeover.Holder)
	for i, m := range members {
		delay := time.Duration(0)
		if i > 0 && evidence.OneSuffices() {
			delay = nextHolderDelay
		}
		reads := 0
		if evidence.OneSuffices() {
			reads = logReads
		}
		go d.monitor.pollHolder(m, listed[i], delay, reads, answers, ended)
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
		holders := slices.Collect(maps.Values(answered))
		// The answers are judged by what is known after them.
		latest, reported := d.tryReport(c, evidence, holders)
		if reported {
			c.holders = takeover.HoldersOf(c.position, holders)
			return commitHeld
		}
		if !latest.Equal(evidence) {
			return evidenceChanged
		}
		if len(members) > 0 && len(holders) == len(members) && takeover.Superseded(c.position, holders) {
			return commitMayBeLost
		}
		if !c.suspected && evidence.OneSuffices() && now().Sub(c.sent) >= slowCommit {
			// Only replicas that leave may receive what the primary writes.
			c.suspected = true
			d.monitor.suspectPrimary()
		}
	}
	return commitMayBeLost
}

// pollHolder sends what a member holds again and again, after a delay, until ended is closed. The first
// reads answers show only what reads see.
func (mon *monitor) pollHolder(m *member, listed bool, delay time.Duration, reads int, answers chan<- takeover.Holder, ended <-chan struct{}) {
	for try := 0; ; try++ {
		select {
		case <-time.After(delay):
		case <-ended:
			return
		}
		query := mon.holderByStatus
		if try < reads {
			query = mon.holderByLog
		}
		h := mon.sharedQuery(m, query)
		h.Listed = listed
		select {
		case answers <- h:
		case <-ended:
			return
		}
		delay = holderPollInterval
	}
}

// possibleHolders returns the members whose logs count as evidence, the nearest first, and whether each
// was listed before the open claim.
func (d *database) possibleHolders(c *commit, evidence *takeover.Evidence) (members []*member, listed []bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	claim := d.openClaim()
	before := func(m *member) bool {
		return claim == Revision{} || m.listedAt.Epoch == claim.Epoch && m.listedAt.Number < claim.Number
	}
	for _, m := range d.members {
		counts := slices.Contains(evidence.Ordered, m.name) || evidence.Replaced && m.name == evidence.Leader ||
			evidence.NeedsCounted(c.primary.name) && before(m) && !(evidence.Claimed && m.missingSince != 0) &&
				!slices.Contains(evidence.Departing, m.name)
		if counts && (m != c.primary || evidence.Replaced) {
			members = append(members, m)
		}
	}
	slices.SortFunc(members, func(a, b *member) int {
		return cmp.Or(cmp.Compare(a.failures, b.failures), cmp.Compare(a.distance, b.distance), cmp.Compare(a.name, b.name))
	})
	for _, m := range members {
		listed = append(listed, before(m))
	}
	return members, listed
}
