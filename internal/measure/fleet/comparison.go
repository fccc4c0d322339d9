package fleet

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// ComparisonResult is the cost of one comparison of the documents of two VMs, both
// directions together.
type ComparisonResult struct {
	Documents int
	// EqualBytes is the cost if all documents are equal, DifferentBytes that if one
	// differs, without its value.
	EqualBytes, DifferentBytes int
	// DifferentMessages is the number of requests and replies in the latter case.
	DifferentMessages int
}

// measureComparison compares two VMs with the same documents, then changes one document
// at one VM and compares again.
func measureComparison(documents int) (ComparisonResult, error) {
	result := ComparisonResult{Documents: documents}
	peers := []docsync.Peer{{VM: "proxy-000000", AvailabilityZone: "a"}, {VM: "proxy-000001", AvailabilityZone: "b"}}
	var pair [2]*docsync.Sync
	for i, p := range peers {
		pair[i] = docsync.New(docsync.DefaultConfig(p.VM, p.AvailabilityZone), 1)
		for d := range documents {
			pair[i].StepWatch(0, docsync.Document{Service: fmt.Sprintf("service-%06d", d), Revision: 1})
		}
		pair[i].StepWatchSynced(0)
		pair[i].Tick(0)
		pair[i].Ready()
	}
	// Only the first VM has peers, so only it starts comparisons. The change reaches
	// the second VM before the comparison, so that no announcement is exchanged.
	pair[0].SetPeers(0, peers)
	result.EqualBytes, _ = exchangeBytes(pair, 0)
	pair[1].StepWatch(0, docsync.Document{Service: "service-000001", Revision: 2})
	pair[1].Tick(0)
	pair[1].Ready()
	later := entity.Time(2 * time.Second)
	result.DifferentBytes, result.DifferentMessages = exchangeBytes(pair, later)
	if pair[0].Digest() != pair[1].Digest() {
		return result, fmt.Errorf("comparison of %d documents: the difference was not found", documents)
	}
	return result, nil
}

// exchangeBytes runs one comparison started by the first VM and returns its cost.
func exchangeBytes(pair [2]*docsync.Sync, now entity.Time) (bytes, messages int) {
	pair[0].Tick(now)
	for {
		requests := pair[0].Ready().Requests
		if len(requests) == 0 {
			return bytes, messages
		}
		for _, request := range requests {
			pair[1].StepRequest(now, request)
			bytes += sizeDocumentsRequest(&request)
			messages++
		}
		for _, reply := range pair[1].Ready().Replies {
			bytes += sizeDocumentsReply(&reply)
			messages++
			pair[0].StepReply(now, reply)
		}
	}
}
