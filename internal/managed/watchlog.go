package managed

import (
	"context"
	"encoding/json"
	"errors"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// contactLimit is the age of a watcher's last contact with the store from which
	// it no longer speaks for it. Renewals of its lease come every vmRenewal.
	contactLimit = 2500 * time.Millisecond
	// maxLogEntries and maxLogBytes bound the changes that a watcher keeps.
	maxLogEntries = 1000
	maxLogBytes   = 4 << 20
)

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

// wake wakes the polls that wait. The mutex is held.
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
func (l *watchLog) since(after uint64) (ChangesResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case !l.watching || now().Sub(l.contact) > contactLimit:
		return ChangesResponse{}, nil, errNotWatching
	case after < l.first:
		return ChangesResponse{}, nil, ErrCompacted
	}
	answer := ChangesResponse{Revision: max(after, l.last), Entries: []json.RawMessage{}}
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
func (l *watchLog) wait(ctx context.Context, after uint64, limit time.Duration) (ChangesResponse, error) {
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
