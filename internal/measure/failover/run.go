package failover

import (
	"fmt"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// The targets of the design page.
const (
	TargetP50 = time.Second
	TargetMax = 3 * time.Second
	UserLimit = 10 * time.Second
)

const (
	// failoversPerKind gives 100 failovers per deployment over all kinds.
	failoversPerKind = 20
	members          = 3
	writeInterval    = 5 * time.Millisecond
	warmUp           = 2 * time.Second
	// observed is how long a failover is watched. It is longer than freezeLength,
	// so that the return of a frozen primary is part of the run.
	observed     = 15 * time.Second
	freezeLength = 8 * time.Second
	// outageLength covers the whole failover.
	outageLength = time.Minute
	// takeover is the silence after which entries skip an owner; heartbeat is
	// the interval by which its detection varies.
	takeover  = 500 * time.Millisecond
	heartbeat = 100 * time.Millisecond
	// pauseLength and lossRate are those of the design page's target; each node
	// pauses on average every pauseInterval.
	lossRate      = 0.05
	pauseLength   = 200 * time.Millisecond
	pauseInterval = 5 * time.Second
	lossDuration  = time.Hour
)

// Deployment is one of the users' networks.
type Deployment struct {
	Name    string
	Network Network
}

// Deployments returns the networks of the design page. Members are in different
// regions.
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

// Kind is a kind of failover.
type Kind uint8

const (
	// PrimaryKilled stops the primary's process. On every second run its
	// machine refuses connections, on the others it is silent.
	PrimaryKilled Kind = iota
	// PrimaryIsolated cuts the primary and the owner off from the rest; a new
	// owner takes over after 500 to 600 ms, with no knowledge of the group.
	PrimaryIsolated
	// PrimaryFrozen stops the primary for 8 s, after which it goes on.
	PrimaryFrozen
	// StoreOutage kills the primary while the store does not answer.
	StoreOutage
	// TwoPromoters kills the primary of a group that has two owners. On every
	// second run the store does not answer.
	TwoPromoters
	kindCount
)

var kindNames = [kindCount]string{"primary killed", "primary isolated with owner", "primary frozen", "store outage", "two promoters"}

// String returns the kind as it appears in reports.
func (k Kind) String() string { return kindNames[k] }

// Distribution summarizes durations.
type Distribution struct {
	Count         int
	P50, P99, Max time.Duration
}

// GapResult is the gap in writes over several failovers.
type GapResult struct {
	Deployment string
	Kind       string
	Gap        Distribution
	// Unfinished failovers had no write acknowledged by a new primary.
	Unfinished int
	// Promotions is the highest number of promotions in one failover.
	Promotions int
}

// LossResult is a run with lost messages and pauses in which nothing failed.
type LossResult struct {
	Deployment string
	Load       string
	Duration   time.Duration
	// FalsePromotions counts the terms that were fenced without need.
	FalsePromotions int
	Acknowledged    int
}

// Report has the results of a run.
type Report struct {
	Seed   uint64
	Gaps   []GapResult
	Totals []GapResult
	Losses []LossResult
}

// Run measures 100 failovers per deployment, and an hour of loss and pauses per
// deployment with and without load. It fails if a run violates a guarantee.
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
		total := newGaps(d, "all")
		for kind := range kindCount {
			gaps := newGaps(d, kind.String())
			for i := range perKind {
				w := failOver(d, kind, seed*10_000+uint64(kind)*1000+uint64(i))
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

// failOver runs one failover.
func failOver(d Deployment, kind Kind, seed uint64) *World {
	owners := 1
	if kind == PrimaryIsolated || kind == TwoPromoters {
		owners = 2
	}
	w := NewWorld(Settings{
		Seed: seed, Members: members, Owners: owners, Network: d.Network, Group: group.DefaultConfig(),
		WriteInterval: writeInterval, ApplyDelay: 10 * time.Millisecond, ReadInterval: 50 * time.Millisecond,
	})
	w.StartOwner(0)
	if kind == TwoPromoters {
		w.after(w.scenario, w.upTo(writeInterval), func() { w.StartOwner(1) })
	}
	w.RunUntil(w.now.Add(warmUp + w.upTo(heartbeat)))
	w.fail(kind, seed%2 == 1)
	w.RunUntil(w.now.Add(observed))
	return w
}

// fail starts the fault of a kind; odd tells the two variants apart.
func (w *World) fail(kind Kind, odd bool) {
	switch kind {
	case PrimaryKilled:
		w.killPrimary(odd)
	case PrimaryIsolated:
		w.Isolate([]int{0}, []int{0}, outageLength)
		w.after(w.scenario, takeover+w.upTo(heartbeat), func() { w.StartOwner(1) })
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
		w.Refuse(0)
	}
}

// gaps collects the gaps of several failovers.
type gaps struct {
	out  GapResult
	gaps []time.Duration
}

func newGaps(d Deployment, kind string) *gaps {
	return &gaps{out: GapResult{Deployment: d.Name, Kind: kind}}
}

func (g *gaps) add(w *World) {
	g.out.Promotions = max(g.out.Promotions, w.Promotions())
	gap, ok := w.gap()
	if !ok {
		g.out.Unfinished++
		return
	}
	g.gaps = append(g.gaps, gap)
}

func (g *gaps) result() GapResult {
	slices.Sort(g.gaps)
	g.out.Gap = Distribution{Count: len(g.gaps)}
	if n := len(g.gaps); n > 0 {
		g.out.Gap.P50 = g.gaps[rank(n, 50)]
		g.out.Gap.P99 = g.gaps[rank(n, 99)]
		g.out.Gap.Max = g.gaps[n-1]
	}
	return g.out
}

// rank returns the index of a percentile by the nearest-rank method.
func rank(n, percent int) int { return (n*percent+99)/100 - 1 }

// gap is the time from the last acknowledgement in the first term to the first
// one in a later term.
func (w *World) gap() (time.Duration, bool) {
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

// RunLosses runs each deployment for a while with 5% loss and 200 ms pauses of
// the owner and of members, with a write every 5 ms and with no load.
func RunLosses(seed uint64, duration time.Duration) ([]LossResult, error) {
	var out []LossResult
	for _, d := range Deployments() {
		for _, every := range []time.Duration{0, writeInterval} {
			r, err := runLoss(d, seed, every, duration)
			if err != nil {
				return out, err
			}
			out = append(out, r)
		}
	}
	return out, nil
}

func runLoss(d Deployment, seed uint64, every, duration time.Duration) (LossResult, error) {
	network := d.Network
	network.Loss = lossRate
	w := NewWorld(Settings{
		Seed: seed, Members: members, Owners: 1, Network: network, Group: group.DefaultConfig(),
		WriteInterval: every, ApplyDelay: 10 * time.Millisecond, ReadInterval: time.Second,
	})
	w.StartOwner(0)
	w.Pauses(pauseLength, pauseInterval)
	w.RunUntil(w.now.Add(duration))
	if v := w.Violations(); len(v) > 0 {
		return LossResult{}, fmt.Errorf("%s under loss: %s: %s", d.Name, v[0].Rule, v[0].Detail)
	}
	load := "no load"
	if every > 0 {
		load = "a write every " + every.String()
	}
	acknowledged, _ := w.Acknowledged()
	return LossResult{
		Deployment: d.Name, Load: load, Duration: duration,
		FalsePromotions: int(w.HighestTerm()) - 1, Acknowledged: acknowledged,
	}, nil
}
