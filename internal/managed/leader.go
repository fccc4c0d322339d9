package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// leadClaimed notes that a member's entry says that it leads now. The monitor asks
// it, since entries may be out of date.
func (s *monitor) leadClaimed(m *member) {
	s.claimant.Store(m)
	s.wake()
}

// checkClaimant asks a member that claims to lead.
func (s *monitor) checkClaimant() {
	if m := s.claimant.Swap(nil); m != nil {
		s.adopt(s.survey(Command{Kind: CommandStatus}, []*member{m}))
	}
}

// findLeader looks for the member that leads the newest term.
func (s *monitor) findLeader(at entity.Time) {
	if s.leaderlessSince == 0 {
		s.leaderlessSince = at
	}
	s.db.mu.Lock()
	s.db.adoptListed()
	found := s.db.leader != nil
	s.db.mu.Unlock()
	if found {
		s.leaderlessSince = 0
		return
	}
	reports := s.survey(Command{Kind: CommandStatus}, s.db.all())
	if s.adopt(reports) || anyFull(reports) {
		s.leaderlessSince = 0
		return
	}
	if now().Sub(s.leaderlessSince) > leaderlessWait {
		s.takeOver(false, "no member leads")
	}
}

// adopt makes the member with the newest term that leads the believed primary.
func (s *monitor) adopt(reports []report) bool {
	var best *report
	for i := range reports {
		r := &reports[i]
		if r.err == nil && r.status.Primary && (best == nil || best.status.Term < r.status.Term) {
			best = r
		}
	}
	if best == nil {
		return false
	}
	d := s.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if best.status.Term < d.leaderTerm {
		return false
	}
	s.misses = 0
	s.doubtful.Store(false)
	d.setLeader(best.member, best.status.Term, "survey")
	return true
}

// checkLeader asks the believed primary, and the others if it does not answer.
func (s *monitor) checkLeader(leader *member) {
	began := now()
	reports := s.survey(Command{Kind: CommandStatus}, []*member{leader})
	r := reports[0]
	if r.err == nil && r.status.Primary {
		s.misses = 0
		s.leaderWell(leader, r.status)
		return
	}
	if r.err == nil {
		s.db.mu.Lock()
		s.db.setLeader(nil, s.db.leaderTerm, "reports replica")
		s.db.mu.Unlock()
		return
	}
	if took := now().Sub(began); took > 2*probeTimeout {
		// This VM stood still, so the silence proves nothing.
		return
	}
	if anyFull(reports) {
		return
	}
	s.misses++
	s.db.proxy.events.leaderMissed(s.db.name, leader, s.misses, r.err)
	if s.db.failuresOf(leader) >= requestFailures {
		s.misses = max(s.misses, maxMisses)
	}
	if s.misses < maxMisses {
		return
	}
	// Another proxy may have promoted already; without the store nothing else
	// would tell this one.
	if s.adopt(s.survey(Command{Kind: CommandStatus}, s.others(leader))) {
		return
	}
	s.takeOver(false, "primary does not answer")
}

// leaderWell ends the doubt about a primary that answers, unless its replicas
// receive nothing of what it holds: then it cannot acknowledge a commit.
func (s *monitor) leaderWell(leader *member, first Status) {
	if !s.doubtful.Load() {
		return
	}
	if !s.db.replicatesSynchronously() || !s.stalled(leader, first) {
		s.doubtful.Store(false)
		return
	}
	s.takeOver(false, "primary does not replicate")
}

func (d *database) replicatesSynchronously() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.limits.SyncReplicas > 0
}

// stalled reports whether replicas receive nothing although the primary has more.
func (s *monitor) stalled(leader *member, first Status) bool {
	before, ok := s.furthestReplica(leader)
	if !ok || !before.Less(first.Received) {
		return false
	}
	time.Sleep(stallWindow)
	after, ok := s.furthestReplica(leader)
	return ok && after == before
}
