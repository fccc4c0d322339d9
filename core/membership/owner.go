package membership

import (
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// maxCachedOwners bounds the owner cache. It is above the design size of 15,000
// databases.
const maxCachedOwners = 1 << 15

// cachedOwner is the result of an owner lookup. It is valid while version is the
// table's version.
type cachedOwner struct {
	version uint64
	// until is when the next VM of the cell settles, which may change the owner.
	until entity.Time
	owner entity.VM
	found bool
}

// Owner returns the first VM in the database's hash order that is settled and, as far as
// this VM knows, neither silent, leaving nor draining. VMs in skip are left out. If no
// settled VM qualifies, unsettled ones are considered.
func (t *Table) Owner(now entity.Time, database entity.Database, skip []entity.VM) (entity.VM, bool) {
	if len(skip) > 0 {
		found := t.findOwner(now, databaseHash(database), skip)
		return found.owner, found.found
	}
	if c, ok := t.owners[database]; ok && c.version == t.version && now < c.until {
		return c.owner, c.found
	}
	c := t.findOwner(now, databaseHash(database), nil)
	if len(t.owners) >= maxCachedOwners {
		clear(t.owners)
	}
	t.owners[database] = c
	return c.owner, c.found
}

// findOwner computes the owner of the database with the given hash.
func (t *Table) findOwner(now entity.Time, database uint64, skip []entity.VM) cachedOwner {
	c := t.cellOf(database)
	var best, unsettled *vmInfo
	until := entity.Never
	for i := c.from; i < c.to; i++ {
		vm := &t.vms[i]
		if vm.leaving || vm.draining || vm.silent || slices.Contains(skip, vm.name) {
			continue
		}
		if vm.settledAt > now {
			until = min(until, vm.settledAt)
			unsettled = preferred(unsettled, vm, database)
			continue
		}
		best = preferred(best, vm, database)
	}
	if best == nil {
		best = unsettled
	}
	out := cachedOwner{version: t.version, until: until}
	if best != nil {
		out.owner, out.found = best.name, true
	}
	return out
}

// preferred returns the VM that comes first in the database's hash order. a may be nil.
func preferred(a, b *vmInfo, database uint64) *vmInfo {
	if a == nil || precedes(b.hash, a.hash, b.name, a.name, database) {
		return b
	}
	return a
}
