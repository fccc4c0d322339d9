package core

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

type connState uint8

const (
	connOpening connState = iota
	connIdle
	// connBusy connections run a batch.
	connBusy
	// connChecking connections wait for the answer to a CheckConnection.
	connChecking
	// connPinned connections hold a caller's open transaction and run no batch.
	connPinned
)

// connection is the state of a connection to an upstream.
type connection struct {
	id entity.ConnectionID
	db *database
	// upstream is an index into db.upstreams.
	upstream int
	state    connState
	lastUsed entity.Time
	// request is the one whose batch runs, or nil.
	request *request
	// caller is that of the open transaction, if any, and inbound the stream on which
	// it began. term and lane are those of its first dispatch.
	caller  entity.CallerID
	inbound streamKey
	term    uint64
	lane    flood.Lane
	// stalled is set while the connection runs a batch that no longer counts
	// toward upstream.inFlight, since it did not respond in time.
	stalled bool
}

func hashName(s string) uint64 { return xxhash.Sum64String(s) }

func (n *Node) stepConnections(in *Inputs) {
	for _, e := range in.Connections {
		c, ok := n.conns[e.Connection]
		if !ok {
			continue
		}
		n.markDirty(c.db)
		switch e.State {
		case ConnectionOpened:
			n.connectionOpened(c)
		case ConnectionChecked:
			n.connectionChecked(c)
		case ConnectionFailed:
			n.connectionFailed(c)
		case ConnectionClosed:
			n.connectionClosed(c)
		}
	}
}

func (n *Node) connectionOpened(c *connection) {
	if c.state != connOpening {
		return
	}
	u := &c.db.upstreams[c.upstream]
	u.openingCount--
	u.openCount++
	u.openFailures = 0
	n.markIdle(c)
}

func (n *Node) connectionChecked(c *connection) {
	if c.state == connChecking {
		n.markIdle(c)
	}
}

// markIdle makes a connection available for the next request.
func (n *Node) markIdle(c *connection) {
	c.state = connIdle
	c.request = nil
	c.lastUsed = n.now
	u := &c.db.upstreams[c.upstream]
	u.idleConnections = append(u.idleConnections, c)
}

// A failed attempt to connect delays the next one by reconnectBase, doubled up to
// five times for further failures in a row, and by at most reconnectMax.
const (
	reconnectBase = 50 * time.Millisecond
	reconnectMax  = 2 * time.Second
)

func (n *Node) connectionFailed(c *connection) {
	u := &c.db.upstreams[c.upstream]
	u.openFailures = min(u.openFailures+1, 6)
	u.retryOpenAt = n.now.Add(min(reconnectBase<<(u.openFailures-1), reconnectMax))
	n.removeConnection(c)
}

// connectionClosed handles a connection that the upstream closed. If a batch
// runs on it, the batch's Completion handles the connection.
func (n *Node) connectionClosed(c *connection) {
	if c.state == connBusy {
		return
	}
	if c.state == connPinned {
		n.unpin(c)
	}
	n.removeConnection(c)
}

// closeConnection closes a connection unless it is already removed.
func (n *Node) closeConnection(c *connection) {
	if _, ok := n.conns[c.id]; !ok {
		return
	}
	n.out.Closes = append(n.out.Closes, CloseConnection{Connection: c.id})
	n.removeConnection(c)
}

// removeConnection removes a connection from the node's tables.
func (n *Node) removeConnection(c *connection) {
	delete(n.conns, c.id)
	u := &c.db.upstreams[c.upstream]
	switch c.state {
	case connOpening:
		u.openingCount--
		return
	case connBusy:
		n.freeSlot(c)
	case connIdle:
		if i := slices.Index(u.idleConnections, c); i >= 0 {
			u.idleConnections = slices.Delete(u.idleConnections, i, i+1)
		}
	}
	u.openCount--
}

// freeSlot removes a connection's batch from the in-flight counts.
func (n *Node) freeSlot(c *connection) {
	u := &c.db.upstreams[c.upstream]
	c.db.runningRequests--
	if c.stalled {
		c.stalled = false
		u.stalledCount--
		return
	}
	u.inFlight--
}

// takeIdle returns an idle connection, or nil. A connection that was idle longer
// than Config.IdleCheck, or was last used before another connection to the
// upstream stopped responding, is checked first and is not returned.
func (n *Node) takeIdle(u *upstream) *connection {
	for len(u.idleConnections) > 0 {
		last := len(u.idleConnections) - 1
		c := u.idleConnections[last]
		u.idleConnections = u.idleConnections[:last]
		if n.now.Sub(c.lastUsed) < n.config.IdleCheck && c.lastUsed >= u.suspectedAt {
			return c
		}
		c.state = connChecking
		n.out.Checks = append(n.out.Checks, CheckConnection{Connection: c.id})
	}
	return nil
}

// putBack returns an unused connection obtained from takeIdle.
func (u *upstream) putBack(c *connection) { u.idleConnections = append(u.idleConnections, c) }

// openConnections opens connections to an upstream for a number of queued
// requests, as far as its limits allow.
func (n *Node) openConnections(db *database, upstreamIndex, queued int) {
	u := &db.upstreams[upstreamIndex]
	if n.now < u.retryOpenAt {
		return
	}
	wanted := min(queued, u.maxInFlight-u.inFlight)
	if u.openFailures > 0 {
		// A single attempt shows whether the upstream accepts connections again.
		wanted = min(wanted, 1)
	}
	wanted -= u.openingCount
	for ; wanted > 0 && u.openCount+u.openingCount < u.maxConnections; wanted-- {
		c := &connection{id: n.nextConn, db: db, upstream: upstreamIndex, state: connOpening}
		n.nextConn++
		n.conns[c.id] = c
		u.openingCount++
		n.out.Opens = append(n.out.Opens, OpenConnection{Connection: c.id, Database: db.name, Upstream: u.name})
	}
}

// connectionsOf returns the database's connections, sorted by id.
func (n *Node) connectionsOf(db *database) []*connection {
	var out []*connection
	for _, c := range n.conns {
		if c.db == db {
			out = append(out, c)
		}
	}
	slices.SortFunc(out, func(a, b *connection) int { return cmp.Compare(a.id, b.id) })
	return out
}

// requestsOf returns the database's requests, sorted by handle.
func (n *Node) requestsOf(db *database) []*request {
	var out []*request
	for _, r := range n.requests {
		if r.db == db {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b *request) int { return cmp.Compare(a.arrival.Handle, b.arrival.Handle) })
	return out
}
