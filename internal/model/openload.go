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
func StartOpenLoad(w *World, load OpenLoad, duration time.Duration) *OpenLoadStats {
	stats := &OpenLoadStats{ClassStats: ClassStats{Results: map[core.ResultKind]int{}}}
	var sessions []*Session
	for range load.Sessions {
		sessions = append(sessions, w.NewSession(false))
	}
	end := w.Now.Add(duration)
	var next func()
	next = func() {
		if w.Now >= end {
			return
		}
		stats.startRequest(w, load, sessions[stats.Offered%len(sessions)])
		gap := time.Duration(w.rng.ExpFloat64() / load.Rate * float64(time.Second))
		w.after(gap, next)
	}
	next()
	return stats
}

func (t *OpenLoadStats) startRequest(w *World, load OpenLoad, session *Session) {
	t.Offered++
	proxy := w.Proxies[w.rng.IntN(len(w.Proxies))]
	done := func(o Outcome) {
		t.Results[o.Result.Kind]++
		if o.Result.Kind != core.ResultDone {
			return
		}
		t.Latencies = append(t.Latencies, o.Latency)
		if o.Latency <= load.Target {
			t.InTime++
		}
	}
	if load.Class == ClassBrowse || load.Class == ClassLookup {
		w.Read(session, proxy, load.Class, done)
		return
	}
	w.Write(session, proxy, load.Class, false, done)
}

// InTimeShare returns the share of the offered requests that were done in time.
func (t *OpenLoadStats) InTimeShare() float64 {
	if t.Offered == 0 {
		return 0
	}
	return float64(t.InTime) / float64(t.Offered)
}
