package managed_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

const (
	// sharingProxies is the size of the fleet, six proxies in each of three availability
	// zones; watchingProxies is the number of those that watch the store, two per zone.
	sharingProxies  = 18
	watchingProxies = 6
	// documentLimit is the time within which a configuration must take effect.
	documentLimit = 3 * time.Second
	// pollDuration exceeds the time for which a watcher holds a poll.
	pollDuration = 1600 * time.Millisecond
)

// newSharingFleet starts a fleet and waits until its proxies share their watches.
func newSharingFleet(t testing.TB) *fleet {
	t.Helper()
	f := newFleet(t, sharingProxies)
	waitFor(t, 15*time.Second, "proxies that follow", func() bool { return len(f.followers()) == sharingProxies-watchingProxies })
	return f
}

// watcher returns the proxy that this one reads changes from, empty for the store.
func (n *node) watcher() string {
	lines := n.log.find("event=watcher_changed")
	if len(lines) == 0 {
		return ""
	}
	_, peer, _ := strings.Cut(lines[len(lines)-1], "peer=")
	peer, _, _ = strings.Cut(peer, " ")
	if peer == "none" {
		return ""
	}
	return peer
}

// followers returns the nodes that read changes from another proxy.
func (f *fleet) followers() []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.watcher() != "" {
			out = append(out, n)
		}
	}
	return out
}

// anyWatcher returns a node that other proxies read changes from.
func (f *fleet) anyWatcher() *node {
	name := f.followers()[0].watcher()
	for _, n := range f.nodes {
		if n.settings.VM == name {
			return n
		}
	}
	f.t.Fatalf("no proxy %s", name)
	return nil
}

// addRoute adds a route to the configuration and returns its name.
func (f *fleet) addRoute() string {
	const name = "late"
	f.routes = append(f.routes, route(name, managed.StrictConsistency, 0, time.Second))
	f.configure()
	return name
}

// awaitRoute waits until the nodes accept sessions for the route.
func (f *fleet) awaitRoute(limit time.Duration, nodes []*node, name string) {
	f.t.Helper()
	waitFor(f.t, limit, "the new route", func() bool {
		for _, n := range nodes {
			if !n.accepts(f.t, name) {
				return false
			}
		}
		return true
	})
}

// Guards against a number of watches that grows with the number of proxies, and against
// changes that do not reach the proxies without a watch of their own.
func TestWatchesAreShared(t *testing.T) {
	f := newSharingFleet(t)
	waitFor(t, 10*time.Second, "few watches", func() bool { return f.store.PendingWatches() <= watchingProxies })
	f.awaitRoute(documentLimit, f.nodes, f.addRoute())
	f.group.Primary().Crash()
	follower := f.followers()[0]
	c := follower.open(t, strictDB)
	c.eventually(failoverLimit, "WRITE item 1")
}

// Guards against a fleet that makes many calls to the store after a loss of power. The
// entries of the earlier processes are still listed then, so that each proxy has watchers,
// which do not answer yet. A proxy has to list the store, to get a lease, to register and
// to watch until the watchers have caught up with it.
func TestFleetRestartsWithFewCalls(t *testing.T) {
	f := newSharingFleet(t)
	f.store.SetFault(standin.StoreUnavailable)
	for _, n := range f.nodes {
		n.stop()
	}
	f.store.SetFault(standin.StoreHealthy)
	before := f.store.Calls()
	for i := range f.nodes {
		f.nodes[i] = f.start(i)
	}
	time.Sleep(8 * time.Second)
	calls := f.store.Calls() - before
	t.Logf("%d calls of %d proxies", calls, sharingProxies)
	const callsPerProxy = 6
	assert.Assert(t, calls <= callsPerProxy*sharingProxies)
	assert.Equal(t, len(f.followers()), sharingProxies-watchingProxies)
}

// Guards against proxies that keep an old configuration because their watcher stopped or
// does not answer.
func TestFollowersOutlastTheirWatcher(t *testing.T) {
	f := newSharingFleet(t)
	watcher := f.anyWatcher()
	watcher.ignorePeers.Store(true)
	// Polls already waiting at the watcher would still receive the change.
	time.Sleep(pollDuration)
	var others []*node
	for _, n := range f.nodes {
		if n != watcher {
			others = append(others, n)
		}
	}
	f.awaitRoute(documentLimit, others, f.addRoute())
}

// Guards against proxies that keep an old configuration because their watcher lost the
// store and still answers polls.
func TestFollowersOfAProxyWithoutStore(t *testing.T) {
	f := newSharingFleet(t)
	watcher := f.anyWatcher()
	f.store.RejectProxy(watcher.settings.VM)
	var others []*node
	for _, n := range f.nodes {
		if n != watcher {
			others = append(others, n)
		}
	}
	f.awaitRoute(documentLimit, others, f.addRoute())
	assert.Assert(t, len(watcher.log.find("event=store_lost")) > 0)
}
