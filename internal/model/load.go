package model

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// MixEntry is a kind of request with its weight in a load.
type MixEntry struct {
	Class       string
	Weight      int
	Transaction bool
}

// LoadConfig describes a closed-loop load.
type LoadConfig struct {
	Sessions int
	// Think is the maximum think time, the pause between two requests of a
	// session; think times are uniformly distributed.
	Think time.Duration
	Mix   []MixEntry
	// Tokens makes every second session keep and send its token.
	Tokens bool
	// AliveOnly sends requests only to proxies that are neither dead nor draining,
	// as the platform's load balancer does.
	AliveOnly bool
}

// DefaultLoad returns a load of orders, lookups and browsing.
func DefaultLoad(sessions int) LoadConfig {
	return LoadConfig{
		Sessions: sessions,
		Think:    60 * time.Millisecond,
		Tokens:   true,
		Mix: []MixEntry{
			{Class: ClassSafeOrder, Weight: 2},
			{Class: ClassOrder, Weight: 1},
			{Class: ClassOrder, Weight: 1, Transaction: true},
			{Class: ClassLookup, Weight: 2},
			{Class: ClassBrowse, Weight: 4},
		},
	}
}

// ClassStats are the outcomes of one class.
type ClassStats struct {
	Results   map[core.ResultKind]int
	Latencies []time.Duration
	// Acks are the times at which writes were acknowledged.
	Acks []entity.Time
}

// Load is a closed loop: each session sends its next request to a random proxy, some
// think time after the result of the previous one.
type Load struct {
	world   *World
	config  LoadConfig
	stopped bool
	Classes map[string]*ClassStats
}

// StartLoad starts the sessions, spread evenly over one think time.
func StartLoad(w *World, config LoadConfig) *Load {
	l := &Load{world: w, config: config, Classes: map[string]*ClassStats{}}
	for i := range config.Sessions {
		s := w.NewSession(config.Tokens && i%2 == 0)
		w.after(time.Duration(i)*config.Think/time.Duration(config.Sessions), func() { l.startRequest(s) })
	}
	return l
}

// Stop makes each session stop after its current request.
func (l *Load) Stop() { l.stopped = true }

// Total returns the number of attempts with a result of the kind.
func (l *Load) Total(kind core.ResultKind) int {
	n := 0
	for _, c := range l.Classes {
		n += c.Results[kind]
	}
	return n
}

func (l *Load) startRequest(s *Session) {
	if l.stopped {
		return
	}
	entry := l.pickRequest()
	done := func(o Outcome) { l.requestDone(s, entry, o) }
	if entry.Class == ClassLookup || entry.Class == ClassBrowse {
		l.world.Read(s, l.pickProxy(), entry.Class, done)
		return
	}
	l.write(s, entry, done)
}

func (l *Load) pickRequest() MixEntry {
	total := 0
	for _, m := range l.config.Mix {
		total += m.Weight
	}
	n := l.world.rng.IntN(total)
	for _, m := range l.config.Mix {
		if n -= m.Weight; n < 0 {
			return m
		}
	}
	return l.config.Mix[0]
}

func (l *Load) pickProxy() *Proxy {
	w := l.world
	for {
		p := w.Proxies[w.rng.IntN(len(w.Proxies))]
		if !l.config.AliveOnly || (!p.dead && !p.draining) {
			return p
		}
	}
}

// write sends a write. If its outcome is unknown and its class has a ledger, it
// retries the write once through a random proxy.
func (l *Load) write(s *Session, entry MixEntry, done func(Outcome)) {
	var op *Op
	op = l.world.Write(s, l.pickProxy(), entry.Class, entry.Transaction, func(o Outcome) {
		if o.Result.Kind != core.ResultUnknown || entry.Class != ClassSafeOrder {
			done(o)
			return
		}
		l.record(entry.Class, o)
		l.world.Retry(op, l.pickProxy(), done)
	})
}

func (l *Load) requestDone(s *Session, entry MixEntry, o Outcome) {
	l.record(entry.Class, o)
	think := time.Duration(l.world.rng.Int64N(int64(l.config.Think)))
	l.world.after(think, func() { l.startRequest(s) })
}

func (l *Load) record(class string, o Outcome) {
	c, ok := l.Classes[class]
	if !ok {
		c = &ClassStats{Results: map[core.ResultKind]int{}}
		l.Classes[class] = c
	}
	c.Results[o.Result.Kind]++
	if o.Result.Kind != core.ResultDone {
		return
	}
	c.Latencies = append(c.Latencies, o.Latency)
	if class == ClassOrder || class == ClassSafeOrder {
		c.Acks = append(c.Acks, o.At)
	}
}

// Quantile returns the q-quantile of the latencies, 0 if there are none.
func (c *ClassStats) Quantile(q float64) time.Duration {
	if c == nil || len(c.Latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(c.Latencies)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// LongestGap returns the longest time without an acknowledged write between from
// and to.
func (l *Load) LongestGap(from, to entity.Time) time.Duration {
	var acks []entity.Time
	for _, c := range l.Classes {
		acks = append(acks, c.Acks...)
	}
	slices.Sort(acks)
	last, longest := from, time.Duration(0)
	for _, at := range append(acks, to) {
		if at < from || at > to {
			continue
		}
		longest = max(longest, at.Sub(last))
		last = at
	}
	return longest
}
