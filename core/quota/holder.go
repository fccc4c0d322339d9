package quota

import (
	"math"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Ticket identifies an operation that waits for a token.
type Ticket uint64

// Decision is the decision on an arriving operation.
type Decision uint8

// The decisions.
const (
	// Admitted means that a token was taken.
	Admitted Decision = iota
	// Waiting means that the operation waits; an Outcome follows.
	Waiting
	// Refused means that no token will be available in time.
	Refused
)

const (
	// maxWaiting bounds the operations of one organisation that wait at one proxy.
	maxWaiting = 1024
	// limitedTime is the time without a refusal after which an organisation no longer counts
	// as limited.
	limitedTime = 5 * time.Second
	// maxLeases bounds the leases of one organisation with different ends.
	maxLeases = 4
	// maxDebt bounds the tokens that retries may take in advance.
	maxDebt = 1000
	// accountRetention is the time after which the account of an unused organisation is
	// dropped.
	accountRetention = time.Minute
)

type lease struct {
	tokens int
	end    entity.Time
}

type waiter struct {
	ticket   Ticket
	deadline entity.Time
	urgent   bool
}

type grantTime struct {
	by entity.VM
	at entity.Time
}

// account is what a proxy knows of an organisation whose operations it admits.
type account struct {
	name   organisation.Name
	limits Limits
	// leases are ordered by their ends.
	leases [maxLeases]lease
	debt   int
	// queue has the urgent operations first.
	queue []waiter
	// call is the request for tokens in flight, sent at askedAt, nil if there is none. listed
	// is set while the account is in the node's list of accounts that need tokens. Before
	// nextAsk the limiter has no tokens, before nextUrgent none for urgent operations either.
	call    *call
	askedAt entity.Time
	listed  bool
	nextAsk entity.Time
	// askedUrgent is the number of urgent operations in the last request.
	nextUrgent  entity.Time
	askedUrgent int
	// demand is the recent rate of operations per second, estimated at demandAt.
	demand   float64
	demandAt entity.Time
	lastUse  entity.Time
	// grants are the times of the last grants by the last two limiters.
	grants [2]grantTime
	// limited is set while operations are refused.
	limited     bool
	lastRefusal entity.Time
	counters    Counters
}

// Counters count the operations of an organisation at one proxy.
type Counters struct{ Admitted, Waited, Refused uint64 }

// tokens returns the number of tokens that have not expired.
func (a *account) tokens(at entity.Time) int {
	total := 0
	for i := range a.leases {
		if a.leases[i].end > at {
			total += a.leases[i].tokens
		}
	}
	return total
}

// take takes a token from the lease that ends first.
func (a *account) take(at entity.Time) bool {
	best := -1
	for i := range a.leases {
		l := &a.leases[i]
		if l.tokens > 0 && l.end > at && (best < 0 || l.end < a.leases[best].end) {
			best = i
		}
	}
	if best < 0 {
		return false
	}
	a.leases[best].tokens--
	return true
}

// deposit adds granted tokens. They pay the debt first.
func (a *account) deposit(at entity.Time, tokens int, end entity.Time) {
	paid := min(a.debt, tokens)
	a.debt -= paid
	tokens -= paid
	if tokens == 0 || end <= at {
		return
	}
	slot := 0
	for i := range a.leases {
		if a.leases[i].end <= at || a.leases[i].tokens == 0 {
			slot = i
			break
		}
		if a.leases[i].end < a.leases[slot].end {
			slot = i
		}
	}
	a.leases[slot] = lease{tokens, end}
}

// countArrival updates the demand estimate.
func (a *account) countArrival(at entity.Time, over time.Duration) {
	a.decay(at, over)
	a.demand += 1 / over.Seconds()
	a.lastUse = at
}

func (a *account) decay(at entity.Time, over time.Duration) {
	if passed := at.Sub(a.demandAt); passed > 0 {
		a.demand *= math.Exp(-passed.Seconds() / over.Seconds())
		a.demandAt = at
	}
}

// want returns the number of tokens to ask for, 0 if those at hand suffice: the operations
// that wait, and what half a lease time needs at the recent rate. While operations are
// refused it is a whole lease time: the next request is put off then, and half of the
// quota of an organisation with many holders would remain unused.
func (a *account) want(at entity.Time, leaseTime time.Duration) int {
	a.decay(at, leaseTime)
	ahead := int(a.demand * leaseTime.Seconds() / 2)
	if a.limited && len(a.queue) > 1 {
		ahead = int(a.demand * leaseTime.Seconds())
	}
	held := a.tokens(at)
	if len(a.queue) == 0 && a.debt == 0 && held > ahead/2 {
		return 0
	}
	if at < a.nextAsk {
		return max(0, a.urgentWaiting()-held)
	}
	return max(0, len(a.queue)+a.debt+ahead-held)
}

// urgentWaiting returns the number of urgent operations that wait.
func (a *account) urgentWaiting() int {
	n := 0
	for n < len(a.queue) && a.queue[n].urgent {
		n++
	}
	return n
}

// askAt returns the time of the next request for tokens.
func (a *account) askAt() entity.Time {
	if a.urgentWaiting() > 0 {
		return min(a.nextAsk, a.nextUrgent)
	}
	return a.nextAsk
}

// waitOf returns the time until tokens for an operation can be asked for.
func (a *account) waitOf(at entity.Time, urgent bool) time.Duration {
	if urgent {
		return min(a.nextAsk, a.nextUrgent).Sub(at)
	}
	return a.nextAsk.Sub(at)
}

// enqueue adds a waiting operation behind those that are at least as urgent.
func (a *account) enqueue(w waiter) {
	if !w.urgent {
		a.queue = append(a.queue, w)
		return
	}
	a.queue = slices.Insert(a.queue, a.urgentWaiting(), w)
}

// past returns the last grants by the last two limiters.
func (a *account) past(at entity.Time, buffer []PastGrant) []PastGrant {
	for _, g := range a.grants {
		if g.by != "" {
			buffer = append(buffer, PastGrant{g.by, at.Sub(g.at)})
		}
	}
	return buffer
}

func (a *account) recordGrant(at entity.Time, by entity.VM) {
	if a.grants[0].by != by {
		a.grants[1] = a.grants[0]
	}
	a.grants[0] = grantTime{by, at}
}

// Holder keeps the leased tokens of this proxy, by organisation.
type Holder struct {
	leaseTime  time.Duration
	accounts   map[organisation.Name]*account
	lastTicket Ticket
	lastSweep  entity.Time
	total      Counters
}

// NewHolder returns a Holder without tokens.
func NewHolder(parameters Parameters) *Holder {
	return &Holder{leaseTime: parameters.Lease(), accounts: map[organisation.Name]*account{}}
}

func (h *Holder) account(at entity.Time, name organisation.Name, limits Limits) *account {
	a, ok := h.accounts[name]
	if !ok {
		a = &account{name: name, demandAt: at}
		h.accounts[name] = a
	}
	a.limits = limits
	return a
}

// admit decides on an arriving operation. An urgent one goes ahead of those that wait and
// are not urgent: without that, the operations that may wait longest would get most tokens
// of an organisation that is over its quota.
func (h *Holder) admit(at entity.Time, a *account, urgent bool, maxWait time.Duration) (Decision, Ticket, time.Duration) {
	a.countArrival(at, h.leaseTime)
	first := len(a.queue) == 0 || urgent && !a.queue[0].urgent
	if first && a.debt == 0 && a.take(at) {
		a.counters.Admitted++
		h.total.Admitted++
		return Admitted, 0, 0
	}
	if wait := a.waitOf(at, urgent); wait > maxWait || maxWait <= 0 {
		return Refused, 0, h.refuse(at, a, wait)
	}
	if len(a.queue) >= maxWaiting {
		return Refused, 0, h.refuse(at, a, max(a.nextAsk.Sub(at), h.leaseTime))
	}
	h.lastTicket++
	a.enqueue(waiter{h.lastTicket, at.Add(maxWait), urgent})
	a.counters.Waited++
	h.total.Waited++
	return Waiting, h.lastTicket, 0
}

// refuse counts a refusal and returns the time after which to retry.
func (h *Holder) refuse(at entity.Time, a *account, wait time.Duration) time.Duration {
	h.total.Refused++
	a.counters.Refused++
	a.lastRefusal = at
	return max(time.Millisecond, wait)
}

// settle admits waiting operations with the tokens at hand, in the order of their arrival,
// and refuses those whose time ends before the next request.
func (h *Holder) settle(at entity.Time, a *account, out []Outcome) []Outcome {
	kept := a.queue[:0]
	for _, w := range a.queue {
		wait := a.waitOf(at, w.urgent)
		switch {
		case w.deadline > at && a.debt == 0 && a.take(at):
			a.counters.Admitted++
			h.total.Admitted++
			out = append(out, Outcome{Ticket: w.ticket, Admitted: true})
		case w.deadline <= at || wait > w.deadline.Sub(at):
			out = append(out, Outcome{Ticket: w.ticket, RetryAfter: h.refuse(at, a, wait)})
		default:
			kept = append(kept, w)
		}
	}
	a.queue = kept
	return out
}

// charge takes a token for a retry, or a debt.
func (a *account) charge(at entity.Time) {
	if !a.take(at) {
		a.debt = min(a.debt+1, maxDebt)
	}
}

// sweep drops accounts that have not been used for long.
func (h *Holder) sweep(at entity.Time) {
	if at.Sub(h.lastSweep) < accountRetention/2 {
		return
	}
	h.lastSweep = at
	for name, a := range h.accounts {
		if at.Sub(a.lastUse) > accountRetention && len(a.queue) == 0 && a.call == nil {
			delete(h.accounts, name)
		}
	}
}
