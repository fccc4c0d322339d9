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

// rig drives one node whose upstreams answer at once.
type rig struct {
	node   *Node
	in     Inputs
	now    entity.Time
	next   entity.Handle
	offset uint64
	done   int
	kinds  map[ResultKind]int
	// mute drops all probes.
	mute bool
	// promoted makes the second upstream the primary of term 2, which began at
	// offset kept.
	promoted bool
	kept     uint64
	// stalled drops all completions.
	stalled bool
	// last are the results of the last tick.
	last []Result
}

const (
	rigUpstreams = 3
	rigSlots     = 64
)

// newRig returns a rig with databases, each with three upstreams.
func newRig(databases int) *rig {
	cfg := DefaultConfig("p1", 1, 1)
	r := &rig{node: New(cfg), now: 1, kinds: map[ResultKind]int{}}
	r.in.Documents = rigDocuments(databases)
	r.in.ProxyList = []membership.ListedVM{{VM: "p1", AvailabilityZone: "a"}}
	r.in.ListRevision = 1
	r.settle(20)
	return r
}

// rigDocuments returns a document with a number of databases.
func rigDocuments(databases int) []Service {
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
		db := DatabaseSpec{Name: rigDatabase(i), DefaultClass: "order"}
		for j := range rigUpstreams {
			db.Upstreams = append(db.Upstreams, UpstreamSpec{Name: rigUpstream(i, j), Slots: rigSlots, Connections: 400})
		}
		service.Databases = append(service.Databases, db)
	}
	return []Service{service}
}

func rigDatabase(i int) entity.Database { return entity.Database(fmt.Sprintf("db%d", i)) }

func rigUpstream(i, j int) entity.Upstream { return entity.Upstream(fmt.Sprintf("db%d-u%d", i, j)) }

// settle runs for some times 150 ms without arrivals. The steps are short
// against the time within which a probe must be answered.
func (r *rig) settle(times int) {
	for range 10 * times {
		r.tick(15 * time.Millisecond)
	}
}

// tick runs one tick and puts the answers to its outputs into the next inputs.
func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	out := r.node.Tick(r.now, &r.in)
	r.in.Reset()
	r.done += len(out.Results)
	r.last = append(r.last[:0], out.Results...)
	for i := range out.Results {
		r.kinds[out.Results[i].Kind]++
	}
	for i := range out.Opens {
		r.in.Connections = append(r.in.Connections, ConnectionEvent{Connection: out.Opens[i].Connection})
	}
	for i := range out.Checks {
		r.in.Connections = append(r.in.Connections, ConnectionEvent{Connection: out.Checks[i].Connection, State: ConnectionChecked})
	}
	for i := range out.Dispatches {
		d := &out.Dispatches[i]
		r.offset++
		if r.stalled {
			continue
		}
		r.in.Completions = append(r.in.Completions, Completion{Handle: d.Handle, Connection: d.Connection})
	}
	for i := range out.Probes {
		if !r.mute {
			r.answer(&out.Probes[i])
		}
	}
}

func (r *rig) answer(p *GroupProbeRequest) {
	name, term, history := byte('0'), uint64(1), rigHistory
	if r.promoted {
		name, term, history = '1', 2, append(slices.Clone(rigHistory), entity.TermStart{Term: 2, Offset: r.kept})
	}
	primary := p.Upstream[len(p.Upstream)-1] == name
	at := entity.Position{Term: term, Offset: r.offset}
	a := GroupProbeAnswer{Database: p.Database, ProbeAnswer: group.ProbeAnswer{Round: p.Round, Upstream: p.Upstream}}
	a.Status = entity.MemberStatus{Upstream: p.Upstream, Primary: primary, Term: term, Log: at, Applied: at, History: history}
	r.in.Probes = append(r.in.Probes, a)
}

var rigHistory = []entity.TermStart{{Term: 1}}

// arrive adds a request: one write for three reads.
func (r *rig) arrive(database, session int) {
	r.next++
	a := Arrival{
		Handle:   r.next,
		Caller:   entity.CallerID(session),
		Database: rigNames[database],
		Class:    "browse",
		Session:  entity.SessionKey(session + 1),
	}
	if r.next%4 == 0 {
		a.Class = "order"
	}
	r.in.Arrivals = append(r.in.Arrivals, a)
}

var rigNames = func() []entity.Database {
	var names []entity.Database
	for i := range 1000 {
		names = append(names, rigDatabase(i))
	}
	return names
}()

// requests runs n requests over the sessions and databases, batch at a time.
func (r *rig) requests(n, sessions, databases, batch int) {
	for i := 0; i < n; {
		for k := 0; k < batch && i < n; k++ {
			r.arrive(i%databases, (i*7919)%sessions)
			i++
		}
		r.tick(time.Millisecond)
	}
}

func benchmarkRequests(b *testing.B, sessions, databases, batch int) {
	r := newRig(databases)
	r.requests(4*sessions, sessions, databases, batch)
	r.settle(5)
	r.done = 0
	b.ReportAllocs()
	b.ResetTimer()
	r.requests(b.N, sessions, databases, batch)
	b.StopTimer()
	r.settle(5)
	if r.done < b.N || r.kinds[ResultNotRun] > 0 || r.kinds[ResultUnknown] > 0 {
		b.Fatalf("%d of %d requests done, kinds %v", r.done, b.N, r.kinds)
	}
}

// BenchmarkRequest measures a request's whole way through the core of its
// owner, at growing numbers of sessions and databases.
func BenchmarkRequest(b *testing.B) {
	for _, c := range []struct{ sessions, databases int }{
		{10_000, 1}, {100_000, 1}, {1_000_000, 1}, {10_000, 10}, {10_000, 100},
	} {
		b.Run(fmt.Sprintf("sessions=%d/databases=%d", c.sessions, c.databases), func(b *testing.B) {
			benchmarkRequests(b, c.sessions, c.databases, 32)
		})
	}
}

// BenchmarkQueued measures a request while many others are queued.
func BenchmarkQueued(b *testing.B) {
	for _, queued := range []int{1_000, 10_000, 100_000} {
		b.Run(fmt.Sprintf("queued=%d", queued), func(b *testing.B) {
			r := newRig(1)
			r.requests(1000, 1000, 1, 32)
			for i := range queued {
				r.arrive(0, i)
			}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.arrive(0, i%1000)
				if i%32 == 31 {
					r.tick(time.Millisecond)
				}
			}
		})
	}
}

// Guards against allocations for each request in the steady state.
func TestSteadyStateAllocations(t *testing.T) {
	r := newRig(1)
	r.requests(40_000, 1000, 1, 32)
	const requests = 32
	allocations := testing.AllocsPerRun(200, func() { r.requests(requests, 1000, 1, requests) })
	assert.Assert(t, allocations/requests < 0.1, "%v allocations for %d requests", allocations, requests)
}
