package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// maxStackKey and maxStackCandidates are the sizes up to which Choose needs no
	// allocation for the hashed bytes and for the candidates.
	maxStackKey        = 256
	maxStackCandidates = 64
)

// Fleet is a list of proxies prepared for the choice of the gateways of many databases.
// It is safe for concurrent use.
type Fleet struct {
	proxies []Proxy
	// members are the proxies grouped by availability zone.
	members []member
	// zoneSizes are the numbers of members of the zones, in the order of members.
	zoneSizes []int
	// prefixes holds the bytes of the weights' keys before the name of the database,
	// in the order of members.
	prefixes []byte
	// longest is the length of the longest prefix.
	longest int
}

// member is a proxy of a fleet.
type member struct {
	// proxy is the index in the list of proxies.
	proxy int
	// prefixSize is the length of the prefix.
	prefixSize int
}

// candidate is a proxy with its weight for a database.
type candidate struct {
	weight uint64
	// proxy is the index in the list of proxies.
	proxy int
}

// NewFleet returns the fleet of the listed proxies. The list must not be modified
// afterwards.
func NewFleet(proxies []Proxy) *Fleet {
	f := &Fleet{proxies: proxies, members: make([]member, len(proxies))}
	zoneOf := make([]int, len(proxies))
	zones := map[string]int{}
	prefixBytes := 0
	for i := range proxies {
		zone, ok := zones[proxies[i].AvailabilityZone]
		if !ok {
			zone = len(zones)
			zones[proxies[i].AvailabilityZone] = zone
			f.zoneSizes = append(f.zoneSizes, 0)
		}
		zoneOf[i] = zone
		f.zoneSizes[zone]++
		prefixBytes += len(proxies[i].VM) + len(weightSeparator)
	}
	next := make([]int, len(f.zoneSizes))
	for zone := 1; zone < len(next); zone++ {
		next[zone] = next[zone-1] + f.zoneSizes[zone-1]
	}
	for i, zone := range zoneOf {
		size := len(proxies[i].VM) + len(weightSeparator)
		f.members[next[zone]] = member{proxy: i, prefixSize: size}
		f.longest = max(f.longest, size)
		next[zone]++
	}
	f.prefixes = make([]byte, 0, prefixBytes)
	for _, m := range f.members {
		f.prefixes = append(f.prefixes, proxies[m.proxy].VM...)
		f.prefixes = append(f.prefixes, weightSeparator...)
	}
	return f
}

// Choose returns the gateways of a database, ordered by weight. The number of gateways
// in an availability zone is proportional to its number of proxies and at least one, so
// that sessions stay in their zone. The total may therefore exceed the maximum if there
// are many zones.
//
// Only the chosen proxies are sorted: a list change of a large fleet calls Choose for
// each database, and sorting all proxies took most of its time.
func (f *Fleet) Choose(database entity.Database, limits Limits) []Proxy {
	limit := limits.maxGateways()
	total := 0
	for _, size := range f.zoneSizes {
		total += f.gatewaysInZone(size, limit)
	}
	var candidateSpace [maxStackCandidates]candidate
	chosen := candidateSpace[:0]
	if total > len(candidateSpace) {
		chosen = make([]candidate, 0, total)
	}

	// The name of the database stays in place; each prefix is copied to end before it.
	var keySpace [maxStackKey]byte
	key := keySpace[:]
	if f.longest+len(database) > len(key) {
		key = make([]byte, f.longest+len(database))
	}
	key = key[:f.longest+len(database)]
	copy(key[f.longest:], database)

	members, prefixes := f.members, f.prefixes
	for _, size := range f.zoneSizes {
		keep := f.gatewaysInZone(size, limit)
		first := len(chosen)
		for i, m := range members[:size] {
			start := f.longest - m.prefixSize
			copy(key[start:], prefixes[:m.prefixSize])
			prefixes = prefixes[m.prefixSize:]
			c := candidate{weight: xxhash.Sum64(key[start:]), proxy: m.proxy}
			if i < keep {
				chosen = append(chosen, c)
				if i == keep-1 && keep < size {
					f.heapify(chosen[first:])
				}
			} else if f.compare(c, chosen[first]) < 0 {
				chosen[first] = c
				f.siftDown(chosen[first:], 0)
			}
		}
		members = members[size:]
	}

	slices.SortFunc(chosen, f.compare)
	gateways := make([]Proxy, len(chosen))
	for i, c := range chosen {
		gateways[i] = f.proxies[c.proxy]
	}
	return gateways
}

// gatewaysInZone returns the number of gateways in a zone with size proxies if at most
// limit proxies of the fleet may be gateways.
func (f *Fleet) gatewaysInZone(size, limit int) int {
	if len(f.members) <= limit {
		return size
	}
	return max(1, limit*size/len(f.members))
}

// compare orders the highest weight first, and equal weights by VM so that the order
// does not depend on the order of the list.
func (f *Fleet) compare(a, b candidate) int {
	if c := cmp.Compare(b.weight, a.weight); c != 0 {
		return c
	}
	return cmp.Compare(f.proxies[a.proxy].VM, f.proxies[b.proxy].VM)
}

// heapify makes a heap of the candidates with the last in order at the root.
func (f *Fleet) heapify(heap []candidate) {
	for i := len(heap)/2 - 1; i >= 0; i-- {
		f.siftDown(heap, i)
	}
}

// siftDown moves the candidate at index i down to its place in the heap.
func (f *Fleet) siftDown(heap []candidate, i int) {
	for {
		child := 2*i + 1
		if child >= len(heap) {
			return
		}
		if child+1 < len(heap) && f.compare(heap[child+1], heap[child]) > 0 {
			child++
		}
		if f.compare(heap[child], heap[i]) <= 0 {
			return
		}
		heap[i], heap[child] = heap[child], heap[i]
		i = child
	}
}
