package managed

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func changesAt(revisions ...uint64) []Change {
	var out []Change
	for _, r := range revisions {
		out = append(out, Change{Revision: r, Key: fmt.Sprint(r), Source: []byte("{}")})
	}
	return out
}

// revision returns a revision of the first epoch.
func revision(number uint64) Revision { return Revision{Epoch: 1, Number: number} }

// Guards against an answer that omits changes without an error: from before the log began,
// from a gap, or beyond the size limit.
func TestWatchLogIsComplete(t *testing.T) {
	l := newWatchLog()
	_, _, err := l.changesSince(revision(0), true)
	assert.Assert(t, errors.Is(err, errNotWatching))

	l.append(revision(10), revision(12), changesAt(11, 12), now())
	answer, _, err := l.changesSince(revision(10), true)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Entries), 2)
	assert.Equal(t, answer.Revision, uint64(12))
	answer, _, err = l.changesSince(revision(11), true)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Entries), 1)
	_, _, err = l.changesSince(revision(9), true)
	assert.Assert(t, errors.Is(err, ErrCompacted))
	answer, changed, err := l.changesSince(revision(20), true) // a follower that is ahead
	assert.NilError(t, err)
	assert.Assert(t, changed != nil)
	assert.Equal(t, answer.Revision, uint64(12))

	l.append(revision(15), revision(16), changesAt(16), now())
	_, _, err = l.changesSince(revision(12), true)
	assert.Assert(t, errors.Is(err, ErrCompacted))

	for r := uint64(16); r < 16+2*maxLogEntries; r++ {
		l.append(revision(r), revision(r+1), changesAt(r+1), now())
	}
	assert.Equal(t, len(l.entries), maxLogEntries)
	_, _, err = l.changesSince(revision(16), true)
	assert.Assert(t, errors.Is(err, ErrCompacted))
	answer, _, err = l.changesSince(revision(l.completeAfter), true)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Entries), maxLogEntries)
}

// Guards against answers with versions of a configuration that have been replaced, and against
// a log that they fill.
func TestWatchLogKeepsTheLastChangeOfAnEntry(t *testing.T) {
	l := newWatchLog()
	large := make([]byte, maxLogBytes/2)
	for r := uint64(10); r < 20; r += 2 {
		l.append(revision(r), revision(r+2), []Change{
			{Revision: r + 1, Document: &Document{Version: r}, Source: large},
			{Revision: r + 2, MemberName: "db-1", Source: []byte("{}"), Removed: r%4 == 0},
		}, now())
	}
	answer, _, err := l.changesSince(revision(10), true)
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Entries), 2)
	assert.Equal(t, answer.Revision, uint64(20))
	assert.Equal(t, l.bytes, len(large)+len("{}"))
}

// Guards against a watcher that keeps answering although it lost the store or reads from
// another proxy itself, and against a waiting poll that does not notice either.
func TestWatchLogEnds(t *testing.T) {
	l := newWatchLog()
	l.append(revision(1), revision(2), changesAt(2), now())
	l.lastContact = now().Add(-maxContactAge - time.Millisecond)
	_, _, err := l.changesSince(revision(1), true)
	assert.Assert(t, errors.Is(err, errNotWatching))
	l.recordContact()
	_, _, err = l.changesSince(revision(1), true)
	assert.NilError(t, err)

	ended := make(chan error, 1)
	go func() {
		_, err := l.waitForChanges(context.Background(), Poll{After: revision(2), Wait: time.Minute})
		ended <- err
	}()
	time.Sleep(20 * time.Millisecond)
	l.stop()
	assert.Assert(t, errors.Is(<-ended, errNotWatching))
}

// Guards against a poll that is answered only when its wait expires.
func TestWatchLogWakes(t *testing.T) {
	l := newWatchLog()
	l.append(revision(1), revision(2), changesAt(2), now())
	began := time.Now()
	go func() {
		time.Sleep(20 * time.Millisecond)
		l.append(revision(2), revision(3), changesAt(3), now())
	}()
	answer, err := l.waitForChanges(context.Background(), Poll{After: revision(2), Wait: time.Minute})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Entries), 1)
	assert.Assert(t, time.Since(began) < 10*time.Second)
	answer, err = l.waitForChanges(context.Background(), Poll{After: revision(3), Wait: 10 * time.Millisecond})
	assert.NilError(t, err)
	assert.Equal(t, len(answer.Entries), 0)
}
