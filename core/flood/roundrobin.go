package flood

import (
	"math/bits"
	"time"
)

// numBuckets is the number of buckets of a roundRobinQueue. The set of non-empty
// ones fits a 64-bit mask.
const numBuckets = 64

// bucketList is a doubly linked list of nodes in arrival order.
type bucketList struct {
	head, tail nodeID
	length     int32
}

// roundRobinQueue is a fair queue over callers. Callers are hashed to buckets, and
// the non-empty buckets are served round-robin, one item at a time.
type roundRobinQueue struct {
	buckets [numBuckets]bucketList
	// nonEmptyMask has a bit for each non-empty bucket.
	nonEmptyMask uint64
	// cursor is the bucket at which the search for the next item starts.
	cursor uint8
	length int
	// work is the sum of the estimated costs of the queued items.
	work time.Duration
}

// bucketOf returns the bucket of a caller.
func bucketOf(caller, seed uint64) uint8 {
	return uint8(hash64(caller^seed) % numBuckets)
}

// bucketOfShared returns the bucket of a caller with possibly many items: the one that holds
// its queued items, else the first empty one from its home bucket on, else the home bucket.
// A bucket belongs to the caller of its first item.
func (q *roundRobinQueue) bucketOfShared(s *slab, caller uint64, home uint8) uint8 {
	for mask := q.nonEmptyMask; mask != 0; mask &= mask - 1 {
		b := bits.TrailingZeros64(mask)
		if s.at(q.buckets[b].head).item.Caller == caller {
			return uint8(b)
		}
	}
	empty := bits.RotateLeft64(^q.nonEmptyMask, -int(home))
	if empty == 0 {
		return home
	}
	return (home + uint8(bits.TrailingZeros64(empty))) % numBuckets
}

func (q *roundRobinQueue) push(s *slab, id nodeID) {
	n := s.at(id)
	b := &q.buckets[n.callerBucket]
	n.next = noNode
	if b.length == 0 {
		n.prev = noNode
		b.head = id
		q.nonEmptyMask |= 1 << n.callerBucket
	} else {
		n.prev = b.tail
		s.at(b.tail).next = id
	}
	b.tail = id
	b.length++
	q.length++
	q.work += n.estimatedCost
}

func (q *roundRobinQueue) remove(s *slab, id nodeID) {
	n := s.at(id)
	b := &q.buckets[n.callerBucket]
	if n.prev == noNode {
		b.head = n.next
	} else {
		s.at(n.prev).next = n.next
	}
	if n.next == noNode {
		b.tail = n.prev
	} else {
		s.at(n.next).prev = n.prev
	}
	b.length--
	if b.length == 0 {
		q.nonEmptyMask &^= 1 << n.callerBucket
	}
	q.length--
	q.work -= n.estimatedCost
}

// next returns the head of the next non-empty bucket and advances the cursor. It
// does not remove the node. The queue must not be empty.
func (q *roundRobinQueue) next() nodeID {
	rotated := bits.RotateLeft64(q.nonEmptyMask, -int(q.cursor))
	b := (int(q.cursor) + bits.TrailingZeros64(rotated)) % numBuckets
	q.cursor = uint8((b + 1) % numBuckets)
	return q.buckets[b].head
}

// workAhead estimates the work that is served before a new item of the bucket.
func (q *roundRobinQueue) workAhead(bucket uint8) time.Duration {
	if q.length == 0 {
		return 0
	}
	rounds := int(q.buckets[bucket].length) + 1
	items := min(rounds*bits.OnesCount64(q.nonEmptyMask), q.length)
	return q.work / time.Duration(q.length) * time.Duration(items)
}
