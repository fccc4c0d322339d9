package telemetry

import (
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// UnknownLabel is the class and rank of requests whose class is not in a document.
const UnknownLabel = "unknown"

// otherReason stands for the reasons past maxReasons. The program itself has
// about 25; a peer of another version may send further ones.
const (
	otherReason = "other"
	maxReasons  = 64
)

type classKey struct {
	class, rank    string
	replicaAllowed bool
}

// Class is the instruments of one class with its attribute sets, which are
// made once. It is safe for concurrent use.
type ClassMetrics struct {
	metrics *Metrics
	key     classKey
	record  []metric.RecordOption
	add     []metric.AddOption
	source  [2][]metric.AddOption

	mu      sync.RWMutex
	results map[resultKey]resultOptions
}

type resultKey struct{ kind, reason string }

type resultOptions struct{ result, refusal []metric.AddOption }

// Class returns the instruments of a class.
func (m *Metrics) ForClass(class, rank string, replicaAllowed bool) *ClassMetrics {
	key := classKey{class, rank, replicaAllowed}
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.classes[key]
	if !ok {
		c = newClass(m, key)
		m.classes[key] = c
	}
	return c
}

func newClass(m *Metrics, key classKey) *ClassMetrics {
	labels := []attribute.KeyValue{attribute.String("class", key.class), attribute.String("rank", key.rank)}
	c := &ClassMetrics{metrics: m, key: key, results: map[resultKey]resultOptions{}}
	c.add = addOptions(labels...)
	c.record = []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
	for source, name := range sourceNames {
		c.source[source] = addOptions(labels[0], labels[1],
			attribute.String("source", name), attribute.Bool("replica_allowed", key.replicaAllowed))
	}
	return c
}

func addOptions(labels ...attribute.KeyValue) []metric.AddOption {
	return []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
}

// Source tells which kind of member served a read.
type Source uint8

// The sources of a read.
const (
	SourcePrimary Source = iota
	SourceReplica
)

var sourceNames = [...]string{"primary", "replica"}

// RecordQueueWait records the time until a request was dispatched.
func (c *ClassMetrics) RecordQueueWait(d time.Duration) {
	c.metrics.queueWait.Record(background, seconds(d), c.record...)
}

// RecordUpstreamTime records the time that a batch ran on a connection.
func (c *ClassMetrics) RecordUpstreamTime(d time.Duration) {
	c.metrics.upstreamTime.Record(background, seconds(d), c.record...)
}

// CountRead counts an answered read.
func (c *ClassMetrics) CountRead(source Source) {
	c.metrics.reads.Add(background, 1, c.source[source]...)
}

// RecordReadLag records the lag of the replica that a read was dispatched to.
func (c *ClassMetrics) RecordReadLag(d time.Duration) {
	c.metrics.readLag.Record(background, seconds(d), c.record...)
}

// CountRetry counts a request that its caller declared as a retry.
func (c *ClassMetrics) CountRetry() { c.metrics.retries.Add(background, 1, c.add...) }

// RecordResult counts a result and records the whole time of the request. refused is
// set if the request did not run.
func (c *ClassMetrics) RecordResult(kind, reason string, refused bool, whole time.Duration) {
	m := c.metrics
	options := c.resultOptions(resultKey{kind, reason})
	m.requestTime.Record(background, seconds(whole), c.record...)
	m.results.Add(background, 1, options.result...)
	if refused {
		m.refusals.Add(background, 1, options.refusal...)
	}
}

func (c *ClassMetrics) resultOptions(key resultKey) resultOptions {
	c.mu.RLock()
	options, ok := c.results[key]
	c.mu.RUnlock()
	if ok {
		return options
	}
	known := c.metrics.knownReason(key.reason)
	if known != key.reason {
		return c.resultOptions(resultKey{key.kind, known})
	}
	reason := attribute.String("reason", key.reason)
	rank := attribute.String("rank", c.key.rank)
	options.result = addOptions(attribute.String("class", c.key.class), rank, attribute.String("kind", key.kind), reason)
	options.refusal = addOptions(rank, reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.results[key] = options
	return options
}

// knownReason bounds the reasons that become labels.
func (m *Metrics) knownReason(reason string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.reasons[reason] {
		return reason
	}
	if len(m.reasons) >= maxReasons {
		m.reasons[otherReason] = true
		return otherReason
	}
	m.reasons[reason] = true
	return reason
}
