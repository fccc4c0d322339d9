package e2e

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/standin/platform"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

const (
	exitApplied    = 0
	exitNotApplied = 3
)

// Guards against two edits of the same revision that are both accepted, an edit whose
// response was lost and is reported wrongly, and proxies that keep or go back to an
// older revision (G9).
func TestDocuments(t *testing.T) {
	cl := startCluster(t, direct)
	watcher := cl.watchRevisions()
	document, err := cl.layout.Render("document.json.tmpl", "")
	assert.NilError(t, err)
	edit := func(worth int) string {
		return cl.writeDocument(strings.Replace(document, `"worth": 1000`, fmt.Sprintf(`"worth": %d`, worth), 1))
	}
	codes := make([]int, 2)
	outputs := make([]string, 2)
	var wg sync.WaitGroup
	for i := range codes {
		file := edit(2000 + i)
		wg.Go(func() { codes[i], outputs[i] = cl.putDocument(cl.platform, file, 1, fmt.Sprintf("operator%d", i)) })
	}
	wg.Wait()
	assert.DeepEqual(t, slices.Sorted(slices.Values(codes)), []int{exitApplied, exitNotApplied})
	// The output of the rejected edit must name the fields that differ.
	rejectedOutput := outputs[slices.Index(codes, exitNotApplied)]
	assert.Assert(t, strings.Contains(rejectedOutput, "worth"), rejectedOutput)
	watcher.awaitAll(2)
	cl.platform.SetFaults(func(f *platform.Faults) { f.DropResponses = 1 })
	code, output := cl.putDocument(cl.platform, edit(3000), 2, "operator")
	assert.Equal(t, code, exitApplied, output)
	watcher.awaitAll(3)
	assert.Equal(t, len(watcher.stopAndWait()), 0, "%v", watcher.violations)
}

// revisionWatcher polls the revision in force on each proxy.
type revisionWatcher struct {
	cluster    *cluster
	wg         sync.WaitGroup
	stop       chan struct{}
	mu         sync.Mutex
	latest     map[string]uint64
	violations []string
}

func (cl *cluster) watchRevisions() *revisionWatcher {
	r := &revisionWatcher{cluster: cl, stop: make(chan struct{}), latest: map[string]uint64{}}
	r.wg.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(pollInterval):
				r.poll()
			}
		}
	})
	cl.t.Cleanup(func() { r.stopAndWait() })
	return r
}

func (r *revisionWatcher) poll() {
	answers := r.cluster.status(r.cluster.proxies...)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, answer := range answers {
		for _, d := range answer.Documents {
			if d.Revision < r.latest[answer.Vm] {
				r.violations = append(r.violations, fmt.Sprintf("G9: %s went from %d to %d", answer.Vm, r.latest[answer.Vm], d.Revision))
			}
			r.latest[answer.Vm] = d.Revision
		}
	}
}

// awaitAll waits until all proxies have the revision in force.
func (r *revisionWatcher) awaitAll(revision uint64) {
	r.cluster.t.Helper()
	r.cluster.await(maxDocumentDelay, fmt.Sprintf("revision %d on all proxies", revision), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.cluster.proxies {
			if r.latest[p.Name] != revision {
				return false
			}
		}
		return true
	})
}

// stopAndWait stops polling and returns the violations.
func (r *revisionWatcher) stopAndWait() []string {
	r.mu.Lock()
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.mu.Unlock()
	r.wg.Wait()
	return r.violations
}

// Guards against batches for an upstream later than 3 s after the list reports it as
// leaving (G7), and against writes that are lost when it is replaced as primary.
func TestLeavingUpstream(t *testing.T) {
	const (
		leavingLimit = 3 * time.Second
		observation  = 500 * time.Millisecond
	)
	cl := startCluster(t, direct)
	c := cl.startCallers("c", "checkout", cl.proxies, sessions, transactions)
	c.awaitAcks(warmUpAcks, maxGap)
	layout := cl.layoutOfSide(direct, 0)
	layout.Upstreams[0].State = "STATE_LEAVING"
	cl.setVMs(cl.platform, layout)
	leavingAt := time.Now()
	primary := cl.awaitPromotion(cl.members[1:]...)
	time.Sleep(time.Until(leavingAt.Add(leavingLimit)))
	before, err := getAdmin[upstream.Counters](cl, cl.members[0], "/counters")
	assert.NilError(t, err)
	acks := c.ackCount.Load()
	time.Sleep(observation)
	after, err := getAdmin[upstream.Counters](cl, cl.members[0], "/counters")
	assert.NilError(t, err)
	assert.Assert(t, c.ackCount.Load() > acks, "no work that could have reached the upstream")
	assert.Equal(t, after.Statements, before.Statements, "G7: the leaving upstream got statements")
	assert.Equal(t, after.TotalConnections, before.TotalConnections, "G7: the leaving upstream got connections")
	c.stopAndWait()
	c.check(cl.memberLog(primary), nil)
	assert.Assert(t, c.longestAckGap < maxGap, "gap %s", c.longestAckGap)
}

// Guards against requests that a graceful shutdown interrupts (G8) while all proxies are
// restarted in turn under load.
func TestRollingRestart(t *testing.T) {
	cl := startCluster(t, direct)
	c := cl.startCallers("c", "checkout", cl.proxies, sessions, transactions)
	c.awaitAcks(warmUpAcks, maxGap)
	for _, p := range cl.proxies {
		assert.NilError(t, p.Signal(syscall.SIGTERM))
		assert.Equal(t, p.Wait(), 0, "exit code of %s", p.Name)
		cl.startProxy(p)
		cl.await(maxDocumentDelay, p.Name+" answers", func() bool { return cl.servesReads(p) })
		c.awaitAcks(warmUpAcks, maxGap)
	}
	c.stopAndWait()
	for _, w := range c.writesCutOff("SH002") {
		t.Errorf("G8: %s was cut off: %v", w.id, w.attemptErrors)
	}
	cl.assertNoPromotion()
	c.check(cl.memberLog(cl.members[0]), nil)
}
