// Package gateway chooses the proxies that hold connections to a database group.
// An upstream accepts too few connections to divide among a large fleet: a proxy
// with a single connection can neither pin a transaction nor keep its slots busy.
// In that case only some proxies, the gateways, connect to the group, and the others
// hand the sessions of their callers over to the nearest gateway.
//
// The choice is a deterministic function of the listed proxies, so proxies with the
// same list agree. It is by rendezvous hashing, so few sessions move when a proxy
// joins or leaves.
package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Proxy is a proxy of the fleet as listed in the store.
type Proxy struct {
	VM               entity.VM
	AvailabilityZone string
	Region           string
	// Address is the address to which other proxies hand sessions over.
	Address string
	// StatusAddress is the address that serves HTTP requests of other proxies.
	StatusAddress string
	// LinkMbps is the bandwidth of the VM's network link in Mbit/s, 0 if it is unknown.
	LinkMbps float64
}

// MinConnections is the minimum number of connections per gateway to an upstream:
// one runs a statement, one has a statement in transit, and one is pinned by a
// transaction.
const MinConnections = 3

// maxGatewaysPerSlot bounds the gateways by the slots of an upstream, however many
// connections it accepts. Gateways schedule independently: with 70 gateways for 5
// slots, status calls and new connections saturated an overloaded upstream, so that
// it did not recover when the load fell.
const maxGatewaysPerSlot = 3

// Limits are the limits of one upstream of a database.
type Limits struct {
	// Connections is the number of connections that all proxies together may use.
	Connections int
	// Slots is the number of statements that the upstream runs at once, 0 if unknown.
	Slots int
}

// maxGateways returns the maximum number of proxies that may connect to the upstream.
func (l Limits) maxGateways() int {
	limit := max(1, l.Connections/MinConnections)
	if l.Slots > 0 {
		limit = min(limit, l.Slots*maxGatewaysPerSlot)
	}
	return limit
}

// weightSeparator separates the VM from the database in the hashed key.
const weightSeparator = " "

// Weight returns the rendezvous hash of a proxy for a database. Proxies with the
// highest weights come first.
func Weight(vm entity.VM, database entity.Database) uint64 {
	var digest xxhash.Digest
	digest.Reset()
	digest.WriteString(string(vm))
	digest.WriteString(weightSeparator)
	digest.WriteString(string(database))
	return digest.Sum64()
}

// Choose returns the gateways of a database among the listed proxies as Fleet.Choose
// does. A caller that chooses the gateways of many databases should use one Fleet.
func Choose(proxies []Proxy, database entity.Database, limits Limits) []Proxy {
	return NewFleet(proxies).Choose(database, limits)
}

// orderByWeight returns the proxies with the highest weight first. It computes each weight
// once, however often the sort compares a proxy.
func orderByWeight(proxies []Proxy, weight func(entity.VM) uint64) []Proxy {
	type weighted struct {
		weight uint64
		index  int
	}
	order := make([]weighted, len(proxies))
	for i := range proxies {
		order[i] = weighted{weight(proxies[i].VM), i}
	}
	slices.SortFunc(order, func(a, b weighted) int {
		if c := cmp.Compare(b.weight, a.weight); c != 0 {
			return c
		}
		return cmp.Compare(proxies[a.index].VM, proxies[b.index].VM)
	})
	ordered := make([]Proxy, len(order))
	for i, o := range order {
		ordered[i] = proxies[o.index]
	}
	return ordered
}

// OrderByDistance returns the gateways in order of preference for a proxy: first
// those of its availability zone, then those of its region, then all others. The
// key spreads sessions over gateways at equal distance.
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
	tieBreak := func(p Proxy) uint64 {
		return xxhash.Sum64String(string(p.VM)) ^ key*0x9e3779b97f4a7c15
	}
	slices.SortFunc(ordered, func(a, b Proxy) int {
		if c := cmp.Compare(distance(a), distance(b)); c != 0 {
			return c
		}
		return cmp.Compare(tieBreak(a), tieBreak(b))
	})
	return ordered
}

// Contains reports whether the proxy of a VM is in the list.
func Contains(proxies []Proxy, vm entity.VM) bool {
	return slices.ContainsFunc(proxies, func(p Proxy) bool { return p.VM == vm })
}
