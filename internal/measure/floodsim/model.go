package floodsim

import (
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/internal/vtime"
)

// attempt is one attempt to execute an order, offered to the scheduler as an item.
type attempt struct {
	order    int
	offered  entity.Time
	deadline entity.Time
	// number is the number of the attempt of its order, from 1; duplicates have 0.
	number int
	// ended is set once the attempt was executed or refused.
	ended bool
	// retried is set once the caller has sent the next attempt.
	retried bool
}

// model is the simulation of one scheduler with the orders of one run.
type model struct {
	scheduler scheduler
	orders    []order
	ranks     []Rank
	random    *rand.Rand
	attempts  []attempt
	answered  []bool
	events    vtime.Queue[event]
	freeSlots [flood.NumLanes]int
	expiryDue entity.Time
	refusals  []flood.Refusal
	collector *collector
}

func newModel(s scheduler, d Deployment, orders []order, phases PhaseDurations, seed uint64) *model {
	m := &model{
		scheduler: s,
		orders:    orders,
		ranks:     Ranks(),
		random:    rand.New(rand.NewPCG(seed, 100)),
		answered:  make([]bool, len(orders)),
		expiryDue: entity.Never,
		collector: newCollector(d, phases),
	}
	for lane := range flood.NumLanes {
		m.freeSlots[lane] = d.slots(lane)
	}
	return m
}

func (m *model) push(e event) { m.events.Push(e.at, e) }

// run processes the events up to end. The caller chooses it so long after the last
// order that an attempt of the measured phases without an answer has missed its
// deadline.
func (m *model) run(end entity.Time) {
	if len(m.orders) > 0 {
		m.push(event{at: m.orders[0].at, kind: eventOrder})
	}
	for m.events.Len() > 0 {
		_, e := m.events.Pop()
		if e.at > end {
			return
		}
		m.handle(e)
		m.dispatch(e.at)
		m.scheduleExpiry(e.at)
	}
}

func (m *model) handle(e event) {
	switch e.kind {
	case eventOrder:
		m.startOrder(e.at, e.index)
	case eventRetry:
		m.retry(e.at, e.index)
	case eventDuplicate:
		m.offer(e.at, attempt{order: e.index})
	case eventDone:
		m.handleDone(e.at, e.index, e.item)
	case eventTimeout:
		m.handleTimeout(e.at, e.index)
	case eventExpiry:
		if e.at == m.expiryDue {
			m.expiryDue = entity.Never
			m.expire(e.at)
		}
	}
}

func (m *model) startOrder(now entity.Time, index int) {
	o := &m.orders[index]
	if index+1 < len(m.orders) {
		m.push(event{at: m.orders[index+1].at, kind: eventOrder, index: index + 1})
	}
	at := now
	for range o.duplicates {
		at = at.Add(m.exponentialDelay(duplicateInterval))
		m.push(event{at: at, kind: eventDuplicate, index: index})
	}
	m.offer(now, attempt{order: index, number: 1})
}

// exponentialDelay returns an exponentially distributed random duration.
func (m *model) exponentialDelay(mean time.Duration) time.Duration {
	return time.Duration(m.random.ExpFloat64() * float64(mean))
}

// offer sends an attempt to the scheduler.
func (m *model) offer(now entity.Time, a attempt) {
	o := &m.orders[a.order]
	r := &m.ranks[o.rank]
	a.offered = now
	a.deadline = now.Add(r.Deadline)
	index := len(m.attempts)
	m.attempts = append(m.attempts, a)
	m.collector.recordOffer(now, o, a.number)
	decision := m.scheduler.Offer(now, flood.Item{
		Handle:   entity.Handle(index + 1),
		Rank:     o.rank,
		Caller:   o.caller,
		Lane:     o.lane,
		Retry:    a.number != 1,
		Arrived:  now,
		Deadline: a.deadline,
		Cost:     r.ExpectedCost,
	})
	if decision.Reason != flood.ReasonNone {
		m.handleRefusal(now, now, index, decision.RetryAfter)
		return
	}
	m.scheduleTimeout(now, index)
}

// scheduleTimeout schedules the end of the caller's wait for an attempt.
func (m *model) scheduleTimeout(now entity.Time, index int) {
	a := &m.attempts[index]
	if a.number == 0 {
		return
	}
	o := &m.orders[a.order]
	timeout := m.ranks[o.rank].Deadline
	if !o.honoursRetryAfter {
		timeout = m.ranks[o.rank].Target
	}
	m.push(event{at: now.Add(timeout), kind: eventTimeout, index: index})
}

// handleTimeout schedules a retry if the attempt has no answer yet. The attempt itself
// stays queued or running.
func (m *model) handleTimeout(now entity.Time, index int) {
	if m.attempts[index].ended {
		return
	}
	m.scheduleRetry(now, index, meanRetryDelay)
}

// scheduleRetry schedules the order's next attempt, if any, after a random delay. It is
// used after timeouts, and after refusals if the caller ignores RetryAfter.
func (m *model) scheduleRetry(now entity.Time, index int, mean time.Duration) {
	a := &m.attempts[index]
	if a.number == 0 || a.number >= maxAttempts || a.retried || m.answered[a.order] {
		return
	}
	a.retried = true
	m.push(event{at: now.Add(m.exponentialDelay(mean)), kind: eventRetry, index: index})
}

func (m *model) retry(now entity.Time, index int) {
	a := m.attempts[index]
	if m.answered[a.order] {
		return
	}
	m.offer(now, attempt{order: a.order, number: a.number + 1})
}

// handleRefusal records the refusal of an attempt and schedules a retry, if the caller
// makes one. due is when the refusal became certain: when the scheduler could decide it,
// at the latest at the deadline.
func (m *model) handleRefusal(now, due entity.Time, index int, retryAfter time.Duration) {
	a := &m.attempts[index]
	a.ended = true
	o := &m.orders[a.order]
	m.collector.recordRefusal(o, a, now, due)
	if !o.honoursRetryAfter {
		m.scheduleRetry(now, index, meanRetryDelay)
		return
	}
	if a.number == 0 || a.number >= maxAttempts || a.retried {
		return
	}
	a.retried = true
	m.push(event{at: now.Add(retryAfter), kind: eventRetry, index: index})
}

// expire handles all refusals of queued items that are due.
func (m *model) expire(now entity.Time) {
	for {
		due := min(now, m.scheduler.NextExpiry())
		m.refusals = m.scheduler.Expire(now, m.refusals[:0])
		if len(m.refusals) == 0 {
			return
		}
		for _, r := range m.refusals {
			index := int(r.Handle) - 1
			m.handleRefusal(now, min(due, m.attempts[index].deadline), index, r.RetryAfter)
		}
	}
}

// dispatch starts queued items on all free slots.
func (m *model) dispatch(now entity.Time) {
	for lane := range flood.NumLanes {
		for m.freeSlots[lane] > 0 {
			item, ok := m.scheduler.Next(now, lane)
			if !ok {
				break
			}
			m.freeSlots[lane]--
			index := int(item.Handle) - 1
			cost := m.orders[m.attempts[index].order].cost
			m.push(event{at: now.Add(cost), kind: eventDone, index: index, item: item})
		}
	}
}

// handleDone frees the slot of an executed attempt and records the result.
func (m *model) handleDone(now entity.Time, index int, item flood.Item) {
	a := &m.attempts[index]
	o := &m.orders[a.order]
	m.freeSlots[o.lane]++
	m.scheduler.Done(now, item, o.cost)
	a.ended = true
	inTime := now <= a.deadline
	m.collector.recordRun(now, o, a, inTime, m.answered[a.order])
	m.answered[a.order] = m.answered[a.order] || inTime
}

// scheduleExpiry schedules an event for the scheduler's next expiry, unless one is due
// earlier.
func (m *model) scheduleExpiry(now entity.Time) {
	next := max(now, m.scheduler.NextExpiry())
	if next < m.expiryDue {
		m.expiryDue = next
		m.push(event{at: next, kind: eventExpiry})
	}
}
