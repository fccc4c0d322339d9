package floodsim

import (
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// RankResult has the results of a rank in a phase. Demand, RetryDemand, Goodput,
// SlotShare and KeptShare are fractions of the capacity, which is the total time of all
// slots in the phase.
type RankResult struct {
	Rank string
	// FirstAttempts counts the first attempts offered, Retries the later attempts and
	// duplicates. Demand and RetryDemand are their slot time.
	FirstAttempts, Retries int
	Demand, RetryDemand    float64
	// WithinTarget is the fraction of first attempts answered within the target.
	WithinTarget float64
	// OrdersAnswered is the fraction of orders for which any attempt was answered
	// before its deadline.
	OrdersAnswered float64
	// Goodput is the slot time of first attempts answered before their deadline.
	Goodput float64
	// SlotShare is the slot time used, KeptShare the share reserved for the rank.
	SlotShare, KeptShare float64
	// Refused counts refused attempts, retries and duplicates included. Expired counts
	// those of them that had been queued.
	Refused, Expired int
	// RefusalDelayP99 is the time from when a refusal is certain to the answer,
	// without network latency.
	RefusalDelayP99 time.Duration
	// RefusalWaitP99 is the time from the offer to the refusal.
	RefusalWaitP99 time.Duration
}

// PhaseResult has the results of a phase. Goodput and Utilization are fractions of the
// capacity, summed over ranks; Utilization includes all slot time used.
type PhaseResult struct {
	Phase                string
	Goodput, Utilization float64
	Ranks                []RankResult
}

// RunResult is the result of one scheduler in one scenario.
type RunResult struct {
	Deployment, Scenario, Scheduler string
	Phases                          []PhaseResult
	// Series has the goodput of each rank in consecutive steps of SeriesStep.
	Series     [][]float64
	SeriesStep time.Duration
}

// Phase returns the results of a phase.
func (r RunResult) Phase(name string) PhaseResult {
	for _, p := range r.Phases {
		if p.Phase == name {
			return p
		}
	}
	return PhaseResult{Phase: name}
}

// Report has the results of all runs, and the targets for Skylarkhinge.
type Report struct {
	Seed    uint64
	Runs    []RunResult
	Targets []Target
}

// Find returns the result of a scheduler in a scenario.
func (r Report) Find(deployment, scenario, scheduler string) (RunResult, bool) {
	for _, run := range r.Runs {
		if run.Deployment == deployment && run.Scenario == scenario && run.Scheduler == scheduler {
			return run, true
		}
	}
	return RunResult{}, false
}

// Run measures all schedulers in all scenarios with FullDurations.
func Run(seed uint64) (Report, error) {
	return RunWith(seed, FullDurations(), Schedulers())
}

// RunWith measures the named schedulers in all scenarios with the given phases. Before,
// Flood and After must be positive.
func RunWith(seed uint64, phases PhaseDurations, schedulers []string) (Report, error) {
	if phases.Before <= 0 || phases.Flood <= 0 || phases.After <= 0 {
		return Report{}, oops.With("length", phases).Errorf("flood measurement: phase without length")
	}
	report := Report{Seed: seed}
	for _, d := range Deployments() {
		for _, sc := range Scenarios() {
			orders := generateOrders(d, sc, phases, seed)
			for _, name := range schedulers {
				report.Runs = append(report.Runs, runScheduler(d, sc, phases, name, orders, seed))
			}
		}
	}
	report.Targets = evaluateTargets(report)
	return report, nil
}

func runScheduler(d Deployment, sc Scenario, phases PhaseDurations, name string, orders []order, seed uint64) RunResult {
	m := newModel(newScheduler(name, d, seed), d, orders, phases, seed)
	spans := phases.spans()
	end := spans[len(spans)-1].to
	m.run(end.Add(longestDeadline()))
	// Drop the last, incomplete step.
	steps := int(end / entity.Time(seriesStep))
	for rank := range m.collector.series {
		m.collector.series[rank] = m.collector.series[rank][:steps]
	}
	return RunResult{
		Deployment: d.Name, Scenario: sc.Name, Scheduler: name,
		Phases: m.collector.phaseResults(), Series: m.collector.series, SeriesStep: seriesStep,
	}
}

func longestDeadline() time.Duration {
	longest := time.Duration(0)
	for _, r := range Ranks() {
		longest = max(longest, r.Deadline)
	}
	return longest
}

// WriteMarkdown writes the targets and the results as Markdown tables.
func (r Report) WriteMarkdown(w io.Writer) error {
	var b strings.Builder
	r.writeTargets(&b)
	for _, run := range r.Runs {
		if run.Scheduler == r.Runs[0].Scheduler {
			r.writeScenario(&b, run.Deployment, run.Scenario)
		}
	}
	_, err := io.WriteString(w, b.String())
	return oops.Wrapf(err, "write flood report")
}

func (r Report) writeTargets(b *strings.Builder) {
	fmt.Fprintf(b, "Seed %d.\n\n| deployment | target | wanted | measured | met |\n|---|---|---|---|---|\n", r.Seed)
	for _, t := range r.Targets {
		fmt.Fprintf(b, "| %s | %s | %s | %s | %v |\n", t.Deployment, t.Name, t.wantText(), t.gotText(), t.Met())
	}
}

func (r Report) writeScenario(b *strings.Builder, deployment, scenario string) {
	for _, phase := range []string{PhaseBefore, PhaseFlood, PhaseAfter} {
		if scenario == Normal && phase != PhaseFlood {
			continue
		}
		fmt.Fprintf(b, "\n%s, %s, phase %s:\n\n", deployment, scenario, phase)
		b.WriteString("| scheduler | rank | first tries | retries | demand | within target | orders answered | goodput | slot share | kept share | refused | of these queued first | p99 refusal delay | p99 wait until refusal |\n")
		b.WriteString("|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n")
		for _, run := range r.Runs {
			if run.Deployment == deployment && run.Scenario == scenario {
				writePhase(b, run.Scheduler, run.Phase(phase))
			}
		}
	}
}

func writePhase(b *strings.Builder, scheduler string, p PhaseResult) {
	for _, r := range p.Ranks {
		fmt.Fprintf(b, "| %s | %s | %d | %d | %.3f | %.4f | %.4f | %.3f | %.3f | %.2f | %d | %d | %v | %v |\n",
			scheduler, r.Rank, r.FirstAttempts, r.Retries, r.Demand, r.WithinTarget, r.OrdersAnswered, r.Goodput,
			r.SlotShare, r.KeptShare, r.Refused, r.Expired, r.RefusalDelayP99, r.RefusalWaitP99.Round(time.Millisecond))
	}
	fmt.Fprintf(b, "| %s | all | | | | | | %.3f | %.3f | | | | | |\n", scheduler, p.Goodput, p.Utilization)
}
