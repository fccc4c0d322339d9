// Package floodsim measures the request scheduler core/flood in virtual time: the slots
// of one database under an open-loop load with retries. It compares core/flood with
// simpler schedulers on the same orders.
//
// An order is a logical request of a caller. The caller sends it in up to maxAttempts
// attempts, and duplicates of it in some scenarios.
//
// The model covers one database, not a cluster: dispatch takes no time, and an upstream
// takes exactly the cost of a request.
package floodsim

import (
	"math/rand/v2"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// Deployment is the database of one user.
type Deployment struct {
	Name string
	// Upstreams is the number of members of the group, including the primary.
	Upstreams int
	// SlotsPerUpstream is the number of slots of each upstream.
	SlotsPerUpstream int
}

// Deployments returns the databases of the two users on the design page.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "Olarizu", Upstreams: 3, SlotsPerUpstream: 5},
		{Name: "Castellano", Upstreams: 3, SlotsPerUpstream: 3},
	}
}

// slots returns the number of slots that serve a lane.
func (d Deployment) slots(lane flood.Lane) int {
	if lane == flood.LanePrimary {
		return d.SlotsPerUpstream
	}
	return (d.Upstreams - 1) * d.SlotsPerUpstream
}

func (d Deployment) totalSlots() int { return d.Upstreams * d.SlotsPerUpstream }

// Rank is a rank's policy and load. The load is assumed.
type Rank struct {
	flood.RankPolicy
	// Deadline is how long a caller waits for an attempt.
	Deadline time.Duration
	// Cost is the mean slot time. Half of it is constant, the other half exponentially
	// distributed.
	Cost time.Duration
	// ExpectedCost is the slot time that the scheduler is given. That of browsing is
	// half the real one, so that the scheduler's correction is exercised.
	ExpectedCost time.Duration
	// Load is the normal demand as a fraction of all slots.
	Load float64
}

// Ranks returns the ranks of the model, the most urgent first.
func Ranks() []Rank {
	return []Rank{
		{
			RankPolicy: flood.RankPolicy{Name: "checkout", Target: 250 * time.Millisecond, KeptShare: 0.5},
			Deadline:   time.Second, Cost: 12 * time.Millisecond, ExpectedCost: 12 * time.Millisecond, Load: 0.25,
		},
		{
			RankPolicy: flood.RankPolicy{Name: "dispatch", Target: time.Second, KeptShare: 0.15},
			Deadline:   3 * time.Second, Cost: 20 * time.Millisecond, ExpectedCost: 20 * time.Millisecond, Load: 0.20,
		},
		{
			RankPolicy: flood.RankPolicy{Name: "browsing", Target: 2 * time.Second, KeptShare: 0.05},
			Deadline:   4 * time.Second, Cost: 30 * time.Millisecond, ExpectedCost: 15 * time.Millisecond, Load: 0.25,
		},
	}
}

// policy is the scheduler's configuration in the model.
func policy() flood.Policy {
	p := flood.Policy{MaxQueued: maxQueued}
	for _, r := range Ranks() {
		p.Ranks = append(p.Ranks, r.RankPolicy)
	}
	return p
}

const (
	// maxQueued is the maximum number of items queued in a core/flood scheduler.
	maxQueued = 2000
	// callersPerRank is the number of callers that send the orders of a rank.
	callersPerRank = 500
	// honourRetryAfterProbability is the probability that the caller of an order waits
	// for RetryAfter. Other callers ignore it, and time out after the rank's target
	// instead of its deadline.
	honourRetryAfterProbability = 0.7
	// meanRetryDelay is the mean delay of a retry after a timeout, or after a refusal whose
	// RetryAfter the caller ignores.
	meanRetryDelay = 50 * time.Millisecond
	// maxAttempts is the number of attempts per order, not counting duplicates.
	maxAttempts = 4
	// duplicateInterval is the mean time between two duplicates of an order.
	duplicateInterval = 50 * time.Millisecond
)

// Scenario is a change of the normal load during the flood phase.
type Scenario struct {
	Name string
	// LoadFactor multiplies the rate of first attempts of each rank.
	LoadFactor [3]float64
	// Duplicates is the mean number of duplicates sent of each order of the first
	// rank, regardless of its answer.
	Duplicates float64
}

// Names of the scenarios.
const (
	Normal         = "normal"
	FloodLastRank  = "flood-last"
	FloodFirstRank = "flood-first"
	RetryStorm     = "retry-storm"
)

// Scenarios returns the normal load and the floods. In FloodFirstRank and RetryStorm the
// first rank offers 10 times its normal load. In FloodFirstRank it has three times the
// orders, with 7/3 duplicates on average, so that first attempts alone exceed the
// capacity. In RetryStorm it has the normal orders, with 9 duplicates each.
func Scenarios() []Scenario {
	return []Scenario{
		{Name: Normal, LoadFactor: [3]float64{1, 1, 1}},
		{Name: FloodLastRank, LoadFactor: [3]float64{1, 1, 10}},
		{Name: FloodFirstRank, LoadFactor: [3]float64{3, 1, 1}, Duplicates: 7.0 / 3},
		{Name: RetryStorm, LoadFactor: [3]float64{1, 1, 1}, Duplicates: 9},
	}
}

// PhaseDurations has the duration of each phase of a run. Warmup and Settle are not
// measured.
type PhaseDurations struct {
	Warmup, Before, Flood, Settle, After time.Duration
}

// FullDurations returns the durations of the phases in Run.
func FullDurations() PhaseDurations {
	return PhaseDurations{
		Warmup: 2 * time.Second, Before: 10 * time.Second, Flood: 30 * time.Second,
		Settle: 5 * time.Second, After: 20 * time.Second,
	}
}

// Names of the measured phases.
const (
	PhaseBefore = "before"
	PhaseFlood  = "flood"
	PhaseAfter  = "after"
)

// span is the time range of a measured phase; to is exclusive.
type span struct {
	name     string
	from, to entity.Time
}

func (s span) contains(t entity.Time) bool { return t >= s.from && t < s.to }

func (s span) length() time.Duration { return s.to.Sub(s.from) }

// spans returns the measured phases in order.
func (phases PhaseDurations) spans() []span {
	before := entity.Time(phases.Warmup)
	floodFrom := before.Add(phases.Before)
	floodTo := floodFrom.Add(phases.Flood)
	after := floodTo.Add(phases.Settle)
	return []span{
		{PhaseBefore, before, floodFrom},
		{PhaseFlood, floodFrom, floodTo},
		{PhaseAfter, after, after.Add(phases.After)},
	}
}

// order is a logical request of a caller. Its first attempt is sent at the time at;
// cost is the slot time of each attempt.
type order struct {
	at                entity.Time
	rank              int
	caller            uint64
	lane              flood.Lane
	cost              time.Duration
	honoursRetryAfter bool
	duplicates        int
}

// generateOrders returns the random orders of a run, sorted by time. They do not depend
// on the scheduler.
func generateOrders(d Deployment, sc Scenario, phases PhaseDurations, seed uint64) []order {
	var orders []order
	for rank := range Ranks() {
		random := rand.New(rand.NewPCG(seed, uint64(rank)))
		orders = append(orders, generateRankOrders(d, sc, phases, rank, random)...)
	}
	slices.SortStableFunc(orders, func(a, b order) int { return int(a.at - b.at) })
	return orders
}

// generateRankOrders returns the orders of a rank as a Poisson process.
func generateRankOrders(d Deployment, sc Scenario, phases PhaseDurations, rank int, random *rand.Rand) []order {
	var orders []order
	r := Ranks()[rank]
	spans := phases.spans()
	floodPhase, end := spans[1], spans[2].to
	meanInterval := float64(r.Cost) / (r.Load * float64(d.totalSlots()))
	for at := entity.Time(0); ; {
		factor := 1.0
		if floodPhase.contains(at) {
			factor = sc.LoadFactor[rank]
		}
		at += entity.Time(random.ExpFloat64() * meanInterval / factor)
		if at >= end {
			return orders
		}
		o := order{
			at:                at,
			rank:              rank,
			caller:            uint64(rank*callersPerRank + random.IntN(callersPerRank)),
			cost:              r.Cost/2 + time.Duration(random.ExpFloat64()*float64(r.Cost/2)),
			honoursRetryAfter: random.Float64() < honourRetryAfterProbability,
		}
		// Orders are divided over the lanes in proportion to their slots.
		if random.IntN(d.Upstreams) > 0 {
			o.lane = flood.LaneReplica
		}
		if duplicates := sc.Duplicates; rank == 0 && floodPhase.contains(at) {
			o.duplicates = int(duplicates + random.Float64())
		}
		orders = append(orders, o)
	}
}
