package core

import "time"

const (
	// leavingGrace is how long open transactions may continue on a leaving
	// upstream. A leaving upstream must get no work later than 3 s after the list
	// marks it.
	leavingGrace = 2 * time.Second
	// leavingPollInterval is the time between checks while an upstream is leaving.
	leavingPollInterval = 20 * time.Millisecond
)

// drainLeavingUpstreams moves work off the upstreams that the platform's list
// marks as leaving. They get no new requests from the tick that receives the
// list. A leaving primary is replaced once its requests have ended and a replica
// has all of its log.
func (n *Node) drainLeavingUpstreams(db *database) {
	leaving := false
	for i := range db.upstreams {
		name := db.upstreams[i].name
		db.group.SetLeaving(name, n.leavingUpstreams[name])
		leaving = leaving || n.leavingUpstreams[name]
	}
	switch {
	case !leaving:
		db.leavingSince = 0
		return
	case db.leavingSince == 0:
		db.leavingSince = n.now
		n.setSlots(db)
	}
	overdue := n.now.Sub(db.leavingSince) >= leavingGrace
	if overdue {
		n.endLeavingTransactions(db)
	}
	n.replaceLeavingPrimary(db)
}

// replaceLeavingPrimary starts the handover from a leaving primary that has no
// running batch, unconfirmed response or open transaction left.
func (n *Node) replaceLeavingPrimary(db *database) {
	index := db.primaryIndex()
	if index < 0 || !n.leavingUpstreams[db.primary] || db.upstreams[index].inFlight > 0 || db.confirming.len() > 0 {
		return
	}
	for _, c := range n.conns {
		if c.db == db && c.upstream == index && c.state == connPinned {
			return
		}
	}
	db.group.RequestSwitchover()
	// The round determines whether the replicas have the last write.
	db.group.RequestRound(n.now)
}

// endLeavingTransactions closes the connections to leaving upstreams on which
// callers have open transactions.
func (n *Node) endLeavingTransactions(db *database) {
	for _, c := range n.connectionsOf(db) {
		if c.state == connPinned && n.leavingUpstreams[db.upstreams[c.upstream].name] {
			n.abortTransaction(c.caller)
		}
	}
}
