package quota

import (
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// A Node as a limiter: requests of holders, and the choice of the limiter.

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

// complete answers a request.
func (n *Node) complete(at entity.Time, p *pending, ok bool) {
	p.answer.New = n.newCandidates(at, p.wants)
	if p.local != nil {
		n.finishAsk(at, p.local, &p.answer, ok)
		return
	}
	n.effects.Replies = append(n.effects.Replies, Reply{ID: p.reply, Answer: p.answer, OK: ok})
}
