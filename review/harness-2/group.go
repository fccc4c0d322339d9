package main

import (
	"bufio"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"net"
	"slices"
	"strings"
	"sync"
	"time"
)

// heartbeat is the interval of the servers' heartbeats; an entry ends after three of silence.
const heartbeat = 1200 * time.Millisecond

// commit is one entry of a log.
type commit struct {
	term, number uint64
	writes       []write
	visible      time.Time
}

type write struct{ id, item, data string }

// group is a database: one primary and its replicas.
type group struct {
	name         string
	sync         int
	promoteDelay time.Duration
	rec          *record

	mu       sync.Mutex
	backends []*backend
	primary  *backend
	term     uint64
	maxFence uint64
	// acknowledged are the commits that were acknowledged to a proxy.
	acknowledged []commit
	// runs counts how often a write with an id is in the log of the primary of its time.
	lost   []string
	nextTx int
}

// backend is one server of a database.
type backend struct {
	id, zone string
	born     int64
	group    *group

	address  string
	listener net.Listener
	conns    map[net.Conn]struct{}

	log      []commit
	pause    uint64
	lag      time.Duration
	deaf     bool
	down     bool
	draining bool
	unlisted bool
	slots    int
	maxConns int
	work     time.Duration
	busy     int
	cutFrom  map[*backend]bool
	// darkFor are the proxies that the backend does not reach.
	darkFor   map[string]bool
	ended     bool
	lastBeat  time.Time
	lastEntry string
}

func newGroup(rec *record, name string, zones ...string) *group {
	g := &group{name: name, sync: 1, promoteDelay: 300 * time.Millisecond, rec: rec, term: 1}
	for _, zone := range zones {
		g.addBackend(zone)
	}
	g.primary = g.backends[0]
	go func() {
		for range time.Tick(2 * time.Millisecond) {
			g.mu.Lock()
			for _, b := range g.backends {
				g.replicateTo(b)
			}
			g.mu.Unlock()
		}
	}()
	return g
}

func (g *group) addBackend(zone string) *backend {
	id := make([]byte, 4)
	_, err := rand.Read(id)
	must(err)
	b := &backend{id: "i-" + hex.EncodeToString(id), zone: zone, born: time.Now().UnixMilli(), group: g, conns: map[net.Conn]struct{}{}, slots: 5, maxConns: 34, work: 3 * time.Millisecond, lag: 20 * time.Millisecond, cutFrom: map[*backend]bool{}}
	b.listen(listenLoopback())
	b.address = b.listener.Addr().String()
	g.mu.Lock()
	g.backends = append(g.backends, b)
	g.mu.Unlock()
	return b
}

func (g *group) replicateTo(b *backend) {
	p := g.primary
	if b == p || b.pause != 0 || b.deaf || b.down || p.down || b.cutFrom[p] {
		return
	}
	same := 0
	for same < len(b.log) && same < len(p.log) && b.log[same].term == p.log[same].term && b.log[same].number == p.log[same].number {
		same++
	}
	b.log = b.log[:same:same]
	for _, c := range p.log[same:] {
		c.visible = time.Now().Add(b.lag)
		b.log = append(b.log, c)
	}
}

func (b *backend) has(term, num uint64) bool {
	return slices.ContainsFunc(b.log, func(c commit) bool { return c.term == term && c.number == num })
}

// shown is the number of log entries that reads see.
func (b *backend) shown() int {
	n := len(b.log)
	if b == b.group.primary {
		return n
	}
	for n > 0 && b.log[n-1].visible.After(time.Now()) {
		n--
	}
	return n
}

func (b *backend) position(n int) string {
	if n == 0 {
		return "1.0"
	}
	return fmt.Sprintf("%d.%d", b.log[n-1].term, b.log[n-1].number)
}

func (g *group) promote(id string, fence uint64) int {
	g.mu.Lock()
	defer g.mu.Unlock()
	i := slices.IndexFunc(g.backends, func(b *backend) bool { return b.id == id })
	if fence < g.maxFence || i < 0 || g.backends[i].down {
		return 409
	}
	g.maxFence = fence
	target := g.backends[i]
	if target == g.primary {
		return 200
	}
	time.AfterFunc(g.promoteDelay, func() {
		g.mu.Lock()
		defer g.mu.Unlock()
		if target.down || target == g.primary {
			return
		}
		g.term++
		old := g.primary
		g.primary = target
		for _, b := range g.backends {
			b.pause = 0
		}
		for _, c := range g.acknowledged {
			if !target.has(c.term, c.number) {
				g.lost = append(g.lost, fmt.Sprintf("%d.%d", c.term, c.number))
				g.rec.add("LOST %d.%d of %s: acknowledged, not in the log of %s, which is promoted", c.term, c.number, g.name, target.id)
			}
		}
		g.rec.add("%s leads %s in term %d with %s, instead of %s", target.id, g.name, g.term, target.position(len(target.log)), old.id)
	})
	return 200
}

// state changes a backend under the lock of its group.
func (b *backend) state(change func()) {
	b.group.mu.Lock()
	defer b.group.mu.Unlock()
	change()
}

// crash ends the process of a backend. It closes its connections.
func (b *backend) crash() {
	b.state(func() {
		b.down = true
		_ = b.listener.Close()
		for c := range b.conns {
			_ = c.Close()
		}
	})
}

func (b *backend) listen(l net.Listener) {
	b.state(func() { b.listener = l })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go b.serve(c)
		}
	}()
}

// announce keeps the backend's entry in the store up to date until the run ends.
func (b *backend) announce(s *store) {
	for {
		b.group.mu.Lock()
		silent := b.down || b.unlisted
		role, state := "replica", "ready"
		if b == b.group.primary {
			role = "primary"
		}
		if b.draining {
			state = "draining"
		}
		entry := fmt.Sprintf("%s %s %d", role, state, b.born)
		ended := b.ended
		b.group.mu.Unlock()
		key := "servers/" + b.id
		switch {
		case ended:
			s.remove(key)
			return
		case silent:
			if time.Since(b.lastBeat) > 3*heartbeat && b.lastEntry != "" {
				s.remove(key)
				b.lastEntry = ""
			}
		case entry != b.lastEntry:
			s.put(key, map[string]any{"service": b.group.name, "address": b.address, "zone": b.zone, "version": "v1", "slots": b.slots, "state": state,
				"cold_remaining_ms": 0, "db_role": role, "sequence": time.Now().UnixMilli() - b.born, "born": b.born})
			b.lastEntry, b.lastBeat = entry, time.Now()
		default:
			b.lastBeat = time.Now()
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// serverSession is one connection to a backend.
type serverSession struct {
	b        *backend
	conn     net.Conn
	in       *bufio.Reader
	user     string
	out      strings.Builder
	values   map[string]string
	prepared map[string]string
	tx       int
	readOnly bool
	failed   bool
	txTerm   uint64
	writes   []write
}

func (b *backend) serve(c net.Conn) {
	b.state(func() { b.conns[c] = struct{}{} })
	defer func() {
		_ = c.Close()
		b.state(func() { delete(b.conns, c) })
	}()
	s := &serverSession{b: b, conn: c, in: bufio.NewReader(c), values: map[string]string{}, prepared: map[string]string{}}
	first, err := s.in.ReadString('\n')
	if err != nil {
		return
	}
	w := strings.Fields(first)
	full := false
	b.state(func() { full = len(b.conns) > b.maxConns })
	switch {
	case len(w) < 3 || w[0] != "START" || w[1] != b.group.name || len(w) > 3 && w[3] != b.id:
		fmt.Fprintf(c, "ERROR MISROUTED %s\r\n", b.id)
		return
	case full:
		fmt.Fprintf(c, "ERROR CONNLIMIT %s\r\n", b.id)
		return
	}
	s.user = w[2]
	s.awaitPath()
	s.ready()
	for {
		line, err := s.in.ReadString('\n')
		if err != nil {
			return
		}
		s.awaitPath()
		rest, ok := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "QUERY ")
		if !ok {
			return
		}
		id, text, _ := strings.Cut(rest, " ")
		if !s.run(id, text) {
			return
		}
		s.awaitPath()
		s.ready()
	}
}

// awaitPath waits while the backend and the proxy do not reach each other.
func (s *serverSession) awaitPath() {
	for dark := true; dark; {
		s.b.state(func() { dark = s.b.darkFor[s.user] && !s.b.down })
		if dark {
			time.Sleep(5 * time.Millisecond)
		}
	}
}

func (s *serverSession) ready() {
	state := "I"
	if s.failed {
		state = "E"
	} else if s.tx != 0 {
		state = "T"
	}
	s.b.state(func() { fmt.Fprintf(&s.out, "READY %s %s\r\n", state, s.b.position(s.b.shown())) })
	_, _ = s.conn.Write([]byte(s.out.String()))
	s.out.Reset()
}

func (s *serverSession) refuse(code string) {
	fmt.Fprintf(&s.out, "ERROR %s %s\r\n", code, s.b.id)
	if s.tx != 0 {
		s.failed = true
	}
}

func (s *serverSession) complete(signature string) { fmt.Fprintf(&s.out, "COMPLETE %s\r\n", signature) }

func (s *serverSession) rollBack() { s.tx, s.failed, s.writes = 0, false, nil }

// run runs one query. It reports false if the connection ends without an answer.
func (s *serverSession) run(id, text string) bool {
	b, g := s.b, s.b.group
	w := strings.Fields(text)
	after := ""
	if w[0] == "AFTER" {
		after, w = w[1], w[2:]
		_, text, _ = strings.Cut(text, " ")
		_, text, _ = strings.Cut(text, " ")
	}
	if s.failed && w[0] != "ROLLBACK" && w[0] != "COMMIT" {
		s.refuse("MALFORMED")
		return true
	}
	switch w[0] {
	case "SET":
		s.values[w[1]] = strings.Join(w[2:], " ")
		s.complete("-")
	case "PREPARE":
		s.prepared[w[1]] = w[2] + " " + strings.Join(w[3:], " ")
		s.complete("-")
	case "CLOSE":
		delete(s.prepared, w[1])
		s.complete("-")
	case "DISCARD":
		clear(s.values)
		clear(s.prepared)
		s.complete("-")
	case "STATUS", "PAUSE", "RESUME":
		if !s.slot(0) {
			return true
		}
		g.mu.Lock()
		defer g.mu.Unlock()
		switch {
		case w[0] == "PAUSE" && b != g.primary && number(w[1]) > g.term:
			b.pause = number(w[1])
			g.rec.add("%s is paused", b.id)
		case w[0] == "RESUME":
			b.pause = 0
			g.rec.add("%s is resumed", b.id)
		}
		role := "replica"
		if b == g.primary {
			role = "primary"
		}
		fmt.Fprintf(&s.out, "DATAROW %s %d %s %d %d %d %d\r\n", role, g.term, b.position(len(b.log)), b.pause, b.lag.Milliseconds(), b.busy, len(b.conns))
		s.complete("-")
	case "BEGIN":
		g.mu.Lock()
		defer g.mu.Unlock()
		ro := len(w) > 1
		switch {
		case !ro && b != g.primary:
			s.refuse("READONLY")
		case b.lacks(after):
			s.refuse("LAGGING")
		default:
			g.nextTx++
			s.tx, s.readOnly, s.txTerm, s.writes = g.nextTx, ro, g.term, nil
			s.complete("-")
		}
	case "ROLLBACK":
		s.rollBack()
		s.complete("-")
	case "COMMIT":
		return s.commit(id)
	case "READ":
		s.read(id, text, w[1], after)
	case "WRITE":
		return s.write(id, text, w[1], strings.Join(w[2:], " "))
	case "EXECUTE":
		access, _, _ := strings.Cut(s.prepared[w[1]], " ")
		switch access {
		case "READ":
			s.read(id, s.prepared[w[1]]+" | "+text, w[2], after)
		case "WRITE":
			return s.write(id, s.prepared[w[1]]+" | "+text, w[2], strings.Join(w[3:], " "))
		default:
			s.refuse("NOSTMT")
		}
	default:
		s.refuse("MALFORMED")
	}
	return true
}

// lacks reports whether reads do not see a position yet. The lock is held.
func (b *backend) lacks(after string) bool {
	if after == "" {
		return false
	}
	term, num, _ := strings.Cut(after, ".")
	if number(num) == 0 {
		return false
	}
	n := b.shown()
	return !slices.ContainsFunc(b.log[:n], func(c commit) bool { return c.term == number(term) && c.number == number(num) })
}

// slot holds a slot for the time of the work. It reports false if the backend is busy.
func (s *serverSession) slot(work time.Duration) bool {
	full := false
	s.b.state(func() {
		if full = s.b.busy >= s.b.slots+40; !full {
			s.b.busy++
		}
	})
	if full {
		fmt.Fprintf(&s.out, "ERROR BUSY %s\r\n", s.b.id)
		return false
	}
	time.Sleep(work)
	s.b.state(func() { s.b.busy-- })
	return true
}

// replaced reports whether the backend has lost the lead since the transaction began. The lock is held.
func (s *serverSession) replaced() bool {
	return s.tx != 0 && !s.readOnly && (s.b != s.b.group.primary || s.txTerm != s.b.group.term)
}

func (s *serverSession) context() string {
	var values []string
	for name, value := range s.values {
		values = append(values, name+"="+value)
	}
	slices.Sort(values)
	return fmt.Sprintf("service=%s user=%s tx=%d values=%s", s.b.group.name, s.user, s.tx, strings.Join(values, ","))
}

func (s *serverSession) read(id, text, it, after string) {
	if !s.slot(s.b.work) {
		return
	}
	b, g := s.b, s.b.group
	g.mu.Lock()
	defer g.mu.Unlock()
	switch {
	case s.replaced():
		s.refuse("READONLY")
	case b.lacks(after):
		s.refuse("LAGGING")
	default:
		n, value := b.shown(), "none"
		for _, c := range b.log[:n] {
			for _, w := range c.writes {
				if w.item == it {
					value = w.data
				}
			}
		}
		for _, w := range s.writes {
			if w.item == it {
				value = w.data
			}
		}
		g.rec.add("runs at %s: %s %s (%s) sees %s", b.id, id, text, s.context(), b.position(n))
		fmt.Fprintf(&s.out, "DATAROW %s\r\n", value)
		s.complete(b.id + "." + id)
	}
}

func (s *serverSession) write(id, text, it, data string) bool {
	if !s.slot(s.b.work) {
		return true
	}
	b, g := s.b, s.b.group
	g.mu.Lock()
	if b != g.primary || s.readOnly && s.tx != 0 || s.replaced() {
		s.refuse("READONLY")
		g.mu.Unlock()
		return true
	}
	s.writes = append(s.writes, write{id, it, data})
	g.rec.add("runs at %s: %s %s (%s)", b.id, id, text, s.context())
	g.mu.Unlock()
	if s.tx != 0 {
		s.complete(b.id + "." + id)
		return true
	}
	return s.commitWrites(id)
}

func (s *serverSession) commit(id string) bool {
	if s.failed || s.tx == 0 {
		s.rollBack()
		s.refuse("ABORTED")
		return true
	}
	if !s.slot(s.b.work) {
		return true
	}
	lost := false
	s.b.state(func() { lost = s.replaced() && len(s.writes) > 0 })
	if lost {
		s.refuse("READONLY")
		return true
	}
	s.tx = 0
	return s.commitWrites(id)
}

// commitWrites appends the writes to the log and answers once a replica has received them.
func (s *serverSession) commitWrites(id string) bool {
	b, g := s.b, s.b.group
	if len(s.writes) == 0 {
		s.complete(b.id + "." + id)
		return true
	}
	g.mu.Lock()
	if b != g.primary || b.down {
		g.mu.Unlock()
		return false
	}
	c := commit{term: g.term, number: 1, writes: s.writes}
	if n := len(b.log); n > 0 {
		c.number = b.log[n-1].number + 1
	}
	b.log = append(b.log, c)
	s.writes = nil
	g.rec.add("commit of %s at %s is %d.%d", id, b.id, c.term, c.number)
	g.mu.Unlock()
	for {
		held, over := false, false
		g.mu.Lock()
		over = b != g.primary || b.down
		for _, r := range g.backends {
			held = held || r != b && !r.down && r.has(c.term, c.number)
		}
		if held = held || g.sync == 0; held && !over {
			g.acknowledged = append(g.acknowledged, c)
		}
		g.mu.Unlock()
		switch {
		case over:
			return false
		case held:
			s.complete(b.id + "." + id)
			return true
		}
		_ = s.conn.SetReadDeadline(time.Now().Add(2 * time.Millisecond))
		if _, err := s.in.Peek(1); err != nil {
			if ne, ok := err.(net.Error); !ok || !ne.Timeout() {
				return false
			}
		}
		_ = s.conn.SetReadDeadline(time.Time{})
	}
}
