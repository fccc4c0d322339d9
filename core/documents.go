package core

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// stepDocumentsAndDrain applies new documents and starts a drain.
func (n *Node) stepDocumentsAndDrain(in *Inputs) {
	for _, spec := range in.Documents {
		n.applyDocument(spec)
	}
	if in.Drain && !n.draining {
		n.draining = true
		n.drainNotBefore = n.now.Add(n.config.DrainLinger)
		n.membership.SetDraining(n.now)
	}
}

// applyDocument replaces the document of a service if its revision is higher. A
// lower revision is refused, the current one is ignored.
func (n *Node) applyDocument(spec Service) {
	old, ok := n.services[spec.Name]
	if ok && spec.Revision <= old.spec.Revision {
		if spec.Revision < old.spec.Revision {
			n.emitEvent(Event{Kind: EventDocumentRefused, Service: spec.Name, Revision: spec.Revision})
		}
		return
	}
	s := &service{spec: spec, classes: map[string]*classState{}}
	for _, c := range spec.Classes {
		s.classes[c.Name] = &classState{Class: c, cost: max(c.Cost, minClassCost)}
	}
	n.services[spec.Name] = s
	for i := range s.spec.Databases {
		n.applyDatabase(s, &s.spec.Databases[i])
	}
	n.removeMissingDatabases(s)
	n.nextOwnershipCheck = n.now
	n.emitEvent(Event{Kind: EventDocumentInForce, Service: spec.Name, Revision: spec.Revision})
}

// minClassCost is the lowest initial estimate of a class's slot time, and that of
// classes without a Cost.
const minClassCost = time.Millisecond

// applyDatabase adds or updates a database of a service.
func (n *Node) applyDatabase(s *service, spec *DatabaseSpec) {
	db, ok := n.databases[spec.Name]
	if ok && db.service.spec.Name < s.spec.Name {
		// Two services declare the database. All nodes must choose the same one,
		// so the first name wins.
		n.emitEvent(Event{Kind: EventDocumentRefused, Service: s.spec.Name, Database: spec.Name, Revision: s.spec.Revision})
		return
	}
	if !ok {
		db = &database{name: spec.Name, timerIndex: -1}
		n.databases[spec.Name] = db
		at, _ := slices.BinarySearchFunc(n.sortedDatabases, spec.Name, compareDatabase)
		n.sortedDatabases = slices.Insert(n.sortedDatabases, at, db)
	}
	membersChanged := !ok || !sameUpstreams(db.spec, spec)
	db.service = s
	db.spec = spec
	n.updateOwnerCandidate(db)
	if !db.owned {
		return
	}
	db.sched.SetPolicy(n.schedulerPolicy(s))
	if membersChanged {
		n.stopOwning(db)
		n.startOwning(db)
	}
	n.markDirty(db)
}

func compareDatabase(db *database, name entity.Database) int {
	if db.name < name {
		return -1
	}
	if db.name > name {
		return 1
	}
	return 0
}

func sameUpstreams(a, b *DatabaseSpec) bool {
	return slices.Equal(a.Upstreams, b.Upstreams)
}

// removeMissingDatabases removes the databases that the new document of the
// service no longer has.
func (n *Node) removeMissingDatabases(s *service) {
	kept := n.sortedDatabases[:0]
	for _, db := range n.sortedDatabases {
		if db.service.spec.Name == s.spec.Name && db.service != s {
			n.dropDatabase(db)
			continue
		}
		kept = append(kept, db)
	}
	clear(n.sortedDatabases[len(kept):])
	n.sortedDatabases = kept
}

func (n *Node) dropDatabase(db *database) {
	n.stopOwning(db)
	if db.ownerCandidate {
		n.ownerCandidates = slices.DeleteFunc(n.ownerCandidates, func(x *database) bool { return x == db })
	}
	delete(n.databases, db.name)
}

func (n *Node) emitEvent(e Event) { n.out.Events = append(n.out.Events, e) }

// Revisions returns the revision in force of each service, by name.
func (n *Node) Revisions() map[string]uint64 {
	out := make(map[string]uint64, len(n.services))
	for name, s := range n.services {
		out[name] = s.spec.Revision
	}
	return out
}
