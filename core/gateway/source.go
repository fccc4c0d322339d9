package gateway

import (
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minWatcherPause and maxWatcherPause bound the time for which a failed watcher is
	// not asked. It doubles with each failure and is randomised between half of it and
	// all of it. It starts small because the watchers of a fleet that starts are not
	// ready yet.
	minWatcherPause = 500 * time.Millisecond
	maxWatcherPause = 8 * time.Second
	// silentWatcherPause is the least pause of a watcher that let a request time out:
	// another request would delay changes as long.
	silentWatcherPause = 4 * time.Second
)

// WatchSource chooses where a proxy that does not watch the store itself gets changes
// from: the watcher that Watchers and WatcherOf assign to it, another watcher of its
// availability zone while that one fails, or the store while all fail. It is not safe
// for concurrent use.
type WatchSource struct {
	failures map[entity.VM]watcherFailure
}

// watcherFailure is the state of a watcher that did not answer its last request.
type watcherFailure struct {
	until entity.Time
	pause time.Duration
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
	f, failed := s.failures[vm]
	return !failed || now >= f.until
}

// RecordFailure records that a watcher did not answer with changes. silent is set if it
// did not answer at all.
func (s *WatchSource) RecordFailure(now entity.Time, vm entity.VM, silent bool) {
	f := s.failures[vm]
	f.pause = min(max(2*f.pause, minWatcherPause), maxWatcherPause)
	if silent {
		f.pause = max(f.pause, silentWatcherPause)
	}
	f.until = now.Add(f.pause/2 + rand.N(f.pause/2))
	if s.failures == nil {
		s.failures = map[entity.VM]watcherFailure{}
	}
	s.failures[vm] = f
}

// RecordAnswer records that a watcher answered.
func (s *WatchSource) RecordAnswer(vm entity.VM) { delete(s.failures, vm) }
