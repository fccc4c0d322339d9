package flood

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against running a request whose caller already got a refusal.
func TestExpiredItemIsNotReturned(t *testing.T) {
	s := New(Policy{Ranks: []RankPolicy{{Name: "first", KeptShare: 1}}, MaxQueued: 10}, 1)
	item := Item{Handle: 1, Deadline: entity.Time(10 * time.Millisecond), Cost: time.Millisecond}
	assert.Equal(t, s.Offer(0, item).Reason, ReasonNone)
	refusals := s.Expire(entity.Time(11*time.Millisecond), nil)
	assert.Equal(t, len(refusals), 1)
	assert.Equal(t, refusals[0].Handle, entity.Handle(1))
	_, ok := s.Next(entity.Time(11*time.Millisecond), LanePrimary)
	assert.Assert(t, !ok)
}

// actualCost is the slot time by rank. It equals expectedCost, except for
// browsing, for which it is twice as high.
func actualCost(item Item) time.Duration {
	return []time.Duration{8, 20, 60}[item.Rank] * time.Millisecond
}

func expectedCost(rank int) time.Duration {
	return []time.Duration{8, 20, 30}[rank] * time.Millisecond
}

// slotTimeShares runs the given ranks with a backlog and returns each one's share
// of the slot time.
func (sim *slotSimulator) slotTimeShares(steps int, ranks ...int) map[int]float64 {
	clear(sim.used)
	for range steps {
		for _, rank := range ranks {
			sim.keepBacklog(rank, 20, expectedCost(rank))
		}
		sim.step(actualCost)
	}
	total := time.Duration(0)
	for _, used := range sim.used {
		total += used
	}
	shares := map[int]float64{}
	for rank, used := range sim.used {
		shares[rank] = float64(used) / float64(total)
	}
	return shares
}

func assertShare(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 0.05*want, "got %.4f, want %.4f within 5%%", got, want)
}

// Guards against starvation of the least urgent ranks, against shares in requests
// instead of slot time, and against estimates that are never corrected.
func TestBackloggedRanksGetTheirKeptShare(t *testing.T) {
	sim := newSlotSimulator(New(withoutTargets(threeRanks(1000)), 1), 3)
	shares := sim.slotTimeShares(20_000, 0, 1, 2)
	assertShare(t, shares[0], 0.80)
	assertShare(t, shares[1], 0.15)
	assertShare(t, shares[2], 0.05)
}

// Guards against idle slots, against a rank that is charged for slot time that no
// other rank needed, and against a rank that accumulates credit while idle.
func TestUnusedShareGoesToOthers(t *testing.T) {
	sim := newSlotSimulator(New(withoutTargets(threeRanks(1000)), 1), 3)
	shares := sim.slotTimeShares(20_000, 2)
	assertShare(t, shares[2], 1)
	sim.slotTimeShares(200, 0, 2)
	shares = sim.slotTimeShares(4_000, 0, 2)
	assertShare(t, shares[0], 0.95)
	assertShare(t, shares[2], 0.05)
	for rank := range 3 {
		deficit := sim.scheduler.lanes[LanePrimary].ranks[rank].deficit
		assert.Assert(t, deficit.Abs() <= time.Second, "rank %d: %v", rank, deficit)
	}
	assert.Assert(t, sim.scheduler.lanes[LanePrimary].ranks[1].deficit <= 0)
}

// Guards against one caller's backlog delaying all other callers of its rank.
func TestCallersTakeTurns(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(1000), 1), 1)
	for range 100 {
		sim.offer(Item{Caller: 1, Cost: time.Millisecond})
	}
	sim.offer(Item{Caller: 2, Cost: time.Millisecond})
	for served := 1; ; served++ {
		item, ok := sim.scheduler.Next(0, LanePrimary)
		assert.Assert(t, ok && served <= 2)
		if item.Caller == 2 {
			return
		}
	}
}

// Guards against retries that displace first attempts, and against starvation of
// retries by a steady stream of first attempts.
func TestFirstAttemptsBeforeRetries(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(1000), 1), 1)
	for range 10 {
		sim.offer(Item{Retry: true, Cost: time.Millisecond})
	}
	retries := 0
	for range 100 {
		sim.keepBacklog(0, 20, time.Millisecond)
		item, ok := sim.step(func(Item) time.Duration { return time.Millisecond })
		assert.Assert(t, ok)
		if item.Retry {
			retries++
		}
	}
	assert.Equal(t, retries, 100/(firstAttemptsPerRetry+1))
}

// Guards against retries that multiply the load during an outage.
func TestRetryBudget(t *testing.T) {
	s := New(threeRanks(1_000_000), 1)
	s.SetSlots(LanePrimary, 1000)
	sim := slotSimulator{scheduler: s}
	admitted := 0
	for i := range 10_000 {
		if i%10 == 0 {
			assert.Equal(t, sim.offer(Item{Caller: uint64(i)}).Reason, ReasonNone)
		}
		d := sim.offer(Item{Caller: uint64(i), Retry: true})
		if d.Reason == ReasonNone {
			admitted++
			continue
		}
		assert.Equal(t, d.Reason, ReasonRetryBudget)
	}
	assert.Assert(t, admitted >= 200 && admitted <= 200+retryBurst, "%d", admitted)
}

// Guards against queueing an item that cannot meet its deadline, and against
// refusing one that round-robin service would reach in time.
func TestOfferRefusesWhatCannotMakeItsDeadline(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(1000), 1), 2)
	late := Item{Caller: 1, Cost: 10 * time.Millisecond, Deadline: at(100 * time.Millisecond)}
	admitted := 0
	for sim.offer(late).Reason == ReasonNone {
		admitted++
	}
	assert.Assert(t, admitted >= 15 && admitted <= 20, "%d", admitted)
	d := sim.offer(late)
	assert.Equal(t, d.Reason, ReasonDeadline)
	assert.Assert(t, d.RetryAfter >= 80*time.Millisecond && d.RetryAfter <= 250*time.Millisecond, "%v", d.RetryAfter)
	other := late
	other.Caller = 2
	assert.Equal(t, sim.offer(other).Reason, ReasonNone)
	past := Item{Deadline: -1}
	assert.Equal(t, sim.offer(past).Reason, ReasonDeadline)
}

// Guards against sums of costs that overflow, so that a long wait is predicted as
// none.
func TestHugeCostsAreRefused(t *testing.T) {
	policy := threeRanks(20_000)
	policy.Ranks[2].KeptShare = 0
	sim := newSlotSimulator(New(policy, 1), 1)
	for i := range 6000 {
		sim.offer(Item{Rank: i % 2, Caller: uint64(i), Cost: math.MaxInt64, Deadline: entity.Never})
	}
	for range 10 {
		d := sim.offer(Item{Rank: 2, Cost: time.Second, Deadline: at(time.Minute)})
		assert.Equal(t, d.Reason, ReasonDeadline)
		assert.Assert(t, d.RetryAfter <= maxRetryAfter)
	}
}

// Guards against refused callers that all retry at the same instant.
func TestRetryAfterIsSpread(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(10), 1), 1)
	for sim.offer(Item{Cost: 100 * time.Millisecond}).Reason == ReasonNone {
	}
	seen := map[time.Duration]bool{}
	for range 100 {
		d := sim.offer(Item{Cost: 100 * time.Millisecond})
		assert.Equal(t, d.Reason, ReasonQueueFull)
		seen[d.RetryAfter/(10*time.Millisecond)] = true
	}
	assert.Assert(t, len(seen) > 30, "%d", len(seen))
}

// Guards against the least urgent rank filling the queue, so that more urgent ones
// are refused.
func TestFullQueueHasPlacesForEachRank(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(12), 1), 1)
	for sim.offer(Item{Rank: 2}).Reason == ReasonNone {
	}
	assert.Equal(t, sim.scheduler.Queued(2), 8)
	for sim.offer(Item{Rank: 0}).Reason == ReasonNone {
	}
	assert.Equal(t, sim.scheduler.Queued(0), 2)
	assert.Equal(t, sim.offer(Item{Rank: 1}).Reason, ReasonNone)
}

// Guards against a cost estimate above the deadline that refuses all items of the
// rank forever.
func TestOverestimateIsMeasuredAgain(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(10), 1), 1)
	item := func() Item {
		return Item{Cost: 10 * time.Millisecond, Deadline: sim.now.Add(50 * time.Millisecond)}
	}
	slow := func(Item) time.Duration { return 160 * time.Millisecond }
	quick := func(Item) time.Duration { return 10 * time.Millisecond }
	for range 100 {
		sim.offer(item())
		sim.step(slow)
	}
	for range 100 {
		sim.offer(item())
		sim.step(quick)
	}
	sim.step(quick)
	for range 3 {
		assert.Equal(t, sim.offer(item()).Reason, ReasonNone)
	}
}

// Guards against refusals during a failover that ends before the deadline, and
// against items that are lost or stuck when a new policy lacks their rank.
func TestLaneWithoutSlotsAndDroppedRank(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(100), 1), 2)
	sim.scheduler.SetSlots(LanePrimary, 0)
	assert.Equal(t, sim.offer(Item{Rank: 2, Deadline: at(time.Second)}).Reason, ReasonNone)
	sim.scheduler.SetPolicy(Policy{Ranks: []RankPolicy{{Name: "only", KeptShare: 1}}})
	assert.Equal(t, sim.scheduler.Queued(2), 1)
	assert.Equal(t, sim.scheduler.Len(LanePrimary), 1)
	item, ok := sim.scheduler.Next(0, LanePrimary)
	assert.Assert(t, ok)
	assert.Equal(t, item.Rank, 2)
	sim.scheduler.Done(1, item, time.Millisecond)
	assert.Equal(t, sim.scheduler.index.used, 0)
}

// Guards against an overloaded rank that serves every request just before its
// deadline, and against refusing bursts that drain by themselves.
func TestStandingQueueIsHeldToTheTarget(t *testing.T) {
	sim := newSlotSimulator(New(threeRanks(1000), 1), 2)
	cost := func(Item) time.Duration { return 10 * time.Millisecond }
	offer := func() Reason {
		return sim.offer(Item{Caller: uint64(sim.handle % 7), Cost: 10 * time.Millisecond,
			Deadline: sim.now.Add(10 * time.Second)}).Reason
	}
	for range 100 {
		assert.Equal(t, offer(), ReasonNone)
	}
	refused, waited, served := 0, time.Duration(0), 0
	for i := range 2000 {
		item, _ := sim.step(cost)
		for range 2 {
			if offer() == ReasonOverload {
				refused++
			}
		}
		if i >= 1000 {
			served++
			waited += sim.now.Sub(item.Arrived)
		}
	}
	assert.Assert(t, refused > 1500, "%d", refused)
	mean := waited / time.Duration(served)
	assert.Assert(t, mean > 100*time.Millisecond && mean < 250*time.Millisecond, "%v", mean)
}

// Guards against idle slots when the target is below the cost of an item.
func TestTinyTargetKeepsSlotsBusy(t *testing.T) {
	policy := threeRanks(1000)
	policy.Ranks[0].Target = time.Millisecond
	sim := newSlotSimulator(New(policy, 1), 3)
	busy := 0
	for range 2000 {
		for range 4 {
			sim.offer(Item{Caller: uint64(sim.handle), Cost: 10 * time.Millisecond, Deadline: sim.now.Add(time.Second)})
		}
		if _, ok := sim.step(func(Item) time.Duration { return 10 * time.Millisecond }); ok {
			busy++
		}
	}
	assert.Equal(t, busy, 2000)
}

// Guards against charging slot time on replicas to a rank's share of the primary:
// browsing fills the idle replicas and keeps its share of the primary.
func TestLanesKeepSharesApart(t *testing.T) {
	s := New(withoutTargets(threeRanks(1000)), 1)
	s.SetSlots(LaneReplica, 10)
	sim := newSlotSimulator(s, 3)
	for range 5000 {
		sim.offer(Item{Rank: 2, Caller: uint64(sim.handle), Lane: LaneReplica, Cost: expectedCost(2)})
		item, ok := s.Next(sim.now, LaneReplica)
		assert.Assert(t, ok)
		s.Done(sim.now, item, expectedCost(2))
	}
	shares := sim.slotTimeShares(10_000, 0, 2)
	assertShare(t, shares[2], 0.05)
}
