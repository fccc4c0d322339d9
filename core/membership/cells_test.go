package membership

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// vmList returns VMs numbered from from to to-1, spread evenly over the zones.
func vmList(from, to, zones int) []ListedVM {
	var list []ListedVM
	for i := from; i < to; i++ {
		list = append(list, ListedVM{VM: entity.VM(fmt.Sprintf("proxy-%06d", i)), AvailabilityZone: fmt.Sprintf("zone-%02d", i%zones)})
	}
	return list
}

// newTable returns the table of the first VM in the list.
func newTable(list []ListedVM) *Table {
	t := New(DefaultConfig(list[0].VM, 1), 1)
	t.Update(1, list)
	return t
}

// Guards against cells that are too large for the heartbeat traffic, too small to
// survive failures, or in too few availability zones.
func TestCellsAreBalanced(t *testing.T) {
	for _, size := range []int{9, 16, 17, 40, 100, 400, 1000, 5000} {
		for _, zones := range []int{3, 20} {
			table := newTable(vmList(0, size, zones))
			for _, c := range table.cells {
				n := c.to - c.from
				spanned := countZones(table.vms[c.from:c.to], minCellZones)
				assert.Assert(t, n <= 32 && n >= min(size, 4), "%d VMs: cell of %d", size, n)
				assert.Assert(t, spanned == 3, "%d VMs: cell in %d zones", size, spanned)
			}
			if size <= 16 {
				assert.Equal(t, len(table.cells), 1)
			}
		}
	}
}

// Guards against a cell that grows without limit when nearly all VMs are in one zone.
func TestUnbalancedZonesStillSplit(t *testing.T) {
	list := append(vmList(0, 1, 1), vmList(1, 2000, 1)...)
	list[0].AvailabilityZone = "other"
	for _, c := range newTable(list).cells {
		assert.Assert(t, c.to-c.from <= 2*16)
	}
}

// Guards against VM replacements that change the owner of many databases other than those
// of the replaced VMs. A VM owns 3 databases on average; half of a cell's 30 may move
// when it splits.
func TestReplacementMovesFewDatabases(t *testing.T) {
	const vms, replacements, databases = 5000, 200, 15000
	before := newTable(vmList(0, vms, 20))
	after := newTable(vmList(replacements, vms+replacements, 20))
	moved := 0
	for i := range databases {
		d := entity.Database(fmt.Sprintf("database-%d", i))
		a, _ := before.Owner(1, d, nil)
		b, _ := after.Owner(1, d, nil)
		if a != b {
			moved++
		}
	}
	t.Logf("%d replacements move %d of %d databases", replacements, moved, databases)
	assert.Assert(t, moved < 4*replacements*databases/vms)
}

func BenchmarkOwnerCached(b *testing.B) {
	t := newTable(vmList(0, 5000, 20))
	b.ReportAllocs()
	for b.Loop() {
		t.Owner(1, "database-1", nil)
	}
}

func BenchmarkOwnerUncached(b *testing.B) {
	t := newTable(vmList(0, 5000, 20))
	b.ReportAllocs()
	for b.Loop() {
		t.version++
		t.Owner(1, "database-1", nil)
	}
}

func BenchmarkExclusiveAndMayAcknowledge(b *testing.B) {
	t := newTable(vmList(0, 9, 3))
	b.ReportAllocs()
	for b.Loop() {
		t.Exclusive(1, "database-1")
		t.MayAcknowledge(1, "database-1")
	}
}
