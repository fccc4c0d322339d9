// Package takeover decides the steps of a promotion. It is pure: Decide looks at
// what the members of a group said last and names the next step.
//
// An acknowledged commit is held by the primary and by at least one replica. The
// successor leads with what it has received and nothing more, so it must hold
// whatever any other replica may have acknowledged:
//
//   - A replica that is paused receives nothing, so it acknowledges nothing.
//   - If the primary is lost, all replicas are paused and the furthest is named.
//   - If the primary leaves in good health, all replicas but the successor are
//     paused. The successor goes on receiving, so that writes go on until the
//     lead changes, and is named once it holds what every other one holds.
//   - A replica that cannot be asked, or that is not listed, may be the only
//     holder. Then nothing is named until it answers or is known to be gone.
//
// A pause ends with the promotion. It is never lifted while an order to promote
// may still be under way, since that order may be carried out late.
package takeover

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Member is what is known of one upstream of the group.
type Member struct {
	Name entity.Upstream
	// Reached is set if the member answered in this survey.
	Reached bool
	Primary bool
	// Term is the newest term that the member knows, PauseTerm the one for which
	// it is paused; 0 means that it receives.
	Term, PauseTerm uint64
	// Received is the end of the log that the member holds.
	Received entity.Position
	// Leaving members shut down soon, and their log goes with them.
	Leaving bool
}

// View is the state of a group during a takeover.
type View struct {
	// Leader is the primary to be replaced, Term its term.
	Leader entity.Upstream
	Term   uint64
	// LeaderHealthy is set if the leader answers and replicates.
	LeaderHealthy bool
	// Members are all upstreams that are listed or were until a moment ago.
	Members []Member
	// Expected is the number of members that the group had when it was whole.
	Expected int
	// IncompleteFor is how long the group has been without a part of its members.
	IncompleteFor time.Duration
}

// Step is what to do next.
type Step uint8

const (
	// StepWait waits for a member to answer or to catch up.
	StepWait Step = iota
	// StepPause pauses the members of Decision.Pause.
	StepPause
	// StepPromote orders the promotion of Decision.Target.
	StepPromote
	// StepDone ends the takeover: another member leads already.
	StepDone
)

var stepNames = [...]string{"wait", "pause", "promote", "done"}

// String returns the step as it appears in logs.
func (s Step) String() string { return stepNames[s] }

// Decision is the next step with its reason.
type Decision struct {
	Step   Step
	Target entity.Upstream
	Pause  []entity.Upstream
	// Term is the term for which members are paused.
	Term   uint64
	Reason string
}

// incompleteWait is how long a group that lacks members is waited for before
// the remaining ones decide alone. A crashed upstream is back within this time.
const incompleteWait = 12 * time.Second

// Decide returns the next step.
func Decide(v View) Decision {
	newest := v.Term
	for i := range v.Members {
		m := &v.Members[i]
		if m.Reached && m.Primary && m.Term > v.Term {
			return Decision{Step: StepDone, Target: m.Name, Reason: "a newer primary leads"}
		}
		newest = max(newest, m.Term, m.PauseTerm)
	}
	replicas := replicasOf(&v)
	if len(replicas) == 0 {
		return Decision{Step: StepWait, Reason: "no replica is known"}
	}
	for _, m := range replicas {
		if !m.Reached {
			return Decision{Step: StepWait, Reason: "replica " + string(m.Name) + " does not answer"}
		}
	}
	if known := len(replicas); known < v.Expected-1 && v.IncompleteFor < incompleteWait {
		return Decision{Step: StepWait, Reason: fmt.Sprintf("only %d of %d replicas are known", known, v.Expected-1)}
	}
	if v.LeaderHealthy {
		return decideHealthy(replicas, newest)
	}
	return decideLost(replicas, newest)
}

func replicasOf(v *View) []*Member {
	var replicas []*Member
	for i := range v.Members {
		if m := &v.Members[i]; m.Name != v.Leader {
			replicas = append(replicas, m)
		}
	}
	return replicas
}

// decideHealthy lets the successor receive while all other replicas are paused.
func decideHealthy(replicas []*Member, newest uint64) Decision {
	target := successor(replicas)
	if target == nil {
		return Decision{Step: StepWait, Reason: "no replica stays"}
	}
	var pause []entity.Upstream
	furthest := target.Received
	for _, m := range replicas {
		if m == target {
			continue
		}
		if m.PauseTerm == 0 {
			pause = append(pause, m.Name)
		}
		if furthest.Less(m.Received) {
			furthest = m.Received
		}
	}
	if len(pause) > 0 {
		return Decision{Step: StepPause, Pause: pause, Term: newest + 1, Reason: "successor is " + string(target.Name)}
	}
	if target.Received.Less(furthest) {
		return Decision{Step: StepWait, Target: target.Name, Reason: "successor catches up"}
	}
	return Decision{Step: StepPromote, Target: target.Name, Reason: "primary leaves"}
}

// successor returns the replica that should lead next while the primary is
// healthy: one that still receives, else the furthest, of those that stay.
func successor(replicas []*Member) *Member {
	var best *Member
	for _, m := range replicas {
		if m.Leaving {
			continue
		}
		if best == nil || preferred(m, best) {
			best = m
		}
	}
	return best
}

func preferred(a, b *Member) bool {
	if (a.PauseTerm == 0) != (b.PauseTerm == 0) {
		return a.PauseTerm == 0
	}
	if a.Received != b.Received {
		return b.Received.Less(a.Received)
	}
	return a.Name < b.Name
}

// decideLost pauses every replica and names the furthest.
func decideLost(replicas []*Member, newest uint64) Decision {
	var pause []entity.Upstream
	var target *Member
	for _, m := range replicas {
		if m.PauseTerm == 0 {
			pause = append(pause, m.Name)
		}
		if target == nil || further(m, target) {
			target = m
		}
	}
	if len(pause) > 0 {
		return Decision{Step: StepPause, Pause: pause, Term: newest + 1, Reason: "primary is lost"}
	}
	return Decision{Step: StepPromote, Target: target.Name, Reason: "primary is lost"}
}

func further(a, b *Member) bool {
	if a.Received != b.Received {
		return b.Received.Less(a.Received)
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.Name < b.Name
}
