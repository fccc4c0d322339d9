package managed

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// scoutInterval is the time between looks at a database that is well.
	scoutInterval = 250 * time.Millisecond
	// doubtInterval is the same while the primary is in doubt.
	doubtInterval = 100 * time.Millisecond
	// probeTimeout bounds one status call, a new connection included. On a busy
	// upstream in another region it takes up to 300 ms.
	probeTimeout = 360 * time.Millisecond
	// refusedMisses and silentMisses are the failed status calls after which a
	// primary counts as lost: one that refuses connections is down for certain.
	refusedMisses = 2
	silentMisses  = 2
	// requestFailures is the number of connections that failed for requests which
	// together count as a failed status call.
	requestFailures = 3
	// leaderlessWait is how long no member may claim to lead before a takeover.
	leaderlessWait = 700 * time.Millisecond
	// proofAge is the age at which the newest proof is renewed while reads come.
	proofAge = 500 * time.Millisecond
	// readsRecent is how long reads count as coming.
	readsRecent = 3 * time.Second
	// inspectionInterval is the time between proofs of a primary at rest by one
	// proxy, and inspectors is how many proxies do so for each database.
	inspectionInterval = 1500 * time.Millisecond
	inspectors         = 3
	// heldCheckDelay is the time from the start, or from the end of a claim, to
	// the look for abandoned pauses by heldInspectors proxies. Only takeovers
	// pause replicas, and status calls are priced like health checks.
	heldCheckDelay = 4 * time.Second
	heldInspectors = 2
	// localUseRecent is how long a proxy that is no gateway of a database watches it
	// after it had to serve a session itself.
	localUseRecent = 5 * time.Second
	// stallWindow is the time within which a healthy primary's replicas receive
	// something if writes wait.
	stallWindow = 300 * time.Millisecond
)

// scout watches one database: who leads it, whether the leader is well, and how
// fresh the newest proof is.
type scout struct {
	db       *database
	wakeup   chan struct{}
	doubtful atomic.Bool
	// claimant is a member whose entry claims the lead.
	claimant atomic.Pointer[member]
	// misses counts failed status calls in a row, silent those without any answer.
	misses, silent  int
	leaderlessSince entity.Time
	nextTakeover    entity.Time
	nextInspection  entity.Time
	// heldCheckAt is when to look for abandoned pauses, 0 if there is no reason to.
	heldCheckAt atomic.Int64
	// warmed is set once the first connections were opened.
	warmed bool
}

func newScout(d *database) *scout {
	s := &scout{db: d, wakeup: make(chan struct{}, 1)}
	s.checkHeldLater()
	return s
}

// checkHeldLater makes the scout look for abandoned pauses after a while.
func (s *scout) checkHeldLater() { s.heldCheckAt.Store(int64(now().Add(heldCheckDelay))) }

// wake makes the scout look at once.
func (s *scout) wake() {
	select {
	case s.wakeup <- struct{}{}:
	default:
	}
}

// doubt makes the scout check the primary.
func (s *scout) doubt() {
	s.doubtful.Store(true)
	s.wake()
}

func (s *scout) run(ctx context.Context) {
	timer := time.NewTimer(scoutInterval)
	defer timer.Stop()
	for ctx.Err() == nil {
		pause := s.look()
		timer.Reset(pause)
		select {
		case <-ctx.Done():
		case <-timer.C:
		case <-s.wakeup:
		}
	}
}

// look checks the database once and returns the time until the next look.
func (s *scout) look() time.Duration {
	d := s.db
	at := now()
	s.checkClaimant()
	d.mu.Lock()
	d.forgetMissing(at)
	d.closeIdle(at)
	leader := d.leader
	leaving := leader != nil && leader.leavingSince != 0
	failing := leader != nil && (leader.failures > 0 || leader.gone)
	known := len(d.members)
	crowded := leader != nil && d.crowded(at)
	// A proxy that hands its sessions over does not use the upstreams.
	idle := !d.serves && (d.usedAt == 0 || at.Sub(d.usedAt) > localUseRecent)
	d.mu.Unlock()
	switch {
	case known == 0 || idle:
		return scoutInterval
	case leader == nil:
		s.findLeader(at)
		return doubtInterval
	case failing || s.doubtful.Load():
		s.checkLeader(leader)
		return doubtInterval
	case leaving:
		s.takeOver(true, "leaving")
		return doubtInterval
	case crowded:
		s.takeOver(true, "replicas lag")
		return doubtInterval
	}
	s.leaderlessSince = 0
	if !s.warmed {
		s.warmed = true
		s.warm(leader)
	}
	s.renewProof(at)
	s.inspect(at, leader)
	return scoutInterval
}

// warm opens one connection to each member and proves the primary, so that the
// first callers after a restart do not wait for both.
func (s *scout) warm(leader *member) {
	d := s.db
	var wait sync.WaitGroup
	for _, m := range d.all() {
		wait.Go(func() { s.warmMember(m, m == leader) })
	}
	wait.Wait()
}

func (s *scout) warmMember(m *member, leads bool) {
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
		d.proxy.events.memberFailed(d.name, m.spec.Name, "warm", err)
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
func (s *scout) inspect(at entity.Time, leader *member) {
	place := s.db.inspectionPlace()
	if place < 0 {
		return
	}
	if place < inspectors && at >= s.nextInspection {
		s.nextInspection = at.Add(inspectionInterval)
		s.inspectLeader(at, leader)
	}
	if due := entity.Time(s.heldCheckAt.Load()); place < heldInspectors && due != 0 && at >= due {
		s.heldCheckAt.Store(0)
		s.inspectReplicas(leader)
	}
}

// inspectLeader proves the primary unless traffic has done so lately.
func (s *scout) inspectLeader(at entity.Time, leader *member) {
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
func (s *scout) inspectReplicas(leader *member) {
	d := s.db
	d.mu.Lock()
	claimed := d.claim.revision != 0
	d.mu.Unlock()
	if claimed {
		return
	}
	var held []*member
	for _, r := range s.survey(Command{Kind: CommandStatus}, d.all()) {
		if r.member != leader && r.err == nil && r.status.HeldTerm != 0 {
			held = append(held, r.member)
		}
	}
	if len(held) > 0 {
		s.release(leader, held)
	}
}

// forgetMissing drops members whose entries stayed away. The mutex is held.
func (d *database) forgetMissing(at entity.Time) {
	for name, m := range d.members {
		if m.missingSince == 0 || at.Sub(m.missingSince) < missingGrace {
			continue
		}
		m.gone = true
		for _, l := range m.idle {
			d.dropLocked(l)
		}
		m.idle = nil
		delete(d.members, name)
		d.changedSince = at
		d.proxy.events.memberGone(d.name, name)
	}
}

// renewProof proves the primary over an idle connection if reads need it.
func (s *scout) renewProof(at entity.Time) {
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
func (s *scout) proveOver(l *link) {
	d := s.db
	_, err := d.prove(l, time.Now().Add(probeTimeout))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.putBack(l)
		return
	}
	d.dropLocked(l)
	d.noteFailure(l.member, now(), err)
}

// report is one member's answer in a survey.
type report struct {
	member *member
	spec   Member
	status Status
	err    error
}

// leadClaimed notes that a member's entry says that it leads now. The scout asks
// it, since entries may be out of date.
func (s *scout) leadClaimed(m *member) {
	s.claimant.Store(m)
	s.wake()
}

// checkClaimant asks a member that claims to lead.
func (s *scout) checkClaimant() {
	if m := s.claimant.Swap(nil); m != nil {
		s.adopt(s.survey(Command{Kind: CommandStatus}, []*member{m}))
	}
}

// survey asks members for their status, each over a connection of its own.
func (s *scout) survey(command Command, members []*member) []report {
	reports := make([]report, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() { reports[i] = s.ask(m, command) })
	}
	wait.Wait()
	return reports
}

// busyRetries is how often a status call is repeated at a member without a free slot.
const busyRetries = 4

func (s *scout) ask(m *member, command Command) report {
	d := s.db
	r := report{member: m}
	d.mu.Lock()
	r.spec = m.spec
	l := m.takeIdle("")
	d.mu.Unlock()
	deadline := time.Now().Add(probeTimeout)
	if l != nil {
		// An idle connection may have gone silent; it gets a part of the time.
		r.status, r.err = s.askOver(l, command, time.Now().Add(probeTimeout/3))
		if r.err == nil {
			return r
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(probeTimeout/3))
	defer cancel()
	if l, r.err = dialLink(ctx, d.proxy.options.Protocol, m, r.spec); r.err == nil {
		r.status, r.err = s.askOver(l, command, deadline.Add(probeTimeout/3))
	}
	if r.err != nil {
		d.proxy.events.memberFailed(d.name, r.spec.Name, "status", r.err)
	}
	return r
}

// askOver sends one status command and gives the link back.
func (s *scout) askOver(l *link, command Command, deadline time.Time) (Status, error) {
	d := s.db
	var status Status
	var err error
	for range busyRetries {
		status, err = l.status(d.proxy.options.Protocol, deadline, command)
		var refused *Refused
		if !errors.As(err, &refused) || refused.Code != CodeBusy {
			break
		}
		time.Sleep(retryPause)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.dropLocked(l)
		return status, err
	}
	l.member.answered()
	d.putBack(l)
	return status, nil
}

// all returns the members of the database.
func (d *database) all() []*member {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		members = append(members, m)
	}
	return members
}

// findLeader looks for the member that leads the newest term.
func (s *scout) findLeader(at entity.Time) {
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

// anyFull reports whether a member answered that its connections or slots are
// taken: it may be the primary.
func anyFull(reports []report) bool {
	for i := range reports {
		var refused *Refused
		if errors.As(reports[i].err, &refused) && (refused.Code == CodeConnectionLimit || refused.Code == CodeBusy) {
			return true
		}
	}
	return false
}

// adopt makes the member with the newest term that leads the believed primary.
func (s *scout) adopt(reports []report) bool {
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
	s.misses, s.silent = 0, 0
	s.doubtful.Store(false)
	d.setLeader(best.member, best.status.Term, "survey")
	return true
}

// checkLeader asks the believed primary, and the others if it does not answer.
func (s *scout) checkLeader(leader *member) {
	began := now()
	reports := s.survey(Command{Kind: CommandStatus}, []*member{leader})
	r := reports[0]
	if r.err == nil && r.status.Primary {
		s.misses, s.silent = 0, 0
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
	if isTimeout(r.err) {
		s.silent++
	}
	s.db.proxy.events.leaderMissed(s.db.name, leader, s.misses, r.err)
	if s.db.failuresOf(leader) >= requestFailures {
		s.misses = max(s.misses, silentMisses)
	}
	limit := refusedMisses
	if s.silent > 0 {
		limit = silentMisses
	}
	if s.misses < limit {
		return
	}
	// Another proxy may have promoted already; without the store nothing else
	// would tell this one.
	if s.adopt(s.survey(Command{Kind: CommandStatus}, s.others(leader))) {
		return
	}
	s.takeOver(false, "primary does not answer")
}

func (d *database) failuresOf(m *member) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return m.failures
}

func (s *scout) others(leader *member) []*member {
	return slices.DeleteFunc(s.db.all(), func(m *member) bool { return m == leader })
}

// leaderWell ends the doubt about a primary that answers, unless its replicas
// receive nothing of what it holds: then it cannot acknowledge a commit.
func (s *scout) leaderWell(leader *member, first Status) {
	if !s.doubtful.Load() {
		return
	}
	if s.db.limits.SyncReplicas == 0 || !s.stalled(leader, first) {
		s.doubtful.Store(false)
		return
	}
	s.takeOver(false, "primary does not replicate")
}

func (s *scout) stalled(leader *member, first Status) bool {
	before, ok := s.furthestReplica(leader)
	if !ok || !before.Less(first.Received) {
		return false
	}
	time.Sleep(stallWindow)
	after, ok := s.furthestReplica(leader)
	return ok && after == before
}

// furthestReplica returns the highest position received by a replica. It reports
// false if no replica answers.
func (s *scout) furthestReplica(leader *member) (entity.Position, bool) {
	var furthest entity.Position
	found := false
	for _, r := range s.survey(Command{Kind: CommandStatus}, s.db.all()) {
		if r.member == leader || r.err != nil {
			continue
		}
		found = true
		if furthest.Less(r.status.Received) {
			furthest = r.status.Received
		}
	}
	return furthest, found
}

// takeoverPause spreads the proxies' attempts, so that one of them holds the
// claim before the others ask for it.
func takeoverPause() time.Duration {
	return 150*time.Millisecond + rand.N(250*time.Millisecond)
}
