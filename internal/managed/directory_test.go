package managed

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// newDirectoryTest returns a database of a proxy whose store was restored just now.
func newDirectoryTest() *database {
	p := newTestProxy(nil)
	p.storeEpoch.Store(&epochStart{epoch: 2, at: now(), restored: true})
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.databaseLocked("shop")
}

// lead makes a member the believed primary of term 1.
func lead(d *database, name entity.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setPrimary(d.members[name], 1, "test")
}

// Guards against new work for an upstream that leaves, after a restored store has shown an
// earlier entry of it.
func TestLeavingUpstreamStaysSoAfterARestore(t *testing.T) {
	d := newDirectoryTest()
	entry := Member{Name: "a", Database: "shop", Address: "127.0.0.1:1", Incarnation: 5}
	leaving := entry
	leaving.Leaving = true
	d.putMember(leaving, 0, Revision{})
	d.putMember(entry, 0, Revision{})
	assert.Assert(t, d.members["a"].leavingSince != 0)
	entry.Incarnation = 6
	d.putMember(entry, 0, Revision{})
	assert.Assert(t, d.members["a"].leavingSince == 0)
}

// Guards against the address of an earlier process of an upstream, which a restored store
// shows until the upstream has written its entry again.
func TestEarlierProcessOfAnUpstreamAfterARestore(t *testing.T) {
	d := newDirectoryTest()
	current := Member{Name: "a", Database: "shop", Address: "127.0.0.1:2", Incarnation: 6}
	earlier := Member{Name: "a", Database: "shop", Address: "127.0.0.1:1", Incarnation: 5}
	d.putMember(current, 0, Revision{})
	d.putMember(earlier, 0, Revision{})
	assert.Equal(t, d.members["a"].entry, current)
	d.proxy.storeEpoch.Store(&epochStart{epoch: 2, at: now().Add(-2 * restoreSettleTime), restored: true})
	d.putMember(earlier, 0, Revision{})
	assert.Equal(t, d.members["a"].entry, earlier)
}

// Guards against new work for an upstream beyond its drain timeout, by a proxy that hears late that it
// leaves.
func TestLeavingUpstreamOfWhichAProxyHearsLate(t *testing.T) {
	p := newTestProxy(nil)
	p.storeEpoch.Store(&epochStart{epoch: 2, at: now(), restored: true})
	s := newStoreSync(p)
	leaves := func(name entity.Upstream) (since entity.Time, ago time.Duration) {
		s.apply([]Change{{MemberName: name, Member: &Member{Name: name, Database: "shop", Leaving: true}}}, 2)
		d := p.database("shop")
		d.mu.Lock()
		defer d.mu.Unlock()
		since = d.members[name].leavingSince
		return since, now().Sub(since)
	}
	grace := p.settings().LeavingGrace
	_, ago := leaves("a")
	assert.Assert(t, ago >= grace, "the proxy has just started")
	s.mustList = false
	_, ago = leaves("b")
	assert.Assert(t, ago < grace/2, "the proxy follows the store")
	answered := s.answeredAt
	time.Sleep(5 * time.Millisecond)
	s.lostSince = time.Now()
	since, _ := leaves("c")
	assert.Equal(t, since, answered, "the proxy had lost the store")
}
