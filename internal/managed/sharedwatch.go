package managed

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"net/http"
	"slices"
	"strconv"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// ChangesPath is the HTTP path at which a proxy that watches the store serves changes to
// the other proxies of its availability zone.
const ChangesPath = "/changes"

const (
	// pollWait is how long a watcher holds a poll without changes; pollSlack is the
	// additional time allowed for its answer. A watcher that stops is detected within their
	// sum, well within the time in which a configuration must take effect.
	pollWait  = 1500 * time.Millisecond
	pollSlack = 500 * time.Millisecond
)

// ChangesResponse is the response body of ChangesPath.
type ChangesResponse struct {
	// Revision is the store revision up to which Entries are complete.
	Revision uint64 `json:"revision"`
	// Entries are the changed entries as received from the store.
	Entries []json.RawMessage `json:"entries"`
}

// ServeChanges answers a poll of another proxy. It waits up to pollWait for a change.
func (p *Proxy) ServeChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	answer, err := p.watchLog.waitForChanges(r.Context(), after, pollWait)
	switch {
	case errors.Is(err, ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// An encoding error means that the client has disconnected.
	_ = json.NewEncoder(w).Encode(answer)
}

// watchers returns the proxies that watch the store on behalf of this availability zone,
// nil if each proxy does for itself.
func (s *storeSync) watchers() []gateway.Proxy {
	p := s.proxy
	if p.options.Peers == nil {
		return nil
	}
	p.mu.Lock()
	listed := slices.Collect(maps.Values(p.proxies.listed))
	p.mu.Unlock()
	return gateway.Watchers(listed, p.self().AvailabilityZone)
}

// nextChanges waits for changes from a watcher. It reads from the store if there is no
// watcher or if the watchers fail.
func (s *storeSync) nextChanges(ctx context.Context) ([]Change, uint64, error) {
	began := now()
	watchers, self := s.watchers(), s.proxy.self().VM
	_, follows := gateway.WatcherOf(watchers, self)
	for {
		watcher, ok := s.source.Next(now(), watchers, self)
		if !ok {
			break
		}
		s.setWatcher(watcher.VM)
		changes, revision, err := s.pollWatcher(ctx, watcher)
		if err == nil || ctx.Err() != nil {
			s.source.RecordAnswer(watcher.VM)
			return changes, revision, err
		}
		s.proxy.events.rateLimited("watcher_failed", "follow_watcher", string(watcher.VM), nil, err)
		if errors.Is(err, ErrCompacted) {
			// The watcher began to watch after this proxy's revision.
			break
		}
		silent := now().Sub(began) > pollSlack
		s.source.RecordFailure(now(), watcher.VM, silent)
		if silent {
			// A change may be overdue.
			break
		}
	}
	s.setWatcher("")
	if s.renewalFails.Load() || follows && !s.source.StoreDue(now()) {
		return nil, 0, errStorePaused
	}
	changes, revision, err := s.watchStore(ctx)
	if ctx.Err() == nil {
		s.source.RecordStore(now(), err == nil || errors.Is(err, ErrCompacted))
	}
	return changes, revision, err
}

// errStorePaused is returned while neither a watcher nor the store is to be asked.
var errStorePaused = errors.New("the watchers and the store failed recently")

// setWatcher records the source of the changes; an empty name means the store.
func (s *storeSync) setWatcher(watcher entity.VM) {
	if s.watcherName == watcher {
		return
	}
	s.watcherName = watcher
	s.proxy.watchLog.stop()
	s.proxy.events.watcherChanged(watcher)
}

func (s *storeSync) pollWatcher(ctx context.Context, watcher gateway.Proxy) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, pollWait+pollSlack)
	defer cancel()
	return s.proxy.options.Peers.Changes(ctx, watcher.StatusAddress, s.revision)
}

func (s *storeSync) watchStore(ctx context.Context) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	s.cancelWatch.Store(&cancel)
	defer s.cancelWatch.Store(nil)
	changes, revision, err := s.proxy.options.Store.Watch(ctx, s.revision, watchWait)
	if err != nil {
		s.proxy.watchLog.stop()
		return nil, 0, err
	}
	s.proxy.watchLog.append(s.revision, revision, changes)
	return changes, revision, nil
}
