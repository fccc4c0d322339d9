package fleet

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// changeInterval is the time between two changes at the design rate of 89,000
	// changes a day.
	changeInterval = 24 * time.Hour / 89_000
	// valueBytes is the size of a document's value.
	valueBytes = 2000
	// documentCount is the number of documents in the runs by fleet size.
	documentCount = 1000
	// settleTime is the pause after a phase in which its last changes propagate.
	settleTime = 4 * time.Second
	// pollInterval is the resolution of the detection time.
	pollInterval = 10 * time.Millisecond
	// databasesPerVM is the ratio of the design size: 15,000 databases on 5,000 VMs.
	databasesPerVM = 3
	// ownerSettleTime is how long after the loss of a zone the owners are compared.
	ownerSettleTime = 2 * time.Second
	// detectionLimit bounds the wait for the detection of a dead VM.
	detectionLimit = 10 * time.Second
)

// SizeResult has the results for one number of VMs.
type SizeResult struct {
	VMs, Zones, Cells int
	// LargestCell is the largest number of VMs in one cell.
	LargestCell int
	// Changes is the number of document changes in each phase.
	Changes int
	// ApplyTime is the longest time until all VMs had applied a change, with 1%
	// message loss. ApplyTimeZoneCut is the same while one zone can reach the store
	// but not the other VMs. ApplyTimeOutsideCut is the same for the VMs outside a
	// zone that can reach neither. CatchUp is the time from the end of that cut
	// until the zone had all changes.
	ApplyTime, ApplyTimeZoneCut, ApplyTimeOutsideCut, CatchUp time.Duration
	// NeverApplied counts the changes that some VM had not applied at the end.
	NeverApplied int
	// SentPerSecond and ReceivedPerSecond are the bytes per second of an average VM,
	// LargestSent and LargestReceived the highest of any VM, LargestBoth the highest
	// sum of both.
	SentPerSecond, ReceivedPerSecond          float64
	LargestSent, LargestReceived, LargestBoth float64
	// HeartbeatShare is the fraction of the bytes sent that are heartbeats.
	HeartbeatShare float64
	// MessagesPerSecond is the rate of messages sent by an average VM.
	MessagesPerSecond float64
	// FalseSuspicions is the number of Samples in which a VM considered a live cell
	// member dead.
	FalseSuspicions, Samples int
	// Watchers is the number of VMs that watch the store, StoreCallsPerSecond the rate
	// of new watches and of changes sent to watchers.
	Watchers            int
	StoreCallsPerSecond float64
	// Detection is the time until all members of its cell consider a killed VM dead, at
	// most detectionLimit.
	Detection time.Duration
	// OwnerChanges counts the Databases whose owner changed within 2 s after the loss
	// of a zone, OwnersLost those whose owner was in the zone.
	Databases, OwnerChanges, OwnersLost int
	// WithoutOwner counts the databases without a live owner at that time.
	WithoutOwner int
}

// measureSize runs all phases with a fleet of the given number of VMs.
func measureSize(seed uint64, vms int, phase time.Duration) (SizeResult, error) {
	zones, regions := 20, 8
	if vms < 60 {
		zones, regions = 3, 3
	}
	f := newFleet(seed, vms, zones, regions)
	f.fillStore(documentCount, valueBytes)
	f.startAll()
	f.runUntil(f.now.Add(startSpread + 2*settleTime))
	for _, inst := range f.instances {
		if inst.sync.Count() != documentCount {
			return SizeResult{}, fmt.Errorf("fleet of %d: %s has %d of %d documents after the start", vms, inst.vm, inst.sync.Count(), documentCount)
		}
	}
	r := SizeResult{VMs: vms, Zones: zones, Cells: f.instances[0].table.CellCount(), Changes: int(phase / changeInterval)}
	for _, inst := range f.instances {
		r.LargestCell = max(r.LargestCell, inst.table.CellSize())
	}
	f.measureSteadyState(&r, phase)
	f.measureCuts(&r, phase)
	f.measureDetection(&r)
	f.measureZoneLoss(&r)
	return r, nil
}

// makeChanges changes documents at the design rate for a time and returns the changes.
// It calls afterEach, if set, after each one.
func (f *fleet) makeChanges(length time.Duration, afterEach func()) []*change {
	first := len(f.changes)
	for end := f.now.Add(length); f.now.Add(changeInterval) <= end; {
		f.putDocument(len(f.changes) % len(f.store))
		f.runUntil(f.now.Add(changeInterval))
		if afterEach != nil {
			afterEach()
		}
	}
	return f.changes[first:]
}

// longestApplyTime returns the longest time until all VMs on one side had applied a
// change. VMs that lack a change are counted by countIncomplete.
func longestApplyTime(changes []*change, side int) time.Duration {
	var out time.Duration
	for _, c := range changes {
		if c.lastApplied[side] > 0 {
			out = max(out, c.lastApplied[side].Sub(c.at))
		}
	}
	return out
}

// countIncomplete returns the number of changes that some VM on one side lacks.
func countIncomplete(changes []*change, side int) int {
	n := 0
	for _, c := range changes {
		if c.missing[side] > 0 {
			n++
		}
	}
	return n
}

// measureSteadyState measures propagation and traffic without failures other than
// message loss.
func (f *fleet) measureSteadyState(r *SizeResult, phase time.Duration) {
	type counters struct{ sent, received traffic }
	before := make([]counters, len(f.instances))
	for i, inst := range f.instances {
		before[i] = counters{inst.sent, inst.received}
	}
	calls, start := f.storeCalls, f.now
	changes := f.makeChanges(phase, func() { f.sampleSuspicions(r) })
	seconds := f.now.Sub(start).Seconds()
	var heartbeat, total float64
	for i, inst := range f.instances {
		sent, received := inst.sent.sub(before[i].sent), inst.received.sub(before[i].received)
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
	f.runUntil(f.now.Add(settleTime))
	r.ApplyTime = longestApplyTime(changes, 0)
	r.NeverApplied += countIncomplete(changes, 0)
}

// sampleSuspicions counts the live cell members that VMs consider dead.
func (f *fleet) sampleSuspicions(r *SizeResult) {
	for _, inst := range f.instances {
		for _, m := range inst.table.Members() {
			r.Samples++
			if !inst.table.Alive(f.now, m.VM) {
				r.FalseSuspicions++
			}
		}
	}
}

// measureCuts measures propagation while one zone is cut off from the other VMs, then
// while it is cut off from the store as well.
func (f *fleet) measureCuts(r *SizeResult, phase time.Duration) {
	f.cutZone = 1
	changes := f.makeChanges(phase, nil)
	f.runUntil(f.now.Add(2 * settleTime))
	r.ApplyTimeZoneCut = max(longestApplyTime(changes, 0), longestApplyTime(changes, 1))
	r.NeverApplied += countIncomplete(changes, 0) + countIncomplete(changes, 1)
	f.endCut()
	f.runUntil(f.now.Add(settleTime))
	f.cutZone, f.cutFromStore = 1, true
	changes = f.makeChanges(phase, nil)
	f.runUntil(f.now.Add(2 * settleTime))
	r.ApplyTimeOutsideCut = longestApplyTime(changes, 0)
	r.NeverApplied += countIncomplete(changes, 0)
	f.endCut()
	cutEnd := f.now
	f.runUntil(f.now.Add(3 * settleTime))
	for _, c := range changes {
		r.CatchUp = max(r.CatchUp, c.lastApplied[1].Sub(cutEnd))
	}
	r.NeverApplied += countIncomplete(changes, 1)
}

// measureDetection kills a VM and measures until all other members of its cell have
// detected that.
func (f *fleet) measureDetection(r *SizeResult) {
	killed := f.instances[len(f.instances)/2]
	var observers []*instance
	for _, inst := range f.instances {
		for _, m := range inst.table.Members() {
			if m.VM == killed.vm && inst != killed {
				observers = append(observers, inst)
			}
		}
	}
	start := f.now
	f.kill(killed)
	for f.now.Sub(start) < detectionLimit {
		f.runUntil(f.now.Add(pollInterval))
		detected := 0
		for _, inst := range observers {
			if !inst.table.Alive(f.now, killed.vm) {
				detected++
			}
		}
		if detected == len(observers) {
			break
		}
	}
	r.Detection = f.now.Sub(start)
}

// owners returns the owner of each database according to a live VM of its cell.
func (f *fleet) owners(databases int) []entity.VM {
	out := make([]entity.VM, databases)
	for i := range out {
		name := entity.Database(fmt.Sprintf("database-%d", i))
		vm, ok := f.instances[0].table.Owner(f.now, name, nil)
		// VMs outside the cell detect a dead VM only when they use it.
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

// measureZoneLoss kills all VMs of a zone and compares the owners before the loss with
// those ownerSettleTime after it.
func (f *fleet) measureZoneLoss(r *SizeResult) {
	r.Databases = databasesPerVM * len(f.instances)
	before := f.owners(r.Databases)
	f.cutZone = 2
	for _, inst := range f.instances {
		if inst.zone == f.cutZone {
			f.kill(inst)
		}
	}
	f.runUntil(f.now.Add(ownerSettleTime))
	for i, owner := range f.owners(r.Databases) {
		if owner == "" || !f.index[owner].up {
			r.WithoutOwner++
		}
		if owner != before[i] {
			r.OwnerChanges++
		}
		if f.index[before[i]].zone == f.cutZone {
			r.OwnersLost++
		}
	}
}
