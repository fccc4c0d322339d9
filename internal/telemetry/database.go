package telemetry

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// DatabaseMetrics records the metrics of one database. The attribute sets are built once.
// It is safe for concurrent use.
type DatabaseMetrics struct {
	metrics          *Metrics
	addOptions       []metric.AddOption
	roundStepOptions [3][]metric.AddOption
}

// RoundStep is a step of a probe round, which confirms that the primary of an owned
// database was not replaced.
type RoundStep uint8

// The steps of a probe round. Each round starts and is then either confirmed or failed, unless
// the proxy loses ownership of the database first.
const (
	RoundStarted RoundStep = iota
	RoundConfirmed
	RoundFailed
)

var roundStepNames = [...]string{"started", "confirmed", "failed"}

// ForDatabase returns the metrics of a database. Equal names give the same object.
func (m *Metrics) ForDatabase(name string) *DatabaseMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.databases[name]
	if !ok {
		d = newDatabaseMetrics(m, name)
		m.databases[name] = d
	}
	return d
}

func newDatabaseMetrics(m *Metrics, name string) *DatabaseMetrics {
	label := attribute.String("database", name)
	d := &DatabaseMetrics{metrics: m, addOptions: addOptions(label)}
	for step, kind := range roundStepNames {
		d.roundStepOptions[step] = addOptions(label, attribute.String("kind", kind))
	}
	return d
}

// CountRoundStep counts a step of a probe round.
func (d *DatabaseMetrics) CountRoundStep(step RoundStep) {
	d.metrics.rounds.Add(background, 1, d.roundStepOptions[step]...)
}

// CountPrimaryChange counts a change of the primary, including changes that this proxy did
// not initiate.
func (d *DatabaseMetrics) CountPrimaryChange() {
	d.metrics.primaryChanges.Add(background, 1, d.addOptions...)
}

// CountPromotion counts a promotion that this proxy carried out.
func (d *DatabaseMetrics) CountPromotion() { d.metrics.promotions.Add(background, 1, d.addOptions...) }

type documentKey struct{ service, kind string }

// CountDocumentInForce counts a document revision that took effect.
func (m *Metrics) CountDocumentInForce(service string) {
	m.countDocument(documentKey{service, "in_force"})
}

// CountDocumentRefused counts a document revision that was refused.
func (m *Metrics) CountDocumentRefused(service string) {
	m.countDocument(documentKey{service, "refused"})
}

func (m *Metrics) countDocument(key documentKey) {
	m.mu.Lock()
	options, ok := m.documentOptions[key]
	if !ok {
		options = addOptions(attribute.String("service", key.service), attribute.String("kind", key.kind))
		m.documentOptions[key] = options
	}
	m.mu.Unlock()
	m.documents.Add(background, 1, options...)
}
