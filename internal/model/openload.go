package model

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
)

// OpenLoad describes an open loop: requests of one class arrive as a Poisson process,
// independently of the results of earlier ones.
type OpenLoad struct {
	Class string
	// Rate is the mean number of requests per second.
	Rate float64
	// Sessions is the number of sessions that send the requests in turn.
	Sessions int
	// Target is the maximum latency of a request that counts as in time.
	Target time.Duration
}

// OpenLoadStats are the outcomes of an open loop. Offered counts the requests, InTime
// those that were done within the target.
type OpenLoadStats struct {
	ClassStats
	Offered int
	InTime  int
}

// StartOpenLoad starts an open loop that stops sending after the duration.
func StartOpenLoad(w *World, s OpenLoad, duration time.Duration) *OpenLoadStats {
	stats := &OpenLoadStats{ClassStats: ClassStats{Results: map[core.ResultKind]int{}}}
	var sessions []*Session
	for range s.Sessions {
		sessions = append(sessions, w.NewSession(false))
	}
	end := w.Now.Add(duration)
	var next func()
	next = func() {
		if w.Now >= end {
			return
		}
		stats.startRequest(w, s, sessions[stats.Offered%len(sessions)])
		gap := time.Duration(w.rng.ExpFloat64() / s.Rate * float64(time.Second))
		w.after(gap, next)
	}
	next()
	return stats
}

func (t *OpenLoadStats) startRequest(w *World, s OpenLoad, session *Session) {
	t.Offered++
	entry := w.Proxies[w.rng.IntN(len(w.Proxies))]
	done := func(o Outcome) {
		t.Results[o.Result.Kind]++
		if o.Result.Kind != core.ResultDone {
			return
		}
		t.Latencies = append(t.Latencies, o.Latency)
		if o.Latency <= s.Target {
			t.InTime++
		}
	}
	if s.Class == ClassBrowse || s.Class == ClassLookup {
		w.Read(session, entry, s.Class, done)
		return
	}
	w.Write(session, entry, s.Class, false, done)
}

// InTimeShare returns the share of the offered requests that were done in time.
func (t *OpenLoadStats) InTimeShare() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Offered)
}
