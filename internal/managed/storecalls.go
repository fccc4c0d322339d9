package managed

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

// storeCall is a type of call to the store.
type storeCall int

const (
	callList storeCall = iota
	callWatch
	callPut
	callGet
	callGrantLease
	callRenewLease
	callRevokeLease
	storeCallTypes
)

var storeCallNames = [storeCallTypes]string{"list", "watch", "put", "get", "grant_lease", "renew_lease", "revoke_lease"}

// countedStore counts the calls to a store. The platform limits and bills them, so a
// regular log line shows what a proxy spends them on.
type countedStore struct {
	Store
	calls  [storeCallTypes]atomic.Uint64
	failed atomic.Uint64
}

func (s *countedStore) count(call storeCall, err error) {
	s.calls[call].Add(1)
	if err != nil {
		s.failed.Add(1)
	}
}

// logFields returns the calls since the last time by type, nil if there were none.
func (s *countedStore) logFields() logrus.Fields {
	var fields logrus.Fields
	for i := range s.calls {
		if n := s.calls[i].Swap(0); n > 0 {
			if fields == nil {
				fields = logrus.Fields{"failed": s.failed.Swap(0)}
			}
			fields[storeCallNames[i]] = n
		}
	}
	return fields
}

func (s *countedStore) List(ctx context.Context) ([]Change, Revision, error) {
	changes, revision, err := s.Store.List(ctx)
	s.count(callList, err)
	return changes, revision, err
}

func (s *countedStore) Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error) {
	changes, revision, err := s.Store.Watch(ctx, after, wait)
	s.count(callWatch, err)
	return changes, revision, err
}

func (s *countedStore) Put(ctx context.Context, key string, value []byte, revision uint64, lease Lease) (uint64, error) {
	written, err := s.Store.Put(ctx, key, value, revision, lease)
	s.count(callPut, err)
	return written, err
}

func (s *countedStore) Get(ctx context.Context, key string) ([]byte, Revision, error) {
	value, revision, err := s.Store.Get(ctx, key)
	s.count(callGet, err)
	return value, revision, err
}

func (s *countedStore) GrantLease(ctx context.Context, ttl time.Duration) (Lease, error) {
	lease, err := s.Store.GrantLease(ctx, ttl)
	s.count(callGrantLease, err)
	return lease, err
}

func (s *countedStore) RenewLease(ctx context.Context, lease Lease) error {
	err := s.Store.RenewLease(ctx, lease)
	s.count(callRenewLease, err)
	return err
}

func (s *countedStore) RevokeLease(ctx context.Context, lease Lease) error {
	err := s.Store.RevokeLease(ctx, lease)
	s.count(callRevokeLease, err)
	return err
}
