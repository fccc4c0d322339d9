package managed

import (
	"context"
	"errors"
	"net"
	"os"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/freshness"
)

// connectTimeout bounds the opening of a connection. Two round trips between regions and
// the session start on a busy upstream take about 200 ms.
const connectTimeout = 800 * time.Millisecond

// connect opens a connection if the permit has none. On failure the connection is no longer
// counted and the error is recorded at the member.
func (p *permit) connect(deadline entity.Time) error {
	if p.conn != nil {
		return nil
	}
	d, m := p.db, p.member
	d.mu.Lock()
	entry := m.entry
	d.mu.Unlock()
	at := now()
	limit := min(connectTimeout, deadline.Sub(at))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	replaces := p.closeEvicted()
	conn, err := dialMember(ctx, d.proxy.options.Protocol, m, entry, p.organisation)
	p.reserved = false
	if err == nil {
		conn.pooled = true
		p.conn, conn.lastUsed = conn, now()
		d.proxy.observer.countOpened()
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.openConns--
	p.result = resultFailed
	d.recordDialFailure(m, err)
	if replaces {
		m.noReplacementUntil = m.noNewConnsUntil
	}
	return err
}

// recordDialFailure records why a connection could not be opened. The mutex is held.
func (d *database) recordDialFailure(m *member, err error) {
	at := now()
	var refused *RefusedError
	if errors.As(err, &refused) {
		switch refused.Code {
		case CodeConnectionLimit:
			m.noNewConnsUntil = at.Add(connectionLimitPause)
		case CodeMisrouted:
			// The address now belongs to another upstream.
			m.pauseUntil = at.Add(missingGrace)
		default:
			m.pauseUntil = at.Add(failurePause)
		}
		return
	}
	if m != d.primary && isTimeout(err) {
		m.recordLostReply(at)
		return
	}
	d.recordConnFailure(m, at)
}

// recordConnFailure records a connection that broke or could not be opened. The mutex is
// held.
func (d *database) recordConnFailure(m *member, at entity.Time) {
	m.recordFailure(at)
	// The other idle connections have probably failed as well.
	for _, conn := range m.idleConns {
		d.dropConnLocked(conn)
	}
	m.idleConns = m.idleConns[:0]
	if m == d.primary {
		d.monitor.wake()
	}
}

// isTimeout reports whether the peer did not answer in time, as opposed to refusing or
// resetting the connection.
func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		(errors.As(err, &network) && network.Timeout())
}

// connFailed releases the permit and closes its connection after a failed exchange.
func (p *permit) connFailed(err error) {
	d := p.db
	d.mu.Lock()
	defer d.mu.Unlock()
	p.result = resultFailed
	d.finishPermit(p, false)
	if p.conn != nil {
		d.dropConnLocked(p.conn)
		p.conn = nil
	}
	at := now()
	if isTimeout(err) {
		// A timeout may be a slow statement rather than a failed member, so the monitor
		// checks.
		if p.member == d.primary {
			d.monitor.suspectPrimary()
		} else {
			p.member.recordLostReply(at)
		}
	} else {
		d.recordConnFailure(p.member, at)
	}
	d.dispatch(at)
	d.armTimer(at)
}

// confirmPrimary confirms over a connection that its member is the primary: a read-write
// transaction can begin only there. BEGIN takes no execution slot of the upstream. It
// reports false if the member refused. It also sets the variables of a session that is to use
// the connection next, if the upstream accepts them; the session is nil if there is none.
func (d *database) confirmPrimary(conn *memberConn, s *sessionState, deadline time.Time) (bool, error) {
	sent := now()
	commands := []Command{{Kind: CommandBegin}, {Kind: CommandRollback}}
	var replies []Reply
	var err error
	if s == nil {
		replies, err = conn.exchange(deadline, commands...)
	} else {
		// A refusal shows again when the variables are needed.
		replies, _, err = conn.exchangeWithVariables(deadline, s, commands...)
	}
	if err != nil {
		return false, err
	}
	if replies[1].State != StateIdle {
		return false, errTransactionOpen
	}
	if replies[0].Code != CodeNone {
		d.recordNotPrimary(conn.member)
		return false, nil
	}
	d.recordConfirmation(conn.member, sent, replies[0].Position)
	return true, nil
}

// recordConfirmation records that a member was the primary at some instant after sent, and
// that its log then ended at position. A zero position is unknown and not recorded.
func (d *database) recordConfirmation(m *member, sent entity.Time, position entity.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.clearFailures()
	if position.IsZero() {
		return
	}
	d.behindSince = 0
	d.logEnds.add(now(), position)
	if m == d.primary {
		d.primaryAnsweredAt = max(d.primaryAnsweredAt, sent)
	}
	// position.Term may be older than primaryTerm: right after a promotion the log may still
	// end with an entry of an older term.
	d.confirmedPositions.Add(freshness.ConfirmedPosition{Sent: sent, Position: position})
	if position.Term > d.primaryTerm {
		d.setPrimary(m, position.Term, "proof")
	}
}

// recordNotPrimary records that a member refused a write or a transaction because it is a
// replica.
func (d *database) recordNotPrimary(m *member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.deniedPrimary = true
	if m == d.primary {
		d.setPrimary(nil, d.primaryTerm, "read_only")
	}
	d.monitor.suspectPrimary()
}

// setPrimary changes the believed primary; m is nil if none is known. The mutex is held.
func (d *database) setPrimary(m *member, term uint64, reason string) {
	if d.primary == m && d.primaryTerm == term {
		return
	}
	if d.primaryTerm != 0 && term > d.primaryTerm {
		d.lastPromotionAt = now()
	}
	promoted := d.primaryTerm != 0 && term > d.primaryTerm
	previous := d.primary
	if m != previous {
		d.primaryAnsweredAt = 0
	}
	d.primary, d.primaryTerm = m, term
	if m != nil {
		d.behindSince = 0
	}
	d.pacePrimaryReplaced(previous)
	d.proxy.events.primaryChanged(d.name, previous, m, term, reason)
	if d.proxy.observer != nil && previous != m && m != nil {
		d.proxy.observer.metrics.ForDatabase(string(d.name)).CountPrimaryChange()
	}
	at := now()
	if m != nil {
		if promoted {
			m.pace.begin(pacePromoted)
		}
		m.clearFailures()
	}
	d.dispatch(at)
	d.armTimer(at)
}
