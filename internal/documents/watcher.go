package documents

import (
	"context"
	"time"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/metastore"
)

// Sink receives the documents of the store.
type Sink interface {
	// Offer receives one value. It returns an error if it refuses the value.
	Offer(service string, revision uint64, value []byte) error
}

// Watcher passes the documents of the store and their changes to a sink, such as a *Table.
type Watcher struct {
	Store metastore.Store
	Sink  Sink
	// OnError is called with the errors of broken watches and with the errors of Sink,
	// which are *RefusedError for a *Table.
	OnError func(error)
	// OnSynced is called when all documents of the store were received, at the start
	// and after each outage of the store. It may be nil.
	OnSynced func()
	// Backoff computes the waits before a broken watch is started again.
	Backoff *metastore.Backoff
}

// NewWatchBackoff returns the backoff of the daemon's watcher. Its waits of up to 2 s
// leave time for a document to be in force within 5 s after an outage of the store.
func NewWatchBackoff(seed uint64) *metastore.Backoff {
	return metastore.NewBackoff(100*time.Millisecond, 2*time.Second, seed)
}

// Run watches the store until ctx ends and returns the error of ctx. Each new watch starts
// with all documents of the store, so changes during an outage are not missed.
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
