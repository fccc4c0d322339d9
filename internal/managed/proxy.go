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
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// Options are what a proxy is made of.
type Options struct {
	// Settings are those of the start; Reload can replace some of them.
	Settings *config.ManagedSettings
	Store    Store
	Protocol Protocol
	Promoter Promoter
	// Peers asks other proxies; it may be nil.
	Peers Peers
	// NewCaller returns the protocol of an accepted connection.
	NewCaller func(net.Conn) CallerConn
	// Regions has the region of each availability zone.
	Regions map[string]string
	// Log has an output that is safe for concurrent use.
	Log *logrus.Logger
}

// Proxy is the daemon.
type Proxy struct {
	options Options
	events  *events
	// observer is nil if no metrics are served.
	observer *observer
	drain    drainSchedule
	// effective are the settings in effect; see Reload.
	effective atomic.Pointer[config.ManagedSettings]

	current  atomic.Pointer[Document]
	suspects suspectedGateways
	// watched has the changes that this proxy serves to others.
	watched *watchLog
	// configured is closed once the first configuration is in force.
	configured chan struct{}
	// draining is closed when the shutdown begins.
	draining chan struct{}

	mu        sync.Mutex
	databases map[entity.Database]*database
	// byMember has the database of each listed upstream.
	byMember map[entity.Upstream]*database
	proxies  proxyCount
	sessions map[*session]struct{}
	ctx      context.Context
}

// EnableMetrics makes the proxy count what callers get. It must be called before Serve.
func (p *Proxy) EnableMetrics() (*telemetry.Metrics, error) {
	metrics, err := telemetry.New(p.sample)
	if err != nil {
		return nil, err
	}
	p.observer = &observer{metrics: metrics}
	return metrics, nil
}

// New returns a proxy that is not serving yet.
func New(options Options) *Proxy {
	p := &Proxy{
		options:   options,
		events:    newEvents(options.Log, options.Settings.VM),
		databases: map[entity.Database]*database{},
		byMember:  map[entity.Upstream]*database{},
		sessions:  map[*session]struct{}{},
		proxies:   proxyCount{listed: map[string]gateway.Proxy{}},
		ctx:       context.Background(),

		watched:    newWatchLog(),
		configured: make(chan struct{}),
		draining:   make(chan struct{}),
	}
	p.apply(options.Settings)
	p.current.Store(&Document{})
	return p
}

func (p *Proxy) settings() *config.ManagedSettings { return p.effective.Load() }

func (p *Proxy) apply(settings *config.ManagedSettings) {
	p.effective.Store(settings)
	p.events.setBudget(settings.LogLinesPerSecond, settings.LogBytesPerSecond)
}

// Reload takes over the settings that can change while the proxy serves. A
// shutdown that has begun keeps its grace period. It reports whether the others
// differ, too; these take effect with the next start. It must not be called
// concurrently.
func (p *Proxy) Reload(next *config.ManagedSettings) (restart bool) {
	merged, restart := p.settings().Reload(next)
	p.apply(merged)
	p.events.reloaded(merged, restart)
	return restart
}

func (p *Proxy) document() *Document { return p.current.Load() }

func (p *Proxy) route(host string) (Route, bool) {
	r, ok := p.document().Routes[host]
	return r, ok
}

// configurationWait bounds how long a new session waits for the first
// configuration. Callers give a session up after 2 s.
const configurationWait = 1600 * time.Millisecond

// awaitRoute returns a route. A proxy that has just started has none yet; callers
// reach it all the same if no other proxy of the availability zone is ready.
func (p *Proxy) awaitRoute(host string) (Route, bool) {
	if p.document().Version == 0 {
		select {
		case <-p.configured:
		case <-time.After(configurationWait):
		}
	}
	return p.route(host)
}

// database returns a database, and begins to follow it if it is new.
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
		d.setPolicy(policyOf(p.document()))
		d.applyShare(p.users(d.name, d.gatewayLimits()))
		d.mu.Unlock()
		go d.monitor.run(p.ctx)
	}
	return d
}

// NotReadyReason returns why the proxy takes no callers, empty if it does.
func (p *Proxy) NotReadyReason() string {
	switch {
	case p.drain.active():
		return "shutting down"
	case p.document().Version == 0:
		return "no configuration yet"
	}
	return ""
}

// Serve runs the proxy until a shutdown has ended. It takes callers on the first
// listener and sessions that other proxies hand over on the second, which may be
// nil. Both are closed.
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
	go p.summarise(ctx)
	accepted := make(chan error, 2)
	go func() { accepted <- p.accept(listener, false) }()
	if peers != nil {
		go func() { accepted <- p.accept(peers, true) }()
		defer peers.Close()
	}
	err := p.awaitShutdown(ctx, accepted)
	// Nothing depends on the listener any more.
	_ = listener.Close()
	cancel()
	<-synced
	return err
}

// summaryInterval is the time between lines that count what was left out.
const summaryInterval = 5 * time.Second

func (p *Proxy) summarise(ctx context.Context) {
	ticker := time.NewTicker(summaryInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			p.events.summary()
			p.logPools()
		}
	}
}

// logPools logs the use of connections and queues, one line for each database that
// this proxy uses. With thousands of databases it uses few.
func (p *Proxy) logPools() {
	for _, d := range p.list() {
		if u := d.usage(); u.open > 0 || u.queued > 0 {
			p.events.pool(u)
		}
	}
}

// list returns the databases in the order of their names.
func (p *Proxy) list() []*database {
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
			p.events.limited("accept_failed", "accept", "", nil, err)
			time.Sleep(acceptPause)
			continue
		}
		go p.serveCaller(conn, fromPeer)
	}
}

// acceptPause follows a failed accept, which is mostly a lack of descriptors.
const acceptPause = 20 * time.Millisecond

// descriptorReserve is the part of the descriptors that is not for callers: files,
// listeners, the store and the upstreams.
const descriptorReserve = 600

func (p *Proxy) serveCaller(conn net.Conn, fromPeer bool) {
	s := &session{proxy: p, caller: p.options.NewCaller(conn), fromPeer: fromPeer}
	p.mu.Lock()
	full := len(p.sessions) >= p.settings().MaxDescriptors-descriptorReserve
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
		close(p.draining)
		p.events.state("shutdown_began", logrus.Fields{"grace_ms": grace.Milliseconds()})
	}
}

// drainPoll is how often an ending proxy looks for open sessions.
const drainPoll = 50 * time.Millisecond

func (p *Proxy) awaitShutdown(ctx context.Context, accepted <-chan error) error {
	ticker := time.NewTicker(drainPoll)
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
		if !p.drain.handingOver() {
			continue
		}
		if !interrupted {
			p.interruptSessions()
			interrupted = true
		}
		if open := p.openSessions(); open == 0 || time.Now().After(p.drain.exitBy()) {
			p.events.state("shutdown_ended", logrus.Fields{"sessions": open})
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
			p.events.limited("interrupt_failed", "shutdown", "", nil, err)
		}
	}
}

// setDocument brings a configuration into force. Versions never go back.
func (p *Proxy) setDocument(doc *Document) {
	if doc.Version <= p.document().Version {
		if doc.Version < p.document().Version {
			p.events.documentInForce(doc.Version, len(doc.Routes), true)
		}
		return
	}
	first := p.document().Version == 0
	p.current.Store(doc)
	if first {
		close(p.configured)
	}
	p.events.documentInForce(doc.Version, len(doc.Routes), false)
	if p.observer != nil {
		p.observer.metrics.DocumentInForce(operatorsDocument)
	}
	policy := policyOf(doc)
	p.mu.Lock()
	defer p.mu.Unlock()
	for name := range doc.Databases {
		p.databaseLocked(name)
	}
	for name, d := range p.databases {
		d.mu.Lock()
		d.limits = doc.Databases[name]
		d.setPolicy(policy)
		d.applyShare(p.users(d.name, d.gatewayLimits()))
		d.mu.Unlock()
	}
}

// applyShares sets every database's connections after the number of proxies changed.
func (p *Proxy) applyShares() {
	for _, d := range p.databases {
		d.mu.Lock()
		d.applyShare(p.users(d.name, d.gatewayLimits()))
		d.mu.Unlock()
	}
}

// inspectionPlace returns this proxy's place among the gateways of a database in
// the order of their weights, 0 being the first.
func (d *database) inspectionPlace() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	own := entity.VM(d.proxy.settings().VM)
	return slices.IndexFunc(d.gateways, func(g gateway.Proxy) bool { return g.VM == own })
}
