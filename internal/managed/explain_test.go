package managed_test

import (
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/explain"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// walk follows docs/OPERATIONS.md from a request's id to its cause, over the logs
// of all proxies.
func (f *fleet) walk(id string) explain.Walk {
	f.t.Helper()
	var text strings.Builder
	for _, n := range f.nodes {
		n.log.mu.Lock()
		text.WriteString(strings.Join(n.log.lines, "\n") + "\n")
		n.log.mu.Unlock()
	}
	log, err := explain.Read(strings.NewReader(text.String()))
	assert.NilError(f.t, err)
	assert.Equal(f.t, log.Damaged, 0)
	w, err := explain.Explain(log, id)
	assert.NilError(f.t, err)
	return w
}

// hasField fails if the request's line lacks a field that the page names.
func hasField(t *testing.T, w explain.Walk, keys ...string) {
	t.Helper()
	for _, key := range keys {
		_, ok := w.Requests[0].Fields[key]
		assert.Assert(t, ok, "the request's line lacks %q: %s", key, w.Requests[0].Text)
	}
}

func hasEvent(t *testing.T, w explain.Walk, event string) {
	t.Helper()
	for i := range w.Context {
		if w.Context[i].Event() == event {
			return
		}
	}
	t.Errorf("no %s among the context of %s", event, w.Requests[0].Text)
}

// Guards against a refusal in a flood that the log does not explain.
func TestExplainRefusalInAFlood(t *testing.T) {
	f := newFleet(t, 1)
	f.group.Member(0).SetWork(300 * time.Millisecond)
	var mu sync.Mutex
	var refused string
	var wait sync.WaitGroup
	for range 60 {
		c := f.nodes[0].open(t, strictDB)
		wait.Go(func() {
			for range 3 {
				if r := c.query("READ item"); r.code == managed.CodeBusy {
					mu.Lock()
					refused = r.id
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	assert.Assert(t, refused != "", "nothing was refused")
	w := f.walk(refused)
	hasField(t, w, "group", "document", "code", "reason", "queue_ms", "tries")
	assert.Assert(t, strings.Contains(w.Cause, "no slot of shop was free in time"), w.Cause)
}

// Guards against a write in doubt whose failover the log does not show.
func TestExplainWriteInDoubtInAFailover(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[0].open(t, strictDB)
	c.ok("WRITE item one")
	old := f.group.Leader()
	old.SetSilent(true)
	r := c.query("WRITE item two")
	assert.Equal(t, r.code, managed.CodeInDoubt)
	f.awaitNewLeader(old)
	c.eventually(3*time.Second, "WRITE item three")
	w := f.walk(r.id)
	hasField(t, w, "group", "peer", "run_ms", "reason")
	assert.Assert(t, strings.HasPrefix(w.Cause, "outcome unknown: "+old.ID), w.Cause)
	later := f.walk(r.id)
	later.Context = nil
	assert.Equal(t, len(later.Requests), 1)
	all := f.nodes[0].log.find("event=takeover_began")
	all = append(all, f.nodes[1].log.find("event=takeover_began")...)
	assert.Assert(t, len(all) > 0)
}

// Guards against a read without a fresh replica whose floor the log does not name.
func TestExplainReadWithoutFreshReplica(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 3 {
		f.group.Member(i).SetLag(8 * time.Second)
	}
	f.group.Member(0).SetWork(400 * time.Millisecond)
	writer := f.nodes[0].open(t, strictDB)
	writer.ok("WRITE item v")
	time.Sleep(1100 * time.Millisecond)
	writer.ok("WRITE item w")
	var mu sync.Mutex
	var found *explain.Walk
	var wait sync.WaitGroup
	for range 40 {
		c := f.nodes[0].open(t, boundedDB)
		wait.Go(func() {
			for range 4 {
				r := c.query("READ item")
				if r.code == managed.CodeNone {
					continue
				}
				w := f.walk(r.id)
				mu.Lock()
				if w.Requests[0].Fields["lagged"] != "" {
					found = &w
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	assert.Assert(t, found != nil, "no read was refused after a lagging replica")
	hasField(t, *found, "floor_term", "floor_offset", "lagged", "queue_ms")
	assert.Assert(t, strings.Contains(found.Cause, "no replica held the floor"), found.Cause)
	hasEvent(t, *found, "upstream_listed")
}
