package managed

import (
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// warm opens one connection to each member and proves the primary, so that the
// first callers after a restart do not wait for both.
func (s *monitor) warm(leader *member) {
	d := s.db
	var wait sync.WaitGroup
	for _, m := range d.all() {
		wait.Go(func() { s.warmMember(m, m == leader) })
	}
	wait.Wait()
}

func (s *monitor) warmMember(m *member, leads bool) {
	d := s.db
	d.mu.Lock()
	if m.open > 0 || m.leavingSince != 0 {
		d.mu.Unlock()
		return
	}
	m.open++
	p := &permit{db: d, member: m, ended: true}
	d.mu.Unlock()
	deadline := now().Add(connectTimeout)
	if err := p.open(deadline); err != nil {
		d.proxy.events.memberFailed(d.name, m.name, "warm", err)
		return
	}
	if leads {
		if _, err := d.prove(p.link, wall(deadline, now())); err != nil {
			p.broke(err)
			return
		}
	}
	d.end(p, true)
}

// inspect looks after a database that is at rest: a primary that nobody uses may
// be down, and a proxy that died in a takeover may have left replicas paused.
func (s *monitor) inspect(at entity.Time, leader *member) {
	place := s.db.inspectionPlace()
	if place < 0 {
		return
	}
	if place < inspectors && at >= s.nextInspection {
		s.nextInspection = at.Add(inspectionInterval)
		s.inspectLeader(at, leader)
	}
	if due := entity.Time(s.pauseCheckAt.Load()); place < pauseInspectors && due != 0 && at >= due {
		s.pauseCheckAt.Store(0)
		s.inspectReplicas(leader)
	}
}

// inspectLeader proves the primary unless traffic has done so lately.
func (s *monitor) inspectLeader(at entity.Time, leader *member) {
	d := s.db
	d.mu.Lock()
	proven := at.Sub(d.history.Newest().Sent) < inspectionInterval
	var l *link
	if !proven {
		l = leader.takeIdle("")
	}
	d.mu.Unlock()
	switch {
	case proven:
	case l != nil:
		s.proveOver(l)
	default:
		s.doubt()
	}
}

// inspectReplicas lifts pauses that no takeover needs any more.
func (s *monitor) inspectReplicas(leader *member) {
	d := s.db
	d.mu.Lock()
	claimed := d.claim.revision != 0
	d.mu.Unlock()
	if claimed {
		return
	}
	var held []*member
	for _, r := range s.survey(Command{Kind: CommandStatus}, d.all()) {
		if r.member != leader && r.err == nil && r.status.PauseTerm != 0 {
			held = append(held, r.member)
		}
	}
	if len(held) > 0 {
		s.release(leader, held)
	}
}

// renewProof proves the primary over an idle connection if reads need it.
func (s *monitor) renewProof(at entity.Time) {
	d := s.db
	d.mu.Lock()
	due := at.Sub(d.lastRead) < readsRecent && d.lastRead != 0 && at.Sub(d.history.Newest().Sent) > proofAge
	var l *link
	if due && d.leader != nil {
		l = d.leader.takeIdle("")
	}
	d.mu.Unlock()
	if l == nil {
		return
	}
	s.proveOver(l)
}

// proveOver proves the primary over an idle connection and gives it back.
func (s *monitor) proveOver(l *link) {
	d := s.db
	_, err := d.prove(l, time.Now().Add(probeTimeout))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.putBack(l)
		return
	}
	d.dropLocked(l)
	d.noteFailure(l.member, now())
}
