package flood

import "skylarkhinge.dev/skylarkhinge/core/entity"

// minIndexSize is the initial table size, a power of 2.
const minIndexSize = 16

// handleIndex maps handles to nodes. It is a hash table with open addressing and
// backward-shift deletion: the built-in map leaves tombstones and occasionally
// allocates when keys are inserted and deleted at a steady rate.
type handleIndex struct {
	entries []indexEntry
	used    int
}

// indexEntry is a table entry. idPlusOne is the node's id plus one, 0 if the entry
// is empty.
type indexEntry struct {
	handle    entity.Handle
	idPlusOne nodeID
}

// hash64 is the 64-bit finalizer of MurmurHash3.
func hash64(v uint64) uint64 {
	v ^= v >> 33
	v *= 0xff51afd7ed558ccd
	v ^= v >> 33
	v *= 0xc4ceb9fe1a85ec53
	return v ^ v>>33
}

func (x *handleIndex) homeIndex(h entity.Handle) int {
	return int(hash64(uint64(h)) & uint64(len(x.entries)-1))
}

func (x *handleIndex) get(h entity.Handle) nodeID {
	if x.used == 0 {
		return noNode
	}
	mask := len(x.entries) - 1
	for i := x.homeIndex(h); x.entries[i].idPlusOne != 0; i = (i + 1) & mask {
		if x.entries[i].handle == h {
			return x.entries[i].idPlusOne - 1
		}
	}
	return noNode
}

// put adds a handle that is not in the index.
func (x *handleIndex) put(h entity.Handle, id nodeID) {
	if 2*(x.used+1) > len(x.entries) {
		x.grow()
	}
	x.insert(indexEntry{handle: h, idPlusOne: id + 1})
	x.used++
}

func (x *handleIndex) insert(entry indexEntry) {
	mask := len(x.entries) - 1
	i := x.homeIndex(entry.handle)
	for x.entries[i].idPlusOne != 0 {
		i = (i + 1) & mask
	}
	x.entries[i] = entry
}

func (x *handleIndex) grow() {
	old := x.entries
	x.entries = make([]indexEntry, max(minIndexSize, 2*len(old)))
	for _, entry := range old {
		if entry.idPlusOne != 0 {
			x.insert(entry)
		}
	}
}

// remove deletes a handle that is in the index.
func (x *handleIndex) remove(h entity.Handle) {
	mask := len(x.entries) - 1
	hole := x.homeIndex(h)
	for x.entries[hole].handle != h || x.entries[hole].idPlusOne == 0 {
		hole = (hole + 1) & mask
	}
	for i := (hole + 1) & mask; x.entries[i].idPlusOne != 0; i = (i + 1) & mask {
		home := x.homeIndex(x.entries[i].handle)
		if (i-home)&mask >= (i-hole)&mask {
			x.entries[hole] = x.entries[i]
			hole = i
		}
	}
	x.entries[hole] = indexEntry{}
	x.used--
}
