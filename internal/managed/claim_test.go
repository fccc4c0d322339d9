package managed

import (
	"context"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// epochStore grants leases of an epoch and counts the writes of keys.
type epochStore struct {
	Store
	epoch, writes uint64
}

func (s *epochStore) Epoch() uint64 { return s.epoch }

func (s *epochStore) GrantLease(context.Context, time.Duration) (Lease, error) {
	return Lease{Epoch: s.epoch, ID: 1}, nil
}

func (s *epochStore) RevokeLease(context.Context, Lease) error { return nil }

func (s *epochStore) Put(context.Context, string, []byte, uint64, Lease) (uint64, error) {
	s.writes++
	return 20, nil
}

// newClaimTest returns a proxy that listed the given epoch of the store listedFor ago.
func newClaimTest(store *epochStore, epoch uint64, listedFor time.Duration) (*Proxy, *database) {
	p := newTestProxy(nil)
	p.options.Store = store
	p.storeEpoch.Store(&epochStart{epoch: epoch, at: now().Add(-listedFor)})
	p.mu.Lock()
	defer p.mu.Unlock()
	return p, p.databaseLocked("shop")
}

// Guards against a claim acquired while another proxy still uses one that a restore of the
// store lost, or by a proxy that has not read the restored store.
func TestClaimsWaitAfterARestore(t *testing.T) {
	for _, c := range []struct {
		listed    uint64
		listedFor time.Duration
		acquired  bool
	}{{2, claimTTL / 2, false}, {2, 2 * claimTTL, true}, {1, 2 * claimTTL, false}} {
		store := &epochStore{epoch: 2}
		p, d := newClaimTest(store, c.listed, c.listedFor)
		_, err := p.claimTakeover(d)
		assert.Equal(t, err == nil, c.acquired, "epoch %d, listed %v ago: %v", c.listed, c.listedFor, err)
		assert.Equal(t, store.writes > 0, c.acquired)
	}
}

// Guards against a claim whose lease ended with an epoch of the store and that blocks
// takeovers for good.
func TestClaimOfAnEarlierEpochIsNotHeld(t *testing.T) {
	for epoch, acquired := range map[uint64]bool{0: false, 1: true, 2: false} {
		p, d := newClaimTest(&epochStore{epoch: 2}, 2, 2*claimTTL)
		d.applyClaim(fmt.Appendf(nil, `{"holder":"other","epoch":%d}`, epoch), Revision{2, 10}, false)
		_, err := p.claimTakeover(d)
		assert.Equal(t, err == nil, acquired, "epoch %d: %v", epoch, err)
	}
}

// Guards against fencing tokens that go back or repeat after a restore of the store.
func TestFencingTokensIncreaseAcrossEpochs(t *testing.T) {
	revisions := []Revision{{0, 9}, {0, 10}, {1, 3}, {1, 1 << 30}, {2, 1}, {2, 2}}
	for i, r := range revisions[1:] {
		assert.Assert(t, r.FencingToken() > revisions[i].FencingToken(), "%v after %v", r, revisions[i])
	}
}
