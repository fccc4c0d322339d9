// Package e2e runs proxies and upstreams as processes on loopback and checks
// the guarantees of docs/design.md under failures. The platform and the relays
// run in the test's own process, since no scenario ends them.
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
	// startTimeout bounds the start of a world on a busy machine.
	startTimeout = 20 * time.Second
	// pollInterval is the time between two looks at a state that is awaited.
	pollInterval = 10 * time.Millisecond
	// maxGap is the design's maximum of the failover gap.
	maxGap = 3 * time.Second
	// documentLimit is the design's bound for a document to be in force on 9 proxies.
	documentLimit = 5 * time.Second
)

// programs is a directory in which the test binary has the names of the
// programs that it stands for.
var programs string

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
	programs, err = process.LinkSelf("upstream", "skylarkhinge")
	if err != nil {
		panic(err)
	}
	defer func() { _ = os.RemoveAll(programs) }()
	return m.Run()
}

// runUpstream is the program of one member. It runs until it is killed.
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

// lonely is the proxy that a partition cuts off: the first one in the hash
// order of the database.
const lonely = 1

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

// world is a platform, a group and proxies.
type world struct {
	t      *testing.T
	dir    string
	layout demo.Layout
	store  *platform.Server
	// split is a second platform for the proxies other than the lonely one in a
	// world that can be partitioned: its document and its list name other relays.
	split   *platform.Server
	members []*member
	proxies []*proxy
	// toProxies are the relays between the sides of a partition.
	toProxies []*relay.Relay
	// toUpstream are the relays between proxies and upstreams, by side and
	// upstream. Each upstream has one for callers and one for control.
	toUpstream [2][groupSize][2]*relay.Relay
}

// topology selects the relays of a world.
type topology int

const (
	// direct has no relays.
	direct topology = iota
	// relayed has relays between proxies and upstreams.
	relayed
	// partitionable has relays between the lonely proxy and the others too. Each
	// side has its own relays and its own platform.
	partitionable
)

// startWorld starts the processes and waits until all proxies agree on a
// settled owner and serve callers.
func startWorld(t *testing.T, kind topology) *world {
	t.Helper()
	t.Parallel()
	w := &world{t: t, dir: t.TempDir(), layout: demo.Layout{Service: service, Database: database}}
	w.store = w.startPlatform()
	for i := range groupSize {
		w.startMember(i)
	}
	w.introduce()
	w.planProxies(kind)
	w.configure(kind)
	// The documents of the two sides have the same revision. A proxy that got
	// the one of the other side from a peer would keep it.
	w.cutPeers(true)
	for _, p := range w.proxies {
		w.startProxy(p)
	}
	for _, p := range w.proxies {
		w.await(startTimeout, "a document at "+p.Name, func() bool {
			answers := w.status(p)
			return len(answers) == 1 && len(answers[0].Documents) == 1
		})
	}
	w.cutPeers(false)
	w.awaitSettled(w.proxies)
	return w
}

func (w *world) startPlatform() *platform.Server {
	s, err := platform.Start(platform.Options{})
	assert.NilError(w.t, err)
	w.t.Cleanup(s.Close)
	return s
}

func (w *world) startMember(i int) {
	m := &member{name: fmt.Sprintf("u%d", i+1)}
	arguments := []string{"--name", m.name}
	if i == 0 {
		arguments = append(arguments, "--primary")
	}
	var err error
	m.Process, err = process.Start(filepath.Join(programs, "upstream"), os.Stderr, arguments...)
	assert.NilError(w.t, err)
	w.t.Cleanup(func() {
		m.Kill()
		m.Wait()
	})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	fields, err := m.AwaitReady(ctx)
	assert.NilError(w.t, err)
	m.admin = fields["admin"]
	w.members = append(w.members, m)
	w.layout.Upstreams = append(w.layout.Upstreams, demo.Upstream{Name: m.name, Zone: zone(i), Postgres: fields["postgres"], Control: fields["control"]})
}

func zone(i int) string { return string(rune('a' + i)) }

func (w *world) introduce() {
	for i, m := range w.members {
		form := url.Values{}
		for j, u := range w.layout.Upstreams {
			if i != j {
				form.Add("peer", u.Control)
			}
		}
		w.post(m.admin, "/peers", form)
	}
}

func (w *world) post(admin, path string, form url.Values) {
	w.t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	assert.NilError(w.t, process.Post(ctx, admin, path, "application/x-www-form-urlencoded", form.Encode()))
}

func (w *world) relayTo(target string) *relay.Relay {
	r, err := relay.Start(relay.Options{Target: target})
	assert.NilError(w.t, err)
	w.t.Cleanup(r.Close)
	return r
}

func (w *world) planProxies(kind topology) {
	for i := range proxyCount {
		addresses, err := process.FreeAddresses(3)
		assert.NilError(w.t, err)
		p := &proxy{Proxy: demo.Proxy{Name: fmt.Sprintf("p%d", i+1), Zone: zone(i), Callers: addresses[0], Peers: addresses[1], Health: addresses[2]}}
		p.settings = filepath.Join(w.dir, p.Name+".json")
		w.proxies = append(w.proxies, p)
		w.layout.Proxies = append(w.layout.Proxies, p.Proxy)
	}
}

// view returns the layout as the proxies of one side see it.
func (w *world) view(kind topology, side int) *demo.Layout {
	out := w.layout
	out.Upstreams = append([]demo.Upstream(nil), w.layout.Upstreams...)
	out.Proxies = append([]demo.Proxy(nil), w.layout.Proxies...)
	if kind == direct {
		return &out
	}
	for i := range out.Upstreams {
		u := &out.Upstreams[i]
		relays := &w.toUpstream[side][i]
		relays[0], relays[1] = w.relayTo(u.Postgres), w.relayTo(u.Control)
		u.Postgres, u.Control = relays[0].Address(), relays[1].Address()
	}
	for i, p := range w.proxies {
		if kind == partitionable && (i == lonely) != (side == 0) {
			r := w.relayTo(p.Peers)
			w.toProxies = append(w.toProxies, r)
			out.Proxies[i].Peers = r.Address()
		}
	}
	return &out
}

// cutPeers blackholes the relays between the proxies of the two sides.
func (w *world) cutPeers(on bool) {
	for _, r := range w.toProxies {
		r.Blackhole(relay.ScopeAll, on)
	}
}

// configure sets the lists of VMs and puts the documents.
func (w *world) configure(kind topology) {
	w.configurePlatform(w.store, w.view(kind, 0))
	if kind == partitionable {
		w.split = w.startPlatform()
		w.configurePlatform(w.split, w.view(kind, 1))
	}
	for i, p := range w.proxies {
		layout := w.layout
		layout.Platform = w.store.Address()
		if i != lonely && w.split != nil {
			layout.Platform = w.split.Address()
		}
		text, err := layout.Render("settings.json.tmpl", p.Name)
		assert.NilError(w.t, err)
		text = strings.Replace(text, `"drain_timeout": "3s"`, `"drain_timeout": "1s"`, 1)
		assert.NilError(w.t, os.WriteFile(p.settings, []byte(text), 0o600))
	}
}

func (w *world) configurePlatform(s *platform.Server, view *demo.Layout) {
	w.setVMs(s, view)
	text, err := view.Render("document.json.tmpl", "")
	assert.NilError(w.t, err)
	code, output := w.put(s, w.writeDocument(text), 0, "test")
	assert.Equal(w.t, code, 0, output)
}

func (w *world) setVMs(s *platform.Server, view *demo.Layout) {
	text, err := view.Render("vms.json.tmpl", "")
	assert.NilError(w.t, err)
	var list platformpb.ListVMsResponse
	assert.NilError(w.t, protojson.Unmarshal([]byte(text), &list))
	assert.NilError(w.t, s.SetVMs(list.Vms))
}

func (w *world) writeDocument(text string) string {
	file, err := os.CreateTemp(w.dir, "document-*.json")
	assert.NilError(w.t, err)
	_, err = file.WriteString(text)
	assert.NilError(w.t, err)
	assert.NilError(w.t, file.Close())
	return file.Name()
}

// put runs the operators' command and returns its exit code and output.
func (w *world) put(s *platform.Server, file string, from int, author string, more ...string) (int, string) {
	arguments := append([]string{"document", "put", file, fmt.Sprintf("--from=%d", from), "--author", author, "--platform", s.Address()}, more...)
	c := exec.Command(filepath.Join(programs, "skylarkhinge"), arguments...)
	out, _ := c.CombinedOutput()
	return c.ProcessState.ExitCode(), string(out)
}

// startProxy starts the process of a proxy, or a fresh one with the same addresses.
func (w *world) startProxy(p *proxy) {
	w.t.Helper()
	p.log = &bytes.Buffer{}
	var err error
	p.Process, err = process.Start(filepath.Join(programs, "skylarkhinge"), p.log, "proxy", "--settings", p.settings)
	assert.NilError(w.t, err)
	started, log := p.Process, p.log
	w.t.Cleanup(func() {
		_ = started.Signal(syscall.SIGCONT)
		started.Kill()
		started.Wait()
		if w.t.Failed() {
			w.t.Logf("log of %s:\n%s", p.Name, log)
		}
	})
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	_, err = p.AwaitReady(ctx)
	assert.NilError(w.t, err, "%s: %s", p.Name, p.log)
}

// await polls a condition until it holds. It fails after the limit.
func (w *world) await(limit time.Duration, what string, condition func() bool) {
	w.t.Helper()
	for until := time.Now().Add(limit); !condition(); time.Sleep(pollInterval) {
		if time.Now().After(until) {
			w.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// status runs `skylarkhinge status --json` for some proxies. It returns nil if
// one of them does not answer.
func (w *world) status(proxies ...*proxy) []*peerpb.StatusResponse {
	arguments := []string{"status", "--json"}
	for _, p := range proxies {
		arguments = append(arguments, "--proxy", p.Peers)
	}
	out, err := exec.Command(filepath.Join(programs, "skylarkhinge"), arguments...).Output()
	if err != nil {
		return nil
	}
	var answers []*peerpb.StatusResponse
	for line := range strings.Lines(string(out)) {
		answer := &peerpb.StatusResponse{}
		assert.NilError(w.t, protojson.Unmarshal([]byte(line), answer))
		answers = append(answers, answer)
	}
	return answers
}

// awaitSettled waits until the proxies name the same owner, have been known
// for the time after which a proxy may own databases, and answer a read.
func (w *world) awaitSettled(proxies []*proxy) {
	w.t.Helper()
	// settleTime is the design's 2 s until a new VM is used as owner.
	const settleTime = 2 * time.Second
	time.Sleep(settleTime)
	w.await(startTimeout, "one owner", func() bool { return w.agreedOwner(proxies) != "" })
	for _, p := range proxies {
		w.await(startTimeout, p.Name+" answers", func() bool { return w.answers(p) })
	}
}

func (w *world) agreedOwner(proxies []*proxy) string {
	owner := ""
	answers := w.status(proxies...)
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

func (w *world) answers(p *proxy) bool {
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
func (w *world) owner() (*proxy, []*proxy) {
	w.t.Helper()
	name := w.agreedOwner(w.proxies)
	var owner *proxy
	var others []*proxy
	for _, p := range w.proxies {
		if p.Name == name {
			owner = p
		} else {
			others = append(others, p)
		}
	}
	assert.Assert(w.t, owner != nil, "no owner")
	return owner, others
}

// get reads JSON from the admin endpoint of a member.
func get[T any](w *world, m *member, path string) (out T, err error) {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + m.admin + path)
	if err != nil {
		return out, err
	}
	defer func() { _ = response.Body.Close() }()
	return out, json.NewDecoder(response.Body).Decode(&out)
}

// awaitPromotion waits until one of the members is primary of a term above 1.
func (w *world) awaitPromotion(members ...*member) *member {
	w.t.Helper()
	var primary *member
	w.await(maxGap, "a promotion", func() bool {
		for _, m := range members {
			if s, err := get[upstream.Status](w, m, "/status"); err == nil && s.Primary && s.Term > 1 {
				primary = m
			}
		}
		return primary != nil
	})
	return primary
}

func (w *world) log(m *member) []upstream.Entry {
	w.t.Helper()
	entries, err := get[[]upstream.Entry](w, m, "/log")
	assert.NilError(w.t, err)
	return entries
}
