// Package proxy is the daemon around the decision core: the callers' listener,
// the streams between proxies, the upstream connections and the control calls.
// It makes no decision of its own.
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

// Options are what a proxy needs from outside.
type Options struct {
	Settings  *config.Settings
	Store     metastore.Store
	Directory metastore.Directory
	Log       *logrus.Logger
	// Core overrides the core's default configuration in tests.
	Core *core.Config
	// Recorder receives each tick of the core, if set.
	Recorder Recorder
}

// Recorder takes the ticks of the core. Start is called once before the first.
type Recorder interface {
	Start(config core.Config) error
	Tick(now entity.Time, in *core.Inputs, out *core.Outputs)
}

// Proxy is one running daemon.
type Proxy struct {
	options Options
	self    entity.VM
	log     *logrus.Logger
	start   time.Time
	// decided is the time of the current tick; the loop alone uses it.
	decided entity.Time
	config  core.Config
	node    *core.Node

	mu      sync.Mutex
	pending *core.Inputs
	spare   *core.Inputs
	tasks   []func()
	wake    chan struct{}

	nextHandle atomic.Uint64
	nextCaller atomic.Uint64
	// nextTransaction starts from the incarnation, so that a late message of an
	// earlier process of this VM names no transaction of this one.
	nextTransaction atomic.Uint64
	live            liveTable
	answers         answerTable
	peers           *peerTable
	replies         replyTable
	upstreams       *upstreamTable
	callers         callerTable
	topology        topology
	documents       *documentRelay
	list            listState
	observer        *observer
	repeats         telemetry.Repeats
	eventLog        eventLog

	drain     drainState
	drainOnce sync.Once
	drained   chan struct{}
	done      chan struct{}
	// context ends with the proxy.
	context context.Context
	cancel  context.CancelFunc
}

// New returns a proxy that has not started.
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
		options: options,
		self:    self,
		log:     options.Log,
		start:   time.Now(),
		config:  cfg,
		node:    core.New(cfg),
		pending: &core.Inputs{},
		spare:   &core.Inputs{},
		wake:    make(chan struct{}, 1),
		drained: make(chan struct{}),
		done:    make(chan struct{}),
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

// now is the monotonic time of the core.
func (p *Proxy) now() entity.Time { return entity.Time(time.Since(p.start)) + 1 }

// post adds input for the next tick.
func (p *Proxy) post(add func(*core.Inputs)) {
	p.mu.Lock()
	add(p.pending)
	p.mu.Unlock()
	p.signal()
}

// do runs a task between two ticks and waits for it.
func (p *Proxy) do(ctx context.Context, task func(*core.Node)) error {
	ran := make(chan struct{})
	p.mu.Lock()
	p.tasks = append(p.tasks, func() { task(p.node); close(ran) })
	p.mu.Unlock()
	p.signal()
	select {
	case <-ran:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func (p *Proxy) signal() {
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

// loop runs the core until the context ends.
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

// tick hands the collected inputs to the core. The time is read after the
// inputs were taken, so that no input is later than the tick.
func (p *Proxy) tick() entity.Time {
	p.mu.Lock()
	in := p.pending
	p.pending = p.spare
	tasks := p.tasks
	p.tasks = nil
	p.mu.Unlock()
	now := p.now()
	p.decided = now
	out := p.node.Tick(now, in)
	if p.options.Recorder != nil {
		p.options.Recorder.Tick(now, in, out)
	}
	p.execute(out)
	p.observer.ticked(now, out)
	in.Reset()
	p.spare = in
	for _, task := range tasks {
		task()
	}
	return out.NextTick
}

// execute carries out what the core decided. No step of it blocks.
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
		p.deliver(&out.Results[i])
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
	p.peers.heartbeats(out)
}

func (p *Proxy) handleEvent(e *core.Event) {
	p.eventLog.put(e)
	p.observer.event(e)
	if e.Kind == core.EventDrained {
		p.drainOnce.Do(func() { close(p.drained) })
	}
}

// deliver gives a request its result.
func (p *Proxy) deliver(result *core.Result) {
	r, ok := p.live.remove(result.Handle)
	if !ok {
		return
	}
	p.observer.classify(r)
	answer := answer{result: *result, tail: r.takeTail(), decided: p.decided}
	if result.CopyOf != 0 {
		answer.tail, ok = p.answers.get(result.CopyOf)
		if !ok {
			answer.result.Kind = core.ResultAlreadyExecuted
		}
	}
	if result.Kind == core.ResultDone && r.request.GetRequestId() != "" && !r.wasStreamed() {
		// Of an answer that was streamed, the tail is only the end.
		p.answers.put(result.Handle, answer.tail)
	}
	r.origin.finish(r, answer)
}
