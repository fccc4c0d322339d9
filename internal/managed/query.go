package managed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// statusReport is one member's reply to a status, pause or resume command.
type statusReport struct {
	member *member
	entry  Member
	status Status
	err    error
}

// queryMembers sends a command to the members in parallel and returns their replies in the
// same order.
func (mon *monitor) queryMembers(command Command, members []*member) []statusReport {
	reports := make([]statusReport, len(members))
	var wait sync.WaitGroup
	for i, m := range members {
		wait.Go(func() { reports[i] = mon.queryMember(m, command) })
	}
	wait.Wait()
	return reports
}

// busyRetries is the number of tries of a status call at a member without a free slot.
const busyRetries = 4

func (mon *monitor) queryMember(m *member, command Command) statusReport {
	d := mon.db
	r := statusReport{member: m}
	d.mu.Lock()
	r.entry = m.entry
	conn := m.takeIdle(&ownWork)
	d.mu.Unlock()
	deadline := time.Now().Add(probeTimeout)
	if conn != nil {
		// An idle connection may be dead without notice, so it gets only part of the time.
		r.status, r.err = mon.queryOver(conn, command, time.Now().Add(probeTimeout/3))
		if r.err == nil {
			return r
		}
	}
	ctx, cancel := context.WithDeadline(context.Background(), deadline.Add(probeTimeout/3))
	defer cancel()
	if conn, r.err = dialMember(ctx, d.proxy.options.Protocol, m, r.entry, ""); r.err == nil {
		r.status, r.err = mon.queryOver(conn, command, deadline.Add(probeTimeout/3))
	}
	if r.err != nil {
		d.proxy.events.memberFailed(d.name, r.entry.Name, "status", r.err)
	}
	return r
}

// queryOver sends one command and returns the connection to the pool.
func (mon *monitor) queryOver(conn *memberConn, command Command, deadline time.Time) (Status, error) {
	d := mon.db
	var status Status
	var err error
	for range busyRetries {
		status, err = conn.status(d.proxy.options.Protocol, deadline, command)
		var refused *RefusedError
		if !errors.As(err, &refused) || refused.Code != CodeBusy {
			break
		}
		time.Sleep(retryDelay)
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil {
		d.dropConnLocked(conn)
		return status, err
	}
	conn.member.clearFailures()
	conn.member.received = status.Received
	d.returnConn(conn)
	return status, nil
}

// allMembers returns the members of the database.
func (d *database) allMembers() []*member {
	d.mu.Lock()
	defer d.mu.Unlock()
	members := make([]*member, 0, len(d.members))
	for _, m := range d.members {
		members = append(members, m)
	}
	return members
}

// startedMembers returns the members whose process is not among the known ones, given by name and
// incarnation, and adds them to these. The target of an order is none of them.
func (d *database) startedMembers(known map[entity.Upstream]int64, target entity.Upstream) []*member {
	d.mu.Lock()
	defer d.mu.Unlock()
	var started []*member
	for _, m := range d.members {
		incarnation, ok := known[m.name]
		if m.name == target || ok && (incarnation == 0 || incarnation == m.entry.Incarnation) {
			continue
		}
		known[m.name] = m.entry.Incarnation
		started = append(started, m)
	}
	return started
}

// anyAtCapacity reports whether a member refused because its connections or slots were
// exhausted. Such a member is alive and may be the primary.
func anyAtCapacity(reports []statusReport) bool {
	for i := range reports {
		var refused *RefusedError
		if errors.As(reports[i].err, &refused) && (refused.Code == CodeConnectionLimit || refused.Code == CodeBusy) {
			return true
		}
	}
	return false
}

func (d *database) connFailures(m *member) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return m.failures
}

func (mon *monitor) allExcept(primary *member) []*member {
	return slices.DeleteFunc(mon.db.allMembers(), func(m *member) bool { return m == primary })
}

// furthestReceived returns the highest position received by any of the members. It reports false
// if none answered.
func furthestReceived(reports []statusReport) (entity.Position, bool) {
	var furthest entity.Position
	found := false
	for i := range reports {
		r := &reports[i]
		if r.err != nil {
			continue
		}
		found = true
		if furthest.Less(r.status.Received) {
			furthest = r.status.Received
		}
	}
	return furthest, found
}
