package model

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core"
)

// endAndCheck ends the load and the network cuts, and checks the guarantees.
func endAndCheck(t *testing.T, w *World, l *Load) {
	t.Helper()
	l.Stop()
	w.Heal()
	w.Run(10 * time.Second)
	w.CheckFinalState()
	for _, p := range w.Proxies {
		if p.draining && !p.Drained {
			t.Errorf("%s did not finish its drain", p.Name())
		}
	}
	for class, c := range l.Classes {
		t.Logf("%s %v", class, c.Results)
	}
	all, replica := w.Reads()
	t.Logf("primaries %d, lost acknowledged writes %d, reads that replicas might serve %d, served by replicas %d", w.PrimaryCount(), w.LostAcks(), all, replica)
	for i, v := range w.Violations() {
		if i < 10 {
			t.Error(v)
		}
	}
}

// Guards against lost requests and promotions in a cluster without failures.
func TestQuietFleetServesEverything(t *testing.T) {
	w := New(Olarizu(1))
	w.Run(3 * time.Second)
	l := StartLoad(w, DefaultLoad(30))
	w.Run(10 * time.Second)
	endAndCheck(t, w, l)
	assert.Equal(t, w.PrimaryCount(), 1)
	assert.Equal(t, l.Total(core.ResultUnknown), 0)
	assert.Equal(t, l.Total(core.ResultNotRun), 0)
	assert.Assert(t, l.Total(core.ResultDone) > 1000)
}
