package gateway

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minSharing is the number of proxies of an availability zone from which they
	// share watches. Below it, sharing saves little and adds a step on the way of
	// each change.
	minSharing = 6
	// watchersPerZone lets the others go on while one watcher is replaced.
	watchersPerZone = 2
)

// Watchers returns the proxies of an availability zone that watch the store for the
// others, ordered by weight; nil if each proxy watches for itself. The store counts
// each call, and its rates do not grow with the fleet.
func Watchers(proxies []Proxy, zone string) []Proxy {
	var local []Proxy
	for _, p := range proxies {
		if p.AvailabilityZone == zone && p.StatusAddress != "" {
			local = append(local, p)
		}
	}
	if len(local) < minSharing {
		return nil
	}
	slices.SortFunc(local, func(a, b Proxy) int {
		if c := cmp.Compare(watchWeight(b.VM), watchWeight(a.VM)); c != 0 {
			return c
		}
		return cmp.Compare(a.VM, b.VM)
	})
	return local[:watchersPerZone]
}

func watchWeight(vm entity.VM) uint64 { return xxhash.Sum64String("watch " + string(vm)) }

// WatcherOf returns the watcher that a proxy asks, so that the proxies spread over
// the watchers. It reports false for a proxy that watches the store itself.
func WatcherOf(watchers []Proxy, vm entity.VM) (Proxy, bool) {
	if len(watchers) == 0 || Contains(watchers, vm) {
		return Proxy{}, false
	}
	return watchers[watchWeight(vm)%uint64(len(watchers))], true
}
