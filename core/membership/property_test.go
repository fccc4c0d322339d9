package membership

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// injectFault applies one random change: a partition or its end, a pause, a crash or
// restart, other loss and delay, a new list or the draining of a VM. Lists change by one
// VM at a time. nextVM is the number of the next new VM; the updated number is returned.
func (w *world) injectFault(nextVM int) int {
	switch w.random.IntN(9) {
	case 0:
		w.partition()
	case 1, 2:
		w.cutLinks = nil
		for _, n := range w.nodes {
			n.listFrozen = false
		}
	case 3:
		n := w.nodes[w.random.IntN(len(w.nodes))]
		n.pausedUntil = w.now.Add(time.Duration(w.random.Int64N(int64(2 * time.Second))))
	case 4:
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if w.random.IntN(2) == 0 && n.isUp {
			n.isUp = false
		} else {
			w.startNode(n.name)
		}
	case 5:
		w.lossRate = []float64{0, 0.01, 0.05, 0.4}[w.random.IntN(4)]
		w.maxDelay = []time.Duration{0, 20 * time.Millisecond, 300 * time.Millisecond}[w.random.IntN(3)]
	case 6:
		list := append(slices.Clone(w.lists[len(w.lists)-1]), vmRow(nextVM))
		w.lists = append(w.lists, list)
		w.startNode(vmRow(nextVM).VM)
		if w.random.IntN(2) == 0 {
			w.partition()
		}
		nextVM++
	case 7:
		last := w.lists[len(w.lists)-1]
		if len(last) > 5 {
			at := w.random.IntN(len(last))
			changed := slices.Clone(last)
			if changed[at].State == VMLive && w.random.IntN(2) == 0 {
				changed[at].State = VMLeaving
			} else {
				changed = slices.Delete(changed, at, at+1)
			}
			w.lists = append(w.lists, changed)
		}
	case 8:
		n := w.nodes[w.random.IntN(len(w.nodes))]
		n.table.SetDraining(n.toLocal(w.now))
	}
	return nextVM
}

// partition cuts the links between two random sides, or between random pairs of VMs, and
// stops list updates to some VMs.
func (w *world) partition() {
	sides := map[entity.VM]int{}
	for _, n := range w.nodes {
		sides[n.name] = w.random.IntN(2)
		n.listFrozen = w.random.IntN(2) == 0
	}
	if w.random.IntN(2) == 0 {
		w.cutPairs(func(a, b entity.VM) bool { return sides[a] != sides[b] })
		return
	}
	w.cutPairs(func(a, b entity.VM) bool { return w.random.IntN(2) == 0 })
}

// runWithFaults runs a world with random faults and returns the first violation.
func runWithFaults(w *world, length time.Duration) string {
	nextVM := len(w.nodes)
	for w.now < 0 || time.Duration(w.now) < length {
		w.step()
		if w.random.IntN(w.faultPeriod) == 0 {
			nextVM = w.injectFault(nextVM)
		}
		if w.random.IntN(10) == 0 {
			n := w.nodes[w.random.IntN(len(w.nodes))]
			if n.isRunning(w.now) {
				w.acknowledge(n, w.databases[w.random.IntN(2)])
			}
		}
		w.acknowledgeAsOwners()
		if violation := w.findViolation(); violation != "" {
			return violation
		}
	}
	return ""
}

// runHealed ends all faults and runs only the VMs of the last list. It returns a
// violation if they disagree on an owner, or if an owner may not acknowledge.
func (w *world) runHealed() string {
	w.cutLinks, w.lossRate, w.maxDelay = nil, 0, 20*time.Millisecond
	last := w.lists[len(w.lists)-1]
	for _, n := range w.nodes {
		listed := slices.ContainsFunc(last, func(r ListedVM) bool { return r.VM == n.name })
		if listed && !n.isUp {
			w.startNode(n.name)
		}
		n.isUp, n.listFrozen, n.listVersion = listed, false, len(w.lists)-1
		n.table.Update(n.toLocal(w.now), last)
	}
	for end := w.now.Add(2*w.config.RetireAfter + w.config.SettleTime); w.now < end; {
		w.step()
		for _, d := range w.databases {
			if owner, _ := w.cellOwner(last, d); owner != "" {
				w.acknowledge(w.findNode(owner), d)
			}
		}
	}
	for _, d := range w.databases {
		owner, violation := w.cellOwner(last, d)
		if violation == "" && owner != "" && !w.acknowledge(w.findNode(owner), d) {
			violation = fmt.Sprintf("owner %s may not acknowledge writes of %s", owner, d)
		}
		if violation != "" {
			return violation
		}
	}
	return ""
}

// cellOwner returns the owner according to the VMs of the database's cell, and a
// violation if they disagree. Other VMs are not asked, since they don't know which of
// the cell's VMs are draining until they use them.
func (w *world) cellOwner(list []ListedVM, d entity.Database) (owner entity.VM, violation string) {
	for _, r := range list {
		n := w.findNode(r.VM)
		if !n.table.homeCell.contains(databaseHash(d)) {
			continue
		}
		vm, ok := n.table.Owner(n.toLocal(w.now), d, nil)
		if ok && owner == "" {
			owner = vm
		}
		if vm != owner {
			violation = fmt.Sprintf("%s considers %q the owner of %s, others %q", r.VM, vm, d, owner)
		}
	}
	return owner, violation
}

// acknowledgeAsOwners lets a random node look up the owner of each database, and that
// owner, if reachable, acknowledge a write, as the proxy does.
func (w *world) acknowledgeAsOwners() {
	for _, d := range w.databases[2:] {
		n := w.nodes[w.random.IntN(len(w.nodes))]
		if !n.isRunning(w.now) {
			continue
		}
		owner, ok := n.table.Owner(n.toLocal(w.now), d, nil)
		if !ok {
			continue
		}
		if m := w.findNode(owner); m != nil && m.isRunning(w.now) && !w.isCut(m.name, n.name) {
			w.acknowledge(m, d)
		}
	}
}

// Guards against a VM that is exclusive for a database while another one acknowledges
// writes of it, and against a cell that does not recover after the faults have ended.
func TestMainProperty(t *testing.T) {
	exclusive, acked := 0, 0
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(4, 10).Draw(t, "vms"), 4)
		w.faultPeriod = rapid.IntRange(60, 600).Draw(t, "fault_period")
		if violation := runWithFaults(w, 12*time.Second); violation != "" {
			t.Fatal(violation)
		}
		if violation := w.runHealed(); violation != "" {
			t.Fatal("after the faults: " + violation)
		}
		exclusive += w.exclusiveCount
		acked += len(w.acknowledgements)
	})
	t.Logf("%d exclusive, %d acknowledged", exclusive, acked)
	if exclusive == 0 || acked == 0 {
		t.Fatalf("property is vacuous: %d exclusive, %d acknowledged", exclusive, acked)
	}
}
