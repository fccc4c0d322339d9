package membership

import (
	"cmp"
	"slices"
	"sort"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minCellDivisor sets the minimum size of the halves of a split cell, as a
	// fraction of Config.Candidates. A smaller cell would not survive a few
	// failures.
	minCellDivisor = 4
	// minCellZones is the number of availability zones that each half of a split
	// cell must span, so that a candidate owner is left when two zones fail.
	minCellZones = 3
	// maxListed bounds the number of VMs taken from a list; those with the
	// highest hashes are ignored. It is three times the design size.
	maxListed = 15_000
	// maxCellBits bounds the depth of the trie.
	maxCellBits = 32
)

// vmInfo is one VM of the current list and what this VM knows of it.
type vmInfo struct {
	name      entity.VM
	zone      string
	hash      uint64
	settledAt entity.Time
	leaving   bool
	draining  bool
	silent    bool
}

// cell is a node of the binary trie over VM hashes; those in Table.cells are leaves. Its
// VMs are Table.vms[from:to]. It has the databases whose hash agrees with prefix in the
// first prefixBits bits; the other bits of prefix are 0.
type cell struct {
	prefix     uint64
	prefixBits uint8
	from, to   int
}

// contains reports whether a VM or database with the hash belongs to the cell.
func (c cell) contains(hash uint64) bool {
	return c.prefixBits == 0 || (hash^c.prefix)>>(64-c.prefixBits) == 0
}

// half returns the half of the cell, 0 or 1, that a hash belongs to.
func (c cell) half(hash uint64) uint64 {
	return hash >> (63 - c.prefixBits) & 1
}

func vmHash(vm entity.VM) uint64 { return xxhash.Sum64String(string(vm)) }

func databaseHash(database entity.Database) uint64 { return xxhash.Sum64String(string(database)) }

// mix is the finalizer of splitmix64. It makes the rendezvous scores of a cell's VMs
// independent of the leading hash bits that these VMs share.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore returns the weight of a VM for a database in rendezvous hashing, from
// the hashes of both.
func rendezvousScore(vm, database uint64) uint64 { return mix(vm + mix(database)) }

// precedes reports whether VM a comes before b in the database's hash order: by
// descending rendezvous score, then by name. The integers are hashes.
func precedes(a, b uint64, aName, bName entity.VM, database uint64) bool {
	aScore, bScore := rendezvousScore(a, database), rendezvousScore(b, database)
	if aScore != bScore {
		return aScore > bScore
	}
	return aName < bName
}

// listKey is the sort key of a row of the list.
type listKey struct {
	hash uint64
	row  int
}

// sortedByHash returns the keys of the rows, sorted by hash and name. Sorting small
// keys instead of rows halves the cost of an update of 5,000 rows.
func sortedByHash(list []ListedVM) []listKey {
	keys := make([]listKey, len(list))
	for i := range list {
		keys[i] = listKey{hash: vmHash(list[i].VM), row: i}
	}
	slices.SortFunc(keys, func(a, b listKey) int {
		if c := cmp.Compare(a.hash, b.hash); c != 0 {
			return c
		}
		return cmp.Compare(list[a.row].VM, list[b.row].VM)
	})
	return keys
}

// cellBuilder splits VMs, which are sorted by hash, into cells. It splits nodes of more
// than maxSize VMs if both halves are viable.
type cellBuilder struct {
	vms      []vmInfo
	maxSize  int
	minZones int
	cells    []cell
}

// buildCells splits VMs, which are sorted by hash, into cells, which are sorted by
// prefix.
func buildCells(vms []vmInfo, maxSize int) []cell {
	b := cellBuilder{vms: vms, maxSize: maxSize}
	b.minZones = min(minCellZones, countZones(vms, minCellZones))
	b.split(cell{to: len(vms)})
	return b.cells
}

// split appends c, or the cells into which it is split, to b.cells.
func (b *cellBuilder) split(c cell) {
	n := c.to - c.from
	if n <= b.maxSize || c.prefixBits >= maxCellBits {
		b.cells = append(b.cells, c)
		return
	}
	middle := c.prefix | 1<<(63-c.prefixBits)
	at := c.from + sort.Search(n, func(i int) bool { return b.vms[c.from+i].hash >= middle })
	low := cell{prefix: c.prefix, prefixBits: c.prefixBits + 1, from: c.from, to: at}
	high := cell{prefix: middle, prefixBits: c.prefixBits + 1, from: at, to: c.to}
	if !b.isViable(low, n) || !b.isViable(high, n) {
		b.cells = append(b.cells, c)
		return
	}
	b.split(low)
	b.split(high)
}

// isViable reports whether a half may become a cell, given the number of VMs in its
// parent. The zone rule is waived for parents of more than twice maxSize VMs, so that
// unevenly filled zones can't grow a cell without bound.
func (b *cellBuilder) isViable(half cell, parentSize int) bool {
	if half.to-half.from < max(1, b.maxSize/minCellDivisor) {
		return false
	}
	return parentSize > 2*b.maxSize || countZones(b.vms[half.from:half.to], b.minZones) >= b.minZones
}

// countZones returns the number of distinct zones, or limit if there are more. The
// limit is at most minCellZones.
func countZones(vms []vmInfo, limit int) int {
	var seen [minCellZones]string
	n := 0
	for i := range vms {
		if n >= limit {
			break
		}
		if !slices.Contains(seen[:n], vms[i].zone) {
			seen[n] = vms[i].zone
			n++
		}
	}
	return n
}

// cellOf returns the cell that a hash belongs to. The cells cover all hashes.
func (t *Table) cellOf(hash uint64) cell {
	i := sort.Search(len(t.cells), func(i int) bool { return t.cells[i].prefix > hash })
	return t.cells[i-1]
}
