package core

import "time"

const (
	// leavingGrace is how long open transactions may go on at a leaving
	// upstream. It gets no new work 3 s after the list tells of it.
	leavingGrace = 2 * time.Second
	leavingPoll  = 20 * time.Millisecond
)

// leaveUpstreams takes work away from upstreams that the platform's list calls
// leaving. They get no new request from the tick that learns of it; a leaving
// primary is replaced once its requests have ended and a replica holds all of
// its log.
func (n *Node) leaveUpstreams(db *database) {
	leaving := false
	for i := range db.upstreams {
		name := db.upstreams[i].name
		db.group.SetLeaving(name, n.leaving[name])
		leaving = leaving || n.leaving[name]
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

func (n *Node) replaceLeavingPrimary(db *database) {
	index := db.upstreamIndex()
	if index < 0 || !n.leaving[db.primary] || db.upstreams[index].used > 0 || db.confirms.len() > 0 {
		return
	}
	for _, c := range n.conns {
		if c.db == db && c.upstream == index && c.state == connPinned {
			return
		}
	}
	db.group.RequestSwitchover()
	// The round tells how far the replicas are after the last write.
	db.group.RequestRound(n.now)
}

// endLeavingTransactions closes the connections on which callers still hold
// transactions open.
func (n *Node) endLeavingTransactions(db *database) {
	for _, c := range n.connectionsOf(db) {
		if c.state == connPinned && n.leaving[db.upstreams[c.upstream].name] {
			n.dropPin(c.caller)
		}
	}
}
