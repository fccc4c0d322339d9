package managed

import (
	"io"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// pacedDatabase returns a database with one listed replica, shared by the given number of
// proxies, and a function that lists a member.
func pacedDatabase(enabled bool, proxies int) (d *database, list func(name entity.Upstream, incarnation int64) *member) {
	log := logrus.New()
	log.SetOutput(io.Discard)
	settings := config.DefaultManagedSettings()
	settings.UpstreamPace = enabled
	d = newDatabase(New(Options{Settings: &settings, Log: log}), "shop")
	d.setPolicy(schedulingPolicy(&Document{Routes: map[string]Route{"orders": {Database: "shop", Rank: 0, TargetLatency: time.Second}}}))
	d.limits.Connections = 61
	list = func(name entity.Upstream, incarnation int64) *member {
		d.putMember(Member{Name: name, Slots: 5, Incarnation: incarnation}, 0, Revision{})
		d.sharingProxies, d.sharingInZone = proxies, proxies
		return d.members[name]
	}
	list("u1", 1)
	return d, list
}

// Guards against a proxy that starts and takes all members for members that start, against
// a start, a restart or a promotion without a limit, and against a limit without the setting.
func TestWhenALimitBegins(t *testing.T) {
	d, list := pacedDatabase(true, 1)
	known := d.members["u1"]
	assert.Equal(t, d.maxInFlight(known), 10)
	d.proxy.firstListingDone.Store(true)
	assert.Equal(t, d.maxInFlight(list("u2", 1)), 3)
	assert.Equal(t, d.maxInFlight(list("u1", 2)), 3)
	d.setPrimary(list("u3", 1), 1, "test")
	assert.Assert(t, !known.pace.limit.Ended(now()))
	known.pace.active = false
	d.setPrimary(known, 2, "test")
	assert.Equal(t, d.maxInFlight(known), 3)
	assert.Equal(t, d.sample().Limits.Primary, 3)

	d, list = pacedDatabase(false, 1)
	d.proxy.firstListingDone.Store(true)
	assert.Equal(t, d.maxInFlight(list("u2", 1)), 10)
	assert.Equal(t, d.maxInFlight(list("u1", 2)), 10)
	d.setPrimary(d.members["u1"], 1, "test")
	d.setPrimary(d.members["u2"], 2, "test")
	assert.Equal(t, d.maxInFlight(d.members["u2"]), 10)
	assert.Assert(t, d.sample().Limits == nil)
}

// Guards against reads that wait for the nearest member while it is limited and a peer has
// room, and against a failed replica that gets more than one statement until it answers.
func TestReadsGoToPeersOfALimitedMember(t *testing.T) {
	d, list := pacedDatabase(true, 1)
	near := d.members["u1"]
	far := list("u2", 1)
	far.distance, near.latency, far.latency = 2, 30*time.Millisecond, 30*time.Millisecond
	near.inFlight = 1
	assert.Equal(t, d.chooseReader(now(), &ownWork), near)
	near.recordLostReply(now())
	near.pauseUntil = 0
	assert.Equal(t, d.maxInFlight(near), 1)
	assert.Equal(t, d.chooseReader(now(), &ownWork), far)
	near.clearFailures()
	assert.Equal(t, d.maxInFlight(near), 3)
	assert.Equal(t, d.chooseReader(now(), &ownWork), near)
	near.inFlight = 3
	assert.Equal(t, d.chooseReader(now(), &ownWork), far)
}

// Guards against allocations that the limit adds to each statement.
func TestLimitTakesNoAllocations(t *testing.T) {
	run := func(enabled bool) float64 {
		d, list := pacedDatabase(enabled, 1)
		d.proxy.firstListingDone.Store(true)
		m := list("u2", 1)
		d.setPrimary(m, 1, "test")
		conn := &memberConn{member: m, pooled: true}
		m.openConns, m.idleConns = 1, []*memberConn{conn}
		return testing.AllocsPerRun(1000, func() {
			p, refusal := d.acquire(flood.LanePrimary, 0, now().Add(time.Second), poolKey{})
			assert.Assert(t, refusal == nil)
			p.result = resultServed
			d.endPermit(p, true)
		})
	}
	assert.Equal(t, run(true), run(false))
}

// Guards against urgent statements at the primary that wait for less urgent ones because of
// the limit, and against a limit below one statement per gateway.
func TestLimitDoesNotHoldUrgentWorkBack(t *testing.T) {
	d, list := pacedDatabase(true, 15)
	d.proxy.firstListingDone.Store(true)
	m := list("u2", 1)
	d.setPrimary(m, 1, "test")
	assert.Assert(t, m.pace.active)
	assert.Equal(t, d.maxInFlight(m), 1)
	m.pace.granted(&permit{item: flood.Item{Rank: 2}})
	m.inFlight++
	d.startScheduler().Offer(now(), flood.Item{Handle: 1, Deadline: now().Add(time.Second), Cost: time.Millisecond})
	assert.Equal(t, d.scheduler.Queued(0), 1)
	assert.Equal(t, d.maxInFlight(m), 2)
}
