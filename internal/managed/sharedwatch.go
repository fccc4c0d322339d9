package managed

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
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
	// additional time in which its answer must begin. A watcher that stops is detected within their
	// sum, well within the time in which a configuration must take effect.
	pollWait  = 1500 * time.Millisecond
	pollSlack = 500 * time.Millisecond
)

// ChangesResponse is the response body of ChangesPath.
type ChangesResponse struct {
	// Revision is the store revision up to which Entries are complete, Epoch its epoch.
	Revision uint64 `json:"revision"`
	Epoch    uint64 `json:"epoch,omitempty"`
	// Entries are the changed entries as received from the store.
	Entries []json.RawMessage `json:"entries"`
	// DocumentVersion is the version of the configuration in effect, if the poll says which one
	// the follower has. Entries do not contain the configuration then.
	DocumentVersion uint64 `json:"document_version,omitempty"`
	// Age is the time in milliseconds from the instant up to which Entries are complete to
	// the answer. It is nil in answers of proxies that do not know the field.
	Age *int64 `json:"age_ms,omitempty"`
}

// ageMillis returns an age in milliseconds, rounded up.
func ageMillis(age time.Duration) *int64 {
	count := int64((age-1)/time.Millisecond) + 1
	return &count
}

// readPoll decodes the parameters after, epoch, have and wait_ms. The last three are
// optional: proxies of earlier versions do not send all of them.
func readPoll(r *http.Request) (Poll, error) {
	q := Poll{Wait: pollWait, WithDocument: true}
	var err error
	if q.After.Number, err = strconv.ParseUint(r.FormValue("after"), 10, 64); err != nil {
		return Poll{}, errors.New("after is not a revision")
	}
	if text := r.FormValue("epoch"); text != "" {
		if q.After.Epoch, err = strconv.ParseUint(text, 10, 64); err != nil {
			return Poll{}, errors.New("epoch is not a number")
		}
	}
	if text := r.FormValue("have"); text != "" {
		q.WithDocument = false
		if q.Have, err = strconv.ParseUint(text, 10, 64); err != nil {
			return Poll{}, errors.New("have is not a version")
		}
	}
	if text := r.FormValue("wait_ms"); text != "" {
		count, err := strconv.ParseUint(text, 10, 32)
		if err != nil {
			return Poll{}, errors.New("wait_ms is not a number")
		}
		q.Wait = min(q.Wait, time.Duration(count)*time.Millisecond)
	}
	return q, nil
}

// ServeChanges answers a poll of another proxy. It waits for a change, up to the time in
// the parameter wait_ms but at most pollWait, which is also the default. It answers at once
// if the parameter epoch is not that of its own revision, or if it has a later configuration
// than the parameter have says. The follower fetches that at DocumentPath, where it is compressed,
// and does not wait for it to apply the other changes.
func (p *Proxy) ServeChanges(w http.ResponseWriter, r *http.Request) {
	q, err := readPoll(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if !q.WithDocument && q.Have < p.document().Version {
		q.Wait = 0
	}
	answer, err := p.watchLog.waitForChanges(r.Context(), q)
	switch {
	case errors.Is(err, ErrCompacted):
		http.Error(w, err.Error(), http.StatusGone)
		return
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
		return
	}
	if !q.WithDocument {
		// The configuration is read after the log, so it includes what the log shows.
		answer.DocumentVersion = p.document().Version
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

// update is an answer with the changes since the proxy's revision.
type update struct {
	changes  []Change
	revision Revision
	// documentVersion is the version of the configuration that has to be fetched from watcher
	// unless this proxy has it, 0 if there is none.
	documentVersion uint64
	watcher         gateway.Proxy
	// sent is when the question was sent, age the age of the answer's confirmation: 0 for
	// the store.
	sent entity.Time
	age  time.Duration
}

// nextChanges waits for changes from a watcher. It reads from the store if there is no
// watcher or if the watchers fail.
func (s *storeSync) nextChanges(ctx context.Context) (update, error) {
	began := now()
	watchers, self := s.watchers(), s.proxy.self().VM
	_, follows := gateway.WatcherOf(watchers, self)
	for {
		watcher, ok := s.source.Next(now(), watchers, self)
		if !ok {
			break
		}
		s.setWatcher(watcher.VM)
		u, err := s.pollWatcher(ctx, watcher)
		if err == nil || ctx.Err() != nil || errors.Is(err, ErrRestored) {
			s.source.RecordAnswer(watcher.VM)
			return u, err
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
	if s.proxy.renewalFails.Load() || follows && !s.source.StoreDue(now()) {
		return update{}, errStorePaused
	}
	u, err := s.watchStore(ctx)
	if ctx.Err() == nil {
		s.source.RecordStore(now(), err == nil || errors.Is(err, ErrCompacted))
	}
	return u, err
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

// errEarlierEpoch is returned for the answer of a watcher that has not noticed yet that the
// store was restored.
var errEarlierEpoch = errors.New("the watcher has not read the restored store")

// pollWatcher waits for changes from a watcher. It returns ErrRestored if the watcher reads a
// later epoch of the store than this proxy.
func (s *storeSync) pollWatcher(ctx context.Context, watcher gateway.Proxy) (update, error) {
	sent := now()
	wait := s.waitForPoll(sent)
	ctx, cancel := withAnswerWait(ctx, wait+pollSlack, nil)
	defer cancel()
	answer, err := s.proxy.options.Peers.Changes(ctx, watcher.StatusAddress, Poll{
		After: s.revision, Have: s.proxy.document().Version, Wait: wait,
		// If this proxy could not decode a configuration, fetching it again would not help.
		WithDocument: s.refusedRevision != 0,
	})
	if err != nil {
		return update{}, err
	}
	read := answer.Revision.Epoch
	switch {
	case read == 0 || read == s.revision.Epoch:
		answer.Revision.Epoch = s.revision.Epoch
	case read > s.revision.Epoch:
		return update{}, ErrRestored
	default:
		return update{}, errEarlierEpoch
	}
	if answer.Revision.Number < s.revision.Number {
		s.proxy.events.watcherBehind(watcher.VM, s.revision, answer.Revision)
		answer.Revision.Number = s.revision.Number
	}
	return update{
		changes: answer.Changes, revision: answer.Revision, sent: sent, age: answer.Age,
		documentVersion: answer.DocumentVersion, watcher: watcher,
	}, nil
}

// fetchDocument fetches the configuration that an update announces, unless this proxy has it.
func (s *storeSync) fetchDocument(ctx context.Context, u *update) error {
	p := s.proxy
	have := p.document().Version
	if u.documentVersion <= have {
		return nil
	}
	ctx, cancel := withAnswerWait(ctx, pollWait+pollSlack, nil)
	defer cancel()
	answer, err := p.options.Peers.Document(ctx, u.watcher.StatusAddress, have)
	if err != nil {
		return err
	}
	if answer.Document != nil {
		p.setDocument(answer.Document)
	}
	if version := p.document().Version; version < u.documentVersion {
		return fmt.Errorf("watcher announced version %d of the configuration and served %d", u.documentVersion, version)
	}
	return nil
}

func (s *storeSync) watchStore(ctx context.Context) (update, error) {
	sent := now()
	wait := s.waitForWatch(sent)
	// A long answer that is arriving shows that the store can be reached.
	ctx, cancel := withAnswerWait(ctx, wait+watchSlack, s.proxy.watchLog.recordContact)
	defer cancel()
	s.cancelWatch.Store(&cancel)
	defer s.cancelWatch.Store(nil)
	changes, revision, err := s.proxy.options.Store.Watch(ctx, s.revision, wait)
	if err != nil {
		s.proxy.watchLog.stop()
		return update{}, err
	}
	s.endedByChange = len(changes) > 0
	return update{changes: changes, revision: revision, sent: sent}, nil
}
