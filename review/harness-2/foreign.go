package main

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

func init() { cases["foreign"] = foreign }

const (
	// recovery is recovery_s, drainTime is drain_timeout_ms.
	recovery  = 12 * time.Second
	drainTime = 7 * time.Second
)

// load is a number of clients that write one after the other, each by a session of its own.
type load struct {
	mu   sync.Mutex
	sent []time.Time
	ok   []bool
	stop atomic.Bool
	wait sync.WaitGroup
}

func (r *run) load(clients int, database string, proxies []*proxy) *load {
	l := &load{}
	for i := range clients {
		l.wait.Go(func() {
			for n := 0; !l.stop.Load(); n++ {
				sent := time.Now()
				served := false
				// A client's retries reach other machines.
				for try := 0; try < 3 && !served; try++ {
					p := proxies[rand.IntN(len(proxies))]
					c, err := open(r.rec, p.callers, fmt.Sprintf("c%d.%d.%d", i, n, try), database, "u")
					if err == nil {
						served = c.query(fmt.Sprintf("WRITE i%d v%d", i, n), 2*time.Second).ok()
						c.close()
					}
					if !served {
						time.Sleep(50 * time.Millisecond)
					}
				}
				l.mu.Lock()
				l.sent, l.ok = append(l.sent, sent), append(l.ok, served)
				l.mu.Unlock()
				time.Sleep(100 * time.Millisecond)
			}
		})
	}
	return l
}

// served returns the numbers of requests sent in a span and of those that were served.
func (l *load) served(from, to time.Time) (sent, served int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for i, at := range l.sent {
		if at.Before(from) || !at.Before(to) {
			continue
		}
		sent++
		if l.ok[i] {
			served++
		}
	}
	return sent, served
}

// foreign: an entry of another writer names no server to use, and requests are served again after the last fault.
func foreign(r *run) bool {
	zones := []string{"alava-a", "bizkaia-a", "navarra-a"}
	g := newGroup(r.rec, "taller", zones...)
	routes := []route{{"orders", "primary", "taller", 1000, 0, 0}}
	s, proxies := r.fleet(3, zones, routes, g)
	if r.trouble {
		s.put("servers/i-f0f0f0f0", map[string]any{"service": "taller", "address": freeAddress(), "state": "ready", "db_role": "replica"})
		r.rec.say("another writer writes servers/i-f0f0f0f0 without zone, version, slots, cold_remaining_ms, sequence and born; nothing listens at its address")
	}
	l := r.load(8, "orders", proxies)
	began := time.Now()
	time.Sleep(3 * time.Second)

	r.rec.say("the primary is replaced: a new server starts, the old one leaves")
	old := g.primaryNow()
	go g.addBackend(old.zone).announce(s)
	time.Sleep(time.Second)
	old.state(func() { old.draining = true })
	time.Sleep(drainTime + time.Second)
	old.state(func() { old.ended = true })
	old.crash()
	g.mu.Lock()
	g.backends = slices.DeleteFunc(g.backends, func(b *backend) bool { return b == old })
	g.mu.Unlock()
	r.rec.say("%s has ended", old.id)
	before, servedBefore := l.served(began, time.Now().Add(-time.Second))

	s.put("op/config", config(9, routes, g))
	r.rec.say("a configuration is acknowledged, and all processes are killed")
	for _, p := range proxies {
		p.signal(syscall.SIGKILL)
		<-p.end
	}
	time.Sleep(time.Second)
	for _, p := range proxies {
		p.start()
	}
	back := time.Now()
	time.Sleep(recovery + 10*time.Second)
	l.stop.Store(true)
	l.wait.Wait()
	after, servedAfter := l.served(back.Add(recovery), time.Now())
	r.rec.say("before the last fault %d of %d requests were served, from %v after the machines were back %d of %d", servedBefore, before, recovery, servedAfter, after)
	if 4*servedBefore < before || after == 0 {
		must(fmt.Errorf("too few requests were served before"))
	}
	return 4*servedAfter >= after
}

func (g *group) primaryNow() *backend {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.primary
}
