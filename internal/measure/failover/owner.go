package failover

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

const (
	// writeTimeout is the time after which a write's outcome is unknown.
	writeTimeout = 2 * time.Second
	// roundStarts is the number of rounds whose start an owner remembers.
	roundStarts = 1024
)

// write is a write that an owner sent.
type write struct {
	upstream entity.Upstream
	// term is the primary's term as the owner knew it when it sent the write.
	term     uint64
	sent     entity.Time
	round    group.RoundID
	position entity.Position
	// floor is the session's position from the first confirmed round.
	floor entity.Position
}

// owner runs a group and sends writes through it.
type owner struct {
	world *World
	id    nodeID
	group *group.Group
	// timer is when the next tick is scheduled.
	timer  entity.Time
	starts [roundStarts]entity.Time
	// unsettled are the started rounds without a result.
	unsettled []group.RoundID
	lastRound group.RoundID
	writes    []*write
	// connected has the members to which the pool holds connections.
	connected map[entity.Upstream]bool
	// silent has the members whose kept control connection is unresponsive.
	silent map[int]bool
	// stall, if set, freezes the owner just before it sends its next promotion.
	stall time.Duration
	// partFence, if set, cuts the owner off from all but one member as soon as
	// that one gets its fence.
	partFence time.Duration
	// session is the position of the last acknowledged write.
	session entity.Position
}

func newOwner(w *World, id nodeID) *owner {
	o := &owner{world: w, id: id, connected: map[entity.Upstream]bool{}, silent: map[int]bool{}}
	var names []entity.Upstream
	for _, m := range w.members {
		names = append(names, m.name)
	}
	o.group = group.New(w.settings.Group, names, w.settings.Seed*1000+uint64(id))
	return o
}

// StartOwner makes an owner act, at now, with no knowledge of the group.
func (w *World) StartOwner(owner int) {
	o := w.owners[owner]
	o.timer = entity.Never
	w.after(o.id, 0, o.step)
	if every := w.settings.WriteInterval; every > 0 {
		w.after(o.id, every, o.writeLoop)
	}
	if every := w.settings.ReadInterval; every > 0 {
		w.after(o.id, every, o.readLoop)
	}
}

// step ticks the group, sends its messages and settles writes.
func (o *owner) step() {
	o.group.Tick(o.world.now)
	o.send(o.group.Ready())
	o.checkRounds()
	o.settleWrites()
	o.schedule()
}

// schedule sets a timer for the next tick unless an earlier one is set.
func (o *owner) schedule() {
	at := max(o.group.NextTick(), o.world.now)
	if at >= o.timer {
		return
	}
	o.timer = at
	o.world.push(event{at: at, node: o.id, run: func() {
		if o.timer == at {
			o.timer = entity.Never
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
		o.starts[p.Round%roundStarts] = o.world.now
		o.unsettled = append(o.unsettled, p.Round)
	}
	w, m := o.world, o.member(p.Upstream)
	extra := time.Duration(0)
	if p.FreshConnection {
		extra = w.settings.Network.Connect
		o.silent[int(m.id)] = false
	} else if o.silent[int(m.id)] {
		return
	}
	if n := w.nodes[m.id]; n.dead && n.refuses {
		o.refused(p, m)
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

// refused reports a failed probe after a round trip.
func (o *owner) refused(p group.ProbeRequest, m *member) {
	w := o.world
	w.after(o.id, 2*w.delay(o.id, m.id), func() {
		o.group.StepProbe(w.now, group.ProbeAnswer{Round: p.Round, Upstream: m.name, Failed: true})
		o.step()
	})
}

func (o *owner) sendFence(f group.FenceRequest) {
	w, m := o.world, o.member(f.Upstream)
	w.send(o.id, m.id, 0, func() {
		accepted := m.fence(f.Term, o.id)
		o.cutOthers(m)
		answer := group.FenceAnswer{Upstream: m.name, Term: f.Term, Accepted: accepted, Status: m.status()}
		w.send(m.id, o.id, 0, func() {
			o.group.StepFence(w.now, answer)
			o.step()
		})
	})
}

// cutOthers carries out partFence.
func (o *owner) cutOthers(fenced *member) {
	d := o.partFence
	o.partFence = 0
	for _, m := range o.world.members {
		if d > 0 && m != fenced {
			o.world.cutFor(o.id, m.id, d)
		}
	}
}

func (o *owner) sendPromote(p group.PromoteRequest) {
	w, m := o.world, o.member(p.Upstream)
	w.record.notePromoteRequest(o.id, p)
	stall := o.stall
	if stall > 0 {
		o.stall = 0
		w.freeze(o.id, stall)
	}
	w.send(o.id, m.id, stall, func() {
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

// writeLoop sends a write to the primary, if one is known.
func (o *owner) writeLoop() {
	o.world.after(o.id, o.world.settings.WriteInterval, o.writeLoop)
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
		w.send(m.id, o.id, 0, func() { o.answered(sent, position, ok) })
	})
}

// answered takes the primary's answer to a write, which is held back until a
// round is confirmed.
func (o *owner) answered(sent *write, position entity.Position, ok bool) {
	if !ok || sent.round != 0 {
		return
	}
	o.connected[sent.upstream] = true
	sent.position = position
	sent.round = o.group.RequestRound(o.world.now)
	o.writes = append(o.writes, sent)
	o.step()
}

// settleWrites acknowledges writes whose round was confirmed for the member and
// the term that ran them, and forgets those whose outcome stays unknown.
func (o *owner) settleWrites() {
	open := o.writes[:0]
	for _, sent := range o.writes {
		if o.settle(sent) {
			open = append(open, sent)
		}
	}
	clear(o.writes[len(open):])
	o.writes = open
}

// settle reports whether a write stays open.
func (o *owner) settle(sent *write) bool {
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
	o.session = sent.floor
	o.world.record.noteAck(o.world.now, sent)
	return false
}

// checkRounds compares confirmed rounds with what was true when they started.
func (o *owner) checkRounds() {
	open := o.unsettled[:0]
	for _, id := range o.unsettled {
		result := o.group.Round(id)
		if result.State == group.RoundPending {
			open = append(open, id)
		}
		if result.State == group.RoundConfirmed {
			o.world.record.checkRound(o.starts[id%roundStarts], result)
		}
	}
	o.unsettled = open
}

// readLoop checks the lag and the eligibility of every member.
func (o *owner) readLoop() {
	w := o.world
	w.after(o.id, w.settings.ReadInterval, o.readLoop)
	for _, m := range w.members {
		if age, ok := o.group.Lag(w.now, m.name); ok {
			w.record.checkLag(w.now, m, age)
		}
		maxAge := w.upTo(time.Second)
		if o.group.Eligible(w.now, m.name, o.session, maxAge) {
			w.record.checkRead(w.now, m, o.session, maxAge)
		}
	}
}
