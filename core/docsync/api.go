package docsync

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Document is one service's document. The value is opaque and not modified.
type Document struct {
	Service  string
	Revision uint64
	Value    []byte
}

// Revision names a document without its value.
type Revision struct {
	Service  string
	Revision uint64
}

// Peer is one VM that may hold documents.
type Peer struct {
	VM               entity.VM
	AvailabilityZone string
}

// Bucket is a node of the digest tree. The root has ID 1, the children of node n
// have the IDs 16n to 16n+15.
type Bucket struct {
	ID     uint32
	Digest uint64
}

// Request is sent to a peer. It carries one step of an exchange: digests to
// compare, revisions to compare, documents, or the request for a page.
type Request struct {
	To       entity.VM
	From     entity.VM
	Sequence uint64
	Buckets  []Bucket
	// Leaves are the tree's leaves that Revisions lists completely.
	Leaves    []uint32
	Revisions []Revision
	Documents []Document
	// Page is the leaf from which on all documents are wanted. 0 means none.
	Page uint32
}

// Reply answers a Request.
type Reply struct {
	To       entity.VM
	From     entity.VM
	Sequence uint64
	// Buckets are the children of those that differ.
	Buckets []Bucket
	// Newer are documents that are newer here than at the requester.
	Newer []Document
	// Wanted are services for which the requester is newer.
	Wanted []string
	// NextPage is the leaf at which the next page starts. 0 means none.
	NextPage uint32
	// More is set if documents or buckets did not fit.
	More bool
	// Unsynced is set if the replier has not had all documents yet.
	Unsynced bool
}

// RefusalReason tells why a document was not taken.
type RefusalReason uint8

const (
	// RefusedLowerRevision documents are older than the one in force.
	RefusedLowerRevision RefusalReason = iota
	// RefusedDifferentValue documents have the revision in force, but another value.
	RefusedDifferentValue
	// RefusedTooMany documents exceed a limit of Config.
	RefusedTooMany
)

// Refusal reports a document that was not taken.
type Refusal struct {
	Reason   RefusalReason
	Service  string
	Revision uint64
	// InForce is the revision that stays in force.
	CurrentRevision uint64
	// From is the peer that sent the document; empty means the store.
	From entity.VM
}

// Output is what the shell must do. The slices are valid until the next Ready.
type Output struct {
	Requests []Request
	Replies  []Reply
	// InForce are documents that took force.
	Applied  []Document
	Refusals []Refusal
}

// Config sets timing and limits.
type Config struct {
	Self             entity.VM
	AvailabilityZone string
	// WatchersPerZone is the number of VMs per zone that watch the store.
	WatchersPerZone int
	// CompareInterval is the time between comparisons with a peer.
	CompareInterval time.Duration
	// ExchangeTimeout is the time after which a request counts as unanswered.
	ExchangeTimeout time.Duration
	// ZoneFanout and GlobalFanout are the numbers of peers in the own zone and
	// anywhere to which a new document is announced.
	ZoneFanout, GlobalFanout int
	// PageBytes bounds the documents of one message, apart from the first.
	PageBytes int
	// MaxDocuments and MaxBytes bound the documents held.
	MaxDocuments, MaxBytes int
}

// DefaultConfig returns the values used by the daemon.
func DefaultConfig(self entity.VM, availabilityZone string) Config {
	return Config{
		Self:             self,
		AvailabilityZone: availabilityZone,
		WatchersPerZone:  2,
		CompareInterval:  time.Second,
		ExchangeTimeout:  700 * time.Millisecond,
		ZoneFanout:       3,
		GlobalFanout:     1,
		PageBytes:        256 << 10,
		MaxDocuments:     1 << 16,
		MaxBytes:         48 << 20,
	}
}
