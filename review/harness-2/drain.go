package main

import (
	"sync"
	"syscall"
	"time"
)

func init() { cases["drain"] = drain }

// txIdle is tx_idle_ms of the configuration: a transaction may rest for less.
const txIdle = 3 * time.Second

// route is one route of a configuration.
type route struct {
	host, kind, service string
	timeoutMS           int
	staleMS             int
	priority            int
}

func config(version int, routes []route, groups ...*group) map[string]any {
	var rs, ss []any
	for _, r := range routes {
		e := map[string]any{"name": "r-" + r.host, "host": r.host, "prefix": "/", "kind": r.kind, "timeout_ms": r.timeoutMS, "target_latency_ms": 1000,
			"priority": r.priority, "service": r.service, "max_attempts": 2}
		if r.staleMS > 0 {
			e["max_staleness_ms"] = r.staleMS
		}
		rs = append(rs, e)
	}
	for _, g := range groups {
		ss = append(ss, map[string]any{"name": g.name, "health_path": "/health", "max_connections": g.backends[0].maxConns, "protocol": "h1", "tls": false, "sync_replicas": g.sync})
	}
	return map[string]any{"version": version, "routes": rs, "services": ss,
		"limits": map[string]any{"max_header_bytes": 16384, "max_body_bytes": 262144, "header_timeout_ms": 3000, "idle_timeout_ms": 15000, "tx_idle_ms": txIdle.Milliseconds()}}
}

// fleet starts a store, groups' announcements and proxies, and waits until they are ready.
func (r *run) fleet(count int, zones []string, routes []route, groups ...*group) (*store, []*proxy) {
	s := newStore(r.rec, groups...)
	s.put("op/config", config(7, routes, groups...))
	for _, g := range groups {
		for _, b := range g.backends {
			go b.announce(s)
		}
	}
	time.Sleep(100 * time.Millisecond)
	var proxies []*proxy
	for i := range count {
		p := newProxy(r.binary, "frontend-"+zones[i%len(zones)]+"-"+string(rune('a'+i/len(zones))), zones[i%len(zones)], zones, s, nil)
		p.start()
		proxies = append(proxies, p)
	}
	awaitReady(proxies...)
	time.Sleep(4 * time.Second)
	return s, proxies
}

// drain: transactions that are open at SIGTERM have the first half of the grace period to end.
func drain(r *run) bool {
	zones := []string{"alava-a", "bizkaia-a", "navarra-a"}
	g := newGroup(r.rec, "taller", zones...)
	_, proxies := r.fleet(3, zones, []route{{"orders", "primary", "taller", 1000, 0, 0}}, g)
	p := proxies[0]
	const clients = 6
	var wait sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	term := time.Now().Add(1500 * time.Millisecond)
	for i := range clients {
		name := "resting-" + string(rune('a'+i))
		first := i%2 == 1
		if first {
			name = "working-" + string(rune('a'+i))
		}
		wait.Go(func() {
			c, err := open(r.rec, p.callers, name, "orders", "u1")
			must(err)
			defer c.close()
			time.Sleep(time.Until(term.Add(-300 * time.Millisecond)))
			if a := c.query("BEGIN", 2*time.Second); !a.ok() || a.state != "T" {
				must(a.err)
			}
			if first {
				c.query("WRITE "+name+" 1", 2*time.Second)
			}
			// The transaction ends before half of the grace period is over.
			time.Sleep(time.Until(term.Add(2600 * time.Millisecond)))
			a := c.query("WRITE "+name+" 2", 300*time.Millisecond)
			if a.ok() {
				a = c.query("COMMIT", 300*time.Millisecond)
			}
			if !a.ok() {
				r.rec.say("%s: the transaction was open at SIGTERM and could not end %v later: %s", name, time.Since(term).Round(time.Millisecond), a)
				mu.Lock()
				broken++
				mu.Unlock()
			}
		})
	}
	time.Sleep(time.Until(term))
	if r.trouble {
		r.rec.say("SIGTERM to %s", p.name)
		p.signal(syscall.SIGTERM)
	}
	wait.Wait()
	return broken == 0
}
