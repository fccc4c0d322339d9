package managed_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
	"skylarkhinge.dev/skylarkhinge/platform"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// logRecorder keeps the log lines of a proxy.
type logRecorder struct {
	mu    sync.Mutex
	lines []string
}

func (l *logRecorder) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, strings.TrimSpace(string(line)))
	return len(line), nil
}

// find returns the lines that contain all parts.
func (l *logRecorder) find(parts ...string) []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found []string
	for _, line := range l.lines {
		all := true
		for _, part := range parts {
			all = all && strings.Contains(line, part)
		}
		if all {
			found = append(found, line)
		}
	}
	return found
}

// fleet is one database group with its store and a number of proxies.
type fleet struct {
	t       testing.TB
	group   *standin.Group
	store   *standin.Store
	version int
	// connections is the configured connection limit of each upstream.
	connections int
	routes      []standin.Route
	nodes       []*node
	// observed enables metrics and the recording of callers' messages at proxies started
	// later.
	observed bool
	// adjust changes the settings of proxies started later, if set.
	adjust func(*config.ManagedSettings)
	// upstreamPace is the setting of that name of proxies started later.
	upstreamPace bool
	// linkBandwidth is the bandwidth in bytes a second of the links of proxies started later, in
	// each direction; 0 means no limit.
	linkBandwidth int
	// logOutput replaces the log output of proxies started later, if set.
	logOutput io.Writer
}

// node is one proxy of a fleet.
type node struct {
	proxy    *managed.Proxy
	metrics  *telemetry.Metrics
	settings config.ManagedSettings
	address  string
	log      *logRecorder
	// frozen makes the proxy stop reading from callers and from other proxies.
	frozen atomic.Bool
	// ignorePeers makes the proxy leave HTTP requests of other proxies unanswered.
	ignorePeers atomic.Bool
	// cut makes HTTP requests of the proxy to other proxies fail.
	cut atomic.Bool
	// announcementsLost leaves announcements of the proxy without an answer.
	announcementsLost atomic.Bool
	done              chan error
	// stop ends the proxy at once and closes its callers' connections.
	stop      func()
	recording bool
	// mu guards conns, the accepted connections, and received, what was read from them if
	// recording is set.
	mu       sync.Mutex
	conns    []net.Conn
	received []byte
}

// Database names of the routes, one per consistency level.
const (
	strictDB  = "orders"
	boundedDB = "catalog"
	sessionDB = "dispatch"
)

func newFleet(t testing.TB, proxies int) *fleet {
	t.Helper()
	return newReplacementFleet(t, proxies, 0)
}

// newReplacementFleet returns a fleet with a number of upstreams that are not in use yet, beside
// those of newFleet. addReplacement puts one into use.
func newReplacementFleet(t testing.TB, proxies, replacements int) *fleet {
	t.Helper()
	zones := []string{"zone-0", "zone-1", "zone-2"}
	for i := range replacements {
		zones = append(zones, zones[i])
	}
	group, err := standin.NewGroup("shop", zones...)
	assert.NilError(t, err)
	for i := range replacements {
		m := group.Member(groupSize + i)
		m.SetListed(false)
		m.SetReplicationStopped(true)
	}
	f := &fleet{t: t, group: group, store: standin.NewStore(group), connections: 34}
	f.routes = []standin.Route{
		route(strictDB, managed.StrictConsistency, 0, 500*time.Millisecond),
		route(boundedDB, managed.BoundedStaleness, 2, time.Second),
		route(sessionDB, managed.SessionConsistency, 1, time.Second),
	}
	f.configure()
	for i := range proxies {
		f.nodes = append(f.nodes, f.start(i))
	}
	t.Cleanup(f.close)
	return f
}

// groupSize is the number of upstreams in use at the start of a test.
const groupSize = 3

// addReplacement puts an upstream into use that replaces another one. It receives the log first.
func (f *fleet) addReplacement(m *standin.Member) {
	m.SetReplicationStopped(false)
	m.SetListed(true)
}

// write makes writes at a proxy until the returned function is called.
func (f *fleet) write(n *node) (stop func()) {
	c := n.open(f.t, strictDB)
	ending, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		for i := 0; ; i++ {
			select {
			case <-ending:
				return
			case <-time.After(2 * time.Millisecond):
			}
			if _, err := c.try(fmt.Sprintf("WRITE item-%d v", i)); err != nil {
				return
			}
		}
	}()
	return func() {
		close(ending)
		<-ended
	}
}

// route returns a route with the given consistency, rank and target latency.
func route(name string, consistency managed.Consistency, rank int, target time.Duration) standin.Route {
	return standin.Route{Name: name, Consistency: consistency, Rank: rank, TargetLatency: target}
}

// configure writes the current routes as a new configuration version.
func (f *fleet) configure() {
	f.version += 3
	assert.NilError(f.t, f.store.Configure(f.version, f.group.Name, f.connections, f.routes))
}

// start starts the proxy vm-i.
func (f *fleet) start(i int) *node {
	settings := config.DefaultManagedSettings()
	settings.VM = fmt.Sprintf("vm-%d", i)
	settings.AvailabilityZone, settings.Region = fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("region-%d", i%3)
	settings.LogLinesPerSecond, settings.LogBytesPerSecond = 1000, 1<<20
	settings.UpstreamPace = f.upstreamPace
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	settings.PeerAddress = peers.Addr().String()
	status := httptest.NewUnstartedServer(nil)
	if outgoing := f.newLink(); outgoing != nil {
		status.Listener = outgoing.Listener(status.Listener)
	}
	settings.MetricsAddress = status.Listener.Addr().String()
	if f.adjust != nil {
		f.adjust(&settings)
	}
	lines := &logRecorder{}
	log := logrus.New()
	log.SetOutput(lines)
	if f.logOutput != nil {
		log.SetOutput(f.logOutput)
	}
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	n := &node{settings: settings, log: lines, done: make(chan error, 1)}
	n.proxy = managed.New(managed.Options{
		Settings: &settings, Store: platform.NewStoreClient(f.store.AddressFor(settings.VM, f.newLink())), Protocol: platform.LineProtocol{VM: settings.VM},
		Promoter: platform.NewPromotionClient(f.store.Address()), Peers: &cuttablePeers{platform.NewPeerClient(), n}, NewCaller: n.accept, Log: log,
		Regions: map[string]string{"zone-0": "region-0", "zone-1": "region-1", "zone-2": "region-2"},
	})
	if n.recording = f.observed; f.observed {
		n.metrics, err = n.proxy.EnableMetrics()
		assert.NilError(f.t, err)
	}
	mux := http.NewServeMux()
	mux.HandleFunc(managed.DocumentPath, n.proxy.ServeDocument)
	mux.HandleFunc(managed.ChangesPath, n.proxy.ServeChanges)
	mux.HandleFunc(managed.TakeoverPath, n.proxy.ServeTakeover)
	if quotas := n.proxy.QuotaHandler(); quotas != nil {
		mux.Handle(managed.QuotaPath, quotas)
	}
	status.Config.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if n.ignorePeers.Load() {
			<-r.Context().Done()
			return
		}
		mux.ServeHTTP(w, r)
	})
	status.Start()
	f.t.Cleanup(status.Close)
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	n.address = listener.Addr().String()
	ctx, cancel := context.WithCancel(context.Background())
	f.t.Cleanup(cancel)
	f.showLog(n)
	n.stop = func() {
		cancel()
		<-n.done
		n.mu.Lock()
		defer n.mu.Unlock()
		for _, conn := range n.conns {
			_ = conn.Close()
		}
	}
	go func() { n.done <- n.proxy.Serve(ctx, listener, peers) }()
	return n
}

// newLink returns a link of linkBandwidth, nil if that is not limited.
func (f *fleet) newLink() *standin.Link {
	if f.linkBandwidth == 0 {
		return nil
	}
	return standin.NewLink(f.linkBandwidth)
}

// cuttablePeers fails while its proxy is cut off.
type cuttablePeers struct {
	managed.Peers
	node *node
}

func (p *cuttablePeers) Document(ctx context.Context, address string, have uint64) (managed.PeerDocument, error) {
	if p.node.cut.Load() {
		return managed.PeerDocument{}, net.ErrClosed
	}
	return p.Peers.Document(ctx, address, have)
}

func (p *cuttablePeers) Announce(ctx context.Context, address string, a managed.Announcement) (managed.AnnouncementReply, error) {
	if p.node.cut.Load() {
		return managed.AnnouncementReply{}, net.ErrClosed
	}
	if p.node.announcementsLost.Load() {
		<-ctx.Done()
		return managed.AnnouncementReply{}, ctx.Err()
	}
	return p.Peers.Announce(ctx, address, a)
}

func (p *cuttablePeers) Changes(ctx context.Context, address string, poll managed.Poll) (managed.PeerChanges, error) {
	if p.node.cut.Load() {
		return managed.PeerChanges{}, net.ErrClosed
	}
	return p.Peers.Changes(ctx, address, poll)
}

// accept records an accepted connection, so that stop can close it.
func (n *node) accept(conn net.Conn) managed.CallerConn {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conn)
	return platform.NewCaller(&freezingConn{conn, n})
}

// freezingConn delays the result of Read while its proxy is frozen.
type freezingConn struct {
	net.Conn
	node *node
}

func (c *freezingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	for c.node.frozen.Load() {
		time.Sleep(5 * time.Millisecond)
	}
	if c.node.recording {
		c.node.mu.Lock()
		defer c.node.mu.Unlock()
		c.node.received = append(c.node.received, b[:n]...)
	}
	return n, err
}

func (f *fleet) close() {
	f.store.Close()
	f.group.Close()
}

// caller is a test client's session at a proxy, using the production upstream protocol.
type caller struct {
	t              testing.TB
	conn           managed.UpstreamConn
	statementCount int
	name           string
}

// callers numbers the sessions of all tests.
var callers atomic.Int64

// callerTimeout bounds each wait of a test client.
const callerTimeout = 20 * time.Second

// connect opens a session. refused is set if the proxy rejected it. Other errors fail the
// test.
func (n *node) connect(t testing.TB, database string) (c *caller, refused *managed.RefusedError) {
	t.Helper()
	return n.connectAs(t, database, "")
}

// connectAs opens a session with a key.
func (n *node) connectAs(t testing.TB, database, key string) (c *caller, refused *managed.RefusedError) {
	t.Helper()
	c, refused, err := n.dialAs(t, database, key)
	assert.NilError(t, err)
	return c, refused
}

// dial opens a session and returns connection errors, for a proxy that may have stopped.
func (n *node) dial(t testing.TB, database string) (*caller, *managed.RefusedError, error) {
	return n.dialAs(t, database, "")
}

func (n *node) dialAs(t testing.TB, database, key string) (*caller, *managed.RefusedError, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callerTimeout)
	defer cancel()
	conn, err := platform.LineProtocol{VM: "u1"}.Dial(ctx, managed.Member{Database: entity.Database(database), Address: n.address}, key)
	var refused *managed.RefusedError
	if errors.As(err, &refused) {
		return nil, refused, nil
	}
	if err != nil {
		return nil, nil, err
	}
	t.Cleanup(func() { _ = conn.Close() })
	return &caller{t: t, conn: conn, name: fmt.Sprintf("c%d", callers.Add(1))}, nil, nil
}

// accepts reports whether the proxy accepts a session for a database.
func (n *node) accepts(t testing.TB, database string) bool {
	t.Helper()
	_, refused := n.connect(t, database)
	return refused == nil
}

// open opens a session and fails the test if it is rejected.
func (n *node) open(t testing.TB, database string) *caller {
	t.Helper()
	return n.openAs(t, database, "")
}

// openAs opens a session with a key and fails the test if it is rejected.
func (n *node) openAs(t testing.TB, database, key string) *caller {
	t.Helper()
	c, refused := n.connectAs(t, database, key)
	if refused != nil {
		t.Fatalf("session for %s: %v", database, refused)
	}
	return c
}

// result is the result of one statement.
type result struct {
	id    string
	rows  []string
	code  managed.Code
	text  string
	state managed.TransactionState
}

func (c *caller) query(text string) result {
	c.t.Helper()
	r, err := c.try(text)
	assert.NilError(c.t, err)
	return r
}

// try runs a statement. The error means that the session ended without a reply.
func (c *caller) try(text string) (result, error) {
	c.statementCount++
	id := fmt.Sprintf("%s-%d", c.name, c.statementCount)
	if err := c.conn.Send(time.Now().Add(callerTimeout), managed.Command{Kind: managed.CommandStatement, ID: id, Text: text}); err != nil {
		return result{id: id}, err
	}
	reply, err := c.conn.Receive(time.Now().Add(callerTimeout))
	if err != nil {
		return result{id: id}, err
	}
	return result{id: id, rows: reply.Rows, code: reply.Code, text: reply.Text, state: reply.State}, nil
}

// awaitClose waits until the proxy closes the session and returns the code it sent.
func (c *caller) awaitClose() managed.Code {
	c.t.Helper()
	reply, err := c.conn.Receive(time.Now().Add(callerTimeout))
	assert.ErrorContains(c.t, err, "EOF")
	return reply.Code
}

// mustQuery runs a statement and fails the test if it returns an error.
func (c *caller) mustQuery(text string) result {
	c.t.Helper()
	r := c.query(text)
	assert.Equal(c.t, r.code, managed.CodeNone, "%s: %s", text, r.text)
	return r
}

// eventually repeats a statement until it succeeds or the limit expires.
func (c *caller) eventually(limit time.Duration, text string) result {
	c.t.Helper()
	end := time.Now().Add(limit)
	for {
		r := c.query(text)
		if r.code == managed.CodeNone || time.Now().After(end) {
			assert.Equal(c.t, r.code, managed.CodeNone, "%s: %s", text, r.text)
			return r
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// waitFor polls ok until it returns true, and fails the test after limit.
func waitFor(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not within %s: %s", limit, what)
	}
}

// executionsOf returns the executions of a caller's statements at the upstreams.
func (f *fleet) executionsOf(c *caller) []standin.Execution {
	var executions []standin.Execution
	for _, r := range f.group.Executions() {
		if strings.HasPrefix(r.ID, c.name+"-") {
			executions = append(executions, r)
		}
	}
	return executions
}

// showLog prints a proxy's log if the test failed.
func (f *fleet) showLog(n *node) {
	f.t.Cleanup(func() {
		if f.t.Failed() {
			n.log.mu.Lock()
			defer n.log.mu.Unlock()
			for _, line := range n.log.lines {
				f.t.Log(line)
			}
		}
	})
}
