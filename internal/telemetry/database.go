package telemetry

import (
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Database is the instruments of one database with its attribute sets. It is
// safe for concurrent use.
type DatabaseMetrics struct {
	metrics *Metrics
	add     []metric.AddOption
	rounds  [3][]metric.AddOption
}

// Round is a step of a confirmation round.
type RoundStep uint8

// The steps of a round. Each round starts and is then confirmed or fails,
// unless the proxy stops owning the database first.
const (
	RoundStarted RoundStep = iota
	RoundConfirmed
	RoundFailed
)

var roundNames = [...]string{"started", "confirmed", "failed"}

// Database returns the instruments of a database.
func (m *Metrics) ForDatabase(name string) *DatabaseMetrics {
	m.mu.Lock()
	defer m.mu.Unlock()
	d, ok := m.databases[name]
	if !ok {
		d = newDatabase(m, name)
		m.databases[name] = d
	}
	return d
}

func newDatabase(m *Metrics, name string) *DatabaseMetrics {
	label := attribute.String("database", name)
	d := &DatabaseMetrics{metrics: m, add: addOptions(label)}
	for step, kind := range roundNames {
		d.rounds[step] = addOptions(label, attribute.String("kind", kind))
	}
	return d
}

// Round counts a step of a confirmation round.
func (d *DatabaseMetrics) CountRoundStep(step RoundStep) {
	d.metrics.rounds.Add(background, 1, d.rounds[step]...)
}

// CountPrimaryChange counts a change of the primary, whoever ordered it.
func (d *DatabaseMetrics) CountPrimaryChange() { d.metrics.primaryChanges.Add(background, 1, d.add...) }

// CountPromotion counts a promotion that this proxy carried out.
func (d *DatabaseMetrics) CountPromotion() { d.metrics.promotions.Add(background, 1, d.add...) }

type documentKey struct{ service, kind string }

// CountDocumentInForce counts a revision that took force.
func (m *Metrics) CountDocumentInForce(service string) {
	m.countDocument(documentKey{service, "in_force"})
}

// CountDocumentRefused counts a revision that was refused.
func (m *Metrics) CountDocumentRefused(service string) {
	m.countDocument(documentKey{service, "refused"})
}

func (m *Metrics) countDocument(key documentKey) {
	m.mu.Lock()
	options, ok := m.services[key]
	if !ok {
		options = addOptions(attribute.String("service", key.service), attribute.String("kind", key.kind))
		m.services[key] = options
	}
	m.mu.Unlock()
	m.documents.Add(background, 1, options...)
}
