// Package proxy is the daemon around the decision core: it runs the callers'
// listener, the streams between proxies, the upstream connections and the control
// calls. It makes no decisions itself: the core makes all of them.
//
// Each database has an owner, the proxy that dispatches its requests to upstreams.
// A proxy that receives a caller's request for a database of another owner is the
// forwarding proxy of the request: it forwards the request to the owner and relays
// the response.
package proxy

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// Options are the settings and dependencies of a proxy. Serve requires all but
// Core and Recorder.
type Options struct {
	Settings  *config.Settings
	Store     metastore.Store
	Directory metastore.Directory
	Log       *logrus.Logger
	// Core overrides the core's default configuration, for tests.
	Core *core.Config
	// Recorder receives each tick of the core, if set.
	Recorder Recorder
}

// Recorder records the ticks of the core. Start is called once, before the first
// tick. Tick must not keep in and out: they are reused for the next tick.
type Recorder interface {
	Start(config core.Config) error
	Tick(now entity.Time, in *core.Inputs, out *core.Outputs)
}

// Proxy is one running daemon.
type Proxy struct {
	options   Options
	self      entity.VM
	log       *logrus.Logger
	startTime time.Time
	// tickTime is the time of the current tick; only the core's loop uses it.
	tickTime entity.Time
	config   core.Config
	node     *core.Node

	mu sync.Mutex
	// pendingInputs collects the inputs of the next tick. spareInputs is the empty
	// buffer that replaces it; only the core's loop uses that.
	pendingInputs *core.Inputs
	spareInputs   *core.Inputs
	// tasks run on the core's loop after the next tick; wake starts that tick.
	tasks []func()
	wake  chan struct{}

	nextHandle atomic.Uint64
	// inboundStreams counts the streams that peers opened to this proxy.
	inboundStreams atomic.Uint64
	nextCaller     atomic.Uint64
	// nextTransaction starts at the incarnation, so that a late message of an
	// earlier process of this VM does not match a transaction of this one.
	nextTransaction  atomic.Uint64
	inflight         inflightTable
	responseCache    responseCache
	peers            *peerTable
	heartbeatReplies heartbeatReplyTable
	upstreams        *upstreamTable
	callers          callerTable
	topology         topology
	documents        *documentRelay
	vmList           vmListState
	observer         *observer
	logLimiter       telemetry.RepeatLimiter
	eventLog         eventLog

	drain     drainState
	drainOnce sync.Once
	// drained is closed when the core has drained, done when its loop has ended.
	drained chan struct{}
	done    chan struct{}
	// context is cancelled when the proxy stops.
	context context.Context
	cancel  context.CancelFunc
}

// New returns a proxy that has not started. Serve starts it.
func New(options Options) *Proxy {
	s := options.Settings
	seed := s.Seed
	if seed == 0 {
		seed = uint64(time.Now().UnixNano())
	}
	self := entity.VM(s.VM)
	cfg := core.DefaultConfig(self, uint64(time.Now().UnixNano()), seed)
	if options.Core != nil {
		cfg = *options.Core
	}
	p := &Proxy{
		options:       options,
		self:          self,
		log:           options.Log,
		startTime:     time.Now(),
		config:        cfg,
		node:          core.New(cfg),
		pendingInputs: &core.Inputs{},
		spareInputs:   &core.Inputs{},
		wake:          make(chan struct{}, 1),
		drained:       make(chan struct{}),
		done:          make(chan struct{}),
	}
	p.nextTransaction.Store(cfg.Membership.Incarnation)
	p.peers = newPeerTable(p)
	p.upstreams = newUpstreamTable(p)
	p.observer = newObserver(p)
	p.eventLog = newEventLog(p)
	p.context, p.cancel = context.WithCancel(context.Background())
	p.documents = newDocumentRelay(p)
	return p
}

// now returns the core's time: the monotonic time since New, never 0.
func (p *Proxy) now() entity.Time { return entity.Time(time.Since(p.startTime)) + 1 }

// post adds inputs for the next tick and wakes the core's loop.
func (p *Proxy) post(add func(*core.Inputs)) {
	p.mu.Lock()
	add(p.pendingInputs)
	p.mu.Unlock()
	p.wakeLoop()
}

// runBetweenTicks runs a task on the core's loop between two ticks and waits for
// it.
func (p *Proxy) runBetweenTicks(ctx context.Context, task func(*core.Node)) error {
	ran := make(chan struct{})
	p.mu.Lock()
	p.tasks = append(p.tasks, func() { task(p.node); close(ran) })
	p.mu.Unlock()
	p.wakeLoop()
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Proxy) wakeLoop() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// loop ticks the core until the context ends.
func (p *Proxy) loop(ctx context.Context) {
	defer close(p.done)
	timer := time.NewTimer(0)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.wake:
		case <-timer.C:
		}
		next := p.tick()
		timer.Reset(max(0, next.Sub(p.now())))
	}
}

// tick runs the core on the collected inputs and returns the time of the next
// tick. It reads the time after it took the inputs, so that no input is later than
// the tick.
func (p *Proxy) tick() entity.Time {
	p.mu.Lock()
	in := p.pendingInputs
	p.pendingInputs = p.spareInputs
	tasks := p.tasks
	p.tasks = nil
	p.mu.Unlock()
	now := p.now()
	p.tickTime = now
	out := p.node.Tick(now, in)
	if p.options.Recorder != nil {
		p.options.Recorder.Tick(now, in, out)
	}
	p.execute(out)
	p.observer.recordTick(now, out)
	in.Reset()
	p.spareInputs = in
	for _, task := range tasks {
		task()
	}
	return out.NextTick
}

// execute carries out the decisions of the core. It must not block.
func (p *Proxy) execute(out *core.Outputs) {
	for i := range out.Events {
		p.handleEvent(&out.Events[i])
	}
	for i := range out.Forwards {
		p.peers.forward(&out.Forwards[i])
	}
	for i := range out.Dispatches {
		p.upstreams.dispatch(&out.Dispatches[i])
	}
	for i := range out.Results {
		p.deliverResult(&out.Results[i])
	}
	for i := range out.Opens {
		p.upstreams.open(&out.Opens[i])
	}
	for i := range out.Closes {
		p.upstreams.close(out.Closes[i].Connection)
	}
	for i := range out.Checks {
		p.upstreams.check(out.Checks[i].Connection)
	}
	for i := range out.Cancels {
		p.upstreams.cancel(out.Cancels[i].Connection)
	}
	p.executeControl(out)
	p.peers.executeHeartbeats(out)
}

func (p *Proxy) handleEvent(e *core.Event) {
	p.eventLog.enqueue(e)
	p.observer.recordEvent(e)
	if e.Kind == core.EventDrained {
		p.drainOnce.Do(func() { close(p.drained) })
	}
}

// deliverResult ends a request with its result.
func (p *Proxy) deliverResult(result *core.Result) {
	r, ok := p.inflight.remove(result.Handle)
	if !ok {
		return
	}
	p.observer.classify(r)
	final := outcome{result: *result, tail: r.getTail(), decidedAt: p.tickTime}
	if result.CopyOf != 0 {
		final.tail, ok = p.responseCache.get(result.CopyOf)
		if !ok {
			final.result.Kind = core.ResultAlreadyExecuted
		}
	}
	if result.Kind == core.ResultDone && r.request.GetRequestId() != "" && !r.wasStreamed() {
		// If chunks were streamed, the tail is not the whole response.
		p.responseCache.put(result.Handle, final.tail)
	}
	r.origin.sendOutcome(r, final)
}
