package freshness

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func at(ms int) entity.Time { return entity.Time(ms) * entity.Time(time.Millisecond) }

func pos(term, offset uint64) entity.Position { return entity.Position{Term: term, Offset: offset} }

// Guards against a floor that is higher than the staleness bound requires.
func TestFloorIsTheOldestPositionThatCovers(t *testing.T) {
	var h History
	for i := range 10 {
		h.Add(ConfirmedPosition{Sent: at(100 * i), Position: pos(1, uint64(i))})
	}
	floor, ok := h.Floor(at(350))
	assert.Assert(t, ok)
	assert.Equal(t, floor, pos(1, 4))
	_, ok = h.Floor(at(901))
	assert.Assert(t, !ok)
}

// Guards against floors that a promotion rolled back: no log reaches them, so every
// read would wait forever.
func TestRolledBackPositionsAreForgotten(t *testing.T) {
	var h History
	h.Add(ConfirmedPosition{Sent: at(0), Position: pos(1, 8)})
	h.Add(ConfirmedPosition{Sent: at(100), Position: pos(1, 10)})
	h.Add(ConfirmedPosition{Sent: at(200), Position: pos(1, 9)})
	floor, ok := h.Floor(at(50))
	assert.Assert(t, ok)
	assert.Equal(t, floor, pos(1, 9))
	_, ok = h.Floor(at(201))
	assert.Assert(t, !ok)
}

// Guards against keeping a session position of an older term, which the log of the
// newer primary may lack.
func TestMerge(t *testing.T) {
	assert.Equal(t, Merge(pos(2, 5), pos(1, 9)), pos(2, 5))
	assert.Equal(t, Merge(pos(1, 5), pos(1, 9)), pos(1, 9))
	assert.Equal(t, Merge(pos(1, 9), pos(1, 5)), pos(1, 9))
}

// Guards against a floor below a commit that the read must see. Commits are
// acknowledged in order; confirmed positions arrive in any order.
func TestFloorCoversAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var h History
		acked := []entity.Time{}
		var pending []ConfirmedPosition
		clock := entity.Time(0)
		for range rapid.IntRange(1, 200).Draw(t, "steps") {
			clock += entity.Time(rapid.Int64Range(1, int64(80*time.Millisecond)).Draw(t, "pause"))
			switch rapid.IntRange(0, 2).Draw(t, "step") {
			case 0:
				acked = append(acked, clock)
			case 1:
				// The position is read some time after the command was sent.
				pending = append(pending, ConfirmedPosition{Sent: clock, Position: pos(1, uint64(len(acked)))})
			case 2:
				if len(pending) > 0 {
					i := rapid.IntRange(0, len(pending)-1).Draw(t, "which")
					h.Add(pending[i])
					pending = append(pending[:i], pending[i+1:]...)
				}
			}
			since := clock - entity.Time(rapid.Int64Range(0, int64(time.Second)).Draw(t, "age"))
			floor, ok := h.Floor(since)
			if !ok {
				continue
			}
			required := 0
			for _, a := range acked {
				if a < since {
					required++
				}
			}
			if floor.Offset < uint64(required) {
				t.Fatalf("floor %v for reads since %d misses commit %d", floor, since, required)
			}
		}
	})
}
