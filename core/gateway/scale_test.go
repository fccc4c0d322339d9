package gateway

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against a choice of watchers whose number of hashes grows faster than the zone.
func TestWeightIsComputedOnceForEachProxy(t *testing.T) {
	for _, count := range []int{300, 1000, 5000} {
		computed := 0
		ordered := orderByWeight(fleet(count, 6), func(vm entity.VM) uint64 {
			computed++
			return Weight(vm, "orders")
		})
		assert.Equal(t, len(ordered), count)
		assert.Equal(t, computed, count)
	}
}

func BenchmarkChoose(b *testing.B) {
	for _, count := range []int{300, 1000, 5000} {
		b.Run(fmt.Sprintf("proxies=%d", count), func(b *testing.B) {
			proxies := fleet(count, 6)
			b.ReportAllocs()
			for b.Loop() {
				Choose(proxies, "orders", Limits{Connections: 121, Slots: 5})
			}
		})
	}
}
