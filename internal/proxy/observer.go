package proxy

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// observer records metrics. Of a request, the core's loop only looks up the class;
// the request's own goroutines record the measurements, since each takes several
// hundred nanoseconds.
type observer struct {
	proxy   *Proxy
	metrics *telemetry.Metrics
	// metricsErr is the error of defining the metrics; Serve returns it.
	metricsErr error

	// lastTick is the time of the core's last tick as an entity.Time. hasDocument is
	// set once a document is in force.
	lastTick    atomic.Int64
	hasDocument atomic.Bool

	// The fields below are used only by the core's loop.
	rounds map[entity.Database]*roundCounter
	// promotingTerms has the last term in which this proxy asked a member to become
	// primary; primaryTerms has the term of the last known primary.
	promotingTerms, primaryTerms map[entity.Database]uint64
}

func newObserver(p *Proxy) *observer {
	o := &observer{
		proxy:          p,
		rounds:         map[entity.Database]*roundCounter{},
		promotingTerms: map[entity.Database]uint64{},
		primaryTerms:   map[entity.Database]uint64{},
	}
	o.metrics, o.metricsErr = telemetry.New(o.sample)
	return o
}

// classify looks up the class of a request on the first call and returns it. The
// core's loop calls it before another goroutine gets the request's result.
func (o *observer) classify(r *inflightRequest) *requestClass {
	if r.class.metrics != nil {
		return &r.class
	}
	m := r.request
	info, ok := o.proxy.node.ClassOf(entity.Database(m.GetDatabase()), m.GetUser(), m.GetClass())
	if !ok {
		info = core.ClassInfo{Class: telemetry.UnknownLabel, Rank: telemetry.UnknownLabel}
	}
	r.class = requestClass{metrics: o.metrics.ForClass(info.Class, info.Rank, info.ReplicaAllowed), readOnly: info.ReadOnly}
	return &r.class
}

// requestClass is the observer's data of one request.
type requestClass struct {
	metrics  *telemetry.ClassMetrics
	readOnly bool
	// dispatched is set once the batch was dispatched to a connection.
	dispatched bool
}

// dispatchObservation is the observer's data of one dispatch. It is not kept with
// the request, since a request that stalled may be dispatched again while its
// first batch still runs.
type dispatchObservation struct {
	class *telemetry.ClassMetrics
	// arrivedAt is set for the first dispatch of a request outside a transaction:
	// only these wait in the queue.
	arrivedAt time.Time
	// isRead is set for reads outside transactions; source is the role of the
	// upstream that serves them.
	isRead bool
	source telemetry.Source
	// lag is the lag of the replica; it is valid if lagKnown is set.
	lag      time.Duration
	lagKnown bool
}

// recordDispatch is called by the core's loop before the batch is passed to its
// connection.
func (o *observer) recordDispatch(r *inflightRequest, d *core.Dispatch) dispatchObservation {
	c := o.classify(r)
	observation := dispatchObservation{class: c.metrics, isRead: c.readOnly && !d.Continued}
	if !c.dispatched && !d.Continued {
		observation.arrivedAt = r.arrivedAt
	}
	c.dispatched = true
	if observation.isRead && !d.Hold {
		// Only responses of replicas are not held back.
		observation.source = telemetry.SourceReplica
		observation.lag, observation.lagKnown = o.proxy.node.Lag(entity.Database(r.request.GetDatabase()), d.Upstream)
	}
	return observation
}

// batchStarted records that the connection starts to run the batch. It returns
// the current time.
func (o *dispatchObservation) batchStarted() time.Time {
	now := time.Now()
	if !o.arrivedAt.IsZero() {
		o.class.RecordQueueWait(now.Sub(o.arrivedAt))
	}
	return now
}

// batchEnded records the end of a batch, before it is posted to the core.
func (o *dispatchObservation) batchEnded(started time.Time, kind pgwire.RunKind) {
	o.class.RecordUpstreamTime(time.Since(started))
	if kind != pgwire.RunAnswered || !o.isRead {
		return
	}
	o.class.CountRead(o.source)
	if o.lagKnown {
		o.class.RecordReadLag(o.lag)
	}
}

// recordResult is called by the caller connection's goroutine. The proxy that the
// caller is connected to counts the result, so that a forwarded request counts once.
func (o *observer) recordResult(r *inflightRequest, result *core.Result) {
	class := r.class.metrics
	class.RecordResult(result.Kind.String(), result.Reason, result.Kind == core.ResultNotRun, time.Since(r.arrivedAt))
	if r.request.GetAttempt() > 1 {
		class.CountRetry()
	}
}

// recordEvent is called by the core's loop.
func (o *observer) recordEvent(e *core.Event) {
	switch e.Kind {
	case core.EventDocumentInForce:
		o.hasDocument.Store(true)
		o.metrics.CountDocumentInForce(e.Service)
	case core.EventDocumentRefused:
		o.metrics.CountDocumentRefused(e.Service)
	case core.EventPrimaryChanged:
		o.recordPrimaryChange(e)
	case core.EventOwnerStopped:
		delete(o.rounds, e.Database)
	case core.EventOwnerStarted, core.EventDrained:
	}
}

// recordPrimaryChange counts a change of primary, unless this proxy did not know
// the previous one.
func (o *observer) recordPrimaryChange(e *core.Event) {
	previousTerm := o.primaryTerms[e.Database]
	o.primaryTerms[e.Database] = e.Term
	if previousTerm != 0 && e.Term > previousTerm {
		o.metrics.ForDatabase(string(e.Database)).CountPrimaryChange()
	}
	if o.promotingTerms[e.Database] == e.Term {
		// The same term may be reported again to a later owner of the database, so
		// count it once.
		delete(o.promotingTerms, e.Database)
		o.metrics.ForDatabase(string(e.Database)).CountPromotion()
	}
}

// recordTick is called by the core's loop after each tick.
func (o *observer) recordTick(now entity.Time, out *core.Outputs) {
	o.lastTick.Store(int64(now))
	for i := range out.Promotes {
		o.promotingTerms[out.Promotes[i].Database] = out.Promotes[i].Term
	}
	o.countRounds(out.Probes)
}

// sample returns the current values of the gauges.
func (o *observer) sample(ctx context.Context) (telemetry.Sample, error) {
	p := o.proxy
	var loads []core.DatabaseLoad
	var revisions map[string]uint64
	err := p.runBetweenTicks(ctx, func(n *core.Node) { loads, revisions = n.Loads(), n.Revisions() })
	if err != nil {
		return telemetry.Sample{}, err
	}
	s := telemetry.Sample{Callers: p.callers.len(), InFlight: p.inflight.len(), Documents: documentSamples(revisions)}
	for i := range loads {
		s.Databases = append(s.Databases, databaseSample(&loads[i]))
	}
	return s, nil
}

func documentSamples(revisions map[string]uint64) []telemetry.DocumentSample {
	out := make([]telemetry.DocumentSample, 0, len(revisions))
	for service, revision := range revisions {
		out = append(out, telemetry.DocumentSample{Service: service, Revision: revision})
	}
	slices.SortFunc(out, func(a, b telemetry.DocumentSample) int { return cmp.Compare(a.Service, b.Service) })
	return out
}

func databaseSample(l *core.DatabaseLoad) telemetry.DatabaseSample {
	d := telemetry.DatabaseSample{
		Name:     string(l.Name),
		Primary:  telemetry.UpstreamSample(l.Primary),
		Replicas: telemetry.UpstreamSample(l.Replicas),
	}
	for _, r := range l.Ranks {
		d.Ranks = append(d.Ranks, telemetry.RankSample{Rank: r.Name, Queued: r.Queued})
	}
	return d
}

// maxTickAge is the age of the last tick above which the core counts as stopped.
// An idle core ticks twice a second.
const maxTickAge = 5 * time.Second

// health returns the checks behind /healthz and /readyz.
func (o *observer) health() telemetry.Health {
	return telemetry.Health{Live: o.livenessProblem, Ready: o.readinessProblem}
}

// livenessProblem returns why the proxy is not live, or an empty string.
func (o *observer) livenessProblem() string {
	if o.proxy.now().Sub(entity.Time(o.lastTick.Load())) > maxTickAge {
		return "the core has not run for " + maxTickAge.String()
	}
	return ""
}

// readinessProblem returns why the proxy is not ready, or an empty string.
func (o *observer) readinessProblem() string {
	switch {
	case o.proxy.isDraining():
		return "draining"
	case !o.hasDocument.Load():
		return "no document is in force"
	}
	return ""
}
