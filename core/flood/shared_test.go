package flood

import (
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// The load of the test: one large organisation and smallOrganisations small ones, on slots
// that serve 1,000 items a second. On a quiet day they use 0.8 of that.
const (
	smallOrganisations = 20
	smallRate          = 20.0  // items per second of each small organisation
	largeRate          = 400.0 // items per second of the large one on a quiet day
	peakFactor         = 7.5   // largest load seen, as a multiple of the usual
	loadSlots          = 5
	loadCost           = 5 * time.Millisecond
	loadTime           = 4 * time.Second
)

// large is the index of the large organisation; the small ones follow.
const large = 0

// outcome is what one organisation got.
type outcome struct {
	offered, served, refused int
	longestWait              time.Duration
}

// loadRun plays the load against a scheduler.
type loadRun struct {
	s       *Scheduler
	shared  bool
	random  *rand.Rand
	next    [1 + smallOrganisations]entity.Time
	rates   [1 + smallOrganisations]float64
	slots   [loadSlots]runningItem
	owner   map[entity.Handle]int
	results [1 + smallOrganisations]outcome
	handle  entity.Handle
	// queued and turns are the queue lengths of the organisations and the number of items
	// of the large one served since the head of each queue became the head.
	queued, turns [1 + smallOrganisations]int
	// mostTurns is the highest number of items of the large organisation that were served
	// while an item of a small one was the next of its queue.
	mostTurns int
}

// playLoad returns the outcomes for a factor by which the large organisation exceeds its
// usual load. shared selects the rule for Item.Caller: the organisation, or the item itself.
func playLoad(seed uint64, factor float64, shared bool) *loadRun {
	run := &loadRun{s: New(threeRanks(100_000), seed), shared: shared, random: rand.New(rand.NewPCG(seed, 1)), owner: map[entity.Handle]int{}}
	run.s.SetSlots(LanePrimary, loadSlots)
	for i := range run.rates {
		run.rates[i] = smallRate
	}
	run.rates[large] = factor * largeRate
	for i := range run.next {
		run.next[i] = run.pause(i)
	}
	for {
		organisation, slot := 0, 0
		for i := range run.next {
			if run.next[i] < run.next[organisation] {
				organisation = i
			}
		}
		for i := range run.slots {
			if run.slots[i].item.Handle != 0 && (run.slots[slot].item.Handle == 0 || run.slots[i].ends < run.slots[slot].ends) {
				slot = i
			}
		}
		now := run.next[organisation]
		if now > at(loadTime) {
			return run
		}
		if end := &run.slots[slot]; end.item.Handle != 0 && end.ends <= now {
			now = end.ends
			run.s.Done(now, end.item, loadCost)
			end.item = Item{}
		} else {
			run.offer(now, organisation)
		}
		run.expire(now)
		run.fill(now)
	}
}

func (run *loadRun) pause(organisation int) entity.Time {
	return entity.Time(run.random.ExpFloat64() / run.rates[organisation] * float64(time.Second))
}

func (run *loadRun) offer(now entity.Time, organisation int) {
	run.next[organisation] = now + run.pause(organisation)
	run.handle++
	item := Item{Handle: run.handle, Caller: uint64(run.handle), Arrived: now, Deadline: now.Add(500 * time.Millisecond), Cost: loadCost}
	if run.shared {
		item.Caller, item.SharedCaller = hash64(uint64(organisation)+1), true
	}
	run.results[organisation].offered++
	if run.s.Offer(now, item).Reason != ReasonNone {
		run.results[organisation].refused++
		return
	}
	if run.queued[organisation] == 0 {
		run.turns[organisation] = 0
	}
	run.queued[organisation]++
	run.owner[item.Handle] = organisation
}

func (run *loadRun) expire(now entity.Time) {
	for _, refusal := range run.s.Expire(now, nil) {
		organisation := run.owner[refusal.Handle]
		run.results[organisation].refused++
		run.queued[organisation]--
	}
}

func (run *loadRun) fill(now entity.Time) {
	for i := range run.slots {
		if run.slots[i].item.Handle != 0 {
			continue
		}
		item, ok := run.s.Next(now, LanePrimary)
		if !ok {
			return
		}
		run.slots[i] = runningItem{item: item, ends: now.Add(loadCost)}
		organisation := run.owner[item.Handle]
		r := &run.results[organisation]
		r.served++
		r.longestWait = max(r.longestWait, now.Sub(item.Arrived))
		run.queued[organisation]--
		run.mostTurns = max(run.mostTurns, run.turns[organisation])
		run.turns[organisation] = 0
		if organisation == large {
			for o := range run.turns {
				run.turns[o]++
			}
			run.turns[large] = 0
		}
	}
}

// small sums up the outcomes of the small organisations.
func (run *loadRun) small() (sum outcome) {
	for _, r := range run.results[large+1:] {
		sum.offered += r.offered
		sum.served += r.served
		sum.refused += r.refused
		sum.longestWait = max(sum.longestWait, r.longestWait)
	}
	return sum
}

// Guards against small organisations that are refused or wait while a large one sends 7.5
// times its usual load, also if their callers hash to the bucket of the large one. Some of
// the seeds cause such collisions.
func TestOrganisationsTakeTurnsUnderLoad(t *testing.T) {
	const seeds = 40
	target := threeRanks(1).Ranks[0].Target
	for seed := range uint64(seeds) {
		quiet, shared, perItem := playLoad(seed, 1, true), playLoad(seed, peakFactor, true), playLoad(seed, peakFactor, false)
		small, before := shared.small(), perItem.small()
		if seed == 0 {
			t.Logf("quiet day: small %+v, large %+v", quiet.small(), quiet.results[large])
			t.Logf("caller is the organisation: small %+v, large %+v, turns %d", small, shared.results[large], shared.mostTurns)
			t.Logf("caller is the item: small %+v, large %+v, turns %d", before, perItem.results[large], perItem.mostTurns)
		}
		assert.Equal(t, small.refused, 0, "seed %d: %+v", seed, small)
		assert.Assert(t, small.longestWait <= target, "seed %d: %+v", seed, small)
		assert.Assert(t, shared.mostTurns <= 1, "seed %d: the large one had %d turns in a row", seed, shared.mostTurns)
		// The large organisation gets what the small ones leave.
		assert.Assert(t, shared.results[large].served > quiet.results[large].served, "seed %d", seed)
		assert.Assert(t, before.refused > small.refused && before.longestWait > small.longestWait, "seed %d: %+v", seed, before)
	}
}
