package floodsim

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// splitVMCount is the number of VMs over which the slots are divided.
const splitVMCount = 9

// splitScheduler divides a database's slots over VMs, each with a core/flood scheduler of
// its own. A VM's share is not a whole number of slots. It has the next higher number, but
// each only part of the time: after an execution, the slot stays idle for as long as the
// share requires.
type splitScheduler struct {
	vms [splitVMCount]vmSlots
	// now is the time of the last call.
	now entity.Time
}

// vmSlots is the scheduler and the slots of one VM.
type vmSlots struct {
	scheduler *flood.Scheduler
	// freeAt has the time from which each slot may be used again, or slotInUse.
	freeAt [flood.NumLanes][]entity.Time
	// leaseFactor is the ratio of a slot's lease time, which is the execution time and
	// the idle time after it, to the execution time.
	leaseFactor [flood.NumLanes]float64
}

// slotInUse is the value in vmSlots.freeAt of a slot that is executing an item.
const slotInUse = entity.Never

func newSplitScheduler(d Deployment, seed uint64) *splitScheduler {
	sp := &splitScheduler{}
	for i := range sp.vms {
		vm := &sp.vms[i]
		vm.scheduler = flood.New(policy(), seed+uint64(i))
		for lane := range flood.NumLanes {
			slotsPerVM := (d.slots(lane) + splitVMCount - 1) / splitVMCount
			vm.freeAt[lane] = make([]entity.Time, slotsPerVM)
			vm.leaseFactor[lane] = float64(slotsPerVM*splitVMCount) / float64(d.slots(lane))
			vm.scheduler.SetSlots(lane, slotsPerVM)
		}
	}
	return sp
}

func (sp *splitScheduler) vm(item flood.Item) *vmSlots { return &sp.vms[item.Caller%splitVMCount] }

// scale returns the item with its lease time as cost.
func (vm *vmSlots) scale(item flood.Item) flood.Item {
	item.Cost = time.Duration(float64(item.Cost) * vm.leaseFactor[item.Lane])
	return item
}

func (sp *splitScheduler) Offer(now entity.Time, item flood.Item) flood.Decision {
	sp.now = now
	vm := sp.vm(item)
	return vm.scheduler.Offer(now, vm.scale(item))
}

func (sp *splitScheduler) Next(now entity.Time, lane flood.Lane) (flood.Item, bool) {
	sp.now = now
	// The slot that has been free longest is used first.
	best, bestSlot := -1, 0
	for i := range sp.vms {
		vm := &sp.vms[i]
		if vm.scheduler.Len(lane) == 0 {
			continue
		}
		for slot, at := range vm.freeAt[lane] {
			if at <= now && (best < 0 || at < sp.vms[best].freeAt[lane][bestSlot]) {
				best, bestSlot = i, slot
			}
		}
	}
	if best < 0 {
		return flood.Item{}, false
	}
	item, ok := sp.vms[best].scheduler.Next(now, lane)
	if ok {
		sp.vms[best].freeAt[lane][bestSlot] = slotInUse
	}
	return item, ok
}

func (sp *splitScheduler) Done(now entity.Time, item flood.Item, cost time.Duration) {
	vm := sp.vm(item)
	leased := time.Duration(float64(cost) * vm.leaseFactor[item.Lane])
	vm.scheduler.Done(now, item, leased)
	for slot, at := range vm.freeAt[item.Lane] {
		if at == slotInUse {
			vm.freeAt[item.Lane][slot] = now.Add(leased - cost)
			return
		}
	}
}

func (sp *splitScheduler) Expire(now entity.Time, out []flood.Refusal) []flood.Refusal {
	sp.now = now
	for i := range sp.vms {
		out = sp.vms[i].scheduler.Expire(now, out)
	}
	return out
}

// NextExpiry also returns the end of a slot's idle time, so that the model calls Next
// again then.
func (sp *splitScheduler) NextExpiry() entity.Time {
	next := entity.Never
	for i := range sp.vms {
		vm := &sp.vms[i]
		next = min(next, vm.scheduler.NextExpiry())
		for lane := range vm.freeAt {
			if vm.scheduler.Len(flood.Lane(lane)) == 0 {
				continue
			}
			for _, at := range vm.freeAt[lane] {
				if at > sp.now {
					next = min(next, at)
				}
			}
		}
	}
	return next
}
