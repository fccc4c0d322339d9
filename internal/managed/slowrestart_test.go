package managed_test

import (
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// readers keeps a number of sessions reading until the test ends.
func readers(t *testing.T, n *node, count int) {
	stop := make(chan struct{})
	var wait sync.WaitGroup
	t.Cleanup(func() { close(stop); wait.Wait() })
	for range count {
		c := n.open(t, boundedDB)
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				default:
				}
				if r, err := c.try("READ item"); err != nil || r.code != managed.CodeNone {
					time.Sleep(5 * time.Millisecond)
				}
			}
		})
	}
}

// Restarts a replica that is slow at first while more sessions read than all members serve
// at once. Guards against a restarted upstream that gets the usual number of statements
// before it answers fast, and against one that is left idle once it does.
func TestSlowRestartGetsAGrowingNumberOfStatements(t *testing.T) {
	const (
		usual  = 10 // two statements per slot
		normal = 30 * time.Millisecond
		slow   = 150 * time.Millisecond
	)
	f := newFleet(t, 0)
	f.upstreamPace = true
	n := f.start(1)
	for i := range 3 {
		f.group.Member(i).SetServiceTime(normal)
	}
	replica := f.group.Member(1)
	n.open(t, strictDB).eventually(5*time.Second, "WRITE item v")
	readers(t, n, 4*usual)
	waitFor(t, 5*time.Second, "usual number of statements", func() bool { return replica.Running() == usual })
	time.Sleep(time.Second) // until the latency of the members is known

	replica.Crash()
	time.Sleep(300 * time.Millisecond)
	replica.SetServiceTime(slow)
	assert.NilError(t, replica.Restart())
	waitFor(t, 5*time.Second, "statements", func() bool { return replica.Running() > 0 })
	most := 0
	for end := time.Now().Add(1500 * time.Millisecond); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		most = max(most, replica.Running())
	}
	assert.Assert(t, most > 1 && most <= usual/2, "%d statements in flight while slow", most)

	replica.SetServiceTime(normal)
	waitFor(t, 3*time.Second, "usual number of statements", func() bool { return replica.Running() == usual })
	waitFor(t, time.Second, "end of the limit", func() bool {
		return len(n.log.find("event=upstream_limit_ended", "peer="+replica.ID, "largest=10")) == 1
	})
	assert.Equal(t, len(n.log.find("event=upstream_limit_began", "peer="+replica.ID)), 1)
}
