// Package takeover decides the steps of a promotion, that is of a failover or a
// planned switchover. It is deterministic: Decide takes the latest reports of the
// members of a group and returns the next step.
//
// An acknowledged commit is held by the primary and by at least one replica. The
// successor starts from the log that it has received, so it must hold everything
// that any other replica may have acknowledged:
//
//   - A paused replica receives nothing, so it acknowledges nothing.
//   - Failover: if the primary is lost, all replicas are paused and the one with
//     the most advanced log is promoted.
//   - Switchover: if a healthy primary is to be replaced, all replicas but the
//     successor are paused. The successor keeps receiving, so writes continue until
//     the change of primary. It is promoted once it holds everything that every
//     other replica holds, and everything that the primary held when the members and
//     their pauses last changed: a replica that was lost may have been the only one to
//     hold a commit.
//   - If no replica that stays receives the log of a healthy primary, because the successor
//     was lost after the others were paused, their pauses are lifted first.
//   - A primary that answers but sends those replicas that stay nothing is replaced as if it were
//     lost. A replica that ends may have received commits from it, so it is replaced only by one that
//     holds all commits that were reported to callers.
//   - A replica that does not answer or is not listed may be the only holder of a
//     commit. No replica is promoted until every listed replica answers and any
//     unlisted one has been missing for maxIncompleteWait.
//
// A pause ends with the promotion, when a switchover is given up, or when its successor is
// lost.
//
// An order may take effect seconds after it was sent. While it is open, its target must hold
// every commit that is acknowledged, also after a later takeover began:
//
//   - The successor of a lost primary receives the log while its order is open: the primary
//     may be alive and reached by others.
//   - The target of an open order is preferred as the successor.
//   - No pause but a target's is lifted, and a takeover does not end because a primary leads,
//     while an order with another target is open. The target then becomes the successor, or its
//     order is revoked.
//   - Evidence.Holds decides whether an acknowledged commit may be reported to its caller.
package takeover

import (
	"fmt"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Member is the reported state of one upstream of the group.
type Member struct {
	Name entity.Upstream
	// Reached is set if the member answered the latest status request.
	Reached bool
	Primary bool
	// Term is the highest term that the member knows. PauseTerm is the term for
	// which it is paused, 0 if it is not paused and receives the log.
	Term, PauseTerm uint64
	// PausedEarly is set if another replica may have received the log after the member was
	// paused: an earlier takeover paused it, or a switchover did.
	PausedEarly bool
	// Received is the end of the log that the member holds.
	Received entity.Position
	// Leaving is set if the member shuts down soon. Its log is lost then.
	Leaving bool
}

// View is the state of a group during a takeover. The fields PausedEarly of its members,
// LeaderStalled and Required are set by Takeover.Next.
type View struct {
	// Leader is the primary to replace, empty if none was known when the takeover
	// began. Term is the newest term known.
	Leader entity.Upstream
	Term   uint64
	// LeaderHealthy is set if the leader answers as the primary and still replicates,
	// LeaderStalled if it answers but replicates nothing.
	LeaderHealthy, LeaderStalled bool
	// LeaderAnswers is set if the leader answers this proxy or another one as the primary, whether it
	// replicates or not. LeaderReceived is the end of its log, zero if unknown.
	LeaderAnswers  bool
	LeaderReceived entity.Position
	// KeepLeader is set if the leader is to be replaced only by the target of an open order.
	KeepLeader bool
	// Required is a position that covers the commits that only a lost replica held: the end of
	// the healthy leader's log in a report that came after the last change of the members and of
	// their pauses, else the most advanced log that this takeover has seen at a replica.
	Required entity.Position
	// Reported is the end of the log when the newest commit known to have been reported to a caller was
	// acknowledged; the commit has at least the position ReportedAtLeast. ReportsComplete is set if no
	// later one was reported. BehindFor is the time for which the leader has been lost and all replicas
	// have lacked ReportedAtLeast.
	Reported, ReportedAtLeast entity.Position
	ReportsComplete           bool
	BehindFor                 time.Duration
	// Departed is set if a replica that may have received commits ended recently, as announced or not.
	Departed bool
	// Members are all upstreams that are listed or were until recently.
	Members []Member
	// Synchronous is set if the leader acknowledges no commit that no replica holds.
	Synchronous bool
	// Expected is the number of members of the complete group.
	Expected int
	// IncompleteFor is the time for which members have been missing.
	IncompleteFor time.Duration
	// Ordered are the targets of open orders.
	Ordered []entity.Upstream
	// ReplicaLost is set if a replica that had not announced its shutdown was lost, LostFor ago.
	ReplicaLost bool
	LostFor     time.Duration
}

// Step is the kind of action to take next.
type Step uint8

const (
	// StepWait waits for a member to answer or to catch up.
	StepWait Step = iota
	// StepPause pauses the members listed in Decision.Members.
	StepPause
	// StepResume lifts the pauses of the members listed in Decision.Members.
	StepResume
	// StepPromote orders the promotion of Decision.Target.
	StepPromote
	// StepRevoke revokes all open orders but those for Decision.Target, which leads.
	StepRevoke
	// StepDone ends the takeover, since Decision.Target leads, which is not the primary
	// to replace.
	StepDone
)

var stepNames = [...]string{"wait", "pause", "resume", "promote", "revoke", "done"}

// String returns the step as it appears in logs.
func (s Step) String() string { return stepNames[s] }

// Decision is the next step and the reason for it.
type Decision struct {
	Step Step
	// Target is the successor or the newer primary, empty if none is chosen yet.
	Target entity.Upstream
	// Members lists the members to pause or to resume.
	Members []entity.Upstream
	// Term is the term for which to pause them.
	Term   uint64
	Reason string
}

// maxIncompleteWait is the maximum wait for missing members; after that, the takeover
// goes on without them. A crashed upstream restarts within this time.
const maxIncompleteWait = 12 * time.Second

// Decide returns the next step of the takeover.
func Decide(v View) Decision {
	newest := v.Term
	for i := range v.Members {
		m := &v.Members[i]
		if m.Reached && m.Primary && (m.Term > v.Term || m.Term == v.Term && m.Name != v.Leader) {
			return Decision{Step: StepDone, Target: m.Name, Reason: "another primary leads"}
		}
		newest = max(newest, m.Term, m.PauseTerm)
	}
	replicas := replicasOf(&v)
	if len(replicas) == 0 {
		return Decision{Step: StepWait, Reason: "no replica is known"}
	}
	if v.LeaderHealthy {
		if d, ok := decideOrdered(&v, replicas); ok {
			return d
		}
		// Before the wait for a replica that does not answer: it may be the successor, and the
		// primary acknowledges nothing without it.
		if paused := withoutReceiver(replicas); len(paused) > 0 {
			return Decision{Step: StepResume, Members: paused, Reason: "no replica that stays receives the log"}
		}
	}
	if !v.LeaderHealthy && slices.ContainsFunc(replicas, v.suffices) {
		// What only those that leave hold is in doubt.
		replicas = slices.DeleteFunc(replicas, func(m *Member) bool { return m.Leaving && !m.Reached })
	}
	if target := orderedSuccessor(&v, replicas); target != nil && (v.LeaderHealthy || !target.Received.Less(v.ReportedAtLeast)) {
		// Its order may take effect at any time, so there is nothing to wait for, unless its order was
		// perhaps never sent and others hold commits that were reported.
		replicas = slices.DeleteFunc(replicas, func(m *Member) bool { return !m.Reached })
	} else if d, ok := decideWait(&v, replicas); ok {
		return d
	}
	if v.LeaderHealthy {
		return decideSwitchover(&v, replicas, newest)
	}
	return decideFailover(&v, replicas, newest)
}

// decideWait waits for replicas that may be the only holders of a commit.
func decideWait(v *View, replicas []*Member) (Decision, bool) {
	for _, m := range replicas {
		if !m.Reached {
			return Decision{Step: StepWait, Reason: "replica " + string(m.Name) + " does not answer"}, true
		}
	}
	if known := len(replicas); known < v.Expected-1 && v.IncompleteFor < maxIncompleteWait {
		return Decision{Step: StepWait, Reason: fmt.Sprintf("only %d of %d replicas are known", known, v.Expected-1)}, true
	}
	if v.LeaderHealthy {
		return Decision{}, false
	}
	return decideWaitForCommits(v, replicas)
}

// decideWaitForCommits waits for the members that hold commits which all replicas that answer lack. A
// primary that answers holds all commits, so it is not given up for replicas that lack some.
func decideWaitForCommits(v *View, replicas []*Member) (Decision, bool) {
	behind := v.Behind()
	switch {
	case behind && v.LeaderAnswers:
		return Decision{Step: StepWait, Reason: "only the primary holds all reported commits"}, true
	case behind && v.BehindFor < maxIncompleteWait:
		return Decision{Step: StepWait, Reason: "reported commits are missing"}, true
	case v.LeaderAnswers && v.ReportsComplete && anyReceived(replicas, v.Reported):
		return Decision{}, false
	case v.LeaderAnswers && v.Departed && (v.LeaderReceived.IsZero() || !anyReceived(replicas, v.LeaderReceived)):
		return Decision{Step: StepWait, Reason: "only the primary may hold the commits of a replica that has ended"}, true
	case v.ReplicaLost && v.LostFor < maxIncompleteWait && mayLackCommits(v, replicas):
		return Decision{Step: StepWait, Reason: "a lost replica may hold more"}, true
	}
	return Decision{}, false
}

// orderedSuccessor returns the target of an open order that would be chosen among the replicas
// that answer, nil if another one would.
func orderedSuccessor(v *View, replicas []*Member) *Member {
	var best *Member
	for _, m := range replicas {
		if !m.Reached || v.LeaderHealthy && m.Leaving {
			continue
		}
		better := betterForFailover
		if v.LeaderHealthy {
			better = betterForSwitchover
		}
		if best == nil || better(v, m, best) {
			best = m
		}
	}
	if best == nil || !v.isOrdered(best) {
		return nil
	}
	return best
}

// decideOrdered handles open orders while a healthy primary leads. A target that can becomes the
// successor, also of a primary that need not be replaced: to revoke its order takes the promotion of
// the primary, which may be carried out late as well. Otherwise the orders are revoked.
func decideOrdered(v *View, replicas []*Member) (Decision, bool) {
	if !v.orderedOtherThan(v.Leader) {
		if v.KeepLeader {
			return Decision{Step: StepDone, Target: v.Leader, Reason: "another primary leads"}, true
		}
		return Decision{}, false
	}
	if v.KeepLeader && slices.Contains(v.Ordered, v.Leader) {
		return Decision{Step: StepRevoke, Target: v.Leader, Reason: "the target of an open order leads"}, true
	}
	if !slices.ContainsFunc(replicas, func(m *Member) bool { return v.isOrdered(m) && m.Reached && !m.Leaving }) {
		return Decision{Step: StepRevoke, Target: v.Leader, Reason: "the target of an open order cannot succeed"}, true
	}
	if paused := v.pausedTargets(); len(paused) > 0 {
		return Decision{Step: StepResume, Members: paused, Reason: "the target of an open order receives the log"}, true
	}
	return Decision{}, false
}

// orderedOtherThan reports whether an order is open with another target than the given member.
func (v *View) orderedOtherThan(name entity.Upstream) bool {
	return slices.ContainsFunc(v.Ordered, func(target entity.Upstream) bool { return target != name })
}

// pausedTargets returns the targets of open orders that are paused.
func (v *View) pausedTargets() []entity.Upstream {
	var paused []entity.Upstream
	for i := range v.Members {
		if m := &v.Members[i]; m.Reached && m.PauseTerm != 0 && v.isOrdered(m) {
			paused = append(paused, m.Name)
		}
	}
	return paused
}

func (v *View) isOrdered(m *Member) bool { return slices.Contains(v.Ordered, m.Name) }

func replicasOf(v *View) []*Member {
	var replicas []*Member
	for i := range v.Members {
		if m := &v.Members[i]; m.Name != v.Leader {
			replicas = append(replicas, m)
		}
	}
	return replicas
}

// withoutReceiver returns the paused replicas if all replicas that answer and stay are paused,
// else nil.
func withoutReceiver(replicas []*Member) []entity.Upstream {
	var paused []entity.Upstream
	stays := false
	for _, m := range replicas {
		switch {
		case !m.Reached:
			continue
		case m.PauseTerm != 0:
			paused = append(paused, m.Name)
		case !m.Leaving:
			return nil
		}
		stays = stays || !m.Leaving
	}
	if !stays {
		return nil
	}
	return paused
}

// mayLackCommits reports whether the replicas may lack a commit that a lost one held, although
// its entry was still listed for some seconds after the loss: the primary sends them nothing, all
// of them were paused early, or the lost one reported more than they hold.
func mayLackCommits(v *View, replicas []*Member) bool {
	allEarly, behind := true, true
	for _, m := range replicas {
		allEarly = allEarly && m.PausedEarly
		behind = behind && m.Received.Less(v.Required)
	}
	return v.LeaderStalled || allEarly || behind
}

// decideSwitchover pauses all replicas but the successor and promotes the successor
// once it has caught up with them and with the required position.
func decideSwitchover(v *View, replicas []*Member, newest uint64) Decision {
	target := successor(v, replicas)
	if target == nil {
		return Decision{Step: StepWait, Reason: "no replica stays"}
	}
	var pause []entity.Upstream
	mostAdvanced := v.Required
	for _, m := range replicas {
		if m == target {
			continue
		}
		if m.PauseTerm == 0 && !v.isOrdered(m) {
			pause = append(pause, m.Name)
		}
		if mostAdvanced.Less(m.Received) {
			mostAdvanced = m.Received
		}
	}
	if len(pause) > 0 {
		return Decision{Step: StepPause, Members: pause, Term: newest + 1, Reason: "successor is " + string(target.Name)}
	}
	if target.Received.Less(mostAdvanced) {
		return Decision{Step: StepWait, Target: target.Name, Reason: "successor catches up"}
	}
	return Decision{Step: StepPromote, Target: target.Name, Reason: "primary leaves"}
}

// successor returns the replica to promote while the primary is healthy, nil if all
// replicas are leaving: preferably the target of an open order, then one that is not paused,
// then the one with the most advanced log.
func successor(v *View, replicas []*Member) *Member {
	var best *Member
	for _, m := range replicas {
		if m.Leaving {
			continue
		}
		if best == nil || betterForSwitchover(v, m, best) {
			best = m
		}
	}
	return best
}

// betterForSwitchover reports whether a is preferable to b as the successor of a healthy
// primary.
func betterForSwitchover(v *View, a, b *Member) bool {
	if v.isOrdered(a) != v.isOrdered(b) {
		return v.isOrdered(a)
	}
	if (a.PauseTerm == 0) != (b.PauseTerm == 0) {
		return a.PauseTerm == 0
	}
	if a.Received != b.Received {
		return b.Received.Less(a.Received)
	}
	return a.Name < b.Name
}

// decideFailover pauses all replicas and promotes the one with the most advanced log. The
// target of an open order need not be paused again.
func decideFailover(v *View, replicas []*Member, newest uint64) Decision {
	var pause []entity.Upstream
	var target *Member
	for _, m := range replicas {
		if m.PauseTerm == 0 {
			pause = append(pause, m.Name)
		}
		if target == nil || betterForFailover(v, m, target) {
			target = m
		}
	}
	receives := len(pause) == 1 && pause[0] == target.Name && v.isOrdered(target)
	if len(pause) > 0 && !receives {
		return Decision{Step: StepPause, Members: pause, Term: newest + 1, Reason: "primary is lost"}
	}
	return Decision{Step: StepPromote, Target: target.Name, Reason: "primary is lost"}
}

// betterForFailover reports whether a is preferable to b as the successor of a lost
// primary: by staying with all reported commits, by log position, then as the target of an open order,
// then by staying over leaving.
func betterForFailover(v *View, a, b *Member) bool {
	if v.suffices(a) != v.suffices(b) {
		return v.suffices(a)
	}
	if a.Received != b.Received {
		return b.Received.Less(a.Received)
	}
	if v.isOrdered(a) != v.isOrdered(b) {
		return v.isOrdered(a)
	}
	if a.Leaving != b.Leaving {
		return !a.Leaving
	}
	return a.Name < b.Name
}

// suffices reports whether a member stays and holds all commits that were reported to callers. What
// others hold beyond that is in doubt.
func (v *View) suffices(m *Member) bool {
	return v.ReportsComplete && m.Reached && !m.Leaving && !m.Received.Less(v.Reported)
}

// Behind reports whether all replicas that are known lack a commit that was reported to a caller.
func (v *View) Behind() bool { return !anyReceived(replicasOf(v), v.ReportedAtLeast) }

func anyReceived(replicas []*Member, position entity.Position) bool {
	return slices.ContainsFunc(replicas, func(m *Member) bool { return !m.Received.Less(position) })
}
