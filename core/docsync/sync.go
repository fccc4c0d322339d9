package docsync

import (
	"bytes"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// maxBuckets and maxLeaves bound the differing nodes that one message covers.
	// An exchange that reaches a bound is repeated after repeatDelay.
	maxBuckets = 64
	maxLeaves  = 512
	// maxUnsyncedReplies is the number of unsynced replies after which a starting VM
	// stops requesting pages and compares with peers even if they are unsynced.
	maxUnsyncedReplies = 8
	// repeatDelay leaves an exchange that reached a bound time to end.
	repeatDelay = 100 * time.Millisecond
	// maxAnnounced bounds the revisions announced in one message. Peers get further
	// ones by comparison.
	maxAnnounced = 64
	// maxExchanges bounds the requests that await a reply.
	maxExchanges = 256
	// maxFetches bounds the number of requested documents.
	maxFetches = 1024
)

// Sync is the replication state machine of one VM. It is not safe for concurrent
// use.
type Sync struct {
	config   Config
	tree     *tree
	peers    peerSet
	random   uint64
	sequence uint64

	exchanges []exchange
	fetches   map[string]fetch
	// pendingAnnouncements lists the services whose documents were applied since the
	// last announcement.
	pendingAnnouncements []string

	nextCompare entity.Time
	// repeatPeer is the peer to compare with again at repeatAt, empty if none.
	repeatPeer entity.VM
	repeatAt   entity.Time
	started    bool
	// page is the first leaf of the next page to fetch, 0 once the initial fetch
	// has ended.
	page            uint32
	unsyncedReplies int
	synced          bool

	// ready is the output since the last Ready. spare is the previous output, whose
	// slices are reused.
	ready Output
	spare Output
}

// exchange is a request that awaits its reply.
type exchange struct {
	to       entity.VM
	sequence uint64
	deadline entity.Time
	kind     exchangeKind
}

type exchangeKind uint8

const (
	exchangeCompare exchangeKind = iota
	exchangePage
	exchangeAnnounce
	exchangeDocuments
)

// fetch is a document that was requested from a peer.
type fetch struct {
	revision uint64
	deadline entity.Time
}

// New returns a Sync without documents.
func New(config Config, seed uint64) *Sync {
	s := &Sync{config: config, tree: newTree(), random: mix64(seed ^ serviceHash(string(config.Self)))}
	s.peers = newPeerSet(config)
	s.fetches = map[string]fetch{}
	// The random start keeps late replies to an earlier process of this VM from
	// matching a request.
	s.sequence = s.random >> 24
	s.page = firstLeaf
	return s
}

// SetPeers sets the VMs, including this one, that the platform's list and the
// heartbeats report as live.
func (s *Sync) SetPeers(now entity.Time, peers []Peer) {
	s.peers.set(peers)
	if !s.started {
		s.started = true
		s.nextCompare = now
	}
}

// ReportUnresponsive reports that a call to a peer failed without an answer.
func (s *Sync) ReportUnresponsive(now entity.Time, vm entity.VM) { s.peers.markUnresponsive(vm) }

// Watching reports whether this VM should watch the store.
func (s *Sync) Watching() bool { return s.peers.watching() }

// Synced reports whether this VM has received all documents of the store or of a
// peer since its start.
func (s *Sync) Synced() bool { return s.synced }

// Count returns the number of documents held.
func (s *Sync) Count() int { return s.tree.count }

// Digest returns the root digest over all services and revisions held.
func (s *Sync) Digest() uint64 { return s.tree.digest(1) }

// Get returns the current document of a service.
func (s *Sync) Get(service string) (Document, bool) {
	if e := s.tree.find(service); e != nil {
		return e.Document, true
	}
	return Document{}, false
}

// Revision returns the current revision of a service, 0 if there is none.
func (s *Sync) Revision(service string) uint64 { return s.tree.revision(service) }

// StepWatch handles a document from the watch of the store.
func (s *Sync) StepWatch(now entity.Time, document Document) {
	s.apply(now, document, "", true)
}

// StepWatchSynced reports that the watch has delivered all current documents of
// the store.
func (s *Sync) StepWatchSynced(now entity.Time) {
	s.synced = true
	s.page = 0
}

// Ready returns the pending output and clears it.
func (s *Sync) Ready() Output {
	out := s.ready
	s.ready = Output{
		Requests: s.spare.Requests[:0], Replies: s.spare.Replies[:0],
		Applied: s.spare.Applied[:0], Refusals: s.spare.Refusals[:0],
	}
	s.spare = out
	return out
}

// apply stores a document if its revision is higher than the current one.
func (s *Sync) apply(now entity.Time, document Document, from entity.VM, announce bool) {
	delete(s.fetches, document.Service)
	held := s.tree.find(document.Service)
	if held != nil && document.Revision <= held.Revision {
		s.refuseNotNewer(document, held, from)
		return
	}
	size := s.tree.bytes + len(document.Value)
	if held != nil {
		size -= len(held.Value)
	}
	if size > s.config.MaxBytes || (held == nil && s.tree.count >= s.config.MaxDocuments) {
		s.refuse(RefusedTooMany, document, s.tree.revision(document.Service), from)
		return
	}
	s.tree.put(document)
	s.ready.Applied = append(s.ready.Applied, document)
	if announce && len(s.pendingAnnouncements) < maxAnnounced && !slices.Contains(s.pendingAnnouncements, document.Service) {
		s.pendingAnnouncements = append(s.pendingAnnouncements, document.Service)
	}
}

// refuseNotNewer reports a lower revision, or the current revision with a different
// value. An exact duplicate is not reported.
func (s *Sync) refuseNotNewer(document Document, held *entry, from entity.VM) {
	if document.Revision < held.Revision {
		s.refuse(RefusedLowerRevision, document, held.Revision, from)
		return
	}
	if !bytes.Equal(document.Value, held.Value) {
		s.refuse(RefusedDifferentValue, document, held.Revision, from)
	}
}

func (s *Sync) refuse(reason RefusalReason, document Document, current uint64, from entity.VM) {
	s.ready.Refusals = append(s.ready.Refusals, Refusal{
		Reason: reason, Service: document.Service, Revision: document.Revision, CurrentRevision: current, From: from,
	})
}

// Tick expires unanswered requests, announces new documents and starts a
// comparison if one is due.
func (s *Sync) Tick(now entity.Time) {
	s.expire(now)
	s.sendAnnouncements(now)
	if s.repeatPeer != "" && s.repeatAt <= now {
		vm := s.repeatPeer
		s.repeatPeer = ""
		s.sendRootDigest(now, vm)
	}
	if s.started && s.nextCompare <= now {
		s.startComparison(now)
	}
}

// NextTick returns the instant at which Tick is due next, entity.Never before the
// first SetPeers.
func (s *Sync) NextTick() entity.Time {
	if !s.started {
		return entity.Never
	}
	if len(s.pendingAnnouncements) > 0 {
		return 0
	}
	next := s.nextCompare
	if s.repeatPeer != "" {
		next = min(next, s.repeatAt)
	}
	for i := range s.exchanges {
		next = min(next, s.exchanges[i].deadline)
	}
	return next
}

// expire removes the requests that timed out and counts a failure of each peer. A
// page or comparison that timed out is repeated at once with a newly picked peer.
func (s *Sync) expire(now entity.Time) {
	s.exchanges = slices.DeleteFunc(s.exchanges, func(e exchange) bool {
		if e.deadline > now {
			return false
		}
		s.peers.recordFailure(e.to)
		if e.kind == exchangePage || e.kind == exchangeCompare {
			s.nextCompare = now
		}
		return true
	})
}

func (s *Sync) sendAnnouncements(now entity.Time) {
	if len(s.pendingAnnouncements) == 0 {
		return
	}
	revisions := make([]Revision, 0, len(s.pendingAnnouncements))
	for _, service := range s.pendingAnnouncements {
		revisions = append(revisions, Revision{Service: service, Revision: s.tree.revision(service)})
	}
	s.pendingAnnouncements = s.pendingAnnouncements[:0]
	for _, vm := range s.peers.pickFanout(s.nextRandom) {
		s.send(now, exchangeAnnounce, Request{To: vm, Revisions: revisions})
	}
}

// startComparison requests a page during the initial fetch, afterwards a comparison.
// The interval varies by ±10%, so that VMs that started together do not compare at the same time.
func (s *Sync) startComparison(now entity.Time) {
	jitter := time.Duration(s.nextRandom() % uint64(s.config.CompareInterval/5))
	s.nextCompare = now.Add(s.config.CompareInterval - s.config.CompareInterval/10 + jitter)
	if s.page != 0 {
		if slices.ContainsFunc(s.exchanges, func(e exchange) bool { return e.kind == exchangePage }) {
			return
		}
		if vm, ok := s.peers.pickSource(s.nextRandom); ok {
			s.fetchPage(now, vm)
		}
		return
	}
	if vm, ok := s.peers.pickCompare(s.nextRandom); ok {
		s.sendRootDigest(now, vm)
	}
}

func (s *Sync) fetchPage(now entity.Time, vm entity.VM) {
	s.send(now, exchangePage, Request{To: vm, Page: s.page})
}

func (s *Sync) sendRootDigest(now entity.Time, vm entity.VM) {
	s.send(now, exchangeCompare, Request{To: vm, Buckets: []Bucket{{ID: 1, Digest: s.tree.digest(1)}}})
}

func (s *Sync) send(now entity.Time, kind exchangeKind, request Request) {
	if len(s.exchanges) >= maxExchanges {
		s.exchanges = slices.Delete(s.exchanges, 0, 1)
	}
	s.sequence++
	request.From, request.Sequence = s.config.Self, s.sequence
	s.exchanges = append(s.exchanges, exchange{
		to: request.To, sequence: s.sequence, deadline: now.Add(s.config.ExchangeTimeout), kind: kind,
	})
	s.ready.Requests = append(s.ready.Requests, request)
}

func (s *Sync) nextRandom() uint64 {
	s.random += 0x9e3779b97f4a7c15
	return mix64(s.random)
}
