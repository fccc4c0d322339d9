package membership

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// run advances the world, lets the given VMs act as owner of everything and
// returns the first violation.
func (w *world) run(length time.Duration, actors ...entity.VM) string {
	for end := w.now.Add(length); w.now < end; {
		w.step()
		for _, name := range actors {
			for _, d := range w.databases {
				w.acknowledge(w.find(name), d)
			}
		}
		if fault := w.check(); fault != "" {
			return fault
		}
	}
	return ""
}

func (w *world) countAcked(vm entity.VM) int {
	n := 0
	for _, a := range w.acked {
		if a.vm == vm {
			n++
		}
	}
	return n
}

// join starts a VM that only its own list names.
func (w *world) join(vm ListedVM) {
	w.lists = append(w.lists, append(slices.Clone(w.lists[len(w.lists)-1]), vm))
	for _, n := range w.nodes {
		n.offline = true
	}
	w.start(vm.VM)
	n := w.find(vm.VM)
	n.list = len(w.lists) - 1
	n.table.Update(n.local(w.now), w.lists[n.list])
}

// Guards against a new VM that acknowledges writes while it is cut off from VMs
// whose lists don't name it.
func TestNewVMCutOffDoesNotAcknowledge(t *testing.T) {
	w := newWorld(1, 4, 8)
	w.join(row(4))
	w.cutPairs(func(a, b entity.VM) bool { return a == "vm04" || b == "vm04" })
	assert.Equal(t, w.run(4*time.Second, "vm04"), "")
	assert.Equal(t, w.countAcked("vm04"), 0)
	assert.Assert(t, w.exclusive > 0)
}

// Guards against exclusivity, or a since instant, that leaves out the writes of a
// VM that was dropped from the list but still runs.
func TestRemovedVMCutOffStopsInTime(t *testing.T) {
	w := newWorld(2, 5, 8)
	assert.Equal(t, w.run(2*time.Second), "")
	w.lists = append(w.lists, slices.Clone(w.lists[0][1:]))
	w.find("vm00").offline = true
	w.cutPairs(func(a, b entity.VM) bool { return a == "vm00" || b == "vm00" })
	assert.Equal(t, w.run(time.Second, "vm00"), "")
	assert.Assert(t, w.countAcked("vm00") > 0)
	w.exclusive = 0
	assert.Equal(t, w.run(5*time.Second, "vm00"), "")
	assert.Assert(t, w.exclusive > 0)
}

// Guards against exclusivity while a VM that only some peers have heard of acts.
func TestVMKnownToPeersOnlyIsCounted(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 4, 8)
		assert.Equal(t, w.run(2*time.Second), "")
		assert.Assert(t, w.exclusive > 0)
		w.join(row(4))
		w.cutPairs(func(a, b entity.VM) bool {
			return (a == "vm04" && b < "vm02") || (b == "vm04" && a < "vm02")
		})
		assert.Equal(t, w.run(3*time.Second, "vm04"), "")
		assert.Assert(t, w.countAcked("vm04") > 0)
	}
}

// Guards against two cells for one database: some VMs have a list that splits a
// cell or merges two, the others don't and are cut off from them. Some VMs are
// leaving, since those count for the size of a cell but not for its majority.
func TestSplitOrMergeSeenBySomeIsNotExclusive(t *testing.T) {
	splits := 0
	for seed := range uint64(48) {
		w := newWorld(seed, 8, 8)
		small := slices.Clone(w.lists[0])
		large := append(slices.Clone(small), row(8+int(seed)))
		old := func(vm entity.VM) bool { return vmHash(vm)>>63 == seed>>3&1 }
		leaving := seed & 3
		for i := range small {
			if leaving > 0 && old(small[i].VM) {
				small[i].State, large[i].State = VMLeaving, VMLeaving
				leaving--
			}
		}
		w.lists = [][]ListedVM{small, large}
		if seed&4 != 0 {
			w.lists = [][]ListedVM{large, small}
		}
		w.start(row(8 + int(seed)).VM)
		for _, n := range w.nodes {
			n.list = 0
			n.table.Update(n.local(w.now), w.lists[0])
			n.offline = true
		}
		assert.Equal(t, w.run(1500*time.Millisecond), "")
		var actors []entity.VM
		for _, n := range w.nodes {
			n.offline = old(n.name)
			if !n.offline {
				actors = append(actors, n.name)
			}
			splits += n.table.CellCount() - 1
		}
		w.cutPairs(func(a, b entity.VM) bool { return old(a) != old(b) })
		assert.Equal(t, w.run(4*time.Second, actors...), "")
	}
	assert.Assert(t, splits > 0)
}

// Guards against a draining VM that keeps its successors from being exclusive as
// long as the list names it.
func TestDrainedVMGrantsAllDatabases(t *testing.T) {
	w := newWorld(7, 3, 8)
	assert.Equal(t, w.run(2*time.Second, "vm00"), "")
	w.find("vm00").table.SetDraining(w.find("vm00").local(w.now))
	assert.Equal(t, w.run(2*time.Second), "")
	for _, d := range w.databases {
		found := 0
		for _, n := range w.nodes {
			if _, ok := n.table.Exclusive(n.local(w.now), d); ok && n.name != "vm00" {
				found++
			}
		}
		assert.Equal(t, found, 1)
	}
}

// Guards against VMs that replace all others and form a majority among themselves,
// while those still use a list that names none of the new ones.
func TestReplacedVMsCountForTheSeat(t *testing.T) {
	w := newWorld(6, 4, 8)
	list := slices.Clone(w.lists[0])
	for i := range list {
		list[i].State = VMLeaving
		w.find(list[i].VM).offline = true
	}
	for i := 4; i < 8; i++ {
		list = append(list, row(i))
	}
	w.lists = append(w.lists, list)
	for i := 4; i < 8; i++ {
		w.start(row(i).VM)
	}
	w.cutPairs(func(a, b entity.VM) bool { return (a < "vm04") != (b < "vm04") })
	assert.Equal(t, w.run(4*time.Second, "vm04", "vm05", "vm06", "vm07"), "")
	assert.Assert(t, w.exclusive > 0)
}

// Guards against a grant to a VM that was unknown when the granter acted: the
// holder counts from its heartbeat, which may have been sent before that.
func TestNewPeerGetsNoGrantForEarlierWrites(t *testing.T) {
	for seed := range uint64(10) {
		w := newWorld(seed, 1, 8)
		assert.Equal(t, w.run(2*time.Second, "vm00"), "")
		w.join(row(1))
		old := w.find("vm00").table
		for old.findPeer("vm01") == nil {
			assert.Equal(t, w.run(worldStep, "vm00"), "")
		}
		w.exclusive = 0
		assert.Equal(t, w.run(time.Second), "")
		assert.Assert(t, w.exclusive > 0)
	}
}

// Guards against a VM that wakes from a pause and still trusts its grants.
func TestGrantsExpireDuringPause(t *testing.T) {
	w := newWorld(3, 3, 8)
	assert.Equal(t, w.run(3*time.Second), "")
	n := w.find("vm01")
	exclusive := func(now entity.Time) int {
		count := 0
		for _, d := range w.databases {
			if _, ok := n.table.Exclusive(now, d); ok {
				count++
			}
		}
		return count
	}
	assert.Assert(t, exclusive(n.local(w.now)) > 0)
	assert.Equal(t, exclusive(n.local(w.now).Add(w.config.GrantTTL)), 0)
}

// Guards against owner lookups that ignore silence, recovery, draining or a skip.
func TestOwnerFollowsTheView(t *testing.T) {
	w := newWorld(4, 3, 1)
	w.run(time.Second)
	n := w.find("vm00")
	owner := func(skip ...entity.VM) entity.VM {
		vm, ok := n.table.Owner(n.local(w.now), w.databases[0], skip)
		assert.Assert(t, ok)
		return vm
	}
	first := owner()
	second := owner(first)
	assert.Assert(t, first != second)
	observer := second
	n = w.find(observer)
	n.table.ReportSilent(n.local(w.now), first)
	assert.Equal(t, owner(), second)
	assert.Assert(t, !n.table.Alive(n.local(w.now), first))
	w.run(300 * time.Millisecond)
	assert.Equal(t, owner(), first)
	w.find(first).up = false
	w.run(w.config.SuspectAfter + 200*time.Millisecond)
	assert.Equal(t, owner(), second)
	w.start(first)
	w.run(300 * time.Millisecond)
	assert.Equal(t, owner(), second, "a restarted VM is not settled")
	w.run(w.config.SettleTime)
	assert.Equal(t, owner(), first)
	w.find(first).table.SetDraining(w.find(first).local(w.now))
	w.run(300 * time.Millisecond)
	assert.Equal(t, owner(), second)
}

// Guards against a silent VM outside the cell that is skipped forever.
func TestSilentVMOutsideTheCellComesBack(t *testing.T) {
	w := newWorld(5, 24, 1)
	w.run(time.Second)
	n := w.nodes[0]
	outside := slices.IndexFunc(w.nodes, func(m *node) bool { return n.table.findPeer(m.name) == nil && m != n })
	name := w.nodes[outside].name
	w.nodes[outside].paused = w.now.Add(time.Second)
	n.table.ReportSilent(n.local(w.now), name)
	w.run(500 * time.Millisecond)
	assert.Assert(t, !n.table.Alive(n.local(w.now), name))
	w.run(2 * time.Second)
	assert.Assert(t, n.table.Alive(n.local(w.now), name))
}
