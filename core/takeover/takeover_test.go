package takeover

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

func pos(term, offset uint64) entity.Position { return entity.Position{Term: term, Offset: offset} }

func replica(name string, offset, pauseTerm uint64) Member {
	return Member{Name: entity.Upstream(name), Reached: true, Term: 1, Received: pos(1, offset), PauseTerm: pauseTerm}
}

// lost returns a view of a group whose primary is lost.
func lost(members ...Member) View {
	return View{Leader: "p", Term: 1, Members: append([]Member{{Name: "p"}}, members...), Expected: 3}
}

// healthy returns a view of a group whose healthy primary is leaving.
func healthy(members ...Member) View {
	primary := Member{Name: "p", Reached: true, Primary: true, Term: 1, Leaving: true, Received: pos(1, 99)}
	return View{Leader: "p", Term: 1, LeaderHealthy: true, Members: append([]Member{primary}, members...), Expected: 3}
}

// Guards against each known way in which a promotion could lose an acknowledged
// commit.
func TestDecide(t *testing.T) {
	unreached := Member{Name: "b"}
	leaving := replica("a", 20, 2)
	leaving.Leaving = true
	newer := Member{Name: "b", Reached: true, Primary: true, Term: 2}
	incomplete := lost(replica("a", 10, 2))
	found := lost(replica("a", 10, 2), replica("b", 10, 2))
	found.Leader = ""
	found.Members[0] = Member{Name: "p", Reached: true, Primary: true, Term: 1}
	early := func(name string, offset uint64) Member {
		m := replica(name, offset, 2)
		m.PausedEarly = true
		return m
	}
	replicaLost := func(v View, ago time.Duration) View {
		v.ReplicaLost, v.LostFor = true, ago
		return v
	}
	stalled := replicaLost(lost(replica("a", 10, 2), replica("b", 12, 2)), 0)
	stalled.LeaderStalled = true
	behind := healthy(replica("a", 11, 0), replica("b", 10, 2))
	behind.Required = pos(1, 12)
	waited := incomplete
	waited.IncompleteFor = maxIncompleteWait
	for _, c := range []struct {
		name string
		view View
		want Decision
	}{
		{"all replicas are paused after the primary is lost", lost(replica("a", 10, 0), replica("b", 12, 0)),
			Decision{Step: StepPause, Members: []entity.Upstream{"a", "b"}, Term: 2, Reason: "primary is lost"}},
		{"one replica is not paused yet", lost(replica("a", 10, 2), replica("b", 12, 0)),
			Decision{Step: StepPause, Members: []entity.Upstream{"b"}, Term: 3, Reason: "primary is lost"}},
		{"the most advanced replica is promoted", lost(replica("a", 10, 2), replica("b", 12, 2)),
			Decision{Step: StepPromote, Target: "b", Reason: "primary is lost"}},
		{"a replica that does not answer may be the only holder", lost(replica("a", 10, 2), unreached),
			Decision{Step: StepWait, Reason: "replica b does not answer"}},
		{"a leaving replica that is ahead is promoted", lost(leaving, replica("b", 12, 2)),
			Decision{Step: StepPromote, Target: "a", Reason: "primary is lost"}},
		{"a replica that is not listed yet may be the only holder", incomplete,
			Decision{Step: StepWait, Reason: "only 1 of 2 replicas are known"}},
		{"a switchover also waits for a replica that is not listed yet", healthy(replica("a", 10, 0)),
			Decision{Step: StepWait, Reason: "only 1 of 2 replicas are known"}},
		{"the missing replica does not return in time", waited,
			Decision{Step: StepPromote, Target: "a", Reason: "primary is lost"}},
		{"another primary leads already", lost(replica("a", 10, 0), newer),
			Decision{Step: StepDone, Target: "b", Reason: "another primary leads"}},
		{"the listed primary is back after none was known", found,
			Decision{Step: StepDone, Target: "p", Reason: "another primary leads"}},
		{"a primary that another proxy promoted meanwhile is not replaced", healthy(replica("a", 12, 0), Member{Name: "b", Reached: true, Primary: true, Term: 1}),
			Decision{Step: StepDone, Target: "b", Reason: "another primary leads"}},
		{"all but the successor are paused while the primary is healthy", healthy(replica("a", 12, 0), replica("b", 10, 0)),
			Decision{Step: StepPause, Members: []entity.Upstream{"b"}, Term: 2, Reason: "successor is a"}},
		{"the successor catches up with a paused replica", healthy(replica("a", 9, 0), replica("b", 10, 2)),
			Decision{Step: StepWait, Target: "a", Reason: "successor catches up"}},
		{"the successor holds everything that the other replicas hold", healthy(replica("a", 11, 0), replica("b", 10, 2)),
			Decision{Step: StepPromote, Target: "a", Reason: "primary leaves"}},
		{"a leaving replica is not a successor", healthy(func() Member { m := replica("a", 50, 0); m.Leaving = true; return m }(), replica("b", 10, 0)),
			Decision{Step: StepPause, Members: []entity.Upstream{"a"}, Term: 2, Reason: "successor is b"}},
		{"the successor holds less than a lost replica may have held", behind,
			Decision{Step: StepWait, Target: "a", Reason: "successor catches up"}},
		{"the successor of an earlier switchover was lost", healthy(early("a", 10), early("b", 10), unreached),
			Decision{Step: StepResume, Members: []entity.Upstream{"a", "b"}, Reason: "no replica that stays receives the log"}},
		{"only a replica that leaves receives the log", healthy(early("a", 10), func() Member { m := replica("b", 50, 0); m.Leaving = true; return m }()),
			Decision{Step: StepResume, Members: []entity.Upstream{"a"}, Reason: "no replica that stays receives the log"}},
		{"the successor of an earlier switchover still receives the log", healthy(early("a", 10), replica("b", 10, 0)),
			Decision{Step: StepPromote, Target: "b", Reason: "primary leaves"}},
		{"the lost successor of an earlier switchover may hold more", replicaLost(lost(early("a", 10), early("b", 10)), maxIncompleteWait-1),
			Decision{Step: StepWait, Reason: "a lost replica may hold more"}},
		{"the lost successor of an earlier switchover does not return in time", replicaLost(lost(early("a", 10), early("b", 10)), maxIncompleteWait),
			Decision{Step: StepPromote, Target: "a", Reason: "primary is lost"}},
		{"the others received the log after a replica was lost", replicaLost(lost(early("a", 10), replica("b", 12, 2)), 0),
			Decision{Step: StepPromote, Target: "b", Reason: "primary is lost"}},
		{"a lost replica may hold more than the primary could send to the others", stalled,
			Decision{Step: StepWait, Reason: "a lost replica may hold more"}},
	} {
		t.Run(c.name, func(t *testing.T) { assert.DeepEqual(t, Decide(c.view), c.want) })
	}
}

// simulatedGroup simulates a group whose primary acknowledges a commit once one
// replica has received it.
type simulatedGroup struct {
	primary   int
	term      uint64
	received  [3]uint64
	pauseTerm [3]uint64
	down      [3]bool
	written   uint64
	acked     uint64
}

// view returns the reports of the members, some of which are lost at random.
func (s *simulatedGroup) view(t *rapid.T, leaving bool) View {
	v := View{Leader: "m0", Term: 1, Expected: 3}
	for i := range 3 {
		m := Member{Name: entity.Upstream(fmt.Sprintf("m%d", i)), Term: s.term}
		if !s.down[i] && rapid.IntRange(0, 9).Draw(t, "lost answer") > 0 {
			m.Reached, m.Primary, m.PauseTerm = true, i == s.primary, s.pauseTerm[i]
			m.Received = pos(1, s.received[i])
		}
		v.LeaderHealthy = v.LeaderHealthy || i == 0 && leaving && m.Reached
		v.Members = append(v.Members, m)
	}
	return v
}

// runEvents applies random commits, replication, crashes and restarts.
func (s *simulatedGroup) runEvents(t *rapid.T) {
	for range rapid.IntRange(0, 6).Draw(t, "events") {
		i := rapid.IntRange(0, 2).Draw(t, "member")
		switch rapid.IntRange(0, 3).Draw(t, "event") {
		case 0:
			if !s.down[0] {
				s.written++
				s.received[0] = s.written
			}
		case 1, 2:
			if i != 0 && !s.down[i] && !s.down[0] && s.pauseTerm[i] == 0 {
				s.received[i] = s.written
				s.acked = max(s.acked, s.written)
			}
		case 3:
			s.down[i] = !s.down[i]
			if s.down[i] {
				s.pauseTerm[i] = 0
			}
		}
	}
}

// Guards against a promotion that loses an acknowledged commit because of events
// between the reports of the members and the order based on them. A crashed member
// loses its pause, as a restarted upstream does.
func TestPromotionKeepsAcknowledgedCommits(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := &simulatedGroup{term: 1}
		leaving := rapid.Bool().Draw(t, "leaving")
		for range 60 {
			s.runEvents(t)
			d := Decide(s.view(t, leaving))
			switch d.Step {
			case StepPause:
				for _, name := range d.Members {
					i := int(name[1] - '0')
					if !s.down[i] && rapid.IntRange(0, 4).Draw(t, "lost order") > 0 {
						s.pauseTerm[i] = d.Term
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

// Guards against a successor without commits that callers were told of, and against waits for commits
// that they were not told of.
func TestSuccessorHoldsReportedCommits(t *testing.T) {
	leaving := replica("a", 20, 2)
	leaving.Leaving = true
	ended := Member{Name: "a", Leaving: true}
	stalled := func(reported uint64, complete bool, members ...Member) View {
		v := lost(members...)
		v.Members[0] = Member{Name: "p", Reached: true, Primary: true, Term: 1, Received: pos(1, 30)}
		v.LeaderStalled, v.LeaderAnswers, v.LeaderReceived = true, true, pos(1, 30)
		v.Reported, v.ReportedAtLeast, v.ReportsComplete = pos(1, reported), pos(1, reported), complete
		return v
	}
	primaryLost := func(reported uint64, complete bool, behind time.Duration, members ...Member) View {
		v := lost(members...)
		v.Reported, v.ReportedAtLeast, v.ReportsComplete, v.BehindFor = pos(1, reported), pos(1, reported), complete, behind
		return v
	}
	covering := func(end uint64, v View) View {
		v.Reported = pos(1, end)
		return v
	}
	departed := func(v View) View {
		v.Departed = true
		return v
	}
	promote := func(name entity.Upstream) Decision {
		return Decision{Step: StepPromote, Target: name, Reason: "primary is lost"}
	}
	wait := func(reason string) Decision { return Decision{Step: StepWait, Reason: reason} }
	b, c := replica("b", 10, 2), replica("c", 12, 2)
	for _, test := range []struct {
		name string
		view View
		want Decision
	}{
		{"a replica that stays holds all reported commits", stalled(12, true, leaving, b, c), promote("c")},
		{"it is not known whether it does", stalled(12, false, leaving, b, c), promote("a")},
		{"only the one that leaves does", stalled(13, true, leaving, b, c), promote("a")},
		{"the one that leaves does not answer and is not needed", stalled(12, true, ended, b, c), promote("c")},
		{"the one that leaves does not answer and may be needed", stalled(12, false, ended, b, c), wait("replica a does not answer")},
		{"only the primary does, and answers", stalled(13, true, b, c), wait("only the primary holds all reported commits")},
		{"the reply of a reported commit covers others that no replica has", covering(14, primaryLost(12, true, 0, b, c)), promote("c")},
		{"the primary may hold more, and answers", departed(stalled(12, false, b, c)), wait("only the primary may hold the commits of a replica that has ended")},
		{"the primary holds more, which nobody was told of", departed(stalled(12, true, b, c)), promote("c")},
		{"the primary may hold more, but all replicas are there", stalled(12, false, b, c), promote("c")},
		{"only the lost primary does", primaryLost(13, true, 0, b, c), wait("reported commits are missing")},
		{"the lost primary does not return", primaryLost(13, true, maxIncompleteWait, b, c), promote("c")},
		{"the primary is lost, one that stays holds all", primaryLost(12, true, 0, leaving, b, c), promote("c")},
	} {
		t.Run(test.name, func(t *testing.T) { assert.DeepEqual(t, Decide(test.view), test.want) })
	}
}
