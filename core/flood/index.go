package flood

import "skylarkhinge.dev/skylarkhinge/core/entity"

// minIndexSize is the initial number of table entries, a power of 2.
const minIndexSize = 16

// handleIndex maps handles to nodes. It is a hash table with open addressing and
// backward-shift deletion: the built-in map leaves tombstones and occasionally
// allocates when keys are inserted and deleted at a steady rate.
type handleIndex struct {
	slots []indexSlot
	used  int
}

// indexSlot is a table entry. idPlusOne is the node's id plus one, 0 if the slot
// is empty.
type indexSlot struct {
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

func (x *handleIndex) homeSlot(h entity.Handle) int {
	return int(hash64(uint64(h)) & uint64(len(x.slots)-1))
}

func (x *handleIndex) get(h entity.Handle) nodeID {
	if x.used == 0 {
		return noNode
	}
	mask := len(x.slots) - 1
	for i := x.homeSlot(h); x.slots[i].idPlusOne != 0; i = (i + 1) & mask {
		if x.slots[i].handle == h {
			return x.slots[i].idPlusOne - 1
		}
	}
	return noNode
}

// put adds a handle that is not in the index.
func (x *handleIndex) put(h entity.Handle, id nodeID) {
	if 2*(x.used+1) > len(x.slots) {
		x.grow()
	}
	x.insert(indexSlot{handle: h, idPlusOne: id + 1})
	x.used++
}

func (x *handleIndex) insert(slot indexSlot) {
	mask := len(x.slots) - 1
	i := x.homeSlot(slot.handle)
	for x.slots[i].idPlusOne != 0 {
		i = (i + 1) & mask
	}
	x.slots[i] = slot
}

func (x *handleIndex) grow() {
	old := x.slots
	x.slots = make([]indexSlot, max(minIndexSize, 2*len(old)))
	for _, slot := range old {
		if slot.idPlusOne != 0 {
			x.insert(slot)
		}
	}
}

// remove deletes a handle that is in the index.
func (x *handleIndex) remove(h entity.Handle) {
	mask := len(x.slots) - 1
	hole := x.homeSlot(h)
	for x.slots[hole].handle != h || x.slots[hole].idPlusOne == 0 {
		hole = (hole + 1) & mask
	}
	for i := (hole + 1) & mask; x.slots[i].idPlusOne != 0; i = (i + 1) & mask {
		home := x.homeSlot(x.slots[i].handle)
		if (i-home)&mask >= (i-hole)&mask {
			x.slots[hole] = x.slots[i]
			hole = i
		}
	}
	x.slots[hole] = indexSlot{}
	x.used--
}
