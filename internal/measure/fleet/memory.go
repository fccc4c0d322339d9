package fleet

import (
	"fmt"
	"runtime"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// MemoryResult is the heap of one VM's state machine for a number of rows.
type MemoryResult struct {
	Rows  int
	Bytes uint64
}

// StartResult is the time in which a VM that starts while the store is down
// learns all documents from its peers, and what it received for that.
type StartResult struct {
	Documents int
	Time      time.Duration
	Bytes     int
	Messages  int
}

func heapInUse() uint64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

// measureHeap returns the heap that stays in use for what build returns.
func measureHeap[T any](build func() T) uint64 {
	before := heapInUse()
	kept := build()
	after := heapInUse()
	runtime.KeepAlive(kept)
	return after - min(before, after)
}

// measureTable returns the heap of a table, with the rows of the list and an
// owner cached for three databases per VM.
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

// measureDocuments returns the heap of the documents, values included.
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

// measureStart starts the last of 40 instances while the store is cut off.
func measureStart(seed uint64, documents int) (StartResult, error) {
	const vms = 40
	f := newFleet(seed, vms, 20, 8)
	f.fillStore(documents, valueBytes)
	late := f.instances[vms-1]
	for _, in := range f.instances[:vms-1] {
		f.start(in)
		for _, d := range f.store {
			in.sync.StepWatch(f.now, d)
		}
		in.sync.StepWatchSynced(f.now)
		in.sync.Ready()
	}
	f.runUntil(f.now.Add(settlePause))
	f.storeDown = true
	start := f.now
	f.start(late)
	const limit = 60 * time.Second
	for late.sync.Count() < documents {
		if f.now.Sub(start) > limit {
			return StartResult{}, fmt.Errorf("start with %d documents: %d learned in %v", documents, late.sync.Count(), limit)
		}
		f.runUntil(f.now.Add(pollInterval))
	}
	return StartResult{
		Documents: documents, Time: f.now.Sub(start),
		Bytes: late.received.documentBytes, Messages: late.received.messages,
	}, nil
}
