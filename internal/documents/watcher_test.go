package documents

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/metastore"
)

// scriptedStore sends the events of the next element of watches in each watch and then
// breaks the watch. Watches beyond the last element send nothing until ctx ends.
type scriptedStore struct {
	metastore.Store
	watches [][]metastore.WatchEvent
	// starts are the times since begin at which the watches started.
	starts []time.Duration
	begin  time.Time
}

var errBroken = errors.New("stream broke")

func (s *scriptedStore) Watch(ctx context.Context, _ string, receive func(metastore.WatchEvent) error) error {
	s.starts = append(s.starts, time.Since(s.begin))
	if len(s.watches) == 0 {
		<-ctx.Done()
		return ctx.Err()
	}
	events := s.watches[0]
	s.watches = s.watches[1:]
	for _, event := range events {
		if err := receive(event); err != nil {
			return err
		}
	}
	return errBroken
}

// documentEvent returns the event of a valid document with the given max_queued.
func documentEvent(t *testing.T, service string, revision uint64, maxQueued int) metastore.WatchEvent {
	t.Helper()
	doc := testDocument(t, maxQueued)
	doc.Service = service
	raw, err := encodeDocument(doc)
	assert.NilError(t, err)
	value, err := encodeEnvelope(Edit{ID: "e", Raw: raw}, nil)
	assert.NilError(t, err)
	return metastore.WatchEvent{Entry: metastore.Entry{Key: Key(service), Value: value, Revision: revision}}
}

// Guards against documents that go back to a lower revision, are applied twice after an
// outage, or are lost because of an outage or an invalid document.
func TestWatcher(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		notJSON := metastore.WatchEvent{Entry: metastore.Entry{Key: Key("a"), Value: []byte("{"), Revision: 6}}
		invalid := metastore.WatchEvent{Entry: metastore.Entry{Key: Key("a"), Value: []byte(`{"edit_id": "e", "document": {"service": "a"}}`), Revision: 8}}
		wrongKey := documentEvent(t, "b", 9, 1)
		wrongKey.Entry.Key = Key("a")
		synced := metastore.WatchEvent{Synced: true}
		store := &scriptedStore{begin: time.Now(), watches: [][]metastore.WatchEvent{
			{documentEvent(t, "a", 5, 50), documentEvent(t, "b", 1, 10), synced, notJSON},
			{}, {}, {},
			{documentEvent(t, "a", 4, 40), documentEvent(t, "b", 1, 10), wrongKey, invalid, synced, documentEvent(t, "a", 7, 70)},
		}}
		var applied, reported []string
		syncedCount := 0
		watcher := &Watcher{
			Store: store,
			Sink: NewTable(func(d ActiveDocument) {
				applied = append(applied, fmt.Sprintf("%s@%d=%d", d.Service, d.Revision, d.Document.MaxQueued))
			}),
			OnError: func(err error) {
				var refused *RefusedError
				switch {
				case errors.As(err, &refused):
					reported = append(reported, fmt.Sprintf("%s@%d/%d", refused.Service, refused.Revision, refused.CurrentRevision))
				case errors.Is(err, errBroken):
					reported = append(reported, "broken")
				default:
					reported = append(reported, err.Error())
				}
			},
			OnSynced: func() { syncedCount++ },
			Backoff:  NewWatchBackoff(1),
		}
		ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
		defer cancel()
		assert.Assert(t, errors.Is(watcher.Run(ctx), context.DeadlineExceeded))
		assert.DeepEqual(t, applied, []string{"a@5=50", "b@1=10", "a@7=70"})
		assert.DeepEqual(t, reported, []string{"a@6/5", "broken", "broken", "broken", "broken", "a@4/5", "a@9/5", "a@8/5", "broken"})
		assert.Equal(t, syncedCount, 2)
		for i := 1; i < len(store.starts); i++ {
			wait := store.starts[i] - store.starts[i-1]
			assert.Assert(t, wait > 0 && wait <= 2*time.Second, "%v", wait)
		}
		table := watcher.Sink.(*Table)
		assert.Equal(t, table.Revision("a"), uint64(7))
		assert.Equal(t, table.Revision("b"), uint64(1))
		assert.Equal(t, table.Revision("c"), uint64(0))
		assert.ErrorContains(t, watcher.Sink.(*Table).Offer("a", 3, nil), "revision 7 stays in force: revision is lower")
	})
}
