package managed

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// fakeUpstream counts its open connections and refuses those beyond limit.
type fakeUpstream struct {
	mu                          sync.Mutex
	limit, open, dials, refused int
	// failEvery makes every such dial fail, 0 none.
	failEvery int
}

type fakeConn struct {
	upstream *fakeUpstream
	identity string
	once     sync.Once
}

func (u *fakeUpstream) Dial(_ context.Context, _ Member, identity string) (UpstreamConn, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.dials++
	if u.failEvery > 0 && u.dials%u.failEvery == 0 {
		return nil, errors.New("connection reset")
	}
	if u.open >= u.limit {
		u.refused++
		return nil, &RefusedError{Code: CodeConnectionLimit}
	}
	u.open++
	return &fakeConn{upstream: u, identity: identity}, nil
}

func (u *fakeUpstream) DecodeStatus(Reply) (Status, error) { return Status{}, nil }

func (c *fakeConn) Send(time.Time, ...Command) error { return nil }
func (c *fakeConn) Receive(time.Time) (Reply, error) { return Reply{}, nil }
func (u *fakeUpstream) counts() (open, refused int) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.open, u.refused
}

func (c *fakeConn) Close() error {
	c.once.Do(func() {
		c.upstream.mu.Lock()
		defer c.upstream.mu.Unlock()
		c.upstream.open--
	})
	return nil
}

// newPoolDatabase returns a database with one member, its primary, and no monitor.
func newPoolDatabase(u *fakeUpstream, share int) (*database, *member) {
	settings := config.DefaultManagedSettings()
	settings.VM = "vm-0"
	log := logrus.New()
	log.SetOutput(io.Discard)
	d := newDatabase(New(Options{Settings: &settings, Protocol: u, Log: log}), "shop")
	m := &member{name: "shop-1", entry: Member{Name: "shop-1", Slots: 100}}
	d.members[m.name], d.primary = m, m
	d.connectionShare, d.sharingProxies, d.sharingInZone = share, 1, 1
	d.setPolicy(flood.Policy{Ranks: []flood.RankPolicy{{Name: "only", KeptShare: 1}}, MaxQueued: 1000})
	d.startScheduler().SetSlots(flood.LanePrimary, share)
	return d, m
}

var poolOrganisations = []organisation.Name{"", "acme", "bolt", "corn", "dawn", "east"}

// runPool acquires and releases connections for random organisations. end decides what
// happens to a permit with a connection.
func runPool(t *testing.T, d *database, share int, end func(*permit, *rand.Rand)) {
	var wait sync.WaitGroup
	for w := range 12 {
		random := rand.New(rand.NewPCG(uint64(w), 7))
		wait.Go(func() {
			for range 300 {
				key := poolKey{organisation: poolOrganisations[random.IntN(len(poolOrganisations))]}
				key.anyOrganisation = random.IntN(10) == 0
				p, refusal := d.acquire(flood.LanePrimary, 0, now().Add(time.Minute), key)
				if refusal != nil {
					t.Errorf("refused: %s", refusal.Reason)
					return
				}
				d.mu.Lock()
				if d.members["shop-1"].openConns > share {
					t.Errorf("%d connections", d.members["shop-1"].openConns)
				}
				d.mu.Unlock()
				if random.IntN(20) == 0 {
					d.cancelPermit(p)
					continue
				}
				if p.connect(now().Add(time.Second)) != nil {
					d.endPermit(p, false)
					continue
				}
				identity := p.conn.upstream.(*fakeConn).identity
				if !key.anyOrganisation && identity != string(key.organisation) {
					t.Errorf("%q runs on a connection of %q", key.organisation, identity)
				}
				end(p, random)
			}
		})
	}
	wait.Wait()
}

// assertAccounted checks that the number of connections in use, all of them idle, equals
// the number that the upstream sees.
func assertAccounted(t *testing.T, d *database, m *member, u *fakeUpstream) {
	t.Helper()
	deadline := time.Now().Add(5 * time.Second)
	for {
		d.mu.Lock()
		counted, idle := m.openConns, len(m.idleConns)
		d.mu.Unlock()
		open, _ := u.counts()
		if counted == idle && idle == open {
			return
		}
		assert.Assert(t, time.Now().Before(deadline), "%d connections counted, %d idle, %d open at the upstream", counted, idle, open)
		time.Sleep(5 * time.Millisecond) // connections are closed in the background
	}
}

// Guards against a connection of another organisation, against a connection that is opened
// before the one that it replaces is closed, and against a wrong count of connections.
func TestPoolOfOrganisations(t *testing.T) {
	const share = 4
	u := &fakeUpstream{limit: share}
	d, m := newPoolDatabase(u, share)
	runPool(t, d, share, func(p *permit, _ *rand.Rand) { d.endPermit(p, true) })
	assertAccounted(t, d, m, u)
	_, refused := u.counts()
	assert.Equal(t, refused, 0, "of %d", u.dials)
}

// Guards against a wrong count of connections after failures.
func TestPoolOfOrganisationsWithFailures(t *testing.T) {
	const share = 4
	u := &fakeUpstream{limit: share + reservedConnections, failEvery: 250}
	d, m := newPoolDatabase(u, share)
	runPool(t, d, share, func(p *permit, random *rand.Rand) { d.endPermit(p, random.IntN(5) > 0) })
	assertAccounted(t, d, m, u)
}

// Guards against a request that is queued again without a pause while its organisation has
// no connection and the member refuses new ones.
func TestRefusedConnectionsDoNotSpin(t *testing.T) {
	const share, wait = 2, 300 * time.Millisecond
	u := &fakeUpstream{limit: share}
	d, m := newPoolDatabase(u, share)
	var permits [share]*permit
	for i := range permits {
		permits[i], _ = d.acquire(flood.LanePrimary, 0, now().Add(time.Second), poolKey{organisation: "acme"})
		assert.NilError(t, permits[i].connect(now().Add(time.Second)))
	}
	for _, p := range permits {
		d.endPermit(p, true)
	}
	d.mu.Lock()
	m.noNewConnsUntil = now().Add(time.Minute)
	m.noReplacementUntil = m.noNewConnsUntil
	before := d.lastHandle
	d.mu.Unlock()
	began := time.Now()
	p, refusal := d.acquire(flood.LanePrimary, 0, now().Add(wait), poolKey{organisation: "bolt"})
	assert.Assert(t, p == nil && refusal != nil)
	assert.Assert(t, time.Since(began) >= wait/2, "%s", time.Since(began))
	assert.Assert(t, int(d.lastHandle-before) <= 1+int(wait/deferInterval), "%d tries", d.lastHandle-before)
	// Its own organisation is still served.
	own, refusal := d.acquire(flood.LanePrimary, 0, now().Add(wait), poolKey{organisation: "acme"})
	assert.Assert(t, refusal == nil && own.conn != nil)
	d.endPermit(own, true)
}

// Guards against an eviction while a connection of the organisation is idle or there is
// room, and against the eviction of a connection other than the longest idle one.
func TestEvictsTheLongestIdleConnection(t *testing.T) {
	const share = 3
	u := &fakeUpstream{limit: share}
	d, m := newPoolDatabase(u, share)
	use := func(name organisation.Name) {
		p, refusal := d.acquire(flood.LanePrimary, 0, now().Add(time.Second), poolKey{organisation: name})
		assert.Assert(t, refusal == nil)
		assert.NilError(t, p.connect(now().Add(time.Second)))
		d.endPermit(p, true)
	}
	idle := func() (names []organisation.Name) {
		for _, c := range m.idleConns {
			names = append(names, c.organisation)
		}
		return names
	}
	for _, name := range []organisation.Name{"acme", "bolt", "corn", "acme"} {
		use(name)
	}
	assert.DeepEqual(t, idle(), []organisation.Name{"bolt", "corn", "acme"})
	use("dawn")
	assert.DeepEqual(t, idle(), []organisation.Name{"corn", "acme", "dawn"})
	assert.Equal(t, u.dials, 4)
}
