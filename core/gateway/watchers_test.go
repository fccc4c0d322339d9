package gateway

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// fleetWithStatus returns a fleet whose proxies have a status address.
func fleetWithStatus(count, zones int) []Proxy {
	proxies := fleet(count, zones)
	for i := range proxies {
		proxies[i].StatusAddress = "10.0.0.1:1"
	}
	return proxies
}

// Guards against watch sharing in small zones, where it has no benefit.
func TestSmallZonesDoNotShareWatches(t *testing.T) {
	assert.Equal(t, len(Watchers(fleetWithStatus(9, 3), "zone-0")), 0)
	_, follows := WatcherOf(nil, "vm-0")
	assert.Assert(t, !follows)
}

// Guards against a number of watches that grows with the fleet, against proxies
// that follow a watcher in another zone, and against proxies that all follow the
// same watcher.
func TestWatchersOfALargeZone(t *testing.T) {
	const count, zones = 5000, 20
	proxies := fleetWithStatus(count, zones)
	watching := 0
	followers := map[entity.VM]int{}
	for _, p := range proxies {
		watcher, follows := WatcherOf(Watchers(proxies, p.AvailabilityZone), p.VM)
		if !follows {
			watching++
			continue
		}
		assert.Equal(t, watcher.AvailabilityZone, p.AvailabilityZone)
		followers[watcher.VM]++
	}
	assert.Equal(t, watching, zones*watchersPerZone)
	for vm, n := range followers {
		assert.Assert(t, n < count/zones*2/3, "%s has %d followers", vm, n)
	}
}

// Guards against a small VM that watches for a zone with larger ones.
func TestProxiesWithTheFastestLinksWatch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := fleetWithStatus(rapid.IntRange(minProxiesToShare, 40).Draw(t, "proxies"), 1)
		for i := range proxies {
			proxies[i].LinkMbps = rapid.SampledFrom([]float64{0, 10, 200}).Draw(t, "link")
		}
		watchers := Watchers(proxies, "zone-0")
		assert.Equal(t, len(watchers), watchersPerZone)
		for _, p := range proxies {
			assert.Assert(t, Contains(watchers, p.VM) || p.LinkMbps <= watchers[watchersPerZone-1].LinkMbps)
		}
	})
}

// Guards against a choice that depends on the order of the list, or that replaces
// more than one watcher when a proxy leaves.
func TestWatchersAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := fleetWithStatus(rapid.IntRange(minProxiesToShare+1, 40).Draw(t, "proxies"), 1)
		before := Watchers(proxies, "zone-0")
		shuffled := rapid.Permutation(proxies).Draw(t, "order")
		assert.DeepEqual(t, Watchers(shuffled, "zone-0"), before)
		gone := rapid.IntRange(0, len(proxies)-1).Draw(t, "gone")
		after := Watchers(slices.Delete(slices.Clone(proxies), gone, gone+1), "zone-0")
		kept := 0
		for _, w := range after {
			if Contains(before, w.VM) {
				kept++
			}
		}
		assert.Assert(t, kept >= watchersPerZone-1)
	})
}
