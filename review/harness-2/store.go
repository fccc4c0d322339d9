package main

import (
	"encoding/base64"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// item is one key of the store, or in the history also the removal of a key.
type item struct {
	Key      string `json:"key"`
	Value    string `json:"value"`
	Revision uint64 `json:"revision"`
	Created  uint64 `json:"created"`
	Lease    uint64 `json:"lease"`
	Deleted  bool   `json:"deleted,omitempty"`
}

// deletion is an item in the history that was removed.
type deletion struct {
	Key      string `json:"key"`
	Revision uint64 `json:"revision"`
	Deleted  bool   `json:"deleted"`
}

type lease struct {
	ttl time.Duration
	end time.Time
}

// store is a stand-in of the platform's metadata store and of its call /promote.
type store struct {
	mu       sync.Mutex
	revision uint64
	items    map[string]item
	history  []any
	revs     []uint64
	leases   map[uint64]*lease
	nextID   uint64
	changed  chan struct{}
	groups   map[string]*group
	rec      *record
	address  string
	// promoteDelay returns how late a call to /promote is carried out, and whether it is answered.
	promoteDelay func() (late time.Duration, answered bool)
}

func newStore(rec *record, groups ...*group) *store {
	s := &store{revision: 100, items: map[string]item{}, leases: map[uint64]*lease{}, nextID: 7000, changed: make(chan struct{}), groups: map[string]*group{}, rec: rec}
	for _, g := range groups {
		s.groups[g.name] = g
	}
	l := listenLoopback()
	s.address = l.Addr().String()
	go func() { _ = http.Serve(l, http.HandlerFunc(s.serve)) }() //nolint:gosec // a stand-in on loopback
	go s.expire()
	return s
}

// host is the loopback address of this run. Another one than 127.0.0.1 has no outgoing connections that
// take a port which a stopped program will use again.
var host = fmt.Sprintf("127.%d.%d.%d", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250))

func listenLoopback() net.Listener {
	l, err := net.Listen("tcp4", host+":0")
	must(err)
	return l
}

func (s *store) expire() {
	for range time.Tick(10 * time.Millisecond) {
		s.mu.Lock()
		for id, l := range s.leases {
			if time.Now().After(l.end) {
				s.endLease(id)
			}
		}
		s.mu.Unlock()
	}
}

func (s *store) endLease(id uint64) {
	delete(s.leases, id)
	for key, it := range s.items {
		if it.Lease == id {
			s.removeKey(key)
		}
	}
}

func (s *store) removeKey(key string) {
	if _, ok := s.items[key]; !ok {
		return
	}
	delete(s.items, key)
	s.revision++
	s.append(deletion{key, s.revision, true})
}

func (s *store) append(event any) {
	s.history, s.revs = append(s.history, event), append(s.revs, s.revision)
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *store) putKey(key, value string, leaseID uint64) {
	s.revision++
	it := item{Key: key, Value: value, Revision: s.revision, Created: s.revision, Lease: leaseID}
	if before, ok := s.items[key]; ok {
		it.Created = before.Created
	}
	s.items[key] = it
	s.append(it)
}

// put writes a key as an operator or a server does. The store's answer is the acknowledgement.
func (s *store) put(key string, value any) {
	text, err := json.Marshal(value)
	must(err)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.putKey(key, base64.StdEncoding.EncodeToString(text), 0)
}

func (s *store) remove(key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.removeKey(key)
}

func (s *store) serve(w http.ResponseWriter, r *http.Request) {
	status, body := s.handle(r)
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		_ = json.NewEncoder(w).Encode(body)
	}
}

func number(text string) uint64 {
	n, _ := strconv.ParseUint(text, 10, 64)
	return n
}

func (s *store) handle(r *http.Request) (int, any) {
	q := r.URL.Query()
	path, ok := strings.CutPrefix(r.URL.Path, "/skylarkhinge/")
	switch {
	case r.URL.Path == "/promote":
		return s.promote(r)
	case !ok:
		return 404, nil
	case path == "kv-key":
		s.mu.Lock()
		defer s.mu.Unlock()
		it, ok := s.items[q.Get("key")]
		if !ok {
			return 404, map[string]any{"store_revision": s.revision}
		}
		return 200, map[string]any{"key": it.Key, "value": it.Value, "revision": it.Revision, "created": it.Created, "lease": it.Lease, "store_revision": s.revision}
	case path == "kv-range":
		return s.list(q.Get("prefix"), q.Get("after"))
	case path == "kv-watch":
		return s.watch(r, q.Get("prefix"), number(q.Get("after")), time.Duration(number(q.Get("wait_ms")))*time.Millisecond)
	case path == "kv-txn":
		return s.transact(r)
	case path == "kv-lease":
		var body struct {
			TTL int64 `json:"ttl_ms"`
		}
		if json.NewDecoder(r.Body).Decode(&body) != nil {
			return 400, nil
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		s.nextID++
		ttl := max(time.Second, time.Duration(body.TTL)*time.Millisecond)
		s.leases[s.nextID] = &lease{ttl, time.Now().Add(ttl)}
		return 200, map[string]any{"lease": s.nextID, "ttl_ms": ttl.Milliseconds()}
	case strings.HasPrefix(path, "kv-keep/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		l := s.leases[number(strings.TrimPrefix(path, "kv-keep/"))]
		if l == nil {
			return 404, nil
		}
		l.end = time.Now().Add(l.ttl)
		return 200, map[string]any{"ttl_ms": l.ttl.Milliseconds()}
	case strings.HasPrefix(path, "kv-lease-end/"):
		s.mu.Lock()
		defer s.mu.Unlock()
		id := number(strings.TrimPrefix(path, "kv-lease-end/"))
		if s.leases[id] == nil {
			return 404, nil
		}
		s.endLease(id)
		return 200, nil
	}
	return 404, nil
}

func (s *store) list(prefix, after string) (int, any) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var keys []string
	for key := range s.items {
		if strings.HasPrefix(key, prefix) && key > after {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	const page = 500
	more := len(keys) > page
	items := []item{}
	for _, key := range keys[:min(page, len(keys))] {
		items = append(items, s.items[key])
	}
	return 200, map[string]any{"items": items, "has_more": more, "store_revision": s.revision}
}

func (s *store) watch(r *http.Request, prefix string, after uint64, wait time.Duration) (int, any) {
	timeout := time.After(wait)
	for {
		s.mu.Lock()
		events := []any{}
		for i := len(s.history) - 1; i >= 0 && s.revs[i] > after; i-- {
			key := ""
			switch e := s.history[i].(type) {
			case item:
				key = e.Key
			case deletion:
				key = e.Key
			}
			if strings.HasPrefix(key, prefix) {
				events = append(events, s.history[i])
			}
		}
		slices.Reverse(events)
		revision, changed := s.revision, s.changed
		s.mu.Unlock()
		answer := map[string]any{"events": events, "store_revision": revision}
		if len(events) > 0 {
			return 200, answer
		}
		select {
		case <-changed:
		case <-timeout:
			return 200, answer
		case <-r.Context().Done():
			return 503, nil
		}
	}
}

func (s *store) transact(r *http.Request) (int, any) {
	var body struct {
		Precondition []struct {
			Key      string `json:"key"`
			Revision uint64 `json:"revision"`
		} `json:"precondition"`
		Puts []struct {
			Key   string `json:"key"`
			Value string `json:"value"`
			Lease uint64 `json:"lease"`
		} `json:"puts"`
		Remove []string `json:"remove"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil {
		return 400, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	holds, now := true, []item{}
	for _, c := range body.Precondition {
		it := s.items[c.Key]
		it.Key = c.Key
		now = append(now, it)
		holds = holds && it.Revision == c.Revision
	}
	if !holds {
		return 412, map[string]any{"items": now}
	}
	for _, p := range body.Puts {
		if p.Lease != 0 && s.leases[p.Lease] == nil {
			return 404, nil
		}
		if strings.HasPrefix(p.Key, "op/") || strings.HasPrefix(p.Key, "servers/") {
			return 403, nil
		}
	}
	for _, p := range body.Puts {
		s.putKey(p.Key, p.Value, p.Lease)
	}
	for _, key := range body.Remove {
		s.removeKey(key)
	}
	return 200, map[string]any{"revision": s.revision}
}

func (s *store) promote(r *http.Request) (int, any) {
	var body struct {
		Service string `json:"service"`
		ID      string `json:"id"`
	}
	if json.NewDecoder(r.Body).Decode(&body) != nil || s.groups[body.Service] == nil {
		return 400, nil
	}
	holder, fence := r.Header.Get("X-Skylarkhinge-Duty-Holder"), number(r.Header.Get("X-Skylarkhinge-Fence-Token"))
	g := s.groups[body.Service]
	carryOut := func() int {
		status := g.promote(body.ID, fence)
		s.rec.add("promote service=%s id=%s holder=%s fence=%d -> %d", body.Service, body.ID, holder, fence, status)
		return status
	}
	if s.promoteDelay != nil {
		if late, answered := s.promoteDelay(); !answered {
			s.rec.add("promote service=%s id=%s holder=%s fence=%d gets no answer and is carried out %v later", body.Service, body.ID, holder, fence, late)
			time.AfterFunc(late, func() { carryOut() })
			<-r.Context().Done()
			panic(http.ErrAbortHandler)
		}
	}
	return carryOut(), nil
}
