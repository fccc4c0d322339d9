// Package entity defines the identifiers and value types shared by the packages of
// the decision core.
package entity

import "time"

// Time is a monotonic instant in nanoseconds since an arbitrary origin.
type Time int64

// Never is a time later than any real instant. It means that nothing is due.
const Never = Time(1<<63 - 1)

// Add returns the instant d after t.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Handle identifies a request at one node. The runtime that calls the core assigns
// it and must not reuse it while the request is open.
type Handle uint64

// ConnectionID identifies a connection to an upstream at one node.
type ConnectionID uint64

// CallerID identifies a caller's connection across the fleet. The upper 32 bits are
// a hash of the name of the proxy that accepted the connection, the lower 32 bits
// that proxy's connection counter.
type CallerID uint64

// SessionKey is the hash of a session name, 0 if the caller declared none. Sessions
// whose hashes collide share a floor (the minimum log position for their reads),
// which is at least as high as each of them needs.
type SessionKey uint64

// RequestKey is the 128-bit hash of a database and a request id, zero if the caller
// declared no id.
type RequestKey [2]uint64

// VM is the name of a VM that runs a proxy.
type VM string

// Database is the name of a database group.
type Database string

// Upstream is the name of one member of a database group.
type Upstream string

// Position is a position in a database's log: the offset of an entry and the term
// in which it was written. A term has at most one primary; each promotion uses a
// higher one.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Less reports whether p is before q, by term and then by offset.
func (p Position) Less(q Position) bool {
	if p.Term != q.Term {
		return p.Term < q.Term
	}
	return p.Offset < q.Offset
}

// IsZero reports whether p is unset.
func (p Position) IsZero() bool { return p == Position{} }

// TermStart is the offset at which the log of a term begins.
type TermStart struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// MemberStatus is the state that an upstream reports about itself.
type MemberStatus struct {
	Upstream Upstream `json:"upstream"`
	// Primary is set if the member accepts writes in Term.
	Primary bool `json:"primary"`
	// Term is the highest term at which the member was fenced or which it follows.
	// A fenced member accepts no writes and no replication of lower terms.
	Term uint64 `json:"term"`
	// Log is the position of the last entry held, Applied that of the last entry
	// visible to reads.
	Log     Position `json:"log"`
	Applied Position `json:"applied"`
	// History lists the starts of the most recent terms, oldest first.
	History []TermStart `json:"history,omitempty"`
}
