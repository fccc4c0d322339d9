// Package demo starts a platform, one database group and proxies as child
// processes on loopback, generates load and optionally kills the primary while
// the load runs.
package demo

import (
	"context"
	"fmt"
	"io"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/internal/standin/load"
	"skylarkhinge.dev/skylarkhinge/internal/standin/process"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

const (
	groupSize  = 3
	proxyCount = 2
	// readyTimeout bounds the wait until all proxies serve statements.
	readyTimeout = 20 * time.Second
)

// Options configure a demo.
type Options struct {
	// BinDir is the directory of the executables standin and skylarkhinge.
	BinDir string
	// Duration is the time during which requests arrive.
	Duration time.Duration
	// KillPrimary kills the primary after a third of Duration.
	KillPrimary bool
	Seed        uint64
	// Out receives the progress lines and the table; ChildStderr receives the
	// standard error of the child processes.
	Out         io.Writer
	ChildStderr io.Writer
}

// demo holds the child processes and addresses of a running demo.
type demo struct {
	options  Options
	dir      string
	children []*process.Process
	// upstreams are the processes of the group; the first one starts as
	// primary.
	upstreams []*process.Process
	proxies   []*process.Process
	layout    Layout
	// platformAdmin is the address of the platform's admin endpoint.
	platformAdmin string
	// upstreamAdmins are the admin addresses of the group, in the order of
	// upstreams.
	upstreamAdmins []string
}

// Run starts the processes, generates the load, stops the processes and returns
// the report of the load.
func Run(ctx context.Context, options Options) (*load.Report, error) {
	dir, err := os.MkdirTemp("", "skylarkhinge-demo-")
	if err != nil {
		return nil, oops.In("demo").With("step", "temporary directory").Wrap(err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	d := &demo{options: options, dir: dir, layout: Layout{Service: "demo", Database: "shop"}}
	defer d.stop()
	for _, step := range []func(context.Context) error{d.startPlatform, d.startGroup, d.allocateProxies, d.configurePlatform, d.startProxies, d.awaitProxies} {
		if err := step(ctx); err != nil {
			return nil, err
		}
	}
	return d.load(ctx)
}

// stop stops the processes in reverse order of their start and prints the CPU
// time of the proxies.
func (d *demo) stop() {
	for i := len(d.children) - 1; i >= 0; i-- {
		d.children[i].Stop()
	}
	for i, p := range d.proxies {
		used := p.CPUTime().Round(10 * time.Millisecond)
		fmt.Fprintf(d.options.Out, "proxy %s used %s of processor time\n", d.layout.Proxies[i].Name, used)
	}
}

// start starts a program from BinDir and registers it for stop.
func (d *demo) start(program string, arguments ...string) (*process.Process, error) {
	child, err := process.Start(filepath.Join(d.options.BinDir, program), d.options.ChildStderr, arguments...)
	if err != nil {
		return nil, err
	}
	d.children = append(d.children, child)
	return child, nil
}

func (d *demo) startPlatform(ctx context.Context) error {
	child, err := d.start("standin", "platform")
	if err != nil {
		return err
	}
	fields, err := child.AwaitReady(ctx)
	if err != nil {
		return err
	}
	d.layout.Platform, d.platformAdmin = fields["platform"], fields["admin"]
	return nil
}

func (d *demo) startGroup(ctx context.Context) error {
	for i := range groupSize {
		u := Upstream{Name: fmt.Sprintf("u%d", i+1), Zone: zoneName(i)}
		arguments := []string{"upstream", "--name", u.Name, "--max-connections", "40", "--slots", "5", "--service-time", "2ms", "--lag", "50ms"}
		if i == 0 {
			arguments = append(arguments, "--primary")
		}
		child, err := d.start("standin", arguments...)
		if err != nil {
			return err
		}
		fields, err := child.AwaitReady(ctx)
		if err != nil {
			return err
		}
		u.Postgres, u.Control = fields["postgres"], fields["control"]
		d.upstreamAdmins = append(d.upstreamAdmins, fields["admin"])
		d.upstreams = append(d.upstreams, child)
		d.layout.Upstreams = append(d.layout.Upstreams, u)
	}
	return d.setPeers(ctx)
}

func zoneName(i int) string { return string(rune('a' + i)) }

// setPeers sends each member the control addresses of the other members.
func (d *demo) setPeers(ctx context.Context) error {
	for i, admin := range d.upstreamAdmins {
		form := url.Values{}
		for j, u := range d.layout.Upstreams {
			if i != j {
				form.Add("peer", u.Control)
			}
		}
		if err := process.Post(ctx, admin, "/peers", "application/x-www-form-urlencoded", form.Encode()); err != nil {
			return err
		}
	}
	return nil
}

// allocateProxies reserves names, zones and free addresses for the proxies.
func (d *demo) allocateProxies(context.Context) error {
	for i := range proxyCount {
		addresses, err := process.FreeAddresses(3)
		if err != nil {
			return err
		}
		d.layout.Proxies = append(d.layout.Proxies, Proxy{
			Name:    fmt.Sprintf("p%d", i+1),
			Zone:    zoneName(i),
			Callers: addresses[0],
			Peers:   addresses[1],
			Health:  addresses[2],
		})
	}
	return nil
}

// configurePlatform sets the VM list and the service's document.
func (d *demo) configurePlatform(ctx context.Context) error {
	list, err := d.layout.Render("vms.json.tmpl", "")
	if err != nil {
		return err
	}
	if err := process.Post(ctx, d.platformAdmin, "/vms", "application/json", list); err != nil {
		return err
	}
	return d.putDocument()
}

// putDocument stores the service's document with the command skylarkhinge
// document put.
func (d *demo) putDocument() error {
	document, err := d.layout.Render("document.json.tmpl", "")
	if err != nil {
		return err
	}
	file := filepath.Join(d.dir, "document.json")
	if err := os.WriteFile(file, []byte(document), 0o600); err != nil {
		return oops.In("demo").With("step", "write document").Wrap(err)
	}
	child, err := d.start("skylarkhinge", "document", "put", file, "--from=0", "--author", "demo", "--platform", d.layout.Platform)
	if err != nil {
		return err
	}
	child.DiscardOutput()
	if code := child.Wait(); code != 0 {
		return oops.In("demo").With("step", "put document").Errorf("exit code %d", code)
	}
	return nil
}

func (d *demo) startProxies(context.Context) error {
	for _, p := range d.layout.Proxies {
		settings, err := d.layout.Render("settings.json.tmpl", p.Name)
		if err != nil {
			return err
		}
		file := filepath.Join(d.dir, p.Name+".json")
		if err := os.WriteFile(file, []byte(settings), 0o600); err != nil {
			return oops.In("demo").With("step", "write settings", "proxy", p.Name).Wrap(err)
		}
		child, err := d.start("skylarkhinge", "proxy", "--settings", file)
		if err != nil {
			return err
		}
		child.DiscardOutput()
		d.proxies = append(d.proxies, child)
	}
	return nil
}

func (d *demo) awaitProxies(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range d.layout.Proxies {
		if err := waitUntilServing(ctx, p.Callers, d.layout.Database); err != nil {
			return oops.In("demo").With("step", "wait for proxy", "proxy", p.Name).Wrap(err)
		}
		fmt.Fprintf(d.options.Out, "proxy %s serves callers at %s\n", p.Name, p.Callers)
	}
	return nil
}

// load generates the load, kills the primary meanwhile if asked to, and marks
// the lost writes in the report.
func (d *demo) load(ctx context.Context) (*load.Report, error) {
	if d.options.KillPrimary {
		timer := time.AfterFunc(d.options.Duration/3, func() {
			fmt.Fprintf(d.options.Out, "primary %s ends\n", d.layout.Upstreams[0].Name)
			d.upstreams[0].Kill()
		})
		defer timer.Stop()
	}
	options := load.Options{Database: d.layout.Database, User: "caller", Seed: d.options.Seed, Duration: d.options.Duration, RoamProbability: 0.2, Ranks: demoRanks, RecordWrites: true}
	for _, p := range d.layout.Proxies {
		options.Targets = append(options.Targets, p.Callers)
	}
	report, err := load.Run(ctx, options)
	if err != nil {
		return nil, err
	}
	committed, err := d.committedWrites(ctx)
	if err != nil {
		return nil, err
	}
	report.MarkLost(committed)
	return report, nil
}

// committedWrites returns a function that reports whether a write is in the log
// of the primary with the highest term. A killed member is skipped.
func (d *demo) committedWrites(ctx context.Context) (func(key, value string) bool, error) {
	var log []upstream.Entry
	term, found := uint64(0), false
	for i, admin := range d.upstreamAdmins {
		if i == 0 && d.options.KillPrimary {
			continue
		}
		var status upstream.Status
		if err := process.Get(ctx, admin, "/status", &status); err != nil {
			return nil, err
		}
		if !status.Primary || found && status.Term < term {
			continue
		}
		term, found = status.Term, true
		if err := process.Get(ctx, admin, "/log", &log); err != nil {
			return nil, err
		}
	}
	if !found {
		return nil, oops.In("demo").With("step", "read the final log").Errorf("no upstream is primary")
	}
	written := map[upstream.Op]bool{}
	for _, entry := range log {
		for _, op := range entry.Ops {
			written[op] = true
		}
	}
	return func(key, value string) bool {
		return written[upstream.Op{Table: upstream.TableKV, Key: key, Value: value}]
	}, nil
}

// demoRanks define the load of the demo; the classes are defined in
// document.json.tmpl.
var demoRanks = []load.Rank{
	{Name: "first", Class: "checkout", ReadClass: "checkout-read", Rate: 100, ReadShare: 0.5, Callers: 20, Deadline: 250 * time.Millisecond, MaxAttempts: 5},
	{Name: "second", Class: "dispatch", ReadClass: "dispatch-read", Rate: 50, ReadShare: 0.5, Callers: 20, Deadline: 500 * time.Millisecond, MaxAttempts: 3},
	{Name: "last", Class: "browse", Rate: 300, ReadShare: 1, Callers: 50, Deadline: time.Second, MaxAttempts: 2},
}
