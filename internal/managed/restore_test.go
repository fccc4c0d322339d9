package managed_test

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

const (
	// lostWrites is the number of writes that a restore loses.
	lostWrites = 1000
	// restoreOutage is the time for which the store is away before it is restored.
	restoreOutage = 1500 * time.Millisecond
	// watcherRetry is the time within which followers poll a watcher again that has refused.
	watcherRetry = 4 * time.Second
	// registrationLimit is the time within which a proxy must have registered again.
	registrationLimit = 5 * time.Second
)

// writeUnrelated makes writes to the store that do not concern the proxies.
func (f *fleet) writeUnrelated(count int) {
	for i := range count {
		f.store.Put(fmt.Sprintf("unrelated/%d", i), nil)
	}
}

// restore makes the store unavailable, restores it from a backup, calls restored while the
// store is still unavailable, and makes it available.
func (f *fleet) restore(b *standin.Backup, restored func()) {
	f.store.SetFault(standin.StoreUnavailable)
	time.Sleep(restoreOutage)
	f.store.Restore(b)
	restored()
	f.store.SetFault(standin.StoreHealthy)
}

// Guards against followers that miss changes because a restored store gives out revisions
// again which they have already passed.
func TestFollowersMissNoChangeAfterARestore(t *testing.T) {
	f := newSharingFleet(t)
	backup := f.store.Backup()
	f.writeUnrelated(lostWrites)
	time.Sleep(pollDuration)
	followers := f.followers()
	for _, n := range followers {
		// The followers reach the restored store after their watchers.
		f.store.RejectProxy(n.settings.VM)
	}
	f.restore(backup, func() {})
	time.Sleep(watcherRetry)
	for _, n := range followers {
		f.store.AcceptProxy(n.settings.VM)
	}
	f.awaitRoute(documentLimit, f.nodes, f.addRoute())
}

// Guards against a watch that continues in the new history of a restored store and skips the
// changes below its revision.
func TestWatchMissesNoChangeAfterARestore(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitListed(3)
	backup := f.store.Backup()
	f.writeUnrelated(lostWrites)
	time.Sleep(pollDuration)
	route := ""
	f.restore(backup, func() {
		route = f.addRoute()
		f.writeUnrelated(2 * lostWrites)
	})
	f.awaitRoute(documentLimit, f.nodes, route)
}

// Guards against a proxy that renews a lease which a restored store gave to somebody else, and
// is never listed again.
func TestProxyRegistersAgainAfterARestore(t *testing.T) {
	f := newFleet(t, 2)
	f.awaitListed(2)
	backup := f.store.Backup()
	f.nodes = append(f.nodes, f.start(2))
	f.awaitListed(3)
	f.restore(backup, func() {})
	other := platform.NewStoreClient(f.store.Address())
	for range 100 {
		_, err := other.GrantLease(context.Background(), time.Minute)
		assert.NilError(t, err)
	}
	key := "skylarkhinge/vm/" + f.nodes[2].settings.VM
	waitFor(t, registrationLimit, "the entry of the proxy", func() bool { return slices.Contains(f.store.Keys(key), key) })
}

// Guards against a session that is refused for lack of a route without a trace in the log.
func TestUnknownDatabaseIsLogged(t *testing.T) {
	f := newFleet(t, 1)
	_, refused := f.nodes[0].connect(t, "absent")
	assert.Equal(t, refused.Code, managed.CodeUnknownDatabase)
	waitFor(t, time.Second, "the log line", func() bool {
		return len(f.nodes[0].log.find("event=database_unknown", "database=absent", fmt.Sprintf("document=%d", f.version))) == 1
	})
}

// Guards against a proxy that missed the revocation of a key and takes the configuration of a
// restored store, which lacks it, for the current one.
func TestRestoredStoreConfirmsNoRevokedKey(t *testing.T) {
	f := newStrictFleet(t, 3)
	cut := f.nodes[2]
	c := cut.open(t, strictDB)
	c.eventually(5*time.Second, "READ a")
	backup := f.store.Backup()
	f.store.RejectProxy(cut.settings.VM)
	cut.cut.Store(true)
	f.setOrganisations(map[string][]string{"acme": {"u2"}})
	revoked := time.Now()
	f.store.SetFault(standin.StoreUnavailable)
	time.Sleep(revocationTimeout / 2)
	f.store.Restore(backup)
	f.store.AcceptProxy(cut.settings.VM)
	f.store.SetFault(standin.StoreHealthy)
	waitFor(t, revocationTimeout, "a listing", func() bool { return len(cut.log.find("event=store_listed", "epoch=2")) > 0 })
	time.Sleep(time.Until(revoked.Add(revocationTimeout)))
	for end := time.Now().Add(revocationTimeout / 4); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		_, refused := cut.connect(t, strictDB)
		assert.Assert(t, refused != nil, "a revoked key is accepted")
	}
	f.store.RewriteConfiguration()
	waitFor(t, 5*time.Second, "the revocation", func() bool {
		_, refused := cut.connect(t, strictDB)
		return refused != nil && refused.Code == managed.CodeUnauthenticated
	})
}

// Guards against a primary that is not replaced because a restored store gives out fencing
// tokens again which the platform has already seen.
func TestPrimaryIsReplacedAfterARestore(t *testing.T) {
	f := newFleet(t, 3)
	f.awaitListed(3)
	c := f.nodes[0].open(t, strictDB)
	backup := f.store.Backup()
	f.writeUnrelated(lostWrites)
	old := f.group.Primary()
	old.Crash()
	f.awaitNewPrimary(old)
	assert.NilError(t, old.Restart())
	c.eventually(failoverLimit, "WRITE item kept")
	f.restore(backup, func() {})
	old = f.group.Primary()
	old.Crash()
	f.awaitNewPrimary(old)
	c.eventually(failoverLimit, "WRITE item next")
	assert.Equal(t, len(f.group.LostCommits()), 0)
}
