package takeover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// lossyGroup simulates a group with a healthy primary, member 0, that is to be replaced, and
// three replicas of which one may be lost for good. Takeovers end at any moment and leave their
// pauses.
type lossyGroup struct {
	received  [4]uint64
	pauseTerm [4]uint64
	lost      [4]bool
	// unlisted is set once the entry of a lost replica has expired. Until then every other
	// replica that is not paused has received what the lost one held.
	unlisted       [4]bool
	written, acked uint64
	takeover       *Takeover
	// cutOff is set while the takeover cannot reach the primary.
	cutOff bool
}

func (g *lossyGroup) lose(i int) {
	for _, lost := range g.lost {
		if lost {
			return
		}
	}
	g.lost[i] = true
}

func (g *lossyGroup) expire(i int) {
	for j := 1; j < 4; j++ {
		if !g.lost[j] && g.pauseTerm[j] == 0 && g.received[j] < g.received[i] {
			return
		}
	}
	g.unlisted[i] = g.lost[i]
}

func (g *lossyGroup) replicate(i int) {
	if !g.lost[i] && g.pauseTerm[i] == 0 {
		g.received[i] = g.written
		g.acked = max(g.acked, g.written)
	}
}

// restart ends the takeover and begins another one. The delay between them is longer than the
// log needs to reach a replica.
func (g *lossyGroup) restart(cutOff bool) {
	for i := 1; i < 4; i++ {
		g.replicate(i)
	}
	g.takeover, g.cutOff = New(false), cutOff
}

func (g *lossyGroup) runEvents(t *rapid.T) {
	for range rapid.IntRange(0, 5).Draw(t, "events") {
		i := rapid.IntRange(1, 3).Draw(t, "member")
		switch rapid.IntRange(0, 8).Draw(t, "event") {
		case 0, 1, 2:
			g.written++
		case 3, 4, 5:
			g.replicate(i)
		case 6:
			g.lose(i)
		case 7:
			g.expire(i)
		case 8:
			if rapid.IntRange(0, 3).Draw(t, "takeover ends") == 0 {
				g.restart(rapid.IntRange(0, 2).Draw(t, "cut off") == 0)
			}
		}
	}
	g.received[0] = g.written
}

func (g *lossyGroup) view(t *rapid.T) View {
	v := View{Leader: "m0", Term: 1, Expected: 3, LeaderHealthy: !g.cutOff}
	for i := range 4 {
		if g.unlisted[i] {
			v.ReplicaLost = true
			continue
		}
		m := Member{Name: entity.Upstream(fmt.Sprintf("m%d", i)), Term: 1}
		reached := !g.lost[i] && rapid.IntRange(0, 9).Draw(t, "lost answer") > 0
		if i == 0 {
			m.Leaving, reached = true, !g.cutOff
		}
		if reached {
			m.Reached, m.Primary, m.PauseTerm, m.Received = true, i == 0, g.pauseTerm[i], pos(1, g.received[i])
		}
		v.Members = append(v.Members, m)
	}
	return v
}

// carryOut applies a decision. It reports whether a member was promoted.
func (g *lossyGroup) carryOut(t *rapid.T, d Decision) bool {
	switch d.Step {
	case StepPause, StepResume:
		for _, name := range d.Members {
			if i := int(name[1] - '0'); !g.lost[i] && rapid.IntRange(0, 4).Draw(t, "lost command") > 0 {
				g.pauseTerm[i] = d.Term
			}
		}
	case StepPromote:
		i := int(d.Target[1] - '0')
		if rapid.IntRange(0, 2).Draw(t, "target is lost") == 0 {
			g.lose(i)
		}
		// The order takes effect later.
		ordered := g.takeover
		g.runEvents(t)
		g.takeover = ordered
		if g.lost[i] {
			return false
		}
		if g.received[i] < g.acked {
			t.Fatalf("%s leads with %d of %d acknowledged commits", d.Target, g.received[i], g.acked)
		}
		return true
	}
	return false
}

// Guards against a promotion that loses commits which only the primary and a lost replica hold.
func TestPromotionKeepsCommitsOfALostReplica(t *testing.T) {
	// One check plays 100 groups; the rarer faults show in one of 3,000.
	for range 50 {
		rapid.Check(t, func(t *rapid.T) {
			g := &lossyGroup{takeover: New(false)}
			for range 80 {
				g.runEvents(t)
				if g.carryOut(t, g.takeover.Next(1, g.view(t))) {
					return
				}
			}
		})
	}
}

// Guards against a switchover that waits for a successor to which the primary sends nothing.
func TestStalledLeaderIsReplacedAsIfLost(t *testing.T) {
	view := func() View {
		v := healthy(replica("a", 12, 0), replica("b", 10, 2))
		v.Synchronous = true
		return v
	}
	var at entity.Time
	run := New(false)
	assert.Equal(t, run.Next(at.Add(time.Second), view()).Step, StepWait)
	assert.Equal(t, run.Next(at.Add(time.Second+stallWindow-1), view()).Step, StepWait)
	assert.DeepEqual(t, run.Next(at.Add(time.Second+stallWindow), view()),
		Decision{Step: StepPause, Members: []entity.Upstream{"a"}, Term: 3, Reason: "primary is lost"})
}

// Guards against a promotion that loses commits which only the target of an earlier order holds:
// it received them after its pause was lifted, and was lost.
func TestLostTargetOfAnOrderIsWaitedFor(t *testing.T) {
	run := New(false)
	run.Next(1, lost(replica("a", 10, 0), replica("b", 10, 0), replica("c", 10, 0)))
	d := run.Next(1, lost(replica("a", 10, 2), replica("b", 10, 2), replica("c", 10, 2)))
	assert.DeepEqual(t, d, Decision{Step: StepPromote, Target: "a", Reason: "primary is lost"})
	v := lost(replica("b", 10, 2), replica("c", 10, 2))
	v.ReplicaLost = true
	assert.DeepEqual(t, run.Next(1, v), Decision{Step: StepWait, Reason: "a lost replica may hold more"})
}
