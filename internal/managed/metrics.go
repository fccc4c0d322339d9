package managed

import (
	"context"
	"strconv"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/revocation"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// operatorsDocument is the metric label of the operators' configuration.
const operatorsDocument = "operators"

var consistencyNames = [...]string{StrictConsistency: "strict", BoundedStaleness: "bounded", SessionConsistency: "session"}

// String returns the consistency as it appears in logs and metrics.
func (c Consistency) String() string { return consistencyNames[c] }

// observer records request metrics. They are labelled by consistency and rank rather than
// by route, so that hundreds of routes share a few series.
type observer struct {
	metrics *telemetry.Metrics
}

func (o *observer) class(route *Route) *telemetry.ClassMetrics {
	return o.metrics.ForClass(route.Consistency.String(), rankName(route.Rank), route.Consistency != StrictConsistency)
}

// countOpened, countEviction and countUnknownKey do nothing if metrics are disabled.
func (o *observer) countOpened() {
	if o != nil {
		o.metrics.CountConnectionOpened()
	}
}

func (o *observer) countEviction() {
	if o != nil {
		o.metrics.CountConnectionEvicted()
	}
}

func (o *observer) countUnknownKey() {
	if o != nil {
		o.metrics.CountUnknownKey()
	}
}

func rankName(rank int) string { return strconv.Itoa(min(rank, maxRanks-1)) }

// statement records the result of a statement whose database name has a route.
func (o *observer) statement(s *session, statement *Statement, route *Route, reply Reply, took time.Duration) {
	class := o.class(route)
	class.RecordQueueWait(s.stages.queue)
	if s.stages.run > 0 {
		class.RecordUpstreamTime(s.stages.run)
	}
	refused := reply.Code != CodeNone && s.stages.run == 0
	class.RecordResult(statement.Kind.String(), reply.Code.String(), refused, took)
	if reply.Code == CodeNone && s.tx == nil && statement.Kind == StatementRead {
		class.CountRead(s.stages.source)
	}
}

// sample returns the current values of the gauges.
func (p *Proxy) sample(context.Context) (telemetry.Sample, error) {
	sample := telemetry.Sample{
		Callers:   p.openSessions(),
		Documents: []telemetry.DocumentSample{{Service: operatorsDocument, Revision: p.document().Version}},
	}
	if age := p.configurationAge(now()); p.settings().StrictRevocation && age != revocation.Never {
		sample.ConfigurationAge = &age
	}
	for _, d := range p.sortedDatabases() {
		sample.Databases = append(sample.Databases, d.sample())
	}
	sample.Quota = p.quotaSample()
	return sample, nil
}

func (d *database) sample() telemetry.DatabaseSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := telemetry.DatabaseSample{Name: string(d.name), Limits: d.paceSample()}
	for rank := range d.rankCount {
		queued := 0
		if d.scheduler != nil {
			queued = d.scheduler.Queued(rank)
		}
		sample.Ranks = append(sample.Ranks, telemetry.RankSample{Rank: rankName(rank), Queued: queued})
	}
	for _, m := range d.members {
		usage := &sample.Replicas
		if m == d.primary {
			usage = &sample.Primary
		}
		usage.SlotsUsed += m.inFlight
		usage.Connections += m.openConns
	}
	return sample
}

// setPolicy replaces the scheduler's policy. The mutex is held.
func (d *database) setPolicy(policy flood.Policy) {
	d.rankCount = len(policy.Ranks)
	d.policy = policy
	if d.scheduler != nil {
		d.scheduler.SetPolicy(policy)
	}
}
