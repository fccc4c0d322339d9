package fleet

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// changeInterval is the design rate of 89,000 changes a day.
	changeInterval = 24 * time.Hour / 89_000
	// valueBytes is the size of a document.
	valueBytes = 2000
	// documentsHeld is the number of documents in the scaling runs.
	documentsHeld = 1000
	// settlePause separates the phases.
	settlePause = 4 * time.Second
	// pollInterval is the resolution of the detection time.
	pollInterval = 10 * time.Millisecond
	// databasesPerVM is the design's 15,000 databases on 5,000 VMs.
	databasesPerVM = 3
	// ownerSettle is the time after the loss of a zone at which owners are compared.
	ownerSettle = 2 * time.Second
	// detectionLimit ends the wait for the detection of a dead VM.
	detectionLimit = 10 * time.Second
)

// SizeResult has the figures for one number of VMs.
type SizeResult struct {
	VMs, Zones, Cells int
	// LargestCell is the largest number of VMs in one cell.
	LargestCell int
	// Changes is the number of document changes in each phase.
	Changes int
	// InForce is the longest time until a change was in force everywhere, with
	// 1% loss; InForceZoneCut the same on all VMs while one zone is cut from the
	// other VMs but reaches the store; InForceOutside on the VMs outside a zone
	// that is cut from the store too; CatchUp the time from the end of that cut
	// until the zone had all changes.
	InForce, InForceZoneCut, InForceOutside, CatchUp time.Duration
	// NeverInForce counts changes that some VM lacked at the end.
	NeverInForce int
	// SentPerSecond and ReceivedPerSecond are bytes of an average VM,
	// LargestSent and LargestReceived those of the busiest one, LargestBoth the
	// largest sum of both.
	SentPerSecond, ReceivedPerSecond          float64
	LargestSent, LargestReceived, LargestBoth float64
	// HeartbeatShare is the part of heartbeats in the bytes sent.
	HeartbeatShare float64
	// MessagesPerSecond are the messages sent by an average VM.
	MessagesPerSecond float64
	// FalseSuspicions counts live cell members that were skipped, out of Samples.
	FalseSuspicions, Samples int
	// Watchers is the number of watches on the store, StoreCallsPerSecond the
	// rate of watch results and new watches.
	Watchers            int
	StoreCallsPerSecond float64
	// Detection is the time until the whole cell skips a dead VM.
	Detection time.Duration
	// OwnerChanges counts databases that changed owner within 2 s after a zone
	// was lost; OwnersLost are those whose owner was in the zone.
	Databases, OwnerChanges, OwnersLost int
	// WithoutOwner counts databases that had no live owner then.
	WithoutOwner int
}

// measureSize runs all phases for one number of VMs.
func measureSize(seed uint64, vms int, phase time.Duration) (SizeResult, error) {
	zones, regions := 20, 8
	if vms < 60 {
		zones, regions = 3, 3
	}
	f := newFleet(seed, vms, zones, regions)
	f.fillStore(documentsHeld, valueBytes)
	f.startAll()
	f.runUntil(f.now.Add(startSpread + 2*settlePause))
	for _, in := range f.instances {
		if in.sync.Count() != documentsHeld {
			return SizeResult{}, fmt.Errorf("fleet of %d: %s has %d of %d documents after the start", vms, in.vm, in.sync.Count(), documentsHeld)
		}
	}
	r := SizeResult{VMs: vms, Zones: zones, Cells: f.instances[0].table.CellCount(), Changes: int(phase / changeInterval)}
	for _, in := range f.instances {
		r.LargestCell = max(r.LargestCell, in.table.CellSize())
	}
	f.measureSteady(&r, phase)
	f.measureCuts(&r, phase)
	f.measureDetection(&r)
	f.measureZoneLoss(&r)
	return r, nil
}

// changeFor makes changes at the design rate and returns those made.
func (f *fleet) changeFor(length time.Duration, each func()) []*change {
	first := len(f.changes)
	for end := f.now.Add(length); f.now.Add(changeInterval) <= end; {
		f.put(len(f.changes) % len(f.store))
		f.runUntil(f.now.Add(changeInterval))
		if each != nil {
			each()
		}
	}
	return f.changes[first:]
}

// longest returns the longest time until a change was in force on one side.
func longest(changes []*change, side int) time.Duration {
	var out time.Duration
	for _, c := range changes {
		if c.last[side] > 0 {
			out = max(out, c.last[side].Sub(c.at))
		}
	}
	return out
}

func countMissing(changes []*change, side int) int {
	n := 0
	for _, c := range changes {
		if c.missing[side] > 0 {
			n++
		}
	}
	return n
}

func (f *fleet) measureSteady(r *SizeResult, phase time.Duration) {
	type counters struct{ sent, received traffic }
	before := make([]counters, len(f.instances))
	for i, in := range f.instances {
		before[i] = counters{in.sent, in.received}
	}
	calls, start := f.storeCalls, f.now
	changes := f.changeFor(phase, func() { f.sampleSuspicions(r) })
	seconds := f.now.Sub(start).Seconds()
	var heartbeat, total float64
	for i, in := range f.instances {
		sent, received := in.sent.sub(before[i].sent), in.received.sub(before[i].received)
		r.SentPerSecond += float64(sent.bytes())
		r.ReceivedPerSecond += float64(received.bytes())
		r.MessagesPerSecond += float64(sent.messages)
		r.LargestSent = max(r.LargestSent, float64(sent.bytes())/seconds)
		r.LargestReceived = max(r.LargestReceived, float64(received.bytes())/seconds)
		r.LargestBoth = max(r.LargestBoth, float64(sent.bytes()+received.bytes())/seconds)
		heartbeat += float64(sent.heartbeatBytes)
		total += float64(sent.bytes())
	}
	scale := 1 / (seconds * float64(len(f.instances)))
	r.SentPerSecond *= scale
	r.ReceivedPerSecond *= scale
	r.MessagesPerSecond *= scale
	r.HeartbeatShare = heartbeat / total
	r.StoreCallsPerSecond = float64(f.storeCalls-calls) / seconds
	r.Watchers = f.watchers()
	f.runUntil(f.now.Add(settlePause))
	r.InForce = longest(changes, 0)
	r.NeverInForce += countMissing(changes, 0)
}

func (f *fleet) sampleSuspicions(r *SizeResult) {
	for _, in := range f.instances {
		for _, m := range in.table.Members() {
			r.Samples++
			if !in.table.Alive(f.now, m.VM) {
				r.FalseSuspicions++
			}
		}
	}
}

// measureCuts cuts one zone from the other VMs, then from the store as well.
func (f *fleet) measureCuts(r *SizeResult, phase time.Duration) {
	f.cut = 1
	changes := f.changeFor(phase, nil)
	f.runUntil(f.now.Add(2 * settlePause))
	r.InForceZoneCut = max(longest(changes, 0), longest(changes, 1))
	r.NeverInForce += countMissing(changes, 0) + countMissing(changes, 1)
	f.reconnect()
	f.runUntil(f.now.Add(settlePause))
	f.cut, f.cutStore = 1, true
	changes = f.changeFor(phase, nil)
	f.runUntil(f.now.Add(2 * settlePause))
	r.InForceOutside = longest(changes, 0)
	r.NeverInForce += countMissing(changes, 0)
	f.reconnect()
	healed := f.now
	f.runUntil(f.now.Add(3 * settlePause))
	for _, c := range changes {
		r.CatchUp = max(r.CatchUp, c.last[1].Sub(healed))
	}
	r.NeverInForce += countMissing(changes, 1)
}

func (f *fleet) measureDetection(r *SizeResult) {
	victim := f.instances[len(f.instances)/2]
	var observers []*instance
	for _, in := range f.instances {
		for _, m := range in.table.Members() {
			if m.VM == victim.vm && in != victim {
				observers = append(observers, in)
			}
		}
	}
	start := f.now
	f.kill(victim)
	for f.now.Sub(start) < detectionLimit {
		f.runUntil(f.now.Add(pollInterval))
		skipped := 0
		for _, in := range observers {
			if !in.table.Alive(f.now, victim.vm) {
				skipped++
			}
		}
		if skipped == len(observers) {
			break
		}
	}
	r.Detection = f.now.Sub(start)
}

// owners returns the owner of each database in the view of a live VM of its cell.
func (f *fleet) owners(databases int) []entity.VM {
	out := make([]entity.VM, databases)
	for i := range out {
		name := entity.Database(fmt.Sprintf("database-%d", i))
		vm, ok := f.instances[0].table.Owner(f.now, name, nil)
		// An instance of another cell learns of failures on use.
		var skip []entity.VM
		for ok && !f.index[vm].up {
			skip = append(skip, vm)
			vm, ok = f.instances[0].table.Owner(f.now, name, skip)
		}
		if !ok {
			continue
		}
		out[i], _ = f.index[vm].table.Owner(f.now, name, nil)
	}
	return out
}

func (f *fleet) measureZoneLoss(r *SizeResult) {
	r.Databases = databasesPerVM * len(f.instances)
	before := f.owners(r.Databases)
	f.cut = 2
	for _, in := range f.instances {
		if in.zone == f.cut {
			f.kill(in)
		}
	}
	f.runUntil(f.now.Add(ownerSettle))
	for i, owner := range f.owners(r.Databases) {
		if owner == "" || !f.index[owner].up {
			r.WithoutOwner++
		}
		if owner != before[i] {
			r.OwnerChanges++
		}
		if f.index[before[i]].zone == f.cut {
			r.OwnersLost++
		}
	}
}
