package telemetry

import (
	"sync"
	"time"
)

const (
	// RepeatInterval is the minimum interval between log lines about the same problem.
	RepeatInterval = 10 * time.Second
	// maxProblems limits the number of tracked problems. When it is reached, problems that
	// were not logged within RepeatInterval are evicted.
	maxProblems = 1024
)

// Problem identifies log lines that count as repetitions of each other.
type Problem struct {
	Event, Step, Peer string
}

// RepeatLimiter limits log lines about persistent problems, such as connection attempts to
// a failed upstream. The first occurrence is logged, then at most one per RepeatInterval.
// The number of omitted occurrences is reported with the next logged one, and is lost if
// the problem does not occur again. It is safe for concurrent use.
type RepeatLimiter struct {
	mu       sync.Mutex
	problems map[Problem]problemState
}

type problemState struct {
	lastLogged time.Time
	omitted    int
}

// Admit reports whether an occurrence at now is to be logged and, if so, how many were
// omitted since the last logged one.
func (r *RepeatLimiter) Admit(now time.Time, problem Problem) (omitted int, ok bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	state, known := r.problems[problem]
	if known && now.Sub(state.lastLogged) < RepeatInterval {
		state.omitted++
		r.problems[problem] = state
		return 0, false
	}
	if !known {
		r.evict(now)
	}
	r.problems[problem] = problemState{lastLogged: now}
	return state.omitted, true
}

// evict makes room for another problem. If all problems are recent, all are evicted: extra
// log lines are better than unlimited memory use.
func (r *RepeatLimiter) evict(now time.Time) {
	if len(r.problems) >= maxProblems {
		for problem, state := range r.problems {
			if now.Sub(state.lastLogged) >= RepeatInterval {
				delete(r.problems, problem)
			}
		}
	}
	if r.problems == nil || len(r.problems) >= maxProblems {
		r.problems = map[Problem]problemState{}
	}
}
