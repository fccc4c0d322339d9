package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"syscall"
	"time"
)

// proxy is one process of the system.
type proxy struct {
	name, zone string
	folder     string
	binary     string
	settings   map[string]any
	// callers, ready, peers and status are its addresses.
	callers, ready, peers, status string
	// store and platform are the relays between it and the platform.
	store, platform *relay

	mu  sync.Mutex
	cmd *exec.Cmd
	end chan struct{}
}

var (
	allMu sync.Mutex
	all   []*proxy
)

// stopAll ends the processes that the run started.
func stopAll() {
	allMu.Lock()
	defer allMu.Unlock()
	for _, p := range all {
		p.signal(syscall.SIGCONT)
		p.signal(syscall.SIGKILL)
		if p.end != nil {
			<-p.end
		}
		_ = os.RemoveAll(p.folder)
	}
	all = nil
}

// taken are the addresses that were given out.
var taken = map[string]bool{}

// freeAddress returns a free address that it has not returned before.
func freeAddress() string {
	for {
		l := listenLoopback()
		address := l.Addr().String()
		must(l.Close())
		if !taken[address] {
			taken[address] = true
			return address
		}
	}
}

// newProxy prepares a process with the settings of the project's template.
func newProxy(binary, name, zone string, zones []string, s *store, extra map[string]any) *proxy {
	folder, err := os.MkdirTemp("", "review-")
	must(err)
	p := &proxy{name: name, zone: zone, folder: folder, binary: binary, callers: freeAddress(), ready: freeAddress(), peers: freeAddress(), status: freeAddress(),
		store: newRelay(s.address), platform: newRelay(s.address)}
	regions := map[string]string{}
	for _, z := range zones {
		regions[z] = "region-" + z
	}
	p.settings = map[string]any{
		"vm": name, "availability_zone": zone, "region": regions[zone], "availability_zones": regions,
		"caller_address": p.callers, "ready_address": p.ready, "peer_address": p.peers, "metrics_address": p.status,
		"store_address": p.store.address, "promotion_address": p.platform.address,
		"shutdown_grace_s": 6, "leaving_grace_ms": 7000, "link_mbps": 1000.0, "max_descriptors": 4200, "log_level": "info",
	}
	for k, v := range extra {
		p.settings[k] = v
	}
	allMu.Lock()
	all = append(all, p)
	allMu.Unlock()
	return p
}

// start starts the process with the command of the deploy file.
func (p *proxy) start() {
	file := filepath.Join(p.folder, "node.conf")
	text, err := json.Marshal(p.settings)
	must(err)
	must(os.WriteFile(file, text, 0o600))
	log, err := os.OpenFile(filepath.Join(p.folder, "log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	must(err)
	cmd := exec.Command(p.binary, "managed") //nolint:gosec // the program under test
	cmd.Env = []string{"SKYLARKHINGE_NODE_FILE=" + file, "PATH=" + os.Getenv("PATH"), "HOME=" + p.folder}
	cmd.Stdout, cmd.Stderr = log, log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	must(cmd.Start())
	end := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(end)
	}()
	p.mu.Lock()
	p.cmd, p.end = cmd, end
	p.mu.Unlock()
}

func (p *proxy) signal(sig syscall.Signal) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cmd != nil {
		_ = p.cmd.Process.Signal(sig)
	}
}

func (p *proxy) isReady() bool {
	c := http.Client{Timeout: time.Second}
	r, err := c.Get("http://" + p.ready + "/skylarkhinge/ready")
	if err != nil {
		return false
	}
	_ = r.Body.Close()
	return r.StatusCode == 200
}

func awaitReady(proxies ...*proxy) {
	end := time.Now().Add(15 * time.Second)
	for _, p := range proxies {
		for !p.isReady() {
			if time.Now().After(end) {
				must(fmt.Errorf("%s is not ready", p.name))
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
}
