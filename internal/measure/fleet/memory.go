package fleet

import (
	"fmt"
	"runtime"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// MemoryResult is the heap that one VM uses for a table of Rows rows.
type MemoryResult struct {
	Rows  int
	Bytes uint64
}

// StartResult is the cost of the start of a VM while the store is down: the time until
// it has all documents from its peers, the bytes of the document messages received, and
// the number of all messages received, heartbeats included.
type StartResult struct {
	Documents int
	Time      time.Duration
	Bytes     int
	Messages  int
}

// heapInUse returns the bytes of live heap after a garbage collection.
func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureHeap returns the bytes of heap that the value returned by build keeps in use.
func measureHeap[T any](build func() T) uint64 {
	before := heapInUse()
	value := build()
	after := heapInUse()
	runtime.KeepAlive(value)
	return after - min(before, after)
}

// measureTable returns the heap of a membership table with the given number of VMs and
// a cached owner for three databases per VM.
func measureTable(vms int) MemoryResult {
	list := newFleet(1, vms, 20, 8).list
	bytes := measureHeap(func() *membership.Table {
		t := membership.New(membership.DefaultConfig(list[0].VM, 1), 1)
		t.Update(1, list)
		for i := range databasesPerVM * vms {
			t.Owner(1, entity.Database(fmt.Sprintf("database-%d", i)), nil)
		}
		return t
	})
	runtime.KeepAlive(list)
	return MemoryResult{Rows: vms, Bytes: bytes}
}

// measureDocuments returns the heap of a document sync, values included.
func measureDocuments(documents int) MemoryResult {
	return MemoryResult{Rows: documents, Bytes: measureHeap(func() *docsync.Sync {
		s := docsync.New(docsync.DefaultConfig("proxy-000000", zoneName(0)), 1)
		for i := range documents {
			s.StepWatch(0, docsync.Document{Service: fmt.Sprintf("service-%06d", i), Revision: 1, Value: make([]byte, valueBytes)})
			s.Ready()
		}
		s.Tick(0)
		s.Ready()
		return s
	})}
}

// measureStart starts the last of 40 instances while the store is down. All others have
// the documents.
func measureStart(seed uint64, documents int) (StartResult, error) {
	const vms = 40
	f := newFleet(seed, vms, 20, 8)
	f.fillStore(documents, valueBytes)
	starting := f.instances[vms-1]
	for _, inst := range f.instances[:vms-1] {
		f.start(inst)
		for _, d := range f.store {
			inst.sync.StepWatch(f.now, d)
		}
		inst.sync.StepWatchSynced(f.now)
		inst.sync.Ready()
	}
	f.runUntil(f.now.Add(settleTime))
	f.storeDown = true
	start := f.now
	f.start(starting)
	const limit = 60 * time.Second
	for starting.sync.Count() < documents {
		if f.now.Sub(start) > limit {
			return StartResult{}, fmt.Errorf("start with %d documents: %d received in %v", documents, starting.sync.Count(), limit)
		}
		f.runUntil(f.now.Add(pollInterval))
	}
	return StartResult{
		Documents: documents, Time: f.now.Sub(start),
		Bytes: starting.received.documentBytes, Messages: starting.received.messages,
	}, nil
}
