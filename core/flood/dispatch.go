package flood

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Next dequeues the item to run next on a free slot of the lane. The caller must
// report its end with Done.
func (s *Scheduler) Next(now entity.Time, lane Lane) (Item, bool) {
	s.collectLate(now)
	l := &s.lanes[lane]
	rank, charged, ok := l.chooseRank(s.shares)
	if !ok {
		return Item{}, false
	}
	r := &l.ranks[rank]
	id := r.nextQueue().next()
	s.unqueue(id)
	n := s.slab.at(id)
	s.decrementWaiting(n.rank)
	n.state = nodeRunning
	n.chargedToShare = charged
	if charged {
		r.deficit -= n.estimatedCost
	}
	r.running++
	l.running++
	l.runningWork += n.estimatedCost
	return n.item, true
}

// Done reports that an item returned by Next has ended after using a slot for
// cost. A cost of 0 means that the item did not run.
func (s *Scheduler) Done(now entity.Time, item Item, cost time.Duration) {
	id := s.index.get(item.Handle)
	if id == noNode || s.slab.at(id).state != nodeRunning {
		return
	}
	n := s.slab.at(id)
	l := &s.lanes[n.item.Lane]
	r := &l.ranks[n.rank]
	if n.chargedToShare {
		r.deficit += n.estimatedCost - cost
	}
	l.creditShares(s.shares, cost)
	if cost > 0 {
		r.cost.observe(n.item.Cost, cost)
	}
	s.finish(id)
}

// finish removes the node of a running item.
func (s *Scheduler) finish(id nodeID) {
	n := s.slab.at(id)
	l := &s.lanes[n.item.Lane]
	l.ranks[n.rank].running--
	l.running--
	l.runningWork -= n.estimatedCost
	s.releaseNode(id)
}
