package pace

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/placement"
)

// The model plays the first 10 s of an upstream that starts while its callers return. All
// gateways decide independently. Half of the statements run only at the upstream; the rest
// are reads, which two healthy peers can serve as well. Those have load 0.5 of their own.
const (
	modelTime    = 10 * time.Second
	service      = 30 * time.Millisecond
	slots        = 5
	connections  = 57
	connectTime  = 12 * time.Millisecond
	lostReply    = 450 * time.Millisecond
	maxQueue     = 24
	startTime    = 500 * time.Millisecond // longest time in a gateway's queue
	peerLoad     = 0.5
	urgentShare  = 0.3
	backlogTime  = 500 * time.Millisecond // arrivals of this time wait at the start
	urgentTarget = 500 * time.Millisecond
	otherTarget  = time.Second
)

type policy int

const (
	fullBound policy = iota
	fixedRamp
	newLimit
)

var policyNames = [...]string{"full bound", "fixed ramp", "limit"}

// variant is a kind of start.
type variant struct {
	name string
	// slowdown returns the factor of the service time at an instant.
	slowdown func(at entity.Time) float64
	// slots returns the number of slots in service, nil for all of them.
	slots func(at entity.Time) int
	// down reports whether the upstream refuses all statements, nil for never.
	down func(at entity.Time) bool
	// lossEvery is n if each n-th statement gets no answer and holds its slot meanwhile.
	lossEvery int
}

type request struct {
	arrived, sent entity.Time
	// work is the service time at an upstream that is not slowed down.
	work         time.Duration
	gateway      *gatewayModel
	urgent, read bool
	connects     bool
	inFlight     int
}

type upstreamModel struct {
	variant                *variant
	busy, started, longest int
	queue                  []*request
	answered               []int // by half second
}

// gatewayModel is one gateway. Its arrays are indexed by upstream; 0 is the one that starts.
type gatewayModel struct {
	queue          []*request
	inFlight, idle [3]int
	// lessUrgent counts the less urgent statements in flight at upstream 0.
	lessUrgent  int
	latency     [3]time.Duration
	failures    int
	pausedUntil entity.Time
	limit       *Limit
}

type event struct {
	at  entity.Time
	seq int
	run func()
}

type eventHeap []event

func (h eventHeap) Len() int { return len(h) }
func (h eventHeap) Less(i, j int) bool {
	return h[i].at < h[j].at || h[i].at == h[j].at && h[i].seq < h[j].seq
}
func (h eventHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *eventHeap) Push(x any)   { *h = append(*h, x.(event)) }
func (h *eventHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

type model struct {
	policy policy
	// random draws the requests only, so that all policies get the same ones.
	random *rand.Rand
	// replica is set if peers can serve all statements of the upstream.
	replica   bool
	at        entity.Time
	seq       int
	events    eventHeap
	upstreams [3]*upstreamModel
	gateways  []*gatewayModel

	requests, inTarget, urgent, urgentInTarget int
}

func (m *model) after(d time.Duration, run func()) {
	m.seq++
	heap.Push(&m.events, event{m.at.Add(d), m.seq, run})
}

// start is one start of an upstream.
type start struct {
	variant  *variant
	replica  bool
	gateways int
	load     float64
	seed     uint64
}

// play runs the model.
func play(p policy, s start) *model {
	v, gateways, load := s.variant, s.gateways, s.load
	m := &model{policy: p, replica: s.replica, random: rand.New(rand.NewPCG(s.seed, 0))}
	healthy := &variant{slowdown: func(entity.Time) float64 { return 1 }}
	for i := range m.upstreams {
		m.upstreams[i] = &upstreamModel{variant: healthy, answered: make([]int, 64)}
	}
	m.upstreams[0].variant = v
	for range gateways {
		g := &gatewayModel{idle: [3]int{0, 2, 2}, latency: [3]time.Duration{service, service, service}}
		m.begin(g)
		m.gateways = append(m.gateways, g)
	}
	capacity := slots / service.Seconds()
	for range int(load * capacity * backlogTime.Seconds()) {
		m.arrive()
	}
	m.repeat(load*capacity, m.arrive)
	for i := 1; i < len(m.upstreams); i++ {
		m.repeat(peerLoad*capacity, func() { m.send(i, &request{work: m.work()}) })
	}
	for len(m.events) > 0 {
		e := heap.Pop(&m.events).(event)
		m.at = e.at
		e.run()
	}
	return m
}

// repeat runs f at random intervals with the given mean rate per second.
func (m *model) repeat(rate float64, f func()) {
	m.after(time.Duration(m.random.ExpFloat64()/rate*float64(time.Second)), func() {
		if m.at < entity.Time(modelTime) {
			f()
			m.repeat(rate, f)
		}
	})
}

func (m *model) begin(g *gatewayModel) {
	if m.policy == newLimit {
		l := Begin(m.at, service, m.usual(2))
		g.limit = &l
	}
}

// usual returns the usual bound of a gateway for a number of statements per slot.
func (m *model) usual(perSlot int) int {
	n := max(1, len(m.gateways))
	return max(1, (perSlot*slots+n-1)/n)
}

// work draws a service time.
func (m *model) work() time.Duration {
	return time.Duration((0.5 + m.random.Float64()) * float64(service))
}

func (m *model) arrive() {
	g := m.gateways[m.random.IntN(len(m.gateways))]
	r := &request{arrived: m.at, gateway: g, urgent: m.random.Float64() < urgentShare, read: m.random.IntN(2) == 0 || m.replica, work: m.work()}
	m.requests++
	if r.urgent {
		m.urgent++
	}
	g.queue = append(g.queue, r)
	m.after(startTime, func() { m.dispatch(g) })
	m.dispatch(g)
}

// dispatch sends what the bounds of a gateway allow, urgent statements first.
func (m *model) dispatch(g *gatewayModel) {
	for _, urgent := range []bool{true, false} {
		kept := g.queue[:0:0]
		for _, r := range g.queue {
			if m.at.Sub(r.arrived) >= startTime {
				continue // refused
			}
			to := -1
			if r.urgent == urgent {
				to = m.choose(g, r)
			}
			if to < 0 {
				kept = append(kept, r)
				continue
			}
			m.send(to, r)
		}
		g.queue = kept
	}
}

// choose returns the upstream for a request, -1 if none has room.
func (m *model) choose(g *gatewayModel, r *request) int {
	best, bestCandidate := -1, placement.Candidate{}
	for i := range m.upstreams {
		if i > 0 && !r.read || g.inFlight[i] >= m.bound(g, i, r.urgent) || i == 0 && m.at < g.pausedUntil {
			continue
		}
		c := placement.Candidate{Name: entity.Upstream(rune('a' + i)), Running: g.inFlight[i], Latency: g.latency[i], Connected: g.idle[i] > 0}
		if c.Primary = i == 0 && !m.replica; i > 0 {
			c.Distance = placement.SameRegion
		}
		if best < 0 || placement.Better(c, bestCandidate) {
			best, bestCandidate = i, c
		}
	}
	return best
}

// bound is the bound of a gateway at an upstream, as in internal/managed.
func (m *model) bound(g *gatewayModel, to int, urgent bool) int {
	usual, forUrgent := m.usual(2), min(connections/len(m.gateways), m.usual(6))
	if to == 0 {
		switch m.policy {
		case fixedRamp:
			part := min(1, 0.25+0.75*m.at.Sub(0).Seconds()/5)
			usual, forUrgent = max(1, int(part*float64(usual))), max(1, int(part*float64(forUrgent)))
		case newLimit:
			if g.limit != nil && g.limit.Ended(m.at) {
				g.limit = nil
			}
			if g.limit != nil {
				if forUrgent = g.limit.UrgentBound(usual, forUrgent, g.lessUrgent); m.replica {
					forUrgent = g.limit.Bound(usual)
				}
				usual = g.limit.Bound(usual)
			}
		}
	}
	if urgent {
		return forUrgent
	}
	return usual
}

func (m *model) send(to int, r *request) {
	if g := r.gateway; g != nil {
		g.inFlight[to]++
		if to == 0 && !r.urgent {
			g.lessUrgent++
		}
		r.inFlight = g.inFlight[to]
		if r.connects = g.idle[to] == 0; !r.connects {
			g.idle[to]--
		}
	}
	r.sent = m.at
	u := m.upstreams[to]
	switch {
	case u.down(m.at):
		m.after(time.Millisecond, func() { m.finish(to, r, false) })
		return
	case len(u.queue) >= maxQueue:
		m.after(time.Millisecond, func() { m.finish(to, r, false) })
		return
	}
	u.queue = append(u.queue, r)
	m.serve(to)
	u.longest = max(u.longest, len(u.queue))
}

func (u *upstreamModel) down(at entity.Time) bool { return u.variant.down != nil && u.variant.down(at) }

// serve starts queued statements on free slots.
func (m *model) serve(to int) {
	u := m.upstreams[to]
	available := slots
	if u.variant.slots != nil {
		available = u.variant.slots(m.at)
	}
	for u.busy < available && len(u.queue) > 0 {
		r := u.queue[0]
		u.queue = u.queue[1:]
		u.busy++
		u.started++
		took := time.Duration(u.variant.slowdown(m.at) * float64(r.work))
		lost := u.variant.lossEvery > 0 && u.started%u.variant.lossEvery == 0
		if lost {
			took = lostReply
		}
		if r.connects {
			took += connectTime
			m.after(connectTime, func() { r.sent = max(r.sent, m.at) })
		}
		m.after(took, func() {
			u.busy--
			m.finish(to, r, !lost && !u.down(m.at))
			m.serve(to)
		})
	}
}

func (m *model) finish(to int, r *request, ok bool) {
	g := r.gateway
	if ok && int(m.at/entity.Time(500*time.Millisecond)) < len(m.upstreams[to].answered) {
		m.upstreams[to].answered[m.at/entity.Time(500*time.Millisecond)]++
	}
	if g == nil {
		return
	}
	g.inFlight[to]--
	if to == 0 && !r.urgent {
		g.lessUrgent--
	}
	if ok {
		g.idle[to]++
		g.latency[to] += (m.at.Sub(r.sent) - g.latency[to]) / 10
		took := m.at.Sub(r.arrived)
		if r.urgent && took <= urgentTarget {
			m.urgentInTarget++
		}
		if r.urgent && took <= urgentTarget || !r.urgent && took <= otherTarget {
			m.inTarget++
		}
	}
	if to == 0 {
		m.learn(g, r, ok)
	}
	if !ok && r.read {
		g.queue = append(g.queue, r) // a read is repeated
	}
	m.dispatch(g)
}

// learn updates what a gateway knows of the upstream that starts.
func (m *model) learn(g *gatewayModel, r *request, ok bool) {
	switch {
	case !ok:
		g.failures++
		g.pausedUntil = m.at.Add(min(50*time.Millisecond<<min(g.failures, 4), 400*time.Millisecond))
		if g.limit != nil {
			g.limit.Failed(m.at, r.sent)
		}
		m.after(g.pausedUntil.Sub(m.at), func() { m.dispatch(g) })
		return
	case g.failures > 0:
		g.failures, g.pausedUntil = 0, 0
		if g.limit == nil {
			m.begin(g)
		}
	}
	if g.limit != nil {
		g.limit.Answered(m.at, r.sent, r.inFlight, m.usual(2))
	}
}

// carriesShareAfter returns the first half second from which the upstream answers at least
// 0.8 of what it answers in a run without trouble.
func (m *model) carriesShareAfter(healthy *model) time.Duration {
	for i := range 20 {
		if float64(m.upstreams[0].answered[i]) >= 0.8*float64(healthy.upstreams[0].answered[i]) {
			return time.Duration(i) * 500 * time.Millisecond
		}
	}
	return modelTime
}

// throughput returns the number of statements that the upstream answered within modelTime.
func (m *model) throughput() (n int) {
	for i := range 20 {
		n += m.upstreams[0].answered[i]
	}
	return n
}
