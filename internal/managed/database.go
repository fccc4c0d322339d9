package managed

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/freshness"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
	"skylarkhinge.dev/skylarkhinge/core/placement"
)

// database is one replication group of upstreams, with its connection pools and the queue
// of requests waiting for it.
type database struct {
	proxy *Proxy
	name  entity.Database

	mu      sync.Mutex
	limits  DatabaseLimits
	members map[entity.Upstream]*member
	// connectionShare is the maximum number of pooled connections of this proxy to one
	// member.
	connectionShare int
	// gateways are the proxies that connect to the upstreams; isGateway is set if this
	// proxy is one of them.
	gateways  []gateway.Proxy
	isGateway bool
	// gatewayLostAt is when a proxy last ceased to be a gateway, 0 if none did.
	gatewayLostAt entity.Time
	// memberAddedAt is when a member was last added while the group had at most groupSize
	// members. membersChangedAt is when the set of members last changed.
	memberAddedAt, membersChangedAt entity.Time
	// lostReplicas are the replicas that were removed without having announced their shutdown and
	// have not returned, with the time of their removal.
	lostReplicas map[entity.Upstream]entity.Time
	// ended are the replicas that were removed after they had announced their shutdown, with the time of
	// their removal.
	ended map[entity.Upstream]entity.Time
	// departedAt is when a member was last found to have ended, as announced or not, or a replica to have
	// restarted, 0 if none was.
	departedAt entity.Time
	// lastStatementAt is when this proxy last queued a statement for the upstreams itself.
	lastStatementAt entity.Time
	// sharingProxies is the number of proxies that share the upstreams' connections,
	// sharingInZone the number of those in this availability zone.
	sharingProxies, sharingInZone int
	// scheduler is nil until a statement is queued; policy and slots are its parameters, slots
	// by lane.
	scheduler *flood.Scheduler
	policy    flood.Policy
	slots     [2]int
	// rankCount is the number of ranks in the scheduler's policy.
	rankCount  int
	waiting    map[entity.Handle]*waiter
	lastHandle entity.Handle
	// timer runs expireWaiting, which reuses refusalBuffer.
	timer         *time.Timer
	refusalBuffer []flood.Refusal

	// primary is the believed primary, nil if none is known; primaryTerm is the newest term
	// known.
	primary     *member
	primaryTerm uint64
	// primaryAnsweredAt is when the last call was sent that primary answered as such, 0 if it answered
	// none.
	primaryAnsweredAt  entity.Time
	confirmedPositions freshness.History
	// confirmationDone is closed when the confirmation in progress, which reads wait for,
	// has succeeded or failed. It is nil if none is in progress.
	confirmationDone chan struct{}
	// lastRefusalAt is the last refusal for lack of a free slot, lastPromotionAt the last
	// promotion observed by this proxy. Both are zero if there was none.
	lastRefusalAt, lastPromotionAt entity.Time
	// lastReadAt is when the last read that needs a minimum log position arrived.
	lastReadAt entity.Time
	// claim is the takeover claim seen in the store, zero if there is none.
	claim claimRecord
	// announced is the claim that another proxy announced, until announcedUntil. claimRemovedAt is the
	// last revision at which the store was seen without a claim.
	announced, claimRemovedAt Revision
	announcedUntil            entity.Time
	// announcedLeaving are the upstreams announced as leaving with it.
	announcedLeaving []UpstreamProcess
	// takeoverChangedAt is when what is known of claims and open orders last changed.
	takeoverChangedAt entity.Time
	// ownClaim is the claim that this proxy holds, nil if it holds none.
	ownClaim *claim
	// orders are the open orders of promotions seen in the store.
	orders orderRecord
	// reported is the newest commit whose caller this proxy has told of success, as recorded since
	// recordedSince.
	reported      reportedCommit
	logEnds       logEnds
	recordedSince entity.Time
	// behindSince is when a takeover first found that the primary is lost and all replicas lack a
	// reported commit, 0 if none does.
	behindSince entity.Time
	monitor     *monitor
	// primaryLatency is the latency of the last primary that was replaced, 0 if unknown.
	primaryLatency time.Duration
}

// waiter is a request waiting for a permit.
type waiter struct {
	item    flood.Item
	key     poolKey
	granted chan grant
}

// grant is the scheduler's decision for a waiter: a permit or a refusal. If both are nil,
// the request must be queued again after deferInterval.
type grant struct {
	permit  *permit
	refusal *flood.Refusal
}

// permit allows one statement to run on a member. conn is nil if no idle connection was
// available and one has to be opened.
type permit struct {
	db        *database
	member    *member
	conn      *memberConn
	item      flood.Item
	startedAt entity.Time
	// organisation is the organisation for which a connection is opened. reserved is set
	// while the connection to be opened counts towards the member's openConns; evicted is
	// the connection that it replaces, nil if none.
	organisation organisation.Name
	reserved     bool
	evicted      *memberConn
	// finished is set once the execution slot is released, or if the permit takes none.
	finished bool
	// onPrimary is set if the member was the believed primary when the permit was granted.
	onPrimary bool
	// result is what the statement showed about the member.
	result permitResult
}

func newDatabase(p *Proxy, name entity.Database) *database {
	d := &database{
		proxy:           p,
		name:            name,
		members:         map[entity.Upstream]*member{},
		waiting:         map[entity.Handle]*waiter{},
		lostReplicas:    map[entity.Upstream]entity.Time{},
		ended:           map[entity.Upstream]entity.Time{},
		connectionShare: 1,
		recordedSince:   p.createdAt,
	}
	d.timer = time.AfterFunc(time.Hour, d.expireWaiting)
	d.monitor = newMonitor(d)
	return d
}

// acquire queues a request and blocks until it is granted a permit or refused. Requests in
// LanePrimary run on the primary; reads in LaneReplica may run on any member.
func (d *database) acquire(lane flood.Lane, rank int, deadline entity.Time, key poolKey) (*permit, *flood.Refusal) {
	for {
		permit, refusal := d.queue(lane, rank, deadline, key)
		if permit != nil || refusal != nil {
			return permit, refusal
		}
		time.Sleep(deferInterval)
	}
}

// queue queues a request once. Both results are nil if the request must be queued again.
func (d *database) queue(lane flood.Lane, rank int, deadline entity.Time, key poolKey) (*permit, *flood.Refusal) {
	w := &waiter{key: key, granted: make(chan grant, 1)}
	d.mu.Lock()
	at := now()
	d.lastStatementAt = at
	if !d.isGateway {
		d.monitor.start()
	}
	d.lastHandle++
	w.item = flood.Item{
		Handle: d.lastHandle, Rank: rank, Caller: uint64(d.lastHandle), Lane: lane,
		Arrived: at, Deadline: deadline, Cost: expectedCost,
	}
	if key.organisation != "" {
		w.item.Caller, w.item.SharedCaller = xxhash.Sum64String(string(key.organisation)), true
	}
	d.waiting[w.item.Handle] = w
	if decision := d.startScheduler().Offer(at, w.item); decision.Reason != flood.ReasonNone {
		delete(d.waiting, w.item.Handle)
		d.lastRefusalAt = at
		d.mu.Unlock()
		return nil, &flood.Refusal{Handle: w.item.Handle, Reason: decision.Reason, RetryAfter: decision.RetryAfter}
	}
	d.dispatch(at)
	d.armTimer(at)
	d.mu.Unlock()
	g := <-w.granted
	return g.permit, g.refusal
}

// expectedCost is the slot time assumed for a statement before any has been measured.
const expectedCost = 30 * time.Millisecond

// dispatch grants permits to waiting requests while members have capacity. The mutex is
// held.
func (d *database) dispatch(at entity.Time) {
	if d.scheduler == nil {
		return
	}
	for d.scheduler.Len(flood.LanePrimary) > 0 {
		m := d.primary
		if m == nil || !d.acceptsWork(m, at) || !m.hasConnection(at, d.connectionShare, &ownWork) || m.inFlight >= d.maxInFlight(m) {
			break
		}
		d.grantNext(at, flood.LanePrimary, m)
	}
	for d.scheduler.Len(flood.LaneReplica) > 0 {
		m := d.chooseReader(at, &ownWork)
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
	if lane == flood.LaneReplica && w.key.organisation != "" {
		// Another member may have an idle connection of the organisation.
		m = d.chooseReader(at, &w.key)
	}
	if m == nil || !m.hasConnection(at, d.connectionShare, &w.key) {
		d.scheduler.Done(at, item, 0)
		w.granted <- grant{}
		return
	}
	p := &permit{db: d, member: m, item: item, startedAt: at, onPrimary: m == d.primary}
	p.assignConn(at, &w.key)
	m.inFlight++
	m.pace.granted(p)
	w.granted <- grant{permit: p}
}

// chooseReader returns the member for the next read with a connection that the key accepts,
// nil if none has capacity. The mutex is held.
func (d *database) chooseReader(at entity.Time, key *poolKey) *member {
	var best *member
	var bestCandidate placement.Candidate
	for _, m := range d.members {
		if !d.acceptsWork(m, at) || !m.hasConnection(at, d.connectionShare, key) || at < m.lagUntil || m.leavingSince != 0 || m.inFlight >= d.maxInFlight(m) {
			continue
		}
		c := placement.Candidate{
			Name: m.name, Distance: m.distance, Running: m.inFlight, Slots: m.entry.Slots,
			Primary: m == d.primary, Latency: m.latency, Connected: m.hasIdle(key),
		}
		if best == nil || placement.Better(c, bestCandidate) {
			best, bestCandidate = m, c
		}
	}
	return best
}

// queueFactor is the number of statements in flight at a member per execution slot, summed
// over all proxies. Two per slot keep the slots busy during the network round trip; more
// would only wait in the member's own queue, which ignores ranks. While statements of rank 0
// wait, the limit is urgentFactor. Beyond that, the member's queue delays status calls past
// probeTimeout and the primary is considered lost.
const (
	queueFactor  = 2
	urgentFactor = 6
)

// maxInFlight returns the maximum number of statements that this proxy may have in flight
// at a member. The mutex is held.
func (d *database) maxInFlight(m *member) int {
	if m.pace == nil && m != d.primary && m.onTrial() {
		return 1
	}
	urgent := 0
	if d.scheduler != nil && d.scheduler.Queued(0) > 0 {
		urgent = min(d.connectionShare, perProxyShare(urgentFactor*m.entry.Slots, d.sharingProxies))
	}
	if m.pace != nil && m.pace.active {
		return m.pace.bound(d.usualBound(m), urgent)
	}
	if urgent > 0 {
		return urgent
	}
	return d.usualBound(m)
}

// usualBound returns the maximum number of statements in flight at a member while no
// statement of rank 0 waits. The mutex is held.
func (d *database) usualBound(m *member) int {
	sharing := d.sharingProxies
	if m != d.primary && m.distance == placement.SameZone {
		sharing = d.sharingInZone
	}
	return perProxyShare(queueFactor*m.entry.Slots, sharing)
}

// perProxyShare divides a total among proxies, rounding up; the result is at least 1.
func perProxyShare(total, proxies int) int { return max(1, (total+proxies-1)/proxies) }

// acceptsWork reports whether new work may be sent to a member. A leaving primary accepts
// work until its successor takes over, but not beyond its leaving grace. The mutex is held.
func (d *database) acceptsWork(m *member, at entity.Time) bool {
	if m.leavingSince != 0 && at.Sub(m.leavingSince) > d.proxy.settings().LeavingGrace-leavingMargin {
		return false
	}
	return m.available(at)
}

// leavingMargin is the part of a leaving upstream's grace period that is reserved for
// statements already in flight.
const leavingMargin = time.Second

// armTimer schedules the next run of expireWaiting. The mutex is held.
func (d *database) armTimer(at entity.Time) {
	if d.scheduler == nil {
		return
	}
	next := d.scheduler.NextExpiry()
	if len(d.waiting) > 0 {
		// The end of a member's pause triggers no event, so the queue is polled.
		next = min(next, at.Add(queuePollInterval))
	}
	if next == entity.Never {
		return
	}
	d.timer.Reset(max(next.Sub(at), time.Millisecond))
}

// queuePollInterval is the interval at which a non-empty queue is checked when no event
// occurs.
const queuePollInterval = 20 * time.Millisecond

// expireWaiting dispatches waiting requests and refuses those that can no longer start in
// time.
func (d *database) expireWaiting() {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	if d.scheduler == nil {
		return
	}
	d.dispatch(at)
	d.refusalBuffer = d.scheduler.Expire(at, d.refusalBuffer[:0])
	if len(d.refusalBuffer) > 0 {
		d.lastRefusalAt = at
	}
	for i := range d.refusalBuffer {
		refusal := d.refusalBuffer[i]
		if w, ok := d.waiting[refusal.Handle]; ok {
			delete(d.waiting, refusal.Handle)
			w.granted <- grant{refusal: &refusal}
		}
	}
	d.armTimer(at)
}

// finishPermit releases the execution slot of a permit. ran is set if the statement
// completed and its latency counts. The permit keeps its connection. The mutex is held.
func (d *database) finishPermit(p *permit, ran bool) {
	if p.finished {
		return
	}
	p.finished = true
	at := now()
	p.member.pace.finished(p, at)
	p.member.inFlight--
	cost := time.Duration(0)
	if ran {
		cost = max(at.Sub(p.startedAt), time.Microsecond)
		p.member.observeLatency(cost)
	}
	if d.scheduler != nil {
		d.scheduler.Done(at, p.item, cost)
	}
}

// returnConn returns a healthy connection to the pool, or closes it if the pool has no room
// for it. The mutex is held.
func (d *database) returnConn(conn *memberConn) {
	m := conn.member
	conn.lastUsed = now()
	if m.removed || !conn.pooled || m.openConns > d.connectionShare || len(conn.prepared) > maxPreparedPerConn {
		d.dropConnLocked(conn)
		return
	}
	m.idleConns = append(m.idleConns, conn)
}

// dropConnLocked closes a connection that must not be reused. The mutex is held.
func (d *database) dropConnLocked(conn *memberConn) {
	if conn.pooled {
		conn.pooled = false
		conn.member.openConns--
	}
	go closeConn(conn)
}

// closeConn closes a connection. It is not used again, so the error is ignored.
func closeConn(conn *memberConn) { _ = conn.upstream.Close() }

// endPermit releases a permit and returns its connection, which may be nil, to the pool.
func (d *database) endPermit(p *permit, healthy bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finishPermit(p, healthy)
	if p.conn != nil {
		if healthy {
			p.member.clearFailures()
			d.returnConn(p.conn)
		} else {
			d.dropConnLocked(p.conn)
		}
		p.conn = nil
	}
	p.releaseReservation()
	at := now()
	d.dispatch(at)
	d.armTimer(at)
}

// cancelPermit releases a permit that was not used. Its connection stays in the pool.
func (d *database) cancelPermit(p *permit) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.finishPermit(p, false)
	if p.conn != nil {
		d.returnConn(p.conn)
		p.conn = nil
	}
	p.releaseReservation()
	at := now()
	d.dispatch(at)
	d.armTimer(at)
}

// applyAssignment sets the connection share and the scheduler's slots. The mutex is held.
func (d *database) applyAssignment(u gatewayAssignment) {
	becomesGateway := u.isGateway && !d.isGateway
	for _, g := range d.gateways {
		if !slices.ContainsFunc(u.gateways, func(other gateway.Proxy) bool { return other.VM == g.VM }) {
			d.gatewayLostAt = now()
		}
	}
	d.gateways, d.isGateway = u.gateways, u.isGateway
	d.sharingProxies, d.sharingInZone = max(1, u.sharingProxies), max(1, u.sharingInZone)
	d.connectionShare = max(1, d.usableConnections()/d.sharingProxies)
	readers := 0
	for _, m := range d.members {
		if !m.removed {
			readers++
		}
		for m.openConns > d.connectionShare && len(m.idleConns) > 0 {
			d.dropConnLocked(m.idleConns[0])
			m.idleConns = m.idleConns[1:]
		}
	}
	d.slots = [...]int{flood.LanePrimary: d.connectionShare, flood.LaneReplica: max(1, readers) * d.connectionShare}
	d.applySlots()
	if becomesGateway {
		d.monitor.wake()
	}
}

func (d *database) applySlots() {
	if d.scheduler == nil {
		return
	}
	for lane, slots := range d.slots {
		d.scheduler.SetSlots(flood.Lane(lane), slots)
	}
}

// startScheduler returns the scheduler, which exists once a statement was queued: a proxy
// serves few of the thousands of databases. The mutex is held.
func (d *database) startScheduler() *flood.Scheduler {
	if d.scheduler == nil {
		d.scheduler = flood.New(d.policy, uint64(now()))
		d.applySlots()
	}
	return d.scheduler
}

// usableConnections is the number of connections to one member that all proxies together
// may use for statements. The mutex is held.
func (d *database) usableConnections() int { return max(1, d.limits.Connections-reservedConnections) }

// gatewayLimits returns the limits of the largest member. The mutex is held.
func (d *database) gatewayLimits() gateway.Limits {
	limits := gateway.Limits{Connections: d.usableConnections()}
	for _, m := range d.members {
		limits.Slots = max(limits.Slots, m.entry.Slots)
	}
	return limits
}

// reservedConnections is the number of connections per member kept free for status calls
// and takeovers, so that a promotion is possible while every proxy uses its full share.
const reservedConnections = 4

// poolUsage is a snapshot of a database's connection use and queue length.
type poolUsage struct {
	database                    entity.Database
	share, open, idle, running  int
	primaryOpen, primaryRunning int
	queued                      int
}

func (d *database) poolUsage() poolUsage {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := poolUsage{database: d.name, share: d.connectionShare, queued: len(d.waiting)}
	for _, m := range d.members {
		u.open += m.openConns
		u.idle += len(m.idleConns)
		u.running += m.inFlight
		if m == d.primary {
			u.primaryOpen, u.primaryRunning = m.openConns, m.inFlight
		}
	}
	return u
}
