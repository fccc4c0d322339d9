// Package metastore defines the interfaces to the platform's key-value store and its
// list of VMs, with a client for its gRPC protocol.
package metastore

import (
	"context"
	"time"
)

// Entry is one key with its value. The revision of a key grows with each change, also after
// the store was restored from a backup; a key that does not exist has revision 0.
type Entry struct {
	Key      string
	Value    []byte
	Revision uint64
}

// SwapResult is the result of a compare-and-swap.
type SwapResult struct {
	// Swapped is set if the value was stored.
	Swapped bool
	// Entry is the entry after the call: the new one if the value was stored, else the
	// one that is in the store instead.
	Entry Entry
}

// LeaseOperation is an operation on a lease.
type LeaseOperation uint8

const (
	// LeaseGrant acquires a lease that nobody holds.
	LeaseGrant LeaseOperation = iota
	// LeaseRenew extends a lease that the requester holds.
	LeaseRenew
	// LeaseRelease releases a lease that the requester holds.
	LeaseRelease
)

// LeaseRequest is the request for an operation on a lease.
type LeaseRequest struct {
	Operation LeaseOperation
	Name      string
	Holder    string
	// TTL is the time to live of the lease, truncated to whole milliseconds.
	TTL time.Duration
}

// Lease is the state of a lease after an operation.
type Lease struct {
	// Held is set if the requester holds the lease.
	Held      bool
	Holder    string
	Remaining time.Duration
}

// WatchEvent is one event of a watch: a current or changed entry, the end of the
// current entries, or both.
type WatchEvent struct {
	// Entry has an empty key if the event has no entry.
	Entry Entry
	// Synced is set once all entries that existed at the start of the watch were sent.
	Synced bool
}

// Store is the platform's key-value store. Its errors match ErrUnavailable,
// ErrUnknownOutcome, ErrRateLimited or ErrRefused, except as stated below.
type Store interface {
	// Get returns an entry. It never returns ErrUnknownOutcome.
	Get(ctx context.Context, key string) (Entry, error)
	// CompareAndSwap stores a value if the key has the expected revision; 0 means
	// that the key must not exist. After ErrUnknownOutcome the value may have been
	// stored, or may still be stored later.
	CompareAndSwap(ctx context.Context, key string, expected uint64, value []byte) (SwapResult, error)
	// Lease grants, renews or releases a lease.
	Lease(ctx context.Context, request LeaseRequest) (Lease, error)
	// Watch passes the current entries under a prefix and then each change to receive.
	// It returns when the stream breaks, ctx ends or receive returns an error, which
	// Watch returns unchanged. The error is never nil.
	Watch(ctx context.Context, prefix string, receive func(WatchEvent) error) error
}

// VMState is the state of a VM in the platform's list.
type VMState uint8

const (
	// VMStateUnknown stands for a state that this version does not know.
	VMStateUnknown VMState = iota
	// VMLive means that the VM accepts work.
	VMLive
	// VMLeaving means that the VM finishes its work and accepts no new work.
	VMLeaving
)

// VMRole is what a VM runs.
type VMRole uint8

const (
	// VMRoleUnknown stands for a role that this version does not know.
	VMRoleUnknown VMRole = iota
	// VMProxy means that the VM runs a proxy.
	VMProxy
	// VMUpstream means that the VM runs a member of a database group.
	VMUpstream
)

// VM is one VM of the platform's list.
type VM struct {
	Name             string
	Address          string
	AvailabilityZone string
	State            VMState
	Role             VMRole
}

// VMList is the platform's list of VMs, which may lag behind the actual state.
type VMList struct {
	Revision uint64
	VMs      []VM
}

// Directory provides the platform's list of VMs.
type Directory interface {
	// ListVMs returns the current list. Its errors are those of Store.Get.
	ListVMs(ctx context.Context) (VMList, error)
}
