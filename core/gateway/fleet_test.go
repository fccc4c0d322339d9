package gateway

import (
	"cmp"
	"encoding/binary"
	"fmt"
	"math/bits"
	"slices"
	"strings"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// chooseBySorting is the reference for Choose: it sorts all proxies by weight and takes
// the first ones of each availability zone.
func chooseBySorting(proxies []Proxy, database entity.Database, limits Limits) []Proxy {
	ordered := slices.Clone(proxies)
	weight := func(p Proxy) uint64 { return xxhash.Sum64String(string(p.VM) + " " + string(database)) }
	slices.SortFunc(ordered, func(a, b Proxy) int {
		if c := cmp.Compare(weight(b), weight(a)); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
	limit := limits.maxGateways()
	if len(ordered) <= limit {
		return ordered
	}
	zoneSizes := map[string]int{}
	for _, p := range ordered {
		zoneSizes[p.AvailabilityZone]++
	}
	var chosen []Proxy
	chosenInZone := map[string]int{}
	for _, p := range ordered {
		zone := p.AvailabilityZone
		if chosenInZone[zone] < max(1, limit*zoneSizes[zone]/len(ordered)) {
			chosenInZone[zone]++
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// Guards against proxies of different versions that choose different gateways: the
// result must be that of sorting all proxies, in the same order.
func TestChooseEqualsSorting(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		zones := rapid.IntRange(1, 12).Draw(t, "zones")
		// Lengths of names cover both sides of the size of the key on the stack.
		name := rapid.OneOf(rapid.StringN(0, 40, 80), rapid.Map(rapid.IntRange(200, 300), func(n int) string {
			return strings.Repeat("n", n)
		}))
		proxies := rapid.SliceOfNDistinct(rapid.Custom(func(t *rapid.T) Proxy {
			zone := rapid.IntRange(0, zones-1).Draw(t, "zone")
			return Proxy{
				VM:               entity.VM(name.Draw(t, "vm")),
				AvailabilityZone: fmt.Sprintf("zone-%d", zone),
				Region:           fmt.Sprintf("region-%d", zone/2),
				Address:          rapid.StringN(0, 4, 8).Draw(t, "address"),
			}
		}), 0, 40, func(p Proxy) entity.VM { return p.VM }).Draw(t, "proxies")
		if rapid.Bool().Draw(t, "large") {
			proxies = append(proxies, fleet(rapid.IntRange(0, 400).Draw(t, "more"), zones)...)
		}
		if len(proxies) > 0 && rapid.Bool().Draw(t, "listed twice") {
			proxies = append(proxies, proxies[rapid.IntRange(0, len(proxies)-1).Draw(t, "twice")])
		}
		before := slices.Clone(proxies)
		f := NewFleet(proxies)
		// A fleet serves many databases, so one choice must not affect the next one.
		for range rapid.IntRange(1, 4).Draw(t, "databases") {
			database := entity.Database(name.Draw(t, "database"))
			limits := Limits{
				Connections: rapid.IntRange(0, 1500).Draw(t, "connections"),
				Slots:       rapid.IntRange(0, 60).Draw(t, "slots"),
			}
			expected := chooseBySorting(proxies, database, limits)
			if chosen := f.Choose(database, limits); !slices.Equal(chosen, expected) {
				t.Fatalf("fleet: chosen %v, expected %v", chosen, expected)
			}
			if chosen := Choose(proxies, database, limits); !slices.Equal(chosen, expected) {
				t.Fatalf("function: chosen %v, expected %v", chosen, expected)
			}
		}
		if !slices.Equal(proxies, before) {
			t.Fatalf("the list was modified")
		}
	})
}

// sameWeight returns count names of 16 bytes that have the same weight for each database
// name of less than 16 bytes. XXH64 mixes words of 8 bytes into its state one by one, so
// the second word can cancel the difference that the first one made.
func sameWeight(count int) []entity.VM {
	const (
		prime1 uint64 = 0x9E3779B185EBCA87
		prime2 uint64 = 0xC2B2AE3D27D4EB4F
		prime4 uint64 = 0x85EBCA77C2B2AE63
		prime5 uint64 = 0x27D4EB2F165667C5
	)
	inverse := func(n uint64) uint64 {
		x := n
		for range 6 {
			x *= 2 - n*x
		}
		return x
	}
	round := func(word uint64) uint64 { return bits.RotateLeft64(word*prime2, 31) * prime1 }
	unround := func(v uint64) uint64 { return bits.RotateLeft64(v*inverse(prime1), -31) * inverse(prime2) }
	const size = uint64(16 + len(" orders"))
	var names []entity.VM
	for first := range uint64(count) {
		state := bits.RotateLeft64((prime5+size)^round(first), 27)*prime1 + prime4
		name := binary.LittleEndian.AppendUint64(nil, first)
		names = append(names, entity.VM(binary.LittleEndian.AppendUint64(name, unround(state))))
	}
	return names
}

// Guards against a choice among proxies of equal weight that depends on the order of the
// list.
func TestEqualWeightsAreOrderedByVM(t *testing.T) {
	var proxies []Proxy
	for i, vm := range sameWeight(24) {
		assert.Equal(t, Weight(vm, "orders"), Weight(sameWeight(1)[0], "orders"))
		proxies = append(proxies, Proxy{VM: vm, AvailabilityZone: fmt.Sprintf("zone-%d", i%2)})
	}
	rapid.Check(t, func(t *rapid.T) {
		shuffled := rapid.Permutation(proxies).Draw(t, "order")
		limits := Limits{Connections: MinConnections * rapid.IntRange(1, 24).Draw(t, "gateways")}
		assert.DeepEqual(t, Choose(shuffled, "orders", limits), chooseBySorting(proxies, "orders", limits))
	})
}

// Guards against a change of the weights, which would move sessions of all databases
// when a deployment is updated.
func TestWeightIsTheHashOfBothNames(t *testing.T) {
	for _, size := range []int{0, 1, 14, 31, 32, 100, 300} {
		vm := strings.Repeat("v", size)
		assert.Equal(t, Weight(entity.VM(vm), "orders"), xxhash.Sum64String(vm+" orders"))
	}
}

// Guards against allocations that grow with the fleet.
func TestChooseAllocatesOnlyItsResult(t *testing.T) {
	for _, count := range []int{300, 5000} {
		f := NewFleet(fleet(count, 6))
		few := testing.AllocsPerRun(100, func() { f.Choose("orders", Limits{Connections: 121, Slots: 5}) })
		assert.Equal(t, few, 1.0)
		// More gateways than maxStackCandidates need one more allocation.
		many := testing.AllocsPerRun(100, func() { f.Choose("orders", Limits{Connections: 600}) })
		assert.Equal(t, many, 2.0)
	}
}

func BenchmarkFleetChoose(b *testing.B) {
	for _, count := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprintf("proxies=%d", count), func(b *testing.B) {
			f := NewFleet(fleet(count, 6))
			b.ReportAllocs()
			for b.Loop() {
				f.Choose("orders", Limits{Connections: 121, Slots: 5})
			}
		})
	}
}

func BenchmarkNewFleet(b *testing.B) {
	for _, count := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprintf("proxies=%d", count), func(b *testing.B) {
			proxies := fleet(count, 6)
			b.ReportAllocs()
			for b.Loop() {
				NewFleet(proxies)
			}
		})
	}
}
