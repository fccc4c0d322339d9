// Package freshness derives the minimum log position, called the floor, that a
// replica must have applied to serve a read. It is deterministic: callers pass
// the time.
//
// A confirmed position proves that a member led its group at some instant at or
// after Sent, and that its log then ended at Position. Every commit acknowledged
// before Sent is therefore at or before Position. A read that may miss only commits
// acknowledged after an instant is covered by any position that was confirmed by a
// command sent at or after that instant. The oldest of these gives the lowest floor,
// which a lagging replica reaches first.
//
// A promotion rolls back log entries that no acknowledged commit needs, so the log
// of the new primary may end before a position confirmed earlier. Such positions
// are discarded: no log will ever reach them.
//
// Invariants:
//   - Confirmed positions are ordered by Sent, and their positions do not decrease.
//   - A floor is returned only from a confirmed position that covers the whole
//     interval.
package freshness

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// ConfirmedPosition is a log position at which the primary was confirmed to lead.
type ConfirmedPosition struct {
	// Sent is the instant at which the confirming command was sent.
	Sent entity.Time
	// Position is the end of the primary's log when it answered.
	Position entity.Position
}

// maxHistory bounds the number of positions kept. At one per minInterval they reach
// back 6.4 s, more than any staleness bound in use; at the highest rate that Add keeps,
// two per minInterval, they reach back 3.2 s.
const maxHistory = 128

// minInterval is the minimum time between a kept position and the second one after it.
// A position that arrives earlier replaces the newest one.
const minInterval = 50 * time.Millisecond

// History holds the recent confirmed positions of one database.
type History struct {
	positions []ConfirmedPosition
}

// Add records a confirmed position. One that was sent before the newest is dropped,
// since the newest covers every read that it would cover.
func (h *History) Add(p ConfirmedPosition) {
	n := len(h.positions)
	if n > 0 && p.Sent <= h.positions[n-1].Sent {
		return
	}
	for n > 0 && p.Position.Less(h.positions[n-1].Position) {
		n--
	}
	h.positions = h.positions[:n]
	if n > 1 && p.Sent.Sub(h.positions[n-2].Sent) < minInterval {
		h.positions[n-1] = p
		return
	}
	if n == maxHistory {
		copy(h.positions, h.positions[1:])
		h.positions = h.positions[:n-1]
	}
	h.positions = append(h.positions, p)
}

// Floor returns the minimum position for a read that may miss only commits
// acknowledged after since. It reports false if no confirmed position covers that.
func (h *History) Floor(since entity.Time) (entity.Position, bool) {
	for _, p := range h.positions {
		if p.Sent >= since {
			return p.Position, true
		}
	}
	return entity.Position{}, false
}

// Newest returns the newest confirmed position, the zero value if there is none.
func (h *History) Newest() ConfirmedPosition {
	if len(h.positions) == 0 {
		return ConfirmedPosition{}
	}
	return h.positions[len(h.positions)-1]
}

// Merge returns the floor that covers both a confirmed position and the session's
// own writes. A session position of an earlier term is dropped: the part of that
// term that survived the promotion is before the start of the newer term.
func Merge(confirmed, session entity.Position) entity.Position {
	if session.Term < confirmed.Term || session.Less(confirmed) {
		return confirmed
	}
	return session
}
