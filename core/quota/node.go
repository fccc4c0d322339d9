package quota

import (
	"math/rand/v2"
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

func (n *Node) send(c *call, request Request, timeout time.Duration) {
	n.lastCall++
	n.calls[n.lastCall] = c
	n.effects.Sends = append(n.effects.Sends, Send{ID: n.lastCall, To: c.to, Request: request, Timeout: timeout})
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
