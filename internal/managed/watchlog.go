package managed

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/revocation"
)

const (
	// maxContactAge is the maximum age of a watcher's last contact with the store. Beyond
	// it, the watcher refuses to serve changes. Its lease renewals every vmRenewal count as
	// contacts.
	maxContactAge = 2500 * time.Millisecond
	// maxLogEntries and maxLogBytes bound the changes kept in memory.
	maxLogEntries = 1000
	maxLogBytes   = 4 << 20
)

// watchLog keeps the most recent change of each changed entry of the store, while this proxy
// watches the store, for proxies that poll it. It is safe for concurrent use.
type watchLog struct {
	mu sync.Mutex
	// watching is set while this proxy reads changes directly from the store.
	watching bool
	// completeAfter is the revision number after which entries are complete; lastRevision is
	// the revision up to which the store has been read. Both are of the same epoch.
	completeAfter uint64
	lastRevision  Revision
	entries       []Change
	bytes         int
	lastContact   entity.Time
	// confirmation is the instant up to which the log is known to be complete. It differs
	// from the age of the proxy's configuration, which other proxies can confirm as well.
	confirmation revocation.Clock
	// changed is closed when the next change arrives or the log stops.
	changed chan struct{}
}

func newWatchLog() *watchLog { return &watchLog{changed: make(chan struct{})} }

// stop marks the log as no longer updated from the store, and wakes waiting polls.
func (l *watchLog) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.watching = false
	l.wakePolls()
}

// wakePolls wakes the waiting polls. The mutex is held.
func (l *watchLog) wakePolls() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// append adds the changes of a watch that was sent at the given time and covered the
// revisions from (exclusive) to to (inclusive). After a gap the log starts anew.
func (l *watchLog) append(from, to Revision, changes []Change, sent entity.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.watching || l.lastRevision != from {
		l.completeAfter, l.entries, l.bytes = from.Number, nil, 0
	}
	l.watching, l.lastRevision, l.lastContact = true, to, now()
	l.confirmation.Confirm(sent, 0)
	for i := range changes {
		l.removeEarlier(&changes[i])
		l.entries = append(l.entries, changes[i])
		l.bytes += len(changes[i].Source)
	}
	for len(l.entries) > maxLogEntries || l.bytes > maxLogBytes {
		l.completeAfter = l.entries[0].Revision
		l.bytes -= len(l.entries[0].Source)
		l.entries = l.entries[1:]
	}
	if len(changes) > 0 {
		l.wakePolls()
	}
}

// removeEarlier removes the earlier change of an entry. A change holds the whole entry, so the
// last one of each is enough: several versions of a large configuration in one answer would
// take the links of small VMs for seconds. The mutex is held.
func (l *watchLog) removeEarlier(change *Change) {
	i := slices.IndexFunc(l.entries, func(c Change) bool { return c.sameEntry(change) })
	if i >= 0 {
		l.bytes -= len(l.entries[i].Source)
		l.entries = slices.Delete(l.entries, i, i+1)
	}
}

// recordContact records that the store answered a call other than a watch.
func (l *watchLog) recordContact() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lastContact = now()
}

// errNotWatching is returned while the log may be out of date.
var errNotWatching = errors.New("the proxy does not watch the store")

// changesSince returns the changes after a revision. If there are none it also returns a
// channel that is closed when the next one arrives. It returns no changes and no channel if
// the revision is of another epoch than the log; a revision without epoch is of any. Without
// withDocument a changed configuration is left out, unless it could not be decoded: a follower of
// another version may be able to.
func (l *watchLog) changesSince(after Revision, withDocument bool) (ChangesResponse, <-chan struct{}, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.watching || now().Sub(l.lastContact) > maxContactAge {
		return ChangesResponse{}, nil, errNotWatching
	}
	answer := ChangesResponse{
		Revision: l.lastRevision.Number, Epoch: l.lastRevision.Epoch, Entries: []json.RawMessage{}, Age: ageMillis(l.confirmation.Age(now())),
	}
	switch {
	case after.Epoch != 0 && after.Epoch != answer.Epoch:
		return answer, nil, nil
	case after.Number < l.completeAfter:
		return ChangesResponse{}, nil, ErrCompacted
	}
	changed := false
	for i := range l.entries {
		c := &l.entries[i]
		if c.Revision <= after.Number {
			continue
		}
		changed = true
		if c.Document == nil || withDocument {
			answer.Entries = append(answer.Entries, c.Source)
		}
	}
	if changed {
		return answer, nil, nil
	}
	return answer, l.changed, nil
}

// waitForChanges returns the answer to a poll: what changesSince returns, after waiting for the
// first change.
func (l *watchLog) waitForChanges(ctx context.Context, q Poll) (ChangesResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, q.Wait)
	defer cancel()
	for {
		answer, changed, err := l.changesSince(q.After, q.WithDocument)
		if err != nil || changed == nil {
			return answer, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			// The last contact with the store may have become too old in the meantime.
			answer, _, err = l.changesSince(q.After, q.WithDocument)
			return answer, err
		}
	}
}
