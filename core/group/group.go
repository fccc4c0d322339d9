package group

import (
	"math/rand/v2"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// maxHistory is the number of term starts kept for each member. Whether a
	// position in an older term survived is unknown.
	maxHistory = 32
	// maxMembers bounds the size of a group: memberSet is a 64-bit mask.
	maxMembers = 64
	// pauseTolerance is how late a call may be before the owner counts as paused
	// meanwhile. It is well under ProbeTimeout, so that a probe can't time out
	// during an undetected stall while its answer waits in a socket.
	pauseTolerance = 50 * time.Millisecond
)

// memberSet is a set of indexes into Group.members.
type memberSet uint64

func (s memberSet) has(i int) bool               { return s&(1<<i) != 0 }
func (s memberSet) with(i int) memberSet         { return s | 1<<i }
func (s memberSet) containsAll(o memberSet) bool { return s&o == o }

func (s memberSet) len() int {
	n := 0
	for ; s != 0; s &= s - 1 {
		n++
	}
	return n
}

// member is what the group knows of one member.
type member struct {
	name      entity.Upstream
	status    entity.MemberStatus
	hasStatus bool
	// answeredRound is the highest round that the member answered,
	// answeredRoundStart the start of that round.
	answeredRound      RoundID
	answeredRoundStart entity.Time
	// primaryRound is answeredRound if the member's answer to that round said
	// that it is primary, else 0.
	primaryRound RoundID
	// statusFromRound is the first round that started after the member's last
	// known promotion. An answer to an earlier one that says replica in the same
	// term may have been sent before the promotion and is ignored.
	statusFromRound RoundID
	detector        failureDetector
	// roundTrip is the shortest recent round-trip time of a probe.
	roundTrip time.Duration
	// leaving is set while the member's VM is being removed. Such a member is
	// promoted only if no other one has as much of the log.
	leaving bool
	// fencedEnd is the end of the member's log in its answer to the last fence
	// request that it accepted.
	fencedEnd entity.Position
}

// Group is the state of one database group at its owner.
//
// The owner passes every received answer to its Step method before it calls
// Tick, sends what Ready returns, and calls Tick no later than NextTick.
type Group struct {
	config  Config
	random  *rand.Rand
	members []member
	// highestTerm is the highest term that a member reported.
	highestTerm uint64
	rounds      roundTable
	// lastConfirmation describes the last confirmed round.
	lastConfirmation confirmation
	// majorityPosition is the highest position proven to survive any promotion.
	majorityPosition entity.Position
	samples          samples
	detection        primaryLossDetection
	promotion        promotion
	// switchoverRequested is set once the owner asks to replace a leaving primary.
	switchoverRequested bool
	// nextDue is when the next call is due. A call later than that by more than
	// pauseTolerance shows that the owner was paused.
	nextDue entity.Time
	started bool
	// ready holds the queued messages, spare those of the last Ready, whose memory
	// is reused.
	ready Messages
	spare Messages
}

// New returns the state of a group of which nothing is known yet. Members beyond
// the first 64 are ignored. Owners of one database need different seeds, so that
// they retry promotions at different times.
func New(config Config, members []entity.Upstream, seed uint64) *Group {
	g := &Group{config: config, random: rand.New(rand.NewPCG(seed, 0))}
	g.rounds.next = 1
	g.rounds.firstPending = 1
	g.rounds.firstUnexpired = 1
	for _, name := range members[:min(len(members), maxMembers)] {
		g.members = append(g.members, member{name: name})
	}
	return g
}

// Tick starts rounds that are due, handles timeouts and drives promotions.
func (g *Group) Tick(now entity.Time) {
	g.beginCall(now)
	g.expireProbes(now)
	g.updatePrimaryLoss(now)
	g.tickPromotion(now)
	g.startDueRound(now)
	g.nextDue = g.NextTick()
}

// NextTick returns the latest time at which Tick must be called next.
func (g *Group) NextTick() entity.Time {
	if !g.started {
		return 0
	}
	return min(g.nextRoundTime(), g.nextProbeTimeout(), g.nextPromotionTime())
}

// Ready returns the messages queued since the last call. The caller must send
// them; they are not returned again.
func (g *Group) Ready() Messages {
	out := g.ready
	g.ready = Messages{
		Probes:   g.spare.Probes[:0],
		Fences:   g.spare.Fences[:0],
		Promotes: g.spare.Promotes[:0],
		Claims:   g.spare.Claims[:0],
	}
	g.spare = out
	return out
}

// Primary returns the member believed to be primary and its term. It returns false
// while another member is known to have a higher term, since the primary may have
// been replaced.
func (g *Group) Primary() (entity.Upstream, uint64, bool) {
	m := g.currentPrimary()
	if m == nil {
		return "", 0, false
	}
	return m.name, m.status.Term, true
}

// Status returns a copy of the last known status of a member, and whether there is
// one.
func (g *Group) Status(upstream entity.Upstream) (entity.MemberStatus, bool) {
	i := g.index(upstream)
	if i < 0 {
		return entity.MemberStatus{}, false
	}
	status := g.members[i].status
	status.History = slices.Clone(status.History)
	return status, g.members[i].hasStatus
}

// beginCall records that the owner runs at now. If the call is late, the owner was
// paused and state that became unreliable is discarded.
func (g *Group) beginCall(now entity.Time) {
	if !g.started {
		g.started = true
		g.nextDue = now
		g.detection.noPrimary = true
		g.detection.noPrimarySince = now
		g.detection.promotionDelay = g.config.SuspectAfter
		for i := range g.members {
			g.members[i].detector.silentSince = now
		}
		return
	}
	if lateness := now.Sub(g.nextDue); lateness > pauseTolerance {
		g.nextDue = now
		g.handlePause(lateness)
	}
}

func (g *Group) majority() int { return len(g.members)/2 + 1 }

// index returns the index of a member, or -1.
func (g *Group) index(upstream entity.Upstream) int {
	for i := range g.members {
		if g.members[i].name == upstream {
			return i
		}
	}
	return -1
}

// highestTermPrimary returns, among the members that report to be primary, the one
// with the highest term, or nil.
func (g *Group) highestTermPrimary() *member {
	var best *member
	for i := range g.members {
		m := &g.members[i]
		if m.status.Primary && (best == nil || m.status.Term > best.status.Term) {
			best = m
		}
	}
	return best
}

// currentPrimary returns the member that reports to be primary in the highest term
// that any member reported, or nil.
func (g *Group) currentPrimary() *member {
	m := g.highestTermPrimary()
	if m == nil || m.status.Term < g.highestTerm {
		return nil
	}
	return m
}

// storeStatus stores a copy of a member's status and records its term.
func (g *Group) storeStatus(now entity.Time, m *member, status entity.MemberStatus) {
	history := append(m.status.History[:0], status.History[max(0, len(status.History)-maxHistory):]...)
	m.status = status
	m.status.History = history
	m.hasStatus = true
	m.primaryRound = 0
	g.recordTerm(now, status.Term)
}
