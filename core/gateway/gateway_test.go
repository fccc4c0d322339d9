package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func fleet(count, zones int) []Proxy {
	var proxies []Proxy
	for i := range count {
		proxies = append(proxies, Proxy{
			VM:               entity.VM(fmt.Sprintf("vm-%d", i)),
			AvailabilityZone: fmt.Sprintf("zone-%d", i%zones),
			Region:           fmt.Sprintf("region-%d", i%zones/2),
		})
	}
	return proxies
}

// Guards against handing sessions over in a small fleet, where every proxy has
// enough connections.
func TestSmallFleetsDoNotForward(t *testing.T) {
	assert.Equal(t, len(Choose(fleet(9, 3), "orders", Limits{Connections: 30})), 9)
}

// Guards against more gateways than the slots of an upstream allow.
func TestGatewaysAreBoundedBySlots(t *testing.T) {
	assert.Equal(t, len(Choose(fleet(86, 6), "orders", Limits{Connections: 207, Slots: 5})), 12)
	assert.Equal(t, len(Choose(fleet(8, 3), "orders", Limits{Connections: 34, Slots: 3})), 8)
}

// Guards against dividing 49 connections among 72 proxies, and against an
// availability zone without a gateway.
func TestLargeFleetsChooseGatewaysInEachZone(t *testing.T) {
	gateways := Choose(fleet(72, 6), "orders", Limits{Connections: 49})
	assert.Equal(t, len(gateways), 12)
	zones := map[string]int{}
	for _, g := range gateways {
		zones[g.AvailabilityZone]++
	}
	for zone, n := range zones {
		assert.Equal(t, n, 2, zone)
	}
}

// Guards against a choice that depends on the order of the list, has too many
// gateways or replaces many of them when one proxy leaves.
func TestChooseIsStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := fleet(rapid.IntRange(1, 120).Draw(t, "proxies"), rapid.IntRange(1, 8).Draw(t, "zones"))
		connections := rapid.IntRange(1, 400).Draw(t, "connections")
		chosen := Choose(proxies, "orders", Limits{Connections: connections})
		if len(chosen) == 0 || len(chosen) > max(8, connections/MinConnections) {
			t.Fatalf("%d gateways of %d proxies for %d connections", len(chosen), len(proxies), connections)
		}
		shuffled := rapid.Permutation(proxies).Draw(t, "order")
		again := Choose(shuffled, "orders", Limits{Connections: connections})
		for i := range chosen {
			if chosen[i] != again[i] {
				t.Fatalf("the choice depends on the order of the list")
			}
		}
		gone := rapid.IntRange(0, len(proxies)-1).Draw(t, "gone")
		rest := append(append([]Proxy(nil), proxies[:gone]...), proxies[gone+1:]...)
		added := 0
		for _, g := range Choose(rest, "orders", Limits{Connections: connections}) {
			if !Contains(chosen, g.VM) {
				added++
			}
		}
		// Rounding may also change the number of gateways in each other zone by one.
		if added > 9 {
			t.Fatalf("%d gateways are new after one proxy left", added)
		}
	})
}

// Guards against handing a session to another region while its zone has a gateway.
func TestOrderByDistance(t *testing.T) {
	proxies := fleet(24, 6)
	for key := range uint64(20) {
		first := OrderByDistance(proxies, proxies[4], key)[0]
		assert.Equal(t, first.AvailabilityZone, "zone-4")
	}
	far := OrderByDistance(proxies[:1], proxies[4], 1)
	assert.Equal(t, far[0].VM, entity.VM("vm-0"))
}
