package proxy

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	platformstandin "skylarkhinge.dev/skylarkhinge/internal/standin/platform"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// fleet runs a group of upstreams, a platform and some proxies in one process.
type fleet struct {
	t         *testing.T
	platform  *platformstandin.Server
	members   []*upstream.Member
	proxies   []*fleetProxy
	document  *config.Document
	upstreams []*platformpb.VM
}

// fleetProxy is a running proxy of a fleet.
type fleetProxy struct {
	*Proxy
	name      string
	client    *metastore.Client
	addresses Addresses
	stop      context.CancelFunc
	serveDone chan struct{}
	state     platformpb.VM_State
}

const testDatabase = "orders"

// newFleet starts three upstreams, a platform and a number of proxies that have
// the test document. All are stopped when the test ends.
func newFleet(t *testing.T, proxies int, options upstream.Options) *fleet {
	t.Helper()
	server, err := platformstandin.Start(platformstandin.Options{})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	options.Name = "u"
	options.Database = testDatabase
	members, err := upstream.StartGroup(3, options)
	assert.NilError(t, err)
	t.Cleanup(func() { upstream.CloseGroup(members) })
	f := &fleet{t: t, platform: server, members: members}
	f.document = f.testDocument()
	for i := range proxies {
		f.startProxy(fmt.Sprintf("p%d", i+1))
	}
	f.publishVMList()
	return f
}

// testDocument has a class for each kind of request that the tests use.
func (f *fleet) testDocument() *config.Document {
	db := config.Database{Name: testDatabase, UpstreamUser: "proxy", DefaultClass: "order"}
	for _, m := range f.members {
		db.Upstreams = append(db.Upstreams, config.Upstream{
			Name: m.Name(), Address: m.Address(), ControlAddress: m.ControlAddress(),
			AvailabilityZone: "a", Slots: 5, Connections: 35,
		})
	}
	second := config.Duration(time.Second)
	timeout := 5 * second
	return &config.Document{
		Service: "shop",
		Ranks: []config.Rank{
			{Name: "checkout", Worth: 100, TargetLatency: second, KeptShare: 0.5},
			{Name: "browsing", Worth: 1, TargetLatency: second, KeptShare: 0.1},
		},
		Classes: []config.Class{
			{Name: "order", Rank: "checkout", Access: config.AccessWrite, Ack: config.AckPrimary, Timeout: timeout, ExpectedCost: second / 1000},
			{Name: "safe-order", Rank: "checkout", Access: config.AccessWrite, Ack: config.AckMajority, Ledger: true, Timeout: timeout, ExpectedCost: second / 1000},
			{Name: "lookup", Rank: "checkout", Access: config.AccessRead, Repeatable: true, Timeout: timeout, ExpectedCost: second / 1000},
			// Requests with short deadlines need a separate class, since the measured
			// cost of a class decides which deadlines it can meet.
			{Name: "late", Rank: "checkout", Access: config.AccessRead, Repeatable: true, Timeout: timeout, ExpectedCost: second / 1000},
			{Name: "browse", Rank: "browsing", Access: config.AccessRead, MaxAge: 10 * second, Repeatable: true, Timeout: timeout, ExpectedCost: second / 1000},
		},
		RetryRatio: 0.2,
		MaxQueued:  1000,
		Databases:  []config.Database{db},
	}
}

// startProxy starts a proxy that has the test document.
func (f *fleet) startProxy(name string) *fleetProxy {
	f.t.Helper()
	p := f.startProxyWithoutDocument(name)
	assert.NilError(f.t, p.PutDocument(f.document, 1))
	return p
}

// startProxyWithoutDocument starts a proxy without a document.
func (f *fleet) startProxyWithoutDocument(name string) *fleetProxy {
	f.t.Helper()
	settings := config.DefaultSettings()
	settings.VM = name
	settings.AvailabilityZone = "a"
	settings.CallerAddress = "127.0.0.1:0"
	settings.PeerAddress = "127.0.0.1:0"
	settings.MetricsAddress = "127.0.0.1:0"
	settings.Seed = 1
	client, err := metastore.NewClient(metastore.DefaultOptions([]string{f.platform.Address()}))
	assert.NilError(f.t, err)
	log := logrus.New()
	log.SetOutput(io.Discard)
	if testing.Verbose() {
		log.SetOutput(testWriter{f.t, name})
	}
	cfg := core.DefaultConfig(entity.VM(name), uint64(time.Now().UnixNano()), 1)
	cfg.Membership.SettleTime = 100 * time.Millisecond
	// Proxies must not suspect each other when the test machine is busy: these
	// tests are about other failures.
	cfg.Membership.SuspectAfter = 3 * time.Second
	p := &fleetProxy{name: name, client: client, serveDone: make(chan struct{}), state: platformpb.VM_STATE_LIVE}
	p.Proxy = New(Options{Settings: &settings, Store: client, Directory: client, Log: log, Core: &cfg})
	ctx, stop := context.WithCancel(context.Background())
	p.stop = stop
	ready := make(chan Addresses, 1)
	go func() {
		defer close(p.serveDone)
		if err := p.Serve(ctx, func(a Addresses) { ready <- a }); err != nil {
			f.t.Error(err)
		}
	}()
	p.addresses = <-ready
	f.t.Cleanup(func() {
		stop()
		<-p.serveDone
		client.Close()
	})
	f.proxies = append(f.proxies, p)
	return p
}

// publishVMList puts all proxies into the platform's list of VMs and passes it to
// them without waiting for their next poll.
func (f *fleet) publishVMList() {
	var list []*platformpb.VM
	for _, p := range f.proxies {
		list = append(list, &platformpb.VM{
			Name: p.name, Address: p.addresses.Peers, AvailabilityZone: "a",
			State: p.state, Role: platformpb.VM_ROLE_PROXY,
		})
	}
	assert.NilError(f.t, f.platform.SetVMs(append(list, f.upstreams...)))
	for _, p := range f.proxies {
		vms, err := p.client.ListVMs(context.Background())
		assert.NilError(f.t, err)
		p.setVMList(vms)
	}
}

// setVMListExcept passes a list of all proxies to each proxy but one, without the
// platform. The excepted proxy has to fetch it from its peers.
func (f *fleet) setVMListExcept(except *fleetProxy) {
	list := metastore.VMList{Revision: 1000}
	for _, p := range f.proxies {
		list.VMs = append(list.VMs, metastore.VM{
			Name: p.name, Address: p.addresses.Peers, AvailabilityZone: "a", State: metastore.VMLive, Role: metastore.VMProxy,
		})
	}
	for _, p := range f.proxies {
		if p != except {
			p.setVMList(list)
		}
	}
}

// awaitRevision waits until the service's revision is in force on the proxies.
func (f *fleet) awaitRevision(revision uint64, proxies ...*fleetProxy) {
	f.t.Helper()
	ctx := testContext(f.t)
	for _, p := range proxies {
		for {
			var revisions map[string]uint64
			assert.NilError(f.t, p.runBetweenTicks(ctx, func(n *core.Node) { revisions = n.Revisions() }), p.name)
			if revisions["shop"] >= revision {
				break
			}
			time.Sleep(5 * time.Millisecond)
		}
	}
}

// connect opens a caller connection to a proxy. parameters are the names and
// values of declarations, in turn.
func (f *fleet) connect(p *fleetProxy, parameters ...string) *pgx.Conn {
	f.t.Helper()
	cfg, err := pgx.ParseConfig("postgres://caller@" + p.addresses.Callers + "/" + testDatabase + "?sslmode=disable")
	assert.NilError(f.t, err)
	for i := 0; i+1 < len(parameters); i += 2 {
		cfg.RuntimeParams["skylarkhinge."+parameters[i]] = parameters[i+1]
	}
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	conn, err := pgx.ConnectConfig(ctx, cfg)
	assert.NilError(f.t, err)
	f.t.Cleanup(func() { conn.Close(context.Background()) })
	return conn
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	t.Cleanup(cancel)
	return ctx
}

// testWriter writes log lines to the test's log, with the proxy's name.
type testWriter struct {
	t    *testing.T
	name string
}

func (w testWriter) Write(b []byte) (int, error) {
	w.t.Logf("%s %s", w.name, b)
	return len(b), nil
}
