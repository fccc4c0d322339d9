// Package freshness derives the log position that a read must see. It is pure:
// callers pass the time.
//
// A proof states that a member led its group at some instant at or after Sent,
// and that its log then ended at Position. Every commit that was acknowledged
// before Sent is at or before Position, so a read that may miss only commits
// acknowledged after an instant is covered by any proof sent at or after it.
// The oldest such proof asks least of a lagging replica.
//
// A promotion rolls back what no acknowledged commit needs, so the log of the new
// primary may end before a position that was proven earlier. Such positions are
// forgotten: no log will ever hold them.
//
// Invariants:
//   - Proofs are ordered by Sent, and their positions do not decrease.
//   - A floor is returned only from a proof that covers the whole interval.
package freshness

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// ConfirmedPosition is a confirmed position of the primary.
type ConfirmedPosition struct {
	// Sent is the instant at which the confirming command was sent.
	Sent     entity.Time
	Position entity.Position
}

// maxProofs bounds the history. At one proof per minGap it reaches back 6.4 s,
// more than any staleness bound in use.
const maxProofs = 128

// minGap is the least time between kept proofs; the newest one is always kept.
const minGap = 50 * time.Millisecond

// History holds the recent proofs of one database.
type History struct {
	proofs []ConfirmedPosition
}

// Add notes a proof. One that was sent before the newest is dropped: the newest
// covers whatever it does.
func (h *History) Add(p ConfirmedPosition) {
	n := len(h.proofs)
	if n > 0 && p.Sent <= h.proofs[n-1].Sent {
		return
	}
	for n > 0 && p.Position.Less(h.proofs[n-1].Position) {
		n--
	}
	h.proofs = h.proofs[:n]
	if n > 1 && p.Sent.Sub(h.proofs[n-2].Sent) < minGap {
		h.proofs[n-1] = p
		return
	}
	if n == maxProofs {
		copy(h.proofs, h.proofs[1:])
		h.proofs = h.proofs[:n-1]
	}
	h.proofs = append(h.proofs, p)
}

// Floor returns the position that a read must see if it may miss commits
// acknowledged after since. It reports false if no proof covers that.
func (h *History) Floor(since entity.Time) (entity.Position, bool) {
	for _, p := range h.proofs {
		if p.Sent >= since {
			return p.Position, true
		}
	}
	return entity.Position{}, false
}

// Newest returns the newest proof, the zero Proof if there is none.
func (h *History) Newest() ConfirmedPosition {
	if len(h.proofs) == 0 {
		return ConfirmedPosition{}
	}
	return h.proofs[len(h.proofs)-1]
}

// Merge returns the floor that covers both a proven one and the session's own
// writes. A position of an earlier term than the proven one is dropped: what of
// it survived the promotion is before the start of the newer term.
func Merge(proven, session entity.Position) entity.Position {
	if session.Term < proven.Term || session.Less(proven) {
		return proven
	}
	return session
}
