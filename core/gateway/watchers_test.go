package gateway

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func reachable(count, zones int) []Proxy {
	proxies := fleet(count, zones)
	for i := range proxies {
		proxies[i].StatusAddress = "10.0.0.1:1"
	}
	return proxies
}

// Guards against small zones whose proxies depend on another one for nothing.
func TestSmallZonesDoNotShareWatches(t *testing.T) {
	assert.Equal(t, len(Watchers(reachable(9, 3), "zone-0")), 0)
	_, follows := WatcherOf(nil, "vm-0")
	assert.Assert(t, !follows)
}

// Guards against watches that grow with the fleet, proxies that ask one in another
// zone, and followers that all ask the same watcher.
func TestWatchersOfALargeZone(t *testing.T) {
	const count, zones = 5000, 20
	proxies := reachable(count, zones)
	watching := 0
	asked := map[entity.VM]int{}
	for _, p := range proxies {
		watcher, follows := WatcherOf(Watchers(proxies, p.AvailabilityZone), p.VM)
		if !follows {
			watching++
			continue
		}
		assert.Equal(t, watcher.AvailabilityZone, p.AvailabilityZone)
		asked[watcher.VM]++
	}
	assert.Equal(t, watching, zones*watchersPerZone)
	for vm, n := range asked {
		assert.Assert(t, n < count/zones*2/3, "%s is asked by %d proxies", vm, n)
	}
}

// Guards against a choice that depends on the order of the list, or that moves more
// than one watcher when a proxy goes.
func TestWatchersAreStable(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		proxies := reachable(rapid.IntRange(minSharing+1, 40).Draw(t, "proxies"), 1)
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
