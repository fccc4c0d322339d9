package managed

import (
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// warmUp opens one connection to each member and obtains a proof from the primary, so that
// the first callers after a restart wait for neither.
func (mon *monitor) warmUp(leader *member) {
	d := mon.db
	var wait sync.WaitGroup
	for _, m := range d.allMembers() {
		wait.Go(func() { mon.warmUpMember(m, m == leader) })
	}
	wait.Wait()
}

func (mon *monitor) warmUpMember(m *member, isPrimary bool) {
	d := mon.db
	d.mu.Lock()
	if m.openConns > 0 || m.leavingSince != 0 {
		d.mu.Unlock()
		return
	}
	m.openConns++
	p := &permit{db: d, member: m, finished: true}
	d.mu.Unlock()
	deadline := now().Add(connectTimeout)
	if err := p.connect(deadline); err != nil {
		d.proxy.events.memberFailed(d.name, m.name, "warm", err)
		return
	}
	if isPrimary {
		if _, err := d.prove(p.conn, wallTime(deadline, now())); err != nil {
			p.connFailed(err)
			return
		}
	}
	d.endPermit(p, true)
}

// checkIdle checks a database without traffic: its primary may be down unnoticed, and a
// proxy that failed during a takeover may have left replicas paused. Only the first few
// gateways do this.
func (mon *monitor) checkIdle(at entity.Time, leader *member) {
	index := mon.db.gatewayIndex()
	if index < 0 {
		return
	}
	if index < idleProofProxies && at >= mon.nextIdleProof {
		mon.nextIdleProof = at.Add(idleProofInterval)
		mon.proveIdleLeader(at, leader)
	}
	if due := entity.Time(mon.pauseCheckAt.Load()); index < pauseCheckProxies && due != 0 && at >= due {
		mon.pauseCheckAt.Store(0)
		mon.findAbandonedPauses(leader)
	}
}

// proveIdleLeader obtains a proof from the primary unless there is a recent one from
// traffic.
func (mon *monitor) proveIdleLeader(at entity.Time, leader *member) {
	d := mon.db
	d.mu.Lock()
	proven := at.Sub(d.proofs.Newest().Sent) < idleProofInterval
	var conn *memberConn
	if !proven {
		conn = leader.takeIdle("")
	}
	d.mu.Unlock()
	switch {
	case proven:
	case conn != nil:
		mon.proveAndReturn(conn)
	default:
		mon.suspectLeader()
	}
}

// findAbandonedPauses looks for paused replicas while no takeover is under way, and resumes
// them.
func (mon *monitor) findAbandonedPauses(leader *member) {
	d := mon.db
	d.mu.Lock()
	claimed := d.claim.revision != 0
	d.mu.Unlock()
	if claimed {
		return
	}
	var paused []*member
	for _, r := range mon.queryMembers(Command{Kind: CommandStatus}, d.allMembers()) {
		if r.member != leader && r.err == nil && r.status.PauseTerm != 0 {
			paused = append(paused, r.member)
		}
	}
	if len(paused) > 0 {
		mon.liftAbandonedPauses(leader, paused)
	}
}

// renewProof obtains a new proof over an idle connection if there were recent reads and the
// newest proof is old.
func (mon *monitor) renewProof(at entity.Time) {
	d := mon.db
	d.mu.Lock()
	due := at.Sub(d.lastReadAt) < recentReadWindow && d.lastReadAt != 0 && at.Sub(d.proofs.Newest().Sent) > proofRenewalAge
	var conn *memberConn
	if due && d.leader != nil {
		conn = d.leader.takeIdle("")
	}
	d.mu.Unlock()
	if conn == nil {
		return
	}
	mon.proveAndReturn(conn)
}

// proveAndReturn obtains a proof over an idle connection and returns the connection to the
// pool.
func (mon *monitor) proveAndReturn(conn *memberConn) {
	d := mon.db
	_, err := d.prove(conn, time.Now().Add(probeTimeout))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.returnConn(conn)
		return
	}
	d.dropConnLocked(conn)
	d.recordConnFailure(conn.member, now())
}
