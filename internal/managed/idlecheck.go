package managed

import (
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// warmUp opens one connection to each member and confirms the primary, so that the first
// callers after a restart wait for neither.
func (mon *monitor) warmUp(primary *member) {
	d := mon.db
	var wait sync.WaitGroup
	for _, m := range d.allMembers() {
		wait.Go(func() { mon.warmUpMember(m, m == primary) })
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
	p := &permit{db: d, member: m, reserved: true, finished: true} // holds no execution slot
	d.mu.Unlock()
	deadline := now().Add(connectTimeout)
	if err := p.connect(deadline); err != nil {
		d.proxy.events.memberFailed(d.name, m.name, "warm", err)
		return
	}
	if isPrimary {
		if _, err := d.confirmPrimary(p.conn, nil, wallTime(deadline, now())); err != nil {
			p.connFailed(err)
			return
		}
	}
	d.endPermit(p, true)
}

// checkIdle checks a database without traffic: its primary may be down unnoticed, and a
// proxy that failed during a takeover may have left replicas paused. Only the first few
// gateways do this.
func (mon *monitor) checkIdle(at entity.Time, primary *member) {
	index := mon.db.gatewayIndex()
	if index < 0 {
		return
	}
	if index < idleConfirmationProxies && at >= mon.nextIdleConfirmation {
		mon.nextIdleConfirmation = at.Add(idleConfirmationInterval)
		mon.confirmIdlePrimary(at, primary)
	}
	if due := entity.Time(mon.pauseCheckAt.Load()); index < pauseCheckProxies && due != 0 && at >= due {
		mon.pauseCheckAt.Store(0)
		mon.findAbandonedPauses(primary)
	}
}

// confirmIdlePrimary confirms the primary unless traffic has confirmed it recently.
func (mon *monitor) confirmIdlePrimary(at entity.Time, primary *member) {
	d := mon.db
	d.mu.Lock()
	confirmed := at.Sub(d.confirmedPositions.Newest().Sent) < idleConfirmationInterval
	var conn *memberConn
	if !confirmed {
		conn = primary.takeIdle(&ownWork)
	}
	d.mu.Unlock()
	switch {
	case confirmed:
	case conn != nil:
		mon.confirmAndReturnConn(conn)
	default:
		mon.suspectPrimary()
	}
}

// findAbandonedPauses looks for paused replicas and open orders while no takeover is under way, and
// ends them.
func (mon *monitor) findAbandonedPauses(primary *member) {
	d := mon.db
	d.mu.Lock()
	claimed, ordered := d.claim.held(), len(d.orders.Targets) > 0
	d.mu.Unlock()
	switch {
	case claimed:
		// The end of the claim schedules another check.
	case ordered:
		mon.settleTakeover(primary)
		if open := d.openOrders(); len(open.Targets) > 0 {
			mon.schedulePauseCheck(openOrderCheckDelay)
		} else {
			mon.schedulePauseCheck(pauseCheckDelay)
		}
	case len(pausedReplicas(mon.queryMembers(Command{Kind: CommandStatus}, d.allMembers()), primary)) > 0:
		mon.settleTakeover(primary)
	}
}

// renewConfirmation confirms the primary again over an idle connection if there were recent
// reads and the newest confirmed position is old.
func (mon *monitor) renewConfirmation(at entity.Time) {
	d := mon.db
	d.mu.Lock()
	due := at.Sub(d.lastReadAt) < recentReadWindow && d.lastReadAt != 0 && at.Sub(d.confirmedPositions.Newest().Sent) > confirmationRenewalAge
	var conn *memberConn
	if due && d.primary != nil {
		conn = d.primary.takeIdle(&ownWork)
	}
	d.mu.Unlock()
	if conn == nil {
		return
	}
	mon.confirmAndReturnConn(conn)
}

// confirmAndReturnConn confirms the primary over an idle connection and returns the
// connection to the pool.
func (mon *monitor) confirmAndReturnConn(conn *memberConn) {
	d := mon.db
	_, err := d.confirmPrimary(conn, nil, time.Now().Add(probeTimeout))
	d.mu.Lock()
	defer d.mu.Unlock()
	if err == nil {
		d.returnConn(conn)
		return
	}
	d.dropConnLocked(conn)
	d.recordConnFailure(conn.member, now())
}
