package flood

import (
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// propertyMaxQueued is the maximum queue length of the random runs.
const propertyMaxQueued = 24

// schedulerModel tracks the items of a random run and checks that each one ends
// exactly once.
type schedulerModel struct {
	scheduler *Scheduler
	now       entity.Time
	handle    entity.Handle
	queued    map[entity.Handle]Item
	// running has the items on slots in the order in which they started.
	running []Item
	// maxRunning is the highest number of running items so far.
	maxRunning int
}

// takeQueued removes an item that ends or starts to run from the queued items.
func (m *schedulerModel) takeQueued(t *rapid.T, h entity.Handle) Item {
	item, ok := m.queued[h]
	if !ok {
		t.Fatalf("item %d was dequeued, expired or removed a second time", h)
	}
	delete(m.queued, h)
	return item
}

func (m *schedulerModel) offer(t *rapid.T) {
	m.handle++
	item := Item{
		Handle:   m.handle,
		Rank:     rapid.IntRange(0, 2).Draw(t, "rank"),
		Caller:   rapid.Uint64Range(0, 4).Draw(t, "caller"),
		Lane:     Lane(rapid.IntRange(0, 1).Draw(t, "lane")),
		Retry:    rapid.Bool().Draw(t, "retry"),
		Arrived:  m.now,
		Deadline: m.now.Add(time.Duration(rapid.IntRange(-1, 200).Draw(t, "budget")) * time.Millisecond),
		Cost:     time.Duration(rapid.IntRange(0, 20).Draw(t, "cost")) * time.Millisecond,
	}
	d := m.scheduler.Offer(m.now, item)
	if d.Reason == ReasonNone {
		m.queued[item.Handle] = item
		return
	}
	if d.RetryAfter < minRetryAfter || d.RetryAfter > maxRetryAfter {
		t.Fatalf("RetryAfter %v is out of bounds", d.RetryAfter)
	}
}

func (m *schedulerModel) next(t *rapid.T) {
	lane := Lane(rapid.IntRange(0, 1).Draw(t, "lane"))
	item, ok := m.scheduler.Next(m.now, lane)
	if !ok {
		if n := m.scheduler.Len(lane); n != 0 {
			t.Fatalf("Next returned no item although %d are queued", n)
		}
		return
	}
	if want := m.takeQueued(t, item.Handle); item != want {
		t.Fatalf("item changed from %v to %v", want, item)
	}
	if item.Deadline <= m.now {
		t.Fatalf("item %d returned %v after its deadline", item.Handle, m.now.Sub(item.Deadline))
	}
	m.running = append(m.running, item)
}

func (m *schedulerModel) done(t *rapid.T) {
	if len(m.running) == 0 {
		return
	}
	cost := time.Duration(rapid.IntRange(0, 200).Draw(t, "used")) * time.Millisecond
	m.scheduler.Done(m.now, m.running[0], cost)
	m.running = m.running[1:]
}

func (m *schedulerModel) remove(t *rapid.T) {
	h := entity.Handle(rapid.Uint64Range(0, uint64(m.handle)).Draw(t, "handle"))
	_, want := m.queued[h]
	if got := m.scheduler.Remove(h); got != want {
		t.Fatalf("Remove(%d) = %v, want %v", h, got, want)
	}
	delete(m.queued, h)
}

func (m *schedulerModel) expire(t *rapid.T) {
	due := m.scheduler.NextExpiry() <= m.now
	refusals := m.scheduler.Expire(m.now, nil)
	if due != (len(refusals) > 0) {
		t.Fatalf("expiry due: %v, refusals: %d", due, len(refusals))
	}
	for _, r := range refusals {
		m.takeQueued(t, r.Handle)
	}
	if next := m.scheduler.NextExpiry(); next <= m.now {
		t.Fatalf("next expiry %v in the past", next)
	}
	for h, item := range m.queued {
		if item.Deadline <= m.now {
			t.Fatalf("item %d is queued after its deadline", h)
		}
	}
}

func (m *schedulerModel) advance(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(0, 40).Draw(t, "ms")) * time.Millisecond)
}

func (m *schedulerModel) check(t *rapid.T) {
	if len(m.queued) > propertyMaxQueued {
		t.Fatalf("%d items queued, more than the maximum", len(m.queued))
	}
	if want := len(m.queued); m.scheduler.waitingTotal != want {
		t.Fatalf("waitingTotal is %d, want %d", m.scheduler.waitingTotal, want)
	}
	if want := len(m.queued) + len(m.running); m.scheduler.index.used != want {
		t.Fatalf("%d items in the index, want %d", m.scheduler.index.used, want)
	}
	m.maxRunning = max(m.maxRunning, len(m.running))
	if n := len(m.scheduler.slab.nodes); n > propertyMaxQueued+m.maxRunning+1 {
		t.Fatalf("%d nodes allocated for at most %d queued and %d running items", n, propertyMaxQueued, m.maxRunning)
	}
	sum := 0
	for rank := range 3 {
		sum += m.scheduler.Queued(rank)
	}
	if lanes := m.scheduler.Len(LanePrimary) + m.scheduler.Len(LaneReplica); sum != lanes {
		t.Fatalf("%d items queued by rank, %d by lane", sum, lanes)
	}
	for i := range m.scheduler.lanes {
		for rank, r := range m.scheduler.lanes[i].ranks {
			if limit := maxDeficitPerSlot * time.Duration(m.scheduler.lanes[i].slots+1); r.deficit.Abs() > limit {
				t.Fatalf("deficit of rank %d is %v", rank, r.deficit)
			}
		}
	}
}

// Guards against items that end twice or never, run after their deadline, exceed
// the maximum queue length or leave their node allocated.
func TestEachItemHasOneEnd(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &schedulerModel{scheduler: New(threeRanks(propertyMaxQueued), 1), queued: map[entity.Handle]Item{}}
		m.scheduler.SetSlots(LanePrimary, 2)
		m.scheduler.SetSlots(LaneReplica, 4)
		t.Repeat(map[string]func(*rapid.T){
			"offer":   m.offer,
			"offer2":  m.offer,
			"next":    m.next,
			"done":    m.done,
			"remove":  m.remove,
			"expire":  m.expire,
			"advance": m.advance,
			"":        m.check,
		})
		for _, r := range m.scheduler.Expire(entity.Never-1, nil) {
			m.takeQueued(t, r.Handle)
		}
		if len(m.queued) != 0 {
			t.Fatalf("%d items never ended", len(m.queued))
		}
	})
}

// Guards against a heap or an index that loses entries when others are removed
// from the middle. The queues of TestEachItemHasOneEnd are too short to show this.
func TestRemovalKeepsHeapAndIndexWhole(t *testing.T) {
	s := New(threeRanks(10_000), 1)
	queued := map[entity.Handle]bool{}
	for i := range uint64(20_000) {
		h := entity.Handle(hash64(i) % 3000)
		if queued[h] != s.Remove(h) {
			t.Fatalf("Remove(%d) did not return %v", h, queued[h])
		}
		queued[h] = !queued[h]
		if queued[h] {
			s.Offer(0, Item{Handle: h, Caller: i, Deadline: at(time.Hour * time.Duration(1+hash64(i+1)%1000))})
		}
	}
	last := entity.Time(0)
	for _, want := range queued {
		if next := s.NextExpiry(); want && next < last {
			t.Fatalf("NextExpiry went back from %v to %v", last, next)
		} else if want {
			last = next
			s.Remove(s.slab.at(s.expiry.entries[0].id).item.Handle)
		}
	}
	if s.index.used != 0 || s.NextExpiry() != entity.Never {
		t.Fatalf("%d items left in the index", s.index.used)
	}
}

// Guards against kept shares that hold only for some costs, estimates or numbers
// of slots. Slot time is credited when an item ends, so a rank may lag by the
// largest item of any rank per slot. The lag does not grow with the length of the run.
func TestKeptShareHoldsForAnyCosts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := withoutTargets(threeRanks(1000))
		costs := make([]time.Duration, len(policy.Ranks))
		estimates := make([]time.Duration, len(policy.Ranks))
		for i := range policy.Ranks {
			policy.Ranks[i].KeptShare = rapid.Float64Range(0, 0.33).Draw(t, "share")
			costs[i] = time.Duration(rapid.IntRange(1, 100).Draw(t, "cost")) * time.Millisecond
			estimates[i] = costs[i] * time.Duration(rapid.IntRange(1, 8).Draw(t, "over")) / 4
		}
		slots := rapid.IntRange(1, 8).Draw(t, "slots")
		sim := newSlotSimulator(New(policy, 1), slots)
		for range 3000 {
			for rank := range policy.Ranks {
				sim.keepBacklog(rank, 4, estimates[rank])
			}
			sim.step(func(item Item) time.Duration { return costs[item.Rank] })
		}
		total := sim.used[0] + sim.used[1] + sim.used[2]
		lag := time.Duration(slots+1) * max(slices.Max(costs), slices.Max(estimates))
		for i, r := range policy.Ranks {
			if want := time.Duration(r.KeptShare*float64(total)) - lag; sim.used[i] < want {
				t.Fatalf("rank %d used %v of %v, want %v", i, sim.used[i], total, want)
			}
		}
	})
}

// Guards against decisions that depend on anything but the inputs and the seed.
func TestSameSeedGivesSameDecisions(t *testing.T) {
	outcome := func() (sum uint64) {
		sim := newSlotSimulator(New(threeRanks(200), 7), 2)
		for i := range 5000 {
			d := sim.offer(Item{Rank: i % 3, Caller: uint64(i % 11), Retry: i%5 == 0, Cost: time.Millisecond,
				Deadline: sim.now.Add(40 * time.Millisecond)})
			sum = hash64(sum ^ uint64(d.Reason) ^ uint64(d.RetryAfter))
			item, _ := sim.step(func(Item) time.Duration { return 2 * time.Millisecond })
			sum = hash64(sum ^ uint64(item.Handle))
			for _, r := range sim.scheduler.Expire(sim.now, nil) {
				sum = hash64(sum ^ uint64(r.Handle) ^ uint64(r.RetryAfter))
			}
		}
		return sum
	}
	if first, second := outcome(), outcome(); first != second {
		t.Fatalf("decisions differ between runs with the same seed: %x and %x", first, second)
	}
}
