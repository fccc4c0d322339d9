package core

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// harness drives a single node and simulates its upstreams, which respond in the
// next tick.
type harness struct {
	node       *Node
	in         Inputs
	now        entity.Time
	lastHandle entity.Handle
	// offset is the end of the log. Each dispatch adds an entry.
	offset      uint64
	resultCount int
	resultKinds map[ResultKind]int
	// dropProbes leaves all probes without an answer.
	dropProbes bool
	// promoted makes the second upstream the primary of term 2, which began at
	// promotedOffset.
	promoted       bool
	promotedOffset uint64
	// dropCompletions leaves all dispatches without a completion.
	dropCompletions bool
	// lastResults are the results of the last tick.
	lastResults []Result
}

const (
	upstreamsPerDatabase = 3
	slotsPerUpstream     = 64
)

// newHarness returns a harness whose node owns a number of databases with three
// upstreams each.
func newHarness(databases int) *harness {
	config := DefaultConfig("p1", 1, 1)
	h := &harness{node: New(config), now: 1, resultKinds: map[ResultKind]int{}}
	h.in.Documents = testDocuments(databases)
	h.in.ProxyList = []membership.ListedVM{{VM: "p1", AvailabilityZone: "a"}}
	h.in.ListRevision = 1
	h.runIdle(20)
	return h
}

// testDocuments returns the document of one service with a number of databases.
func testDocuments(databases int) []Service {
	service := Service{
		Name: "shop", Revision: 1, RetryRatio: 0.2, MaxQueued: 2_000_000,
		Ranks: []flood.RankPolicy{{Name: "first", Target: time.Second, KeptShare: 0.5}, {Name: "last", Target: time.Second, KeptShare: 0.1}},
		Classes: []Class{
			{Name: "order", Timeout: time.Hour, Cost: time.Millisecond},
			{Name: "strict", ReadOnly: true, Repeatable: true, Timeout: time.Hour, Cost: time.Millisecond},
			{Name: "browse", Rank: 1, ReadOnly: true, Repeatable: true, MaxAge: time.Hour, Timeout: time.Hour, Cost: time.Millisecond},
		},
	}
	for i := range databases {
		db := DatabaseSpec{Name: testDatabase(i), DefaultClass: "order"}
		for j := range upstreamsPerDatabase {
			db.Upstreams = append(db.Upstreams, UpstreamSpec{Name: testUpstream(i, j), Slots: slotsPerUpstream, Connections: 400})
		}
		service.Databases = append(service.Databases, db)
	}
	return []Service{service}
}

func testDatabase(i int) entity.Database { return entity.Database(fmt.Sprintf("db%d", i)) }

func testUpstream(i, j int) entity.Upstream { return entity.Upstream(fmt.Sprintf("db%d-u%d", i, j)) }

// runIdle runs for a number of periods of 150 ms without arrivals. The ticks are
// much shorter than the probe timeout.
func (h *harness) runIdle(periods int) {
	for range 10 * periods {
		h.tick(15 * time.Millisecond)
	}
}

// tick runs one tick and adds the responses to its outputs to the next inputs.
func (h *harness) tick(elapsed time.Duration) {
	h.now = h.now.Add(elapsed)
	out := h.node.Tick(h.now, &h.in)
	h.in.Reset()
	h.resultCount += len(out.Results)
	h.lastResults = append(h.lastResults[:0], out.Results...)
	for i := range out.Results {
		h.resultKinds[out.Results[i].Kind]++
	}
	for i := range out.Opens {
		h.in.Connections = append(h.in.Connections, ConnectionEvent{Connection: out.Opens[i].Connection})
	}
	for i := range out.Checks {
		h.in.Connections = append(h.in.Connections, ConnectionEvent{Connection: out.Checks[i].Connection, State: ConnectionChecked})
	}
	for i := range out.Dispatches {
		d := &out.Dispatches[i]
		h.offset++
		if h.dropCompletions {
			continue
		}
		h.in.Completions = append(h.in.Completions, Completion{Handle: d.Handle, Connection: d.Connection})
	}
	for i := range out.Probes {
		if !h.dropProbes {
			h.answerProbe(&out.Probes[i])
		}
	}
}

// answerProbe answers a probe as an upstream that has applied the whole log.
func (h *harness) answerProbe(p *GroupProbeRequest) {
	primaryDigit, term, history := byte('0'), uint64(1), testHistory
	if h.promoted {
		primaryDigit, term, history = '1', 2, append(slices.Clone(testHistory), entity.TermStart{Term: 2, Offset: h.promotedOffset})
	}
	primary := p.Upstream[len(p.Upstream)-1] == primaryDigit
	logEnd := entity.Position{Term: term, Offset: h.offset}
	answer := GroupProbeAnswer{Database: p.Database, ProbeAnswer: group.ProbeAnswer{Round: p.Round, Upstream: p.Upstream}}
	answer.Status = entity.MemberStatus{Upstream: p.Upstream, Primary: primary, Term: term, Log: logEnd, Applied: logEnd, History: history}
	h.in.Probes = append(h.in.Probes, answer)
}

var testHistory = []entity.TermStart{{Term: 1}}

// addArrival adds a request to the next inputs. Every fourth one is a write.
func (h *harness) addArrival(database, session int) {
	h.lastHandle++
	a := Arrival{
		Handle:   h.lastHandle,
		Caller:   entity.CallerID(session),
		Database: testDatabaseNames[database],
		Class:    "browse",
		Session:  entity.SessionKey(session + 1),
	}
	if h.lastHandle%4 == 0 {
		a.Class = "order"
	}
	h.in.Arrivals = append(h.in.Arrivals, a)
}

// testDatabaseNames avoids allocations for names in the measured loops.
var testDatabaseNames = func() []entity.Database {
	var names []entity.Database
	for i := range 1000 {
		names = append(names, testDatabase(i))
	}
	return names
}()

// runRequests runs n requests, spread over the sessions and databases, with
// perTick arrivals in each tick.
func (h *harness) runRequests(n, sessions, databases, perTick int) {
	for i := 0; i < n; {
		for k := 0; k < perTick && i < n; k++ {
			h.addArrival(i%databases, (i*7919)%sessions)
			i++
		}
		h.tick(time.Millisecond)
	}
}

func benchmarkRequests(b *testing.B, sessions, databases, perTick int) {
	h := newHarness(databases)
	h.runRequests(4*sessions, sessions, databases, perTick)
	h.runIdle(5)
	h.resultCount = 0
	b.ReportAllocs()
	b.ResetTimer()
	h.runRequests(b.N, sessions, databases, perTick)
	b.StopTimer()
	h.runIdle(5)
	if h.resultCount < b.N || h.resultKinds[ResultNotRun] > 0 || h.resultKinds[ResultUnknown] > 0 {
		b.Fatalf("%d of %d requests done, kinds %v", h.resultCount, b.N, h.resultKinds)
	}
}

// BenchmarkRequest measures the processing of a request by the owner's core, from
// arrival to result, at growing numbers of sessions and databases.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ sessions, databases int }{
		{10_000, 1}, {100_000, 1}, {1_000_000, 1}, {10_000, 10}, {10_000, 100},
	} {
		b.Run(fmt.Sprintf("sessions=%d/databases=%d", c.sessions, c.databases), func(b *testing.B) {
			benchmarkRequests(b, c.sessions, c.databases, 32)
		})
	}
}

// BenchmarkQueued measures the processing of a request while many others are
// queued.
func BenchmarkQueued(b *testing.B) {
	for _, queued := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			h := newHarness(1)
			h.runRequests(1000, 1000, 1, 32)
			for i := range queued {
				h.addArrival(0, i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				h.addArrival(0, i%1000)
				if i%32 == 31 {
					h.tick(time.Millisecond)
				}
			}
		})
	}
}

// Guards against allocations per request in the steady state.
func TestSteadyStateAllocations(t *testing.T) {
	h := newHarness(1)
	h.runRequests(40_000, 1000, 1, 32)
	const requests = 32
	allocations := testing.AllocsPerRun(200, func() { h.runRequests(requests, 1000, 1, requests) })
	assert.Assert(t, allocations/requests < 0.1, "%v allocations for %d requests", allocations, requests)
}
