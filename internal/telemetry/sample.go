package telemetry

import (
	"context"
	"errors"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// sampleTimeout limits the wait for a sample. Without a sample, for example because the
// core is not running, a scrape has no gauges but still has the counters.
const sampleTimeout = time.Second

// Sampler returns the current state for a scrape, or an error if it is not available.
type Sampler func(ctx context.Context) (Sample, error)

// Sample holds the values of the gauges.
type Sample struct {
	Callers   int
	InFlight  int
	Documents []DocumentSample
	// ConfigurationAge is the age of the configuration in force, nil if it is not known.
	ConfigurationAge *time.Duration
	Databases        []DatabaseSample
	// Quota is nil if the proxy has no quotas.
	Quota *QuotaSample
}

// QuotaSample has counts since the start of the proxy.
type QuotaSample struct {
	Admitted, Waited, Refused uint64
	// Granted is the number of tokens granted as a limiter.
	Granted uint64
	// Refusals are the refused operations of a bounded number of organisations. The empty
	// name stands for all others.
	Refusals []OrganisationSample
}

// OrganisationSample is a count of one organisation.
type OrganisationSample struct {
	Name  string
	Count uint64
}

// DocumentSample is the revision of a service's document in force.
type DocumentSample struct {
	Service  string
	Revision uint64
}

// DatabaseSample is the load of an owned database.
type DatabaseSample struct {
	Name              string
	Ranks             []RankSample
	Primary, Replicas UpstreamSample
	// Limits are nil if this proxy does not limit upstreams that start or recover.
	Limits *LimitSample
}

// LimitSample is the limit of this proxy's statements in flight at the primary, and at all
// replicas in total, that start or recover. 0 means that none is limited.
type LimitSample struct {
	Primary, Replicas int
}

// RankSample is the queue length of a rank.
type RankSample struct {
	Rank   string
	Queued int
}

// UpstreamSample is this proxy's use of the primary, or of all replicas in total.
type UpstreamSample struct {
	SlotsUsed, Connections int
}

// gauges are the instruments whose values come from samples.
type gauges struct {
	callers, inFlight, revision, queued, slots, connections, limit metric.Int64ObservableGauge
	configurationAge                                               metric.Float64ObservableGauge
	quotaOperations, quotaGranted, quotaRefusals                   metric.Int64ObservableGauge
}

func (m *Metrics) defineGauges(sample Sampler) {
	g := &gauges{
		callers:     m.gauge("callers", "Open caller connections."),
		inFlight:    m.gauge("requests_in_flight", "Open requests, those forwarded by peers included."),
		revision:    m.gauge("document_revision", "Revision of the document in force."),
		queued:      m.gauge("queue_length", "Queued requests of an owned database."),
		slots:       m.gauge("slots_used", "Slots in use by this proxy."),
		connections: m.gauge("upstream_connections", "Open connections of this proxy to upstreams."),
		limit:       m.gauge("upstream_limit", "Limit of this proxy's statements in flight at upstreams that start or recover, 0 without one."),

		quotaOperations: m.gauge("quota_operations", "Operations of organisations with a quota since the start, by decision."),
		quotaGranted:    m.gauge("quota_tokens_granted", "Tokens granted as a limiter since the start."),
		quotaRefusals:   m.gauge("quota_refusals", "Refused operations since the start of the organisations with the most of them."),
	}
	var err error
	g.configurationAge, err = m.meter.Float64ObservableGauge("configuration_age_seconds", metric.WithUnit("s"),
		metric.WithDescription("Time since the configuration in force was last confirmed as current."))
	m.err = errors.Join(m.err, err)
	if m.err != nil {
		return
	}
	observe := func(_ context.Context, o metric.Observer) error {
		ctx, cancel := context.WithTimeout(background, sampleTimeout)
		defer cancel()
		if s, err := sample(ctx); err == nil {
			g.observe(o, &s)
		}
		return nil
	}
	_, err = m.meter.RegisterCallback(observe, g.callers, g.inFlight, g.revision, g.queued, g.slots, g.connections, g.limit,
		g.configurationAge, g.quotaOperations, g.quotaGranted, g.quotaRefusals)
	m.err = errors.Join(m.err, err)
}

func (m *Metrics) gauge(name, description string) metric.Int64ObservableGauge {
	g, err := m.meter.Int64ObservableGauge(name, metric.WithDescription(description))
	m.err = errors.Join(m.err, err)
	return g
}

func (g *gauges) observe(o metric.Observer, s *Sample) {
	o.ObserveInt64(g.callers, int64(s.Callers))
	o.ObserveInt64(g.inFlight, int64(s.InFlight))
	if s.ConfigurationAge != nil {
		o.ObserveFloat64(g.configurationAge, seconds(*s.ConfigurationAge))
	}
	for _, d := range s.Documents {
		o.ObserveInt64(g.revision, int64(d.Revision), metric.WithAttributes(attribute.String("service", d.Service)))
	}
	for i := range s.Databases {
		g.observeDatabase(o, &s.Databases[i])
	}
	if s.Quota != nil {
		g.observeQuota(o, s.Quota)
	}
}

func (g *gauges) observeQuota(o metric.Observer, q *QuotaSample) {
	for kind, count := range map[string]uint64{"admitted": q.Admitted, "waited": q.Waited, "refused": q.Refused} {
		o.ObserveInt64(g.quotaOperations, int64(count), metric.WithAttributes(attribute.String("kind", kind)))
	}
	o.ObserveInt64(g.quotaGranted, int64(q.Granted))
	for _, r := range q.Refusals {
		o.ObserveInt64(g.quotaRefusals, int64(r.Count), metric.WithAttributes(attribute.String("organisation", r.Name)))
	}
}

func (g *gauges) observeDatabase(o metric.Observer, d *DatabaseSample) {
	database := attribute.String("database", d.Name)
	for _, r := range d.Ranks {
		o.ObserveInt64(g.queued, int64(r.Queued), metric.WithAttributes(database, attribute.String("rank", r.Rank)))
	}
	for role, u := range map[string]UpstreamSample{"primary": d.Primary, "replica": d.Replicas} {
		labels := metric.WithAttributes(database, attribute.String("role", role))
		o.ObserveInt64(g.slots, int64(u.SlotsUsed), labels)
		o.ObserveInt64(g.connections, int64(u.Connections), labels)
	}
	if l := d.Limits; l != nil {
		for role, limit := range map[string]int{"primary": l.Primary, "replica": l.Replicas} {
			o.ObserveInt64(g.limit, int64(limit), metric.WithAttributes(database, attribute.String("role", role)))
		}
	}
}
