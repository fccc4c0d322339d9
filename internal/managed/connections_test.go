package managed_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// deadConnectionTime is how long an upstream counts the connections of a VM that lost
// power.
const deadConnectionTime = 3 * time.Second

// Guards against proxies that fill the connection limit of the upstreams with idle
// connections. After a power loss of all VMs the dead connections still count, and the
// restarted proxies would be refused until the upstreams drop them.
func TestConnectionsAreFreeAfterALossOfPower(t *testing.T) {
	const proxies, pinned = 6, 5
	f := newFleet(t, proxies)
	waitFor(t, 5*time.Second, "all proxies are listed", func() bool {
		for _, n := range f.nodes {
			if len(n.log.find("event=proxies_changed", "proxies=6")) == 0 {
				return false
			}
		}
		return true
	})
	var open []*caller
	for _, n := range f.nodes {
		for range pinned {
			c := n.open(t, strictDB)
			c.mustQuery("BEGIN")
			c.eventually(5*time.Second, "READ item")
			open = append(open, c)
		}
	}
	for _, c := range open {
		c.mustQuery("COMMIT")
	}
	time.Sleep(1500 * time.Millisecond) // without load
	for i := range 3 {
		f.group.Member(i).SetConnectionLinger(deadConnectionTime)
	}
	for _, n := range f.nodes {
		n.stop()
	}
	began := time.Now()
	for i := range f.nodes {
		f.nodes[i] = f.start(i)
	}
	for _, n := range f.nodes {
		c := n.open(t, strictDB)
		r := c.query("READ item")
		assert.Equal(t, r.code, managed.CodeNone, r.text)
	}
	assert.Assert(t, time.Since(began) < deadConnectionTime)
}
