package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// UpstreamSnapshot is the owner's view of one member of a database group.
type UpstreamSnapshot struct {
	Name entity.Upstream
	// Status is the last reported status, set if StatusKnown.
	Status      entity.MemberStatus
	StatusKnown bool
	// Lag is an upper bound on the age of the member's data, set if LagKnown.
	Lag      time.Duration
	LagKnown bool
	// SlotsUsed counts the batches in flight, without stalled ones.
	SlotsUsed int
	// Connections counts the established connections.
	Connections int
	Leaving     bool
}

// RankSnapshot is the length of a rank's queue at the owner.
type RankSnapshot struct {
	Name   string
	Queued int
}

// DatabaseSnapshot is a node's view of one database. The fields from Exclusive on
// are set only if OwnedHere.
type DatabaseSnapshot struct {
	Name entity.Database
	// Owner is the owner in this node's view; empty if there is none.
	Owner entity.VM
	// OwnedHere is set if this node acts as owner.
	OwnedHere bool
	// Exclusive is set if the owner's session table covers all acknowledged
	// writes, so that reads from replicas need no probe round.
	Exclusive bool
	Primary   entity.Upstream
	Term      uint64
	Upstreams []UpstreamSnapshot
	Ranks     []RankSnapshot
}

// Snapshot is a node's state as shown to operators.
type Snapshot struct {
	VM           entity.VM
	Draining     bool
	Requests     int
	Transactions int
	Databases    []DatabaseSnapshot
	Members      []membership.MemberState
}

// Snapshot returns the node's state. Databases are in name order.
func (n *Node) Snapshot() Snapshot {
	s := Snapshot{
		VM:           n.config.Self,
		Draining:     n.draining,
		Requests:     len(n.requests),
		Transactions: len(n.transactions),
		Members:      n.membership.Members(),
	}
	for _, db := range n.sortedDatabases {
		s.Databases = append(s.Databases, n.snapshotDatabase(db))
	}
	return s
}

func (n *Node) snapshotDatabase(db *database) DatabaseSnapshot {
	d := DatabaseSnapshot{Name: db.name, OwnedHere: db.owned}
	d.Owner, _ = n.membership.Owner(n.now, db.name, nil)
	if !db.owned {
		return d
	}
	d.Exclusive = n.sessionsComplete(db)
	d.Primary, d.Term = db.primary, db.term
	for i := range db.upstreams {
		d.Upstreams = append(d.Upstreams, n.snapshotUpstream(db, &db.upstreams[i]))
	}
	for i, rank := range db.service.spec.Ranks {
		d.Ranks = append(d.Ranks, RankSnapshot{Name: rank.Name, Queued: db.sched.Queued(i)})
	}
	return d
}

func (n *Node) snapshotUpstream(db *database, u *upstream) UpstreamSnapshot {
	s := UpstreamSnapshot{Name: u.name, SlotsUsed: u.inFlight, Connections: u.openCount, Leaving: n.leavingUpstreams[u.name]}
	s.Status, s.StatusKnown = db.group.Status(u.name)
	s.Lag, s.LagKnown = db.group.Lag(n.now, u.name)
	return s
}
