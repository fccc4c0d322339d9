package pace

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const second = entity.Time(time.Second)

func constant(factor float64) func(entity.Time) float64 {
	return func(entity.Time) float64 { return factor }
}

// cooling returns a service time that falls from a multiple to the usual one over 5 s.
func cooling(from float64) func(entity.Time) float64 {
	return func(at entity.Time) float64 { return max(1, from-(from-1)*float64(at)/float64(5*second)) }
}

var neverSlow = &variant{name: "never slow", slowdown: constant(1)}

var variants = []*variant{
	neverSlow,
	{name: "cold 1.6", slowdown: cooling(1.6)},
	{name: "cold 4", slowdown: cooling(4)},
	{name: "slow start", slowdown: constant(1), slots: func(at entity.Time) int { return min(slots, 1+int(at/second)) }},
	{name: "half broken", slowdown: constant(1), lossEvery: 2},
	{name: "flaps", slowdown: constant(1), down: func(at entity.Time) bool { return at/second%2 == 1 }},
}

// outcome is the mean of several starts with one policy; longest is the maximum.
type outcome struct {
	inTarget, urgentInTarget, throughput, shareAfter float64
	longest                                          int
}

func (o *outcome) add(p outcome, weight float64) {
	o.inTarget += weight * p.inTarget
	o.urgentInTarget += weight * p.urgentInTarget
	o.throughput += weight * p.throughput
	o.shareAfter += weight * p.shareAfter
	o.longest = max(o.longest, p.longest)
}

func (o outcome) String() string {
	return fmt.Sprintf("in_target=%.3f urgent_in_target=%.3f longest_queue=%d share_after_s=%.1f throughput=%.3f",
		o.inTarget, o.urgentInTarget, o.longest, o.shareAfter, o.throughput)
}

var paceSeeds = flag.Int("pace.seeds", 2, "number of seeds of TestStartsComparedWithOtherPolicies")

// undisturbed holds the runs of healthy.
var undisturbed = map[start]*model{}

// healthy plays the same requests with an upstream that never is slow, at the full bound.
func (s start) healthy() *model {
	s.variant = neverSlow
	if undisturbed[s] == nil {
		undisturbed[s] = play(fullBound, s)
	}
	return undisturbed[s]
}

func measure(p policy, s start, seeds int) (o outcome) {
	for seed := range seeds {
		s.seed = uint64(seed)
		healthy, m := s.healthy(), play(p, s)
		o.add(outcome{
			inTarget:       float64(m.inTarget) / float64(m.requests),
			urgentInTarget: float64(m.urgentInTarget) / float64(m.urgent),
			throughput:     float64(m.throughput()) / float64(healthy.throughput()),
			shareAfter:     m.carriesShareAfter(healthy).Seconds(),
			longest:        m.upstreams[0].longest,
		}, 1/float64(seeds))
	}
	return o
}

// starts returns the starts of an upstream with all roles, gateways and loads.
func starts(v *variant) (all []start) {
	for _, replica := range []bool{false, true} {
		for _, gateways := range []int{1, 5, 15} {
			for _, load := range []float64{0.5, 0.9, 1.3} {
				all = append(all, start{variant: v, replica: replica, gateways: gateways, load: load})
			}
		}
	}
	return all
}

// Guards against a limit that leaves an upstream idle that never was slow. With two seeds
// instead of 16, the choice between upstreams that cost about the same varies the
// throughput of one upstream by 3 %.
func TestUpstreamThatNeverWasSlow(t *testing.T) {
	const minThroughput = 0.98
	for _, s := range starts(neverSlow) {
		o := measure(newLimit, s, 16)
		assert.Check(t, o.throughput >= minThroughput, "%+v: %+v", s, o)
	}
}

// Plays all starts with all policies and prints the comparison. Guards against a limit with
// which, over all starts, fewer requests are answered within their targets than with the
// full bound at once.
func TestStartsComparedWithOtherPolicies(t *testing.T) {
	var totals [len(policyNames)]outcome
	for _, v := range variants {
		all := starts(v)
		for _, s := range all {
			for p := range policyNames {
				o := measure(policy(p), s, *paceSeeds)
				totals[p].add(o, 1/float64(len(variants)*len(all)))
				t.Logf("%-11s replica=%-5v gateways=%-2d load=%.1f %-10s %s", v.name, s.replica, s.gateways, s.load, policyNames[p], o)
			}
		}
	}
	for p, o := range totals {
		t.Logf("all starts, %s: %s", policyNames[p], o)
	}
	assert.Check(t, totals[newLimit].inTarget >= totals[fullBound].inTarget)
	assert.Check(t, totals[newLimit].urgentInTarget >= totals[fullBound].urgentInTarget)
}

// answers records rounds of answers with the given latency.
func answers(l *Limit, at entity.Time, rounds, usual int, latency time.Duration) entity.Time {
	for range rounds {
		for range roundLength(l.Bound(usual), usual) {
			l.Answered(at.Add(latency), at, l.Bound(usual), usual)
		}
		at = at.Add(latency)
	}
	return at
}

// Guards against a limit that stays on an upstream that answers fast, and against one that
// begins at zero or at the full bound.
func TestLimitEndsAtTheUsualBound(t *testing.T) {
	l := Begin(0, service, 10)
	assert.Equal(t, l.Bound(10), 3)
	at := answers(&l, 0, 5, 10, service)
	assert.Assert(t, l.Ended(at))
	assert.Equal(t, l.Largest(), 10)
}

// Guards against a limit without an end at an upstream that stays slow, and against one
// that adds statements to its queue meanwhile.
func TestSlowUpstreamGetsOneStatementPerSlot(t *testing.T) {
	l := Begin(0, service, 10)
	at := answers(&l, 0, 10, 10, 4*service)
	assert.Equal(t, l.Bound(10), 5)
	assert.Assert(t, !l.Ended(at) && l.Ended(entity.Time(MaxDuration)))
}

// Guards against a single event at the upstream that is counted once for each statement in
// flight, and against a limit that falls below its beginning.
func TestFailuresOfOneEventCountOnce(t *testing.T) {
	l := Begin(0, service, 20)
	at := answers(&l, 0, 2, 20, service)
	before := l.Bound(20)
	for range before {
		l.Failed(at.Add(service), at)
	}
	assert.Equal(t, l.Bound(20), before/2)
	for range 10 {
		at = at.Add(2 * service)
		l.Failed(at, at)
	}
	assert.Equal(t, l.Bound(20), 5)
}

// Guards against urgent statements that wait for less urgent ones because of the limit.
func TestLessUrgentStatementsLeaveRoom(t *testing.T) {
	l := Begin(0, service, 1)
	assert.Equal(t, l.UrgentBound(1, 2, 1), 2)
	assert.Equal(t, l.UrgentBound(1, 2, 0), 1)
}

// Guards against an upstream that failed and gets more than one statement before it has
// answered, and against a limit that ends meanwhile.
func TestFailedUpstreamIsTriedByOneStatement(t *testing.T) {
	l := Begin(0, service, 20)
	l.Suspend()
	late := entity.Time(2 * MaxDuration)
	assert.Equal(t, l.Bound(20), 1)
	assert.Assert(t, !l.Ended(late))
	l.Resume(late)
	assert.Equal(t, l.Bound(20), 5)
	assert.Assert(t, !l.Ended(late) && l.Ended(late.Add(MaxDuration)))
}
