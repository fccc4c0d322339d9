package telemetry

import (
	"sync"
	"time"
)

const (
	// RepeatInterval is the least time between two log lines on one problem.
	RepeatInterval = 10 * time.Second
	// maxProblems bounds the problems that are followed. Past it the ones that
	// were not logged within RepeatInterval are dropped.
	maxProblems = 1024
)

// Problem identifies log lines that repeat each other.
type Problem struct {
	Event, Step, Peer string
}

// RepeatLimiter limits log lines on a problem that goes on, for example connection
// attempts to a dead upstream. The first occurrence is logged, then at most
// one per RepeatInterval. Occurrences after the last line that was logged are
// counted only if the problem occurs again. It is safe for concurrent use.
type RepeatLimiter struct {
	mu   sync.Mutex
	rows map[Problem]repeatRow
}

type repeatRow struct {
	logged  time.Time
	omitted int
}

// Admit reports whether an occurrence at now is to be logged, and how many
// were left out since the last one that was.
func (r *RepeatLimiter) Admit(now time.Time, problem Problem) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	row, known := r.rows[problem]
	if known && now.Sub(row.logged) < RepeatInterval {
		row.omitted++
		r.rows[problem] = row
		return 0, false
	}
	if !known {
		r.makeRoom(now)
	}
	r.rows[problem] = repeatRow{logged: now}
	return row.omitted, true
}

// makeRoom keeps the table within its bound. If every problem is recent, all
// of them are dropped: a line too many is better than memory without bound.
func (r *RepeatLimiter) makeRoom(now time.Time) {
	if len(r.rows) >= maxProblems {
		for problem, row := range r.rows {
			if now.Sub(row.logged) >= RepeatInterval {
				delete(r.rows, problem)
			}
		}
	}
	if r.rows == nil || len(r.rows) >= maxProblems {
		r.rows = map[Problem]repeatRow{}
	}
}
