package docsync

import (
	"math/bits"

	"github.com/cespare/xxhash/v2"
)

const (
	treeFanout = 16
	treeLevels = 3
	// firstLeaf is the ID of the first leaf and endLeaf one more than that of the
	// last. With 15,000 documents, each of the 4,096 leaves holds about four.
	firstLeaf = 1 << (4 * treeLevels)
	endLeaf   = 2 * firstLeaf
)

// entry is a document with the hash of its service's name.
type entry struct {
	Document
	hash uint64
}

// tree is a hash tree over the documents held. The digest of a node is the sum,
// modulo 2^64, of the hashes of all (service, revision) pairs below it, so it can be
// updated in place.
type tree struct {
	leaves       [][]entry
	leafDigests  []uint64
	innerDigests [(firstLeaf-1)/(treeFanout-1) + 1]uint64
	count        int
	bytes        int
}

func newTree() *tree {
	return &tree{leaves: make([][]entry, firstLeaf), leafDigests: make([]uint64, firstLeaf)}
}

func serviceHash(service string) uint64 { return xxhash.Sum64String(service) }

// leafOf returns the ID of the leaf that holds services with this hash.
func leafOf(hash uint64) uint32 { return firstLeaf + uint32(hash>>(64-4*treeLevels)) }

// mix64 is the finalizer of SplitMix64.
func mix64(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// revisionDigest is the summand of one document in the digests of its nodes.
func revisionDigest(hash, revision uint64) uint64 { return mix64(hash + mix64(revision)) }

func isLeaf(id uint32) bool { return id >= firstLeaf }

// validID reports whether the tree has a node with this ID.
func validID(id uint32) bool {
	return id > 0 && id < endLeaf && (bits.Len32(id)-1)%4 == 0
}

// innerIndex returns the index of an inner node in innerDigests, which is in level
// order.
func innerIndex(id uint32) int {
	level := (bits.Len32(id) - 1) / 4
	before := (1<<(4*level) - 1) / (treeFanout - 1)
	return before + int(id) - 1<<(4*level)
}

func (t *tree) digest(id uint32) uint64 {
	if isLeaf(id) {
		return t.leafDigests[id-firstLeaf]
	}
	return t.innerDigests[innerIndex(id)]
}

// addToDigests adds delta to the digests of a leaf and of all its ancestors.
func (t *tree) addToDigests(leaf uint32, delta uint64) {
	t.leafDigests[leaf-firstLeaf] += delta
	for id := leaf / treeFanout; id > 0; id /= treeFanout {
		t.innerDigests[innerIndex(id)] += delta
	}
}

func (t *tree) leaf(id uint32) []entry { return t.leaves[id-firstLeaf] }

func (t *tree) find(service string) *entry {
	hash := serviceHash(service)
	entries := t.leaf(leafOf(hash))
	for i := range entries {
		if entries[i].hash == hash && entries[i].Service == service {
			return &entries[i]
		}
	}
	return nil
}

func (t *tree) revision(service string) uint64 {
	if e := t.find(service); e != nil {
		return e.Revision
	}
	return 0
}

// put stores a document that is newer than the one held, if any.
func (t *tree) put(document Document) {
	hash := serviceHash(document.Service)
	leaf := leafOf(hash)
	t.bytes += len(document.Value)
	if e := t.find(document.Service); e != nil {
		t.bytes -= len(e.Value)
		t.addToDigests(leaf, revisionDigest(hash, document.Revision)-revisionDigest(hash, e.Revision))
		e.Document = document
		return
	}
	t.leaves[leaf-firstLeaf] = append(t.leaf(leaf), entry{Document: document, hash: hash})
	t.count++
	t.addToDigests(leaf, revisionDigest(hash, document.Revision))
}

// children returns the IDs and digests of the children of an inner node.
func (t *tree) children(id uint32) []Bucket {
	out := make([]Bucket, treeFanout)
	for i := range out {
		child := id*treeFanout + uint32(i)
		out[i] = Bucket{ID: child, Digest: t.digest(child)}
	}
	return out
}
