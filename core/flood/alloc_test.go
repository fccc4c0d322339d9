package flood

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// steadyLoad drives a scheduler with a constant number of queued items.
type steadyLoad struct {
	scheduler *Scheduler
	now       entity.Time
	handle    entity.Handle
	refusals  []Refusal
}

func newSteadyLoad(queued int) *steadyLoad {
	load := &steadyLoad{scheduler: New(threeRanks(4*queued), 1)}
	load.scheduler.SetSlots(LanePrimary, 5)
	for range queued {
		load.offer()
	}
	for range 4 * queued {
		load.request()
	}
	return load
}

func (load *steadyLoad) offer() {
	load.handle++
	h := uint64(load.handle)
	load.scheduler.Offer(load.now, Item{Handle: load.handle, Rank: int(h % 3), Caller: hash64(h) % 500, Retry: h%10 == 0,
		Arrived: load.now, Deadline: load.now.Add(time.Hour + time.Duration(hash64(h)%uint64(time.Hour))),
		Cost: time.Microsecond})
}

// request offers an item and, if it is queued, ends another one, which keeps the
// number of queued items constant.
func (load *steadyLoad) request() {
	load.now = load.now.Add(time.Microsecond)
	before := load.scheduler.Len(LanePrimary)
	load.offer()
	if load.scheduler.Len(LanePrimary) > before {
		load.endOne()
	}
	load.refusals = load.scheduler.Expire(load.now, load.refusals[:0])
}

// endOne runs an item, or removes the newest one if its handle is a multiple of 8.
func (load *steadyLoad) endOne() {
	if load.handle%8 == 0 && load.scheduler.Remove(load.handle) {
		return
	}
	item, ok := load.scheduler.Next(load.now, LanePrimary)
	if ok {
		load.scheduler.Done(load.now, item, 2*time.Microsecond)
	}
}

// Guards against allocations per request, which cost garbage collection time in
// proportion to the request rate.
func TestRequestsDoNotAllocate(t *testing.T) {
	load := newSteadyLoad(1000)
	assert.Equal(t, testing.AllocsPerRun(10_000, load.request), 0.0)
	assert.Assert(t, load.scheduler.Len(LanePrimary) >= 900, "%d", load.scheduler.Len(LanePrimary))
}

// Guards against allocations for items that expire.
func TestExpiryDoesNotAllocate(t *testing.T) {
	load := newSteadyLoad(10)
	expire := func() {
		for range 10 {
			load.handle++
			load.scheduler.Offer(load.now, Item{Handle: load.handle, Rank: 1, Caller: uint64(load.handle),
				Deadline: load.now.Add(time.Second), Cost: time.Microsecond})
		}
		load.now = load.now.Add(2 * time.Second)
		load.refusals = load.scheduler.Expire(load.now, load.refusals[:0])
	}
	expire()
	assert.Equal(t, testing.AllocsPerRun(1000, expire), 0.0)
	assert.Assert(t, len(load.refusals) >= 10)
}

func BenchmarkRequest(b *testing.B) {
	for _, queued := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			load := newSteadyLoad(queued)
			b.ReportAllocs()
			for b.Loop() {
				load.request()
			}
		})
	}
}
