package managed

import (
	"cmp"
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
	// watchWait is how long the store holds a watch without changes; watchSlack is the
	// additional time in which the answer must begin. A watch sent during a short store outage is
	// never answered, so their sum must fit into the time in which a configuration must
	// take effect.
	watchWait  = 3500 * time.Millisecond
	watchSlack = 900 * time.Millisecond
	// minSyncBackoff and maxSyncBackoff bound the delay after a failed call.
	minSyncBackoff = 50 * time.Millisecond
	maxSyncBackoff = 800 * time.Millisecond
	// maxRegisterBackoff bounds the delay after a failed registration or lease renewal. The
	// first delays are shorter, so that a lease outlasts two failed renewals.
	maxRegisterBackoff = 3200 * time.Millisecond
	// vmPrefix is the key prefix of the entries of running proxies.
	vmPrefix = "vm/"
	// vmTTL is the lease time of a proxy's entry. A failed proxy's share of connections is
	// free after it.
	vmTTL = 6 * time.Second
	// vmRenewal is the interval between lease renewals. Two may fail before the lease
	// expires.
	vmRenewal = 1900 * time.Millisecond
)

// proxyRegistry tracks the proxies that share the upstreams' connections.
type proxyRegistry struct {
	// listed is keyed by VM name.
	listed map[string]gateway.Proxy
	// peak is the highest recent number of entries. The shares must not grow at once
	// when all entries vanish together, as when the store revokes leases.
	peak      int
	peakSince time.Time
	// fleet are this proxy and the listed ones that accept sessions, of which there are
	// fleetSize. It is nil if it has to be built again.
	fleet     *gateway.Fleet
	fleetSize int
}

// put adds or replaces an entry.
func (c *proxyRegistry) put(name string, p gateway.Proxy) {
	if c.listed[name] != p {
		c.listed[name], c.fleet = p, nil
	}
}

func (c *proxyRegistry) remove(name string) {
	delete(c.listed, name)
	c.fleet = nil
}

// gatewayFleet returns the proxies among which gateways are chosen.
func (c *proxyRegistry) gatewayFleet(self gateway.Proxy) *gateway.Fleet {
	if c.fleet != nil {
		return c.fleet
	}
	proxies := []gateway.Proxy{self}
	for _, other := range c.listed {
		if other.VM != self.VM && other.Address != "" {
			proxies = append(proxies, other)
		}
	}
	c.fleet, c.fleetSize = gateway.NewFleet(proxies), len(proxies)
	return c.fleet
}

// peakHoldTime is how long a higher count is kept after entries were removed.
const peakHoldTime = 8 * time.Second

func (c *proxyRegistry) count() int { return max(1, c.peak) }

// update recomputes the count from the entries. It reports whether it changed.
func (c *proxyRegistry) update(at time.Time) bool {
	before := c.count()
	if n := len(c.listed); n >= c.peak || at.Sub(c.peakSince) > peakHoldTime {
		c.peak, c.peakSince = n, at
	}
	return c.count() != before
}

// proxyEntry is the stored value of a proxy's own entry.
type proxyEntry struct {
	AvailabilityZone string `json:"availability_zone"`
	Region           string `json:"region"`
	// PeerAddress is the address for sessions handed over by other proxies.
	PeerAddress string `json:"peer_address"`
	// StatusAddress is the HTTP address for configuration and change requests.
	StatusAddress string `json:"status_address"`
	// LinkMbps is the bandwidth of the VM's network link, 0 if it is unknown.
	LinkMbps float64 `json:"link_mbps,omitempty"`
}

// storeSync keeps the proxy's copy of the store up to date: configuration, upstreams, other
// proxies and takeover claims. It also keeps the proxy's own entry registered.
type storeSync struct {
	proxy *Proxy
	// revision is the store revision up to which changes are applied.
	revision Revision
	// mustList is set while the store must be listed, since its changes after revision are not
	// available.
	mustList  bool
	lostSince time.Time
	lease     Lease
	// reregister signals that the proxy's own entry was removed from the store.
	reregister chan struct{}
	// listed is closed after the first listing. ownRevision is the revision of the entry
	// that this VM's previous process left, 0 if there is none.
	listed      chan struct{}
	ownRevision atomic.Uint64
	// cancelWatch cancels the current watch of the store, nil if there is none.
	cancelWatch atomic.Pointer[context.CancelFunc]
	// watcherName is the proxy that changes are read from, empty for the store.
	watcherName entity.VM
	// source chooses the proxy that changes are read from.
	source gateway.WatchSource
	// startedAt is when the first listing was complete.
	startedAt entity.Time
	// answeredAt is when the state of the store was last known: when the last answer arrived.
	answeredAt entity.Time
	// endedByChange is set if the last watch of the store ended with a change. The watches of
	// all proxies end then, and the next wait is randomised so that they do not stay in step:
	// if the store fails, one of them has confirmed the configuration shortly before.
	endedByChange bool
	// refusedRevision is the revision of the store's configuration if it could not be
	// decoded, else 0. The configuration in force is older then, so nothing is confirmed.
	refusedRevision uint64
}

func newStoreSync(p *Proxy) *storeSync {
	return &storeSync{proxy: p, mustList: true, reregister: make(chan struct{}, 1), listed: make(chan struct{})}
}

func (s *storeSync) run(ctx context.Context) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.keepRegistered(ctx)
	}()
	if s.proxy.options.Peers != nil {
		go s.relayDocuments(ctx)
	}
	s.syncLoop(ctx)
	<-done
}

// syncLoop lists the store and then watches it, listing again after a compaction.
func (s *storeSync) syncLoop(ctx context.Context) {
	pause := minSyncBackoff
	for ctx.Err() == nil {
		err := s.syncOnce(ctx)
		if err == nil {
			pause = minSyncBackoff
			s.recordRegained()
			continue
		}
		if ctx.Err() != nil {
			return
		}
		if errors.Is(err, ErrCompacted) {
			s.mustList = true
			continue
		}
		if s.lostSince.IsZero() {
			s.lostSince = time.Now()
			s.proxy.storeLost.Store(true)
			s.proxy.events.storeLost("follow", err)
		}
		sleep(ctx, pause/2+rand.N(pause))
		pause = min(2*pause, maxSyncBackoff)
	}
}

func (s *storeSync) recordRegained() {
	if !s.lostSince.IsZero() {
		s.proxy.events.storeRegained(time.Since(s.lostSince))
		s.lostSince = time.Time{}
		s.proxy.storeLost.Store(false)
	}
}

func (s *storeSync) syncOnce(ctx context.Context) error {
	if s.mustList || s.proxy.options.Store.Epoch() != s.revision.Epoch {
		return s.list(ctx)
	}
	u, err := s.nextChanges(ctx)
	if err != nil {
		return err
	}
	s.applyUpdate(ctx, &u)
	if len(u.changes) > 0 && s.watcherName == "" {
		sleep(ctx, s.coalesceDelay())
	}
	return nil
}

// unseenSince returns since when changes may not have been seen that an answer shows, 0 if they are new.
func (s *storeSync) unseenSince() entity.Time {
	switch {
	case s.answeredAt == 0:
		// An upstream may have left for any time before this proxy started.
		return now().Add(-s.proxy.settings().LeavingGrace)
	case s.lostSince.IsZero() && !s.mustList:
		return 0
	}
	return s.answeredAt
}

// applyUpdate applies an update and confirms the configuration with it. Without the
// configuration that the update announces, its changes will be read again, from another source.
func (s *storeSync) applyUpdate(ctx context.Context, u *update) {
	s.apply(u.changes, u.revision.Epoch)
	if s.watcherName == "" {
		// The changes are in effect, so that followers do not hear of a configuration that this
		// proxy does not serve yet.
		s.proxy.watchLog.append(s.revision, u.revision, u.changes, u.sent)
	} else if err := s.fetchDocument(ctx, u); err != nil {
		s.proxy.events.rateLimited("watcher_failed", "fetch_document", string(u.watcher.VM), nil, err)
		s.source.RecordFailure(now(), u.watcher.VM, false)
		return
	}
	s.setRevision(u.revision)
	s.confirm(u.sent, u.age)
}

// coalescePerProxy and coalesceMax set the delay of the next watch after a change, so that
// a burst of changes takes few calls to the store. Every proxy that watches makes these
// calls, so the delay grows with the number of proxies. A single change is not delayed.
const (
	coalescePerProxy = 5 * time.Millisecond
	coalesceMax      = 400 * time.Millisecond
	// startupTime is the time after the first listing in which the delay is coalesceMax:
	// the other proxies of a fleet that starts register one after the other.
	startupTime = time.Second
	// coalesceUnwatched is the delay of a proxy that reads from the store because its
	// watchers fail. All proxies of an availability zone may do so at once.
	coalesceUnwatched = time.Second
)

func (s *storeSync) coalesceDelay() time.Duration {
	p := s.proxy
	if _, follows := gateway.WatcherOf(s.watchers(), p.self().VM); follows {
		return coalesceUnwatched
	}
	if now().Sub(s.startedAt) < startupTime {
		return coalesceMax
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return min(time.Duration(p.proxies.count())*coalescePerProxy, coalesceMax)
}

func containsProxyEntry(changes []Change) bool {
	return slices.ContainsFunc(changes, func(c Change) bool { return strings.HasPrefix(c.Key, vmPrefix) })
}

// list reads all entries. Known entries that are not listed are removed.
func (s *storeSync) list(ctx context.Context) error {
	ctx, cancel := withAnswerWait(ctx, 2*storeTimeout, nil)
	defer cancel()
	sent := now()
	changes, revision, err := s.proxy.options.Store.List(ctx)
	if err != nil {
		return err
	}
	s.recordEpoch(revision)
	s.proxy.events.storeListed(revision, changes)
	s.proxy.markUnlisted(changes, revision)
	s.apply(changes, revision.Epoch)
	s.setRevision(revision)
	s.mustList = false
	s.confirm(sent, 0)
	if s.startedAt == 0 {
		// A proxy that cannot register serves its callers as well.
		time.AfterFunc(maxFleetUnknown, s.proxy.setFleetKnown)
		s.startedAt = now()
		s.proxy.firstListingDone.Store(true)
		close(s.listed)
		if len(s.watchers()) == 0 {
			// The other proxies of a fleet that starts register within this time, so that most
			// proxies find a watcher and do not watch the store themselves.
			sleep(ctx, coalesceMax)
		}
	}
	return nil
}

// setRevision records that all changes up to a revision are applied.
func (s *storeSync) setRevision(revision Revision) {
	s.revision = revision
	s.proxy.appliedRevision.Store(&revision)
}

// recordEpoch records the epoch of a listing.
func (s *storeSync) recordEpoch(listed Revision) {
	if before := s.proxy.storeEpoch.Load(); before != nil && before.epoch == listed.Epoch {
		return
	}
	restored := s.revision != (Revision{})
	if restored {
		s.proxy.events.storeRestored(s.revision, listed)
	}
	s.proxy.storeEpoch.Store(&epochStart{epoch: listed.Epoch, at: now(), restored: restored})
}

// maxFleetUnknown bounds the time after the first listing until this proxy acts as a gateway
// although it has not seen its own entry.
const maxFleetUnknown = 2 * time.Second

// apply applies changes of the given epoch.
func (s *storeSync) apply(changes []Change, epoch uint64) {
	p := s.proxy
	p.unseenSince.Store(int64(s.unseenSince()))
	defer p.unseenSince.Store(0)
	defer func() {
		s.answeredAt = now()
		if s.ownRevision.Load() != 0 {
			p.setFleetKnown()
		}
	}()
	for i := range changes {
		c := &changes[i]
		switch {
		case c.DecodeErr != nil && c.isConfiguration():
			s.refuseDocument(c)
		case c.DecodeErr != nil:
			p.events.entryRefused(cmp.Or(string(c.MemberName), c.Key), c.DecodeErr)
			p.removeMember(c.MemberName)
		case c.Document != nil:
			s.refusedRevision = 0
			p.setDocument(c.Document)
		case c.Member != nil:
			p.putMember(*c.Member, Revision{epoch, c.Revision})
		case c.MemberName != "":
			p.removeMember(c.MemberName)
		case strings.HasPrefix(c.Key, vmPrefix):
			s.applyProxy(c)
		case strings.HasPrefix(c.Key, claimPrefix):
			name := entity.Database(c.Key[len(claimPrefix):])
			p.database(name).applyClaim(c.Value, Revision{epoch, c.Revision}, c.Removed)
		case strings.HasPrefix(c.Key, ordersPrefix):
			name := entity.Database(c.Key[len(ordersPrefix):])
			p.database(name).applyOrders(c.Value, Revision{epoch, c.Revision}, c.Removed)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.proxies.update(time.Now()) {
		p.events.proxiesChanged(p.proxies.count())
	}
	if containsProxyEntry(changes) {
		p.scheduleAssignments()
	}
}

func (s *storeSync) applyProxy(c *Change) {
	p := s.proxy
	name := c.Key[len(vmPrefix):]
	var entry proxyEntry
	if !c.Removed {
		if err := json.Unmarshal(c.Value, &entry); err != nil {
			p.events.entryRefused(c.Key, err)
			return
		}
	}
	p.mu.Lock()
	if c.Removed {
		p.proxies.remove(name)
	} else {
		p.proxies.put(name, gateway.Proxy{
			VM: entity.VM(name), AvailabilityZone: entry.AvailabilityZone, Region: entry.Region, Address: entry.PeerAddress,
			StatusAddress: entry.StatusAddress, LinkMbps: entry.LinkMbps,
		})
	}
	p.mu.Unlock()
	if name != p.settings().VM {
		return
	}
	if !c.Removed {
		s.ownRevision.Store(c.Revision)
		return
	}
	s.ownRevision.Store(0)
	select {
	case s.reregister <- struct{}{}:
	default:
	}
}

// keepRegistered keeps the proxy's own entry in the store until ctx is cancelled or the
// shutdown begins.
func (s *storeSync) keepRegistered(ctx context.Context) {
	listed := false
	defer s.proxy.renewalFails.Store(false)
	select {
	case <-s.listed:
	case <-time.After(storeTimeout):
	case <-ctx.Done():
	}
	timer := time.NewTimer(0)
	defer timer.Stop()
	backoff := maxSyncBackoff
	for {
		select {
		case <-ctx.Done():
			s.unregister()
			return
		case <-s.proxy.drainStarted:
			// Without the entry other proxies hand over no more sessions.
			s.unregister()
			return
		case <-s.reregister:
			// The entry was removed although its lease may still be valid.
			listed = false
		case <-timer.C:
		}
		if err := s.registerOrRenew(ctx, listed); err != nil {
			if errors.Is(err, ErrLeaseExpired) {
				// The entry has ended with the lease.
				s.lease, listed = Lease{}, false
				s.ownRevision.Store(0)
			}
			// The entry exists as long as its lease, so a failed renewal is repeated: it costs a
			// tenth of writing the entry again.
			s.proxy.renewalFails.Store(listed)
			s.proxy.events.storeFailed("register", err)
			if cancel := s.cancelWatch.Load(); cancel != nil {
				(*cancel)()
			}
			timer.Reset(backoff/2 + rand.N(backoff/2))
			backoff = min(2*backoff, maxRegisterBackoff)
			continue
		}
		s.proxy.renewalFails.Store(false)
		listed, backoff = true, maxSyncBackoff
		timer.Reset(vmRenewal)
	}
}

func (s *storeSync) registerOrRenew(ctx context.Context, listed bool) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	store := s.proxy.options.Store
	if listed {
		s.proxy.renewalSentAt.Store(int64(now()))
		err := store.RenewLease(ctx, s.lease)
		s.proxy.renewalSentAt.Store(0)
		if err == nil {
			s.proxy.watchLog.recordContact()
		}
		return err
	}
	if s.lease == (Lease{}) {
		lease, err := store.GrantLease(ctx, vmTTL)
		if err != nil {
			return err
		}
		s.lease = lease
	}
	self := s.proxy.self()
	key := vmPrefix + string(self.VM)
	value, err := json.Marshal(proxyEntry{self.AvailabilityZone, self.Region, self.Address, self.StatusAddress, self.LinkMbps})
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, value, s.ownRevision.Load(), s.lease)
	if !errors.Is(err, ErrConflict) {
		return err
	}
	// The entry was written or has expired since the last change that this proxy read.
	revision, err := currentRevision(ctx, store, key, err)
	if err != nil {
		return err
	}
	_, err = store.Put(ctx, key, value, revision, s.lease)
	return err
}

// currentRevision returns the revision of a key after a conflict, which usually tells it.
func currentRevision(ctx context.Context, store Store, key string, conflict error) (uint64, error) {
	var told *ConflictError
	if errors.As(conflict, &told) {
		return told.Revision, nil
	}
	_, revision, err := store.Get(ctx, key)
	return revision.Number, err
}

// unregister revokes the lease, which frees the proxy's share of connections at once.
func (s *storeSync) unregister() {
	if s.lease == (Lease{}) {
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
