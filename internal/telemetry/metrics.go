package telemetry

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	otelprometheus "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"
	"go.opentelemetry.io/otel/sdk/metric/exemplar"
)

const (
	meterName = "skylarkhinge.dev/skylarkhinge"
	namespace = "skylarkhinge"
	// maxSeries limits the label sets of one instrument. OpenTelemetry aggregates the
	// excess under the label otel_metric_overflow.
	maxSeries = 4000
)

// Histogram bucket bounds in seconds. Statements take from less than a millisecond to
// seconds; the bounds are denser in the range of latency targets, 10 ms to 1 s. Replica lag
// is compared with age limits of up to minutes.
var (
	timeBounds = []float64{.0005, .001, .002, .005, .01, .02, .035, .05, .075, .1, .15, .25, .5, .75, 1, 2, 3, 5, 10, 30}
	lagBounds  = []float64{.001, .002, .005, .01, .025, .05, .1, .15, .25, .5, 1, 2.5, 5, 10, 30, 60, 300}
)

// Metrics holds the daemon's instruments. It is safe for concurrent use.
type Metrics struct {
	registry *prometheus.Registry
	meter    metric.Meter
	err      error

	queueWait, upstreamTime, requestTime, readLag metric.Float64Histogram

	results, refusals, reads, retries    metric.Int64Counter
	rounds, primaryChanges, promotions   metric.Int64Counter
	documents, peerStreams, omittedLines metric.Int64Counter

	callersRefused, connectionsOpened, connectionsEvicted metric.Int64Counter

	mu              sync.Mutex
	classes         map[classKey]*ClassMetrics
	databases       map[string]*DatabaseMetrics
	documentOptions map[documentKey][]metric.AddOption
	knownReasons    map[string]bool
}

// New creates the instruments. sample is called at each scrape. An error means that the
// definition of an instrument is invalid.
func New(sample Sampler) (*Metrics, error) {
	registry := prometheus.NewRegistry()
	exporter, err := otelprometheus.New(otelprometheus.WithRegisterer(registry),
		otelprometheus.WithNamespace(namespace), otelprometheus.WithoutScopeInfo(), otelprometheus.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	provider := sdk.NewMeterProvider(sdk.WithReader(exporter),
		sdk.WithCardinalityLimit(maxSeries), sdk.WithExemplarFilter(exemplar.AlwaysOffFilter))
	m := &Metrics{
		registry:        registry,
		meter:           provider.Meter(meterName),
		classes:         map[classKey]*ClassMetrics{},
		databases:       map[string]*DatabaseMetrics{},
		documentOptions: map[documentKey][]metric.AddOption{},
		knownReasons:    map[string]bool{},
	}
	m.defineHistograms()
	m.defineCounters()
	m.defineGauges(sample)
	return m, m.err
}

func (m *Metrics) defineHistograms() {
	m.queueWait = m.histogram("queue_wait", timeBounds, "Time from a request's arrival at the owner to its first dispatch.")
	m.upstreamTime = m.histogram("upstream_time", timeBounds, "Time that a batch ran on an upstream connection.")
	m.requestTime = m.histogram("request_time", timeBounds, "Time from a caller's request to its result.")
	m.readLag = m.histogram("read_lag", lagBounds, "Bound of the age of a replica's data when a read was dispatched to it.")
}

func (m *Metrics) histogram(name string, bounds []float64, description string) metric.Float64Histogram {
	h, err := m.meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description),
		metric.WithExplicitBucketBoundaries(bounds...))
	m.err = errors.Join(m.err, err)
	return h
}

func (m *Metrics) defineCounters() {
	m.results = m.counter("results", "Results of callers' requests.")
	m.refusals = m.counter("refusals", "Callers' requests that ended as not run.")
	m.reads = m.counter("reads", "Declared reads outside transactions that an upstream answered.")
	m.retries = m.counter("retries", "Callers' requests with a declared attempt above 1.")
	m.rounds = m.counter("confirmation_rounds", "Probe rounds of owned databases.")
	m.primaryChanges = m.counter("primary_changes", "Changes of a known primary.")
	m.promotions = m.counter("promotions", "Promotions that this proxy carried out.")
	m.documents = m.counter("documents", "Document revisions that took force or were refused.")
	m.peerStreams = m.counter("peer_streams_ended", "Streams of forwarded requests to peers that ended.")
	m.callersRefused = m.counter("unknown_keys", "Sessions and operations refused because the caller's key is unknown.")
	m.connectionsOpened = m.counter("upstream_connections_opened", "Connections opened to upstreams for the pool: for requests, and one to each upstream at the start.")
	m.connectionsEvicted = m.counter("upstream_connections_evicted", "Idle connections closed to make room for one of another organisation.")
	m.omittedLines = m.counter("log_lines_omitted", "Log lines left out because they repeat.")
}

func (m *Metrics) counter(name, description string) metric.Int64Counter {
	c, err := m.meter.Int64Counter(name, metric.WithDescription(description))
	m.err = errors.Join(m.err, err)
	return c
}

// CountPeerStreamEnded counts the end of a stream to a peer.
func (m *Metrics) CountPeerStreamEnded() { m.peerStreams.Add(background, 1) }

// CountUnknownKey counts a session or an operation refused because the caller's key is
// unknown.
func (m *Metrics) CountUnknownKey() { m.callersRefused.Add(background, 1) }

// CountConnectionOpened counts a pooled connection opened to an upstream.
func (m *Metrics) CountConnectionOpened() { m.connectionsOpened.Add(background, 1) }

// CountConnectionEvicted counts an idle connection closed in favour of another organisation.
func (m *Metrics) CountConnectionEvicted() { m.connectionsEvicted.Add(background, 1) }

// CountOmittedLine counts a log line that was omitted because it repeats.
func (m *Metrics) CountOmittedLine() { m.omittedLines.Add(background, 1) }

// background is the context for recording, which has no deadline.
var background = context.Background()

func seconds(d time.Duration) float64 { return max(0, d.Seconds()) }
