package vtime

import (
	"slices"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against events that leave out of order, and against an order of ties that
// depends on the shape of the heap.
func TestEventsLeaveInOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		times := rapid.SliceOf(rapid.Int64Range(0, 20)).Draw(t, "times")
		var q Queue[int]
		for i, at := range times {
			q.Push(entity.Time(at), i)
		}
		want := make([]int, len(times))
		for i := range want {
			want[i] = i
		}
		slices.SortStableFunc(want, func(a, b int) int { return int(times[a] - times[b]) })
		var got []int
		for q.Len() > 0 {
			next := q.NextTime()
			at, event := q.Pop()
			assert.Equal(t, at, next)
			got = append(got, event)
		}
		assert.Assert(t, slices.Equal(got, want))
		assert.Equal(t, q.NextTime(), entity.Never)
	})
}
