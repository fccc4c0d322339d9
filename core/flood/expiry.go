package flood

import "skylarkhinge.dev/skylarkhinge/core/entity"

// expiryHeap is a binary min-heap of queued nodes, ordered by latestStart.
type expiryHeap struct {
	entries []expiryEntry
}

type expiryEntry struct {
	latestStart entity.Time
	id          nodeID
}

func (h *expiryHeap) push(s *slab, id nodeID) {
	h.entries = append(h.entries, expiryEntry{latestStart: s.at(id).latestStart, id: id})
	h.siftUp(s, len(h.entries)-1)
}

func (h *expiryHeap) remove(s *slab, id nodeID) {
	i := int(s.at(id).heapIndex)
	last := len(h.entries) - 1
	moved := h.entries[last]
	h.entries = h.entries[:last]
	if i == last {
		return
	}
	h.set(s, i, moved)
	h.siftUp(s, i)
	h.siftDown(s, int(s.at(moved.id).heapIndex))
}

// set stores an entry at index i and updates the heapIndex of its node.
func (h *expiryHeap) set(s *slab, i int, e expiryEntry) {
	h.entries[i] = e
	s.at(e.id).heapIndex = int32(i)
}

func (h *expiryHeap) siftUp(s *slab, i int) {
	e := h.entries[i]
	for i > 0 {
		parent := (i - 1) / 2
		if h.entries[parent].latestStart <= e.latestStart {
			break
		}
		h.set(s, i, h.entries[parent])
		i = parent
	}
	h.set(s, i, e)
}

func (h *expiryHeap) siftDown(s *slab, i int) {
	e := h.entries[i]
	n := len(h.entries)
	for {
		child := 2*i + 1
		if child >= n {
			break
		}
		if child+1 < n && h.entries[child+1].latestStart < h.entries[child].latestStart {
			child++
		}
		if e.latestStart <= h.entries[child].latestStart {
			break
		}
		h.set(s, i, h.entries[child])
		i = child
	}
	h.set(s, i, e)
}
