// Package metastore is the narrow interface to the platform's key-value service
// and its list of VMs, with an adapter for its gRPC protocol.
package metastore

import (
	"context"
	"time"
)

// Entry is one key with its value. Revisions of a key only grow; a missing key
// has revision 0.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// SwapResult is the answer to a compare-and-swap.
type SwapResult struct {
	// Swapped is set if the value was stored.
	Swapped bool
	// Entry is the new entry if the value was stored, else the current one.
	Entry Entry
}

// LeaseOperation tells what to do with a lease.
type LeaseOperation uint8

const (
	// LeaseGrant takes a free lease.
	LeaseGrant LeaseOperation = iota
	// LeaseRenew extends a held lease.
	LeaseRenew
	// LeaseRelease gives a held lease up.
	LeaseRelease
)

// LeaseRequest asks for an operation on a lease.
type LeaseRequest struct {
	Operation LeaseOperation
	Name      string
	Holder    string
	// TTL is kept in whole milliseconds.
	TTL time.Duration
}

// Lease is the state of a lease after an operation.
type Lease struct {
	// Held is set if the requester holds the lease.
	Held      bool
	Holder    string
	Remaining time.Duration
}

// WatchEvent is a change of a key.
type WatchEvent struct {
	// Entry has an empty key if the event carries none.
	Entry Entry
	// Current is set once all entries present at the start were sent.
	Synced bool
}

// Store is the platform's key-value service. Errors match ErrUnavailable,
// ErrUnknownOutcome, ErrRateLimited or ErrRefused.
type Store interface {
	// Get returns an entry. It changes nothing, so its outcome is never unknown.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap stores a value if the key has the expected revision, 0
	// meaning that the key must not exist. After ErrUnknownOutcome the value
	// may be stored, or may still be stored later.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (SwapResult, error)
	// Lease grants, renews or releases a lease.
	Lease(ctx context.Context, request LeaseRequest) (Lease, error)
	// Watch passes the current entries under a prefix and then each change to
	// receive, until the stream breaks, ctx ends or receive returns an error.
	// The error is never nil.
	Watch(ctx context.Context, prefix string, receive func(WatchEvent) error) error
}

// VMState is the state of a VM in the list.
type VMState uint8

const (
	// VMStateUnknown stands for states that this version does not know.
	VMStateUnknown VMState = iota
	// VMLive VMs take work.
	VMLive
	// VMLeaving VMs finish their work and take no new work.
	VMLeaving
)

// VMRole is what a VM runs.
type VMRole uint8

const (
	// VMRoleUnknown stands for roles that this version does not know.
	VMRoleUnknown VMRole = iota
	// VMProxy VMs run the proxy.
	VMProxy
	// VMUpstream VMs run a member of a database group.
	VMUpstream
)

// VM is one row of the list.
type VM struct {
	Name             string
	Address          string
	AvailabilityZone string
	State            VMState
	Role             VMRole
}

// VMList is the list of VMs, which may lag behind the actual state.
type VMList struct {
	Revision uint64
	VMs      []VM
}

// Directory is the platform's list of VMs.
type Directory interface {
	// ListVMs returns the list.
	ListVMs(ctx context.Context) (VMList, error)
}
