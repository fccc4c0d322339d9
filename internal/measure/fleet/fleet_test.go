package fleet

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Targets of docs/design.md. Bytes are per second and VM, memory is in bytes.
const (
	targetApplyTimeSmall = 5 * time.Second
	targetApplyTime      = 11 * time.Second
	targetBytesPerSecond = 26_000
	targetMemory         = 64 << 20
	targetDetection      = time.Second
)

// Guards against changes to the core that miss the design's targets for document
// propagation, control traffic, memory or the detection of a dead VM.
func TestTargets(t *testing.T) {
	report, err := run(1, []int{9, 40, 100}, []int{15000}, 6*time.Second)
	assert.NilError(t, err)
	assert.NilError(t, report.WriteMarkdown(os.Stdout))
	for _, s := range report.Sizes {
		limit := targetApplyTime
		if s.VMs <= 9 {
			limit = targetApplyTimeSmall
		}
		assert.Assert(t, s.ApplyTime > 0 && s.ApplyTime <= limit)
		assert.Assert(t, s.ApplyTimeOutsideCut > 0 && s.ApplyTimeOutsideCut <= limit)
		assert.Assert(t, s.ApplyTimeZoneCut > 0 && s.ApplyTimeZoneCut <= targetApplyTime)
		assert.Assert(t, s.CatchUp <= targetApplyTime)
		assert.Equal(t, s.NeverApplied, 0)
		assert.Assert(t, s.LargestSent <= targetBytesPerSecond && s.LargestReceived <= targetBytesPerSecond)
		assert.Assert(t, s.Detection <= targetDetection)
		assert.Equal(t, s.WithoutOwner, 0)
		assert.Assert(t, s.Watchers <= 2*s.Zones)
	}
	// A VM takes part in two comparisons per second, as requester and as replier.
	assert.Assert(t, 2*report.Comparisons[0].DifferentBytes <= targetBytesPerSecond)
	tables, documents := report.Tables[len(report.Tables)-1], report.Documents[0]
	assert.Assert(t, tables.Bytes+documents.Bytes <= targetMemory)
}
