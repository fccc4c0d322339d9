package floodsim

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// scheduler is the interface of core/flood that the model uses. The other schedulers
// implement it for comparison.
type scheduler interface {
	Offer(now entity.Time, item flood.Item) flood.Decision
	Next(now entity.Time, lane flood.Lane) (flood.Item, bool)
	Done(now entity.Time, item flood.Item, cost time.Duration)
	Expire(now entity.Time, out []flood.Refusal) []flood.Refusal
	NextExpiry() entity.Time
}

// Names of the schedulers. Skylarkhinge is core/flood.
const (
	Skylarkhinge   = "skylarkhinge"
	FIFO           = "fifo"
	BoundedFIFO    = "bounded-fifo"
	StrictPriority = "strict-priority"
	WeightedDRR    = "weighted-drr"
	SplitVMs       = "split-9-vms"
)

// Schedulers returns the names of the schedulers that are compared.
func Schedulers() []string {
	return []string{Skylarkhinge, FIFO, BoundedFIFO, StrictPriority, WeightedDRR, SplitVMs}
}

func newScheduler(name string, d Deployment, seed uint64) scheduler {
	switch name {
	case FIFO:
		return &queueScheduler{maxLength: -1, rankOf: singleRank, choose: chooseFirstNonEmpty}
	case BoundedFIFO:
		return &queueScheduler{maxLength: maxFIFOLength, rankOf: singleRank, choose: chooseFirstNonEmpty}
	case StrictPriority:
		return &queueScheduler{maxLength: maxRankLength, rankOf: rankOfItem, choose: chooseFirstNonEmpty, dropExpired: true}
	case WeightedDRR:
		return &queueScheduler{maxLength: maxRankLength, rankOf: rankOfItem, choose: chooseByDeficit, dropExpired: true}
	case SplitVMs:
		return newSplitScheduler(d, seed)
	}
	s := flood.New(policy(), seed)
	for lane := range flood.NumLanes {
		s.SetSlots(lane, d.slots(lane))
	}
	return s
}

const (
	// maxFIFOLength bounds the single queue of a lane, maxRankLength the queue of one
	// rank in a lane.
	maxFIFOLength = 300
	maxRankLength = 100
	// constantRetryAfter is the RetryAfter of every refusal by queueScheduler.
	constantRetryAfter = time.Second
	// quantum is the slot time that deficit round robin distributes per round in
	// proportion to the kept shares.
	quantum = 100 * time.Millisecond
)

// fifo is a queue that pops in amortized constant time.
type fifo struct {
	items []flood.Item
	head  int
}

func (q *fifo) len() int { return len(q.items) - q.head }

func (q *fifo) pop() flood.Item {
	item := q.items[q.head]
	q.head++
	if q.head > len(q.items)/2 {
		q.items = append(q.items[:0], q.items[q.head:]...)
		q.head = 0
	}
	return item
}

// queueScheduler has one FIFO queue per lane and rank, an optional bound on their length,
// and a function that chooses the next rank. It does not predict waiting times. If
// dropExpired is set, it refuses items that are past their deadline when it would run
// them.
type queueScheduler struct {
	// maxLength bounds the length of each queue; -1 means unbounded.
	maxLength   int
	dropExpired bool
	rankOf      func(flood.Item) int
	choose      func(*queueScheduler, flood.Lane) int
	fifos       [flood.NumLanes][3]fifo
	deficits    [flood.NumLanes][3]time.Duration
	currentRank [flood.NumLanes]int
	dropped     []flood.Refusal
	droppedAt   entity.Time
}

func singleRank(flood.Item) int { return 0 }

func rankOfItem(item flood.Item) int { return item.Rank }

// chooseFirstNonEmpty returns the first rank with queued items, or -1.
func chooseFirstNonEmpty(q *queueScheduler, lane flood.Lane) int {
	for rank := range q.fifos[lane] {
		if q.fifos[lane][rank].len() > 0 {
			return rank
		}
	}
	return -1
}

// chooseByDeficit implements deficit round robin with the kept shares as weights.
func chooseByDeficit(q *queueScheduler, lane flood.Lane) int {
	if chooseFirstNonEmpty(q, lane) < 0 {
		return -1
	}
	for {
		rank := q.currentRank[lane]
		f := &q.fifos[lane][rank]
		if f.len() > 0 && q.deficits[lane][rank] >= f.items[f.head].Cost {
			q.deficits[lane][rank] -= f.items[f.head].Cost
			return rank
		}
		if f.len() == 0 {
			q.deficits[lane][rank] = 0
		}
		next := (rank + 1) % len(Ranks())
		q.currentRank[lane] = next
		q.deficits[lane][next] += time.Duration(Ranks()[next].KeptShare * float64(quantum))
	}
}

func (q *queueScheduler) Offer(now entity.Time, item flood.Item) flood.Decision {
	f := &q.fifos[item.Lane][q.rankOf(item)]
	if q.maxLength >= 0 && f.len() >= q.maxLength {
		return flood.Decision{Reason: flood.ReasonQueueFull, RetryAfter: constantRetryAfter}
	}
	f.items = append(f.items, item)
	return flood.Decision{}
}

func (q *queueScheduler) Next(now entity.Time, lane flood.Lane) (flood.Item, bool) {
	for {
		rank := q.choose(q, lane)
		if rank < 0 {
			return flood.Item{}, false
		}
		item := q.fifos[lane][rank].pop()
		if !q.dropExpired || item.Deadline > now {
			return item, true
		}
		q.droppedAt = now
		q.dropped = append(q.dropped, flood.Refusal{
			Handle: item.Handle, Reason: flood.ReasonDeadline, RetryAfter: constantRetryAfter,
		})
	}
}

func (q *queueScheduler) Done(entity.Time, flood.Item, time.Duration) {}

func (q *queueScheduler) Expire(now entity.Time, out []flood.Refusal) []flood.Refusal {
	out = append(out, q.dropped...)
	q.dropped = q.dropped[:0]
	return out
}

func (q *queueScheduler) NextExpiry() entity.Time {
	if len(q.dropped) > 0 {
		return q.droppedAt
	}
	return entity.Never
}
