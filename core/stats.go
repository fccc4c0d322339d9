package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// ClassInfo describes a request's class for metrics.
type ClassInfo struct {
	Class string
	Rank  string
	// ReplicaAllowed is set for reads that a replica may serve.
	ReplicaAllowed bool
	ReadOnly       bool
}

// ClassOf returns the class that the node would assign to a request. It reports
// false if the current documents have no such database or class.
func (n *Node) ClassOf(name entity.Database, user, class string) (ClassInfo, bool) {
	db, ok := n.databases[name]
	if !ok {
		return ClassInfo{}, false
	}
	if class == "" {
		class = db.classOf(user)
	}
	spec, ok := db.service.classes[class]
	if !ok || spec.Rank >= len(db.service.spec.Ranks) {
		return ClassInfo{}, false
	}
	return ClassInfo{
		Class:          spec.Name,
		Rank:           db.service.spec.Ranks[spec.Rank].Name,
		ReplicaAllowed: spec.ReadOnly && spec.MaxAge > 0,
		ReadOnly:       spec.ReadOnly,
	}, true
}

// Lag returns an upper bound on the age of a member's data at the last tick. It
// reports false if the age is unknown or this node does not own the database.
func (n *Node) Lag(name entity.Database, upstream entity.Upstream) (time.Duration, bool) {
	db, ok := n.databases[name]
	if !ok || !db.owned {
		return 0, false
	}
	return db.group.Lag(n.now, upstream)
}

// RoundState returns the state of a probe round of a database. It reports false
// if this node does not own the database.
func (n *Node) RoundState(name entity.Database, id group.RoundID) (group.RoundState, bool) {
	db, ok := n.databases[name]
	if !ok || !db.owned {
		return group.RoundPending, false
	}
	return db.group.Round(id).State, true
}

// UpstreamLoad is the load that this node puts on one or several upstreams.
type UpstreamLoad struct {
	// SlotsUsed counts the batches in flight, without stalled ones.
	SlotsUsed int
	// Connections counts the established connections.
	Connections int
}

// DatabaseLoad is the queued and running work of a database at its owner.
type DatabaseLoad struct {
	Name     entity.Database
	Ranks    []RankSnapshot
	Primary  UpstreamLoad
	Replicas UpstreamLoad
}

// Loads returns the load of the owned databases in name order. Unlike Snapshot
// it leaves out the databases of other owners, of which there may be many.
func (n *Node) Loads() []DatabaseLoad {
	var out []DatabaseLoad
	for _, db := range n.sortedDatabases {
		if db.owned {
			out = append(out, db.load())
		}
	}
	return out
}

func (db *database) load() DatabaseLoad {
	load := DatabaseLoad{Name: db.name}
	for i, rank := range db.service.spec.Ranks {
		load.Ranks = append(load.Ranks, RankSnapshot{Name: rank.Name, Queued: db.sched.Queued(i)})
	}
	for i := range db.upstreams {
		u := &db.upstreams[i]
		sum := &load.Replicas
		if u.name == db.primary {
			sum = &load.Primary
		}
		sum.SlotsUsed += u.inFlight
		sum.Connections += u.openCount
	}
	return load
}
