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

// explainRequest traces a request ID to its cause over the logs of all proxies, as
// described in docs/OPERATIONS.md.
func (f *fleet) explainRequest(id string) explain.Explanation {
	f.t.Helper()
	var text strings.Builder
	for _, n := range f.nodes {
		n.log.mu.Lock()
		text.WriteString(strings.Join(n.log.lines, "\n") + "\n")
		n.log.mu.Unlock()
	}
	log, err := explain.Read(strings.NewReader(text.String()))
	assert.NilError(f.t, err)
	assert.Equal(f.t, log.Malformed, 0)
	explanation, err := explain.Explain(log, id)
	assert.NilError(f.t, err)
	return explanation
}

// assertFields fails if the request's log line lacks a field that docs/OPERATIONS.md names.
func assertFields(t *testing.T, explanation explain.Explanation, keys ...string) {
	t.Helper()
	for _, key := range keys {
		_, ok := explanation.Requests[0].Fields[key]
		assert.Assert(t, ok, "the request's line lacks %q: %s", key, explanation.Requests[0].Text)
	}
}

func assertEvent(t *testing.T, explanation explain.Explanation, event string) {
	t.Helper()
	for i := range explanation.Context {
		if explanation.Context[i].Event() == event {
			return
		}
	}
	t.Errorf("no %s among the context of %s", event, explanation.Requests[0].Text)
}

// Guards against a refusal under overload that the log does not explain.
func TestExplainRefusalInAFlood(t *testing.T) {
	f := newFleet(t, 1)
	f.group.Member(0).SetServiceTime(300 * time.Millisecond)
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
	explanation := f.explainRequest(refused)
	assertFields(t, explanation, "group", "document", "code", "reason", "queue_ms", "tries")
	assert.Assert(t, strings.Contains(explanation.Cause, "no slot of shop was free in time"), explanation.Cause)
}

// Guards against a write with unknown outcome whose failover does not appear in the log.
func TestExplainWriteInDoubtInAFailover(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item one")
	old := f.group.Primary()
	old.SetUnresponsive(true)
	r := c.query("WRITE item two")
	assert.Equal(t, r.code, managed.CodeInDoubt)
	f.awaitNewPrimary(old)
	c.eventually(3*time.Second, "WRITE item three")
	explanation := f.explainRequest(r.id)
	assertFields(t, explanation, "group", "peer", "run_ms", "reason")
	assert.Assert(t, strings.HasPrefix(explanation.Cause, "outcome unknown: "+old.ID), explanation.Cause)
	later := f.explainRequest(r.id)
	later.Context = nil
	assert.Equal(t, len(later.Requests), 1)
	all := f.nodes[0].log.find("event=takeover_began")
	all = append(all, f.nodes[1].log.find("event=takeover_began")...)
	assert.Assert(t, len(all) > 0)
}

// Guards against a refused read without a fresh replica whose minimum position is not
// logged.
func TestExplainReadWithoutFreshReplica(t *testing.T) {
	f := newFleet(t, 1)
	for i := range 3 {
		f.group.Member(i).SetLag(8 * time.Second)
	}
	f.group.Member(0).SetServiceTime(400 * time.Millisecond)
	writer := f.nodes[0].open(t, strictDB)
	writer.mustQuery("WRITE item v")
	time.Sleep(1100 * time.Millisecond)
	writer.mustQuery("WRITE item w")
	var mu sync.Mutex
	var found *explain.Explanation
	var wait sync.WaitGroup
	for range 40 {
		c := f.nodes[0].open(t, boundedDB)
		wait.Go(func() {
			for range 4 {
				r := c.query("READ item")
				if r.code == managed.CodeNone {
					continue
				}
				explanation := f.explainRequest(r.id)
				mu.Lock()
				if explanation.Requests[0].Fields["lagged"] != "" {
					found = &explanation
				}
				mu.Unlock()
			}
		})
	}
	wait.Wait()
	assert.Assert(t, found != nil, "no read was refused after a lagging replica")
	assertFields(t, *found, "floor_term", "floor_offset", "lagged", "queue_ms")
	assert.Assert(t, strings.Contains(found.Cause, "no replica held the floor"), found.Cause)
	assertEvent(t, *found, "upstream_listed")
}
