package managed

import "skylarkhinge.dev/skylarkhinge/core/entity"

// reportedCommit is the newest commit that a proxy has reported to a caller, zero if there is none, with
// the time at which it was sent. A later commit covers all that any proxy was told of before it was sent.
type reportedCommit struct {
	// position is the end of the log in the reply. It may cover commits of others that the primary has
	// not acknowledged. atLeast is a position that the commit is known to have at least.
	position, atLeast entity.Position
	sent              entity.Time
}

// newer returns the newer one of two commits, with the higher one of their least positions.
func (c reportedCommit) newer(other reportedCommit) reportedCommit {
	newest := c
	if c.position.Less(other.position) {
		newest = other
	}
	if c.atLeast.Less(other.atLeast) {
		newest.atLeast = other.atLeast
	} else {
		newest.atLeast = c.atLeast
	}
	return newest
}

// logEnds are the latest positions in replies of the primary, with the times of the replies.
type logEnds struct {
	ends [64]logEnd
	next int
}

type logEnd struct {
	at       entity.Time
	position entity.Position
}

func (l *logEnds) add(at entity.Time, position entity.Position) {
	l.ends[l.next%len(l.ends)] = logEnd{at, position}
	l.next++
}

// after returns a position that a commit sent at a time has at least, zero if none is known: it follows
// the log of the replies before.
func (l *logEnds) after(sent entity.Time) entity.Position {
	var end entity.Position
	for i := range l.ends {
		if e := &l.ends[i]; e.at < sent && end.Less(e.position) {
			end = e.position
		}
	}
	if !end.IsZero() {
		end.Offset++
	}
	return end
}
