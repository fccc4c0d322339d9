package quota

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

var testParameters = Parameters{Window: 5 * time.Second, Overage: 0.1, Slack: 20}

// second is the first instant of the tests; 0 means that something has not happened.
const second = entity.Time(time.Second)

// Guards against parameters with which a single limiter exceeds the bound.
func TestRefillAndCapacityStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		p := Parameters{
			Window:  time.Duration(rapid.Int64Range(int64(time.Second), int64(time.Minute)).Draw(t, "window")),
			Overage: rapid.Float64Range(0, 1).Draw(t, "overage"), Slack: rapid.Float64Range(0, 100).Draw(t, "slack"),
		}
		l := Limits{rapid.Float64Range(0, 1e4).Draw(t, "rate"), rapid.Float64Range(0, 1e4).Draw(t, "burst")}
		most := p.Capacity(l) + p.Refill(l)*(p.Window+p.Lease()).Seconds()
		if most > p.Bound(l)*(1+1e-9) || p.Refill(l) < 0 {
			t.Fatalf("%+v %+v: %v tokens, bound %v", p, l, most, p.Bound(l))
		}
	})
	assert.Equal(t, testParameters.Refill(Limits{}), 0.0)
	assert.Equal(t, testParameters.Lease(), 125*time.Millisecond)
}

// Guards against a bucket that counts refill from before its start, a pause, a lower limit or
// a grant by another limiter.
func TestBucketStartsEmpty(t *testing.T) {
	limits := Limits{100, 100}
	full := func() (*Limiter, entity.Time) {
		l := NewLimiter(testParameters)
		l.Tick(second)
		granted, retryAfter := l.Grant(second, "press", limits, 10, 10, NoOtherLimiter)
		assert.Equal(t, granted, 0)
		assert.Assert(t, retryAfter > 0)
		at := second
		for range 100 {
			at = at.Add(100 * time.Millisecond)
			l.Tick(at)
		}
		return l, at
	}
	l, at := full()
	granted, _ := l.Grant(at, "press", limits, 1000, 1000, NoOtherLimiter)
	assert.Equal(t, granted, int(testParameters.Capacity(limits)))

	l, at = full()
	at = at.Add(maxPause + time.Millisecond)
	l.Tick(at)
	granted, _ = l.Grant(at, "press", limits, 1000, 1000, NoOtherLimiter)
	assert.Equal(t, granted, 0)

	l, at = full()
	lower := Limits{1, 1}
	granted, _ = l.Grant(at, "press", lower, 1000, 1000, NoOtherLimiter)
	assert.Equal(t, granted, int(testParameters.Capacity(lower)))

	l, at = full()
	granted, _ = l.Grant(at, "press", limits, 1000, 1000, 50*time.Millisecond)
	assert.Equal(t, granted, 5)

	l, at = full()
	l.Tick(at.Add(bucketRetention + time.Second))
	assert.Equal(t, len(l.buckets), 0)
}

// Guards against a lease that counts from the arrival of the answer, against operations that
// overtake others, and against a debt that is not paid.
func TestLeases(t *testing.T) {
	h := NewHolder(testParameters)
	a := h.account(second, "press", Limits{100, 100})
	_, first, _ := h.admit(second, a, false, time.Second)
	decision, _, _ := h.admit(second, a, false, time.Second)
	assert.Equal(t, decision, Waiting)
	a.deposit(second.Add(100*time.Millisecond), 1, second.Add(h.leaseTime))
	assert.DeepEqual(t, h.settle(second.Add(100*time.Millisecond), a, nil), []Outcome{{Ticket: first, Admitted: true}})

	a.deposit(second.Add(100*time.Millisecond), 5, second.Add(h.leaseTime))
	assert.Equal(t, len(h.settle(second.Add(h.leaseTime), a, nil)), 0)
	assert.Equal(t, a.tokens(second.Add(h.leaseTime)), 0)

	a.charge(second.Add(h.leaseTime))
	assert.Equal(t, a.debt, 1)
	a.deposit(second.Add(h.leaseTime), 1, second.Add(2*h.leaseTime))
	assert.Equal(t, a.debt+a.tokens(second.Add(h.leaseTime)), 0)
}

// Guards against a proxy that others count as new forever because they tell each other, with
// the delay of each message added.
func TestNewProxiesExpire(t *testing.T) {
	n := NewNode("vm-1", testParameters, nil)
	n.Update(second, []entity.VM{"vm-1", "vm-2", "vm-3"})
	n.recordNew(second, "vm-3", []NewProxy{{"vm-3", time.Second}})
	at := second.Add(900 * time.Millisecond)
	n.recordNew(at, "vm-2", []NewProxy{{"vm-3", 900 * time.Millisecond}})
	assert.Equal(t, n.candidates.peers["vm-3"].newUntil, second.Add(time.Second))
	n.recordNew(second.Add(1100*time.Millisecond), "vm-2", []NewProxy{{"vm-3", 100 * time.Millisecond}})
	assert.Equal(t, n.candidates.peers["vm-3"].newUntil, second.Add(time.Second))
}

// Guards against an organisation over its quota whose urgent operations get no tokens because
// the others may wait longer, and against a bucket that others leave empty.
func TestUrgentOperationsGetTokensFirst(t *testing.T) {
	limits := Limits{Rate: 100, Burst: 100}
	l := NewLimiter(testParameters)
	h := NewHolder(testParameters)
	a := h.account(0, "press", limits)
	var urgentOffered, urgentAdmitted, othersAdmitted int
	urgent := map[Ticket]bool{}
	count := func(ticket Ticket) {
		if urgent[ticket] {
			urgentAdmitted++
		} else {
			othersAdmitted++
		}
	}
	// 500 operations a second, a tenth of them urgent.
	for i := range 5000 {
		at := second + entity.Time(i)*entity.Time(2*time.Millisecond)
		l.Tick(at)
		isUrgent, wait := i%10 == 0, 400*time.Millisecond
		if isUrgent {
			urgentOffered++
			wait = 100 * time.Millisecond
		}
		d, ticket, _ := h.admit(at, a, isUrgent, wait)
		urgent[ticket] = isUrgent
		if d == Admitted {
			urgent[ticket] = isUrgent
			count(ticket)
		}
		if at >= a.askAt() {
			a.askedUrgent = a.urgentWaiting()
			tokens, retryAfter := l.Grant(at, "press", limits, a.want(at, h.leaseTime), a.askedUrgent, NoOtherLimiter)
			a.deposit(at, tokens, at.Add(h.leaseTime))
			if retryAfter > 0 {
				a.nextAsk = at.Add(retryAfter)
				if tokens < a.askedUrgent {
					a.nextUrgent = a.nextAsk
				}
			}
		}
		for _, o := range h.settle(at, a, nil) {
			if o.Admitted {
				count(o.Ticket)
			}
		}
	}
	if urgentAdmitted < urgentOffered*99/100 {
		t.Errorf("%d of %d urgent operations admitted", urgentAdmitted, urgentOffered)
	}
	if othersAdmitted < 400 {
		t.Errorf("%d other operations admitted in 10 s, 500 were possible", othersAdmitted)
	}
}
