package group_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// benchGroup runs a round every 2 ms on a group whose replicas lag by 100 ms.
type benchGroup struct {
	group   *group.Group
	now     entity.Time
	members []entity.MemberStatus
}

func newBenchGroup(size int) *benchGroup {
	b := &benchGroup{}
	var names []entity.Upstream
	for i := range size {
		names = append(names, entity.Upstream(fmt.Sprintf("m%d", i)))
		b.members = append(b.members, status(names[i], 1, 50, i == 0))
	}
	b.members[0].Log.Offset = 100
	b.group = group.New(group.DefaultConfig(), names, 1)
	return b
}

// round runs one probe round that every member answers.
func (b *benchGroup) round() group.RoundID {
	id := b.group.RequestRound(b.now)
	b.group.Tick(b.now)
	b.group.Ready()
	for i := range b.members {
		b.members[i].Log.Offset++
		b.members[i].Applied.Offset++
		answerProbe(b.group, b.now+ms, id, b.members[i])
	}
	b.now += 2 * ms
	return id
}

// Guards against round results that are kept without limit or dropped too early.
func TestRoundHistoryIsBounded(t *testing.T) {
	b := newBenchGroup(3)
	first := b.round()
	for range 255 {
		b.round()
	}
	assert.Equal(t, b.group.Round(first).State, group.RoundConfirmed)
	b.round()
	assert.Equal(t, b.group.Round(first).State, group.RoundFailed)
}

// Guards against allocations per round and per Eligible call, which the core's tick
// must not make, and against a lag estimate that loses precision: the replicas are
// 50 rounds behind, which is 100 ms.
func TestSteadyStateAllocatesNothing(t *testing.T) {
	b := newBenchGroup(5)
	for range 300 {
		b.round()
	}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { b.round() }), 0.0)
	floor := entity.Position{Term: 1, Offset: 60}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { b.group.Eligible(b.now, "m4", floor, time.Second) }), 0.0)
	lag, ok := b.group.Lag(b.now, "m4")
	assert.Assert(t, ok && lag >= 100*time.Millisecond && lag <= 115*time.Millisecond, "lag %v", lag)
}

func BenchmarkProbeRound(b *testing.B) {
	for _, size := range []int{3, 5} {
		b.Run(fmt.Sprintf("members=%d", size), func(b *testing.B) {
			driver := newBenchGroup(size)
			b.ReportAllocs()
			for b.Loop() {
				driver.round()
			}
		})
	}
}

func BenchmarkEligible(b *testing.B) {
	for _, size := range []int{3, 5} {
		driver := newBenchGroup(size)
		for range 5000 {
			driver.round()
		}
		floor := entity.Position{Term: 1, Offset: 60}
		last := driver.members[size-1].Upstream
		for _, name := range []entity.Upstream{"m0", last} {
			b.Run(fmt.Sprintf("members=%d/%s", size, name), func(b *testing.B) {
				b.ReportAllocs()
				for b.Loop() {
					if !driver.group.Eligible(driver.now, name, floor, time.Second) {
						b.Fatal("not eligible")
					}
				}
			})
		}
	}
}
