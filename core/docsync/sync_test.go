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

// fakeNetwork connects Syncs with a delay of one step, random loss and isolated
// VMs.
type fakeNetwork struct {
	random   *rand.Rand
	now      entity.Time
	syncs    []*Sync
	isolated []bool
	requests []Request
	replies  []Reply
	refusals []Refusal
	loss     float64
	sent     int
}

func newFakeNetwork(seed uint64, vms int) *fakeNetwork {
	net := &fakeNetwork{random: rand.New(rand.NewPCG(seed, 2)), isolated: make([]bool, vms)}
	var peers []Peer
	for i := range vms {
		peers = append(peers, Peer{VM: vmName(i), AvailabilityZone: fmt.Sprint("zone", i%3)})
	}
	for i := range vms {
		s := New(DefaultConfig(vmName(i), peers[i].AvailabilityZone), seed)
		s.SetPeers(0, peers)
		net.syncs = append(net.syncs, s)
	}
	return net
}

func vmName(i int) entity.VM { return entity.VM(fmt.Sprintf("vm%03d", i)) }

func (net *fakeNetwork) index(vm entity.VM) int {
	var i int
	fmt.Sscanf(string(vm), "vm%d", &i)
	return i
}

func (net *fakeNetwork) delivers(to, from entity.VM) bool {
	net.sent++
	return !net.isolated[net.index(to)] && !net.isolated[net.index(from)] && net.random.Float64() >= net.loss
}

func (net *fakeNetwork) run(length time.Duration) {
	for end := net.now.Add(length); net.now < end; {
		net.now = net.now.Add(10 * time.Millisecond)
		requests, replies := net.requests, net.replies
		net.requests, net.replies = nil, nil
		for _, r := range requests {
			if net.delivers(r.To, r.From) {
				net.syncs[net.index(r.To)].StepRequest(net.now, r)
			}
		}
		for _, r := range replies {
			if net.delivers(r.To, r.From) {
				net.syncs[net.index(r.To)].StepReply(net.now, r)
			}
		}
		for _, s := range net.syncs {
			s.Tick(net.now)
			out := s.Ready()
			net.requests = append(net.requests, out.Requests...)
			net.replies = append(net.replies, out.Replies...)
			net.refusals = append(net.refusals, out.Refusals...)
		}
	}
}

// publish delivers a document of the store to the watchers that are not isolated.
func (net *fakeNetwork) publish(d Document) {
	for i, s := range net.syncs {
		if s.Watching() && !net.isolated[i] {
			s.StepWatch(net.now, d)
		}
	}
}

func document(i int, revision uint64) Document {
	return Document{Service: fmt.Sprint("service", i), Revision: revision, Value: fmt.Appendf(nil, "%d at %d", i, revision)}
}

// Guards against a document that some proxy never receives, and against one that
// reverts to a lower revision, under message loss, isolated VMs and revisions in any
// order.
func TestDocumentsConvergeAndNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		net := newFakeNetwork(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(2, 20).Draw(t, "vms"))
		net.loss = rapid.SampledFrom([]float64{0, 0.01, 0.2}).Draw(t, "loss")
		highest := map[int]uint64{}
		for range rapid.IntRange(1, 15).Draw(t, "changes") {
			d := rapid.IntRange(0, 5).Draw(t, "service")
			revision := rapid.Uint64Range(1, 20).Draw(t, "revision")
			before := net.syncs[0].Revision(document(d, 0).Service)
			net.publish(document(d, revision))
			net.run(time.Duration(rapid.IntRange(0, 300).Draw(t, "gap")) * time.Millisecond)
			highest[d] = max(highest[d], revision)
			assert.Assert(t, net.syncs[0].Revision(document(d, 0).Service) >= before)
			net.isolated[net.random.IntN(len(net.isolated))] = rapid.Bool().Draw(t, "cut")
			highest = net.highestHeld(highest)
		}
		clear(net.isolated)
		net.loss = 0
		net.run(11 * time.Second)
		for d, revision := range highest {
			for _, s := range net.syncs {
				got, _ := s.Get(document(d, 0).Service)
				assert.DeepEqual(t, got, document(d, revision))
			}
		}
	})
}

// highestHeld returns the highest revision of each service that some VM holds. An
// isolated VM may be the only watcher, so that a change reaches no VM.
func (net *fakeNetwork) highestHeld(services map[int]uint64) map[int]uint64 {
	out := map[int]uint64{}
	for d := range services {
		for _, s := range net.syncs {
			if r := s.Revision(document(d, 0).Service); r > 0 {
				out[d] = max(out[d], r)
			}
		}
	}
	return out
}

// Guards against a lower revision that takes effect or goes unreported.
func TestLowerRevisionIsRefusedAndReported(t *testing.T) {
	net := newFakeNetwork(1, 1)
	s := net.syncs[0]
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
	net := newFakeNetwork(1, 2)
	net.syncs[0].StepWatch(0, document(1, 1))
	net.syncs[0].StepWatch(0, document(1, 3))
	net.syncs[0].StepWatch(0, document(2, 1))
	net.syncs[1].StepWatch(0, document(2, 1))
	assert.Assert(t, net.syncs[0].Digest() != net.syncs[1].Digest())
	net.syncs[1].StepWatch(0, document(1, 3))
	assert.Equal(t, net.syncs[0].Digest(), net.syncs[1].Digest())
}

// Guards against a VM that stays without documents while it cannot reach the store.
func TestStartWithoutStoreLearnsFromPeers(t *testing.T) {
	net := newFakeNetwork(2, 6)
	net.isolated[0] = true
	for i := range 15000 {
		d := document(i, 1)
		d.Value = make([]byte, 200)
		for _, s := range net.syncs[1:] {
			s.StepWatch(0, d)
		}
	}
	for _, s := range net.syncs[1:] {
		s.StepWatchSynced(0)
	}
	net.run(time.Second)
	assert.Equal(t, net.syncs[0].Count(), 0)
	net.isolated[0] = false
	net.run(11 * time.Second)
	assert.Equal(t, net.syncs[0].Digest(), net.syncs[1].Digest())
	assert.Assert(t, net.syncs[0].Synced())
}

// Guards against a zone that is left without watchers after they fail.
func TestDeadWatcherIsReplaced(t *testing.T) {
	net := newFakeNetwork(3, 12)
	watchers := func() (live, all int) {
		for i, s := range net.syncs {
			if s.Watching() {
				all++
				if !net.isolated[i] {
					live++
				}
			}
		}
		return live, all
	}
	_, all := watchers()
	assert.Equal(t, all, 6)
	for i, s := range net.syncs {
		net.isolated[i] = net.isolated[i] || (s.Watching() && i%3 == 0)
	}
	net.run(11 * time.Second)
	live, _ := watchers()
	assert.Equal(t, live, 6)
	clear(net.isolated)
	net.run(11 * time.Second)
	_, all = watchers()
	assert.Equal(t, all, 6)
}
