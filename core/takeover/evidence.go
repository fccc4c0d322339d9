package takeover

import "skylarkhinge.dev/skylarkhinge/core/entity"

// Evidence is what a proxy knows of a takeover of a group when the primary acknowledges a
// commit. The zero value means that no takeover is open.
type Evidence struct {
	// Ordered are the targets of open orders.
	Ordered []entity.Upstream
	// Claimed is set while a takeover is open that has not sent an order. The members with
	// Listed set are counted when it chooses a successor.
	Claimed bool
	// Uncertain is set if a takeover may be open that the proxy does not know of.
	Uncertain bool
}

// Required reports whether the acknowledgement of the primary alone is not sufficient.
func (e *Evidence) Required() bool { return len(e.Ordered) > 0 || e.Claimed || e.Uncertain }

// Holder is the state of one member as evidence for a commit.
type Holder struct {
	Name entity.Upstream
	// Listed is set if the member was listed before the takeover began.
	Listed bool
	// Reached is set if the member answered a status request. Term is the highest term that it
	// knows, Received the end of the log that it holds.
	Reached  bool
	Term     uint64
	Received entity.Position
}

// holds reports whether the member's log has a commit of the primary of the position's term. A
// log of a later term may lack what its primary had not received before that term.
func (h *Holder) holds(position entity.Position) bool {
	return h.Reached && h.Received.Term == position.Term && !h.Received.Less(position)
}

// Holds reports whether a promotion keeps a commit that the primary acknowledged at the given
// position: every target of an open order holds it, or if none is open, a member that is counted
// when the successor is chosen.
func (e *Evidence) Holds(primary entity.Upstream, position entity.Position, members []Holder) bool {
	if len(e.Ordered) == 0 {
		for i := range members {
			if m := &members[i]; m.Name != primary && m.Listed && m.holds(position) {
				return true
			}
		}
		return false
	}
	for _, target := range e.Ordered {
		if target != primary && !anyHolds(members, target, position) {
			return false
		}
	}
	return true
}

func anyHolds(members []Holder, name entity.Upstream, position entity.Position) bool {
	for i := range members {
		if members[i].Name == name {
			return members[i].holds(position)
		}
	}
	return false
}

// Superseded reports whether a member knows a term after that of the position: another primary
// leads, so that a member that did not hold the commit before never will.
func Superseded(position entity.Position, members []Holder) bool {
	for i := range members {
		if m := &members[i]; m.Reached && m.Term > position.Term {
			return true
		}
	}
	return false
}
