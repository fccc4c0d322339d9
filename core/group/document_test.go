package group_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// Guards against a promotion that loses what a majority of the earlier document's upstreams holds: the
// majorities of two documents that differ by one upstream need not overlap.
func TestReplacedUpstreamLosesNoCommit(t *testing.T) {
	before := newGroup()
	id := before.RequestRound(0)
	before.Tick(0)
	answerProbe(before, ms, id, status("a", 1, 9, true))
	answerProbe(before, ms, id, status("c", 1, 9, false))
	proven := before.Round(id).MajorityPosition

	// The next document replaces c by d, which has no log yet, and a crashes.
	g := group.New(group.DefaultConfig(), []entity.Upstream{"a", "b", "d"}, 1)
	members := map[entity.Upstream]entity.MemberStatus{"b": status("b", 1, 5, false), "d": {Upstream: "d"}}
	for at := entity.Time(0); at < 3000*ms; at = max(g.NextTick(), at+1) {
		g.Tick(at)
		out := g.Ready()
		for _, p := range out.Probes {
			if s, ok := members[p.Upstream]; ok {
				answerProbe(g, at, p.Round, s)
			}
		}
		for _, c := range out.Claims {
			g.StepClaim(at, group.ClaimAnswer{Term: c.Term, Claimed: true})
		}
		for _, f := range out.Fences {
			if s, ok := members[f.Upstream]; ok {
				s.Term = f.Term
				g.StepFence(at, group.FenceAnswer{Term: f.Term, Upstream: f.Upstream, Accepted: true, Status: s})
			}
		}
		for _, p := range out.Promotes {
			assert.Assert(t, !members[p.Upstream].Log.Less(proven), "%s is promoted with %v, proven is %v", p.Upstream, members[p.Upstream].Log, proven)
		}
	}
}
