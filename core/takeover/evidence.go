package takeover

import (
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Evidence is what a proxy knows of a takeover of a group when the primary acknowledges a
// commit. The zero value means that no takeover is open.
type Evidence struct {
	// Ordered are the targets of open orders.
	Ordered []entity.Upstream
	// Claimed is set while a takeover is open. The members with Listed set are counted when it chooses
	// a successor.
	Claimed bool
	// Departing are the replicas that the primary may count but a takeover may not: they leave, or are
	// not listed any more. It is empty if no other replica stays. Sorted.
	Departing []entity.Upstream
	// Uncertain is set if a takeover may be open that the proxy does not know of.
	Uncertain bool
	// Replaced is set if the primary that acknowledged the commit may not lead the same term any more.
	// Then the one that leads, Leader, must hold the commit, empty if it is not known.
	Replaced bool
	Leader   entity.Upstream
}

// Required reports whether the acknowledgement of the primary alone is not sufficient.
func (e *Evidence) Required() bool {
	return len(e.Ordered) > 0 || e.Claimed || e.Uncertain || e.Replaced || len(e.Departing) > 0
}

// Equal reports whether the same members count as evidence.
func (e *Evidence) Equal(other *Evidence) bool {
	return slices.Equal(e.Ordered, other.Ordered) && e.Claimed == other.Claimed && e.Uncertain == other.Uncertain &&
		slices.Equal(e.Departing, other.Departing) && e.Replaced == other.Replaced && e.Leader == other.Leader
}

// Holder is the state of one member as evidence for a commit.
type Holder struct {
	Name entity.Upstream
	// Listed is set if the member was listed before the takeover began.
	Listed bool
	// Reached is set if the member answered a status request, Primary if it answered that it leads.
	// Term is the highest term that it knows, Received the end of the log that it holds.
	Reached  bool
	Primary  bool
	Term     uint64
	Received entity.Position
}

// holds reports whether the member's log has a commit of the primary of the position's term. A
// log of a later term may lack what its primary had not received before that term.
func (h *Holder) holds(position entity.Position) bool {
	return h.Reached && h.Received.Term == position.Term && !h.Received.Less(position)
}

// NeedsCounted reports whether a member other than the primary that is counted when a successor is
// chosen must hold a commit. The target of an open order suffices too, if it stays.
func (e *Evidence) NeedsCounted(primary entity.Upstream) bool {
	if !e.Claimed && !e.Uncertain && len(e.Departing) == 0 {
		return false
	}
	if e.Replaced {
		primary = e.Leader
	}
	return !slices.ContainsFunc(e.Ordered, func(target entity.Upstream) bool { return target != primary && e.stays(target) })
}

// OneSuffices reports whether any one of the members that stay may be asked: no takeover is known, and
// the primary has not changed.
func (e *Evidence) OneSuffices() bool {
	return len(e.Departing) > 0 && len(e.Ordered) == 0 && !e.Claimed && !e.Uncertain && !e.Replaced
}

func (e *Evidence) stays(name entity.Upstream) bool { return !slices.Contains(e.Departing, name) }

// Holds reports whether a promotion keeps a commit that the primary acknowledged at the given
// position: every target of an open order holds it, and a member that is counted when a successor is
// chosen.
func (e *Evidence) Holds(primary entity.Upstream, position entity.Position, members []Holder) bool {
	needsCounted := e.NeedsCounted(primary)
	if e.Replaced {
		leads := slices.ContainsFunc(members, func(h Holder) bool { return h.Name == e.Leader && h.Primary && h.holds(position) })
		if !leads {
			return false
		}
		// The log of the one that acknowledged may have been rolled back.
		primary = e.Leader
	}
	for _, target := range e.Ordered {
		if target != primary && !anyHolds(members, target, position) {
			return false
		}
	}
	return !needsCounted || slices.ContainsFunc(members, func(h Holder) bool {
		return h.Name != primary && h.Listed && e.stays(h.Name) && h.holds(position)
	})
}

func anyHolds(members []Holder, name entity.Upstream, position entity.Position) bool {
	for i := range members {
		if members[i].Name == name {
			return members[i].holds(position)
		}
	}
	return false
}

// HoldersOf returns the members that hold a commit.
func HoldersOf(position entity.Position, members []Holder) []entity.Upstream {
	var names []entity.Upstream
	for i := range members {
		if members[i].holds(position) {
			names = append(names, members[i].Name)
		}
	}
	slices.Sort(names)
	return names
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
