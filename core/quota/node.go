package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

const (
	// askTimeout bounds a holder's request. forwardTimeout and relayTimeout are shorter, so
	// that a failure on the way is reported before the sender gives up.
	askTimeout     = 150 * time.Millisecond
	forwardTimeout = 110 * time.Millisecond
	relayTimeout   = 80 * time.Millisecond
	// probeTimeout bounds a probe of a candidate that did not answer.
	probeTimeout = 100 * time.Millisecond
	// retryUnknown is the time after which a holder asks again while it is found out which
	// proxy is the limiter.
	retryUnknown = 30 * time.Millisecond
	// maxAsked is the number of candidates that a holder asks before it refuses operations.
	maxAsked = 3
	// maxWants bounds the organisations in one request.
	maxWants = 512
	// hedgeTime is the time after which a holder with waiting operations asks the next
	// candidate as well. An answer takes up to 24 ms between regions, twice that if it is
	// forwarded. A lost message would otherwise take longer than operations wait.
	hedgeTime = 50 * time.Millisecond
	// maxNew bounds the new proxies that a message names.
	maxNew = 32
	// minReportedNew is the time below which another proxy's word that a third one is new
	// does not count.
	minReportedNew = 500 * time.Millisecond
	// lateMessages is the time after a pause in which messages that waited for its end arrive.
	lateMessages = 300 * time.Millisecond
	// urgentRetry is the longest time after which a holder asks again for urgent operations. The
	// limiter's time to retry spreads the other holders and may exceed an urgent route's wait.
	urgentRetry = 25 * time.Millisecond
	// relays is the number of other proxies that probe a candidate.
	relays = 2
	// TickInterval is the interval at which Wake must be called at least. It is shorter than
	// the pauses that the limiter notices.
	TickInterval = 50 * time.Millisecond
	// changeInterval is the interval at which the ends of limits are looked for.
	changeInterval = 500 * time.Millisecond
)

// callKind is the purpose of a request that the node sent.
type callKind uint8

const (
	callAsk callKind = iota
	callForward
	callRelay
	callProbe
	callPing
)

// call is a request in flight.
type call struct {
	kind   callKind
	to     entity.VM
	sentAt entity.Time
	// accounts are those that a callAsk is for.
	accounts []*account
	// wants are the indexes of the forwarded wants in the pending answer.
	wants   []int
	pending *pending
	// target is the proxy that is to be reached if to is a relay, or else to.
	target entity.VM
}

// pending is an answer that waits for other proxies.
type pending struct {
	reply  ReplyID
	local  *call
	wants  []Want
	answer Answer
	open   int
}

// Node decides for one proxy, as a holder and as a limiter. It is not safe for concurrent
// use.
type Node struct {
	self       entity.VM
	parameters Parameters
	limitsOf   func(organisation.Name) (Limits, bool)
	holder     *Holder
	limiter    *Limiter
	candidates *candidates
	startedAt  entity.Time
	// listChangedAt is the time of the last change of the candidates.
	listChangedAt entity.Time
	calls         map[CallID]*call
	lastCall      CallID
	// needing are the accounts with waiting operations or too few tokens.
	needing    []*account
	nextChange entity.Time
	random     *rand.Rand
	effects    Effects
	buffer     []entity.VM
}

// NewNode returns a node. limitsOf returns the limits of an organisation in this proxy's
// configuration; for others the limits in the request apply.
func NewNode(self entity.VM, parameters Parameters, limitsOf func(organisation.Name) (Limits, bool)) *Node {
	seed := xxhash.Sum64String(string(self))
	return &Node{
		self: self, parameters: parameters, limitsOf: limitsOf,
		holder: NewHolder(parameters), limiter: NewLimiter(parameters), candidates: newCandidates(self),
		calls: map[CallID]*call{}, random: rand.New(rand.NewPCG(seed, seed)),
	}
}

// TakeEffects returns the actions that the calls so far asked for. The slices are not used
// by the node afterwards.
func (n *Node) TakeEffects() Effects {
	if n.effects.empty() {
		return Effects{}
	}
	e := n.effects
	n.effects = Effects{}
	return e
}

// Update replaces the list of proxies, which contains this one once it is registered. It
// must be called at least once a second.
func (n *Node) Update(at entity.Time, listed []entity.VM) {
	if n.startedAt == 0 && len(listed) > 0 {
		n.startedAt = at
	}
	if !n.candidates.update(at, listed) {
		return
	}
	n.listChangedAt = at
	if own, ok := n.candidates.peers[n.self]; ok {
		own.newUntil = n.startedAt.Add(newTime)
	}
	n.poll(at)
}

// forgetOthers drops the buckets of organisations whose first candidate this proxy no longer
// is. If it becomes the first again, the bucket starts empty.
func (n *Node) forgetOthers(at entity.Time) {
	for name, b := range n.limiter.buckets {
		ordered, settled := n.candidates.active(at, name, n.buffer)
		n.buffer = ordered
		if b.role == roleFirst && (settled == 0 || ordered[0] != n.self) {
			n.limiter.Forget(name)
		}
	}
}

// Admit decides on an operation that may wait for up to maxWait. retryAfter is set if it is
// refused.
func (n *Node) Admit(at entity.Time, name organisation.Name, limits Limits, urgent bool, maxWait time.Duration) (d Decision, ticket Ticket, retryAfter time.Duration) {
	a := n.holder.account(at, name, limits)
	d, ticket, retryAfter = n.holder.admit(at, a, urgent, maxWait)
	if d == Refused {
		n.noteRefusal(a)
		if a.askAt() > at {
			return d, ticket, retryAfter
		}
	}
	if !a.listed && (d == Waiting || a.want(at, n.holder.leaseTime) > 0) {
		n.need(a)
	}
	if a.listed && a.call == nil {
		n.poll(at)
	}
	return d, ticket, retryAfter
}

// Charge takes a token for a retry, into debt if there is none.
func (n *Node) Charge(at entity.Time, name organisation.Name, limits Limits) {
	a := n.holder.account(at, name, limits)
	a.lastUse = at
	a.charge(at)
	n.need(a)
	n.poll(at)
}

func (n *Node) need(a *account) {
	if !a.listed {
		a.listed = true
		n.needing = append(n.needing, a)
	}
}

func (n *Node) noteRefusal(a *account) {
	if !a.limited {
		a.limited = true
		n.noteChange(a)
	}
}

func (n *Node) noteChange(a *account) {
	n.effects.Changes = append(n.effects.Changes, Change{
		Name: a.name, Limited: a.limited, Limits: a.limits, Limiter: a.grants[0].by, Counters: a.counters,
	})
}

// Wake does what is due. It returns the time at which to call it again.
func (n *Node) Wake(at entity.Time) entity.Time {
	n.limiter.Tick(at)
	n.forgetOthers(at)
	n.holder.sweep(at)
	if at >= n.nextChange {
		n.nextChange = at.Add(changeInterval)
		for _, a := range n.holder.accounts {
			if a.limited && at.Sub(a.lastRefusal) > limitedTime {
				a.limited = false
				n.noteChange(a)
			}
		}
	}
	n.poll(at)
	return min(n.NextDue(at), at.Add(TickInterval))
}

// NextDue returns the earliest time at which an operation's wait ends or tokens are to be
// asked for.
func (n *Node) NextDue(at entity.Time) entity.Time {
	next := entity.Never
	for _, a := range n.needing {
		switch {
		case a.call != nil && len(a.queue) > 0:
			next = min(next, a.askedAt.Add(hedgeTime))
		case a.call == nil && a.askAt() > at:
			next = min(next, a.askAt())
		}
		for _, w := range a.queue {
			next = min(next, w.deadline)
		}
	}
	return max(next, at.Add(time.Millisecond))
}

// poll decides on waiting operations and asks for tokens. A request has all accounts that
// need tokens from the same proxy, and one request to a proxy is in flight.
func (n *Node) poll(at entity.Time) {
	var asks []*call
	kept := n.needing[:0]
	for _, a := range n.needing {
		n.settle(at, a)
		if a.call != nil && len(a.queue) > 0 && at.Sub(a.askedAt) >= hedgeTime {
			a.call = nil
		}
		if len(a.queue) == 0 && a.call == nil && (at < a.askAt() || a.want(at, n.holder.leaseTime) == 0) {
			a.listed = false
			continue
		}
		kept = append(kept, a)
		if a.call != nil || at < a.askAt() {
			continue
		}
		asks = n.plan(at, a, asks)
	}
	clear(n.needing[len(kept):])
	n.needing = kept
	for _, c := range asks {
		n.ask(at, c)
	}
}

func (n *Node) settle(at entity.Time, a *account) {
	if len(a.queue) == 0 {
		return
	}
	before := a.counters.Refused
	n.effects.Outcomes = n.holder.settle(at, a, n.effects.Outcomes)
	if a.counters.Refused > before {
		n.noteRefusal(a)
	}
}

// plan adds an account to the request to its limiter.
func (n *Node) plan(at entity.Time, a *account, asks []*call) []*call {
	target, retryAt := n.target(at, a.name)
	if target == "" {
		a.nextAsk = max(retryAt, at.Add(time.Millisecond))
		a.nextUrgent = a.nextAsk
		n.settle(at, a)
		return asks
	}
	for _, c := range asks {
		if c.to == target && len(c.accounts) < maxWants {
			a.call, a.askedAt = c, at
			c.accounts = append(c.accounts, a)
			return asks
		}
	}
	p := n.candidates.peers[target]
	if p.asking != nil {
		return asks
	}
	c := &call{kind: callAsk, to: target, target: target, sentAt: at, accounts: []*account{a}}
	p.asking, a.call, a.askedAt = c, c, at
	c.pending = &pending{local: c}
	return append(asks, c)
}

// target returns the proxy to ask for an organisation's tokens. It is empty if none can be
// asked before retryAt.
func (n *Node) target(at entity.Time, name organisation.Name) (target entity.VM, retryAt entity.Time) {
	ordered, settled := n.candidates.active(at, name, n.buffer)
	n.buffer = ordered
	retryAt = entity.Never
	for i, vm := range ordered {
		if i >= maxAsked && i < settled || i >= settled+maxAsked {
			continue
		}
		p := n.candidates.peers[vm]
		if vm == n.self || !p.suspected(at) && !p.late(at) {
			return vm, 0
		}
		retryAt = min(retryAt, max(p.suspectedUntil(), at.Add(retryUnknown)))
	}
	return "", min(retryAt, at.Add(suspicionTime))
}

// ask sends the request of a planned call.
func (n *Node) ask(at entity.Time, c *call) {
	request := Request{From: n.self, Wants: make([]Want, len(c.accounts))}
	for i, a := range c.accounts {
		a.askedUrgent = a.urgentWaiting()
		request.Wants[i] = Want{Name: a.name, Limits: a.limits, Tokens: a.want(at, n.holder.leaseTime), Urgent: a.askedUrgent, Past: a.past(at, nil)}
	}
	request.New = n.newCandidates(at, request.Wants)
	if c.to == n.self {
		n.serve(at, c.pending, &request)
		return
	}
	n.send(c, request, askTimeout)
}

func (n *Node) send(c *call, request Request, timeout time.Duration) {
	n.lastCall++
	n.calls[n.lastCall] = c
	n.effects.Sends = append(n.effects.Sends, Send{ID: n.lastCall, To: c.to, Request: request, Timeout: timeout})
}

// Receive handles a request of another proxy. A Reply follows.
func (n *Node) Receive(at entity.Time, id ReplyID, request *Request) {
	p := &pending{reply: id}
	if request.Relay != "" && request.Relay != n.self {
		passed := *request
		passed.Relay = ""
		n.send(&call{kind: callRelay, to: request.Relay, target: request.Relay, sentAt: at, pending: p}, passed, relayTimeout)
		return
	}
	n.serve(at, p, request)
}

// serve grants tokens or asks the limiter for them. After a pause of this proxy it may be the
// first thing that runs, so it checks for one.
func (n *Node) serve(at entity.Time, p *pending, request *Request) {
	n.limiter.Tick(at)
	n.recordNew(at, request.From, request.New)
	age := at.Sub(n.startedAt)
	if n.startedAt == 0 {
		age = 0
	}
	p.wants = request.Wants
	p.answer.Grants = make([]Grant, len(request.Wants))
	var forwards []*call
	for i := range request.Wants {
		if age < newTime {
			n.ping(at, request.Wants[i].Name)
		}
		forwards = n.serveWant(at, p, request, i, forwards)
	}
	if len(forwards) == 0 {
		n.complete(at, p, true)
		return
	}
	p.open = len(forwards)
	for _, c := range forwards {
		n.forward(at, c, request)
	}
}

// ping asks the candidates of an organisation that this proxy, which is new, knows nothing
// of whether they are new as well.
func (n *Node) ping(at entity.Time, name organisation.Name) {
	for _, vm := range n.candidates.of(name) {
		p := n.candidates.peers[vm]
		if vm == n.self || p.pinged {
			continue
		}
		p.pinged = true
		n.send(&call{kind: callPing, to: vm, target: vm, sentAt: at}, Request{From: n.self, New: n.newCandidates(at, nil)}, probeTimeout)
	}
}

// newCandidates returns this proxy, if it is new, and the new candidates of the organisations
// of some wants.
func (n *Node) newCandidates(at entity.Time, wants []Want) []NewProxy {
	var found []NewProxy
	add := func(vm entity.VM, until entity.Time) {
		if until > at && len(found) < maxNew && !slices.ContainsFunc(found, func(p NewProxy) bool { return p.VM == vm }) {
			found = append(found, NewProxy{vm, until.Sub(at)})
		}
	}
	add(n.self, n.newUntil())
	for i := range wants {
		for _, vm := range n.candidates.of(wants[i].Name) {
			add(vm, n.candidates.peers[vm].newUntil)
		}
	}
	return found
}

// newUntil returns when this proxy no longer counts as new, 0 if it has no list yet.
func (n *Node) newUntil() entity.Time {
	if n.startedAt == 0 {
		return 0
	}
	return n.startedAt.Add(newTime)
}

// readyAt returns the time from which this proxy may act as a limiter.
func (n *Node) readyAt() entity.Time {
	settled := min(n.candidates.grownAt.Add(settleTime), n.startedAt.Add(maxGrowth))
	return max(n.startedAt.Add(minAge), settled)
}

// recordNew records new proxies that another one named. What it says of others only shortens
// the time and counts only while it is long: otherwise the delays of messages add up, and
// proxies that tell each other would count a third one as new forever. Messages that waited
// while this proxy was paused do not count, since their times are of no use.
func (n *Node) recordNew(at entity.Time, from entity.VM, proxies []NewProxy) {
	if resumed := n.limiter.resumedAt; resumed != 0 && at.Sub(resumed) < lateMessages {
		return
	}
	for _, q := range proxies {
		p := n.candidates.peers[q.VM]
		if p == nil || q.VM == n.self {
			continue
		}
		until := at.Add(min(q.For, newTime))
		switch {
		case q.VM == from:
			p.newUntil = until
		case q.For < minReportedNew:
		case p.newUntil > at:
			p.newUntil = min(p.newUntil, until)
		default:
			p.newUntil = until
		}
	}
}

// serveWant grants tokens to one organisation, or adds it to a forwarded request.
func (n *Node) serveWant(at entity.Time, p *pending, request *Request, i int, forwards []*call) []*call {
	w, g := &request.Wants[i], &p.answer.Grants[i]
	to, relay, r, since := n.decide(at, w.Name)
	switch {
	case to == n.self && at < n.readyAt():
		g.RetryAfter = n.readyAt().Sub(at)
	case to == n.self:
		*g = n.grant(at, w, r, since)
	case to == "" || request.Forwarded || w.Tokens == 0:
		g.RetryAfter = retryUnknown
	default:
		for _, c := range forwards {
			if c.target == to {
				c.wants = append(c.wants, i)
				return forwards
			}
		}
		c := &call{kind: callForward, to: to, target: to, sentAt: at, pending: p, wants: []int{i}}
		if relay != "" {
			c.to = relay
		}
		return append(forwards, c)
	}
	return forwards
}

// decide returns the limiter of an organisation as this proxy sees it, and the relay
// through which to reach it. It returns no limiter while a candidate that did not answer is
// being probed. since is the time from which the candidates before it have failed without a
// break.
func (n *Node) decide(at entity.Time, name organisation.Name) (to, relay entity.VM, r role, since entity.Time) {
	ordered, settled := n.candidates.active(at, name, n.buffer)
	n.buffer = ordered
	for i, vm := range ordered {
		if i == settled {
			r = roleNew
		}
		if vm == n.self {
			return vm, "", r, since
		}
		p := n.candidates.peers[vm]
		p.neededAt = at
		switch {
		case p.deadUntil > at:
			n.probe(at, vm, p)
			r, since = roleStandIn, max(since, p.deadFrom)
		case !p.suspected(at):
			return vm, "", r, since
		case p.relayUntil > at:
			return vm, p.relay, r, since
		default:
			n.probe(at, vm, p)
			return "", "", r, since
		}
	}
	return "", "", r, since
}

// roleSince returns a time from which this proxy has had its role for every organisation
// that it limits in this role now: no other proxy granted tokens since then, but for those
// that holders report.
func (n *Node) roleSince(r role) entity.Time {
	switch r {
	case roleFirst:
		return max(n.listChangedAt, n.newUntil())
	case roleNew:
		return max(n.listChangedAt, n.readyAt())
	}
	return entity.Never
}

func (n *Node) grant(at entity.Time, w *Want, r role, since entity.Time) Grant {
	limits := w.Limits
	if own, ok := n.limitsOf(w.Name); ok {
		limits = own
	}
	elsewhere := NoOtherLimiter
	for _, past := range w.Past {
		if past.By != n.self {
			elsewhere = min(elsewhere, past.Ago)
		}
	}
	n.limiter.assume(at, w.Name, limits, r, since, n.roleSince(r))
	tokens, retryAfter := n.limiter.Grant(at, w.Name, limits, w.Tokens, w.Urgent, elsewhere)
	return Grant{Tokens: tokens, RetryAfter: retryAfter, By: n.self}
}

// probe finds out whether a candidate can be reached directly or through another proxy. The
// probe tells it which organisations this proxy limited in its place.
func (n *Node) probe(at entity.Time, vm entity.VM, p *peer) {
	if p.probes > 0 {
		return
	}
	p.probes, p.reached = 1, false
	n.send(&call{kind: callProbe, to: vm, target: vm, sentAt: at}, Request{From: n.self, Wants: n.standInReport(at, vm)}, probeTimeout)
	for _, relay := range n.chooseRelays(at, vm) {
		p.probes++
		n.send(&call{kind: callProbe, to: relay, target: vm, sentAt: at}, Request{From: n.self, Relay: vm}, probeTimeout)
	}
}

// standInReport returns the organisations whose first candidate is vm and for which this
// proxy stood in during the last window.
func (n *Node) standInReport(at entity.Time, vm entity.VM) []Want {
	var wants []Want
	for name := range n.limiter.buckets {
		last, ok := n.limiter.lastStandIn(name)
		if ok && at.Sub(last) < n.parameters.Window && len(wants) < maxWants && slices.Contains(n.candidates.of(name), vm) {
			wants = append(wants, Want{Name: name, Limits: n.limiter.buckets[name].limits, Past: []PastGrant{{n.self, at.Sub(last)}}})
		}
	}
	return wants
}

// chooseRelays returns other proxies that answered lately or have not failed.
func (n *Node) chooseRelays(at entity.Time, except entity.VM) []entity.VM {
	var usable []entity.VM
	for vm, p := range n.candidates.peers {
		if vm != n.self && vm != except && p.removedAt == 0 && !p.suspected(at) {
			usable = append(usable, vm)
		}
	}
	slices.Sort(usable)
	for i := range min(relays, len(usable)) {
		j := i + n.random.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
	}
	return usable[:min(relays, len(usable))]
}

// forward passes wants on to their limiter.
func (n *Node) forward(at entity.Time, c *call, request *Request) {
	passed := Request{From: n.self, Forwarded: true, Wants: make([]Want, len(c.wants))}
	if c.to != c.target {
		passed.Relay = c.target
	}
	for j, i := range c.wants {
		w := request.Wants[i]
		if last, ok := n.limiter.lastStandIn(w.Name); ok {
			w.Past = append(slices.Clone(w.Past), PastGrant{n.self, at.Sub(last)})
		}
		passed.Wants[j] = w
	}
	passed.New = n.newCandidates(at, passed.Wants)
	n.send(c, passed, forwardTimeout)
}

// Answered handles the answer to a request, or its failure.
func (n *Node) Answered(at entity.Time, id CallID, answer *Answer, ok bool) {
	c, known := n.calls[id]
	if !known {
		return
	}
	delete(n.calls, id)
	n.limiter.Tick(at)
	p := n.candidates.peers[c.to]
	if p == nil {
		p = &peer{}
	}
	if ok {
		n.recordNew(at, c.target, answer.New)
	}
	if c.to == c.target {
		if ok {
			p.recordAnswer(at)
		} else {
			p.recordFailure(at)
		}
	}
	switch c.kind {
	case callAsk:
		n.finishAsk(at, c, answer, ok)
	case callForward:
		n.finishForward(at, c, answer, ok)
	case callRelay:
		if ok {
			c.pending.answer = *answer
		}
		n.complete(at, c.pending, ok)
	case callProbe:
		n.finishProbe(at, c, ok)
	}
	n.poll(at)
}

func (n *Node) finishForward(at entity.Time, c *call, answer *Answer, ok bool) {
	if !ok && c.to != c.target {
		if p := n.candidates.peers[c.target]; p != nil {
			p.relayUntil = 0
		}
	}
	for j, i := range c.wants {
		if ok && j < len(answer.Grants) {
			c.pending.answer.Grants[i] = answer.Grants[j]
		} else {
			c.pending.answer.Grants[i].RetryAfter = retryUnknown
		}
	}
	if c.pending.open--; c.pending.open == 0 {
		n.complete(at, c.pending, true)
	}
}

func (n *Node) finishProbe(at entity.Time, c *call, ok bool) {
	p := n.candidates.peers[c.target]
	if p == nil {
		return
	}
	p.probes--
	if ok {
		p.reached, p.deadUntil = true, 0
		if c.to != c.target {
			p.relay, p.relayUntil = c.to, at.Add(relayTime)
		}
	}
	if p.probes > 0 || p.reached {
		return
	}
	if p.deadUntil.Add(probeTimeout) < at {
		p.deadFrom = at
	}
	p.deadUntil = at.Add(deadTime)
	if at.Sub(p.neededAt) < neededTime {
		// Otherwise the next request would wait for a probe.
		n.probe(at, c.target, p)
	}
}

// complete answers a request.
func (n *Node) complete(at entity.Time, p *pending, ok bool) {
	p.answer.New = n.newCandidates(at, p.wants)
	if p.local != nil {
		n.finishAsk(at, p.local, &p.answer, ok)
		return
	}
	n.effects.Replies = append(n.effects.Replies, Reply{ID: p.reply, Answer: p.answer, OK: ok})
}

// finishAsk deposits the granted tokens. The lease counts from the sending of the request.
func (n *Node) finishAsk(at entity.Time, c *call, answer *Answer, ok bool) {
	if p := n.candidates.peers[c.to]; p != nil && p.asking == c {
		p.asking = nil
	}
	for i, a := range c.accounts {
		if a.call == c {
			a.call = nil
		}
		n.need(a)
		if !ok || i >= len(answer.Grants) {
			continue
		}
		g := answer.Grants[i]
		if g.Tokens > 0 {
			a.recordGrant(at, g.By)
			a.deposit(at, g.Tokens, c.sentAt.Add(n.holder.leaseTime))
		}
		if g.RetryAfter > 0 {
			a.nextAsk = at.Add(g.RetryAfter)
			if g.Tokens < a.askedUrgent {
				a.nextUrgent = at.Add(min(g.RetryAfter, urgentRetry))
			}
		}
		n.settle(at, a)
	}
}

// Counters returns the operations of all organisations at this proxy, and the tokens that it
// granted as a limiter.
func (n *Node) Counters() (total Counters, granted uint64) { return n.holder.total, n.limiter.granted }

// Row describes an organisation at this proxy.
type Row struct {
	Name   organisation.Name
	Limits Limits
	// Tokens are the leased tokens, Waiting the operations that wait for one.
	Tokens, Waiting int
	// Limiter is the proxy that granted tokens last, empty if none did.
	Limiter entity.VM
	// Demand is the recent rate of operations per second.
	Demand   float64
	Limited  bool
	Counters Counters
}

// Rows returns up to limit rows, ordered by name.
func (n *Node) Rows(at entity.Time, limit int) []Row {
	names := slices.Sorted(maps.Keys(n.holder.accounts))
	rows := make([]Row, 0, min(limit, len(names)))
	for _, name := range names[:min(limit, len(names))] {
		a := n.holder.accounts[name]
		a.decay(at, n.holder.leaseTime)
		rows = append(rows, Row{
			Name: name, Limits: a.limits, Tokens: a.tokens(at), Waiting: len(a.queue), Limiter: a.grants[0].by,
			Demand: a.demand, Limited: a.limited, Counters: a.counters,
		})
	}
	return rows
}
