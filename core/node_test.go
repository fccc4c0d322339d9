package core

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// countProbes returns the number of probes that a node without requests sends
// within a duration.
func countProbes(h *harness, duration time.Duration) int {
	probes := 0
	for end := h.now.Add(duration); h.now < end; {
		h.tick(10 * time.Millisecond)
		probes += len(h.in.Probes)
	}
	return probes
}

// Guards against control traffic that grows with the number of owned databases.
func TestIdleProbesAreBounded(t *testing.T) {
	one := newHarness(1)
	one.runIdle(10)
	assert.Assert(t, countProbes(one, 10*time.Second) >= 10*25)
	many := newHarness(20)
	many.runIdle(10)
	probes := countProbes(many, 10*time.Second)
	assert.Assert(t, probes <= 10*33, "%d probes in 10 s", probes)
}

// Guards against nodes that disagree on the service of a database which two
// services declare: the order in which the documents arrive must not decide.
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

// Guards against acknowledging a write made by a request of a read-only class
// without a probe round that started after the write.
func TestWriteOfReadClassIsConfirmed(t *testing.T) {
	for _, wrote := range []bool{false, true} {
		h := newHarness(1)
		h.runRequests(100, 10, 1, 10)
		h.runIdle(5)
		h.resultCount = 0
		h.addArrival(0, 1)
		h.in.Arrivals[0].Class = "browse"
		h.tick(time.Millisecond)
		assert.Equal(t, len(h.in.Completions), 1)
		h.in.Completions[0].Wrote = wrote
		h.tick(time.Millisecond)
		assert.Equal(t, h.resultCount == 1, !wrote)
		h.runIdle(2)
		assert.Equal(t, h.resultCount, 1)
	}
}

// Guards against a retry that gets the error response of an earlier attempt,
// which was rolled back, instead of running.
func TestFailedRequestRunsAgain(t *testing.T) {
	for _, failed := range []bool{false, true} {
		h := newHarness(1)
		h.runRequests(100, 10, 1, 10)
		h.runIdle(5)
		for attempt := range 2 {
			h.addArrival(0, 1)
			a := &h.in.Arrivals[0]
			a.Class, a.Request, a.Attempt = "order", entity.RequestKey{7, 7}, uint32(attempt+1)
			h.tick(time.Millisecond)
			ran := len(h.in.Completions)
			assert.Equal(t, ran == 1, attempt == 0 || failed)
			if ran == 1 {
				h.in.Completions[0].Failed = failed
			}
			h.runIdle(3)
		}
	}
}

// Guards against acknowledging a duplicate from the record alone, without a probe
// round. The primary may have been replaced since the write, for example while
// the owner was paused.
func TestDuplicateWaitsForARound(t *testing.T) {
	h := newHarness(1)
	h.runRequests(100, 10, 1, 10)
	h.runIdle(5)
	h.resultCount = 0
	for attempt := range 2 {
		h.dropProbes = attempt == 1
		h.addArrival(0, 1)
		a := &h.in.Arrivals[0]
		a.Class, a.Request, a.Attempt = "order", entity.RequestKey{9, 9}, uint32(attempt+1)
		h.runIdle(3)
		assert.Equal(t, h.resultCount, 1)
	}
	h.dropProbes = false
	h.runIdle(3)
	assert.Equal(t, h.resultCount, 2)
	assert.Equal(t, len(h.in.Completions), 0)
}

// Guards against a delayed statement of an earlier transaction that runs in the
// caller's current one, for example after a network partition, and against a
// delayed end of the earlier transaction that rolls the current one back.
func TestLateStatementOfEarlierTransaction(t *testing.T) {
	h := newHarness(1)
	h.runRequests(100, 10, 1, 10)
	h.runIdle(5)
	statement := func(transaction uint64, continued bool) int {
		h.addArrival(0, 1)
		a := &h.in.Arrivals[0]
		a.Class, a.Transaction, a.InTransaction = "order", transaction, continued
		h.tick(time.Millisecond)
		ran := len(h.in.Completions)
		for i := range h.in.Completions {
			h.in.Completions[i].InTransaction = true
		}
		h.tick(time.Millisecond)
		return ran
	}
	assert.Equal(t, statement(1, false), 1)
	assert.Equal(t, statement(2, false), 1)
	assert.Equal(t, statement(1, true), 0)
	h.in.CallersClosed = append(h.in.CallersClosed, CallerClosed{Caller: 1, Transaction: 1})
	h.tick(time.Millisecond)
	assert.Equal(t, statement(2, true), 1)
	assert.Equal(t, h.node.Snapshot().Transactions, 1)
}

// Guards against running a request that was queued during a failover in which an
// acknowledged write of its session was lost. A read would miss that write, and a
// write would hide the loss from the session permanently.
func TestLossIsToldToQueuedRequests(t *testing.T) {
	for _, class := range []string{"order", "strict"} {
		h := newHarness(1)
		h.runRequests(100, 10, 1, 10)
		h.runIdle(5)
		keptOffset := h.offset
		h.addArrival(0, 1)
		h.in.Arrivals[0].Class = "order"
		h.runIdle(1)
		assert.Equal(t, h.resultKinds[ResultDone], 101)

		// Fill the slots of all upstreams, so that the next request stays queued.
		h.dropCompletions = true
		const others = upstreamsPerDatabase*slotsPerUpstream + 1
		for i := range others {
			h.addArrival(0, 10+i)
			h.in.Arrivals[i].Class = class
		}
		h.tick(time.Millisecond)
		h.addArrival(0, 1)
		h.in.Arrivals[0].Class = class
		queued := h.lastHandle
		h.tick(time.Millisecond)
		assert.Equal(t, h.node.requests[queued].state, stateQueued)
		h.dropCompletions, h.promoted, h.promotedOffset = false, true, keptOffset
		for id, c := range h.node.conns {
			if c.state == connBusy {
				h.in.Connections = append(h.in.Connections, ConnectionEvent{Connection: id, State: ConnectionClosed})
			}
		}
		var results []Result
		for range 100 {
			h.tick(15 * time.Millisecond)
			results = append(results, h.lastResults...)
		}
		at := slices.IndexFunc(results, func(res Result) bool { return res.Handle == queued })
		assert.Assert(t, at >= 0)
		assert.Equal(t, results[at].Kind, ResultWriteLost)
	}
}

// Guards against a lost acknowledged write of a session that is not told of the loss,
// although it sends its token or its owner still knows the write. A session without a
// token gets older data from another owner, or under another session key, as
// docs/proofs.md states for classes that are acknowledged by the primary alone.
func TestLossIsToldByTokenOrOwner(t *testing.T) {
	const writer, reconnected = 1, 2
	for _, c := range []struct {
		otherOwner bool
		session    int
		sendsToken bool
		want       ResultKind
	}{
		{false, writer, false, ResultWriteLost},
		{false, writer, true, ResultWriteLost},
		{false, reconnected, true, ResultWriteLost},
		{true, writer, true, ResultWriteLost},
		{true, reconnected, true, ResultWriteLost},
		{false, reconnected, false, ResultDone},
		{true, writer, false, ResultDone},
		{true, reconnected, false, ResultDone},
	} {
		for _, class := range []string{"strict", "browse", "order"} {
			h := newHarness(1)
			h.runRequests(100, 10, 1, 10)
			h.runIdle(5)
			keptOffset := h.offset
			h.addArrival(0, writer)
			h.in.Arrivals[0].Class = "order"
			var token entity.Position
			for range 10 {
				h.tick(15 * time.Millisecond)
				for _, res := range h.lastResults {
					assert.Equal(t, res.Kind, ResultDone)
					token = res.Position
				}
			}
			assert.Equal(t, token, entity.Position{Term: 1, Offset: keptOffset + 1})

			if c.otherOwner {
				h = newHarness(1)
			}
			h.offset, h.promoted, h.promotedOffset = keptOffset, true, keptOffset
			h.runIdle(5)
			h.addArrival(0, c.session)
			a := &h.in.Arrivals[0]
			a.Class = class
			if c.sendsToken {
				a.Token = token
			}
			h.resultKinds = map[ResultKind]int{}
			h.runIdle(5)
			assert.Equal(t, h.resultKinds[c.want], 1, "%+v class %s: %v", c, class, h.resultKinds)
		}
	}
}

// Guards against a forwarding node that was paused with an acknowledgement of the owner
// in a socket buffer and passes it on after the primary was replaced. The core may get
// the acknowledgement in the first tick after the pause or in a later one. A request
// that was forwarded after the pause is acknowledged.
func TestForwarderPausedWithAcknowledgement(t *testing.T) {
	for _, c := range []struct {
		pause time.Duration
		// ticksBefore is the number of ticks between the pause and the acknowledgement.
		ticksBefore int
		// forwardedAfter is set if the request arrives after the pause.
		forwardedAfter bool
		want           ResultKind
	}{
		{time.Millisecond, 0, false, ResultDone},
		{time.Millisecond, 3, false, ResultDone},
		{3 * time.Second, 0, false, ResultUnknown},
		{3 * time.Second, 1, false, ResultUnknown},
		{3 * time.Second, 3, false, ResultUnknown},
		{3 * time.Second, 3, true, ResultDone},
	} {
		n := New(DefaultConfig("p1", 1, 1))
		in := Inputs{Documents: testDocuments(1), ListRevision: 1}
		in.ProxyList = []membership.ListedVM{{VM: "p2", AvailabilityZone: "a"}}
		now := entity.Time(1)
		for range 300 {
			now = now.Add(10 * time.Millisecond)
			n.Tick(now, &in)
			in.Reset()
		}
		forward := func() {
			in.Arrivals = []Arrival{{Handle: 1, Caller: 1, Database: testDatabase(0), Class: "order"}}
			assert.Equal(t, len(n.Tick(now, &in).Forwards), 1)
			in.Reset()
		}
		if !c.forwardedAfter {
			forward()
		}
		now = now.Add(c.pause)
		for range c.ticksBefore {
			n.Tick(now, &in)
			now = now.Add(time.Millisecond)
		}
		if c.forwardedAfter {
			forward()
		}
		in.PeerResults = []PeerResult{{Handle: 1, Peer: "p2", Position: entity.Position{Term: 1, Offset: 1}}}
		out := n.Tick(now, &in)
		assert.Equal(t, len(out.Results), 1)
		assert.Equal(t, out.Results[0].Kind, c.want, "%+v", c)
	}
}

// Guards against a transaction that stays open at the owner after its stream ended: its
// caller's node has ended it, even if a later statement came on the next stream.
func TestTransactionEndsWithItsFirstStream(t *testing.T) {
	h := newHarness(1)
	h.runRequests(100, 10, 1, 10)
	h.runIdle(5)
	for _, stream := range []uint64{1, 2} {
		h.addArrival(0, 1)
		a := &h.in.Arrivals[0]
		a.Class, a.ForwardedBy, a.Stream, a.Transaction, a.InTransaction = "order", "p2", stream, 1, stream == 2
		h.tick(time.Millisecond)
		assert.Equal(t, len(h.in.Completions), 1)
		h.in.Completions[0].InTransaction = true
		h.tick(time.Millisecond)
		assert.Equal(t, h.node.Snapshot().Transactions, 1)
	}
	h.in.PeersDown = []PeerDown{{Peer: "p2", Inbound: true, Stream: 1}}
	h.tick(time.Millisecond)
	assert.Equal(t, h.node.Snapshot().Transactions, 0)
}

// Guards against a peer's new stream that loses its requests and transactions when the
// end of an earlier stream is noticed late.
func TestEndOfAnEarlierStream(t *testing.T) {
	for _, ended := range []uint64{1, 2} {
		h := newHarness(1)
		h.runRequests(100, 10, 1, 10)
		h.runIdle(5)
		forward := func(session int, transaction uint64) {
			h.addArrival(0, session)
			a := &h.in.Arrivals[0]
			a.Class, a.ForwardedBy, a.Stream, a.Transaction = "order", "p2", 2, transaction
			h.tick(time.Millisecond)
		}
		forward(1, 1)
		h.in.Completions[0].InTransaction = true
		h.tick(time.Millisecond)
		assert.Equal(t, h.node.Snapshot().Transactions, 1)
		h.dropCompletions = true
		forward(2, 0)

		h.in.PeersDown = []PeerDown{{Peer: "p2", Inbound: true, Stream: ended}}
		h.tick(time.Millisecond)
		assert.Equal(t, len(h.node.out.Cancels) > 0, ended == 2)
		assert.Equal(t, h.node.Snapshot().Transactions == 0, ended == 2)
	}
}
