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

// Guards against urgent statements that fill an upstream's queue through many connections:
// status calls to the primary then time out and it is considered lost.
func TestUrgentWorkIsBoundedBySlots(t *testing.T) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := config.DefaultManagedSettings()
	p := New(Options{Settings: &settings, Log: log})
	d := newDatabase(p, "shop")
	d.setPolicy(schedulingPolicy(&Document{Routes: map[string]Route{"orders": {Database: "shop", Rank: 0, TargetLatency: time.Second}}}))
	d.connectionShare, d.sharingProxies, d.sharingInZone = 17, 12, 2
	m := &member{name: "u1", entry: Member{Name: "u1", Slots: 5}}
	d.primary = m
	assert.Equal(t, d.maxInFlight(m), 1)
	d.startScheduler().Offer(now(), flood.Item{Handle: 1, Deadline: now().Add(time.Second), Cost: time.Millisecond})
	assert.Equal(t, d.scheduler.Queued(0), 1)
	inFlight := d.sharingProxies * d.maxInFlight(m)
	assert.Assert(t, inFlight >= urgentFactor*m.entry.Slots && inFlight < urgentFactor*m.entry.Slots+d.sharingProxies, "%d in flight", inFlight)
	d.connectionShare = 2
	assert.Equal(t, d.maxInFlight(m), 2)
}
