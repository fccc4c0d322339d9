package group_test

import (
	"flag"
	"os"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/internal/measure/failover"
)

// TestMain sets the default seed and number of checks of the property tests. Flags on
// the command line override them.
func TestMain(m *testing.M) {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "40")
	flag.Parse()
	os.Exit(m.Run())
}

// drawWorld starts a simulated group with a random size, network and workload.
func drawWorld(t *rapid.T, majorityAcks bool) *failover.World {
	settings := failover.Settings{
		Seed:    rapid.Uint64Range(1, 1<<30).Draw(t, "seed"),
		Members: rapid.SampledFrom([]int{3, 3, 5}).Draw(t, "members"),
		Owners:  rapid.IntRange(1, 3).Draw(t, "owners"),
		Group:   group.DefaultConfig(),
		Network: failover.Network{
			WithinRegion:   500 * time.Microsecond,
			BetweenRegions: rapid.SampledFrom([]time.Duration{time.Millisecond, 12 * time.Millisecond}).Draw(t, "delay"),
			Connect:        12 * time.Millisecond,
			Jitter:         time.Duration(rapid.IntRange(0, 40).Draw(t, "jitter_ms")) * time.Millisecond,
			Loss:           float64(rapid.IntRange(0, 20).Draw(t, "loss")) / 100,
			Duplicate:      float64(rapid.IntRange(0, 10).Draw(t, "duplicate")) / 100,
			Spike:          float64(rapid.IntRange(0, 3).Draw(t, "spike")) / 100,
			SpikeDelay:     2 * time.Second,
		},
		WriteInterval: 10 * time.Millisecond,
		ReadInterval:  15 * time.Millisecond,
		ApplyDelay:    time.Duration(rapid.IntRange(0, 300).Draw(t, "apply_ms")) * time.Millisecond,
		MajorityAcks:  majorityAcks,

		ReplicationDelay: time.Duration(rapid.IntRange(0, 200).Draw(t, "replication_ms")) * time.Millisecond,
	}
	w := failover.NewWorld(settings)
	for i := range settings.Owners {
		w.StartOwner(i)
	}
	return w
}

// drawFaults injects random faults. Their times and targets come from one drawn seed,
// since rapid's bias towards small values would make most schedules harmless.
func drawFaults(t *rapid.T, w *failover.World) {
	faults := rapid.IntRange(4, 12).Draw(t, "faults")
	w.InjectRandomFaults(rapid.Uint64().Draw(t, "fault_seed"), faults)
}

// requireNoViolation fails the test if one of the rules was violated.
func requireNoViolation(t *rapid.T, w *failover.World, rules ...string) {
	for _, v := range w.Violations() {
		for _, rule := range rules {
			if v.Rule == rule {
				t.Fatalf("%s: %s", v.Rule, v.Detail)
			}
		}
	}
}

// Guards against two primaries in one term, and against acknowledgements by a
// primary that had been replaced.
func TestPropertyRoundsAndTerms(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, false)
		drawFaults(t, w)
		requireNoViolation(t, w, failover.RuleOnePrimary, failover.RuleStaleTerm, failover.RuleRound)
	})
}

// Guards against the loss of writes that a majority acknowledged.
func TestPropertyMajorityWritesSurvive(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, true)
		drawFaults(t, w)
		requireNoViolation(t, w, failover.RuleMajorityKept)
	})
}

// Guards against reads at replicas that haven't applied the read's floor or whose data
// is older than the reported lag.
func TestPropertyReads(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, false)
		drawFaults(t, w)
		requireNoViolation(t, w, failover.RuleLag, failover.RuleFloor)
	})
}

// Guards against groups that stay without a primary after the faults have ended:
// because replicas were fenced but none promoted, because owners block each other's
// promotions, or because an owner stops detecting the loss of the primary.
func TestPropertyGroupRecovers(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := drawWorld(t, false)
		drawFaults(t, w)
		w.Heal()
		healed := w.Now()
		w.RunUntil(healed.Add(10 * time.Second))
		_, last := w.Acknowledged()
		if last < w.Now()-entity.Time(500*time.Millisecond) {
			t.Fatalf("last acknowledgement at %v, healed at %v, now %v", last, healed, w.Now())
		}
	})
}
