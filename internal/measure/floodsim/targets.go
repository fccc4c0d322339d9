package floodsim

import (
	"fmt"
	"time"
)

// Targets of the design page.
const (
	wantFirstWithinTarget = 0.99
	wantGoodput           = 0.90
	// wantShareKept is the minimum slot share of a rank relative to its due share, and
	// the minimum utilization.
	wantShareKept = 0.95
	// wantRecovered is the minimum goodput after the flood relative to that before it;
	// less counts as a congestion collapse.
	wantRecovered    = 0.95
	wantRefusalDelay = 10 * time.Millisecond
)

// Target is a target of the design page and the measured value.
type Target struct {
	Deployment, Name string
	// Want is a lower bound, or an upper bound in seconds if Delay is set.
	Want, Got float64
	Delay     bool
}

// Met reports whether the target is met.
func (t Target) Met() bool {
	if t.Delay {
		return t.Got < t.Want
	}
	return t.Got >= t.Want
}

func (t Target) wantText() string {
	if t.Delay {
		return fmt.Sprintf("< %v", seconds(t.Want))
	}
	return fmt.Sprintf(">= %.3f", t.Want)
}

func (t Target) gotText() string {
	if t.Delay {
		return seconds(t.Got).String()
	}
	return fmt.Sprintf("%.4f", t.Got)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// evaluateTargets compares the runs of Skylarkhinge with the targets.
func evaluateTargets(r Report) []Target {
	var out []Target
	for _, d := range Deployments() {
		if run, ok := r.Find(d.Name, FloodLastRank, Skylarkhinge); ok {
			out = append(out, floodLastTargets(run)...)
		}
		if run, ok := r.Find(d.Name, FloodFirstRank, Skylarkhinge); ok {
			out = append(out, floodFirstTargets(run)...)
		}
		if run, ok := r.Find(d.Name, RetryStorm, Skylarkhinge); ok {
			out = append(out, retryStormTargets(run)...)
		}
	}
	return out
}

func floodLastTargets(run RunResult) []Target {
	p := run.Phase(PhaseFlood)
	out := []Target{{
		Deployment: run.Deployment, Name: FloodLastRank + ": checkout within target",
		Want: wantFirstWithinTarget, Got: p.Ranks[0].WithinTarget,
	}}
	out = append(out, keptShareTargets(run, p, 0, 1)...)
	out = append(out, utilizationTarget(run, p))
	return append(out, commonTargets(run, p)...)
}

func floodFirstTargets(run RunResult) []Target {
	p := run.Phase(PhaseFlood)
	out := []Target{{
		Deployment: run.Deployment, Name: FloodFirstRank + ": goodput of first tries",
		Want: wantGoodput, Got: p.Goodput,
	}}
	out = append(out, keptShareTargets(run, p, 1, 2)...)
	out = append(out, utilizationTarget(run, p))
	return append(out, commonTargets(run, p)...)
}

// retryStormTargets relates the goodput to the demand of first attempts, which is below
// the capacity.
func retryStormTargets(run RunResult) []Target {
	p := run.Phase(PhaseFlood)
	demand := 0.0
	for _, r := range p.Ranks {
		demand += r.Demand
	}
	out := []Target{{
		Deployment: run.Deployment, Name: RetryStorm + ": goodput / demand of first tries",
		Want: wantGoodput, Got: p.Goodput / demand,
	}}
	out = append(out, keptShareTargets(run, p, 1, 2)...)
	return append(out, commonTargets(run, p)...)
}

func utilizationTarget(run RunResult, p PhaseResult) Target {
	return Target{
		Deployment: run.Deployment, Name: run.Scenario + ": slot time in use, so that unused share goes to others",
		Want: wantShareKept, Got: p.Utilization,
	}
}

// keptShareTargets compares the slot share of ranks with their due share: the kept share,
// or the demand if that is lower.
func keptShareTargets(run RunResult, p PhaseResult, ranks ...int) []Target {
	var out []Target
	for _, rank := range ranks {
		r := p.Ranks[rank]
		due := min(r.KeptShare, r.Demand+r.RetryDemand)
		out = append(out, Target{
			Deployment: run.Deployment, Name: fmt.Sprintf("%s: slot share of %s / due share", run.Scenario, r.Rank),
			Want: wantShareKept, Got: r.SlotShare / due,
		})
	}
	return out
}

// commonTargets returns the targets of every flood: goodput recovers after it, and
// refusals are fast.
func commonTargets(run RunResult, p PhaseResult) []Target {
	delay := time.Duration(0)
	for _, r := range p.Ranks {
		delay = max(delay, r.RefusalDelayP99)
	}
	recovered := run.Phase(PhaseAfter).Goodput / run.Phase(PhaseBefore).Goodput
	return []Target{
		{
			Deployment: run.Deployment, Name: run.Scenario + ": goodput after / before",
			Want: wantRecovered, Got: recovered,
		},
		{
			Deployment: run.Deployment, Name: run.Scenario + ": p99 refusal delay",
			Want: wantRefusalDelay.Seconds(), Got: delay.Seconds(), Delay: true,
		},
	}
}
