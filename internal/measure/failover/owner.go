package failover

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

const (
	// writeTimeout is how long an owner waits for a write's confirmation before its
	// outcome counts as unknown.
	writeTimeout = 2 * time.Second
	// roundHistorySize is the number of rounds whose start time an owner keeps.
	roundHistorySize = 1024
)

// write is a write that an owner has sent to the primary.
type write struct {
	upstream entity.Upstream
	// term is the primary's term that the owner knew when it sent the write.
	term     uint64
	sent     entity.Time
	round    group.RoundID
	position entity.Position
	// floor is the minimum position of the session's later reads, from the first
	// confirmed round.
	floor entity.Position
}

// owner runs a group.Group and sends writes to its primary.
type owner struct {
	world *World
	id    nodeID
	group *group.Group
	// nextTick is the time of the scheduled tick, entity.Never if there is none.
	nextTick    entity.Time
	roundStarts [roundHistorySize]entity.Time
	// pendingRounds has the started rounds that have no result yet.
	pendingRounds []group.RoundID
	lastRound     group.RoundID
	writes        []*write
	// connected has the members to which the connection pool has connections.
	connected map[entity.Upstream]bool
	// unresponsive has the members whose persistent control connection does not
	// respond.
	unresponsive map[int]bool
	// promotionFreeze, if set, is how long the owner is frozen before it sends its
	// next promote request.
	promotionFreeze time.Duration
	// fenceIsolation, if set, is how long the owner is cut off from all other members
	// once one member has received its next fence.
	fenceIsolation time.Duration
	// sessionPosition is the position of the last acknowledged write.
	sessionPosition entity.Position
}

func newOwner(w *World, id nodeID) *owner {
	o := &owner{world: w, id: id, connected: map[entity.Upstream]bool{}, unresponsive: map[int]bool{}}
	var names []entity.Upstream
	for _, m := range w.members {
		names = append(names, m.name)
	}
	o.group = group.New(w.settings.Group, names, w.settings.Seed*1000+uint64(id))
	return o
}

// StartOwner starts an owner that has no state of the group yet.
func (w *World) StartOwner(owner int) {
	o := w.owners[owner]
	o.nextTick = entity.Never
	w.setTimer(o.id, 0, o.step)
	if interval := w.settings.WriteInterval; interval > 0 {
		w.setTimer(o.id, interval, o.writeLoop)
	}
	if interval := w.settings.ReadInterval; interval > 0 {
		w.setTimer(o.id, interval, o.readLoop)
	}
}

// step ticks the group, sends its messages and completes writes.
func (o *owner) step() {
	o.group.Tick(o.world.now)
	o.send(o.group.Ready())
	o.checkRounds()
	o.settleWrites()
	o.scheduleTick()
}

// scheduleTick sets a timer for the next tick unless one is set for that time or
// earlier.
func (o *owner) scheduleTick() {
	at := max(o.group.NextTick(), o.world.now)
	if at >= o.nextTick {
		return
	}
	o.nextTick = at
	o.world.push(event{at: at, node: o.id, run: func() {
		if o.nextTick == at {
			o.nextTick = entity.Never
			o.step()
		}
	}})
}

func (o *owner) send(out group.Messages) {
	for _, p := range out.Probes {
		o.sendProbe(p)
	}
	for _, f := range out.Fences {
		o.sendFence(f)
	}
	for _, p := range out.Promotes {
		o.sendPromote(p)
	}
	for _, c := range out.Claims {
		o.sendClaim(c)
	}
}

func (o *owner) member(name entity.Upstream) *member {
	for _, m := range o.world.members {
		if m.name == name {
			return m
		}
	}
	return nil
}

func (o *owner) sendProbe(p group.ProbeRequest) {
	if p.Round > o.lastRound {
		o.lastRound = p.Round
		o.roundStarts[p.Round%roundHistorySize] = o.world.now
		o.pendingRounds = append(o.pendingRounds, p.Round)
	}
	w, m := o.world, o.member(p.Upstream)
	extra := time.Duration(0)
	if p.FreshConnection {
		extra = w.settings.Network.Connect
		o.unresponsive[int(m.id)] = false
	} else if o.unresponsive[int(m.id)] {
		return
	}
	if n := w.nodes[m.id]; n.dead && n.refusesConnections {
		o.failProbe(p, m)
		return
	}
	w.send(o.id, m.id, extra, func() {
		answer := group.ProbeAnswer{Round: p.Round, Upstream: m.name, Status: m.status()}
		w.send(m.id, o.id, 0, func() {
			o.group.StepProbe(w.now, answer)
			o.step()
		})
	})
}

// failProbe reports a failed probe to the group after a round trip.
func (o *owner) failProbe(p group.ProbeRequest, m *member) {
	w := o.world
	w.setTimer(o.id, 2*w.delay(o.id, m.id), func() {
		o.group.StepProbe(w.now, group.ProbeAnswer{Round: p.Round, Upstream: m.name, Failed: true})
		o.step()
	})
}

func (o *owner) sendFence(f group.FenceRequest) {
	w, m := o.world, o.member(f.Upstream)
	w.send(o.id, m.id, 0, func() {
		accepted := m.fence(f.Term, o.id)
		o.isolateAfterFence(m)
		answer := group.FenceAnswer{Upstream: m.name, Term: f.Term, Accepted: accepted, Status: m.status()}
		w.send(m.id, o.id, 0, func() {
			o.group.StepFence(w.now, answer)
			o.step()
		})
	})
}

// isolateAfterFence cuts the owner off from the members other than the fenced one, if
// fenceIsolation is set.
func (o *owner) isolateAfterFence(fenced *member) {
	d := o.fenceIsolation
	o.fenceIsolation = 0
	for _, m := range o.world.members {
		if d > 0 && m != fenced {
			o.world.cutLink(o.id, m.id, d)
		}
	}
}

func (o *owner) sendPromote(p group.PromoteRequest) {
	w, m := o.world, o.member(p.Upstream)
	w.record.addPromoteRequest(o.id, p)
	pause := o.promotionFreeze
	if pause > 0 {
		o.promotionFreeze = 0
		w.freeze(o.id, pause)
	}
	w.send(o.id, m.id, pause, func() {
		accepted := m.promote(p.Term, o.id)
		answer := group.PromoteAnswer{Upstream: m.name, Term: p.Term, Accepted: accepted, Status: m.status()}
		w.send(m.id, o.id, 0, func() {
			o.group.StepPromote(w.now, answer)
			o.step()
		})
	})
}

func (o *owner) sendClaim(c group.ClaimRequest) {
	w := o.world
	w.send(o.id, w.store.id, 0, func() {
		answer := group.ClaimAnswer{Term: c.Term, Claimed: w.store.claim(c.Term, o.id)}
		w.send(w.store.id, o.id, 0, func() {
			o.group.StepClaim(w.now, answer)
			o.step()
		})
	})
}

// writeLoop sends a write to the primary, if one is known, every WriteInterval.
func (o *owner) writeLoop() {
	o.world.setTimer(o.id, o.world.settings.WriteInterval, o.writeLoop)
	name, term, ok := o.group.Primary()
	if !ok {
		return
	}
	w, m := o.world, o.member(name)
	extra := time.Duration(0)
	if !o.connected[name] {
		extra = w.settings.Network.Connect
	}
	sent := &write{upstream: name, term: term, sent: w.now}
	w.send(o.id, m.id, extra, func() {
		position, ok := m.write()
		w.send(m.id, o.id, 0, func() { o.handleWriteAnswer(sent, position, ok) })
	})
}

// handleWriteAnswer handles the primary's answer to a write. The write is acknowledged
// only once a later round confirms the primary.
func (o *owner) handleWriteAnswer(sent *write, position entity.Position, ok bool) {
	if !ok || sent.round != 0 {
		return
	}
	o.connected[sent.upstream] = true
	sent.position = position
	sent.round = o.group.RequestRound(o.world.now)
	o.writes = append(o.writes, sent)
	o.step()
}

// settleWrites acknowledges writes whose round was confirmed for the member and term
// that executed them, and drops those whose outcome remains unknown.
func (o *owner) settleWrites() {
	pending := o.writes[:0]
	for _, sent := range o.writes {
		if o.settleWrite(sent) {
			pending = append(pending, sent)
		}
	}
	clear(o.writes[len(pending):])
	o.writes = pending
}

// settleWrite acknowledges or drops a write if possible and reports whether it is still
// pending. With MajorityAcks it requests rounds until a majority has the write.
func (o *owner) settleWrite(sent *write) bool {
	result := o.group.Round(sent.round)
	if result.State == group.RoundPending {
		return o.world.now.Sub(sent.sent) < writeTimeout
	}
	if result.State == group.RoundFailed || result.Primary != sent.upstream || result.Term != sent.term {
		return false
	}
	if sent.floor.IsZero() {
		sent.floor = result.Position
	}
	if o.world.settings.MajorityAcks && result.MajorityPosition.Less(sent.floor) {
		sent.round = o.group.RequestRound(o.world.now)
		return true
	}
	o.sessionPosition = sent.floor
	o.world.record.addAck(o.world.now, sent)
	return false
}

// checkRounds checks the rounds confirmed since its last call against RuleRound.
func (o *owner) checkRounds() {
	pending := o.pendingRounds[:0]
	for _, id := range o.pendingRounds {
		result := o.group.Round(id)
		if result.State == group.RoundPending {
			pending = append(pending, id)
		}
		if result.State == group.RoundConfirmed {
			o.world.record.checkRound(o.roundStarts[id%roundHistorySize], result)
		}
	}
	o.pendingRounds = pending
}

// readLoop checks, every ReadInterval, the lag and the read eligibility that the group
// reports for every member.
func (o *owner) readLoop() {
	w := o.world
	w.setTimer(o.id, w.settings.ReadInterval, o.readLoop)
	for _, m := range w.members {
		if lag, ok := o.group.Lag(w.now, m.name); ok {
			w.record.checkLag(w.now, m, lag)
		}
		maxAge := w.randomDuration(time.Second)
		if o.group.Eligible(w.now, m.name, o.sessionPosition, maxAge) {
			w.record.checkRead(w.now, m, o.sessionPosition, maxAge)
		}
	}
}
