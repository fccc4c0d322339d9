package managed_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

const (
	// sharingProxies is a fleet with three availability zones of six proxies, of
	// which two each watch the store.
	sharingProxies = 18
	watchingOnes   = 6
	// documentLimit is the time in which a configuration takes force.
	documentLimit = 3 * time.Second
	// pollTime is longer than a watcher holds a poll.
	pollTime = 1600 * time.Millisecond
)

// newSharingFleet returns a fleet whose proxies share their watches, once all do.
func newSharingFleet(t testing.TB) *fleet {
	t.Helper()
	f := newFleet(t, sharingProxies)
	waitFor(t, 15*time.Second, "proxies that follow", func() bool { return len(f.followers()) == sharingProxies-watchingOnes })
	return f
}

// watcherOf returns the proxy that a proxy follows, empty for the store.
func (n *node) watcherOf() string {
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

// followers returns the nodes that follow another one.
func (f *fleet) followers() []*node {
	var out []*node
	for _, n := range f.nodes {
		if n.watcherOf() != "" {
			out = append(out, n)
		}
	}
	return out
}

// followed returns a node that others follow.
func (f *fleet) followed() *node {
	name := f.followers()[0].watcherOf()
	for _, n := range f.nodes {
		if n.settings.VM == name {
			return n
		}
	}
	f.t.Fatalf("no proxy %s", name)
	return nil
}

// addRoute configures a further route and returns its name.
func (f *fleet) addRoute() string {
	const name = "late"
	f.routes = append(f.routes, route(name, managed.StrictConsistency, 0, time.Second))
	f.configure()
	return name
}

// awaitRoute waits until the nodes have the route of the newest configuration.
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

// Guards against watches that grow with the fleet, and against changes that do not
// reach the proxies that follow another one.
func TestWatchesAreShared(t *testing.T) {
	f := newSharingFleet(t)
	waitFor(t, 10*time.Second, "few watches", func() bool { return f.store.Watches() <= watchingOnes })
	f.awaitRoute(documentLimit, f.nodes, f.addRoute())
	f.group.Leader().Crash()
	follower := f.followers()[0]
	c := follower.open(t, strictDB)
	c.eventually(failoverLimit, "WRITE item 1")
}

// Guards against proxies that keep an old configuration because the proxy that
// watches for them stopped answering or ended.
func TestFollowersOutlastTheirWatcher(t *testing.T) {
	f := newSharingFleet(t)
	watcher := f.followed()
	watcher.deaf.Store(true)
	// The polls that wait at the watcher would still get the change.
	time.Sleep(pollTime)
	var others []*node
	for _, n := range f.nodes {
		if n != watcher {
			others = append(others, n)
		}
	}
	f.awaitRoute(documentLimit, others, f.addRoute())
}

// Guards against proxies that keep an old configuration because the proxy that
// watches for them lost the store and does not say so.
func TestFollowersOfAProxyWithoutStore(t *testing.T) {
	f := newSharingFleet(t)
	watcher := f.followed()
	f.store.TurnAway(watcher.settings.VM)
	var others []*node
	for _, n := range f.nodes {
		if n != watcher {
			others = append(others, n)
		}
	}
	f.awaitRoute(documentLimit, others, f.addRoute())
	assert.Assert(t, len(watcher.log.find("event=store_lost")) > 0)
}
