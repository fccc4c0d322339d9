package quota

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// A Node as a holder: operations that need tokens, and the requests for them.

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
