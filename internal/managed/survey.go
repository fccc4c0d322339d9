package managed

import (
	"context"
	"errors"
	"slices"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// report is one member's answer in a survey.
type report struct {
	member *member
	spec   Member
	status Status
	err    error
}

// survey asks members for their status, each over a connection of its own.
func (s *monitor) survey(command Command, members []*member) []report {
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

func (s *monitor) ask(m *member, command Command) report {
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
func (s *monitor) askOver(l *link, command Command, deadline time.Time) (Status, error) {
	d := s.db
	var status Status
	var err error
	for range busyRetries {
		status, err = l.status(d.proxy.options.Protocol, deadline, command)
		var refused *RefusedError
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

// anyFull reports whether a member answered that its connections or slots are
// taken: it may be the primary.
func anyFull(reports []report) bool {
	for i := range reports {
		var refused *RefusedError
		if errors.As(reports[i].err, &refused) && (refused.Code == CodeConnectionLimit || refused.Code == CodeBusy) {
			return true
		}
	}
	return false
}

func (d *database) failuresOf(m *member) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return m.failures
}

func (s *monitor) others(leader *member) []*member {
	return slices.DeleteFunc(s.db.all(), func(m *member) bool { return m == leader })
}

// furthestReplica returns the highest position received by a replica. It reports
// false if no replica answers.
func (s *monitor) furthestReplica(leader *member) (entity.Position, bool) {
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
