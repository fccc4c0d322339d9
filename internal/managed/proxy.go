package managed

import (
	"context"
	"maps"
	"net"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
	"skylarkhinge.dev/skylarkhinge/internal/managed/quota"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// Options are the dependencies and settings of a Proxy.
type Options struct {
	// Settings are the initial settings. Reload can change some of them.
	Settings *config.ManagedSettings
	Store    Store
	Protocol Protocol
	Promoter Promoter
	// Peers fetches store data from other proxies. It may be nil.
	Peers Peers
	// NewCaller wraps an accepted connection in the callers' protocol.
	NewCaller func(net.Conn) CallerConn
	// Regions maps each availability zone to its region.
	Regions map[string]string
	// Log must have an output that is safe for concurrent use.
	Log *logrus.Logger
}

// Proxy serves callers of managed databases.
type Proxy struct {
	options Options
	events  *events
	// observer is nil if metrics are disabled.
	observer *observer
	// store is the store of the options with its calls counted.
	store *countedStore
	drain drainSchedule
	// effective are the current settings; see Reload.
	effective atomic.Pointer[config.ManagedSettings]

	// documentMu is held while a document takes effect. The store and other proxies may
	// deliver documents at the same time, and an older one must not replace a newer one.
	documentMu        sync.Mutex
	currentDocument   atomic.Pointer[Document]
	confirmation      configurationConfirmation
	suspectedGateways suspectedGateways
	// createdAt is when this process began: it has reported no commit before.
	createdAt entity.Time
	// watchLog holds the store changes that this proxy serves to other proxies.
	watchLog *watchLog
	// configured is closed when the first configuration takes effect.
	configured chan struct{}
	// fleetKnown is set once this proxy has seen its own entry in the store, and with it
	// those of the other proxies.
	fleetKnown atomic.Bool
	// firstListingDone is set once the entries of the first listing have been applied.
	firstListingDone atomic.Bool
	// storeEpoch is the epoch of the store that is applied, nil before the first listing.
	storeEpoch atomic.Pointer[epochStart]
	// appliedRevision is the revision of the store up to which all changes are applied, nil
	// before the first listing.
	appliedRevision atomic.Pointer[Revision]
	// unseenSince is since when changes of the store were not seen, while those of the first answer after
	// that are applied, else 0.
	unseenSince atomic.Int64
	// storeLost is set while the store does not answer.
	storeLost atomic.Bool
	// renewalFails is set while the renewal of the proxy's lease fails. The store gets no other calls
	// then: a renewal costs a tenth of a watch.
	renewalFails atomic.Bool
	// renewalSentAt is when the renewal of the proxy's lease that is in progress was sent, 0 if none
	// is.
	renewalSentAt atomic.Int64
	// drainStarted is closed when the shutdown begins.
	drainStarted chan struct{}

	mu        sync.Mutex
	databases map[entity.Database]*database
	// databaseByMember maps each listed upstream to its database.
	databaseByMember map[entity.Upstream]*database
	proxies          proxyRegistry
	// assignedAt is when the gateways of all databases were last computed.
	assignedAt           entity.Time
	assignmentsScheduled bool
	sessions             map[*session]struct{}
	// ctx is the context of Serve.
	ctx context.Context
	// quotas is nil if the settings have no quota window.
	quotas *quota.Service
}

// EnableMetrics creates the proxy's metrics. It must be called before Serve.
func (p *Proxy) EnableMetrics() (*telemetry.Metrics, error) {
	metrics, err := telemetry.New(p.sample)
	if err != nil {
		return nil, err
	}
	p.observer = &observer{metrics: metrics}
	return metrics, nil
}

// New returns a Proxy. Call Serve to run it.
func New(options Options) *Proxy {
	store := &countedStore{Store: options.Store}
	options.Store = store
	p := &Proxy{
		createdAt:        now(),
		options:          options,
		store:            store,
		events:           newEvents(options.Log, options.Settings.VM),
		databases:        map[entity.Database]*database{},
		databaseByMember: map[entity.Upstream]*database{},
		sessions:         map[*session]struct{}{},
		proxies:          proxyRegistry{listed: map[string]gateway.Proxy{}},
		ctx:              context.Background(),

		watchLog:     newWatchLog(),
		configured:   make(chan struct{}),
		drainStarted: make(chan struct{}),
	}
	p.applySettings(options.Settings)
	p.currentDocument.Store(&Document{})
	p.quotas = newQuotas(p)
	return p
}

func (p *Proxy) settings() *config.ManagedSettings { return p.effective.Load() }

func (p *Proxy) applySettings(settings *config.ManagedSettings) {
	p.effective.Store(settings)
	p.events.setBudget(settings.LogLinesPerSecond, settings.LogBytesPerSecond)
}

// Reload applies the settings that can change at run time. A shutdown already in progress
// keeps its grace period. It reports whether other settings differ as well; those take
// effect at the next restart. It must not be called concurrently.
func (p *Proxy) Reload(next *config.ManagedSettings) (restart bool) {
	merged, restart := p.settings().MergeReloadable(next)
	p.applySettings(merged)
	p.events.reloaded(merged, restart)
	return restart
}

func (p *Proxy) document() *Document { return p.currentDocument.Load() }

func (p *Proxy) route(name string) (Route, bool) {
	r, ok := p.document().Routes[name]
	return r, ok
}

// configurationWait bounds how long a new session waits for the first configuration.
// Callers give up a session after 2 s.
const configurationWait = 1600 * time.Millisecond

// awaitRoute returns the route for a database name. It waits for the first configuration,
// because callers reach a proxy that has just started if no other proxy of the availability
// zone is ready.
func (p *Proxy) awaitRoute(name string) (Route, bool) {
	if p.document().Version == 0 {
		select {
		case <-p.configured:
		case <-time.After(configurationWait):
		}
	}
	return p.route(name)
}

// database returns a database, creating it and starting its monitor if necessary.
func (p *Proxy) database(name entity.Database) *database {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.databaseLocked(name)
}

func (p *Proxy) databaseLocked(name entity.Database) *database {
	d, ok := p.databases[name]
	if !ok {
		d = newDatabase(p, name)
		p.databases[name] = d
		d.mu.Lock()
		d.limits = p.document().Databases[name]
		d.setPolicy(schedulingPolicy(p.document()))
		d.applyAssignment(p.assignGateways(d.name, d.gatewayLimits()))
		d.mu.Unlock()
		d.monitor.ctx = p.ctx
		d.monitor.wake()
	}
	return d
}

// NotReadyReason returns why the proxy should not get new callers, empty if it is ready.
func (p *Proxy) NotReadyReason() string {
	switch {
	case p.drain.active():
		return "shutting down"
	case p.document().Version == 0:
		return "no configuration yet"
	case p.configurationExpired(now()):
		return "configuration is out of date"
	}
	return ""
}

// Serve runs the proxy until a shutdown completes or ctx is cancelled. It accepts callers
// on listener and sessions handed over by other proxies on peers, which may be nil. It
// closes both.
func (p *Proxy) Serve(ctx context.Context, listener, peers net.Listener) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	p.mu.Lock()
	p.ctx = ctx
	p.mu.Unlock()
	synced := make(chan struct{})
	go func() {
		defer close(synced)
		newStoreSync(p).run(ctx)
	}()
	go p.logSummaries(ctx)
	if p.settings().StrictRevocation {
		go p.logConfigurationAge(ctx)
	}
	if p.quotas != nil {
		if address := p.settings().MetricsAddress; address != "" {
			if err := p.quotas.ListenDatagrams(address); err != nil {
				p.events.rateLimited("listen_failed", "listen_datagrams", address, nil, err)
			}
		}
		p.quotas.Start()
		defer p.quotas.Stop()
	}
	accepted := make(chan error, 2)
	go func() { accepted <- p.accept(listener, false) }()
	if peers != nil {
		go func() { accepted <- p.accept(peers, true) }()
		defer peers.Close()
	}
	err := p.awaitShutdown(ctx, accepted)
	// Sessions no longer need the listener, so the error is ignored.
	_ = listener.Close()
	cancel()
	<-synced
	return err
}

// summaryInterval is the interval between log lines about omitted lines and pool usage.
const summaryInterval = 5 * time.Second

func (p *Proxy) logSummaries(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.events.logOmitted()
			p.events.logStoreCalls(p.store.logFields())
			p.logPools()
		}
	}
}

// logPools logs connection and queue usage, one line per database in use. A proxy uses few
// of the thousands of databases.
func (p *Proxy) logPools() {
	for _, d := range p.sortedDatabases() {
		if u := d.poolUsage(); u.open > 0 || u.queued > 0 {
			p.events.logPool(u)
		}
	}
}

// sortedDatabases returns the databases ordered by name.
func (p *Proxy) sortedDatabases() []*database {
	p.mu.Lock()
	databases := slices.Collect(maps.Values(p.databases))
	p.mu.Unlock()
	slices.SortFunc(databases, func(a, b *database) int { return strings.Compare(string(a.name), string(b.name)) })
	return databases
}

func (p *Proxy) accept(listener net.Listener, fromPeer bool) error {
	for {
		conn, err := listener.Accept()
		if err != nil {
			if isClosed(err) {
				return nil
			}
			p.events.rateLimited("accept_failed", "accept", "", nil, err)
			time.Sleep(acceptRetryDelay)
			continue
		}
		go p.serveCaller(conn, fromPeer)
	}
}

// acceptRetryDelay is the delay after a failed accept, usually caused by a lack of file
// descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// reservedDescriptors is the number of file descriptors not available to callers: files,
// listeners, the store and upstream connections.
const reservedDescriptors = 600

func (p *Proxy) serveCaller(conn net.Conn, fromPeer bool) {
	s := &session{proxy: p, caller: p.options.NewCaller(conn), fromPeer: fromPeer}
	p.mu.Lock()
	full := len(p.sessions) >= p.settings().MaxDescriptors-reservedDescriptors
	if !full {
		p.sessions[s] = struct{}{}
	}
	p.mu.Unlock()
	if full {
		s.reject(CodeConnectionLimit, "proxy has no descriptors left")
		s.close()
		return
	}
	s.serve()
	p.mu.Lock()
	delete(p.sessions, s)
	p.mu.Unlock()
}

// Drain begins a graceful shutdown.
func (p *Proxy) Drain() {
	if grace := p.settings().ShutdownGrace; p.drain.begin(grace) {
		close(p.drainStarted)
		p.events.stateChanged("shutdown_began", logrus.Fields{"grace_ms": grace.Milliseconds()})
	}
}

// drainPollInterval is the interval at which a shutdown checks for open sessions.
const drainPollInterval = 50 * time.Millisecond

func (p *Proxy) awaitShutdown(ctx context.Context, accepted <-chan error) error {
	ticker := time.NewTicker(drainPollInterval)
	defer ticker.Stop()
	interrupted := false
	for {
		select {
		case err := <-accepted:
			return oops.With("step", "accept").Wrap(err)
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if !p.drain.outOfRotation() {
			continue
		}
		if !interrupted {
			p.interruptSessions()
			interrupted = true
		}
		if open := p.openSessions(); open == 0 || time.Now().After(p.drain.exitDeadline()) {
			p.events.stateChanged("shutdown_ended", logrus.Fields{"sessions": open})
			return nil
		}
	}
}

func (p *Proxy) openSessions() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.sessions)
}

func (p *Proxy) interruptSessions() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for s := range p.sessions {
		if err := s.caller.Interrupt(); err != nil && !isClosed(err) {
			p.events.rateLimited("interrupt_failed", "shutdown", "", nil, err)
		}
	}
}

// setDocument puts a configuration into effect unless its version is not newer than the
// current one.
func (p *Proxy) setDocument(doc *Document) {
	p.documentMu.Lock()
	defer p.documentMu.Unlock()
	if doc.Version <= p.document().Version {
		if doc.Version < p.document().Version {
			p.events.documentInForce(doc, true)
		}
		return
	}
	first := p.document().Version == 0
	p.currentDocument.Store(doc)
	if first {
		close(p.configured)
	}
	p.events.documentInForce(doc, false)
	if p.observer != nil {
		p.observer.metrics.CountDocumentInForce(operatorsDocument)
	}
	policy := schedulingPolicy(doc)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range doc.Databases {
		p.databaseLocked(name)
	}
	for name, d := range p.databases {
		d.mu.Lock()
		d.limits = doc.Databases[name]
		d.setPolicy(policy)
		d.applyAssignment(p.assignGateways(d.name, d.gatewayLimits()))
		d.mu.Unlock()
	}
}

// applyAssignments recomputes the gateways and connection shares of all databases after the
// set of proxies changed. The proxy's mutex is held.
func (p *Proxy) applyAssignments() {
	for _, d := range p.databases {
		d.mu.Lock()
		d.applyAssignment(p.assignGateways(d.name, d.gatewayLimits()))
		d.mu.Unlock()
	}
}

// maxAssignmentWork is the product of databases and proxies up to which the gateways are
// recomputed at each change of the list of proxies, which takes about 1 ms. Beyond it, they are
// recomputed once in assignmentInterval: a fleet of hundreds that starts changes its list
// all the time.
const (
	maxAssignmentWork  = 20_000
	assignmentInterval = time.Second
)

// scheduleAssignments recomputes the gateways of all databases now or soon. The proxy's
// mutex is held.
func (p *Proxy) scheduleAssignments() {
	wait := assignmentInterval - now().Sub(p.assignedAt)
	if wait <= 0 || len(p.databases)*len(p.proxies.listed) <= maxAssignmentWork {
		p.assignedAt = now()
		p.applyAssignments()
		return
	}
	if p.assignmentsScheduled {
		return
	}
	p.assignmentsScheduled = true
	time.AfterFunc(wait, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.assignmentsScheduled, p.assignedAt = false, now()
		p.applyAssignments()
	})
}

// setFleetKnown makes this proxy use the databases of which it is a gateway.
func (p *Proxy) setFleetKnown() {
	if p.fleetKnown.Swap(true) {
		return
	}
	for _, d := range p.sortedDatabases() {
		d.monitor.wake()
	}
}

// gatewayIndex returns this proxy's index among the gateways of the database, which are
// ordered by weight, or -1 if it is not a gateway.
func (d *database) gatewayIndex() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := entity.VM(d.proxy.settings().VM)
	return slices.IndexFunc(d.gateways, func(g gateway.Proxy) bool { return g.VM == own })
}
