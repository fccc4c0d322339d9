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

// connectTimeout bounds the opening of a connection: two round trips between
// regions and the start of a session on a busy upstream take about 200 ms.
const connectTimeout = 800 * time.Millisecond

// open makes sure that the permit has a link.
func (p *permit) open(deadline entity.Time) error {
	if p.link != nil {
		return nil
	}
	d, m := p.db, p.member
	d.mu.Lock()
	spec := m.spec
	d.mu.Unlock()
	at := now()
	limit := min(connectTimeout, deadline.Sub(at))
	ctx, cancel := context.WithTimeout(context.Background(), limit)
	defer cancel()
	l, err := dialLink(ctx, d.proxy.options.Protocol, m, spec)
	if err == nil {
		l.pooled = true
		p.link = l
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	m.open--
	d.noteDialFailure(m, err)
	return err
}

// noteDialFailure notes why a connection could not be opened.
func (d *database) noteDialFailure(m *member, err error) {
	at := now()
	var refused *RefusedError
	if errors.As(err, &refused) {
		switch refused.Code {
		case CodeConnectionLimit:
			m.fullUntil = at.Add(connectionLimitPause)
		case CodeMisrouted:
			// The address belongs to another upstream by now.
			m.pauseUntil = at.Add(missingGrace)
		default:
			m.pauseUntil = at.Add(failurePause)
		}
		return
	}
	d.noteFailure(m, at)
}

// noteFailure notes a connection that broke or could not be opened.
func (d *database) noteFailure(m *member, at entity.Time) {
	m.failed(at)
	// The other idle connections probably broke as well.
	for _, l := range m.idle {
		d.dropLocked(l)
	}
	m.idle = m.idle[:0]
	if m == d.leader {
		d.monitor.wake()
	}
}

// isTimeout reports whether a peer did not answer, rather than refuse or reset.
func isTimeout(err error) bool {
	var network net.Error
	return errors.Is(err, os.ErrDeadlineExceeded) || errors.Is(err, context.DeadlineExceeded) ||
		(errors.As(err, &network) && network.Timeout())
}

// broke notes that the permit's link failed in an exchange, and closes it.
func (p *permit) broke(err error) {
	d := p.db
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finish(p, false)
	if p.link != nil {
		d.dropLocked(p.link)
		p.link = nil
	}
	at := now()
	if isTimeout(err) {
		// A slow statement is no proof against the member; the monitor finds out.
		if p.member == d.leader {
			d.monitor.doubt()
		}
	} else {
		d.noteFailure(p.member, at)
	}
	d.dispatch(at)
	d.arm(at)
}

// prove confirms over a link that its member leads: a plain transaction begins
// on the primary only. It takes no slot of the upstream.
func (d *database) prove(l *link, deadline time.Time) (bool, error) {
	sent := now()
	replies, err := l.exchange(deadline, Command{Kind: CommandBegin}, Command{Kind: CommandRollback})
	if err != nil {
		return false, err
	}
	if replies[0].Code != CodeNone {
		d.noteNotLeading(l.member)
		return false, nil
	}
	d.noteProof(l.member, sent, replies[0].Position)
	return true, nil
}

// noteProof notes that a member led at some instant after sent.
func (d *database) noteProof(m *member, sent entity.Time, position entity.Position) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.answered()
	if position.IsZero() {
		return
	}
	// Right after a promotion the log may still end with an older term.
	d.history.Add(freshness.Proof{Sent: sent, Position: position})
	if position.Term > d.leaderTerm {
		d.setLeader(m, position.Term, "proof")
	}
}

// noteNotLeading notes that a member refused a write or a transaction as a replica.
func (d *database) noteNotLeading(m *member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.denied = true
	if m == d.leader {
		d.setLeader(nil, d.leaderTerm, "read_only")
	}
	d.monitor.doubt()
}

// setLeader changes the believed primary. The mutex is held.
func (d *database) setLeader(m *member, term uint64, reason string) {
	if d.leader == m && d.leaderTerm == term {
		return
	}
	if d.leaderTerm != 0 && term > d.leaderTerm {
		d.promotedAt = now()
	}
	previous := d.leader
	d.leader, d.leaderTerm = m, term
	d.proxy.events.leaderChanged(d.name, previous, m, term, reason)
	if d.proxy.observer != nil && previous != m && m != nil {
		d.proxy.observer.metrics.Database(string(d.name)).PrimaryChanged()
	}
	at := now()
	if m != nil {
		m.answered()
	}
	d.dispatch(at)
	d.arm(at)
}
