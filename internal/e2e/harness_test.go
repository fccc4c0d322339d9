// Package e2e runs proxies and upstreams as processes on loopback and checks
// the guarantees of docs/design.md, G1 to G9, under failures. The platform and the
// relays run in the test process, since no scenario kills them.
package e2e

import (
	"bytes"
	"context"
	"encoding/json"
	"flag"
	"fmt"
	"net/http"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"google.golang.org/protobuf/encoding/protojson"
	"gotest.tools/v3/assert"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	platformpb "skylarkhinge.dev/skylarkhinge/api/platform/v1"
	"skylarkhinge.dev/skylarkhinge/internal/cli"
	"skylarkhinge.dev/skylarkhinge/internal/standin/demo"
	"skylarkhinge.dev/skylarkhinge/internal/standin/platform"
	"skylarkhinge.dev/skylarkhinge/internal/standin/process"
	"skylarkhinge.dev/skylarkhinge/internal/standin/relay"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

const (
	groupSize  = 3
	proxyCount = 3
	service    = "demo"
	database   = "shop"
	// startTimeout bounds each step of starting a cluster, on a busy machine too.
	startTimeout = 20 * time.Second
	// pollInterval is the interval at which conditions are polled.
	pollInterval = 10 * time.Millisecond
	// maxGap is the maximum time without acknowledgements during a failover, as
	// required by the design.
	maxGap = 3 * time.Second
	// maxDocumentDelay is the maximum time until a document is in force on 9 proxies,
	// as required by the design.
	maxDocumentDelay = 5 * time.Second
)

// programDir is a directory with links to the test binary under the names of the
// programs that it can run as.
var programDir string

func TestMain(m *testing.M) {
	switch filepath.Base(os.Args[0]) {
	case "upstream":
		os.Exit(runUpstream())
	case "skylarkhinge":
		env := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Connect: cli.ConnectGRPC}
		os.Exit(cli.Main(context.Background(), env, os.Args[1:]))
	}
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	var err error
	programDir, err = process.LinkSelf("upstream", "skylarkhinge")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(programDir) }()
	return m.Run()
}

// runUpstream is the main function of an upstream process. It runs until the process is
// killed.
func runUpstream() int {
	options := upstream.Options{MaxConnections: 40, Slots: 5, ServiceTime: 2 * time.Millisecond, Lag: 20 * time.Millisecond}
	flag.StringVar(&options.Name, "name", "", "")
	flag.BoolVar(&options.Primary, "primary", false, "")
	flag.Parse()
	member, err := upstream.Start(options)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	admin, err := member.ServeAdmin("127.0.0.1:0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	fmt.Printf("ready postgres=%s control=%s admin=%s\n", member.Address(), member.ControlAddress(), admin)
	select {}
}

// isolatedProxy is the index of the proxy that a partition isolates with the primary.
// It is the owner: the first proxy in the hash order of the database.
const isolatedProxy = 1

// member is an upstream process.
type member struct {
	*process.Process
	name  string
	admin string
}

// proxy is a proxy process.
type proxy struct {
	*process.Process
	demo.Proxy
	settings string
	log      *bytes.Buffer
}

// cluster is a database group of upstreams, the proxies and the platform.
type cluster struct {
	t        *testing.T
	dir      string
	layout   demo.Layout
	platform *platform.Server
	// majorityPlatform is a second platform, which a partitionable cluster has for
	// the proxies other than isolatedProxy. Its document and its list of VMs have the
	// addresses of other relays.
	majorityPlatform *platform.Server
	members          []*member
	proxies          []*proxy
	// peerRelays are the relays between the proxies of the two sides of a partition.
	peerRelays []*relay.Relay
	// upstreamRelays are the relays between proxies and upstreams, by side and
	// upstream. Each upstream has one for its PostgreSQL port and one for control.
	// Side 0 is that of isolatedProxy; without a partition, it is the only one.
	upstreamRelays [2][groupSize][2]*relay.Relay
}

// topology selects the relays of a cluster.
type topology int

const (
	// direct has no relays.
	direct topology = iota
	// relayed has relays between proxies and upstreams.
	relayed
	// partitionable also has relays between isolatedProxy and the other proxies. Each
	// side has its own relays and its own platform.
	partitionable
)

// startCluster starts the processes and waits until all proxies agree on the owner and
// serve callers.
func startCluster(t *testing.T, kind topology) *cluster {
	t.Helper()
	t.Parallel()
	cl := &cluster{t: t, dir: t.TempDir(), layout: demo.Layout{Service: service, Database: database}}
	cl.platform = cl.startPlatform()
	for i := range groupSize {
		cl.startMember(i)
	}
	cl.connectPeers()
	cl.reserveProxies(kind)
	cl.configure(kind)
	// The documents of the two sides differ but have the same revision. A proxy that
	// got the wrong one from a peer would keep it, so proxies of different sides are
	// kept apart until each has its own.
	cl.cutPeers(true)
	for _, p := range cl.proxies {
		cl.startProxy(p)
	}
	for _, p := range cl.proxies {
		cl.await(startTimeout, "a document at "+p.Name, func() bool {
			answers := cl.status(p)
			return len(answers) == 1 && len(answers[0].Documents) == 1
		})
	}
	cl.cutPeers(false)
	cl.awaitReady(cl.proxies)
	return cl
}

func (cl *cluster) startPlatform() *platform.Server {
	s, err := platform.Start(platform.Options{})
	assert.NilError(cl.t, err)
	cl.t.Cleanup(s.Close)
	return s
}

func (cl *cluster) startMember(i int) {
	m := &member{name: fmt.Sprintf("u%d", i+1)}
	arguments := []string{"--name", m.name}
	if i == 0 {
		arguments = append(arguments, "--primary")
	}
	var err error
	m.Process, err = process.Start(filepath.Join(programDir, "upstream"), os.Stderr, arguments...)
	assert.NilError(cl.t, err)
	cl.t.Cleanup(func() {
		m.Kill()
		m.Wait()
	})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	fields, err := m.AwaitReady(ctx)
	assert.NilError(cl.t, err)
	m.admin = fields["admin"]
	cl.members = append(cl.members, m)
	cl.layout.Upstreams = append(cl.layout.Upstreams, demo.Upstream{Name: m.name, Zone: zone(i), Postgres: fields["postgres"], Control: fields["control"]})
}

func zone(i int) string { return string(rune('a' + i)) }

func (cl *cluster) connectPeers() {
	for i, m := range cl.members {
		form := url.Values{}
		for j, u := range cl.layout.Upstreams {
			if i != j {
				form.Add("peer", u.Control)
			}
		}
		cl.postAdmin(m.admin, "/peers", form)
	}
}

func (cl *cluster) postAdmin(admin, path string, form url.Values) {
	cl.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	assert.NilError(cl.t, process.Post(ctx, admin, path, "application/x-www-form-urlencoded", form.Encode()))
}

func (cl *cluster) startRelay(target string) *relay.Relay {
	r, err := relay.Start(relay.Options{Target: target})
	assert.NilError(cl.t, err)
	cl.t.Cleanup(r.Close)
	return r
}

// reserveProxies adds the proxies to the layout, with free addresses.
func (cl *cluster) reserveProxies(kind topology) {
	for i := range proxyCount {
		addresses, err := process.FreeAddresses(3)
		assert.NilError(cl.t, err)
		p := &proxy{Proxy: demo.Proxy{Name: fmt.Sprintf("p%d", i+1), Zone: zone(i), Callers: addresses[0], Peers: addresses[1], Health: addresses[2]}}
		p.settings = filepath.Join(cl.dir, p.Name+".json")
		cl.proxies = append(cl.proxies, p)
		cl.layout.Proxies = append(cl.layout.Proxies, p.Proxy)
	}
}

// layoutOfSide returns the layout with the addresses that the proxies of a side use.
func (cl *cluster) layoutOfSide(kind topology, side int) *demo.Layout {
	out := cl.layout
	out.Upstreams = append([]demo.Upstream(nil), cl.layout.Upstreams...)
	out.Proxies = append([]demo.Proxy(nil), cl.layout.Proxies...)
	if kind == direct {
		return &out
	}
	for i := range out.Upstreams {
		u := &out.Upstreams[i]
		relays := &cl.upstreamRelays[side][i]
		relays[0], relays[1] = cl.startRelay(u.Postgres), cl.startRelay(u.Control)
		u.Postgres, u.Control = relays[0].Address(), relays[1].Address()
	}
	for i, p := range cl.proxies {
		if kind == partitionable && (i == isolatedProxy) != (side == 0) {
			r := cl.startRelay(p.Peers)
			cl.peerRelays = append(cl.peerRelays, r)
			out.Proxies[i].Peers = r.Address()
		}
	}
	return &out
}

// cutPeers cuts the proxies of the two sides off from each other, or ends that.
func (cl *cluster) cutPeers(on bool) {
	for _, r := range cl.peerRelays {
		r.Blackhole(relay.ScopeAll, on)
	}
}

// configure sets the lists of VMs, stores the documents and writes the settings of the
// proxies.
func (cl *cluster) configure(kind topology) {
	cl.configurePlatform(cl.platform, cl.layoutOfSide(kind, 0))
	if kind == partitionable {
		cl.majorityPlatform = cl.startPlatform()
		cl.configurePlatform(cl.majorityPlatform, cl.layoutOfSide(kind, 1))
	}
	for i, p := range cl.proxies {
		layout := cl.layout
		layout.Platform = cl.platform.Address()
		if i != isolatedProxy && cl.majorityPlatform != nil {
			layout.Platform = cl.majorityPlatform.Address()
		}
		text, err := layout.Render("settings.json.tmpl", p.Name)
		assert.NilError(cl.t, err)
		text = strings.Replace(text, `"drain_timeout": "3s"`, `"drain_timeout": "1s"`, 1)
		assert.NilError(cl.t, os.WriteFile(p.settings, []byte(text), 0o600))
	}
}

func (cl *cluster) configurePlatform(s *platform.Server, layout *demo.Layout) {
	cl.setVMs(s, layout)
	text, err := layout.Render("document.json.tmpl", "")
	assert.NilError(cl.t, err)
	code, output := cl.putDocument(s, cl.writeDocument(text), 0, "test")
	assert.Equal(cl.t, code, 0, output)
}

func (cl *cluster) setVMs(s *platform.Server, layout *demo.Layout) {
	text, err := layout.Render("vms.json.tmpl", "")
	assert.NilError(cl.t, err)
	var list platformpb.ListVMsResponse
	assert.NilError(cl.t, protojson.Unmarshal([]byte(text), &list))
	assert.NilError(cl.t, s.SetVMs(list.Vms))
}

func (cl *cluster) writeDocument(text string) string {
	file, err := os.CreateTemp(cl.dir, "document-*.json")
	assert.NilError(cl.t, err)
	_, err = file.WriteString(text)
	assert.NilError(cl.t, err)
	assert.NilError(cl.t, file.Close())
	return file.Name()
}

// putDocument runs `skylarkhinge document put`. It returns the exit code and output.
func (cl *cluster) putDocument(s *platform.Server, file string, from int, author string, flags ...string) (int, string) {
	arguments := append([]string{"document", "put", file, fmt.Sprintf("--from=%d", from), "--author", author, "--platform", s.Address()}, flags...)
	c := exec.Command(filepath.Join(programDir, "skylarkhinge"), arguments...)
	out, _ := c.CombinedOutput()
	return c.ProcessState.ExitCode(), string(out)
}

// startProxy starts the process of a proxy. A restart uses the same addresses.
func (cl *cluster) startProxy(p *proxy) {
	cl.t.Helper()
	p.log = &bytes.Buffer{}
	var err error
	p.Process, err = process.Start(filepath.Join(programDir, "skylarkhinge"), p.log, "proxy", "--settings", p.settings)
	assert.NilError(cl.t, err)
	started, log := p.Process, p.log
	cl.t.Cleanup(func() {
		_ = started.Signal(syscall.SIGCONT)
		started.Kill()
		started.Wait()
		if cl.t.Failed() {
			cl.t.Logf("log of %s:\n%s", p.Name, log)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err = p.AwaitReady(ctx)
	assert.NilError(cl.t, err, "%s: %s", p.Name, p.log)
}

// await polls a condition until it holds. The test fails after the limit.
func (cl *cluster) await(limit time.Duration, what string, condition func() bool) {
	cl.t.Helper()
	for until := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			cl.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// status runs `skylarkhinge status --json` for some proxies. It returns nil if
// one of them does not answer.
func (cl *cluster) status(proxies ...*proxy) []*peerpb.StatusResponse {
	arguments := []string{"status", "--json"}
	for _, p := range proxies {
		arguments = append(arguments, "--proxy", p.Peers)
	}
	out, err := exec.Command(filepath.Join(programDir, "skylarkhinge"), arguments...).Output()
	if err != nil {
		return nil
	}
	var answers []*peerpb.StatusResponse
	for line := range strings.Lines(string(out)) {
		answer := &peerpb.StatusResponse{}
		assert.NilError(cl.t, protojson.Unmarshal([]byte(line), answer))
		answers = append(answers, answer)
	}
	return answers
}

// awaitReady waits for the time after which a new proxy may own databases, and then
// until all proxies report the same owner and serve reads.
func (cl *cluster) awaitReady(proxies []*proxy) {
	cl.t.Helper()
	// settleTime is the time until a new VM may be an owner, as set by the design.
	const settleTime = 2 * time.Second
	time.Sleep(settleTime)
	cl.await(startTimeout, "one owner", func() bool { return cl.agreedOwner(proxies) != "" })
	for _, p := range proxies {
		cl.await(startTimeout, p.Name+" answers", func() bool { return cl.servesReads(p) })
	}
}

// agreedOwner returns the owner that all proxies report, "" if they disagree or do not
// all respond.
func (cl *cluster) agreedOwner(proxies []*proxy) string {
	owner := ""
	answers := cl.status(proxies...)
	if len(answers) != len(proxies) {
		return ""
	}
	for i, answer := range answers {
		if len(answer.Databases) != 1 || i > 0 && answer.Databases[0].Owner != owner {
			return ""
		}
		owner = answer.Databases[0].Owner
	}
	return owner
}

func (cl *cluster) servesReads(p *proxy) bool {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	c, err := pgx.Connect(ctx, p.url())
	if err != nil {
		return false
	}
	defer func() { _ = c.Close(ctx) }()
	_, err = c.Exec(ctx, "/*skylarkhinge class=browse*/ SELECT 1", pgx.QueryExecModeSimpleProtocol)
	return err == nil
}

func (p *proxy) url() string {
	return fmt.Sprintf("postgres://caller@%s/%s?sslmode=disable&default_query_exec_mode=exec", p.Callers, database)
}

// owner returns the proxy that owns the database and the others.
func (cl *cluster) owner() (*proxy, []*proxy) {
	cl.t.Helper()
	name := cl.agreedOwner(cl.proxies)
	var owner *proxy
	var others []*proxy
	for _, p := range cl.proxies {
		if p.Name == name {
			owner = p
		} else {
			others = append(others, p)
		}
	}
	assert.Assert(cl.t, owner != nil, "no owner")
	return owner, others
}

// getAdmin reads JSON from the admin endpoint of a member.
func getAdmin[T any](cl *cluster, m *member, path string) (out T, err error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.admin + path)
	if err != nil {
		return out, err
	}
	defer func() { _ = response.Body.Close() }()
	return out, json.NewDecoder(response.Body).Decode(&out)
}

// awaitPromotion waits until one of the members is primary of a term above 1.
func (cl *cluster) awaitPromotion(members ...*member) *member {
	cl.t.Helper()
	var primary *member
	cl.await(maxGap, "a promotion", func() bool {
		for _, m := range members {
			if s, err := getAdmin[upstream.Status](cl, m, "/status"); err == nil && s.Primary && s.Term > 1 {
				primary = m
			}
		}
		return primary != nil
	})
	return primary
}

func (cl *cluster) memberLog(m *member) []upstream.Entry {
	cl.t.Helper()
	entries, err := getAdmin[[]upstream.Entry](cl, m, "/log")
	assert.NilError(cl.t, err)
	return entries
}
