package model

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// MixEntry is the weight of one kind of request in a load.
type MixEntry struct {
	Class       string
	Weight      int
	Transaction bool
}

// LoadConfig describes sessions that keep a model busy.
type LoadConfig struct {
	Sessions int
	// Think is the longest time between two requests of a session.
	Think time.Duration
	Mix   []MixEntry
	// Tokens is set if every second session keeps its token.
	Tokens bool
	// AliveOnly sends requests to proxies that are up, as the platform's
	// balancer does.
	AliveOnly bool
}

// DefaultLoad returns a mix of orders, lookups and browsing.
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
	// Acks are the instants at which writes were acknowledged.
	Acks []entity.Time
}

// Load keeps sessions writing and reading through changing proxies. A session
// has one request at a time.
type Load struct {
	world   *World
	config  LoadConfig
	stopped bool
	Classes map[string]*ClassStats
}

// StartLoad starts the sessions one after the other.
func StartLoad(w *World, config LoadConfig) *Load {
	l := &Load{world: w, config: config, Classes: map[string]*ClassStats{}}
	for i := range config.Sessions {
		s := w.NewSession(config.Tokens && i%2 == 0)
		w.after(time.Duration(i)*config.Think/time.Duration(config.Sessions), func() { l.next(s) })
	}
	return l
}

// Stop lets the sessions end with their current request.
func (l *Load) Stop() { l.stopped = true }

// Total returns the number of requests with a result of the kind.
func (l *Load) Total(kind core.ResultKind) int {
	n := 0
	for _, c := range l.Classes {
		n += c.Results[kind]
	}
	return n
}

func (l *Load) next(s *Session) {
	if l.stopped {
		return
	}
	share := l.pick()
	done := func(o Outcome) { l.done(s, share, o) }
	if share.Class == ClassLookup || share.Class == ClassBrowse {
		l.world.Read(s, l.entry(), share.Class, done)
		return
	}
	l.write(s, share, done)
}

func (l *Load) pick() MixEntry {
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

func (l *Load) entry() *Proxy {
	w := l.world
	for {
		p := w.Proxies[w.rng.IntN(len(w.Proxies))]
		if !l.config.AliveOnly || (!p.dead && !p.draining) {
			return p
		}
	}
}

// write retries a write whose outcome is unknown once, through another proxy.
func (l *Load) write(s *Session, share MixEntry, done func(Outcome)) {
	var op *Op
	op = l.world.Write(s, l.entry(), share.Class, share.Transaction, func(o Outcome) {
		if o.Result.Kind != core.ResultUnknown || share.Class != ClassSafeOrder {
			done(o)
			return
		}
		l.note(share.Class, o)
		l.world.Retry(op, l.entry(), done)
	})
}

func (l *Load) done(s *Session, share MixEntry, o Outcome) {
	l.note(share.Class, o)
	think := time.Duration(l.world.rng.Int64N(int64(l.config.Think)))
	l.world.after(think, func() { l.next(s) })
}

func (l *Load) note(class string, o Outcome) {
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

// Quantile returns a quantile of the latencies, 0 if there are none.
func (c *ClassStats) Quantile(q float64) time.Duration {
	if c == nil || len(c.Latencies) == 0 {
		return 0
	}
	sorted := slices.Clone(c.Latencies)
	slices.Sort(sorted)
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

// LongestGap returns the longest time without an acknowledged write between
// two instants.
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
