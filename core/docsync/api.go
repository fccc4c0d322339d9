package docsync

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Document is the configuration document of one service. The value is opaque and
// never modified.
type Document struct {
	Service  string
	Revision uint64
	Value    []byte
}

// Revision identifies a document without its value.
type Revision struct {
	Service  string
	Revision uint64
}

// Peer is a VM that may hold documents.
type Peer struct {
	VM               entity.VM
	AvailabilityZone string
}

// Bucket is a node of the hash tree. The root has ID 1, the children of node n
// have the IDs 16n to 16n+15.
type Bucket struct {
	ID     uint32
	Digest uint64
}

// Request is a message to a peer. It carries one step of an exchange: digests or
// revisions to compare, documents, or the request for a page of documents.
type Request struct {
	To       entity.VM
	From     entity.VM
	Sequence uint64
	Buckets  []Bucket
	// Leaves are the IDs of the leaves for which Revisions is complete: a document
	// there that is not listed is missing at the requester.
	Leaves    []uint32
	Revisions []Revision
	Documents []Document
	// Page is the ID of the first leaf whose documents are requested. 0 means that
	// no page is requested.
	Page uint32
}

// Reply answers a Request.
type Reply struct {
	To       entity.VM
	From     entity.VM
	Sequence uint64
	// Buckets are the children of the requested buckets that differ.
	Buckets []Bucket
	// Newer are the documents that are newer at the replier.
	Newer []Document
	// Wanted are the services whose newer documents the requester should send.
	Wanted []string
	// NextPage is the ID of the first leaf of the next page. 0 means that there is
	// none.
	NextPage uint32
	// More is set if documents or buckets did not fit.
	More bool
	// Unsynced is set if the replier has not yet received all documents of the
	// store or of a peer.
	Unsynced bool
}

// RefusalReason is the reason why a document was not applied.
type RefusalReason uint8

const (
	// RefusedLowerRevision documents are older than the current one.
	RefusedLowerRevision RefusalReason = iota
	// RefusedDifferentValue documents have the current revision but a different
	// value.
	RefusedDifferentValue
	// RefusedTooMany documents exceed Config.MaxDocuments or Config.MaxBytes.
	RefusedTooMany
)

// Refusal reports a document that was not applied.
type Refusal struct {
	Reason   RefusalReason
	Service  string
	Revision uint64
	// CurrentRevision is the revision that stays in effect, 0 if there is none.
	CurrentRevision uint64
	// From is the peer that sent the document, empty for the store.
	From entity.VM
}

// Output holds the messages that the runtime must send and the documents that it must
// apply or report. The slices are valid until the next call of Ready.
type Output struct {
	Requests []Request
	Replies  []Reply
	// Applied are the documents that took effect.
	Applied  []Document
	Refusals []Refusal
}

// Config holds the identity, timing and limits of a Sync.
type Config struct {
	Self             entity.VM
	AvailabilityZone string
	// WatchersPerZone is the number of VMs per availability zone that watch the
	// store.
	WatchersPerZone int
	// CompareInterval is the mean time between comparisons with peers.
	CompareInterval time.Duration
	// ExchangeTimeout is the time after which a request counts as unanswered.
	ExchangeTimeout time.Duration
	// ZoneFanout and GlobalFanout are the numbers of peers to which a new document
	// is announced: peers in the same zone and peers in any zone.
	ZoneFanout, GlobalFanout int
	// PageBytes bounds the size of the documents in one message. A message may
	// exceed it by its first document, a page by its first leaf.
	PageBytes int
	// MaxDocuments and MaxBytes bound the number and the total size of the
	// documents held.
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
