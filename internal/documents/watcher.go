package documents

import (
	"context"
	"time"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/metastore"
)

// Sink takes the store's documents. Offer returns an error if it refuses one.
type Sink interface {
	Offer(service string, revision uint64, value []byte) error
}

// Watcher feeds the store's documents to a sink, such as a *Table.
type Watcher struct {
	Store metastore.Store
	Sink  Sink
	// OnError gets outages of the store and the *RefusedError of refused values.
	OnError func(error)
	// Current is called when all documents of the store were received, after
	// the start and after each outage. It may be nil.
	OnSynced func()
	// Backoff gives the waits between attempts.
	Backoff *metastore.Backoff
}

// NewWatchBackoff returns the waits of the daemon's watcher. With up to 2 s a
// document is in force within 5 s after an outage.
func NewWatchBackoff(seed uint64) *metastore.Backoff {
	return metastore.NewBackoff(100*time.Millisecond, 2*time.Second, seed)
}

// Run watches until ctx ends and returns its error. Each new watch starts with
// all documents of the store, so nothing is missed during an outage.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		err := w.Store.Watch(ctx, KeyPrefix, w.receive)
		if ctx.Err() != nil {
			return ctx.Err()
		}
		w.OnError(oops.In("documents").With("step", "watch").Wrap(err))
		if !sleep(ctx, w.Backoff.Next()) {
			return ctx.Err()
		}
	}
}

func (w *Watcher) receive(event metastore.WatchEvent) error {
	service, isDocument := serviceFromKey(event.Entry.Key)
	if isDocument && event.Entry.Revision > 0 {
		if err := w.Sink.Offer(service, event.Entry.Revision, event.Entry.Value); err != nil {
			w.OnError(err)
		}
	}
	if event.Synced {
		w.Backoff.Reset()
		if w.OnSynced != nil {
			w.OnSynced()
		}
	}
	return nil
}
