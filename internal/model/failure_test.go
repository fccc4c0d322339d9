package model

import (
	"flag"
	"fmt"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core"
)

// owner returns the owner of the database as the first proxy that is neither dead nor
// paused knows it.
func (w *World) owner() *Proxy {
	for _, p := range w.Proxies {
		if p.dead || p.paused {
			continue
		}
		for _, d := range p.node.Snapshot().Databases {
			return p.peer(d.Owner)
		}
	}
	return nil
}

// scenario is a failure that is injected under load.
type scenario struct {
	name  string
	fault func(w *World)
	// noWriteLost is set if no request may end as core.ResultWriteLost.
	noWriteLost bool
	// primaries is the expected number of primaries over the whole run.
	primaries int
}

// Guards against violated guarantees under each kind of failure of the failure model
// in docs/design.md.
func TestFailures(t *testing.T) {
	scenarios := []scenario{
		{name: "primary killed", fault: func(w *World) { w.Members[0].Kill() }, primaries: 2},
		{name: "primary isolated", fault: func(w *World) { w.Isolate("u1") }, primaries: 2},
		{name: "primary isolated with the owner", fault: func(w *World) { w.Isolate("u1", string(w.owner().vm)) }, primaries: 2},
		{name: "primary frozen", fault: func(w *World) {
			w.Members[0].Freeze()
			w.after(4*time.Second, w.Members[0].Thaw)
		}, primaries: 2},
		{name: "owner killed", fault: func(w *World) { w.owner().Kill() }, primaries: 1},
		{name: "owner paused", fault: func(w *World) {
			p := w.owner()
			p.Pause()
			w.after(3*time.Second, p.Resume)
		}, primaries: 1},
		{name: "owner paused across a promotion", fault: func(w *World) {
			p := w.owner()
			p.Pause()
			w.Members[0].Kill()
			w.after(4*time.Second, p.Resume)
		}, primaries: 2},
		{name: "owner isolated", fault: func(w *World) { w.Isolate(string(w.owner().vm)) }, primaries: 1},
		{name: "store down while the primary is killed", fault: func(w *World) {
			w.StoreDown = true
			w.Members[0].Kill()
		}, primaries: 2},
		{name: "replicas far behind", fault: func(w *World) { w.Config.Lag = 20 * time.Second }, primaries: 1},
		{name: "connections silent", fault: func(w *World) { w.owner().BlackholeConnections(w.Members[0]) }, primaries: 1},
		{name: "connections reset", fault: func(w *World) { w.owner().ResetConnections(w.Members[0]) }, primaries: 1},
		{name: "owner cut from some proxies", fault: func(w *World) {
			for _, p := range w.Proxies[:4] {
				if p != w.owner() {
					w.Cut(p.Name(), w.owner().Name())
				}
			}
		}, primaries: 1},
		{name: "replica leaves", fault: func(w *World) { w.MarkLeaving(500*time.Millisecond, w.Members[1]) }, primaries: 1},
		{name: "primary leaves", fault: func(w *World) { w.MarkLeaving(500*time.Millisecond, w.Members[0]) }, primaries: 2, noWriteLost: true},
		{name: "primary leaves, replicas behind", fault: func(w *World) {
			w.Config.Lag = 800 * time.Millisecond
			w.MarkLeaving(0, w.Members[0])
		}, primaries: 2, noWriteLost: true},
		{name: "proxy drained", fault: func(w *World) { w.owner().Drain() }, primaries: 1},
		{name: "loss and primary killed", fault: func(w *World) {
			w.Config.LossRate = 0.05
			w.Members[0].Kill()
		}, primaries: 2},
	}
	for _, s := range scenarios {
		t.Run(s.name, func(t *testing.T) {
			w := New(Olarizu(7))
			w.Run(3 * time.Second)
			l := StartLoad(w, DefaultLoad(20))
			w.Run(2 * time.Second)
			s.fault(w)
			w.Run(6 * time.Second)
			endAndCheck(t, w, l)
			assert.Equal(t, w.PrimaryCount(), s.primaries)
			if s.noWriteLost {
				assert.Equal(t, l.Total(core.ResultWriteLost), 0)
			}
		})
	}
}

// Guards against violated guarantees under random combinations of failures.
func TestRandomFailures(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkFaults(t, randomFault) })
}

// Guards against a write that is acknowledged, or a read that is answered, by an owner
// that was paused while the primary was replaced: in each step the owner and the primary
// stop or are isolated together, and come back in any order.
func TestRandomFailuresOfOwnerAndPrimary(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) { checkFaults(t, randomOwnerFault) })
}

// earlierFailures are the seeds of TestRandomFailures that once failed, with the number of
// checks up to the failing one.
var earlierFailures = []struct {
	seed   string
	checks int
}{
	// An owner dispatched a write again after its first dispatch got no response, and the
	// replaced primary ran the first one late. The model attributed the acknowledgement of
	// the second one to the term of the first.
	{seed: "62", checks: 1},
	{seed: "7", checks: 60},
}

// Guards against the return of failures that random draws found.
func TestEarlierRandomFailures(t *testing.T) {
	for _, c := range earlierFailures {
		t.Run("seed="+c.seed, func(t *testing.T) {
			setFlag(t, "rapid.seed", c.seed)
			setFlag(t, "rapid.checks", strconv.Itoa(c.checks))
			rapid.Check(t, func(t *rapid.T) { checkFaults(t, randomFault) })
		})
	}
}

// setFlag sets a flag for the rest of the test.
func setFlag(t *testing.T, name, value string) {
	previous := flag.Lookup(name).Value.String()
	assert.NilError(t, flag.Set(name, value))
	t.Cleanup(func() { assert.NilError(t, flag.Set(name, previous)) })
}

// checkFaults runs a load under some faults and checks the guarantees.
func checkFaults(t *rapid.T, inject func(t *rapid.T, w *World, step int)) {
	cfg := Olarizu(rapid.Uint64Range(1, 1<<20).Draw(t, "seed"))
	cfg.Proxies = 4
	cfg.LossRate = rapid.SampledFrom([]float64{0, 0.02}).Draw(t, "loss")
	w := New(cfg)
	w.Run(3 * time.Second)
	l := StartLoad(w, DefaultLoad(12))
	steps := rapid.IntRange(1, 5).Draw(t, "steps")
	for i := range steps {
		inject(t, w, i)
		w.Run(time.Duration(rapid.IntRange(50, 2500).Draw(t, "ms")) * time.Millisecond)
	}
	l.Stop()
	w.Heal()
	w.StoreDown = false
	for _, m := range w.Members {
		m.Thaw()
	}
	for _, p := range w.Proxies {
		p.Resume()
	}
	w.Run(12 * time.Second)
	w.CheckFinalState()
	for _, v := range w.Violations() {
		t.Error(v)
	}
}

// randomOwnerFault stops or isolates the owner, the primary or both, or ends such faults
// in any order.
func randomOwnerFault(t *rapid.T, w *World, step int) {
	owner, primary := w.owner(), w.Primary()
	fault := rapid.IntRange(0, 7).Draw(t, fmt.Sprintf("fault%d", step))
	if owner == nil || primary == nil {
		fault = 7
	}
	switch fault {
	case 0:
		owner.Pause()
		w.Isolate(primary.Name())
	case 1:
		owner.Pause()
		primary.Freeze()
	case 2:
		w.Isolate(primary.Name(), owner.Name())
	case 3:
		w.Isolate(primary.Name())
		owner.ResetConnections(primary)
	case 4:
		w.Heal()
	case 5:
		for _, m := range w.Members {
			m.Thaw()
		}
	case 6, 7:
		for _, p := range w.Proxies {
			p.Resume()
		}
	}
}

// randomFault injects or ends a random failure.
func randomFault(t *rapid.T, w *World, step int) {
	proxy := w.Proxies[rapid.IntRange(0, len(w.Proxies)-1).Draw(t, "proxy")]
	member := w.Members[rapid.IntRange(0, len(w.Members)-1).Draw(t, "member")]
	switch rapid.IntRange(0, 12).Draw(t, fmt.Sprintf("fault%d", step)) {
	case 0:
		w.Isolate(member.Name())
	case 1:
		w.Isolate(member.Name(), proxy.Name())
	case 2:
		member.Freeze()
	case 3:
		for _, m := range w.Members {
			m.Thaw()
		}
	case 4:
		proxy.Pause()
	case 5:
		for _, p := range w.Proxies {
			p.Resume()
		}
	case 6:
		w.Heal()
	case 7:
		w.StoreDown = !w.StoreDown
	case 8:
		w.Config.Lag = time.Duration(rapid.IntRange(1, 3000).Draw(t, "lag")) * time.Millisecond
	case 9:
		proxy.BlackholeConnections(member)
	case 10:
		proxy.ResetConnections(member)
	case 11:
		other := w.Proxies[rapid.IntRange(0, len(w.Proxies)-1).Draw(t, "other")]
		if other != proxy {
			w.Cut(proxy.Name(), other.Name())
		}
	case 12:
		w.Cut(proxy.Name(), member.Name())
	}
}
