package model

import (
	"bytes"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/trace"
)

// Guards against a decision core that depends on anything but its inputs, and against
// violated guarantees that are visible in the inputs and outputs of a single node.
func TestTracesReplayAndHold(t *testing.T) {
	w := New(Olarizu(3))
	traces := make([]bytes.Buffer, len(w.Proxies))
	recorders := make([]*trace.Recorder, len(w.Proxies))
	for i, p := range w.Proxies {
		r, err := trace.NewRecorder(&traces[i], p.Config)
		assert.NilError(t, err)
		recorders[i] = r
		p.Record = r.Tick
	}
	w.Run(3 * time.Second)
	l := StartLoad(w, DefaultLoad(20))
	w.Run(time.Second)
	owner := w.owner()
	w.Members[0].Kill()
	w.Run(2 * time.Second)
	owner.ResetConnections(w.Members[1])
	w.Run(time.Second)
	owner.Kill()
	w.Run(2 * time.Second)
	endAndCheck(t, w, l)
	for i, r := range recorders {
		assert.NilError(t, r.Flush())
		checker := trace.NewChecker()
		assert.NilError(t, trace.Replay(bytes.NewReader(traces[i].Bytes()), checker.Visit))
		for _, v := range checker.Violations() {
			t.Errorf("%s: %v", w.Proxies[i].Name(), v)
		}
	}
}
