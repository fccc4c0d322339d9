package managed

import (
	"slices"
	"testing"

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
		func(d *database) {
			d.applyOrders([]byte(`{"epoch":2,"claim":15,"targets":[],"concluded":true}`), Revision{2, 20}, false)
		},
		func(d *database) { d.announcedUntil = now() },
	} {
		d := newDirectoryTest()
		d.applyClaim(nil, Revision{2, 10}, true)
		d.applyAnnouncement(Revision{2, 15})
		assert.Equal(t, open(d), Revision{2, 15})
		end(d)
		assert.Equal(t, open(d), Revision{})
	}
	d := newDirectoryTest()
	d.applyClaim(nil, Revision{2, 20}, true)
	d.applyAnnouncement(Revision{2, 15})
	assert.Equal(t, open(d), Revision{})
}
