package docsync

import (
	"bytes"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// maxBuckets and maxLeaves bound the differing nodes that one message
	// follows. An exchange that meets a bound is repeated at once.
	maxBuckets = 64
	maxLeaves  = 512
	// maxEmptyPages is the number of peers without all documents after which a
	// starting VM compares with peers as they are.
	maxEmptyPages = 8
	// repeatDelay leaves time for the exchange that met a bound to end.
	repeatDelay = 100 * time.Millisecond
	// maxAnnounced bounds the revisions announced in one message.
	maxAnnounced = 64
	// maxExchanges bounds the requests that wait for a reply.
	maxExchanges = 256
	// maxFetches bounds the services whose documents are on their way.
	maxFetches = 1024
)

// Sync is one VM's part in the spread of documents. It is not safe for
// concurrent use.
type Sync struct {
	config   Config
	tree     *tree
	peers    peerSet
	random   uint64
	sequence uint64

	exchanges []exchange
	fetches   map[string]fetch
	// announce lists the services learned since the last tick.
	announce []string

	nextCompare entity.Time
	// repeat is a peer to compare with again at repeatAt, empty if there is none.
	repeat   entity.VM
	repeatAt entity.Time
	started  bool
	// page is the next page to fetch, 0 after the start.
	page       uint32
	emptyPages int
	synced     bool

	ready Output
	spare Output
}

// exchange is a request that waits for its reply.
type exchange struct {
	to       entity.VM
	sequence uint64
	until    entity.Time
	kind     exchangeKind
}

type exchangeKind uint8

const (
	exchangeCompare exchangeKind = iota
	exchangePage
	exchangeAnnounce
	exchangeDocuments
)

// fetch is a document that a peer was asked for.
type fetch struct {
	revision uint64
	until    entity.Time
}

// New returns a VM's state without documents.
func New(config Config, seed uint64) *Sync {
	s := &Sync{config: config, tree: newTree(), random: mix(seed ^ serviceHash(string(config.Self)))}
	s.peers = newPeerSet(config)
	s.fetches = map[string]fetch{}
	// A late reply to an earlier process of this VM matches no request.
	s.sequence = s.random >> 24
	s.page = firstLeaf
	return s
}

// SetPeers takes the VMs that the platform's list and the heartbeats report as
// live, this VM included.
func (s *Sync) SetPeers(now entity.Time, peers []Peer) {
	s.peers.set(peers)
	if !s.started {
		s.started = true
		s.nextCompare = now
	}
}

// ReportUnresponsive tells that a peer did not answer.
func (s *Sync) ReportUnresponsive(now entity.Time, vm entity.VM) { s.peers.markSilent(vm) }

// Watching reports whether this VM should watch the store.
func (s *Sync) Watching() bool { return s.peers.watching() }

// Synced reports whether this VM has had the documents of the store or of a peer.
func (s *Sync) Synced() bool { return s.synced }

// Count returns the number of documents.
func (s *Sync) Count() int { return s.tree.count }

// Digest stands for all services and revisions held.
func (s *Sync) Digest() uint64 { return s.tree.digest(1) }

// Get returns a service's document in force.
func (s *Sync) Get(service string) (Document, bool) {
	if e := s.tree.find(service); e != nil {
		return e.Document, true
	}
	return Document{}, false
}

// Revision returns a service's revision in force, 0 if there is none.
func (s *Sync) Revision(service string) uint64 { return s.tree.revision(service) }

// StepWatch takes a document from the store.
func (s *Sync) StepWatch(now entity.Time, document Document) {
	s.learn(now, document, "", true)
}

// StepWatchSynced tells that the store has sent all current documents.
func (s *Sync) StepWatchSynced(now entity.Time) {
	s.synced = true
	s.page = 0
}

// Ready returns what to do and forgets it.
func (s *Sync) Ready() Output {
	out := s.ready
	s.ready = Output{
		Requests: s.spare.Requests[:0], Replies: s.spare.Replies[:0],
		Applied: s.spare.Applied[:0], Refusals: s.spare.Refusals[:0],
	}
	s.spare = out
	return out
}

// learn takes a document if its revision is higher than the one in force.
func (s *Sync) learn(now entity.Time, document Document, from entity.VM, announce bool) {
	delete(s.fetches, document.Service)
	held := s.tree.find(document.Service)
	if held != nil && document.Revision <= held.Revision {
		s.refuseOld(document, held, from)
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
	if announce && len(s.announce) < maxAnnounced && !slices.Contains(s.announce, document.Service) {
		s.announce = append(s.announce, document.Service)
	}
}

// refuseOld reports a lower revision. The one in force is nothing to report.
func (s *Sync) refuseOld(document Document, held *entry, from entity.VM) {
	if document.Revision < held.Revision {
		s.refuse(RefusedLowerRevision, document, held.Revision, from)
		return
	}
	if !bytes.Equal(document.Value, held.Value) {
		s.refuse(RefusedDifferentValue, document, held.Revision, from)
	}
}

func (s *Sync) refuse(reason RefusalReason, document Document, inForce uint64, from entity.VM) {
	s.ready.Refusals = append(s.ready.Refusals, Refusal{
		Reason: reason, Service: document.Service, Revision: document.Revision, CurrentRevision: inForce, From: from,
	})
}

// Tick announces new documents, compares with a peer if due, and runs out
// timeouts.
func (s *Sync) Tick(now entity.Time) {
	s.expire(now)
	s.sendAnnouncements(now)
	if s.repeat != "" && s.repeatAt <= now {
		vm := s.repeat
		s.repeat = ""
		s.sendRoot(now, vm)
	}
	if s.started && s.nextCompare <= now {
		s.compare(now)
	}
}

// NextTick returns the instant at which Tick is due next.
func (s *Sync) NextTick() entity.Time {
	if !s.started {
		return entity.Never
	}
	if len(s.announce) > 0 {
		return 0
	}
	next := s.nextCompare
	if s.repeat != "" {
		next = min(next, s.repeatAt)
	}
	for i := range s.exchanges {
		next = min(next, s.exchanges[i].until)
	}
	return next
}

func (s *Sync) expire(now entity.Time) {
	s.exchanges = slices.DeleteFunc(s.exchanges, func(e exchange) bool {
		if e.until > now {
			return false
		}
		s.peers.fail(e.to)
		if e.kind == exchangePage || e.kind == exchangeCompare {
			s.nextCompare = now
		}
		return true
	})
}

func (s *Sync) sendAnnouncements(now entity.Time) {
	if len(s.announce) == 0 {
		return
	}
	revisions := make([]Revision, 0, len(s.announce))
	for _, service := range s.announce {
		revisions = append(revisions, Revision{Service: service, Revision: s.tree.revision(service)})
	}
	s.announce = s.announce[:0]
	for _, vm := range s.peers.pickFanout(s.nextRandom) {
		s.send(now, exchangeAnnounce, Request{To: vm, Revisions: revisions})
	}
}

// compare starts an exchange with one peer. The interval has jitter of 10%, so
// that VMs that started together don't compare in step.
func (s *Sync) compare(now entity.Time) {
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
		s.sendRoot(now, vm)
	}
}

func (s *Sync) fetchPage(now entity.Time, vm entity.VM) {
	s.send(now, exchangePage, Request{To: vm, Page: s.page})
}

func (s *Sync) sendRoot(now entity.Time, vm entity.VM) {
	s.send(now, exchangeCompare, Request{To: vm, Buckets: []Bucket{{ID: 1, Digest: s.tree.digest(1)}}})
}

func (s *Sync) send(now entity.Time, kind exchangeKind, request Request) {
	if len(s.exchanges) >= maxExchanges {
		s.exchanges = slices.Delete(s.exchanges, 0, 1)
	}
	s.sequence++
	request.From, request.Sequence = s.config.Self, s.sequence
	s.exchanges = append(s.exchanges, exchange{
		to: request.To, sequence: s.sequence, until: now.Add(s.config.ExchangeTimeout), kind: kind,
	})
	s.ready.Requests = append(s.ready.Requests, request)
}

func (s *Sync) nextRandom() uint64 {
	s.random += 0x9e3779b97f4a7c15
	return mix(s.random)
}
