package flood

import (
	"flag"
	"os"
	"testing"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// TestMain fixes the seed of the property tests; -rapid.seed overrides it.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "1")
	_ = flag.Set("rapid.nofailfile", "true")
	os.Exit(m.Run())
}

// threeRanks returns a policy of three ranks with kept shares of 50%, 15% and 5%.
func threeRanks(maxQueued int) Policy {
	return Policy{MaxQueued: maxQueued, Ranks: []RankPolicy{
		{Name: "checkout", Target: 250 * time.Millisecond, KeptShare: 0.5},
		{Name: "dispatch", Target: time.Second, KeptShare: 0.15},
		{Name: "browsing", Target: 2 * time.Second, KeptShare: 0.05},
	}}
}

// withoutTargets removes the latency targets, so that long queues are not refused.
func withoutTargets(p Policy) Policy {
	for i := range p.Ranks {
		p.Ranks[i].Target = 0
	}
	return p
}

func at(d time.Duration) entity.Time { return entity.Time(d) }

// slotSimulator runs items on the slots of the primary lane in virtual time.
type slotSimulator struct {
	scheduler *Scheduler
	now       entity.Time
	running   []runningItem
	handle    entity.Handle
	// used is the slot time of finished items by rank.
	used map[int]time.Duration
}

type runningItem struct {
	item Item
	ends entity.Time
}

func newSlotSimulator(s *Scheduler, slots int) *slotSimulator {
	s.SetSlots(LanePrimary, slots)
	return &slotSimulator{scheduler: s, running: make([]runningItem, slots), used: map[int]time.Duration{}}
}

func (sim *slotSimulator) offer(item Item) Decision {
	sim.handle++
	item.Handle = sim.handle
	item.Arrived = sim.now
	if item.Deadline == 0 {
		item.Deadline = sim.now.Add(time.Hour)
	}
	return sim.scheduler.Offer(sim.now, item)
}

// step finishes the item that ends first and starts the next item on its slot.
func (sim *slotSimulator) step(cost func(Item) time.Duration) (Item, bool) {
	slot := 0
	for i := range sim.running {
		if sim.running[i].ends < sim.running[slot].ends {
			slot = i
		}
	}
	r := &sim.running[slot]
	sim.now = max(sim.now, r.ends)
	if r.item.Handle != 0 {
		used := cost(r.item)
		sim.used[r.item.Rank] += used
		sim.scheduler.Done(sim.now, r.item, used)
	}
	item, ok := sim.scheduler.Next(sim.now, LanePrimary)
	if !ok {
		r.item = Item{}
		return item, false
	}
	*r = runningItem{item: item, ends: sim.now.Add(cost(item))}
	return item, true
}

// keepBacklog queues items of the rank until n are queued or one is refused.
func (sim *slotSimulator) keepBacklog(rank, n int, cost time.Duration) {
	for sim.scheduler.Queued(rank) < n {
		if sim.offer(Item{Rank: rank, Caller: uint64(sim.handle), Cost: cost}).Reason != ReasonNone {
			return
		}
	}
}
