package managed_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// lineLog keeps log lines for tests.
type lineLog struct {
	mu    sync.Mutex
	lines []string
}

func (l *lineLog) Write(line []byte) (int, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, strings.TrimSpace(string(line)))
	return len(line), nil
}

func (l *lineLog) find(parts ...string) []string {
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

// fleet is one group with its store and some proxies.
type fleet struct {
	t       testing.TB
	group   *standin.Group
	store   *standin.Store
	version int
	// connections is the limit of one upstream, as the configuration tells it.
	connections int
	routes      []map[string]any
	nodes       []*node
}

type node struct {
	proxy   *managed.Proxy
	address string
	log     *lineLog
	done    chan error
	// stop ends the proxy at once, with the connections of its callers.
	stop func()
	// conns are the accepted connections.
	mu    sync.Mutex
	conns []net.Conn
}

// Names that callers use for the three kinds of routes.
const (
	strictDB  = "orders"
	boundedDB = "catalog"
	sessionDB = "dispatch"
)

func newFleet(t testing.TB, proxies int) *fleet {
	t.Helper()
	group, err := standin.NewGroup("shop", "zone-0", "zone-1", "zone-2")
	assert.NilError(t, err)
	f := &fleet{t: t, group: group, store: standin.NewStore(group), connections: 34}
	f.routes = []map[string]any{
		route(strictDB, "primary", 0, 500),
		route(boundedDB, "bounded_staleness", 2, 1000),
		route(sessionDB, "read_your_writes", 1, 1000),
	}
	f.configure()
	for i := range proxies {
		f.nodes = append(f.nodes, f.start(i))
	}
	t.Cleanup(f.close)
	return f
}

func route(host, kind string, priority, target int) map[string]any {
	return map[string]any{
		"name": "r-" + host, "host": host, "prefix": "/", "kind": kind, "timeout_ms": 1000,
		"target_latency_ms": target, "priority": priority, "service": "shop", "max_attempts": 2, "max_staleness_ms": 1000,
	}
}

// configure writes the routes as the next version.
func (f *fleet) configure() {
	f.version += 3
	text, err := json.Marshal(map[string]any{
		"version": f.version, "routes": f.routes,
		"services": []any{map[string]any{"name": "shop", "max_connections": f.connections, "sync_replicas": 1}},
		"limits":   map[string]any{"tx_idle_ms": 3000},
	})
	assert.NilError(f.t, err)
	f.store.Put("op/config", text)
}

func (f *fleet) start(i int) *node {
	settings := config.DefaultManagedSettings()
	settings.VM = fmt.Sprintf("vm-%d", i)
	settings.AvailabilityZone, settings.Region = fmt.Sprintf("zone-%d", i%3), fmt.Sprintf("region-%d", i%3)
	settings.LogLinesPerSecond = 1000
	peers, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(f.t, err)
	settings.PeerAddress = peers.Addr().String()
	status := httptest.NewUnstartedServer(nil)
	settings.MetricsAddress = status.Listener.Addr().String()
	lines := &lineLog{}
	log := logrus.New()
	log.SetOutput(lines)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true})
	n := &node{log: lines, done: make(chan error, 1)}
	n.proxy = managed.New(managed.Options{
		Settings: &settings, Store: platform.NewStore(f.store.AddressFor(settings.VM)), Protocol: platform.Lines{VM: settings.VM},
		Promoter: platform.NewPromotions(f.store.Address()), Documents: platform.NewDocuments(), NewCaller: n.accept, Log: log,
		Regions: map[string]string{"zone-0": "region-0", "zone-1": "region-1", "zone-2": "region-2"},
	})
	status.Config.Handler = http.HandlerFunc(n.proxy.ServeDocument)
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

// accept keeps an accepted connection, so that stop can close it.
func (n *node) accept(conn net.Conn) managed.Caller {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.conns = append(n.conns, conn)
	return platform.NewCaller(conn)
}

func (f *fleet) close() {
	f.store.Close()
	f.group.Close()
}

// caller is a test's connection to a proxy.
type caller struct {
	t      testing.TB
	conn   net.Conn
	reader *bufio.Reader
	ids    int
	name   string
}

func (n *node) connect(t testing.TB, database string) *caller {
	t.Helper()
	conn, err := net.Dial("tcp4", n.address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	c := &caller{t: t, conn: conn, reader: bufio.NewReader(conn), name: conn.LocalAddr().String()}
	assert.NilError(t, conn.SetDeadline(time.Now().Add(20*time.Second)))
	c.send("START " + database + " u1")
	return c
}

// open connects and expects the session to be accepted.
func (n *node) open(t testing.TB, database string) *caller {
	t.Helper()
	c := n.connect(t, database)
	assert.Equal(t, c.line(), "READY I -")
	return c
}

func (c *caller) send(line string) {
	_, err := io.WriteString(c.conn, line+"\r\n")
	assert.NilError(c.t, err)
}

func (c *caller) line() string {
	c.t.Helper()
	line, err := c.reader.ReadString('\n')
	assert.NilError(c.t, err)
	return strings.TrimSuffix(line, "\r\n")
}

// result is the answer to one statement.
type result struct {
	id    string
	rows  []string
	code  string
	text  string
	sign  string
	state string
}

func (c *caller) nextID() string {
	c.ids++
	return fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, ":", "-"), c.ids)
}

func (c *caller) query(text string) result {
	c.t.Helper()
	r := result{id: c.nextID()}
	c.send("QUERY " + r.id + " " + text)
	for {
		word, rest, _ := strings.Cut(c.line(), " ")
		switch word {
		case "DATAROW":
			r.rows = append(r.rows, rest)
		case "COMPLETE":
			r.sign = rest
		case "ERROR":
			r.code, r.text, _ = strings.Cut(rest, " ")
		case "READY":
			r.state = rest
			return r
		}
	}
}

// ok runs a statement that has to succeed.
func (c *caller) ok(text string) result {
	c.t.Helper()
	r := c.query(text)
	assert.Equal(c.t, r.code, "", "%s: %s", text, r.text)
	return r
}

// eventually repeats a statement until it succeeds.
func (c *caller) eventually(limit time.Duration, text string) result {
	c.t.Helper()
	end := time.Now().Add(limit)
	for {
		r := c.query(text)
		if r.code == "" || time.Now().After(end) {
			assert.Equal(c.t, r.code, "", "%s: %s", text, r.text)
			return r
		}
		time.Sleep(20 * time.Millisecond)
	}
}

func waitFor(t testing.TB, limit time.Duration, what string, ok func() bool) {
	t.Helper()
	for end := time.Now().Add(limit); !ok(); time.Sleep(10 * time.Millisecond) {
		assert.Assert(t, time.Now().Before(end), "not within %s: %s", limit, what)
	}
}

// runsOf returns the runs of a caller's statements.
func (f *fleet) runsOf(c *caller) []standin.Run {
	var runs []standin.Run
	for _, r := range f.group.Runs() {
		if strings.HasPrefix(r.ID, strings.ReplaceAll(c.name, ":", "-")+"-") {
			runs = append(runs, r)
		}
	}
	return runs
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
