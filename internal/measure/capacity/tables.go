package capacity

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

const upstreamsPerDatabase = 3

// harness drives a single node on virtual time. Its upstreams answer immediately.
type harness struct {
	node       *core.Node
	in         core.Inputs
	now        entity.Time
	lastHandle entity.Handle
	lastOffset uint64
}

func databaseName(i int) entity.Database { return entity.Database(fmt.Sprintf("database-%06d", i)) }

// serviceWithDatabases returns one service with the given number of databases. A
// real service has only a few.
func serviceWithDatabases(databases int) core.Service {
	s := core.Service{
		Name: "shop", Revision: 1, RetryRatio: 0.2, MaxQueued: 1_000_000,
		Ranks: []flood.RankPolicy{
			{Name: "first", Target: time.Second, KeptShare: 0.5},
			{Name: "last", Target: time.Second, KeptShare: 0.1},
		},
		Classes: []core.Class{
			{Name: "order", Timeout: time.Hour, Cost: time.Millisecond},
			{Name: "browse", Rank: 1, ReadOnly: true, Repeatable: true, MaxAge: time.Hour, Timeout: time.Hour, Cost: time.Millisecond},
		},
	}
	for i := range databases {
		db := core.DatabaseSpec{Name: databaseName(i), DefaultClass: "order"}
		for j := range upstreamsPerDatabase {
			name := entity.Upstream(fmt.Sprintf("%s-%d", databaseName(i), j))
			db.Upstreams = append(db.Upstreams, core.UpstreamSpec{Name: name, Slots: 64, Connections: 400})
		}
		s.Databases = append(s.Databases, db)
	}
	return s
}

// newHarness returns a node that knows the given number of databases and has run for
// 3 s. If ownsAll is set, it is the only listed VM and owns all of them; otherwise it
// is not listed and owns none.
func newHarness(databases int, ownsAll bool) *harness {
	h := &harness{node: core.New(core.DefaultConfig("p1", 1, 1)), now: 1}
	h.in.Documents = []core.Service{serviceWithDatabases(databases)}
	h.in.ProxyList = []membership.ListedVM{{VM: "p1", AvailabilityZone: "a"}}
	if !ownsAll {
		h.in.ProxyList = []membership.ListedVM{{VM: "p2", AvailabilityZone: "a"}}
	}
	h.in.ListRevision = 1
	for range 200 {
		h.tick(15 * time.Millisecond)
	}
	return h
}

// tick advances time by d, runs one tick of the node and queues the results of its
// outputs as inputs of the next tick.
func (h *harness) tick(d time.Duration) {
	h.now = h.now.Add(d)
	out := h.node.Tick(h.now, &h.in)
	h.in.Reset()
	for i := range out.Opens {
		h.in.Connections = append(h.in.Connections, core.ConnectionEvent{Connection: out.Opens[i].Connection})
	}
	for i := range out.Checks {
		event := core.ConnectionEvent{Connection: out.Checks[i].Connection, State: core.ConnectionChecked}
		h.in.Connections = append(h.in.Connections, event)
	}
	for i := range out.Dispatches {
		h.lastOffset++
		d := &out.Dispatches[i]
		h.in.Completions = append(h.in.Completions, core.Completion{Handle: d.Handle, Connection: d.Connection})
	}
	for i := range out.Probes {
		h.answerProbe(&out.Probes[i])
	}
}

var termHistory = []entity.TermStart{{Term: 1}}

// answerProbe queues the answer of a healthy member; the member whose name ends in 0
// is primary.
func (h *harness) answerProbe(p *core.GroupProbeRequest) {
	at := entity.Position{Term: 1, Offset: h.lastOffset}
	a := core.GroupProbeAnswer{Database: p.Database, ProbeAnswer: group.ProbeAnswer{Round: p.Round, Upstream: p.Upstream}}
	primary := p.Upstream[len(p.Upstream)-1] == '0'
	a.Status = entity.MemberStatus{Upstream: p.Upstream, Primary: primary, Term: 1, Log: at, Applied: at, History: termHistory}
	h.in.Probes = append(h.in.Probes, a)
}

// runRequests runs n requests spread over the sessions, one write per three reads. If
// sessions is a multiple of 4, only every fourth session writes.
func (h *harness) runRequests(n, sessions int) {
	const requestsPerTick = 32
	database := databaseName(0)
	for i := 0; i < n; {
		for k := 0; k < requestsPerTick && i < n; k++ {
			h.lastHandle++
			session := (i * 7919) % sessions
			a := core.Arrival{
				Handle: h.lastHandle, Caller: entity.CallerID(session), Database: database, Class: "browse",
				Session: entity.SessionKey(session + 1),
			}
			if i%4 == 0 {
				a.Class = "order"
			}
			h.in.Arrivals = append(h.in.Arrivals, a)
			i++
		}
		h.tick(time.Millisecond)
	}
}

// measureSizes returns the slope of a cost that is measured at each size.
func measureSizes(name, unit string, sizes []int, measure func(size int) float64) Slope {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{size, measure(size)})
	}
	return newSlope(name, unit, points)
}

// measureMemory returns the bytes per row of the core's tables.
func measureMemory() []Slope {
	return []Slope{
		measureSizes("known database of other owners", "bytes", []int{1_000, 5_000, 15_000}, func(n int) float64 {
			return retainedMemory(func() any { return newHarness(n, false) })
		}),
		measureSizes("owned database", "bytes", []int{10, 100, 300}, func(n int) float64 {
			return retainedMemory(func() any { return newHarness(n, true) })
		}),
		measureSizes("session with a write", "bytes", []int{10_000, 50_000, 150_000}, func(n int) float64 {
			return retainedMemory(func() any {
				h := newHarness(1, true)
				h.runRequests(4*n, n)
				return h
			})
		}),
		measureSizes("queued request", "bytes", []int{1_000, 10_000, 50_000}, func(n int) float64 {
			return retainedMemory(func() any { return newHarnessWithQueue(n) })
		}),
	}
}

// newHarnessWithQueue returns a node that has just received n writes and queues those
// that it can't dispatch yet.
func newHarnessWithQueue(n int) *harness {
	h := newHarness(1, true)
	for i := range n {
		h.lastHandle++
		h.in.Arrivals = append(h.in.Arrivals, core.Arrival{
			Handle: h.lastHandle, Caller: entity.CallerID(i), Database: databaseName(0), Class: "order", Session: entity.SessionKey(i + 1),
		})
	}
	h.now = h.now.Add(time.Millisecond)
	h.node.Tick(h.now, &h.in)
	h.in = core.Inputs{}
	return h
}

// measureTime returns the duration of the core's steps in nanoseconds.
func measureTime() []Slope {
	const requests = 400_000
	return []Slope{
		measureSizes("request at its owner, by sessions", "ns", []int{10_000, 100_000, 1_000_000}, func(n int) float64 {
			h := newHarness(1, true)
			h.runRequests(2*n, n)
			return timePerStep(requests, func(k int) { h.runRequests(k, n) })
		}),
		measureSizes("100 ms of probing without requests, by owned databases", "ns", []int{1, 10, 100}, func(n int) float64 {
			h := newHarness(n, true)
			return timePerStep(500, func(k int) {
				for range k {
					h.tick(100 * time.Millisecond)
				}
			})
		}),
		measureSizes("look at the owners of all databases, by known databases", "ns", []int{1_000, 5_000, 15_000}, func(n int) float64 {
			h := newHarness(n, false)
			return timePerStep(20, func(k int) {
				for range k {
					// Longer than the interval between two scans of the owners.
					h.tick(600 * time.Millisecond)
				}
			})
		}),
	}
}
