package core

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// database is the state of a database. The fields from owned on are in use while
// this node acts as its owner.
type database struct {
	name    entity.Database
	service *service
	spec    *DatabaseSpec
	// timerIndex is the position in Node.databaseTimers, -1 if not in it.
	timerIndex int
	nextTick   entity.Time
	// dirty is set while the database is in Node.dirtyDatabases.
	dirty bool
	// ownerCandidate is set while the database is in Node.ownerCandidates.
	ownerCandidate bool

	owned bool
	// lastUsed is when the node last received a request for the database or was
	// its owner in the membership view.
	lastUsed  entity.Time
	group     *group.Group
	sched     *flood.Scheduler
	upstreams []upstream
	sessions  sessionTable
	records   recordTable
	// awaitingRound, confirming and awaitingReplica hold the requests in the
	// states of the same names. They may also hold handles of ended requests.
	awaitingRound   handleQueue
	confirming      handleQueue
	awaitingReplica handleQueue
	// runningRequests counts the dispatched requests without a completion.
	runningRequests  int
	nextInFlightTune entity.Time
	term             uint64
	primary          entity.Upstream
	// primaryPausedUntil is when dispatch to the primary resumes after the
	// primary rejected a batch.
	primaryPausedUntil entity.Time
	// leavingSince is when the first of the upstreams was seen to be leaving; 0
	// if none is.
	leavingSince entity.Time
	// basePosition is a log position that covers every write that other owners
	// acknowledged before exclusiveSince. It is zero while it is not known, and
	// baseRound is the probe round that determines it.
	basePosition   entity.Position
	baseRound      group.RoundID
	exclusiveSince entity.Time
}

// upstream is the owner's view of one member's connections.
type upstream struct {
	name entity.Upstream
	// slots is the number of batches that the upstream runs in parallel.
	slots int
	// inFlight counts the dispatched batches without a completion, apart from the
	// stalled ones.
	inFlight int
	// maxInFlight bounds inFlight. It covers the batches in slots and those on
	// the network.
	maxInFlight int
	// serviceTime is the moving average of the time that a batch spends at the
	// upstream, without the network round trip; 0 if not measured.
	serviceTime time.Duration
	// stalledCount counts the batches in flight that did not respond in time.
	stalledCount   int
	maxConnections int
	// openCount counts the established connections, openingCount those that are
	// being opened.
	openCount    int
	openingCount int
	// retryOpenAt is the earliest time of the next attempt to connect.
	retryOpenAt entity.Time
	// openFailures counts the failed attempts to connect in a row, up to 6.
	openFailures int
	// suspectedAt is when a connection to the upstream last failed to respond.
	suspectedAt     entity.Time
	idleConnections []*connection
}

func (n *Node) schedulerPolicy(s *service) flood.Policy {
	return flood.Policy{Ranks: s.spec.Ranks, RetryRatio: s.spec.RetryRatio, MaxQueued: s.spec.MaxQueued}
}

// startOwning makes this node act as owner of the database, with empty tables.
func (n *Node) startOwning(db *database) {
	if db.owned {
		return
	}
	names := make([]entity.Upstream, 0, len(db.spec.Upstreams))
	db.upstreams = db.upstreams[:0]
	for _, u := range db.spec.Upstreams {
		names = append(names, u.Name)
		limit := max(1, int(float64(u.Connections)*n.config.ConnectionShare))
		db.upstreams = append(db.upstreams, upstream{name: u.Name, slots: u.Slots, maxInFlight: u.Slots, maxConnections: limit})
	}
	seed := n.config.Seed ^ uint64(len(db.name))<<32 ^ hashName(string(db.name))
	db.owned = true
	db.lastUsed = n.now
	db.group = group.New(n.config.Group, names, seed)
	db.sched = flood.New(n.schedulerPolicy(db.service), seed)
	db.sessions = newSessionTable(n.config.MaxSessions)
	db.records = newRecordTable(n.config.MaxRecords)
	db.awaitingRound, db.confirming, db.awaitingReplica = handleQueue{}, handleQueue{}, handleQueue{}
	db.runningRequests = 0
	db.leavingSince, db.nextInFlightTune = 0, 0
	db.basePosition, db.baseRound, db.exclusiveSince = entity.Position{}, 0, 0
	db.primary, db.term = "", 0
	n.updateOwnerCandidate(db)
	n.setSlots(db)
	n.emitEvent(Event{Kind: EventOwnerStarted, Database: db.name})
	n.markDirty(db)
}

// stopOwning ends the node's role as owner of the database. Requests that never
// ran are refused, the others get ResultUnknown, and all connections are closed.
func (n *Node) stopOwning(db *database) {
	if !db.owned {
		return
	}
	n.endRequests(db)
	for _, c := range n.connectionsOf(db) {
		n.closeConnection(c)
	}
	db.owned = false
	db.group, db.sched = nil, nil
	db.upstreams = nil
	db.sessions, db.records = sessionTable{}, recordTable{}
	n.databaseTimers.remove(db)
	n.updateOwnerCandidate(db)
	n.emitEvent(Event{Kind: EventOwnerStopped, Database: db.name})
}

// endRequests finishes all requests of the database that this node did not
// forward.
func (n *Node) endRequests(db *database) {
	for _, r := range n.requestsOf(db) {
		switch r.state {
		case stateForwarded:
		case stateAwaitingRound, stateQueued, stateAwaitingReplica:
			n.refuse(r, "owner_stopped", n.retryHint(r))
		default:
			n.finishUnknown(r, "owner_stopped")
		}
	}
}

// updateOwnership starts and stops owning databases as the membership view
// changes, once per ownershipCheckInterval.
func (n *Node) updateOwnership() {
	if n.now < n.nextOwnershipCheck {
		return
	}
	n.nextOwnershipCheck = n.now.Add(ownershipCheckInterval)
	// Backwards, since an update may remove the database from the slice.
	for i := len(n.ownerCandidates) - 1; i >= 0; i-- {
		n.updateDatabaseOwnership(n.ownerCandidates[i])
	}
	n.setProbeIntervals()
}

// setProbeIntervals sets the interval between the probe rounds that no request
// waits for, from the number of members that this node probes.
func (n *Node) setProbeIntervals() {
	members := 0
	for _, db := range n.ownerCandidates {
		if db.owned {
			members += len(db.upstreams)
		}
	}
	minInterval := time.Duration(members) * time.Second / time.Duration(n.config.ProbesPerSecond)
	interval := max(n.config.Group.ProbeInterval, minInterval)
	for _, db := range n.ownerCandidates {
		if db.owned {
			db.group.SetProbeInterval(interval)
		}
	}
}

// updateOwnerCandidate adds the database to ownerCandidates or removes it. Other
// databases cost no work between changes of the list or of the documents.
func (n *Node) updateOwnerCandidate(db *database) {
	candidate := db.owned || n.membership.InHomeCell(db.name)
	if candidate == db.ownerCandidate {
		return
	}
	db.ownerCandidate = candidate
	if candidate {
		n.ownerCandidates = append(n.ownerCandidates, db)
		return
	}
	n.ownerCandidates = slices.DeleteFunc(n.ownerCandidates, func(x *database) bool { return x == db })
}

func (n *Node) updateDatabaseOwnership(db *database) {
	owner, ok := n.membership.Owner(n.now, db.name, nil)
	shouldOwn := ok && owner == n.config.Self && !n.draining
	switch {
	case shouldOwn && !db.owned:
		n.startOwning(db)
	case shouldOwn:
		db.lastUsed = n.now
	case db.owned && n.isOwnershipIdle(db):
		n.stopOwning(db)
	}
}

// isOwnershipIdle reports whether the database has had no request for
// Config.OwnerLinger and has none open.
func (n *Node) isOwnershipIdle(db *database) bool {
	if db.runningRequests > 0 || n.now.Sub(db.lastUsed) < n.config.OwnerLinger {
		return false
	}
	return db.awaitingRound.len() == 0 && db.confirming.len() == 0 && len(n.requestsOf(db)) == 0
}

// markDirty has the database run in this tick.
func (n *Node) markDirty(db *database) {
	if db.dirty {
		return
	}
	db.dirty = true
	n.dirtyDatabases = append(n.dirtyDatabases, db)
}

// runDatabases runs the owned databases that had input or whose timer is due.
func (n *Node) runDatabases() {
	for len(n.databaseTimers) > 0 && n.databaseTimers[0].nextTick <= n.now {
		db := n.databaseTimers[0]
		n.databaseTimers.remove(db)
		n.markDirty(db)
	}
	for i := 0; i < len(n.dirtyDatabases); i++ {
		db := n.dirtyDatabases[i]
		db.dirty = false
		if db.owned {
			n.runDatabase(db)
		}
	}
	n.dirtyDatabases = n.dirtyDatabases[:0]
}

// runDatabase advances an owned database: its group, the queues of waiting
// requests and the dispatch.
func (n *Node) runDatabase(db *database) {
	db.group.Tick(n.now)
	n.observePrimary(db)
	n.updateExclusivity(db)
	n.resumeAfterRounds(db)
	n.releaseConfirmed(db)
	n.resumeReplicaReads(db)
	n.expireQueued(db)
	n.drainLeavingUpstreams(db)
	n.tuneInFlight(db)
	n.dispatch(db)
	db.records.expire(n.now)
	db.group.Tick(n.now)
	n.emitGroupMessages(db)
	n.databaseTimers.set(db, n.nextDatabaseTick(db))
}

func (n *Node) nextDatabaseTick(db *database) entity.Time {
	next := min(db.group.NextTick(), db.sched.NextExpiry())
	if db.awaitingReplica.len() > 0 {
		next = min(next, n.now.Add(replicaPollInterval))
	}
	if db.confirming.len() > 0 {
		if from, ok := n.membership.MayAcknowledge(n.now, db.name); !ok {
			next = min(next, from)
		}
	}
	if db.leavingSince > 0 {
		next = min(next, n.now.Add(leavingPollInterval))
	}
	if db.primaryPausedUntil > n.now {
		next = min(next, db.primaryPausedUntil)
	}
	for i := range db.upstreams {
		if db.upstreams[i].retryOpenAt > n.now {
			next = min(next, db.upstreams[i].retryOpenAt)
		}
	}
	return next
}

func (n *Node) emitGroupMessages(db *database) {
	ready := db.group.Ready()
	for _, m := range ready.Probes {
		n.out.Probes = append(n.out.Probes, GroupProbeRequest{db.name, m})
	}
	for _, m := range ready.Fences {
		n.out.Fences = append(n.out.Fences, GroupFenceRequest{db.name, m})
	}
	for _, m := range ready.Promotes {
		n.out.Promotes = append(n.out.Promotes, GroupPromoteRequest{db.name, m})
	}
	for _, m := range ready.Claims {
		n.out.Claims = append(n.out.Claims, GroupClaimRequest{db.name, m})
	}
}

// stepGroups passes the answers of members and of the metadata store to the
// database groups.
func (n *Node) stepGroups(in *Inputs) {
	for i := range in.Probes {
		if db, ok := n.ownedDatabase(in.Probes[i].Database); ok {
			db.group.StepProbe(n.now, in.Probes[i].ProbeAnswer)
		}
	}
	for i := range in.Fences {
		if db, ok := n.ownedDatabase(in.Fences[i].Database); ok {
			db.group.StepFence(n.now, in.Fences[i].FenceAnswer)
		}
	}
	for i := range in.Promotes {
		if db, ok := n.ownedDatabase(in.Promotes[i].Database); ok {
			db.group.StepPromote(n.now, in.Promotes[i].PromoteAnswer)
		}
	}
	for i := range in.Claims {
		if db, ok := n.ownedDatabase(in.Claims[i].Database); ok {
			db.group.StepClaim(n.now, in.Claims[i].ClaimAnswer)
		}
	}
}

// ownedDatabase returns a database that this node owns and marks it dirty.
func (n *Node) ownedDatabase(name entity.Database) (*database, bool) {
	db, ok := n.databases[name]
	if !ok || !db.owned {
		return nil, false
	}
	n.markDirty(db)
	return db, true
}

// observePrimary applies a change of primary that the group has detected or made.
func (n *Node) observePrimary(db *database) {
	name, term, ok := db.group.Primary()
	if !ok || (name == db.primary && term == db.term) {
		return
	}
	db.primary, db.term = name, term
	n.emitEvent(Event{Kind: EventPrimaryChanged, Database: db.name, Upstream: name, Term: term})
	db.primaryPausedUntil = 0
	db.basePosition, db.baseRound = entity.Position{}, 0
	if db.group.Survival(db.sessions.maxEvicted) == group.SurvivalLost {
		// No replica can reach a position that was lost. The next basePosition
		// covers what the new primary acknowledged.
		db.sessions.maxEvicted = entity.Position{}
	}
	n.setSlots(db)
}

// setSlots passes the number of batches that each lane may have in flight to the
// scheduler. While no primary is known, the first upstream counts as primary.
func (n *Node) setSlots(db *database) {
	primary, replica := 0, 0
	for i := range db.upstreams {
		u := &db.upstreams[i]
		if n.leavingUpstreams[u.name] {
			continue
		}
		if u.name == db.primary || (db.primary == "" && i == 0) {
			primary += u.maxInFlight
		} else {
			replica += u.maxInFlight
		}
	}
	db.sched.SetSlots(flood.LanePrimary, primary)
	db.sched.SetSlots(flood.LaneReplica, max(replica, 1))
}
