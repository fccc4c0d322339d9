package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minProxiesToShare is the minimum number of proxies in an availability zone for
	// sharing watches. Below it, sharing saves little and adds a hop for each change.
	minProxiesToShare = 6
	// watchersPerZone is more than one so that changes still arrive while a watcher
	// is replaced.
	watchersPerZone = 2
)

// Watchers returns the proxies of an availability zone that watch the store on
// behalf of the others: those with the fastest links, ordered by bandwidth and then by
// weight. It returns nil if each proxy watches for itself. The store admits a fixed
// number of calls per second, so the number of watches must not grow with the fleet.
//
// A watcher reads each large configuration in full and sends it to its followers. On a
// small VM that delays the statements of its callers for a second.
func Watchers(proxies []Proxy, zone string) []Proxy {
	var inZone []Proxy
	for _, p := range proxies {
		if p.AvailabilityZone == zone && p.StatusAddress != "" {
			inZone = append(inZone, p)
		}
	}
	if len(inZone) < minProxiesToShare {
		return nil
	}
	ordered := orderByWeight(inZone, watchWeight)
	slices.SortStableFunc(ordered, func(a, b Proxy) int { return cmp.Compare(b.LinkMbps, a.LinkMbps) })
	return ordered[:watchersPerZone]
}

// watchWeight returns the rendezvous hash of a proxy as a watcher.
func watchWeight(vm entity.VM) uint64 { return xxhash.Sum64String("watch " + string(vm)) }

// WatcherOf returns the watcher from which a proxy gets changes. The hash spreads
// the proxies over the watchers. It reports false for a proxy that watches the store
// itself.
func WatcherOf(watchers []Proxy, vm entity.VM) (Proxy, bool) {
	if len(watchers) == 0 || Contains(watchers, vm) {
		return Proxy{}, false
	}
	return watchers[watchWeight(vm)%uint64(len(watchers))], true
}
