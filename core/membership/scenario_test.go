package membership

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// run advances the world, lets the given VMs act as owners of all databases and returns
// the first violation.
func (w *world) run(length time.Duration, actors ...entity.VM) string {
	for end := w.now.Add(length); w.now < end; {
		w.step()
		for _, name := range actors {
			for _, d := range w.databases {
				w.acknowledge(w.findNode(name), d)
			}
		}
		if violation := w.findViolation(); violation != "" {
			return violation
		}
	}
	return ""
}

func (w *world) countAcked(vm entity.VM) int {
	n := 0
	for _, a := range w.acknowledgements {
		if a.vm == vm {
			n++
		}
	}
	return n
}

// startUnknown starts a VM that only its own list names, and stops list updates to the
// others.
func (w *world) startUnknown(vm ListedVM) {
	w.lists = append(w.lists, append(slices.Clone(w.lists[len(w.lists)-1]), vm))
	for _, n := range w.nodes {
		n.listFrozen = true
	}
	w.startNode(vm.VM)
	n := w.findNode(vm.VM)
	n.listVersion = len(w.lists) - 1
	n.table.Update(n.toLocal(w.now), w.lists[n.listVersion])
}

// Guards against a new VM that acknowledges writes while it is partitioned from VMs whose
// lists don't name it.
func TestNewVMCutOffDoesNotAcknowledge(t *testing.T) {
	w := newWorld(1, 4, 8)
	w.startUnknown(vmRow(4))
	w.cutPairs(func(a, b entity.VM) bool { return a == "vm04" || b == "vm04" })
	assert.Equal(t, w.run(4*time.Second, "vm04"), "")
	assert.Equal(t, w.countAcked("vm04"), 0)
	assert.Assert(t, w.exclusiveCount > 0)
}

// Guards against an Exclusive that ignores, in its result or its since time, the writes
// of a partitioned VM that was removed from the list but still runs.
func TestRemovedVMCutOffStopsInTime(t *testing.T) {
	w := newWorld(2, 5, 8)
	assert.Equal(t, w.run(2*time.Second), "")
	w.lists = append(w.lists, slices.Clone(w.lists[0][1:]))
	w.findNode("vm00").listFrozen = true
	w.cutPairs(func(a, b entity.VM) bool { return a == "vm00" || b == "vm00" })
	assert.Equal(t, w.run(time.Second, "vm00"), "")
	assert.Assert(t, w.countAcked("vm00") > 0)
	w.exclusiveCount = 0
	assert.Equal(t, w.run(5*time.Second, "vm00"), "")
	assert.Assert(t, w.exclusiveCount > 0)
}

// Guards against a VM that is exclusive while another one, which only some of its peers
// have heard of, acts as owner.
func TestVMKnownToPeersOnlyIsCounted(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 4, 8)
		assert.Equal(t, w.run(2*time.Second), "")
		assert.Assert(t, w.exclusiveCount > 0)
		w.startUnknown(vmRow(4))
		w.cutPairs(func(a, b entity.VM) bool {
			return (a == "vm04" && b < "vm02") || (b == "vm04" && a < "vm02")
		})
		assert.Equal(t, w.run(3*time.Second, "vm04"), "")
		assert.Assert(t, w.countAcked("vm04") > 0)
	}
}

// Guards against owners in two cells for one database: some VMs have a list that splits
// a cell or merges two, and the others, which have the old list, are partitioned from
// them. In some runs up to three VMs are leaving, which still count for a cell's size.
func TestSplitOrMergeSeenBySomeIsNotExclusive(t *testing.T) {
	splits := 0
	for seed := range uint64(48) {
		w := newWorld(seed, 8, 8)
		small := slices.Clone(w.lists[0])
		large := append(slices.Clone(small), vmRow(8+int(seed)))
		isOldSide := func(vm entity.VM) bool { return vmHash(vm)>>63 == seed>>3&1 }
		leaving := seed & 3
		for i := range small {
			if leaving > 0 && isOldSide(small[i].VM) {
				small[i].State, large[i].State = VMLeaving, VMLeaving
				leaving--
			}
		}
		w.lists = [][]ListedVM{small, large}
		if seed&4 != 0 {
			w.lists = [][]ListedVM{large, small}
		}
		w.startNode(vmRow(8 + int(seed)).VM)
		for _, n := range w.nodes {
			n.listVersion = 0
			n.table.Update(n.toLocal(w.now), w.lists[0])
			n.listFrozen = true
		}
		assert.Equal(t, w.run(1500*time.Millisecond), "")
		var actors []entity.VM
		for _, n := range w.nodes {
			n.listFrozen = isOldSide(n.name)
			if !n.listFrozen {
				actors = append(actors, n.name)
			}
			splits += n.table.CellCount() - 1
		}
		w.cutPairs(func(a, b entity.VM) bool { return isOldSide(a) != isOldSide(b) })
		assert.Equal(t, w.run(4*time.Second, actors...), "")
	}
	assert.Assert(t, splits > 0)
}

// Guards against a drained VM that keeps its successors from being exclusive as long as
// the list names it.
func TestDrainedVMGrantsAllDatabases(t *testing.T) {
	w := newWorld(7, 3, 8)
	assert.Equal(t, w.run(2*time.Second, "vm00"), "")
	w.findNode("vm00").table.SetDraining(w.findNode("vm00").toLocal(w.now))
	assert.Equal(t, w.run(2*time.Second), "")
	for _, d := range w.databases {
		found := 0
		for _, n := range w.nodes {
			if _, ok := n.table.Exclusive(n.toLocal(w.now), d); ok && n.name != "vm00" {
				found++
			}
		}
		assert.Equal(t, found, 1)
	}
}

// Guards against new VMs that replace all others and form a majority among themselves,
// while the replaced VMs still use a list that names none of the new ones.
func TestLeavingVMsCountTowardsQuorum(t *testing.T) {
	w := newWorld(6, 4, 8)
	list := slices.Clone(w.lists[0])
	for i := range list {
		list[i].State = VMLeaving
		w.findNode(list[i].VM).listFrozen = true
	}
	for i := 4; i < 8; i++ {
		list = append(list, vmRow(i))
	}
	w.lists = append(w.lists, list)
	for i := 4; i < 8; i++ {
		w.startNode(vmRow(i).VM)
	}
	w.cutPairs(func(a, b entity.VM) bool { return (a < "vm04") != (b < "vm04") })
	assert.Equal(t, w.run(4*time.Second, "vm04", "vm05", "vm06", "vm07"), "")
	assert.Assert(t, w.exclusiveCount > 0)
}

// Guards against a grant to a VM that was unknown when the granter last acted as owner:
// the holder counts the grant from its heartbeat, which may have been sent before that.
func TestNewPeerGetsNoGrantForEarlierWrites(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 1, 8)
		assert.Equal(t, w.run(2*time.Second, "vm00"), "")
		w.startUnknown(vmRow(1))
		granter := w.findNode("vm00").table
		for granter.findPeer("vm01") == nil {
			assert.Equal(t, w.run(stepInterval, "vm00"), "")
		}
		w.exclusiveCount = 0
		assert.Equal(t, w.run(time.Second), "")
		assert.Assert(t, w.exclusiveCount > 0)
	}
}

// Guards against a VM that still relies on its grants after a pause.
func TestGrantsExpireDuringPause(t *testing.T) {
	w := newWorld(3, 3, 8)
	assert.Equal(t, w.run(3*time.Second), "")
	n := w.findNode("vm01")
	exclusive := func(now entity.Time) int {
		count := 0
		for _, d := range w.databases {
			if _, ok := n.table.Exclusive(now, d); ok {
				count++
			}
		}
		return count
	}
	assert.Assert(t, exclusive(n.toLocal(w.now)) > 0)
	assert.Equal(t, exclusive(n.toLocal(w.now).Add(w.config.GrantTTL)), 0)
}

// Guards against owner lookups that ignore silent, recovered, draining or skipped VMs.
func TestOwnerFollowsPeerState(t *testing.T) {
	w := newWorld(4, 3, 1)
	w.run(time.Second)
	n := w.findNode("vm00")
	owner := func(skip ...entity.VM) entity.VM {
		vm, ok := n.table.Owner(n.toLocal(w.now), w.databases[0], skip)
		assert.Assert(t, ok)
		return vm
	}
	first := owner()
	second := owner(first)
	assert.Assert(t, first != second)
	observer := second
	n = w.findNode(observer)
	n.table.ReportSilent(n.toLocal(w.now), first)
	assert.Equal(t, owner(), second)
	assert.Assert(t, !n.table.Alive(n.toLocal(w.now), first))
	w.run(300 * time.Millisecond)
	assert.Equal(t, owner(), first)
	w.findNode(first).isUp = false
	w.run(w.config.SuspectAfter + 200*time.Millisecond)
	assert.Equal(t, owner(), second)
	w.startNode(first)
	w.run(300 * time.Millisecond)
	assert.Equal(t, owner(), second, "a restarted VM is not settled")
	w.run(w.config.SettleTime)
	assert.Equal(t, owner(), first)
	w.findNode(first).table.SetDraining(w.findNode(first).toLocal(w.now))
	w.run(300 * time.Millisecond)
	assert.Equal(t, owner(), second)
}

// Guards against a silent VM outside the cell that is still skipped as owner after it
// has recovered.
func TestSilentVMOutsideTheCellRecovers(t *testing.T) {
	w := newWorld(5, 24, 1)
	w.run(time.Second)
	n := w.nodes[0]
	outside := slices.IndexFunc(w.nodes, func(m *node) bool { return n.table.findPeer(m.name) == nil && m != n })
	name := w.nodes[outside].name
	w.nodes[outside].pausedUntil = w.now.Add(time.Second)
	n.table.ReportSilent(n.toLocal(w.now), name)
	w.run(500 * time.Millisecond)
	assert.Assert(t, !n.table.Alive(n.toLocal(w.now), name))
	w.run(2 * time.Second)
	assert.Assert(t, n.table.Alive(n.toLocal(w.now), name))
}
