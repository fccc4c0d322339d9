package group_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

const ms = entity.Time(time.Millisecond)

// status returns a member status whose log and applied position are at offset in
// term 1.
func status(name entity.Upstream, term, offset uint64, primary bool) entity.MemberStatus {
	return entity.MemberStatus{
		Upstream: name, Primary: primary, Term: term,
		Log: entity.Position{Term: 1, Offset: offset}, Applied: entity.Position{Term: 1, Offset: offset},
		History: []entity.TermStart{{Term: 1}},
	}
}

func newGroup() *group.Group {
	return group.New(group.DefaultConfig(), []entity.Upstream{"a", "b", "c"}, 1)
}

// answerProbe passes a successful probe answer to the group.
func answerProbe(g *group.Group, now entity.Time, id group.RoundID, s entity.MemberStatus) {
	g.StepProbe(now, group.ProbeAnswer{Round: id, Upstream: s.Upstream, Status: s})
}

// Guards against a round that is confirmed without the primary or a majority, and
// against an answer to an earlier round that confirms a later one.
func TestRoundNeedsPrimaryAndMajority(t *testing.T) {
	g := newGroup()
	first := g.RequestRound(0)
	g.Tick(0)
	second := g.RequestRound(ms)
	g.Tick(2 * ms)
	answerProbe(g, 3*ms, first, status("b", 1, 5, false))
	answerProbe(g, 3*ms, first, status("c", 1, 5, false))
	assert.Equal(t, g.Round(first).State, group.RoundPending)
	answerProbe(g, 4*ms, second, status("a", 1, 7, true))
	assert.Equal(t, g.Round(first).State, group.RoundConfirmed)
	assert.Equal(t, g.Round(first).Position.Offset, uint64(7))
	assert.Equal(t, g.Round(first).MajorityPosition.Offset, uint64(5))
	assert.Equal(t, g.Round(second).State, group.RoundPending)
	answerProbe(g, 5*ms, second, status("c", 1, 7, false))
	assert.Equal(t, g.Round(second).State, group.RoundConfirmed)
}

// Guards against a round that is confirmed although a member was fenced at a higher
// term.
func TestHigherTermFailsRound(t *testing.T) {
	g := newGroup()
	id := g.RequestRound(0)
	g.Tick(0)
	answerProbe(g, ms, id, status("b", 2, 5, false))
	answerProbe(g, ms, id, status("a", 1, 5, true))
	assert.Equal(t, g.Round(id).State, group.RoundFailed)
	_, _, ok := g.Primary()
	assert.Assert(t, !ok)
}

// Guards against a promotion that is missing, too early, or of a member that lacks the
// latest log entries.
func TestSilentPrimaryIsReplaced(t *testing.T) {
	g := newGroup()
	var fencedAt entity.Time
	var promoted []group.PromoteRequest
	for now := entity.Time(0); now < 2000*ms && len(promoted) == 0; now += ms {
		g.Tick(now)
		out := g.Ready()
		for _, p := range out.Probes {
			switch {
			case p.Upstream != "a":
				answerProbe(g, now, p.Round, status(p.Upstream, 1, 5, false))
			case now < 300*ms:
				answerProbe(g, now, p.Round, status("a", 1, 9, true))
			}
		}
		for _, c := range out.Claims {
			g.StepClaim(now, group.ClaimAnswer{Term: c.Term, Claimed: true})
		}
		for _, f := range out.Fences {
			fencedAt = now
			offset := map[entity.Upstream]uint64{"b": 6, "c": 8}[f.Upstream]
			if offset > 0 {
				g.StepFence(now, group.FenceAnswer{Upstream: f.Upstream, Term: f.Term, Accepted: true, Status: status(f.Upstream, f.Term, offset, false)})
			}
		}
		promoted = append(promoted, out.Promotes...)
		for _, p := range out.Promotes {
			g.StepPromote(now, group.PromoteAnswer{Upstream: p.Upstream, Term: p.Term, Accepted: true, Status: status(p.Upstream, p.Term, 8, true)})
		}
	}
	// The primary answers last at 200 ms; SuspectAfter is 700 ms.
	assert.Assert(t, fencedAt >= 900*ms && fencedAt < 1000*ms, "fenced at %d ms", fencedAt/ms)
	assert.DeepEqual(t, promoted, []group.PromoteRequest{{Upstream: "c", Term: 2}})
	name, term, ok := g.Primary()
	assert.Assert(t, ok && name == "c" && term == 2)
}

// Guards against counting a log of an older term towards the majority position only
// because it is long enough: a member with a log of a later term would be promoted
// in preference to it.
func TestMajorityPositionNeedsThePrimarysTerm(t *testing.T) {
	g := newGroup()
	id := g.RequestRound(0)
	g.Tick(0)
	divergent := status("b", 2, 50, false)
	newer := entity.MemberStatus{
		Upstream: "a", Primary: true, Term: 2, Log: entity.Position{Term: 2, Offset: 48},
		History: []entity.TermStart{{Term: 1}, {Term: 2, Offset: 45}},
	}
	answerProbe(g, ms, id, divergent)
	answerProbe(g, ms, id, newer)
	assert.Equal(t, g.Round(id).State, group.RoundConfirmed)
	assert.Assert(t, g.Round(id).MajorityPosition.IsZero())
	follower := newer
	follower.Upstream, follower.Primary, follower.Log.Offset = "c", false, 47
	answerProbe(g, ms, id, follower)
	id = g.RequestRound(ms)
	g.Tick(2 * ms)
	answerProbe(g, 3*ms, id, divergent)
	answerProbe(g, 3*ms, id, newer)
	assert.Equal(t, g.Round(id).MajorityPosition, entity.Position{Term: 2, Offset: 47})
}

// Guards against a promotion when only the persistent connection fails: three probes
// on fresh connections must have timed out as well.
func TestSuspicionNeedsFreshConnections(t *testing.T) {
	config := group.DefaultConfig()
	config.SuspectAfter = 100 * time.Millisecond
	g := group.New(config, []entity.Upstream{"a", "b", "c"}, 1)
	var fresh []entity.Time
	claimed := false
	for now := entity.Time(0); now < 1000*ms && !claimed; now += ms {
		g.RequestRound(now)
		g.Tick(now)
		out := g.Ready()
		claimed = len(out.Claims) > 0
		for _, p := range out.Probes {
			switch {
			case p.Upstream != "a" || now < 50*ms:
				answerProbe(g, now, p.Round, status(p.Upstream, 1, 5, p.Upstream == "a"))
			case p.FreshConnection:
				fresh = append(fresh, now)
			default:
				g.StepProbe(now, group.ProbeAnswer{Round: p.Round, Upstream: "a", Failed: true})
			}
		}
		if claimed {
			assert.Assert(t, len(fresh) >= 3 && fresh[2]+150*ms <= now, "fresh %v, claim at %v", fresh, now)
		}
	}
	assert.Assert(t, claimed)
}

// Guards against a round that is confirmed by answers which waited while the owner was
// paused: another owner may have promoted a member during the pause.
func TestAnswersAfterAPauseConfirmNothing(t *testing.T) {
	g := newGroup()
	id := g.RequestRound(0)
	g.Tick(0)
	resumed := 3000 * ms
	answerProbe(g, resumed, id, status("a", 1, 5, true))
	answerProbe(g, resumed, id, status("b", 1, 5, false))
	answerProbe(g, resumed, id, status("c", 1, 5, false))
	assert.Equal(t, g.Round(id).State, group.RoundFailed)
}
