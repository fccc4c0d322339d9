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
	exitInForce    = 0
	exitNotApplied = 3
)

// Guards against two edits of one revision that are both accepted, a lost
// answer that is reported wrongly, and proxies that keep or go back to an
// older revision (G9).
func TestDocuments(t *testing.T) {
	w := startWorld(t, direct)
	watch := w.watchRevisions()
	document, err := w.layout.Render("document.json.tmpl", "")
	assert.NilError(t, err)
	edit := func(worth int) string {
		return w.writeDocument(strings.Replace(document, `"worth": 1000`, fmt.Sprintf(`"worth": %d`, worth), 1))
	}
	codes := make([]int, 2)
	outputs := make([]string, 2)
	var group sync.WaitGroup
	for i := range codes {
		file := edit(2000 + i)
		group.Go(func() { codes[i], outputs[i] = w.put(w.store, file, 1, fmt.Sprintf("operator%d", i)) })
	}
	group.Wait()
	assert.DeepEqual(t, slices.Sorted(slices.Values(codes)), []int{exitInForce, exitNotApplied})
	// The operator of the refused edit has to learn which fields differ.
	refused := outputs[slices.Index(codes, exitNotApplied)]
	assert.Assert(t, strings.Contains(refused, "worth"), refused)
	watch.awaitAll(2)
	w.store.SetFaults(func(f *platform.Faults) { f.DropResponses = 1 })
	code, output := w.put(w.store, edit(3000), 2, "operator")
	assert.Equal(t, code, exitInForce, output)
	watch.awaitAll(3)
	assert.Equal(t, len(watch.end()), 0, "%v", watch.faults)
}

// revisions follows the revision in force on each proxy.
type revisions struct {
	w      *world
	group  sync.WaitGroup
	stop   chan struct{}
	mu     sync.Mutex
	seen   map[string]uint64
	faults []string
}

func (w *world) watchRevisions() *revisions {
	r := &revisions{w: w, stop: make(chan struct{}), seen: map[string]uint64{}}
	r.group.Go(func() {
		for {
			select {
			case <-r.stop:
				return
			case <-time.After(pollInterval):
				r.look()
			}
		}
	})
	w.t.Cleanup(func() { r.end() })
	return r
}

func (r *revisions) look() {
	answers := r.w.status(r.w.proxies...)
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, answer := range answers {
		for _, d := range answer.Documents {
			if d.Revision < r.seen[answer.Vm] {
				r.faults = append(r.faults, fmt.Sprintf("G9: %s went from %d to %d", answer.Vm, r.seen[answer.Vm], d.Revision))
			}
			r.seen[answer.Vm] = d.Revision
		}
	}
}

// awaitAll waits until all proxies have the revision in force.
func (r *revisions) awaitAll(revision uint64) {
	r.w.t.Helper()
	r.w.await(documentLimit, fmt.Sprintf("revision %d on all proxies", revision), func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		for _, p := range r.w.proxies {
			if r.seen[p.Name] != revision {
				return false
			}
		}
		return true
	})
}

// end returns the faults.
func (r *revisions) end() []string {
	r.mu.Lock()
	select {
	case <-r.stop:
	default:
		close(r.stop)
	}
	r.mu.Unlock()
	r.group.Wait()
	return r.faults
}

// Guards against work for an upstream later than 3 s after the list reports it
// as leaving (G7), and against writes that its replacement loses.
func TestLeavingUpstream(t *testing.T) {
	const (
		leavingLimit = 3 * time.Second
		observed     = 500 * time.Millisecond
	)
	w := startWorld(t, direct)
	c := w.startCallers("c", "checkout", w.proxies, sessions, transactions)
	c.awaitAcks(warmUp, maxGap)
	view := w.view(direct, 0)
	view.Upstreams[0].State = "STATE_LEAVING"
	w.setVMs(w.store, view)
	left := time.Now()
	primary := w.awaitPromotion(w.members[1:]...)
	time.Sleep(time.Until(left.Add(leavingLimit)))
	before, err := get[upstream.Counters](w, w.members[0], "/counters")
	assert.NilError(t, err)
	acks := c.acks.Load()
	time.Sleep(observed)
	after, err := get[upstream.Counters](w, w.members[0], "/counters")
	assert.NilError(t, err)
	assert.Assert(t, c.acks.Load() > acks, "no work that could have reached the upstream")
	assert.Equal(t, after.Statements, before.Statements, "G7: the leaving upstream got work")
	assert.Equal(t, after.TotalConnections, before.TotalConnections, "G7: the leaving upstream got connections")
	c.end()
	c.check(w.log(primary), nil)
	assert.Assert(t, c.gap < maxGap, "gap %s", c.gap)
}

// Guards against requests that a graceful shutdown cuts (G8) while all proxies
// are replaced in turn under load.
func TestRollingRestart(t *testing.T) {
	w := startWorld(t, direct)
	c := w.startCallers("c", "checkout", w.proxies, sessions, transactions)
	c.awaitAcks(warmUp, maxGap)
	for _, p := range w.proxies {
		assert.NilError(t, p.Signal(syscall.SIGTERM))
		assert.Equal(t, p.Wait(), 0, "exit code of %s", p.Name)
		w.startProxy(p)
		w.await(documentLimit, p.Name+" answers", func() bool { return w.answers(p) })
		c.awaitAcks(warmUp, maxGap)
	}
	c.end()
	for _, cut := range c.errorsWith("SH002") {
		t.Errorf("G8: %s was cut: %v", cut.id, cut.errors)
	}
	w.assertNoPromotion()
	c.check(w.log(w.members[0]), nil)
}
