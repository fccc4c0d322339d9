package managed

import (
	"context"
	"encoding/json"
	"errors"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// ChangesPath is where a proxy that watches the store serves the changes to the
// other proxies of its availability zone.
const ChangesPath = "/changes"

const (
	// sharedWait is how long a watcher holds a poll without changes, and
	// sharedSlack how much later its answer may come. A watcher that stops is
	// noticed within their sum, well within the time in which a configuration
	// takes force.
	sharedWait  = 1500 * time.Millisecond
	sharedSlack = 500 * time.Millisecond
	// shareRetry is the time for which a proxy watches the store itself after its
	// watcher failed; half of it is random.
	shareRetry = 8 * time.Second
)

// ChangesResponse is a watcher's answer.
type ChangesResponse struct {
	// Revision is that of the store up to which Entries are complete.
	Revision uint64 `json:"revision"`
	// Entries are the changed entries as the store sent them.
	Entries []json.RawMessage `json:"entries"`
}

// ServeChanges answers a proxy that follows this one.
func (p *Proxy) ServeChanges(w http.ResponseWriter, r *http.Request) {
	after, err := strconv.ParseUint(r.FormValue("after"), 10, 64)
	if err != nil {
		http.Error(w, "after is not a revision", http.StatusBadRequest)
		return
	}
	answer, err := p.watched.wait(r.Context(), after, sharedWait)
	switch {
	case errors.Is(err, ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that left gets no answer.
	_ = json.NewEncoder(w).Encode(answer)
}

// watcher returns the proxy that watches the store for this one, if any.
func (s *storeSync) watcher() (gateway.Proxy, bool) {
	p := s.proxy
	if p.options.Peers == nil || time.Now().Before(s.shareFrom) {
		return gateway.Proxy{}, false
	}
	self := p.self()
	p.mu.Lock()
	listed := slices.Collect(maps.Values(p.proxies.listed))
	p.mu.Unlock()
	return gateway.WatcherOf(gateway.Watchers(listed, self.AvailabilityZone), self.VM)
}

// next waits for changes: at the watcher of the availability zone, or at the store
// if this proxy is one or if its watcher fails.
func (s *storeSync) next(ctx context.Context) ([]Change, uint64, error) {
	watcher, ok := s.watcher()
	s.follows(watcher.VM)
	if ok {
		changes, revision, err := s.askWatcher(ctx, watcher)
		if err == nil || ctx.Err() != nil {
			return changes, revision, err
		}
		s.shareFrom = time.Now().Add(shareRetry/2 + rand.N(shareRetry/2))
		s.proxy.events.limited("watcher_failed", "follow_watcher", string(watcher.VM), nil, err)
	}
	s.follows("")
	return s.watchStore(ctx)
}

// follows notes where the changes come from: the store if there is no watcher.
func (s *storeSync) follows(watcher entity.VM) {
	if s.watcherName == watcher {
		return
	}
	s.watcherName = watcher
	s.proxy.watched.stop()
	s.proxy.events.following(watcher)
}

func (s *storeSync) askWatcher(ctx context.Context, watcher gateway.Proxy) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, sharedWait+sharedSlack)
	defer cancel()
	s.watching.Store(&cancel)
	return s.proxy.options.Peers.Changes(ctx, watcher.StatusAddress, s.revision)
}

func (s *storeSync) watchStore(ctx context.Context) ([]Change, uint64, error) {
	ctx, cancel := context.WithTimeout(ctx, watchWait+watchSlack)
	defer cancel()
	s.watching.Store(&cancel)
	changes, revision, err := s.proxy.options.Store.Watch(ctx, s.revision, watchWait)
	if err != nil {
		s.proxy.watched.stop()
		return nil, 0, err
	}
	s.proxy.watched.append(s.revision, revision, changes)
	return changes, revision, nil
}
