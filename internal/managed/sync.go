package managed

import (
	"context"
	"encoding/json"
	"errors"
	"math/rand/v2"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

const (
	// watchWait is how long the store holds a watch without changes. A watch that
	// reached the store in a short outage is never answered, so that watchWait and
	// watchSlack have to fit into the time in which a configuration takes force.
	watchWait  = 3500 * time.Millisecond
	watchSlack = 900 * time.Millisecond
	// retryMin and retryMax bound the pause after a failed call.
	retryMin = 50 * time.Millisecond
	retryMax = 800 * time.Millisecond
	// vmPrefix is before the keys of the proxies that run.
	vmPrefix = "vm/"
	// vmTTL is the time after which a lost proxy's share of connections is free.
	vmTTL = 6 * time.Second
	// vmRenewal is the time between renewals; two may fail.
	vmRenewal = 1900 * time.Millisecond
)

// proxyCount knows the proxies that share the upstreams' connections.
type proxyCount struct {
	listed map[string]gateway.Proxy
	// peak is the highest recent count. Entries can vanish together, and the
	// shares must not grow until that has lasted.
	peak      int
	peakSince time.Time
}

// peakHold is how long a higher count outlasts the entries.
const peakHold = 8 * time.Second

func (c *proxyCount) count() int { return max(1, c.peak) }

// update takes the entries into account. It reports whether count changed.
func (c *proxyCount) update(at time.Time) bool {
	before := c.count()
	if n := len(c.listed); n >= c.peak || at.Sub(c.peakSince) > peakHold {
		c.peak, c.peakSince = n, at
	}
	return c.count() != before
}

// proxyEntry is what a proxy writes of itself.
type proxyEntry struct {
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// PeerAddress is where other proxies hand sessions over.
	PeerAddress string `json:"peer_address"`
	// StatusAddress is where they ask for the configuration.
	StatusAddress string `json:"status_address"`
}

// storeSync keeps the proxy's view of the store: the configuration, the
// upstreams, the other proxies and the takeovers.
type storeSync struct {
	proxy    *Proxy
	revision uint64
	lost     time.Time
	// lostNow is set while the store does not answer.
	lostNow atomic.Bool
	lease   uint64
	// reregister tells that the own entry vanished.
	reregister chan struct{}
	// watching cancels the watch under way.
	watching atomic.Pointer[context.CancelFunc]
	// watcherName is the proxy that the changes come from, empty for the store.
	watcherName entity.VM
	// shareFrom is when the proxy may follow a watcher again.
	shareFrom time.Time
}

func newStoreSync(p *Proxy) *storeSync {
	return &storeSync{proxy: p, reregister: make(chan struct{}, 1)}
}

func (s *storeSync) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.keepListed(ctx)
	}()
	if s.proxy.options.Peers != nil {
		go s.relayDocuments(ctx)
	}
	s.follow(ctx)
	<-done
}

// follow lists the store once and then watches it.
func (s *storeSync) follow(ctx context.Context) {
	pause := retryMin
	for ctx.Err() == nil {
		err := s.step(ctx)
		if err == nil {
			pause = retryMin
			s.regained()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			s.revision = 0
			continue
		}
		if s.lost.IsZero() {
			s.lost = time.Now()
			s.lostNow.Store(true)
			s.proxy.events.storeLost("follow", err)
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, retryMax)
	}
}

func (s *storeSync) regained() {
	if !s.lost.IsZero() {
		s.proxy.events.storeRegained(time.Since(s.lost))
		s.lost = time.Time{}
		s.lostNow.Store(false)
	}
}

func (s *storeSync) step(ctx context.Context) error {
	if s.revision == 0 {
		return s.list(ctx)
	}
	changes, revision, err := s.next(ctx)
	if err != nil {
		return err
	}
	s.apply(changes)
	s.revision = revision
	if len(changes) > 0 && s.watcherName == "" {
		sleep(ctx, s.proxy.coalesceTime())
	}
	return nil
}

// The pause after a change and before the next watch. Changes come in series, and
// each watch of each proxy counts as a call, so that it grows with the fleet. A
// change that comes alone is never delayed.
const (
	coalescePerProxy = 5 * time.Millisecond
	coalesceMax      = 400 * time.Millisecond
)

func (p *Proxy) coalesceTime() time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(time.Duration(p.proxies.count())*coalescePerProxy, coalesceMax)
}

func anyProxies(changes []Change) bool {
	return slices.ContainsFunc(changes, func(c Change) bool { return strings.HasPrefix(c.Key, vmPrefix) })
}

// list reads everything. What is not listed counts as removed.
func (s *storeSync) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, 2*storeTimeout)
	defer cancel()
	changes, revision, err := s.proxy.options.Store.List(ctx)
	if err != nil {
		return err
	}
	s.proxy.markUnlisted(changes)
	s.apply(changes)
	s.revision = revision
	return nil
}

func (s *storeSync) apply(changes []Change) {
	p := s.proxy
	for i := range changes {
		c := &changes[i]
		switch {
		case c.DecodeErr != nil:
			p.events.entryProblem(string(c.MemberName), c.DecodeErr)
		case c.Document != nil:
			p.setDocument(c.Document)
		case c.Member != nil:
			p.putMember(*c.Member)
		case c.MemberName != "":
			p.removeMember(c.MemberName)
		case strings.HasPrefix(c.Key, vmPrefix):
			s.applyProxy(c)
		case strings.HasPrefix(c.Key, claimPrefix):
			name := entity.Database(c.Key[len(claimPrefix):])
			p.database(name).noteClaim(c.Value, c.Revision, c.Removed)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proxies.update(time.Now()) {
		p.events.proxiesChanged(p.proxies.count())
	}
	if anyProxies(changes) {
		p.applyShares()
	}
}

func (s *storeSync) applyProxy(c *Change) {
	p := s.proxy
	name := c.Key[len(vmPrefix):]
	var entry proxyEntry
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &entry); err != nil {
			p.events.entryProblem(c.Key, err)
			return
		}
	}
	p.mu.Lock()
	if c.Removed {
		delete(p.proxies.listed, name)
	} else {
		p.proxies.listed[name] = gateway.Proxy{
			VM: entity.VM(name), AvailabilityZone: entry.AvailabilityZone, Region: entry.Region, Address: entry.PeerAddress,
			StatusAddress: entry.StatusAddress,
		}
	}
	p.mu.Unlock()
	if c.Removed && name == p.settings().VM {
		select {
		case s.reregister <- struct{}{}:
		default:
		}
	}
}

// keepListed keeps the proxy's own entry in the store until ctx ends.
func (s *storeSync) keepListed(ctx context.Context) {
	listed := false
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			s.unlist()
			return
		case <-s.proxy.draining:
			// Other proxies stop handing sessions over to this one.
			s.unlist()
			return
		case <-s.reregister:
			// The entry vanished although its lease may go on.
			listed = false
		case <-timer.C:
		}
		if err := s.keepOnce(ctx, listed); err != nil {
			if errors.Is(err, ErrLeaseExpired) {
				s.lease = 0
			}
			listed = false
			s.proxy.events.storeFailed("register", err)
			if cancel := s.watching.Load(); cancel != nil {
				(*cancel)()
			}
			timer.Reset(retryMax/2 + rand.N(retryMax))
			continue
		}
		listed = true
		timer.Reset(vmRenewal)
	}
}

func (s *storeSync) keepOnce(ctx context.Context, listed bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := s.proxy.options.Store
	if listed {
		err := store.RenewLease(ctx, s.lease)
		if err == nil {
			s.proxy.watched.touch()
		}
		return err
	}
	if s.lease == 0 {
		lease, err := store.GrantLease(ctx, vmTTL)
		if err != nil {
			return err
		}
		s.lease = lease
	}
	self := s.proxy.self()
	key := vmPrefix + string(self.VM)
	value, err := json.Marshal(proxyEntry{self.AvailabilityZone, self.Region, self.Address, self.StatusAddress})
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, value, 0, s.lease)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	// An entry of this VM's previous process is still there.
	_, revision, err := store.Get(ctx, key)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, value, revision, s.lease)
	return err
}

// unlist gives the share of connections back at once.
func (s *storeSync) unlist() {
	if s.lease == 0 {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), exitMargin)
	defer cancel()
	if err := s.proxy.options.Store.RevokeLease(ctx, s.lease); err != nil {
		s.proxy.events.storeFailed("unregister", err)
	}
}

func sleep(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
