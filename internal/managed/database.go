package managed

import (
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/freshness"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
	"skylarkhinge.dev/skylarkhinge/core/placement"
)

// database is one group of upstreams with the requests that wait for it.
type database struct {
	proxy *Proxy
	name  entity.Database

	mu      sync.Mutex
	limits  DatabaseLimits
	members map[entity.Upstream]*member
	// share is how many connections this proxy may hold to one member.
	share int
	// gateways are the proxies that reach the upstreams, serves is set if this one
	// is among them.
	gateways []gateway.Proxy
	serves   bool
	// listedSince is when a member of an incomplete group was last listed for the
	// first time, changedSince when the set of members last changed.
	listedSince, changedSince entity.Time
	// usedAt is the last statement that this proxy ran itself.
	usedAt entity.Time
	// proxies shares the upstreams, neighbours of them are in this availability zone.
	proxies, neighbours int
	scheduler           *flood.Scheduler
	// ranks is the number of ranks of the scheduler's policy.
	ranks    int
	waiting  map[entity.Handle]*waiter
	handles  entity.Handle
	timer    *time.Timer
	refusals []flood.Refusal

	leader     *member
	leaderTerm uint64
	history    freshness.History
	// proving is closed when the proof that reads wait for has come or failed; nil
	// if none is under way.
	proving chan struct{}
	// refusedAt is the last refusal for want of a slot, promotedAt the last
	// promotion that this proxy noticed, zero if there was none.
	refusedAt, promotedAt entity.Time
	// lastRead is the last arrival of a read that needs a floor.
	lastRead entity.Time
	// claim is the takeover that the store shows, zero if there is none.
	claim   claimRecord
	monitor *monitor
}

// waiter is a request that waits for its permit.
type waiter struct {
	item     flood.Item
	settings string
	granted  chan grant
}

// grant is the scheduler's answer to a waiter.
type grant struct {
	permit  *permit
	refusal *flood.Refusal
}

// permit allows one statement at a member. link is nil if a connection has to
// be opened first.
type permit struct {
	db     *database
	member *member
	link   *link
	item   flood.Item
	began  entity.Time
	ended  bool
	// leads is set if the member was the primary when the permit was granted.
	leads bool
}

func newDatabase(p *Proxy, name entity.Database) *database {
	d := &database{
		proxy:   p,
		name:    name,
		members: map[entity.Upstream]*member{},
		waiting: map[entity.Handle]*waiter{},
		share:   1,
	}
	d.scheduler = flood.New(flood.Policy{}, uint64(now()))
	d.timer = time.AfterFunc(time.Hour, d.expire)
	d.monitor = newMonitor(d)
	return d
}

// acquire waits until the statement may run. Reads that any member may serve
// use LaneReplica.
func (d *database) acquire(lane flood.Lane, rank int, deadline entity.Time, settings string) (*permit, *flood.Refusal) {
	w := &waiter{settings: settings, granted: make(chan grant, 1)}
	d.mu.Lock()
	at := now()
	d.usedAt = at
	d.handles++
	w.item = flood.Item{
		Handle: d.handles, Rank: rank, Caller: uint64(d.handles), Lane: lane,
		Arrived: at, Deadline: deadline, Cost: expectedCost,
	}
	d.waiting[w.item.Handle] = w
	if decision := d.scheduler.Offer(at, w.item); decision.Reason != flood.ReasonNone {
		delete(d.waiting, w.item.Handle)
		d.refusedAt = at
		d.mu.Unlock()
		return nil, &flood.Refusal{Handle: w.item.Handle, Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	d.dispatch(at)
	d.arm(at)
	d.mu.Unlock()
	g := <-w.granted
	return g.permit, g.refusal
}

// expectedCost is the slot time assumed for a statement before any was measured.
const expectedCost = 30 * time.Millisecond

// dispatch hands permits to waiting requests while members have room.
func (d *database) dispatch(at entity.Time) {
	for d.scheduler.Len(flood.LanePrimary) > 0 {
		m := d.leader
		if m == nil || !d.accepts(m, at) || !m.hasConnection(at, d.share) || m.running >= d.room(m) {
			break
		}
		d.grantNext(at, flood.LanePrimary, m)
	}
	for d.scheduler.Len(flood.LaneReplica) > 0 {
		m := d.chooseReader(at)
		if m == nil {
			break
		}
		d.grantNext(at, flood.LaneReplica, m)
	}
}

func (d *database) grantNext(at entity.Time, lane flood.Lane, m *member) {
	item, ok := d.scheduler.Next(at, lane)
	if !ok {
		return
	}
	w := d.waiting[item.Handle]
	delete(d.waiting, item.Handle)
	p := &permit{db: d, member: m, item: item, began: at, leads: m == d.leader}
	if p.link = m.takeIdle(w.settings); p.link == nil {
		m.open++
	}
	m.running++
	w.granted <- grant{permit: p}
}

// chooseReader returns the member for the next read, nil if none has room.
func (d *database) chooseReader(at entity.Time) *member {
	var best *member
	var bestCandidate placement.Candidate
	for _, m := range d.members {
		if !d.accepts(m, at) || !m.hasConnection(at, d.share) || at < m.lagUntil || m.leavingSince != 0 || m.running >= d.room(m) {
			continue
		}
		c := placement.Candidate{
			Name: m.name, Distance: m.distance, Running: m.running, Slots: m.spec.Slots,
			Primary: m == d.leader, Latency: m.latency, Connected: len(m.idle) > 0,
		}
		if best == nil || placement.Better(c, bestCandidate) {
			best, bestCandidate = m, c
		}
	}
	return best
}

// queueFactor is the number of statements in flight at a member for each of its
// slots, those of all proxies together. Up to two keep its slots busy across the
// round trip; more only wait in its queue, which knows no ranks. Urgent work may
// pass what waits there, but beyond urgentFactor the queue outlasts the probes of
// the primary, which then counts as lost.
const (
	queueFactor  = 2
	urgentFactor = 6
)

// room returns how many statements this proxy may have in flight at a member. The
// mutex is held.
func (d *database) room(m *member) int {
	if d.scheduler.Queued(0) > 0 {
		return min(d.share, partOf(urgentFactor*m.spec.Slots, d.proxies))
	}
	sharing := d.proxies
	if m != d.leader && m.distance == placement.SameZone {
		sharing = d.neighbours
	}
	return partOf(queueFactor*m.spec.Slots, sharing)
}

// partOf returns the part of one of several, rounded up and at least 1.
func partOf(total, several int) int { return max(1, (total+several-1)/several) }

// accepts reports whether a member may get new work. A leaving primary serves on
// until its successor leads, but not past its time. The mutex is held.
func (d *database) accepts(m *member, at entity.Time) bool {
	if m.leavingSince != 0 && at.Sub(m.leavingSince) > d.proxy.settings().LeavingGrace-leavingMargin {
		return false
	}
	return m.available(at)
}

// leavingMargin is left of the time of a leaving upstream for statements that are
// on their way to it.
const leavingMargin = time.Second

// arm sets the timer for the next expiry or the end of a pause.
func (d *database) arm(at entity.Time) {
	next := d.scheduler.NextExpiry()
	if len(d.waiting) > 0 {
		// Pauses of members end without an event.
		next = min(next, at.Add(queuePoll))
	}
	if next == entity.Never {
		return
	}
	d.timer.Reset(max(next.Sub(at), time.Millisecond))
}

// queuePoll is how often a queue is looked at while nothing happens.
const queuePoll = 20 * time.Millisecond

// expire refuses what can no longer run in time.
func (d *database) expire() {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	d.dispatch(at)
	d.refusals = d.scheduler.Expire(at, d.refusals[:0])
	if len(d.refusals) > 0 {
		d.refusedAt = at
	}
	for i := range d.refusals {
		refusal := d.refusals[i]
		if w, ok := d.waiting[refusal.Handle]; ok {
			delete(d.waiting, refusal.Handle)
			w.granted <- grant{refusal: &refusal}
		}
	}
	d.arm(at)
}

// finish ends the statement of a permit. The link stays with the caller.
func (d *database) finish(p *permit, ran bool) {
	if p.ended {
		return
	}
	p.ended = true
	at := now()
	p.member.running--
	cost := time.Duration(0)
	if ran {
		cost = max(at.Sub(p.began), time.Microsecond)
		p.member.observeLatency(cost)
	}
	d.scheduler.Done(at, p.item, cost)
}

// putBack returns a healthy link to the pool.
func (d *database) putBack(l *link) {
	m := l.member
	l.lastUsed = now()
	if m.gone || !l.pooled || m.open > d.share || len(l.prepared) > maxPreparedPerLink {
		d.dropLocked(l)
		return
	}
	m.idle = append(m.idle, l)
}

// dropLocked closes a link that must not be used again.
func (d *database) dropLocked(l *link) {
	if l.pooled {
		l.pooled = false
		l.member.open--
	}
	go closeLink(l)
}

// closeLink closes a connection. Its state no longer matters, so an error has no
// consequence.
func closeLink(l *link) { _ = l.conn.Close() }

// end finishes a permit and returns its link, which may be nil, to the pool.
func (d *database) end(p *permit, healthy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finish(p, healthy)
	if p.link != nil {
		if healthy {
			p.member.answered()
			d.putBack(p.link)
		} else {
			d.dropLocked(p.link)
		}
		p.link = nil
	}
	at := now()
	d.dispatch(at)
	d.arm(at)
}

// applyShare sets the connections per member and the slots of the lanes.
func (d *database) applyShare(u usersOf) {
	d.gateways, d.serves = u.gateways, u.serves
	d.proxies, d.neighbours = max(1, u.sharing), max(1, u.neighbours)
	d.share = max(1, d.usableConnections()/d.proxies)
	readers := 0
	for _, m := range d.members {
		if !m.gone {
			readers++
		}
		for m.open > d.share && len(m.idle) > 0 {
			d.dropLocked(m.idle[0])
			m.idle = m.idle[1:]
		}
	}
	d.scheduler.SetSlots(flood.LanePrimary, d.share)
	d.scheduler.SetSlots(flood.LaneReplica, max(1, readers)*d.share)
}

// usableConnections is how many connections of a member all proxies together use
// for statements. The mutex is held.
func (d *database) usableConnections() int { return max(1, d.limits.Connections-reservedConnections) }

// gatewayLimits returns the limits of the largest member. The mutex is held.
func (d *database) gatewayLimits() gateway.Limits {
	limits := gateway.Limits{Connections: d.usableConnections()}
	for _, m := range d.members {
		limits.Slots = max(limits.Slots, m.spec.Slots)
	}
	return limits
}

// reservedConnections of each member are left to status calls and takeovers, so
// that a promotion is possible while every proxy uses its share.
const reservedConnections = 4

// poolUsage is a database's use of connections and its queue at one instant.
type poolUsage struct {
	database                    entity.Database
	share, open, idle, running  int
	primaryOpen, primaryRunning int
	queued                      int
}

func (d *database) usage() poolUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := poolUsage{database: d.name, share: d.share, queued: len(d.waiting)}
	for _, m := range d.members {
		u.open += m.open
		u.idle += len(m.idle)
		u.running += m.running
		if m == d.leader {
			u.primaryOpen, u.primaryRunning = m.open, m.running
		}
	}
	return u
}
