// Package gateway chooses the proxies that hold connections to a database group.
// An upstream has few connections, so a large fleet cannot share them: a proxy
// with one connection can neither pin a transaction nor keep its slots busy. Only
// some proxies, the gateways, then reach the group; the others hand their callers'
// sessions to the nearest one.
//
// The choice is a pure function of the listed proxies, so that proxies with the
// same list agree. It moves few sessions when a proxy comes or goes.
package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Proxy is one listed proxy.
type Proxy struct {
	VM               entity.VM
	AvailabilityZone string
	Region           string
	// Address is where other proxies hand sessions over.
	Address string
	// StatusAddress is where it answers HTTP requests of other proxies.
	StatusAddress string
}

// MinConnections is the least number of connections to an upstream with which a gateway
// works well: one runs a statement, one is on its way, and one is pinned by a
// transaction.
const MinConnections = 3

// maxPerSlot bounds the gateways by the slots of an upstream, whatever its
// connections. Gateways schedule without knowing of each other: 70 of them before
// 5 slots filled an overloaded upstream with status calls and new connections, so
// that it did not recover when the load fell.
const maxPerSlot = 3

// Limits are those of one upstream of a database.
type Limits struct {
	Connections int
	// Slots is the number of statements that run at once, 0 if it is unknown.
	Slots int
}

// gateways returns how many proxies may reach the upstream.
func (l Limits) gateways() int {
	most := max(1, l.Connections/MinConnections)
	if l.Slots > 0 {
		most = min(most, l.Slots*maxPerSlot)
	}
	return most
}

// Weight orders the proxies of a database; the highest come first.
func Weight(vm entity.VM, database entity.Database) uint64 {
	return xxhash.Sum64String(string(vm) + " " + string(database))
}

// Choose returns the gateways of a database among the listed proxies, ordered by
// weight. Each availability zone has a part of them by its number of proxies and
// at least one, so that sessions stay in their zone.
func Choose(proxies []Proxy, database entity.Database, limits Limits) []Proxy {
	ordered := slices.Clone(proxies)
	slices.SortFunc(ordered, func(a, b Proxy) int {
		if c := cmp.Compare(Weight(b.VM, database), Weight(a.VM, database)); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
	most := limits.gateways()
	if len(ordered) <= most {
		return ordered
	}
	sizes := map[string]int{}
	for _, p := range ordered {
		sizes[p.AvailabilityZone]++
	}
	var chosen []Proxy
	taken := map[string]int{}
	for _, p := range ordered {
		zone := p.AvailabilityZone
		if taken[zone] < max(1, most*sizes[zone]/len(ordered)) {
			taken[zone]++
			chosen = append(chosen, p)
		}
	}
	return chosen
}

// OrderByDistance orders the gateways for a proxy: those of its availability zone come
// first, then those of its region. The key spreads sessions over equal ones.
func OrderByDistance(gateways []Proxy, from Proxy, key uint64) []Proxy {
	ordered := slices.Clone(gateways)
	distance := func(p Proxy) int {
		switch {
		case p.AvailabilityZone == from.AvailabilityZone:
			return 0
		case p.Region == from.Region:
			return 1
		}
		return 2
	}
	mix := func(p Proxy) uint64 {
		return xxhash.Sum64String(string(p.VM)) ^ key*0x9e3779b97f4a7c15
	}
	slices.SortFunc(ordered, func(a, b Proxy) int {
		if c := cmp.Compare(distance(a), distance(b)); c != 0 {
			return c
		}
		return cmp.Compare(mix(a), mix(b))
	})
	return ordered
}

// Contains reports whether a VM is among the proxies.
func Contains(proxies []Proxy, vm entity.VM) bool {
	return slices.ContainsFunc(proxies, func(p Proxy) bool { return p.VM == vm })
}
