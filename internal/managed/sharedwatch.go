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
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// ChangesPath is where a proxy that watches the store serves the changes to the
// other proxies of its availability zone.
const ChangesPath = "/changes"

const (
	// sharedWait is how long a watcher holds a question without changes, and
	// sharedSlack how much later its answer may come. A watcher that stops is
	// noticed within their sum, well within the time in which a configuration
	// takes force.
	sharedWait  = 1500 * time.Millisecond
	sharedSlack = 500 * time.Millisecond
	// contactLimit is the age of a watcher's last contact with the store from which
	// it no longer speaks for it. Renewals of its lease come every vmRenewal.
	contactLimit = 2500 * time.Millisecond
	// shareRetry is the time for which a proxy watches the store itself after its
	// watcher failed; half of it is random.
	shareRetry = 8 * time.Second
	// maxLogEntries and maxLogBytes bound the changes that a watcher keeps.
	maxLogEntries = 1000
	maxLogBytes   = 4 << 20
)

// SharedChanges is a watcher's answer.
type SharedChanges struct {
	// Revision is that of the store up to which Entries are complete.
	Revision uint64 `json:"revision"`
	// Entries are the changed entries as the store sent them.
	Entries []json.RawMessage `json:"entries"`
}

// watchLog keeps the newest changes of the store while this proxy watches it. It is
// safe for concurrent use.
type watchLog struct {
	mu sync.Mutex
	// watching is set while the changes come from the store itself.
	watching bool
	// first is the revision after which entries are complete, last that of the
	// newest change.
	first, last uint64
	entries     []Change
	bytes       int
	contact     entity.Time
	// changed is closed by the next change.
	changed chan struct{}
}

func newWatchLog() *watchLog { return &watchLog{changed: make(chan struct{})} }

// stop ends the log, since the changes no longer come from the store.
func (l *watchLog) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watching = false
	l.wake()
}

// wake ends the waits of questions. The mutex is held.
func (l *watchLog) wake() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// append adds the changes of a watch that went from a revision to another one.
func (l *watchLog) append(from, to uint64, changes []Change) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.watching || l.last != from {
		l.first, l.entries, l.bytes = from, nil, 0
	}
	l.watching, l.last, l.contact = true, to, now()
	for i := range changes {
		l.entries = append(l.entries, changes[i])
		l.bytes += len(changes[i].Source)
	}
	for len(l.entries) > maxLogEntries || l.bytes > maxLogBytes {
		l.first = l.entries[0].Revision
		l.bytes -= len(l.entries[0].Source)
		l.entries = l.entries[1:]
	}
	if len(changes) > 0 {
		l.wake()
	}
}

// touch notes that the store answered another call.
func (l *watchLog) touch() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.contact = now()
}

// errNotWatching is the answer of a proxy that can't speak for the store.
var errNotWatching = errors.New("the proxy does not watch the store")

// since returns the changes after a revision. With none, it returns a channel that
// is closed by the next one.
func (l *watchLog) since(after uint64) (SharedChanges, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.watching || now().Sub(l.contact) > contactLimit:
		return SharedChanges{}, nil, errNotWatching
	case after < l.first:
		return SharedChanges{}, nil, ErrHistoryGone
	}
	answer := SharedChanges{Revision: max(after, l.last), Entries: []json.RawMessage{}}
	for i := range l.entries {
		if l.entries[i].Revision > after {
			answer.Entries = append(answer.Entries, l.entries[i].Source)
		}
	}
	if len(answer.Entries) > 0 {
		return answer, nil, nil
	}
	return answer, l.changed, nil
}

// wait returns the changes after a revision, once there is one or the time is over.
func (l *watchLog) wait(ctx context.Context, after uint64, limit time.Duration) (SharedChanges, error) {
	ctx, cancel := context.WithTimeout(ctx, limit)
	defer cancel()
	for {
		answer, changed, err := l.since(after)
		if err != nil || changed == nil {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// The contact can have aged meanwhile.
			answer, _, err = l.since(after)
			return answer, err
		}
	}
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
	case errors.Is(err, ErrHistoryGone):
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
