package managed

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// Guards against urgent statements that fill the queue of an upstream through many
// connections, so that the probes of the primary time out and it counts as lost.
func TestUrgentWorkIsBoundedBySlots(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := config.DefaultManagedSettings()
	p := New(Options{Settings: &settings, Log: log})
	d := newDatabase(p, "shop")
	d.setPolicy(policyOf(&Document{Routes: map[string]Route{"orders": {Database: "shop", Rank: 0, TargetLatency: time.Second}}}))
	d.share, d.proxies, d.neighbours = 17, 12, 2
	m := &member{name: "u1", spec: Member{Name: "u1", Slots: 5}}
	d.leader = m
	assert.Equal(t, d.room(m), 1)
	d.scheduler.Offer(now(), flood.Item{Handle: 1, Deadline: now().Add(time.Second), Cost: time.Millisecond})
	assert.Equal(t, d.scheduler.Queued(0), 1)
	inFlight := d.proxies * d.room(m)
	assert.Assert(t, inFlight >= urgentFactor*m.spec.Slots && inFlight < urgentFactor*m.spec.Slots+d.proxies, "%d in flight", inFlight)
	d.share = 2
	assert.Equal(t, d.room(m), 2)
}
