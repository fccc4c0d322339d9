package takeover

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func pos(term, offset uint64) entity.Position { return entity.Position{Term: term, Offset: offset} }

func replica(name string, offset, held uint64) Member {
	return Member{Name: entity.Upstream(name), Reached: true, Term: 1, Received: pos(1, offset), PauseTerm: held}
}

func lost(members ...Member) View {
	return View{Leader: "p", Term: 1, Members: append([]Member{{Name: "p"}}, members...), Expected: 3}
}

func healthy(members ...Member) View {
	primary := Member{Name: "p", Reached: true, Primary: true, Term: 1, Leaving: true, Received: pos(1, 99)}
	return View{Leader: "p", Term: 1, LeaderHealthy: true, Members: append([]Member{primary}, members...), Expected: 3}
}

// Guards against each way in which a promotion could lose an acknowledged commit.
func TestDecide(t *testing.T) {
	unreached := Member{Name: "b"}
	leaving := replica("a", 20, 2)
	leaving.Leaving = true
	newer := Member{Name: "b", Reached: true, Primary: true, Term: 2}
	incomplete := lost(replica("a", 10, 2))
	waited := incomplete
	waited.IncompleteFor = incompleteWait
	for _, c := range []struct {
		name string
		view View
		want Decision
	}{
		{"a lost primary's replicas are paused first", lost(replica("a", 10, 0), replica("b", 12, 0)),
			Decision{Step: StepPause, Pause: []entity.Upstream{"a", "b"}, Term: 2, Reason: "primary is lost"}},
		{"one replica is not paused yet", lost(replica("a", 10, 2), replica("b", 12, 0)),
			Decision{Step: StepPause, Pause: []entity.Upstream{"b"}, Term: 3, Reason: "primary is lost"}},
		{"the furthest replica is named", lost(replica("a", 10, 2), replica("b", 12, 2)),
			Decision{Step: StepPromote, Target: "b", Reason: "primary is lost"}},
		{"a replica that does not answer may be the only holder", lost(replica("a", 10, 2), unreached),
			Decision{Step: StepWait, Reason: "replica b does not answer"}},
		{"a leaving replica that is ahead is named all the same", lost(leaving, replica("b", 12, 2)),
			Decision{Step: StepPromote, Target: "a", Reason: "primary is lost"}},
		{"a replica that is not listed yet may be the only holder", incomplete,
			Decision{Step: StepWait, Reason: "only 1 of 2 replicas are known"}},
		{"a primary that leaves waits for it as well", healthy(replica("a", 10, 0)),
			Decision{Step: StepWait, Reason: "only 1 of 2 replicas are known"}},
		{"the missing one stays away", waited,
			Decision{Step: StepPromote, Target: "a", Reason: "primary is lost"}},
		{"another primary leads already", lost(replica("a", 10, 0), newer),
			Decision{Step: StepDone, Target: "b", Reason: "a newer primary leads"}},
		{"all but the successor are paused while the primary is healthy", healthy(replica("a", 12, 0), replica("b", 10, 0)),
			Decision{Step: StepPause, Pause: []entity.Upstream{"b"}, Term: 2, Reason: "successor is a"}},
		{"the successor catches up with the paused one", healthy(replica("a", 9, 0), replica("b", 10, 2)),
			Decision{Step: StepWait, Target: "a", Reason: "successor catches up"}},
		{"the successor holds what all others hold", healthy(replica("a", 11, 0), replica("b", 10, 2)),
			Decision{Step: StepPromote, Target: "a", Reason: "primary leaves"}},
		{"a leaving replica is no successor", healthy(func() Member { m := replica("a", 50, 0); m.Leaving = true; return m }(), replica("b", 10, 0)),
			Decision{Step: StepPause, Pause: []entity.Upstream{"a"}, Term: 2, Reason: "successor is b"}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Decide(c.view), c.want) })
	}
}

// simulated is a group whose primary acknowledges a commit once one replica has it.
type simulated struct {
	primary  int
	term     uint64
	received [3]uint64
	held     [3]uint64
	down     [3]bool
	log      uint64
	acked    uint64
}

func (s *simulated) view(t *rapid.T, leaving bool) View {
	v := View{Leader: "m0", Term: 1, Expected: 3}
	for i := range 3 {
		m := Member{Name: entity.Upstream(fmt.Sprintf("m%d", i)), Term: s.term}
		if !s.down[i] && rapid.IntRange(0, 9).Draw(t, "lost answer") > 0 {
			m.Reached, m.Primary, m.PauseTerm = true, i == s.primary, s.held[i]
			m.Received = pos(1, s.received[i])
		}
		v.LeaderHealthy = v.LeaderHealthy || i == 0 && leaving && m.Reached
		v.Members = append(v.Members, m)
	}
	return v
}

// run lets the group work on: commits, deliveries, crashes and returns.
func (s *simulated) run(t *rapid.T) {
	for range rapid.IntRange(0, 6).Draw(t, "events") {
		i := rapid.IntRange(0, 2).Draw(t, "member")
		switch rapid.IntRange(0, 3).Draw(t, "event") {
		case 0:
			if !s.down[0] {
				s.log++
				s.received[0] = s.log
			}
		case 1, 2:
			if i != 0 && !s.down[i] && !s.down[0] && s.held[i] == 0 {
				s.received[i] = s.log
				s.acked = max(s.acked, s.log)
			}
		case 3:
			s.down[i] = !s.down[i]
			if s.down[i] {
				s.held[i] = 0
			}
		}
	}
}

// Guards against a promotion that loses an acknowledged commit, whatever happens
// between a survey and the order that follows it. Crashed members lose their
// pause, as restarted upstreams do.
func TestPromotionKeepsAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulated{term: 1}
		leaving := rapid.Bool().Draw(t, "leaving")
		for range 60 {
			s.run(t)
			d := Decide(s.view(t, leaving))
			switch d.Step {
			case StepPause:
				for _, name := range d.Pause {
					i := int(name[1] - '0')
					if !s.down[i] && rapid.IntRange(0, 4).Draw(t, "lost order") > 0 {
						s.held[i] = d.Term
					}
				}
			case StepPromote:
				i := int(d.Target[1] - '0')
				if s.received[i] < s.acked {
					t.Fatalf("%s leads with %d of %d acknowledged commits", d.Target, s.received[i], s.acked)
				}
				return
			}
		}
	})
}
