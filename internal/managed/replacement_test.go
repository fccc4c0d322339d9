package managed_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// replacements is a fleet whose upstreams are replaced one after the other while other faults
// happen.
type replacements struct {
	*faultTest
	draws *rand.Rand
	// inUse are the upstreams in use, unused those that have not been yet.
	inUse, unused []*standin.Member
	// lost is set once an upstream was lost for good. No second one is lost before the group is
	// complete again.
	lost bool
}

const (
	// upstreamsReplaced is the maximum number of replacements per seed.
	upstreamsReplaced = 6
	// replacementTime is how long upstreams are replaced per seed.
	replacementTime = 15 * time.Second
)

func newReplacements(t *testing.T, seed uint64) *replacements {
	f := newReplacementFleet(t, 3, 2*upstreamsReplaced)
	f.group.PromoteDelay = 300 * time.Millisecond
	r := &replacements{faultTest: newFaultTest(f, seed), draws: rand.New(rand.NewPCG(seed, 5))}
	r.stopsProxies, r.stopAt = true, time.Now().Add(replacementTime)
	for i := range groupSize + 2*upstreamsReplaced {
		if i < groupSize {
			r.inUse = append(r.inUse, f.group.Member(i))
		} else {
			r.unused = append(r.unused, f.group.Member(i))
		}
	}
	return r
}

// add puts another upstream into use.
func (r *replacements) add() {
	r.addReplacement(r.unused[0])
	r.inUse, r.unused = append(r.inUse, r.unused[0]), r.unused[1:]
}

// remove ends an upstream for good.
func (r *replacements) remove(m *standin.Member) {
	m.Crash()
	r.store.RemoveEntry(m.ID)
	for i := range r.inUse {
		if r.inUse[i] == m {
			r.inUse = append(r.inUse[:i], r.inUse[i+1:]...)
			return
		}
	}
}

// replace replaces an upstream, which leaves once it is not the primary any more. Meanwhile a
// replica is lost, or a proxy is restarted or turned away by the store.
func (r *replacements) replace() {
	m := r.inUse[r.draws.IntN(len(r.inUse))]
	if r.draws.IntN(3) > 0 {
		m = r.group.Primary()
	}
	if r.lost {
		r.add()
		r.lost = false
	}
	r.add()
	r.sleepUpTo(300 * time.Millisecond)
	rejected := ""
	if r.draws.IntN(2) == 0 {
		rejected = r.node(r.draws.IntN(3)).settings.VM
		r.store.RejectProxy(rejected)
	}
	m.SetLeaving(true)
	r.sleepUpTo(600 * time.Millisecond)
	if r.draws.IntN(2) == 0 {
		r.loseReplica(m)
	}
	if r.draws.IntN(3) == 0 {
		r.restart(r.draws.IntN(3), 100*time.Millisecond)
	}
	if r.group.Primary() == m {
		waitFor(r.t, 2*failoverLimit, "a primary that stays", func() bool { return r.group.Primary() != m })
	}
	r.sleepUpTo(time.Second)
	r.remove(m)
	r.sleepUpTo(4 * time.Second)
	if rejected != "" {
		r.store.AcceptProxy(rejected)
	}
	r.sleepUpTo(time.Second)
}

// loseReplica loses a replica that stays.
func (r *replacements) loseReplica(leaving *standin.Member) {
	first := r.draws.IntN(len(r.inUse))
	for i := range r.inUse {
		m := r.inUse[(first+i)%len(r.inUse)]
		if m != leaving && m != r.group.Primary() {
			r.lost = true
			r.remove(m)
			return
		}
	}
}

func (r *replacements) sleepUpTo(d time.Duration) {
	time.Sleep(time.Duration(r.draws.Int64N(int64(d))))
}

// Guards against acknowledged commits that are lost, and against groups without a primary, while
// upstreams are replaced, lost, and proxies know outdated members.
func TestRandomReplacements(t *testing.T) {
	for i := range *randomSeeds {
		seed := *randomSeed + uint64(i)
		t.Run(fmt.Sprintf("seed-%d", seed), func(t *testing.T) {
			t.Parallel()
			r := newReplacements(t, seed)
			for i, state := range r.writers {
				r.workers.Add(1)
				go r.runWriter(state, i%len(r.nodes), strictDB, i >= 3)
			}
			for len(r.unused) > 1 && time.Now().Before(r.stopAt) {
				r.replace()
			}
			r.workers.Wait()
			r.client(0, strictDB).eventually(failoverLimit, "WRITE final 1")
			r.checkCommits()
			assert.Assert(t, r.served.Load() > 0)
		})
	}
}
