package managed

import (
	"testing"

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
