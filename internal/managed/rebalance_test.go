package managed_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// Applies the load for which the primary is moved: more reads than one upstream can serve,
// while both replicas apply the log too slowly to serve them. Guards against replicas that
// stay idle while reads are refused, and against a move that loses a commit.
func TestPrimaryMovesWhenAllReplicasLag(t *testing.T) {
	f := newFleet(t, 3)
	old := f.group.Primary()
	for i := range 3 {
		f.group.Member(i).SetServiceTime(80 * time.Millisecond)
		f.group.Member(i).SetLag(6 * time.Second)
	}
	old.SetLag(0)
	var served, refused atomic.Int64
	var wait sync.WaitGroup
	stop := time.Now().Add(5 * time.Second)
	for i := range 90 {
		c := f.nodes[i%3].open(t, boundedDB)
		wait.Go(func() {
			for time.Now().Before(stop) {
				if c.query("READ item").code == managed.CodeNone {
					served.Add(1)
				} else {
					refused.Add(1)
				}
				time.Sleep(20 * time.Millisecond)
			}
		})
	}
	writer := f.nodes[0].open(t, strictDB)
	for time.Now().Before(stop) {
		writer.query("WRITE item v")
		time.Sleep(50 * time.Millisecond)
	}
	wait.Wait()
	t.Logf("served %d, refused %d", served.Load(), refused.Load())
	assert.Assert(t, f.group.Primary() != old, "the primary did not move")
	assert.Equal(t, len(f.group.LostCommits()), 0)
	assert.Assert(t, len(f.store.Promotions()) == 1, "%v", f.store.Promotions())
}

// Guards against a primary that moves although no request is refused.
func TestPrimaryStaysWithoutPressure(t *testing.T) {
	f := newFleet(t, 2)
	old := f.group.Primary()
	for i := range 3 {
		f.group.Member(i).SetLag(6 * time.Second)
	}
	old.SetLag(0)
	writer, reader := f.nodes[0].open(t, strictDB), f.nodes[1].open(t, boundedDB)
	for range 60 {
		writer.mustQuery("WRITE item v")
		reader.mustQuery("READ item")
		time.Sleep(40 * time.Millisecond)
	}
	assert.Equal(t, f.group.Primary(), old)
	assert.Equal(t, len(f.store.Promotions()), 0)
}
