package failover

import (
	"fmt"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// Targets of the design page for the failover gap. UserLimit is the maximum that the
// users accept.
const (
	TargetP50 = time.Second
	TargetMax = 3 * time.Second
	UserLimit = 10 * time.Second
)

const (
	// failoversPerKind makes 100 failovers per deployment over all five kinds.
	failoversPerKind = 20
	memberCount      = 3
	writeInterval    = 5 * time.Millisecond
	warmUp           = 2 * time.Second
	// observationTime is how long a run continues after the fault. It is longer than
	// freezeLength, so that a frozen primary resumes within the run.
	observationTime = 15 * time.Second
	freezeLength    = 8 * time.Second
	// outageLength is longer than the rest of the run.
	outageLength = time.Minute
	// ownerSuspectAfter is the silence after which proxies stop using an owner.
	// Detection varies by up to ownerHeartbeatInterval.
	ownerSuspectAfter      = 500 * time.Millisecond
	ownerHeartbeatInterval = 100 * time.Millisecond
	// lossRate and pauseLength are those of the design page's target. pauseInterval is
	// the mean time between two pauses of a node.
	lossRate      = 0.05
	pauseLength   = 200 * time.Millisecond
	pauseInterval = 5 * time.Second
	lossDuration  = time.Hour
)

// Deployment is the network of one user.
type Deployment struct {
	Name    string
	Network Network
}

// Deployments returns the networks of the design page. Each member is in a region of
// its own.
func Deployments() []Deployment {
	return []Deployment{
		{Name: "Olarizu", Network: Network{
			WithinRegion: 500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond,
			Connect: 12 * time.Millisecond, Jitter: time.Millisecond,
		}},
		{Name: "Castellano", Network: Network{
			WithinRegion: 1500 * time.Microsecond, BetweenRegions: 12 * time.Millisecond,
			Connect: 30 * time.Millisecond, Jitter: time.Millisecond,
		}},
	}
}

// FaultKind is the fault that causes a failover.
type FaultKind uint8

const (
	// PrimaryKilled kills the primary's process. In every second run its machine
	// refuses connections, in the others connection attempts time out.
	PrimaryKilled FaultKind = iota
	// PrimaryIsolated cuts the primary and the owner off from all other nodes. A new
	// owner, with no state of the group, starts after 500 to 600 ms.
	PrimaryIsolated
	// PrimaryFrozen suspends the primary for 8 s.
	PrimaryFrozen
	// StoreOutage kills the primary while the store does not answer.
	StoreOutage
	// TwoPromoters kills the primary of a group that has two owners. In every second
	// run the store does not answer.
	TwoPromoters
	kindCount
)

var kindNames = [kindCount]string{"primary killed", "primary isolated with owner", "primary frozen", "store outage", "two promoters"}

// String returns the kind as it appears in reports.
func (k FaultKind) String() string { return kindNames[k] }

// Distribution has the count and the percentiles of a set of durations.
type Distribution struct {
	Count         int
	P50, P99, Max time.Duration
}

// GapResult summarizes the gaps in acknowledged writes of several failovers.
type GapResult struct {
	Deployment string
	Kind       string
	Gap        Distribution
	// Unfinished failovers had no write acknowledged by a new primary.
	Unfinished int
	// MaxPromotions is the highest number of promotions in one failover.
	MaxPromotions int
}

// LossResult is the outcome of a run with message loss and pauses but no failure.
type LossResult struct {
	Deployment string
	Load       string
	Duration   time.Duration
	// FalsePromotions is the number of terms started although the primary was up.
	FalsePromotions int
	// Acknowledged is the number of acknowledged writes.
	Acknowledged int
}

// Report has the results of Run: Gaps by deployment and kind of fault, Totals by
// deployment, Losses by deployment and load.
type Report struct {
	Seed   uint64
	Gaps   []GapResult
	Totals []GapResult
	Losses []LossResult
}

// Run measures 100 failovers per deployment, and an hour with message loss and pauses
// per deployment, with and without load. It returns an error if a run violates a
// rule.
func Run(seed uint64) (Report, error) {
	report, err := RunFailovers(seed, failoversPerKind)
	if err != nil {
		return report, err
	}
	report.Losses, err = RunLosses(seed, lossDuration)
	return report, err
}

// RunFailovers measures a number of failovers of each kind per deployment.
func RunFailovers(seed uint64, perKind int) (Report, error) {
	report := Report{Seed: seed}
	for _, d := range Deployments() {
		total := newGapCollector(d, "all")
		for kind := range kindCount {
			gaps := newGapCollector(d, kind.String())
			for i := range perKind {
				w := runFailover(d, kind, seed*10_000+uint64(kind)*1000+uint64(i))
				if v := w.Violations(); len(v) > 0 {
					return report, fmt.Errorf("%s, %s, failover %d: %s: %s", d.Name, kind, i, v[0].Rule, v[0].Detail)
				}
				gaps.add(w)
				total.add(w)
			}
			report.Gaps = append(report.Gaps, gaps.result())
		}
		report.Totals = append(report.Totals, total.result())
	}
	return report, nil
}

// runFailover simulates one failover and returns the world at its end.
func runFailover(d Deployment, kind FaultKind, seed uint64) *World {
	owners := 1
	if kind == PrimaryIsolated || kind == TwoPromoters {
		owners = 2
	}
	w := NewWorld(Settings{
		Seed: seed, Members: memberCount, Owners: owners, Network: d.Network, Group: group.DefaultConfig(),
		WriteInterval: writeInterval, ApplyDelay: 10 * time.Millisecond, ReadInterval: 50 * time.Millisecond,
	})
	w.StartOwner(0)
	if kind == TwoPromoters {
		w.setTimer(w.scenarioNode, w.randomDuration(writeInterval), func() { w.StartOwner(1) })
	}
	w.RunUntil(w.now.Add(warmUp + w.randomDuration(ownerHeartbeatInterval)))
	w.injectFault(kind, seed%2 == 1)
	w.RunUntil(w.now.Add(observationTime))
	return w
}

// injectFault starts the fault; odd selects one of its two variants.
func (w *World) injectFault(kind FaultKind, odd bool) {
	switch kind {
	case PrimaryKilled:
		w.killPrimary(odd)
	case PrimaryIsolated:
		w.Isolate([]int{0}, []int{0}, outageLength)
		w.setTimer(w.scenarioNode, ownerSuspectAfter+w.randomDuration(ownerHeartbeatInterval), func() { w.StartOwner(1) })
	case PrimaryFrozen:
		w.FreezeMember(0, freezeLength)
	case StoreOutage:
		w.StoreOutage(outageLength)
		w.killPrimary(odd)
	case TwoPromoters:
		if odd {
			w.StoreOutage(outageLength)
		}
		w.killPrimary(false)
	}
}

func (w *World) killPrimary(refuse bool) {
	w.Kill(0)
	if refuse {
		w.RefuseConnections(0)
	}
}

// gapCollector aggregates the gaps of several failovers.
type gapCollector struct {
	summary GapResult
	gaps    []time.Duration
}

func newGapCollector(d Deployment, kind string) *gapCollector {
	return &gapCollector{summary: GapResult{Deployment: d.Name, Kind: kind}}
}

func (g *gapCollector) add(w *World) {
	g.summary.MaxPromotions = max(g.summary.MaxPromotions, w.Promotions())
	gap, ok := w.failoverGap()
	if !ok {
		g.summary.Unfinished++
		return
	}
	g.gaps = append(g.gaps, gap)
}

func (g *gapCollector) result() GapResult {
	slices.Sort(g.gaps)
	g.summary.Gap = Distribution{Count: len(g.gaps)}
	if n := len(g.gaps); n > 0 {
		g.summary.Gap.P50 = g.gaps[percentileIndex(n, 50)]
		g.summary.Gap.P99 = g.gaps[percentileIndex(n, 99)]
		g.summary.Gap.Max = g.gaps[n-1]
	}
	return g.summary
}

// percentileIndex returns the index of a percentile by the nearest-rank method.
func percentileIndex(n, percent int) int { return (n*percent+99)/100 - 1 }

// failoverGap returns the time from the last acknowledgement in the first term to the
// first one in a later term, or false if there was none.
func (w *World) failoverGap() (time.Duration, bool) {
	last, first := entity.Time(0), entity.Never
	for _, a := range w.record.acks {
		if a.term == 1 {
			last = a.at
		} else {
			first = min(first, a.at)
		}
	}
	return first.Sub(last), first != entity.Never
}

// RunLosses runs each deployment for the given duration with 5% message loss and
// 200 ms pauses of the owner and the members, without load and with a write every
// 5 ms.
func RunLosses(seed uint64, duration time.Duration) ([]LossResult, error) {
	var out []LossResult
	for _, d := range Deployments() {
		for _, interval := range []time.Duration{0, writeInterval} {
			r, err := runLoss(d, seed, interval, duration)
			if err != nil {
				return out, err
			}
			out = append(out, r)
		}
	}
	return out, nil
}

func runLoss(d Deployment, seed uint64, interval, duration time.Duration) (LossResult, error) {
	network := d.Network
	network.Loss = lossRate
	w := NewWorld(Settings{
		Seed: seed, Members: memberCount, Owners: 1, Network: network, Group: group.DefaultConfig(),
		WriteInterval: interval, ApplyDelay: 10 * time.Millisecond, ReadInterval: time.Second,
	})
	w.StartOwner(0)
	w.SchedulePauses(pauseLength, pauseInterval)
	w.RunUntil(w.now.Add(duration))
	if v := w.Violations(); len(v) > 0 {
		return LossResult{}, fmt.Errorf("%s under loss: %s: %s", d.Name, v[0].Rule, v[0].Detail)
	}
	load := "no load"
	if interval > 0 {
		load = "a write every " + interval.String()
	}
	acknowledged, _ := w.Acknowledged()
	return LossResult{
		Deployment: d.Name, Load: load, Duration: duration,
		FalsePromotions: int(w.HighestTerm()) - 1, Acknowledged: acknowledged,
	}, nil
}
