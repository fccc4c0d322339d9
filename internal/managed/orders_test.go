package managed

import (
	"context"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against an order that is taken for over while the platform may still carry it out.
func TestOrdersStayOpenUntilTheyCanHaveNoEffect(t *testing.T) {
	open := func(l *orderLog, want ...entity.Upstream) {
		t.Helper()
		assert.Assert(t, slices.Equal(l.targets(), want), "%v", l.targets())
	}
	at := entity.Time(1)
	var l orderLog
	l.inherit([]entity.Upstream{"a"})
	l.expire(at.Add(2 * newPrimaryTimeout))
	open(&l, "a")
	l.add("b")
	l.acceptedLast(at)
	l.add("c")
	l.expire(at.Add(newPrimaryTimeout - 1))
	open(&l, "a", "b", "c")
	l.expire(at.Add(newPrimaryTimeout))
	open(&l, "c")
	l.add("d")
	l.refused()
	open(&l, "c")
	// The order for c is older than the others, that for d is not.
	l.add("d")
	l.leads("d")
	open(&l, "c", "d")
	l.leads("c")
	open(&l, "d")
	l.add("c")
	l.add("d")
	open(&l, "c", "d")
}

// Guards against an open order that is forgotten since a restored store does not list it.
func TestRestoredStoreForgetsNoOpenOrder(t *testing.T) {
	d := newDirectoryTest()
	d.applyOrders([]byte(`{"epoch":1,"claim":5,"targets":["a"]}`), Revision{1, 20}, false)
	d.applyOrders([]byte(`{"epoch":1,"claim":3,"targets":[],"concluded":true}`), Revision{2, 10}, false)
	restored := d.openOrders()
	assert.DeepEqual(t, restored.Targets, []entity.Upstream{"a"})
	assert.Assert(t, !restored.complete() && !restored.concludes(Revision{2, 3}))
	d.applyOrders([]byte(`{"epoch":2,"claim":11,"targets":[],"concluded":true}`), Revision{2, 12}, false)
	settled := d.openOrders()
	assert.Equal(t, len(settled.Targets), 0)
	assert.Assert(t, settled.complete() && settled.concludes(Revision{2, 11}))
}

// Guards against commits that are reported on the primary's word alone although another proxy has
// announced a takeover, and against takeovers that stay open after the store has told of their end.
func TestAnnouncedTakeoverIsOpenUntilItsEnd(t *testing.T) {
	open := func(d *database) Revision {
		d.mu.Lock()
		defer d.mu.Unlock()
		return d.openClaim()
	}
	for _, end := range []func(*database){
		func(d *database) { d.applyClaim(nil, Revision{2, 20}, true) },
		// A restored store may hold the claim of an earlier epoch.
		func(d *database) { d.applyClaim([]byte(`{"holder":"a","epoch":2}`), Revision{3, 9}, false) },
		func(d *database) {
			d.applyOrders([]byte(`{"epoch":2,"claim":15,"targets":[],"concluded":true}`), Revision{2, 20}, false)
		},
		func(d *database) { d.announcedUntil = now() },
	} {
		d := newDirectoryTest()
		d.applyClaim(nil, Revision{2, 10}, true)
		d.applyAnnouncement(Announcement{Epoch: 2, Claim: 15})
		assert.Equal(t, open(d), Revision{2, 15})
		end(d)
		assert.Equal(t, open(d), Revision{})
	}
	d := newDirectoryTest()
	d.applyClaim(nil, Revision{2, 20}, true)
	d.applyAnnouncement(Announcement{Epoch: 2, Claim: 15})
	assert.Equal(t, open(d), Revision{})
}

// conditionalStore holds one key. Leases have ended.
type conditionalStore struct {
	Store
	number uint64
	value  string
}

func (s *conditionalStore) Epoch() uint64 { return 2 }

func (s *conditionalStore) RenewLease(context.Context, Lease) error { return ErrLeaseExpired }

func (s *conditionalStore) RevokeLease(context.Context, Lease) error { return nil }

func (s *conditionalStore) Put(_ context.Context, _ string, value []byte, revision uint64, _ Lease) (uint64, error) {
	if revision != s.number {
		return 0, ErrConflict
	}
	s.number++
	s.value = string(value)
	return s.number, nil
}

// Guards against a holder that was suspended and forgets the orders of the next holder, which the
// watch has told of meanwhile.
func TestSuspendedHolderKeepsTheOrdersOfTheNext(t *testing.T) {
	for name, resume := range map[string]func(*takeoverRun){
		"conclude": func(r *takeoverRun) { r.ordered = true; r.conclude("promoted") },
		"order":    func(r *takeoverRun) { assert.Equal(t, r.order("z", nil), orderRefused) },
		"give up":  func(r *takeoverRun) { r.orders = orderLog{}; r.giveUp() },
	} {
		t.Run(name, func(t *testing.T) {
			d := newDirectoryTest()
			d.applyOrders([]byte(`{"epoch":2,"claim":10,"targets":["x"]}`), Revision{2, 12}, false)
			c := &claim{proxy: d.proxy, lease: Lease{2, 1}, revision: Revision{2, 10}, validUntil: now().Add(time.Minute)}
			r := &takeoverRun{monitor: d.monitor, db: d, claim: c, prepared: true, recordedAt: Revision{2, 12}}
			r.orders.inherit([]entity.Upstream{"x"})
			next := `{"epoch":2,"claim":15,"targets":["x","y"]}`
			s := &conditionalStore{number: 16, value: next}
			d.proxy.options.Store = s
			d.applyOrders([]byte(next), Revision{2, 16}, false)
			resume(r)
			assert.Equal(t, s.value, next)
			assert.DeepEqual(t, d.openOrders().Targets, []entity.Upstream{"x", "y"})
		})
	}
}

// Guards against a commit that waited for the target of an order and is reported when the order is
// over: until the proxy has found the new primary, which may lack the commit, it takes the replaced one
// for the primary.
func TestCommitIsNotReportedBecauseItsOrderIsOver(t *testing.T) {
	d := newDirectoryTest()
	d.limits.SyncReplicas = 1
	for _, name := range []entity.Upstream{"a", "b"} {
		d.putMember(Member{Name: name, Slots: 5}, 0, Revision{2, 1})
	}
	lead(d, "a")
	// Neither answers this proxy.
	for _, m := range d.members {
		m.statusCall = &statusCall{done: make(chan struct{})}
	}
	d.applyOrders([]byte(`{"epoch":2,"claim":15,"targets":["b"]}`), Revision{2, 16}, false)
	time.AfterFunc(50*time.Millisecond, func() {
		d.applyOrders([]byte(`{"epoch":2,"claim":15,"targets":[],"concluded":true}`), Revision{2, 17}, false)
	})
	c := newCommit(d.members["a"], entity.Position{Term: 1, Offset: 7}, now())
	s := &session{proxy: d.proxy}
	assert.Assert(t, !c.confirm(s, &Statement{}, d, now().Add(300*time.Millisecond)))
}

// Guards against a commit that is reported on the word of a replaced primary because its proxy was told
// of the takeover only after its end.
func TestCommitNeedsEvidenceAfterATakeoverThatWasNotSeen(t *testing.T) {
	d := newDirectoryTest()
	d.limits.SyncReplicas = 1
	for _, name := range []entity.Upstream{"a", "b"} {
		d.putMember(Member{Name: name, Slots: 5}, 0, Revision{2, 1})
	}
	lead(d, "a")
	d.applyOrders([]byte(`{"epoch":2,"claim":4,"targets":[],"concluded":true}`), Revision{2, 5}, false)
	c := newCommit(d.members["a"], entity.Position{Term: 1, Offset: 7}, now())
	d.applyOrders([]byte(`{"epoch":2,"claim":9,"targets":[],"concluded":true}`), Revision{2, 10}, false)
	evidence, _ := d.tryReport(&c, nil, nil)
	assert.Assert(t, evidence.Replaced)
}
