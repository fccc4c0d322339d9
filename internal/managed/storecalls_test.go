package managed

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"
)

// conflictingStore refuses each write with the current revision of the key.
type conflictingStore struct {
	Store
	err  error
	gets int
}

func (s *conflictingStore) Put(_ context.Context, _ string, _ []byte, revision uint64, _ Lease) (uint64, error) {
	if revision == 7 {
		return 8, nil
	}
	return 0, s.err
}

func (s *conflictingStore) Get(context.Context, string) ([]byte, Revision, error) {
	s.gets++
	return nil, Revision{Number: 7}, nil
}

// Guards against a call to the store for a revision that the refusal has told.
func TestConflictTellsTheRevision(t *testing.T) {
	for _, c := range []struct {
		err  error
		gets int
	}{{&ConflictError{Revision: 7}, 0}, {ErrConflict, 1}} {
		store := &conflictingStore{err: c.err}
		assert.Assert(t, errors.Is(c.err, ErrConflict))
		revision, err := currentRevision(t.Context(), store, "vm/a", c.err)
		assert.NilError(t, err)
		assert.Equal(t, revision, uint64(7))
		assert.Equal(t, store.gets, c.gets)
	}
}

// Guards against calls to the store that the log does not account for.
func TestStoreCallsAreCounted(t *testing.T) {
	store := &countedStore{Store: &conflictingStore{err: ErrConflict}}
	assert.Assert(t, store.logFields() == nil)
	_, err := store.Put(t.Context(), "vm/a", nil, 1, Lease{})
	assert.ErrorIs(t, err, ErrConflict)
	_, _, err = store.Get(t.Context(), "vm/a")
	assert.NilError(t, err)
	fields := store.logFields()
	assert.Equal(t, fields["put"], uint64(1))
	assert.Equal(t, fields["get"], uint64(1))
	assert.Equal(t, fields["failed"], uint64(1))
	assert.Assert(t, store.logFields() == nil)
}
