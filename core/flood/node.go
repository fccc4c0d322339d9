package flood

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// nodeID is the index of a node in the slab.
type nodeID int32

const noNode = nodeID(-1)

// nodeState tells where a node is: in the free list, a queue, the late list or a slot.
type nodeState uint8

const (
	nodeFree nodeState = iota
	nodeQueued
	// nodeLate items can no longer meet their deadline and wait for Expire.
	nodeLate
	nodeRunning
)

// node is the scheduler's record of an item, from Offer until it ends, expires or
// is removed.
type node struct {
	item Item
	// estimatedCost is Item.Cost corrected by the measured ratio.
	estimatedCost time.Duration
	// latestStart is the last instant at which the item can start and still meet
	// its deadline.
	latestStart  entity.Time
	prev, next   nodeID
	heapIndex    int32
	rank         int32
	callerBucket uint8
	state        nodeState
	// chargedToShare is set for running items whose slot time is charged to the
	// rank's kept share.
	chargedToShare bool
}

// slab stores nodes in one slice with a free list, so that steady operation does
// not allocate.
type slab struct {
	nodes    []node
	freeHead nodeID
}

func (s *slab) at(id nodeID) *node { return &s.nodes[id] }

func (s *slab) allocate() nodeID {
	if s.freeHead == noNode {
		s.nodes = append(s.nodes, node{})
		return nodeID(len(s.nodes) - 1)
	}
	id := s.freeHead
	s.freeHead = s.nodes[id].next
	return id
}

func (s *slab) release(id nodeID) {
	s.nodes[id] = node{next: s.freeHead}
	s.freeHead = id
}
