// Package session measures complete nodes on virtual time: the fraction of reads served
// by replicas, how long writes are unavailable during failures and drains, and the
// latency of each rank during floods.
package session

import (
	"fmt"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/internal/model"
)

// Targets of the measurements.
const (
	// TargetReplicaShare is the minimum fraction of reads on replicas at a replication
	// lag of TargetLag.
	TargetReplicaShare = 0.95
	TargetLag          = 100 * time.Millisecond
	// TargetGapP50 and TargetGapMax bound the longest time without an acknowledged write
	// after a fault: its median over the runs, and its maximum.
	TargetGapP50 = time.Second
	TargetGapMax = 3 * time.Second
)

const (
	sessions = 40
	// warmUp is long enough for the membership to converge and for owners to hold
	// exclusive grants.
	warmUp = 4 * time.Second
	// observationTime is how long a run continues after the fault.
	observationTime = 6 * time.Second
)

// Deployment is the configuration of one user's deployment.
type Deployment struct {
	Name   string
	Config func(seed uint64) model.Config
}

// Deployments returns the deployments of the current users.
func Deployments() []Deployment {
	return []Deployment{{"Olarizu", model.Olarizu}, {"Castellano", model.Castellano}}
}

// ReadResult is the result of one read measurement. Replica counts the Reads that
// replicas served.
type ReadResult struct {
	Deployment string
	Variant    string
	Lag        time.Duration
	Reads      int
	Replica    int
	P50, P99   time.Duration
	Violations int
}

// ReplicaShare returns the fraction of reads with an age limit that replicas served.
func (r ReadResult) ReplicaShare() float64 {
	if r.Reads == 0 {
		return 0
	}
	return float64(r.Replica) / float64(r.Reads)
}

// variant is a way to serve reads with an age limit.
type variant struct {
	name   string
	adjust func(*core.Config)
	class  string
}

func variants() []variant {
	return []variant{
		{"exclusivity grants", nil, model.ClassBrowse},
		{"a probe round for each read", withoutGrants, model.ClassBrowse},
		{"primary only", nil, model.ClassLookup},
	}
}

func withoutGrants(c *core.Config) { c.Membership.GrantTTL = 0 }

// measureReads runs sessions that roam between proxies, with one write per nine reads.
func measureReads(d Deployment, v variant, seed uint64, lag, duration time.Duration) ReadResult {
	config := d.Config(seed)
	config.Lag = lag
	config.Adjust = v.adjust
	w := model.New(config)
	w.Run(warmUp)
	load := model.StartLoad(w, model.LoadConfig{
		Sessions: sessions, Think: 100 * time.Millisecond,
		Mix: []model.MixEntry{{Class: model.ClassOrder, Weight: 1}, {Class: v.class, Weight: 9}},
	})
	w.Run(duration)
	load.Stop()
	w.Run(warmUp)
	stats := load.Classes[v.class]
	r := ReadResult{
		Deployment: d.Name, Variant: v.name, Lag: lag,
		P50: stats.Quantile(0.5), P99: stats.Quantile(0.99), Violations: len(w.Violations()),
	}
	// World.Reads counts only reads of ClassBrowse.
	r.Reads, r.Replica = w.Reads()
	if v.class == model.ClassLookup {
		r.Reads = stats.Results[core.ResultDone]
	}
	return r
}

// GapResult is the result of one kind of fault over several seeds.
type GapResult struct {
	Deployment string
	Kind       string
	Runs       int
	// P50 and Max are over the longest time without an acknowledged write in each run.
	P50, Max time.Duration
	// NotRun, Unknown and WriteLost count the results of these kinds, Done those of
	// executed requests.
	Done, NotRun, Unknown, WriteLost int
	// LostAcks counts acknowledged writes that the new primary lacks. Only classes
	// without majority acknowledgement may lose any.
	LostAcks   int
	Violations int
	gaps       []time.Duration
}

// fault is a kind of fault and the function that injects it.
type fault struct {
	name   string
	inject func(w *model.World)
}

func faults() []fault {
	return []fault{
		{"primary killed", func(w *model.World) { w.Members[0].Kill() }},
		{"primary isolated", func(w *model.World) { w.Isolate(w.Members[0].Name()) }},
		{"primary isolated with its owner", func(w *model.World) { w.Isolate(w.Members[0].Name(), currentOwner(w).Name()) }},
		{"primary frozen", func(w *model.World) { w.Members[0].Freeze() }},
		{"primary killed, store down", func(w *model.World) {
			w.StoreDown = true
			w.Members[0].Kill()
		}},
		{"primary and owner killed", func(w *model.World) {
			w.Members[0].Kill()
			currentOwner(w).Kill()
		}},
		{"owner killed", func(w *model.World) { currentOwner(w).Kill() }},
		{"owner paused for 3 s", func(w *model.World) {
			p := currentOwner(w)
			p.Pause()
			w.After(3*time.Second, p.Resume)
		}},
		{"owner drained", func(w *model.World) { currentOwner(w).Drain() }},
		{"pooled connections silent", func(w *model.World) { currentOwner(w).BlackholeConnections(w.Members[0]) }},
	}
}

// currentOwner returns the proxy that owns the database, or the first proxy if none does.
func currentOwner(w *model.World) *model.Proxy {
	for _, p := range w.Proxies {
		if p.IsOwner() {
			return p
		}
	}
	return w.Proxies[0]
}

// measureGap measures a fault with consecutive seeds.
func measureGap(d Deployment, f fault, seed uint64, runs int) GapResult {
	r := GapResult{Deployment: d.Name, Kind: f.name, Runs: runs}
	var gaps []time.Duration
	for i := range runs {
		gaps = append(gaps, r.addRun(d, f, seed+uint64(i)))
	}
	slices.Sort(gaps)
	r.P50, r.Max = gaps[len(gaps)/2], gaps[len(gaps)-1]
	r.gaps = gaps
	return r
}

// addRun simulates one fault, adds its counts and returns the longest time without an
// acknowledged write.
func (r *GapResult) addRun(d Deployment, f fault, seed uint64) time.Duration {
	w := model.New(d.Config(seed))
	w.Run(warmUp)
	config := model.DefaultLoad(sessions)
	config.AliveOnly = true
	load := model.StartLoad(w, config)
	// The time of the fault relative to periodic timers varies with the seed.
	w.Run(time.Second + time.Duration(seed%17)*13*time.Millisecond)
	from := w.Now
	f.inject(w)
	w.Run(observationTime)
	to := w.Now
	load.Stop()
	w.Run(observationTime)
	r.Done += load.Total(core.ResultDone) + load.Total(core.ResultAlreadyExecuted)
	r.NotRun += load.Total(core.ResultNotRun)
	r.Unknown += load.Total(core.ResultUnknown)
	r.WriteLost += load.Total(core.ResultWriteLost)
	r.LostAcks += w.LostAcks()
	r.Violations += len(w.Violations())
	return load.LongestGap(from, to)
}

// MeetsTargets reports whether the gaps meet the targets and no guarantee was violated.
func (r GapResult) MeetsTargets() bool {
	return r.P50 < TargetGapP50 && r.Max < TargetGapMax && r.Violations == 0
}

// totalOf aggregates the results of a deployment. The targets apply to the total.
func totalOf(d Deployment, results []GapResult) GapResult {
	t := GapResult{Deployment: d.Name, Kind: "all of them"}
	var gaps []time.Duration
	for _, r := range results {
		t.Runs += r.Runs
		t.Done += r.Done
		t.NotRun += r.NotRun
		t.Unknown += r.Unknown
		t.WriteLost += r.WriteLost
		t.LostAcks += r.LostAcks
		t.Violations += r.Violations
		gaps = append(gaps, r.gaps...)
	}
	slices.Sort(gaps)
	t.P50, t.Max = gaps[len(gaps)/2], gaps[len(gaps)-1]
	return t
}

// Report has the results of Run.
type Report struct {
	Seed  uint64
	Reads []ReadResult
	Gaps  []GapResult
	// Totals has one row for each deployment.
	Totals []GapResult
	Floods []FloodResult
}

// Run takes all measurements in both deployments.
func Run(seed uint64) (Report, error) {
	lags := []time.Duration{time.Millisecond, 10 * time.Millisecond, TargetLag, time.Second, time.Minute}
	return run(seed, lags, 20*time.Second, 20), nil
}

func run(seed uint64, lags []time.Duration, duration time.Duration, runs int) Report {
	report := Report{Seed: seed}
	for _, d := range Deployments() {
		for _, v := range variants() {
			for _, lag := range lags {
				report.Reads = append(report.Reads, measureReads(d, v, seed, lag, duration))
			}
		}
		var gaps []GapResult
		for _, f := range faults() {
			gaps = append(gaps, measureGap(d, f, seed, runs))
		}
		report.Gaps = append(report.Gaps, gaps...)
		report.Floods = append(report.Floods, measureFloods(d, seed, duration)...)
		report.Totals = append(report.Totals, totalOf(d, gaps))
	}
	return report
}

func milliseconds(d time.Duration) string {
	return fmt.Sprintf("%.1f", float64(d)/float64(time.Millisecond))
}
