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
	// One-way latencies of the design page (the higher of its two values between
	// zones), and the response time of the store.
	latencyInZone         = 250 * time.Microsecond
	latencyBetweenZones   = 1500 * time.Microsecond
	latencyBetweenRegions = 12 * time.Millisecond
	latencyStore          = 5 * time.Millisecond
	// lossRate is the probability that a message is lost.
	lossRate = 0.01
	// startSpread is the interval over which the starts of the instances are spread.
	startSpread = time.Second
	// firstIncarnation is a millisecond timestamp, so that incarnations have their real
	// encoded size.
	firstIncarnation = 1_790_000_000_000
	// noZone means that no zone is cut off.
	noZone = -1
)

// traffic counts the messages and bytes that an instance sent or received.
type traffic struct {
	messages       int
	heartbeatBytes int
	documentBytes  int
}

func (t traffic) bytes() int { return t.heartbeatBytes + t.documentBytes }

func (t traffic) sub(u traffic) traffic {
	return traffic{t.messages - u.messages, t.heartbeatBytes - u.heartbeatBytes, t.documentBytes - u.documentBytes}
}

// instance is one VM: its membership table and its document sync.
type instance struct {
	id            int
	vm            entity.VM
	zone          int
	table         *membership.Table
	sync          *docsync.Sync
	up            bool
	watching      bool
	nextTableTick entity.Time
	nextSyncTick  entity.Time
	sent          traffic
	received      traffic
}

// change is a document change whose propagation is measured.
type change struct {
	service  string
	revision uint64
	at       entity.Time
	// applied has the instances, by id, that have applied the change.
	applied []bool
	// lastApplied is the last time at which an instance applied the change, and
	// missing the number of instances that have not yet. Both are indexed by side.
	lastApplied [2]entity.Time
	missing     [2]int
	// cutZone is the zone that was cut off when the change was made, or noZone.
	cutZone int
}

// fleet is the simulated set of instances, the network and the store.
type fleet struct {
	eventLoop
	random    *rand.Rand
	zones     int
	regions   int
	instances []*instance
	index     map[entity.VM]*instance
	list      []membership.ListedVM
	peers     []docsync.Peer

	// cutZone is the zone that can't reach the others, or noZone; cutFromStore is set
	// if it can't reach the store either.
	cutZone      int
	cutFromStore bool

	storeDown  bool
	store      []docsync.Document
	storeCalls int
	// latestChanges has the latest change of each service.
	latestChanges map[string]*change
	changes       []*change
	refusals      int
}

func zoneName(zone int) string { return fmt.Sprintf("zone-%02d", zone) }

func newFleet(seed uint64, vms, zones, regions int) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(seed, uint64(vms))), zones: zones, regions: regions, cutZone: noZone}
	f.index = map[entity.VM]*instance{}
	f.latestChanges = map[string]*change{}
	for i := range vms {
		inst := &instance{id: i, vm: entity.VM(fmt.Sprintf("proxy-%06d", i)), zone: i % zones}
		f.instances = append(f.instances, inst)
		f.index[inst.vm] = inst
		f.list = append(f.list, membership.ListedVM{VM: inst.vm, AvailabilityZone: zoneName(inst.zone)})
		f.peers = append(f.peers, docsync.Peer{VM: inst.vm, AvailabilityZone: zoneName(inst.zone)})
	}
	return f
}

func (f *fleet) fillStore(documents, valueBytes int) {
	value := make([]byte, valueBytes)
	for i := range documents {
		f.store = append(f.store, docsync.Document{Service: fmt.Sprintf("service-%06d", i), Revision: 1, Value: value})
	}
}

// startAll schedules the start of each instance at a random time within startSpread.
func (f *fleet) startAll() {
	for _, inst := range f.instances {
		f.runAt(f.now.Add(time.Duration(f.random.Int64N(int64(startSpread)))), func() { f.start(inst) })
	}
}

func (f *fleet) start(inst *instance) {
	seed := f.random.Uint64()
	inst.table = membership.New(membership.DefaultConfig(inst.vm, firstIncarnation+uint64(f.now/1e6)), seed)
	inst.sync = docsync.New(docsync.DefaultConfig(inst.vm, zoneName(inst.zone)), seed)
	inst.up, inst.watching = true, false
	inst.table.Update(f.now, f.list)
	inst.sync.SetPeers(f.now, f.peers)
	f.processTable(inst)
	f.processSync(inst)
}

// processTable ticks an instance's table, sends its messages and schedules its next
// tick.
func (f *fleet) processTable(inst *instance) {
	inst.table.Tick(f.now)
	out := inst.table.Ready()
	for _, r := range out.Requests {
		size := sizeHeartbeatRequest(&r)
		f.send(inst, r.To, traffic{1, size, 0}, func(to *instance) { to.table.StepHeartbeat(f.now, r); f.processTable(to) })
	}
	for _, r := range out.Replies {
		size := sizeHeartbeatReply(&r)
		f.send(inst, r.To, traffic{1, size, 0}, func(to *instance) { to.table.StepReply(f.now, r); f.processTable(to) })
	}
	f.scheduleTick(inst, &inst.nextTableTick, inst.table.NextTick(), f.processTable)
}

// processSync ticks an instance's document sync, sends its messages, records applied
// documents and schedules its next tick.
func (f *fleet) processSync(inst *instance) {
	inst.sync.Tick(f.now)
	out := inst.sync.Ready()
	for _, r := range out.Requests {
		size := sizeDocumentsRequest(&r)
		f.send(inst, r.To, traffic{1, 0, size}, func(to *instance) { to.sync.StepRequest(f.now, r); f.processSync(to) })
	}
	for _, r := range out.Replies {
		size := sizeDocumentsReply(&r)
		f.send(inst, r.To, traffic{1, 0, size}, func(to *instance) { to.sync.StepReply(f.now, r); f.processSync(to) })
	}
	for _, d := range out.Applied {
		f.recordApplied(inst, d)
	}
	f.refusals += len(out.Refusals)
	f.updateWatch(inst)
	f.scheduleTick(inst, &inst.nextSyncTick, inst.sync.NextTick(), f.processSync)
}

// scheduleTick schedules a tick at next unless one is already due by then. due is the
// time of the scheduled tick.
func (f *fleet) scheduleTick(inst *instance, due *entity.Time, next entity.Time, process func(*instance)) {
	if next == entity.Never {
		return
	}
	next = max(next, f.now)
	if *due > f.now && *due <= next {
		return
	}
	*due = next
	f.runAt(next, func() {
		if inst.up && *due == f.now {
			*due = 0
			process(inst)
		}
	})
}

// send delivers a message after the latency, unless it is lost, the receiver is down or
// a cut separates the VMs. cost is counted for the sender, and for the receiver on
// delivery.
func (f *fleet) send(from *instance, vm entity.VM, cost traffic, handle func(*instance)) {
	to := f.index[vm]
	from.sent = add(from.sent, cost)
	if f.random.Float64() < lossRate {
		return
	}
	f.runAt(f.now.Add(f.latency(from, to)), func() {
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
	return latencyBetweenRegions
}

func (f *fleet) isCut(a, b *instance) bool { return (a.zone == f.cutZone) != (b.zone == f.cutZone) }

func (f *fleet) canReachStore(inst *instance) bool {
	return inst.up && !f.storeDown && !(f.cutFromStore && inst.zone == f.cutZone)
}

// updateWatch starts or ends an instance's watch of the store, as its sync requires.
// A new watch first receives the current documents.
func (f *fleet) updateWatch(inst *instance) {
	want := inst.sync.Watching()
	if want == inst.watching || !f.canReachStore(inst) {
		return
	}
	inst.watching = want
	if !want {
		return
	}
	f.storeCalls++
	f.runAt(f.now.Add(latencyStore), func() {
		if !inst.watching || !f.canReachStore(inst) {
			return
		}
		for _, d := range f.store {
			if inst.sync.Revision(d.Service) < d.Revision {
				inst.sync.StepWatch(f.now, d)
			}
		}
		inst.sync.StepWatchSynced(f.now)
		f.processSync(inst)
	})
}

// putDocument changes document i in the store and notifies the instances that watch it.
func (f *fleet) putDocument(i int) {
	f.store[i].Revision++
	d := f.store[i]
	c := &change{service: d.Service, revision: d.Revision, at: f.now, applied: make([]bool, len(f.instances)), cutZone: f.cutZone}
	f.latestChanges[d.Service] = c
	f.changes = append(f.changes, c)
	for _, inst := range f.instances {
		if !inst.up {
			continue
		}
		c.missing[c.side(inst)]++
		if inst.watching && f.canReachStore(inst) {
			f.storeCalls++
			f.runAt(f.now.Add(latencyStore), func() { inst.sync.StepWatch(f.now, d); f.processSync(inst) })
		}
	}
}

// side returns 1 for instances in the zone that was cut off, 0 for the others.
func (c *change) side(inst *instance) int {
	if inst.zone == c.cutZone {
		return 1
	}
	return 0
}

// recordApplied records that an instance applied the latest change of a service.
func (f *fleet) recordApplied(inst *instance, d docsync.Document) {
	c := f.latestChanges[d.Service]
	if c == nil || d.Revision < c.revision || c.applied[inst.id] {
		return
	}
	c.applied[inst.id] = true
	c.missing[c.side(inst)]--
	c.lastApplied[c.side(inst)] = f.now
}

func (f *fleet) kill(inst *instance) { inst.up, inst.watching = false, false }

// endCut ends the cut. If the zone was also cut off from the store, its watches start
// again.
func (f *fleet) endCut() {
	cut, cutStore := f.cutZone, f.cutFromStore
	f.cutZone, f.cutFromStore = noZone, false
	for _, inst := range f.instances {
		if inst.up && cutStore && inst.zone == cut {
			inst.watching = false
			f.updateWatch(inst)
		}
	}
}

// watchers returns the number of running instances that watch the store.
func (f *fleet) watchers() int {
	n := 0
	for _, inst := range f.instances {
		if inst.up && inst.watching {
			n++
		}
	}
	return n
}
