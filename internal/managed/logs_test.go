package managed_test

import (
	"flag"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

var blockedTime = flag.Duration("blocked.time", 3*time.Second, "how long TestServesWithoutALogReader serves")

// sendFailing sends invalid statements one after another for the given time and returns
// their number.
func sendFailing(c *caller, d time.Duration) (sent int) {
	for end := time.Now().Add(d); time.Now().Before(end); sent++ {
		c.query("UNKNOWN " + strings.Repeat("x", 100))
	}
	return sent
}

// Guards against a proxy that stops serving when its log output blocks.
func TestServesWithoutALogReader(t *testing.T) {
	f := newFleet(t, 0)
	reader, pipe := io.Pipe()
	defer reader.Close()
	const queuedLines = 16
	out := telemetry.NewLineWriter(pipe, queuedLines)
	f.logOutput = out
	n := f.start(0)
	c := n.open(t, strictDB)
	c.eventually(5*time.Second, "WRITE a 1")
	for end := time.Now().Add(*blockedTime); time.Now().Before(end); {
		sendFailing(n.open(t, strictDB), 20*time.Millisecond)
		began := time.Now()
		c.mustQuery("READ a")
		assert.Assert(t, time.Since(began) < time.Second)
	}
}

// Guards against request log lines that exceed the byte budget, and against omitted lines
// that are not counted.
func TestRequestLinesStayWithinTheirBytes(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	c := n.open(t, strictDB)
	c.eventually(5*time.Second, "WRITE a 1")
	const budget = 4096
	settings := n.settings
	settings.LogBytesPerSecond = budget
	assert.Assert(t, !n.proxy.Reload(&settings))
	before := len(n.log.find("event=request_failed"))
	began := time.Now()
	sent := sendFailing(n.open(t, strictDB), 2500*time.Millisecond)
	seconds := int(time.Since(began)/time.Second) + 2 // the run starts and ends within a second
	waitFor(t, 15*time.Second, "a summary", func() bool { return len(n.log.find("event=requests_omitted", "code_malformed=")) > 0 })
	lines := n.log.find("event=request_failed")[before:]
	bytes, longest := 0, 0
	for _, line := range lines {
		bytes += len(line)
		longest = max(longest, len(line))
	}
	assert.Assert(t, sent > len(lines), "%d statements, %d lines", sent, len(lines))
	assert.Assert(t, bytes <= seconds*(budget+longest), "%d bytes in %d seconds", bytes, seconds)
}

// Guards against a reload that changes settings which need a restart, or that does not
// report them.
func TestReload(t *testing.T) {
	f := newFleet(t, 1)
	n := f.nodes[0]
	next := n.settings
	next.LogLinesPerSecond, next.LeavingGrace = 5, 9*time.Second
	assert.Assert(t, !n.proxy.Reload(&next))
	assert.Equal(t, len(n.log.find("event=reload", "log_lines_per_second=5", "leaving_grace=9s", "restart_needed=false")), 1)
	next.VM = "other"
	assert.Assert(t, n.proxy.Reload(&next))
	assert.Equal(t, len(n.log.find("event=reload", "vm="+n.settings.VM, "restart_needed=true")), 1)
}
