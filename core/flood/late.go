package flood

import "skylarkhinge.dev/skylarkhinge/core/entity"

// lateList is a linked list of items that can no longer meet their deadline and
// wait to be returned by Expire.
type lateList struct {
	head, tail nodeID
}

func (l *lateList) push(s *slab, id nodeID) {
	n := s.at(id)
	n.prev, n.next = l.tail, noNode
	if l.tail == noNode {
		l.head = id
	} else {
		s.at(l.tail).next = id
	}
	l.tail = id
}

func (l *lateList) remove(s *slab, id nodeID) {
	n := s.at(id)
	if n.prev == noNode {
		l.head = n.next
	} else {
		s.at(n.prev).next = n.next
	}
	if n.next == noNode {
		l.tail = n.prev
	} else {
		s.at(n.next).prev = n.prev
	}
}

// collectLate moves queued items whose latest start has passed to the late list.
func (s *Scheduler) collectLate(now entity.Time) {
	for len(s.expiry.entries) > 0 && s.expiry.entries[0].latestStart < now {
		id := s.expiry.entries[0].id
		s.unqueue(id)
		s.slab.at(id).state = nodeLate
		s.late.push(&s.slab, id)
	}
}

// Expire removes the queued items that can no longer meet their deadline and
// appends a Refusal for each to out.
func (s *Scheduler) Expire(now entity.Time, out []Refusal) []Refusal {
	s.collectLate(now)
	for s.late.head != noNode {
		id := s.late.head
		n := s.slab.at(id)
		after := s.retryAfter(now, &s.lanes[n.item.Lane], int(n.rank))
		out = append(out, Refusal{Handle: n.item.Handle, Reason: ReasonDeadline, RetryAfter: after})
		s.late.remove(&s.slab, id)
		s.decrementWaiting(n.rank)
		s.releaseNode(id)
	}
	return out
}

// NextExpiry returns the earliest instant at which Expire has something to do,
// entity.Never if there is none.
func (s *Scheduler) NextExpiry() entity.Time {
	if s.late.head != noNode {
		return s.slab.at(s.late.head).latestStart + 1
	}
	if len(s.expiry.entries) == 0 {
		return entity.Never
	}
	return s.expiry.entries[0].latestStart + 1
}
