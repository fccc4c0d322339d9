package core

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// probesIn counts the status calls of a node without requests.
func probesIn(r *rig, d time.Duration) int {
	probes := 0
	for end := r.now.Add(d); r.now < end; {
		r.tick(10 * time.Millisecond)
		probes += len(r.in.Probes)
	}
	return probes
}

// Guards against control traffic that grows with the number of owned databases.
func TestIdleProbesAreBounded(t *testing.T) {
	one := newRig(1)
	one.settle(10)
	assert.Assert(t, probesIn(one, 10*time.Second) >= 10*25)
	many := newRig(20)
	many.settle(10)
	n := probesIn(many, 10*time.Second)
	assert.Assert(t, n <= 10*33, "%d probes in 10 s", n)
}

// Guards against two services that claim one database: the order in which the
// documents arrive must not decide.
func TestDatabaseOfTwoServices(t *testing.T) {
	for _, names := range [][]string{{"a", "b"}, {"b", "a"}} {
		n := New(DefaultConfig("p1", 1, 1))
		var in Inputs
		for _, name := range names {
			in.Documents = append(in.Documents, Service{Name: name, Revision: 1, Databases: []DatabaseSpec{{Name: "orders"}}})
		}
		n.Tick(1, &in)
		assert.Equal(t, n.databases["orders"].service.spec.Name, "a")
	}
}

// Guards against a write that a read class is acknowledged without a round that
// started after it.
func TestWriteOfReadClassIsConfirmed(t *testing.T) {
	for _, wrote := range []bool{false, true} {
		r := newRig(1)
		r.requests(100, 10, 1, 10)
		r.settle(5)
		r.done = 0
		r.arrive(0, 1)
		r.in.Arrivals[0].Class = "browse"
		r.tick(time.Millisecond)
		assert.Equal(t, len(r.in.Completions), 1)
		r.in.Completions[0].Wrote = wrote
		r.tick(time.Millisecond)
		assert.Equal(t, r.done == 1, !wrote)
		r.settle(2)
		assert.Equal(t, r.done, 1)
	}
}

// Guards against a retry that gets the error of an earlier attempt, which the
// upstream had rolled back.
func TestFailedRequestRunsAgain(t *testing.T) {
	for _, failed := range []bool{false, true} {
		r := newRig(1)
		r.requests(100, 10, 1, 10)
		r.settle(5)
		for attempt := range 2 {
			r.arrive(0, 1)
			a := &r.in.Arrivals[0]
			a.Class, a.Request, a.Attempt = "order", entity.RequestKey{7, 7}, uint32(attempt+1)
			r.tick(time.Millisecond)
			ran := len(r.in.Completions)
			assert.Equal(t, ran == 1, attempt == 0 || failed)
			if ran == 1 {
				r.in.Completions[0].Failed = failed
			}
			r.settle(3)
		}
	}
}

// Guards against a duplicate that is acknowledged from the record alone: the
// primary may have been replaced since, for example while the owner was paused.
func TestDuplicateWaitsForARound(t *testing.T) {
	r := newRig(1)
	r.requests(100, 10, 1, 10)
	r.settle(5)
	r.done = 0
	for attempt := range 2 {
		r.mute = attempt == 1
		r.arrive(0, 1)
		a := &r.in.Arrivals[0]
		a.Class, a.Request, a.Attempt = "order", entity.RequestKey{9, 9}, uint32(attempt+1)
		r.settle(3)
		assert.Equal(t, r.done, 1)
	}
	r.mute = false
	r.settle(3)
	assert.Equal(t, r.done, 2)
	assert.Equal(t, len(r.in.Completions), 0)
}

// Guards against a late statement of an earlier transaction that enters the
// caller's current one, for example after a partition heals, and against a late
// end of the earlier one that rolls the current one back.
func TestLateStatementOfEarlierTransaction(t *testing.T) {
	r := newRig(1)
	r.requests(100, 10, 1, 10)
	r.settle(5)
	statement := func(transaction uint64, continued bool) int {
		r.arrive(0, 1)
		a := &r.in.Arrivals[0]
		a.Class, a.Transaction, a.InTransaction = "order", transaction, continued
		r.tick(time.Millisecond)
		ran := len(r.in.Completions)
		for i := range r.in.Completions {
			r.in.Completions[i].InTransaction = true
		}
		r.tick(time.Millisecond)
		return ran
	}
	assert.Equal(t, statement(1, false), 1)
	assert.Equal(t, statement(2, false), 1)
	assert.Equal(t, statement(1, true), 0)
	r.in.CallersClosed = append(r.in.CallersClosed, CallerClosed{Caller: 1, Transaction: 1})
	r.tick(time.Millisecond)
	assert.Equal(t, statement(2, true), 1)
	assert.Equal(t, r.node.Snapshot().Transactions, 1)
}

// Guards against a request that was queued when the primary changed and runs
// although an acknowledged write of its session is lost: a read would miss that
// write, and a write would hide the loss from the session for good.
func TestLossIsToldToQueuedRequests(t *testing.T) {
	for _, class := range []string{"order", "strict"} {
		r := newRig(1)
		r.requests(100, 10, 1, 10)
		r.settle(5)
		kept := r.offset
		r.arrive(0, 1)
		r.in.Arrivals[0].Class = "order"
		r.settle(1)
		assert.Equal(t, r.kinds[ResultDone], 101)

		// The slots stay taken until the connections end with the old primary.
		r.stalled = true
		const others = rigUpstreams*rigSlots + 1
		for i := range others {
			r.arrive(0, 10+i)
			r.in.Arrivals[i].Class = class
		}
		r.tick(time.Millisecond)
		r.arrive(0, 1)
		r.in.Arrivals[0].Class = class
		queued := r.next
		r.tick(time.Millisecond)
		assert.Equal(t, r.node.requests[queued].state, stateQueued)
		r.stalled, r.promoted, r.kept = false, true, kept
		for id, c := range r.node.conns {
			if c.state == connBusy {
				r.in.Connections = append(r.in.Connections, ConnectionEvent{Connection: id, State: ConnectionClosed})
			}
		}
		var results []Result
		for range 100 {
			r.tick(15 * time.Millisecond)
			results = append(results, r.last...)
		}
		at := slices.IndexFunc(results, func(res Result) bool { return res.Handle == queued })
		assert.Assert(t, at >= 0)
		assert.Equal(t, results[at].Kind, ResultWriteLost)
	}
}

// Guards against an entry that was stopped with an owner's acknowledgement in
// hand and passes it on after the primary was replaced.
func TestEntryPausedWithAcknowledgement(t *testing.T) {
	for _, pause := range []time.Duration{time.Millisecond, 3 * time.Second} {
		n := New(DefaultConfig("p1", 1, 1))
		in := Inputs{Documents: rigDocuments(1), ListRevision: 1}
		in.ProxyList = []membership.ListedVM{{VM: "p2", AvailabilityZone: "a"}}
		now := entity.Time(1)
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			n.Tick(now, &in)
			in.Reset()
		}
		in.Arrivals = []Arrival{{Handle: 1, Caller: 1, Database: rigDatabase(0), Class: "order"}}
		out := n.Tick(now, &in)
		assert.Equal(t, len(out.Forwards), 1)
		in.Reset()
		in.PeerResults = []PeerResult{{Handle: 1, Peer: "p2", Position: entity.Position{Term: 1, Offset: 1}}}
		out = n.Tick(now.Add(pause), &in)
		assert.Equal(t, len(out.Results), 1)
		assert.Equal(t, out.Results[0].Kind == ResultUnknown, pause > time.Second)
	}
}
