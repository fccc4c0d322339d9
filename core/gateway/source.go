package gateway

import (
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minWatcherPause and maxWatcherPause bound the time for which a watcher that refused
	// is not asked. It doubles with each failure and is randomised between half of it and
	// all of it. It is short because a question to a watcher costs the store nothing, and
	// the watchers of a fleet that starts, or that had lost the store, are soon ready.
	minWatcherPause = 500 * time.Millisecond
	maxWatcherPause = 2 * time.Second
	// silentWatcherPause is the pause of a watcher that let a request time out: another
	// request would delay changes as long.
	silentWatcherPause = 8 * time.Second
	// minStorePause and maxStorePause bound the time for which a proxy with watchers does
	// not read from a store that failed. One question of each proxy to a store that is down
	// would be as many calls as there are proxies.
	minStorePause = 800 * time.Millisecond
	maxStorePause = 3200 * time.Millisecond
)

// WatchSource chooses where a proxy that does not watch the store itself gets changes
// from: the watcher that Watchers and WatcherOf assign to it, another watcher of its
// availability zone while that one fails, or the store while all fail. It is not safe
// for concurrent use.
type WatchSource struct {
	failures map[entity.VM]pause
	store    pause
}

// pause is the time for which a source that failed is not asked.
type pause struct {
	until    entity.Time
	duration time.Duration
}

// extend returns the pause after one more failure: of twice the duration, within limits,
// and randomised between half of it and all of it.
func (p pause) extend(now entity.Time, least, most time.Duration) pause {
	d := min(max(2*p.duration, least), most)
	return pause{until: now.Add(d/2 + rand.N(d/2)), duration: d}
}

// Next returns the watcher to ask. It reports false if the proxy has to read from the
// store. Watchers that left the list are forgotten.
func (s *WatchSource) Next(now entity.Time, watchers []Proxy, vm entity.VM) (Proxy, bool) {
	for name := range s.failures {
		if !Contains(watchers, name) {
			delete(s.failures, name)
		}
	}
	assigned, ok := WatcherOf(watchers, vm)
	if !ok {
		return Proxy{}, false
	}
	if s.usable(now, assigned.VM) {
		return assigned, true
	}
	for _, w := range watchers {
		if s.usable(now, w.VM) {
			return w, true
		}
	}
	return Proxy{}, false
}

func (s *WatchSource) usable(now entity.Time, vm entity.VM) bool {
	return now >= s.failures[vm].until
}

// RecordFailure records that a watcher did not answer with changes. silent is set if it
// did not answer at all.
func (s *WatchSource) RecordFailure(now entity.Time, vm entity.VM, silent bool) {
	if s.failures == nil {
		s.failures = map[entity.VM]pause{}
	}
	least, most := minWatcherPause, maxWatcherPause
	if silent {
		least, most = silentWatcherPause, silentWatcherPause
	}
	s.failures[vm] = s.failures[vm].extend(now, least, most)
}

// RecordAnswer records that a watcher answered.
func (s *WatchSource) RecordAnswer(vm entity.VM) { delete(s.failures, vm) }

// StoreDue reports whether a proxy whose watchers fail may read from the store.
func (s *WatchSource) StoreDue(now entity.Time) bool { return now >= s.store.until }

// RecordStore records the outcome of a read from the store.
func (s *WatchSource) RecordStore(now entity.Time, answered bool) {
	if answered {
		if s.store.duration > 0 {
			// This proxy was probably cut off from the watchers as well, so they are asked again.
			clear(s.failures)
		}
		s.store = pause{}
		return
	}
	s.store = s.store.extend(now, minStorePause, maxStorePause)
}
