package group

import "skylarkhinge.dev/skylarkhinge/core/entity"

// Survival tells whether a log position is part of the current primary's log, or was
// lost in a promotion.
type Survival uint8

const (
	// SurvivalUnknown means that it can't be decided: no primary is known, or
	// the position's term is older than the known history or newer than the
	// primary's term.
	SurvivalUnknown Survival = iota
	// SurvivalHeld positions are part of the current primary's log.
	SurvivalHeld
	// SurvivalLost positions are proven not to be part of that log.
	SurvivalLost
)

// Survival reports whether a position is part of the current primary's history.
func (g *Group) Survival(p entity.Position) Survival {
	m := g.currentPrimary()
	if m == nil {
		return SurvivalUnknown
	}
	if p.Term == m.status.Term {
		// A term has one primary, whose log only grows.
		return SurvivalHeld
	}
	if p.Term > m.status.Term {
		return SurvivalUnknown
	}
	return survivalInLog(&m.status, p)
}

// Survived reports whether a write at the position is proven to be part of the
// current history. An unknown position counts as not survived: a session that is
// wrongly told of a loss only reads again, while one that isn't told of a loss goes
// on with a write that no longer exists. Callers that need to tell lost from
// unknown, for example while there is no primary, use Survival.
func (g *Group) Survived(p entity.Position) bool {
	return g.Survival(p) == SurvivalHeld
}

// survivalInLog reports whether a position is part of a member's log.
//
// The log must contain the position's term itself. It is not enough that the next
// term in the log starts at or after the offset: a term that is missing from the
// log can have had other entries at the same offsets.
func survivalInLog(s *entity.MemberStatus, p entity.Position) Survival {
	if p.Offset == 0 {
		return SurvivalHeld
	}
	next := 0
	for next < len(s.History) && s.History[next].Term <= p.Term {
		next++
	}
	listed := next > 0 && s.History[next-1].Term == p.Term
	if !listed && p.Term != s.Log.Term {
		if len(s.History) == 0 || next == 0 {
			return SurvivalUnknown
		}
		return SurvivalLost
	}
	end := s.Log.Offset
	if next < len(s.History) {
		end = s.History[next].Offset
	}
	if listed && p.Term > s.Log.Term {
		// The member has the start of the term, but no entry of it yet.
		end = min(end, s.History[next-1].Offset)
	}
	if p.Offset > end {
		return SurvivalLost
	}
	return SurvivalHeld
}

// logEnd returns the end position of a member's log. If the log ends exactly where
// a later term starts, the position has that term.
func logEnd(s *entity.MemberStatus) entity.Position {
	end := s.Log
	if n := len(s.History); n > 0 {
		if last := s.History[n-1]; last.Offset == end.Offset && last.Term > end.Term {
			end.Term = last.Term
		}
	}
	return end
}
