package failover

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/group"
)

// Guards against failovers that miss the targets for the gap in writes. It runs 20 of
// the 100 failovers per deployment of Run.
func TestFailoverGapMeetsTargets(t *testing.T) {
	report, err := RunFailovers(1, 4)
	assert.NilError(t, err)
	for _, total := range report.Totals {
		assert.Assert(t, total.MeetsTargets(), "%+v", total)
	}
}

// Guards against promotions while the primary is up, in ten minutes with message loss
// and pauses. Run covers an hour.
func TestNoFalsePromotions(t *testing.T) {
	results, err := RunLosses(1, 10*time.Minute)
	assert.NilError(t, err)
	for _, r := range results {
		assert.Equal(t, r.FalsePromotions, 0, "%+v", r)
	}
}

// Guards against a second primary: an owner is frozen before it sends its promote
// request, and resumes after another owner has promoted a member in a higher term.
// Members must refuse the stale term.
func TestFrozenPromoterIsRefused(t *testing.T) {
	w := NewWorld(Settings{
		Seed: 1, Members: memberCount, Owners: 2, Network: Deployments()[0].Network,
		Group: group.DefaultConfig(), WriteInterval: writeInterval,
	})
	w.StartOwner(0)
	w.FreezeBeforePromotion(0, 4*time.Second)
	w.RunUntil(w.now.Add(warmUp))
	w.Kill(0)
	w.RunUntil(w.now.Add(time.Second))
	w.StartOwner(1)
	w.RunUntil(w.now.Add(10 * time.Second))
	assert.Equal(t, len(w.record.promoteRequests), 2, "both owners ask for a promotion")
	assert.Equal(t, w.Promotions(), 1)
	assert.Equal(t, w.HighestTerm(), uint64(3))
	assert.Equal(t, len(w.Violations()), 0, "%v", w.Violations())
}

// Guards against results that depend on map order or the clock, which would make a
// failing seed impossible to reproduce.
func TestRunRepeats(t *testing.T) {
	first, err := RunFailovers(7, 1)
	assert.NilError(t, err)
	second, err := RunFailovers(7, 1)
	assert.NilError(t, err)
	assert.DeepEqual(t, first, second)
}

// BenchmarkRun prints the whole report: go test -bench Run -benchtime 1x.
func BenchmarkRun(b *testing.B) {
	for range b.N {
		report, err := Run(1)
		assert.NilError(b, err)
		assert.NilError(b, report.WriteMarkdown(os.Stdout))
	}
}
