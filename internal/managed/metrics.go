package managed

import (
	"context"
	"strconv"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// operatorsDocument is the label of the operators' configuration.
const operatorsDocument = "operators"

var consistencyNames = [...]string{StrictConsistency: "strict", BoundedStaleness: "bounded", SessionConsistency: "session"}

// String returns the consistency as it appears in logs and metrics.
func (c Consistency) String() string { return consistencyNames[c] }

// observer counts what callers get. Labels are the consistency and the rank of
// routes, so that hundreds of routes share a few series.
type observer struct {
	metrics *telemetry.Metrics
}

func (o *observer) class(route *Route) *telemetry.Class {
	return o.metrics.Class(route.Consistency.String(), rankName(route.Rank), route.Consistency != StrictConsistency)
}

func rankName(rank int) string { return strconv.Itoa(min(rank, maxRanks-1)) }

// statement records the end of a statement that an upstream ran or could have run.
func (o *observer) statement(s *session, statement *Statement, route *Route, reply Reply, took time.Duration) {
	class := o.class(route)
	class.QueueWait(s.stages.queue)
	if s.stages.run > 0 {
		class.UpstreamTime(s.stages.run)
	}
	refused := reply.Code != CodeNone && s.stages.run == 0
	class.Result(statement.Kind.String(), reply.Code.String(), refused, took)
	if reply.Code == CodeNone && s.tx == nil && statement.Kind == StatementRead {
		class.Read(s.stages.source)
	}
}

// sample returns the state that the gauges show.
func (p *Proxy) sample(context.Context) (telemetry.Sample, error) {
	sample := telemetry.Sample{
		Callers:   p.openSessions(),
		Documents: []telemetry.DocumentSample{{Service: operatorsDocument, Revision: p.document().Version}},
	}
	for _, d := range p.list() {
		sample.Databases = append(sample.Databases, d.sample())
	}
	return sample, nil
}

func (d *database) sample() telemetry.DatabaseSample {
	d.mu.Lock()
	defer d.mu.Unlock()
	sample := telemetry.DatabaseSample{Name: string(d.name)}
	for rank := range d.ranks {
		queued := d.scheduler.Queued(rank)
		sample.Ranks = append(sample.Ranks, telemetry.RankSample{Rank: rankName(rank), Queued: queued})
	}
	for _, m := range d.members {
		use := &sample.Replicas
		if m == d.leader {
			use = &sample.Primary
		}
		use.SlotsUsed += m.running
		use.Connections += m.open
	}
	return sample
}

// setPolicy replaces the scheduler's policy. The mutex is held.
func (d *database) setPolicy(policy flood.Policy) {
	d.ranks = len(policy.Ranks)
	d.scheduler.SetPolicy(policy)
}
