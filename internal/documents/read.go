package documents

import (
	"context"
	"errors"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/metastore"
)

// ErrNotFound means that the store has no document of the service.
var ErrNotFound = errors.New("service has no document")

// Get returns the revision in force. Its errors are those of History.
func Get(ctx context.Context, store metastore.Store, service string) (Revision, error) {
	revisions, err := History(ctx, store, service)
	if err != nil {
		return Revision{}, err
	}
	return revisions[0], nil
}

// History returns the revision in force and the earlier ones that are kept, newest first.
// It returns an error that matches ErrNotFound if there is none.
func History(ctx context.Context, store metastore.Store, service string) ([]Revision, error) {
	entry, err := store.Get(ctx, Key(service))
	if err != nil {
		return nil, err
	}
	revisions, err := decodeRevisions(entry)
	if err == nil && len(revisions) == 0 {
		err = ErrNotFound
	}
	if err != nil {
		return nil, errorBuilder("read", service).Wrap(err)
	}
	return revisions, nil
}

func errorBuilder(step, service string) oops.OopsErrorBuilder {
	return oops.In("documents").With("step", step, "service", service)
}
