package flood

import (
	"math/rand/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Scheduler queues the items of one database. It is not safe for concurrent use.
type Scheduler struct {
	policy Policy
	// shares has the kept share of each rank, including ranks that an earlier
	// policy had and the current one lacks.
	shares          []float64
	reservedPerRank int
	seed            uint64
	random          *rand.Rand

	slab    slab
	index   handleIndex
	expiry  expiryHeap
	late    lateList
	lanes   [NumLanes]lane
	budgets []retryBudget
	// waiting is the number of queued or late items by rank.
	waiting      []int
	waitingTotal int
}

// New returns an empty scheduler. The seed determines the jitter of RetryAfter and
// the hash of callers.
func New(policy Policy, seed uint64) *Scheduler {
	s := &Scheduler{
		seed:   hash64(seed + 1),
		random: rand.New(rand.NewPCG(seed, 0)),
		slab:   slab{freeHead: noNode},
		late:   lateList{head: noNode, tail: noNode},
	}
	for i := range s.lanes {
		s.lanes[i].slots = 1
	}
	s.SetPolicy(policy)
	return s
}

// SetPolicy replaces the policy. Queued items keep their rank index. A
// RetryRatio of 0 means the default of 0.2, a negative one no retries beyond the
// initial burst. A MaxQueued of 0 means 10,000. Without Ranks there is one rank that
// keeps all slot time.
func (s *Scheduler) SetPolicy(policy Policy) {
	s.policy = withDefaults(policy)
	ranks := max(len(s.policy.Ranks), len(s.shares))
	s.shares = keptShares(s.policy, ranks)
	s.reservedPerRank = reservedCapacity(s.policy)
	for len(s.waiting) < ranks {
		s.waiting = append(s.waiting, 0)
		s.budgets = append(s.budgets, retryBudget{tokens: retryBurst})
	}
	for i := range s.lanes {
		l := &s.lanes[i]
		for len(l.ranks) < ranks {
			l.ranks = append(l.ranks, laneRank{cost: costEstimator{ratio: 1}})
		}
	}
}

// SetSlots sets the number of slots that serve a lane. Items of a lane without slots
// stay queued until they expire; predictions then use the last nonzero number.
func (s *Scheduler) SetSlots(lane Lane, slots int) {
	if slots > 0 {
		s.lanes[lane].slots = slots
	}
}

// unqueue removes a queued node from its lane and from the expiry heap.
func (s *Scheduler) unqueue(id nodeID) {
	n := s.slab.at(id)
	l := &s.lanes[n.item.Lane]
	l.ranks[n.rank].queue(n.item.Retry).remove(&s.slab, id)
	l.queued--
	s.expiry.remove(&s.slab, id)
}

// releaseNode frees a node that is in no list.
func (s *Scheduler) releaseNode(id nodeID) {
	s.index.remove(s.slab.at(id).item.Handle)
	s.slab.release(id)
}

func (s *Scheduler) decrementWaiting(rank int32) {
	s.waiting[rank]--
	s.waitingTotal--
}

// Remove removes a queued item. It reports whether the item was queued; a running
// item is not removed.
func (s *Scheduler) Remove(handle entity.Handle) bool {
	id := s.index.get(handle)
	if id == noNode {
		return false
	}
	n := s.slab.at(id)
	switch n.state {
	case nodeQueued:
		s.unqueue(id)
	case nodeLate:
		s.late.remove(&s.slab, id)
	default:
		return false
	}
	s.decrementWaiting(n.rank)
	s.releaseNode(id)
	return true
}

// Queued returns the number of queued items of a rank.
func (s *Scheduler) Queued(rank int) int {
	if rank < 0 || rank >= len(s.shares) {
		return 0
	}
	n := 0
	for i := range s.lanes {
		n += s.lanes[i].ranks[rank].queued()
	}
	return n
}

// Len returns the number of queued items in a lane.
func (s *Scheduler) Len(lane Lane) int { return s.lanes[lane].queued }
