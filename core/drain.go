package core

// stepDrain ends ownership of all databases once a draining node has no open
// request or transaction left.
func (n *Node) stepDrain() {
	if !n.draining || n.drained || n.now < n.drainNotBefore {
		return
	}
	if len(n.requests) > 0 || len(n.transactions) > 0 {
		return
	}
	for _, db := range n.sortedDatabases {
		n.stopOwning(db)
	}
	n.drained = true
	n.emitEvent(Event{Kind: EventDrained})
}
