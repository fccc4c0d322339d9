package floodsim

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// shortDurations are long enough for the queues to fill and drain.
func shortDurations() PhaseDurations {
	return PhaseDurations{
		Warmup: time.Second, Before: 4 * time.Second, Flood: 10 * time.Second,
		Settle: 5 * time.Second, After: 5 * time.Second,
	}
}

func run(t *testing.T, schedulers ...string) Report {
	t.Helper()
	report, err := RunWith(1, shortDurations(), schedulers)
	assert.NilError(t, err)
	return report
}

// Guards against changes to the scheduler that miss a target of the design page.
func TestTargetsOfTheDesignPage(t *testing.T) {
	report := run(t, Skylarkhinge)
	assert.Equal(t, len(report.Targets), 17*len(Deployments()))
	for _, target := range report.Targets {
		assert.Check(t, target.Met(), "%s, %s: got %s, want %s",
			target.Deployment, target.Name, target.gotText(), target.wantText())
	}
}

// Guards against a simulated load that is too light to distinguish schedulers: a plain
// FIFO queue must miss the targets in both floods.
func TestPlainQueueMissesTheTargets(t *testing.T) {
	report := run(t, FIFO)
	for _, d := range Deployments() {
		last, ok := report.Find(d.Name, FloodLastRank, FIFO)
		assert.Assert(t, ok)
		assert.Assert(t, last.Phase(PhaseFlood).Ranks[0].WithinTarget < wantFirstWithinTarget)
		first, ok := report.Find(d.Name, FloodFirstRank, FIFO)
		assert.Assert(t, ok)
		assert.Assert(t, first.Phase(PhaseFlood).Goodput < wantGoodput)
	}
}

// Guards against reports that differ between runs with the same seed, and against
// missing runs in tables and plots.
func TestReportIsRepeatable(t *testing.T) {
	durations := PhaseDurations{Before: time.Second, Flood: time.Second, After: time.Second}
	report, err := RunWith(3, durations, Schedulers())
	assert.NilError(t, err)
	again, err := RunWith(3, durations, Schedulers())
	assert.NilError(t, err)
	assert.DeepEqual(t, report, again)
	var table, plot bytes.Buffer
	assert.NilError(t, report.WriteMarkdown(&table))
	for _, name := range Schedulers() {
		assert.Equal(t, strings.Count(table.String(), "| "+name+" | all |"), 10*len(Deployments()))
	}
	assert.NilError(t, report.WritePlot(&plot, "Olarizu", FloodLastRank, FIFO))
	assert.Assert(t, strings.Contains(plot.String(), "<svg"))
	assert.ErrorContains(t, report.WritePlot(&plot, "Olarizu", "none", FIFO), "no such run")
	_, err = RunWith(1, PhaseDurations{}, nil)
	assert.ErrorContains(t, err, "without length")
}

// Guards against a model of split slots that uses more or fewer slots than the
// deployment has, which would distort the comparison.
func TestSplitUsesNoMoreThanItsSlots(t *testing.T) {
	report := run(t, SplitVMs)
	for _, r := range report.Runs {
		for _, p := range r.Phases {
			assert.Assert(t, p.Utilization <= 1.02, "%s %s %s: %.3f", r.Deployment, r.Scenario, p.Phase, p.Utilization)
		}
	}
	normal, ok := report.Find("Olarizu", Normal, SplitVMs)
	assert.Assert(t, ok)
	assert.Assert(t, normal.Phase(PhaseFlood).Utilization > 0.6)
}
