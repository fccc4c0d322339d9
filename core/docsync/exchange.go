package docsync

import (
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// StepRequest handles a request of a peer and queues the reply.
func (s *Sync) StepRequest(now entity.Time, request Request) {
	if request.To != s.config.Self || request.From == s.config.Self {
		return
	}
	s.peers.clearFailures(request.From)
	for _, d := range request.Documents {
		s.apply(now, d, request.From, true)
	}
	reply := Reply{To: request.From, From: s.config.Self, Sequence: request.Sequence}
	reply.Unsynced = !s.synced
	if s.page == 0 {
		// Skipped while this VM fetches pages: peers would send the same documents
		// twice.
		reply.Buckets, reply.More = s.differingChildren(request.Buckets)
	}
	s.answerRevisions(now, &request, &reply)
	if s.synced && request.Page >= firstLeaf && request.Page < endLeaf {
		s.answerPage(request.Page, &reply)
	}
	s.ready.Replies = append(s.ready.Replies, reply)
}

// differingChildren returns the children of the inner nodes whose digests differ
// from this VM's. It reports more if maxBuckets cut the list short.
func (s *Sync) differingChildren(buckets []Bucket) (out []Bucket, more bool) {
	descended := 0
	for _, b := range buckets {
		if !validID(b.ID) || isLeaf(b.ID) || s.tree.digest(b.ID) == b.Digest {
			continue
		}
		if descended++; descended > maxBuckets {
			return out, true
		}
		out = append(out, s.tree.children(b.ID)...)
	}
	return out, false
}

// answerRevisions compares the requester's revisions with those held here. The reply
// gets the documents that are newer here and the names of those that are older here.
func (s *Sync) answerRevisions(now entity.Time, request *Request, reply *Reply) {
	size := 0
	add := func(d Document) {
		if size > 0 && size+len(d.Value) > s.config.PageBytes {
			reply.More = true
			return
		}
		size += len(d.Value) + 1
		reply.Newer = append(reply.Newer, d)
	}
	listed := make(map[string]bool, len(request.Revisions))
	for _, r := range request.Revisions {
		listed[r.Service] = true
		held := s.tree.find(r.Service)
		switch {
		case held != nil && held.Revision > r.Revision:
			add(held.Document)
		case held == nil || held.Revision < r.Revision:
			if s.startFetch(now, r) {
				reply.Wanted = append(reply.Wanted, r.Service)
			}
		}
	}
	for _, id := range request.Leaves {
		if id < firstLeaf || id >= endLeaf {
			continue
		}
		for _, e := range s.tree.leaf(id) {
			if !listed[e.Service] {
				add(e.Document)
			}
		}
	}
}

// startFetch reports whether to request a document. It returns false if another
// peer was asked for it less than ExchangeTimeout ago.
func (s *Sync) startFetch(now entity.Time, r Revision) bool {
	if f, ok := s.fetches[r.Service]; ok && f.revision >= r.Revision && now < f.deadline {
		return false
	}
	if len(s.fetches) >= maxFetches {
		clear(s.fetches)
	}
	s.fetches[r.Service] = fetch{revision: r.Revision, deadline: now.Add(s.config.ExchangeTimeout)}
	return true
}

// answerPage adds the documents of the leaves from page on, up to PageBytes.
func (s *Sync) answerPage(page uint32, reply *Reply) {
	size := 0
	for id := page; id < endLeaf; id++ {
		for _, e := range s.tree.leaf(id) {
			size += len(e.Value) + len(e.Service)
		}
		if size > s.config.PageBytes && id > page {
			reply.NextPage = id
			return
		}
		for _, e := range s.tree.leaf(id) {
			reply.Newer = append(reply.Newer, e.Document)
		}
	}
}

// StepReply handles a reply of a peer and continues the exchange. Replies that
// match no open request are ignored.
func (s *Sync) StepReply(now entity.Time, reply Reply) {
	i := slices.IndexFunc(s.exchanges, func(e exchange) bool {
		return e.sequence == reply.Sequence && e.to == reply.From
	})
	if reply.To != s.config.Self || i < 0 {
		return
	}
	kind := s.exchanges[i].kind
	s.exchanges = slices.Delete(s.exchanges, i, i+1)
	s.peers.clearFailures(reply.From)
	for _, d := range reply.Newer {
		s.apply(now, d, reply.From, kind != exchangePage)
	}
	if kind == exchangePage {
		s.stepPage(now, reply)
		return
	}
	s.sendWanted(now, reply)
	truncated := s.descend(now, reply)
	if kind == exchangeCompare && !reply.Unsynced && len(reply.Buckets) == 0 && len(reply.Newer) == 0 && len(reply.Wanted) == 0 {
		s.synced = true
	}
	if truncated || reply.More {
		s.repeatPeer = reply.From
		s.repeatAt = now.Add(repeatDelay)
	}
}

// stepPage requests the next page from the same peer, or ends the initial fetch. A
// peer that is not synced itself serves no pages.
func (s *Sync) stepPage(now entity.Time, reply Reply) {
	switch {
	case reply.Unsynced:
		if s.unsyncedReplies++; s.unsyncedReplies >= maxUnsyncedReplies {
			s.page = 0
		}
	case reply.NextPage > s.page && reply.NextPage < endLeaf:
		s.page = reply.NextPage
		s.fetchPage(now, reply.From)
	default:
		s.page = 0
		s.synced = true
		s.sendRootDigest(now, reply.From)
	}
}

// sendWanted sends the documents that the peer asked for, up to PageBytes.
func (s *Sync) sendWanted(now entity.Time, reply Reply) {
	var documents []Document
	size := 0
	for _, service := range reply.Wanted {
		e := s.tree.find(service)
		if e == nil || (size > 0 && size+len(e.Value) > s.config.PageBytes) {
			continue
		}
		size += len(e.Value) + 1
		documents = append(documents, e.Document)
	}
	if len(documents) > 0 {
		s.send(now, exchangeDocuments, Request{To: reply.From, Documents: documents})
	}
}

// descend requests a comparison of the nodes of a reply that differ: inner nodes by
// the digests of their children, leaves by their revisions. It reports whether
// maxBuckets or maxLeaves truncated the request.
func (s *Sync) descend(now entity.Time, reply Reply) (truncated bool) {
	next := Request{To: reply.From}
	buckets := 0
	for _, b := range reply.Buckets {
		if !validID(b.ID) || s.tree.digest(b.ID) == b.Digest {
			continue
		}
		if !isLeaf(b.ID) {
			if buckets++; buckets > maxBuckets {
				truncated = true
				break
			}
			next.Buckets = append(next.Buckets, s.tree.children(b.ID)...)
			continue
		}
		if len(next.Leaves) >= maxLeaves {
			truncated = true
			break
		}
		next.Leaves = append(next.Leaves, b.ID)
		for _, e := range s.tree.leaf(b.ID) {
			next.Revisions = append(next.Revisions, Revision{Service: e.Service, Revision: e.Revision})
		}
	}
	if len(next.Buckets)+len(next.Leaves) > 0 {
		s.send(now, exchangeCompare, next)
	}
	return truncated
}
