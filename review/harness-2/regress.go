package main

import (
	"fmt"
	"os"
	"strings"
	"sync"
	"time"
)

func init() { cases["regress"] = regress }

// downgradeSlack is downgrade_slack_ms.
const downgradeSlack = 250 * time.Millisecond

// userOf returns the proxy that opened the connection on which a query ran, empty if none ran it.
func (r *run) userOf(id string) string {
	text, err := os.ReadFile(r.rec.file.Name())
	must(err)
	for line := range strings.Lines(string(text)) {
		if strings.Contains(line, "runs at") && strings.Contains(line, ": "+id+" ") {
			_, rest, _ := strings.Cut(line, "user=")
			user, _, _ := strings.Cut(rest, " ")
			return user
		}
	}
	return ""
}

// regress: after a backend has seen the effect of a configuration through a machine, that machine does not
// handle requests by an older one.
func regress(r *run) bool {
	zones := []string{"gulf-a", "plains-a", "hill-a"}
	g := newGroup(r.rec, "shop", zones...)
	for _, b := range g.backends {
		b.slots, b.maxConns = 3, 38
	}
	before := []route{{"old", "read_your_writes", "shop", 1000, 2500, 1}, {"keep", "read_your_writes", "shop", 1000, 2500, 1}}
	after := []route{{"new", "read_your_writes", "shop", 1000, 2500, 1}, {"keep", "read_your_writes", "shop", 1000, 2500, 1}}
	s, proxies := r.fleet(11, zones, before, g)
	byName := map[string]*proxy{}
	for _, p := range proxies {
		byName[p.name] = p
	}
	// A machine that is no gateway hands its sessions over to others.
	var front *proxy
	sessions := map[string][]*client{}
	for _, p := range proxies {
		for i := range 12 {
			c, err := open(r.rec, p.callers, fmt.Sprintf("%s-%d", p.name, i), "old", "u")
			must(err)
			a := c.query("READ 1", 3*time.Second)
			user := r.userOf(a.id)
			if user == p.name || !a.ok() {
				c.close()
				break
			}
			front = p
			sessions[user] = append(sessions[user], c)
		}
		if front != nil {
			break
		}
	}
	if front == nil {
		must(fmt.Errorf("no machine hands sessions over"))
	}
	for user, cs := range sessions {
		r.rec.say("%s hands %d sessions over to %s", front.name, len(cs), user)
	}
	// The store does not answer one of them.
	stale := ""
	for user, cs := range sessions {
		if stale == "" || len(cs) > len(sessions[stale]) {
			stale = user
		}
	}
	if r.trouble {
		byName[stale].store.set(silent)
		r.rec.say("the store does not answer %s", stale)
	}
	time.Sleep(200 * time.Millisecond)
	s.put("op/config", config(11, after, g))
	acked := time.Now()
	r.rec.say("version 11 is acknowledged: route old is removed, route new is added")
	// The effect of the version shows.
	var seen time.Time
	for seen.IsZero() {
		c, err := open(r.rec, front.callers, "effect", "new", "u")
		if err != nil {
			time.Sleep(10 * time.Millisecond)
			continue
		}
		if a := c.query("READ 2", time.Second); a.ok() {
			seen = time.Now()
			r.rec.say("a backend runs a request of route new, taken by %s, %v after the acknowledgement", front.name, time.Since(acked).Round(time.Millisecond))
		}
		c.close()
	}
	// Eight times downgrade_slack_ms would hold only for a slowed machine.
	time.Sleep(time.Until(seen.Add(downgradeSlack + 50*time.Millisecond)))
	var wait sync.WaitGroup
	var mu sync.Mutex
	broken := 0
	for user, cs := range sessions {
		for i, c := range cs {
			wait.Go(func() {
				time.Sleep(time.Duration(i) * 100 * time.Millisecond)
				sent := time.Now()
				a := c.query("BEGIN", 2*time.Second)
				if a.ok() {
					a = c.query("WRITE 3 late", 2*time.Second)
				}
				if a.ok() {
					a = c.query("COMMIT", 2*time.Second)
				}
				if a.ok() {
					mu.Lock()
					broken++
					mu.Unlock()
					r.rec.say("a transaction of the removed route, begun at %s %v after the effect was seen, is run and committed (by way of %s)", front.name, sent.Sub(seen).Round(time.Millisecond), user)
				}
			})
		}
	}
	wait.Wait()
	for _, p := range proxies {
		p.store.set(pass)
	}
	return broken == 0
}
