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

// rig drives one node whose upstreams answer at once.
type rig struct {
	node *core.Node
	in   core.Inputs
	now  entity.Time
	next entity.Handle
	end  uint64
}

func databaseName(i int) entity.Database { return entity.Database(fmt.Sprintf("database-%06d", i)) }

// service has the given number of databases, as one document would have a few.
func service(databases int) core.Service {
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

// newRig returns a node with a number of databases in documents. Alone in the
// list it owns all of them.
func newRig(databases int, alone bool) *rig {
	r := &rig{node: core.New(core.DefaultConfig("p1", 1, 1)), now: 1}
	r.in.Documents = []core.Service{service(databases)}
	r.in.ProxyList = []membership.ListedVM{{VM: "p1", AvailabilityZone: "a"}}
	if !alone {
		r.in.ProxyList = []membership.ListedVM{{VM: "p2", AvailabilityZone: "a"}}
	}
	r.in.ListRevision = 1
	for range 200 {
		r.tick(15 * time.Millisecond)
	}
	return r
}

func (r *rig) tick(d time.Duration) {
	r.now = r.now.Add(d)
	out := r.node.Tick(r.now, &r.in)
	r.in.Reset()
	for i := range out.Opens {
		r.in.Connections = append(r.in.Connections, core.ConnectionEvent{Connection: out.Opens[i].Connection})
	}
	for i := range out.Checks {
		event := core.ConnectionEvent{Connection: out.Checks[i].Connection, State: core.ConnectionChecked}
		r.in.Connections = append(r.in.Connections, event)
	}
	for i := range out.Dispatches {
		r.end++
		d := &out.Dispatches[i]
		r.in.Completions = append(r.in.Completions, core.Completion{Handle: d.Handle, Connection: d.Connection})
	}
	for i := range out.Probes {
		r.answer(&out.Probes[i])
	}
}

var history = []entity.TermStart{{Term: 1}}

func (r *rig) answer(p *core.GroupProbeRequest) {
	at := entity.Position{Term: 1, Offset: r.end}
	a := core.GroupProbeAnswer{Database: p.Database, ProbeAnswer: group.ProbeAnswer{Round: p.Round, Upstream: p.Upstream}}
	primary := p.Upstream[len(p.Upstream)-1] == '0'
	a.Status = entity.MemberStatus{Upstream: p.Upstream, Primary: primary, Term: 1, Log: at, Applied: at, History: history}
	r.in.Probes = append(r.in.Probes, a)
}

// requests runs n requests of sessions, one write for three reads.
func (r *rig) requests(n, sessions int) {
	const batch = 32
	database := databaseName(0)
	for i := 0; i < n; {
		for k := 0; k < batch && i < n; k++ {
			r.next++
			session := (i * 7919) % sessions
			a := core.Arrival{
				Handle: r.next, Caller: entity.CallerID(session), Database: database, Class: "browse",
				Session: entity.SessionKey(session + 1),
			}
			if i%4 == 0 {
				a.Class = "order"
			}
			r.in.Arrivals = append(r.in.Arrivals, a)
			i++
		}
		r.tick(time.Millisecond)
	}
}

func sweep(name, unit string, sizes []int, measure func(size int) float64) Slope {
	var points []Point
	for _, size := range sizes {
		points = append(points, Point{size, measure(size)})
	}
	return newSlope(name, unit, points)
}

// measureMemory returns the bytes of the core's tables.
func measureMemory() []Slope {
	return []Slope{
		sweep("known database of other owners", "bytes", []int{1_000, 5_000, 15_000}, func(n int) float64 {
			return memoryOf(func() any { return newRig(n, false) })
		}),
		sweep("owned database", "bytes", []int{10, 100, 300}, func(n int) float64 {
			return memoryOf(func() any { return newRig(n, true) })
		}),
		sweep("session with a write", "bytes", []int{10_000, 50_000, 150_000}, func(n int) float64 {
			return memoryOf(func() any {
				r := newRig(1, true)
				r.requests(4*n, n)
				return r
			})
		}),
		sweep("queued request", "bytes", []int{1_000, 10_000, 50_000}, func(n int) float64 {
			return memoryOf(func() any { return queued(n) })
		}),
	}
}

// queued returns a node with n requests that wait for a primary.
func queued(n int) *rig {
	r := newRig(1, true)
	for i := range n {
		r.next++
		r.in.Arrivals = append(r.in.Arrivals, core.Arrival{
			Handle: r.next, Caller: entity.CallerID(i), Database: databaseName(0), Class: "order", Session: entity.SessionKey(i + 1),
		})
	}
	r.now = r.now.Add(time.Millisecond)
	r.node.Tick(r.now, &r.in)
	r.in = core.Inputs{}
	return r
}

// measureTime returns the nanoseconds of the core's steps.
func measureTime() []Slope {
	const requests = 400_000
	return []Slope{
		sweep("request at its owner, by sessions", "ns", []int{10_000, 100_000, 1_000_000}, func(n int) float64 {
			r := newRig(1, true)
			r.requests(2*n, n)
			return timeOf(requests, func(k int) { r.requests(k, n) })
		}),
		sweep("100 ms of probing without requests, by owned databases", "ns", []int{1, 10, 100}, func(n int) float64 {
			r := newRig(n, true)
			return timeOf(500, func(k int) {
				for range k {
					r.tick(100 * time.Millisecond)
				}
			})
		}),
		sweep("look at the owners of all databases, by known databases", "ns", []int{1_000, 5_000, 15_000}, func(n int) float64 {
			r := newRig(n, false)
			return timeOf(20, func(k int) {
				for range k {
					// Longer than the interval between two looks.
					r.tick(600 * time.Millisecond)
				}
			})
		}),
	}
}
