package fleet

import (
	"fmt"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// BenchmarkHeartbeat measures one heartbeat, its reply and the ticks of both VMs in a
// cell of 16 VMs.
func BenchmarkHeartbeat(b *testing.B) {
	f := newFleet(1, 16, 3, 3)
	for _, inst := range f.instances {
		inst.table = membership.New(membership.DefaultConfig(inst.vm, 1), 1)
		inst.table.Update(0, f.list)
	}
	now, heartbeats := entity.Time(0), 0
	sender := f.instances[0].table
	b.ReportAllocs()
	for b.Loop() {
		for sent := false; !sent; {
			now = max(now+1, sender.NextTick())
			sender.Tick(now)
			for _, r := range sender.Ready().Requests {
				to := f.index[r.To].table
				to.StepHeartbeat(now, r)
				to.Tick(now)
				for _, reply := range to.Ready().Replies {
					if reply.To == f.instances[0].vm {
						sender.StepReply(now, reply)
					}
				}
				sent = true
				heartbeats++
			}
		}
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(heartbeats), "ns/heartbeat")
}

// BenchmarkRelay measures the transfer of one changed document, of 15,000, to one peer:
// the announcement, the request for the value and the value.
func BenchmarkRelay(b *testing.B) {
	peers := []docsync.Peer{{VM: "a", AvailabilityZone: "z"}, {VM: "b", AvailabilityZone: "z"}}
	var syncs [2]*docsync.Sync
	for i, p := range peers {
		syncs[i] = docsync.New(docsync.DefaultConfig(p.VM, "z"), 1)
		for d := range 15000 {
			syncs[i].StepWatch(0, docsync.Document{Service: fmt.Sprint("service-", d), Revision: 1})
			syncs[i].Ready()
		}
		syncs[i].SetPeers(0, peers)
		syncs[i].StepWatchSynced(0)
	}
	now, messages, revision := entity.Time(0), 0, uint64(1)
	b.ReportAllocs()
	for b.Loop() {
		now = now.Add(time.Second)
		revision++
		syncs[0].StepWatch(now, docsync.Document{Service: "service-1", Revision: revision})
		for busy := true; busy; {
			busy = false
			for i, s := range syncs {
				s.Tick(now)
				out := s.Ready()
				for _, r := range out.Requests {
					syncs[1-i].StepRequest(now, r)
				}
				for _, r := range out.Replies {
					syncs[1-i].StepReply(now, r)
				}
				messages += len(out.Requests) + len(out.Replies)
				busy = busy || len(out.Requests)+len(out.Replies) > 0
			}
		}
	}
	if syncs[1].Revision("service-1") != revision {
		b.Fatal("the peer did not receive the changed document")
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(messages), "ns/message")
}

// BenchmarkListUpdate measures the update to a list of 5,000 VMs in which one was
// replaced, and to an unchanged list.
func BenchmarkListUpdate(b *testing.B) {
	f := newFleet(1, 5001, 20, 8)
	lists := [][]membership.ListedVM{f.list[:5000], f.list[1:]}
	table := membership.New(membership.DefaultConfig("proxy-002000", 1), 1)
	b.Run("replaced", func(b *testing.B) {
		b.ReportAllocs()
		for i := 0; b.Loop(); i++ {
			table.Update(1, lists[i%2])
		}
	})
	b.Run("same", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			table.Update(1, lists[0])
		}
	})
}

// BenchmarkRun prints the report of Run. One iteration takes minutes: use
// -benchtime 1x.
func BenchmarkRun(b *testing.B) {
	for b.Loop() {
		report, err := Run(1)
		assert.NilError(b, err)
		assert.NilError(b, report.WriteMarkdown(os.Stdout))
	}
}
