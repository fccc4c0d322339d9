package fleet

import (
	"fmt"
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

const (
	// The one-way latencies of the design page, with the larger value between
	// zones, and the store's response time.
	latencyInZone        = 250 * time.Microsecond
	latencyBetweenZones  = 1500 * time.Microsecond
	latencyBetweenRegion = 12 * time.Millisecond
	latencyStore         = 5 * time.Millisecond
	// lossRate is the share of messages that are lost.
	lossRate = 0.01
	// startSpread is the time over which the instances start.
	startSpread = time.Second
	// firstIncarnation makes incarnations as large as millisecond timestamps.
	firstIncarnation = 1_790_000_000_000
	// noZone means that no zone is cut.
	noZone = -1
)

// traffic counts what one instance sent and received.
type traffic struct {
	messages       int
	heartbeatBytes int
	documentBytes  int
}

func (t traffic) bytes() int { return t.heartbeatBytes + t.documentBytes }

func (t traffic) sub(u traffic) traffic {
	return traffic{t.messages - u.messages, t.heartbeatBytes - u.heartbeatBytes, t.documentBytes - u.documentBytes}
}

// instance is one proxy with the two state machines.
type instance struct {
	id       int
	vm       entity.VM
	zone     int
	table    *membership.Table
	sync     *docsync.Sync
	up       bool
	watching bool
	tableDue entity.Time
	syncDue  entity.Time
	sent     traffic
	received traffic
}

// change is a document change whose spread is measured.
type change struct {
	service  string
	revision uint64
	at       entity.Time
	has      []bool
	// last is the last instant at which an instance took it into force, by
	// whether the instance is in the cut zone.
	last    [2]entity.Time
	missing [2]int
	// cut is the zone that was cut when the change was made.
	cut int
}

// fleet is the simulated set of instances, the network and the store.
type fleet struct {
	clock
	random    *rand.Rand
	zones     int
	regions   int
	instances []*instance
	index     map[entity.VM]*instance
	list      []membership.ListedVM
	peers     []docsync.Peer

	cut      int
	cutStore bool

	storeDown  bool
	store      []docsync.Document
	storeCalls int
	tracked    map[string]*change
	changes    []*change
	refusals   int
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

func newFleet(seed uint64, vms, zones, regions int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(vms))), zones: zones, regions: regions, cut: noZone}
	f.index = map[entity.VM]*instance{}
	f.tracked = map[string]*change{}
	for i := range vms {
		in := &instance{id: i, vm: entity.VM(fmt.Sprintf("proxy-%06d", i)), zone: i % zones}
		f.instances = append(f.instances, in)
		f.index[in.vm] = in
		f.list = append(f.list, membership.ListedVM{VM: in.vm, AvailabilityZone: zoneName(in.zone)})
		f.peers = append(f.peers, docsync.Peer{VM: in.vm, AvailabilityZone: zoneName(in.zone)})
	}
	return f
}

func (f *fleet) fillStore(documents, valueBytes int) {
	value := make([]byte, valueBytes)
	for i := range documents {
		f.store = append(f.store, docsync.Document{Service: fmt.Sprintf("service-%06d", i), Revision: 1, Value: value})
	}
}

// startAll starts the instances at random instants within startSpread.
func (f *fleet) startAll() {
	for _, in := range f.instances {
		f.at(f.now.Add(time.Duration(f.random.Int64N(int64(startSpread)))), func() { f.start(in) })
	}
}

func (f *fleet) start(in *instance) {
	seed := f.random.Uint64()
	in.table = membership.New(membership.DefaultConfig(in.vm, firstIncarnation+uint64(f.now/1e6)), seed)
	in.sync = docsync.New(docsync.DefaultConfig(in.vm, zoneName(in.zone)), seed)
	in.up, in.watching = true, false
	in.table.Update(f.now, f.list)
	in.sync.SetPeers(f.now, f.peers)
	f.serveTable(in)
	f.serveSync(in)
}

// serveTable sends what the table has ready and schedules its next tick.
func (f *fleet) serveTable(in *instance) {
	in.table.Tick(f.now)
	out := in.table.Ready()
	for _, r := range out.Requests {
		size := sizeHeartbeatRequest(&r)
		f.post(in, r.To, traffic{1, size, 0}, func(to *instance) { to.table.StepHeartbeat(f.now, r); f.serveTable(to) })
	}
	for _, r := range out.Replies {
		size := sizeHeartbeatReply(&r)
		f.post(in, r.To, traffic{1, size, 0}, func(to *instance) { to.table.StepReply(f.now, r); f.serveTable(to) })
	}
	f.schedule(in, &in.tableDue, in.table.NextTick(), f.serveTable)
}

// serveSync does the same for the documents.
func (f *fleet) serveSync(in *instance) {
	in.sync.Tick(f.now)
	out := in.sync.Ready()
	for _, r := range out.Requests {
		size := sizeDocumentsRequest(&r)
		f.post(in, r.To, traffic{1, 0, size}, func(to *instance) { to.sync.StepRequest(f.now, r); f.serveSync(to) })
	}
	for _, r := range out.Replies {
		size := sizeDocumentsReply(&r)
		f.post(in, r.To, traffic{1, 0, size}, func(to *instance) { to.sync.StepReply(f.now, r); f.serveSync(to) })
	}
	for _, d := range out.Applied {
		f.noteInForce(in, d)
	}
	f.refusals += len(out.Refusals)
	f.watch(in)
	f.schedule(in, &in.syncDue, in.sync.NextTick(), f.serveSync)
}

// schedule plans a tick unless one is planned for the same or an earlier instant.
func (f *fleet) schedule(in *instance, due *entity.Time, next entity.Time, serve func(*instance)) {
	if next == entity.Never {
		return
	}
	next = max(next, f.now)
	if *due > f.now && *due <= next {
		return
	}
	*due = next
	f.at(next, func() {
		if in.up && *due == f.now {
			*due = 0
			serve(in)
		}
	})
}

// post sends a message, which may be lost or meet a cut.
func (f *fleet) post(from *instance, vm entity.VM, cost traffic, handle func(*instance)) {
	to := f.index[vm]
	from.sent = add(from.sent, cost)
	if f.random.Float64() < lossRate {
		return
	}
	f.at(f.now.Add(f.latency(from, to)), func() {
		if !to.up || f.isCut(from, to) {
			return
		}
		to.received = add(to.received, cost)
		handle(to)
	})
}

func add(a, b traffic) traffic {
	return traffic{a.messages + b.messages, a.heartbeatBytes + b.heartbeatBytes, a.documentBytes + b.documentBytes}
}

func (f *fleet) latency(a, b *instance) time.Duration {
	switch {
	case a.zone == b.zone:
		return latencyInZone
	case a.zone%f.regions == b.zone%f.regions:
		return latencyBetweenZones
	}
	return latencyBetweenRegion
}

func (f *fleet) isCut(a, b *instance) bool { return (a.zone == f.cut) != (b.zone == f.cut) }

func (f *fleet) reachesStore(in *instance) bool {
	return in.up && !f.storeDown && !(f.cutStore && in.zone == f.cut)
}

// watch starts or ends the instance's watch of the store.
func (f *fleet) watch(in *instance) {
	want := in.sync.Watching()
	if want == in.watching || !f.reachesStore(in) {
		return
	}
	in.watching = want
	if !want {
		return
	}
	f.storeCalls++
	f.at(f.now.Add(latencyStore), func() {
		if !in.watching || !f.reachesStore(in) {
			return
		}
		for _, d := range f.store {
			if in.sync.Revision(d.Service) < d.Revision {
				in.sync.StepWatch(f.now, d)
			}
		}
		in.sync.StepWatchSynced(f.now)
		f.serveSync(in)
	})
}

// put changes a document in the store and tells the watchers.
func (f *fleet) put(i int) {
	f.store[i].Revision++
	d := f.store[i]
	c := &change{service: d.Service, revision: d.Revision, at: f.now, has: make([]bool, len(f.instances)), cut: f.cut}
	f.tracked[d.Service] = c
	f.changes = append(f.changes, c)
	for _, in := range f.instances {
		if !in.up {
			continue
		}
		c.missing[c.side(in)]++
		if in.watching && f.reachesStore(in) {
			f.storeCalls++
			f.at(f.now.Add(latencyStore), func() { in.sync.StepWatch(f.now, d); f.serveSync(in) })
		}
	}
}

// side is 1 for the instances of the zone that is cut, and 0 for the others.
func (c *change) side(in *instance) int {
	if in.zone == c.cut {
		return 1
	}
	return 0
}

func (f *fleet) noteInForce(in *instance, d docsync.Document) {
	c := f.tracked[d.Service]
	if c == nil || d.Revision < c.revision || c.has[in.id] {
		return
	}
	c.has[in.id] = true
	c.missing[c.side(in)]--
	c.last[c.side(in)] = f.now
}

func (f *fleet) kill(in *instance) { in.up, in.watching = false, false }

// reconnect ends the cut. Watches that the cut broke start again.
func (f *fleet) reconnect() {
	cut, cutStore := f.cut, f.cutStore
	f.cut, f.cutStore = noZone, false
	for _, in := range f.instances {
		if in.up && cutStore && in.zone == cut {
			in.watching = false
			f.watch(in)
		}
	}
}

func (f *fleet) watchers() int {
	n := 0
	for _, in := range f.instances {
		if in.up && in.watching {
			n++
		}
	}
	return n
}
