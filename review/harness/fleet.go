//go:build review

package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// The figures of the site castellano-stickers.
const (
	serviceName       = "shop-core"
	heartbeat         = 1200 * time.Millisecond
	entryLifetime     = 3 * heartbeat
	drainTimeout      = 7 * time.Second
	gracePeriod       = 6 * time.Second
	recoveryTime      = 12 * time.Second
	promoteDelay      = time.Second
	connectionLimit   = 38
	slots             = 3
	restartDelay      = time.Second
	readyLimit        = 15 * time.Second
	strictDatabase    = "checkout"
	sessionDatabase   = "artist-dash"
	boundedDatabase   = "catalog-browse"
	deployedProgram   = "target/skylarkhinge"
	deployedArguments = "managed"
)

var zones = []string{"gulf-a", "plains-a", "hill-a"}

// run is one case in progress.
type run struct {
	record  *record
	trouble bool
	folder  string
	group   *standin.Group
	store   *standin.Store
	version int
	nodes   []*node
	writers []*writer
	closers []func()
}

// node is one machine with its proxy process.
type node struct {
	run      *run
	name     string
	settings string
	address  string
	ready    string
	log      *os.File
	// mu guards process, ended and stopped.
	mu      sync.Mutex
	process *exec.Cmd
	ended   chan struct{}
	stopped bool
}

// start starts a database group with one server in each of the given zones, the store and
// three proxies, and waits until the proxies are ready. adjust is called with the group before
// the store lists its servers.
func (r *run) start(serverZones []string, adjust func(*standin.Group)) error {
	if _, err := os.Stat(deployedProgram); err != nil {
		return fmt.Errorf("the build of the deploy file is missing: %w", err)
	}
	var err error
	if r.folder, err = os.MkdirTemp("", "review"); err != nil {
		return err
	}
	if r.group, err = standin.NewGroup(serviceName, serverZones...); err != nil {
		return err
	}
	r.group.PromoteDelay = promoteDelay
	for i := range serverZones {
		m := r.group.Member(i)
		m.Slots, m.Connections = slots, connectionLimit
	}
	if adjust != nil {
		adjust(r.group)
	}
	r.store = standin.NewStore(r.group)
	if err := r.configure(); err != nil {
		return err
	}
	for i, zone := range zones {
		n, err := r.newNode(fmt.Sprintf("frontend-%s-%d", zone, i+1), zone)
		if err != nil {
			return err
		}
		r.nodes = append(r.nodes, n)
	}
	for _, n := range r.nodes {
		if err := n.startProcess(); err != nil {
			return err
		}
	}
	return r.awaitReady()
}

// configure writes the next version of the configuration.
func (r *run) configure() error {
	r.version += 3
	err := r.store.Configure(r.version, serviceName, connectionLimit, []standin.Route{
		{Name: strictDatabase, Consistency: managed.StrictConsistency, Rank: 0, TargetLatency: 500 * time.Millisecond},
		{Name: boundedDatabase, Consistency: managed.BoundedStaleness, Rank: 2, TargetLatency: time.Second},
		{Name: sessionDatabase, Consistency: managed.SessionConsistency, Rank: 1, TargetLatency: 2 * time.Second},
	})
	r.record.printf("operator configuration %d acknowledged", r.version)
	return err
}

func (r *run) awaitReady() error {
	for end := time.Now().Add(readyLimit); ; time.Sleep(50 * time.Millisecond) {
		ready := 0
		for _, n := range r.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == len(r.nodes) {
			r.record.printf("platform all machines are ready")
			return nil
		}
		if time.Now().After(end) {
			return fmt.Errorf("only %d of %d machines are ready", ready, len(r.nodes))
		}
	}
}

// The ports of machines are below the range from which outgoing connections take theirs, so
// that a process can listen again after a restart.
const firstPort, lastPort = 12_000, 30_000

// freeAddress returns a loopback address with a port that was free.
func freeAddress() (string, error) {
	for range 100 {
		address := fmt.Sprintf("127.0.0.1:%d", firstPort+rand.N(lastPort-firstPort))
		if listener, err := net.Listen("tcp4", address); err == nil {
			return address, listener.Close()
		}
	}
	return "", errors.New("no port is free")
}

// newNode writes the settings of a machine as deploy/settings.json.tmpl renders them.
func (r *run) newNode(name, zone string) (*node, error) {
	n := &node{run: r, name: name, settings: filepath.Join(r.folder, name+".json")}
	var addresses [4]string
	for i := range addresses {
		var err error
		if addresses[i], err = freeAddress(); err != nil {
			return nil, err
		}
	}
	n.address, n.ready = addresses[0], addresses[1]
	region := strings.TrimSuffix(zone, "-a")
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = strings.TrimSuffix(z, "-a")
	}
	text, err := json.Marshal(map[string]any{
		"vm": name, "availability_zone": zone, "region": region, "availability_zones": regions,
		"caller_address": addresses[0], "ready_address": addresses[1], "peer_address": addresses[2], "metrics_address": addresses[3],
		"store_address": r.store.AddressFor(name, nil), "promotion_address": r.store.Address(),
		"shutdown_grace_s": gracePeriod.Seconds(), "leaving_grace_ms": drainTimeout.Milliseconds(),
		"link_mbps": 1000, "max_descriptors": 4200, "log_level": "info",
	})
	if err != nil {
		return nil, err
	}
	if err := os.WriteFile(n.settings, text, 0o600); err != nil {
		return nil, err
	}
	n.log, err = os.Create(filepath.Join(r.folder, name+".log"))
	return n, err
}

// startProcess starts the proxy. If it ends, it is started again after restartDelay.
func (n *node) startProcess() error {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.stopped {
		return nil
	}
	command := exec.Command(deployedProgram, deployedArguments)
	command.Env = []string{"SKYLARKHINGE_NODE_FILE=" + n.settings, "PATH=" + os.Getenv("PATH"), "HOME=" + n.run.folder}
	command.Stdout, command.Stderr = n.log, n.log
	if err := command.Start(); err != nil {
		return err
	}
	ended := make(chan struct{})
	n.process, n.ended = command, ended
	n.run.record.printf("platform process of %s started", n.name)
	go func() {
		err := command.Wait()
		n.run.record.printf("platform process of %s ended: %v", n.name, err)
		close(ended)
		time.Sleep(restartDelay)
		if err := n.startProcess(); err != nil {
			n.run.record.printf("platform process of %s does not start: %v", n.name, err)
		}
	}()
	return nil
}

// signal sends a signal to the proxy.
func (n *node) signal(s syscall.Signal) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.run.record.printf("platform sends %v to %s", s, n.name)
	// The process may have ended.
	_ = n.process.Process.Signal(s)
}

// roll stops the proxy like planned work: SIGTERM, and SIGKILL after the grace period.
func (n *node) roll() {
	n.mu.Lock()
	process, ended := n.process, n.ended
	n.mu.Unlock()
	n.signal(syscall.SIGTERM)
	go func() {
		select {
		case <-ended:
		case <-time.After(gracePeriod):
			_ = process.Process.Kill()
		}
	}()
}

func (n *node) stop() {
	n.mu.Lock()
	n.stopped = true
	process, ended := n.process, n.ended
	n.mu.Unlock()
	if process == nil {
		return
	}
	_ = process.Process.Kill()
	<-ended
}

var probeClient = &http.Client{Timeout: time.Second}

// isReady asks like the platform's probe.
func (n *node) isReady() bool {
	response, err := probeClient.Get("http://" + n.ready + "/skylarkhinge/ready")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// nodeNamed returns the machine with a name, nil if there is none.
func (r *run) nodeNamed(name string) *node {
	for _, n := range r.nodes {
		if n.name == name {
			return n
		}
	}
	return nil
}

// close ends everything that the case started.
func (r *run) close() {
	for _, w := range r.writers {
		w.stop()
	}
	for _, n := range r.nodes {
		n.stop()
	}
	for _, c := range r.closers {
		c()
	}
	if r.store != nil {
		r.store.Close()
	}
	r.record.flush()
	if r.folder != "" && os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(r.folder)
	} else if r.folder != "" {
		fmt.Println("logs are in", r.folder)
	}
}

// prepareReplacement keeps a server out of use until beginRelease.
func prepareReplacement(m *standin.Member) {
	m.SetListed(false)
	m.SetReplicationStopped(true)
}

// beginRelease starts a server that replaces another one. It receives the log from then on.
func (r *run) beginRelease(replacement *standin.Member) {
	replacement.SetReplicationStopped(false)
	replacement.SetListed(true)
	r.record.printf("server %s started, replaces another one", replacement.ID)
}

// leave makes a server report that it leaves. It goes on serving for the drain timeout and a
// little longer, and then ends.
func (r *run) leave(m *standin.Member, longer time.Duration) {
	m.SetLeaving(true)
	r.record.printf("server %s reports draining", m.ID)
	time.AfterFunc(drainTimeout+longer, func() {
		m.Crash()
		r.store.RemoveEntry(m.ID)
		r.record.printf("server %s has left", m.ID)
	})
}

// lose makes a server crash for good. Its entry expires after three heartbeats.
func (r *run) lose(m *standin.Member) {
	m.Crash()
	r.record.printf("server %s is lost for good", m.ID)
	time.AfterFunc(entryLifetime, func() {
		r.store.RemoveEntry(m.ID)
		r.record.printf("store entry of %s has expired", m.ID)
	})
}

// promotionOrder is an accepted call to the promotion API.
type promotionOrder struct{ target, holder string }

// awaitPromotionOrder waits for the next accepted promotion order after the given number.
func (r *run) awaitPromotionOrder(after int, limit time.Duration) (promotionOrder, error) {
	for end := time.Now().Add(limit); time.Now().Before(end); time.Sleep(2 * time.Millisecond) {
		if orders := r.store.Promotions(); len(orders) > after {
			words := strings.Fields(orders[after])
			r.record.printf("platform accepts promotion: %s", orders[after])
			return promotionOrder{target: words[1], holder: words[2]}, nil
		}
	}
	return promotionOrder{}, errors.New("no promotion was ordered")
}

// recordExecutions records what the servers ran, in order.
func (r *run) recordExecutions() {
	if r.group == nil {
		return
	}
	for _, e := range r.group.Executions() {
		r.record.printf("server %s ran %s %s for %s, log at %d.%d, session values %q, committed %v", e.Member, e.ID, e.Text, e.User, e.Term, e.Offset, e.Variables, e.Committed)
	}
}

// serverNamed returns a server of the group.
func (r *run) serverNamed(id string, count int) *standin.Member {
	for i := range count {
		if m := r.group.Member(i); m.ID == id {
			return m
		}
	}
	return nil
}
