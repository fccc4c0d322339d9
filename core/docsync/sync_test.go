package docsync

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// world is a fake network with a delay of one step, loss and cut VMs.
type world struct {
	random   *rand.Rand
	now      entity.Time
	syncs    []*Sync
	cut      []bool
	requests []Request
	replies  []Reply
	refusals []Refusal
	loss     float64
	sent     int
}

func newWorld(seed uint64, vms int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 2)), cut: make([]bool, vms)}
	var peers []Peer
	for i := range vms {
		peers = append(peers, Peer{VM: name(i), AvailabilityZone: fmt.Sprint("zone", i%3)})
	}
	for i := range vms {
		s := New(DefaultConfig(name(i), peers[i].AvailabilityZone), seed)
		s.SetPeers(0, peers)
		w.syncs = append(w.syncs, s)
	}
	return w
}

func name(i int) entity.VM { return entity.VM(fmt.Sprintf("vm%03d", i)) }

func (w *world) find(vm entity.VM) int {
	var i int
	fmt.Sscanf(string(vm), "vm%d", &i)
	return i
}

func (w *world) passes(to, from entity.VM) bool {
	w.sent++
	return !w.cut[w.find(to)] && !w.cut[w.find(from)] && w.random.Float64() >= w.loss
}

func (w *world) run(length time.Duration) {
	for end := w.now.Add(length); w.now < end; {
		w.now = w.now.Add(10 * time.Millisecond)
		requests, replies := w.requests, w.replies
		w.requests, w.replies = nil, nil
		for _, r := range requests {
			if w.passes(r.To, r.From) {
				w.syncs[w.find(r.To)].StepRequest(w.now, r)
			}
		}
		for _, r := range replies {
			if w.passes(r.To, r.From) {
				w.syncs[w.find(r.To)].StepReply(w.now, r)
			}
		}
		for _, s := range w.syncs {
			s.Tick(w.now)
			out := s.Ready()
			w.requests = append(w.requests, out.Requests...)
			w.replies = append(w.replies, out.Replies...)
			w.refusals = append(w.refusals, out.Refusals...)
		}
	}
}

// put stores a document and tells the watchers that reach the store.
func (w *world) put(d Document) {
	for i, s := range w.syncs {
		if s.Watching() && !w.cut[i] {
			s.StepWatch(w.now, d)
		}
	}
}

func document(i int, revision uint64) Document {
	return Document{Service: fmt.Sprint("service", i), Revision: revision, Value: fmt.Appendf(nil, "%d at %d", i, revision)}
}

// Guards against a document that some proxy never gets, and against one that
// reverts, under loss, cut VMs and store results in any order.
func TestDocumentsConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 20).Draw(t, "vms"))
		w.loss = rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss")
		highest := map[int]uint64{}
		for range rapid.IntRange(1, 15).Draw(t, "changes") {
			d := rapid.IntRange(0, 5).Draw(t, "service")
			revision := rapid.Uint64Range(1, 20).Draw(t, "revision")
			before := w.syncs[0].Revision(document(d, 0).Service)
			w.put(document(d, revision))
			w.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			highest[d] = max(highest[d], revision)
			assert.Assert(t, w.syncs[0].Revision(document(d, 0).Service) >= before)
			w.cut[w.random.IntN(len(w.cut))] = rapid.Bool().Draw(t, "cut")
			highest = w.held(highest)
		}
		clear(w.cut)
		w.loss = 0
		w.run(11 * time.Second)
		for d, revision := range highest {
			for _, s := range w.syncs {
				got, _ := s.Get(document(d, 0).Service)
				assert.DeepEqual(t, got, document(d, revision))
			}
		}
	})
}

// held returns the highest revisions that some VM holds: a cut VM may be the only
// watcher, so that a change reaches no one.
func (w *world) held(of map[int]uint64) map[int]uint64 {
	out := map[int]uint64{}
	for d := range of {
		for _, s := range w.syncs {
			if r := s.Revision(document(d, 0).Service); r > 0 {
				out[d] = max(out[d], r)
			}
		}
	}
	return out
}

// Guards against a lower revision that takes force or goes unreported.
func TestLowerRevisionIsRefusedAndReported(t *testing.T) {
	w := newWorld(1, 1)
	s := w.syncs[0]
	s.StepWatch(0, document(1, 5))
	s.StepWatch(0, document(1, 4))
	s.StepWatch(0, Document{Service: "service1", Revision: 5, Value: []byte("other")})
	out := s.Ready()
	assert.Equal(t, s.Revision("service1"), uint64(5))
	assert.DeepEqual(t, out.Refusals, []Refusal{
		{Reason: RefusedLowerRevision, Service: "service1", Revision: 4, CurrentRevision: 5},
		{Reason: RefusedDifferentValue, Service: "service1", Revision: 5, CurrentRevision: 5},
	})
}

// Guards against digests that differ for equal documents, so that every
// comparison would descend the tree.
func TestDigestDependsOnRevisionsOnly(t *testing.T) {
	w := newWorld(1, 2)
	w.syncs[0].StepWatch(0, document(1, 1))
	w.syncs[0].StepWatch(0, document(1, 3))
	w.syncs[0].StepWatch(0, document(2, 1))
	w.syncs[1].StepWatch(0, document(2, 1))
	assert.Assert(t, w.syncs[0].Digest() != w.syncs[1].Digest())
	w.syncs[1].StepWatch(0, document(1, 3))
	assert.Equal(t, w.syncs[0].Digest(), w.syncs[1].Digest())
}

// Guards against a VM that stays without documents because the store is down.
func TestStartWithoutStoreLearnsFromPeers(t *testing.T) {
	w := newWorld(2, 6)
	w.cut[0] = true
	for i := range 15000 {
		d := document(i, 1)
		d.Value = make([]byte, 200)
		for _, s := range w.syncs[1:] {
			s.StepWatch(0, d)
		}
	}
	for _, s := range w.syncs[1:] {
		s.StepWatchSynced(0)
	}
	w.run(time.Second)
	assert.Equal(t, w.syncs[0].Count(), 0)
	w.cut[0] = false
	w.run(11 * time.Second)
	assert.Equal(t, w.syncs[0].Digest(), w.syncs[1].Digest())
	assert.Assert(t, w.syncs[0].Synced())
}

// Guards against a dead watcher that leaves its zone without one.
func TestDeadWatcherIsReplaced(t *testing.T) {
	w := newWorld(3, 12)
	watchers := func() (live, all int) {
		for i, s := range w.syncs {
			if s.Watching() {
				all++
				if !w.cut[i] {
					live++
				}
			}
		}
		return live, all
	}
	_, all := watchers()
	assert.Equal(t, all, 6)
	for i, s := range w.syncs {
		w.cut[i] = w.cut[i] || (s.Watching() && i%3 == 0)
	}
	w.run(11 * time.Second)
	live, _ := watchers()
	assert.Equal(t, live, 6)
	clear(w.cut)
	w.run(11 * time.Second)
	_, all = watchers()
	assert.Equal(t, all, 6)
}
