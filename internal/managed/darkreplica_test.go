package managed_test

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// Applies lookups while one replica accepts connections and answers nothing. Guards
// against reads that are sent to it again and again and wait until their reply counts as
// lost: all but the reads that find out that it is dark are served by other members.
func TestDarkReplicaDoesNotHoldLookupsBack(t *testing.T) {
	const (
		sessions = 8
		duration = 4 * time.Second
		// heldUp is longer than a read takes at a member that answers.
		heldUp = 300 * time.Millisecond
		// trials is how often the replica is tried within the duration: the pauses between
		// them double from 100 ms.
		trials = 5
	)
	f := newFleet(t, 2)
	// The replica in the availability zone of the proxy, which prefers it for reads.
	near, dark := f.nodes[1], f.group.Member(1)
	near.open(t, strictDB).mustQuery("WRITE item v")
	var served, slow, failed atomic.Int64
	stop := make(chan struct{})
	var wait sync.WaitGroup
	for range sessions {
		c := near.open(t, boundedDB)
		c.eventually(3*time.Second, "READ item")
		wait.Go(func() {
			for {
				select {
				case <-stop:
					return
				case <-time.After(10 * time.Millisecond):
				}
				began := time.Now()
				switch reply := c.query("READ item"); {
				case reply.code != managed.CodeNone:
					failed.Add(1)
				case time.Since(began) > heldUp:
					slow.Add(1)
				default:
					served.Add(1)
				}
			}
		})
	}
	dark.SetUnresponsive(true)
	time.Sleep(duration)
	close(stop)
	wait.Wait()
	t.Logf("%d served, %d late, %d failed", served.Load(), slow.Load(), failed.Load())
	assert.Equal(t, failed.Load(), int64(0))
	// Each session may meet the dark replica once; after that, one read at a time tries it.
	assert.Assert(t, slow.Load() <= sessions+trials)
}
