package telemetry

import (
	"sync"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// UnknownLabel is the class and rank of requests whose class is not in a document.
const UnknownLabel = "unknown"

// maxReasons limits the number of values of the label reason; further reasons are counted
// as otherReason. The program has about 25 reasons, but a peer of another version may send
// others.
const (
	otherReason = "other"
	maxReasons  = 64
)

// classKey identifies the instruments of a class.
type classKey struct {
	class, rank    string
	replicaAllowed bool
}

// ClassMetrics records the metrics of one class of requests. The attribute sets are built
// once, so that recording does not allocate. It is safe for concurrent use.
type ClassMetrics struct {
	metrics       *Metrics
	key           classKey
	recordOptions []metric.RecordOption
	addOptions    []metric.AddOption
	sourceOptions [2][]metric.AddOption

	mu                 sync.RWMutex
	resultOptionsByKey map[resultKey]resultOptions
}

type resultKey struct{ kind, reason string }

type resultOptions struct{ result, refusal []metric.AddOption }

// ForClass returns the metrics of a class. Equal arguments give the same object.
func (m *Metrics) ForClass(class, rank string, replicaAllowed bool) *ClassMetrics {
	key := classKey{class, rank, replicaAllowed}
	m.mu.Lock()
	defer m.mu.Unlock()
	c, ok := m.classes[key]
	if !ok {
		c = newClassMetrics(m, key)
		m.classes[key] = c
	}
	return c
}

func newClassMetrics(m *Metrics, key classKey) *ClassMetrics {
	labels := []attribute.KeyValue{attribute.String("class", key.class), attribute.String("rank", key.rank)}
	c := &ClassMetrics{metrics: m, key: key, resultOptionsByKey: map[resultKey]resultOptions{}}
	c.addOptions = addOptions(labels...)
	c.recordOptions = []metric.RecordOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
	for source, name := range sourceNames {
		c.sourceOptions[source] = addOptions(labels[0], labels[1],
			attribute.String("source", name), attribute.Bool("replica_allowed", key.replicaAllowed))
	}
	return c
}

func addOptions(labels ...attribute.KeyValue) []metric.AddOption {
	return []metric.AddOption{metric.WithAttributeSet(attribute.NewSet(labels...))}
}

// Source is the role of the member that served a read.
type Source uint8

// The sources of a read.
const (
	SourcePrimary Source = iota
	SourceReplica
)

var sourceNames = [...]string{"primary", "replica"}

// RecordQueueWait records the time until a request was dispatched.
func (c *ClassMetrics) RecordQueueWait(d time.Duration) {
	c.metrics.queueWait.Record(background, seconds(d), c.recordOptions...)
}

// RecordUpstreamTime records the time for which a batch occupied an upstream connection.
func (c *ClassMetrics) RecordUpstreamTime(d time.Duration) {
	c.metrics.upstreamTime.Record(background, seconds(d), c.recordOptions...)
}

// CountRead counts an answered read.
func (c *ClassMetrics) CountRead(source Source) {
	c.metrics.reads.Add(background, 1, c.sourceOptions[source]...)
}

// RecordReadLag records the lag of the replica that a read was dispatched to.
func (c *ClassMetrics) RecordReadLag(d time.Duration) {
	c.metrics.readLag.Record(background, seconds(d), c.recordOptions...)
}

// CountRetry counts a request that its caller declared to be a retry.
func (c *ClassMetrics) CountRetry() { c.metrics.retries.Add(background, 1, c.addOptions...) }

// RecordResult counts a result and records the total time of the request. refused is set
// if the request was not executed.
func (c *ClassMetrics) RecordResult(kind, reason string, refused bool, total time.Duration) {
	m := c.metrics
	options := c.resultOptions(resultKey{kind, reason})
	m.requestTime.Record(background, seconds(total), c.recordOptions...)
	m.results.Add(background, 1, options.result...)
	if refused {
		m.refusals.Add(background, 1, options.refusal...)
	}
}

func (c *ClassMetrics) resultOptions(key resultKey) resultOptions {
	c.mu.RLock()
	options, ok := c.resultOptionsByKey[key]
	c.mu.RUnlock()
	if ok {
		return options
	}
	label := c.metrics.reasonLabel(key.reason)
	if label != key.reason {
		return c.resultOptions(resultKey{key.kind, label})
	}
	reason := attribute.String("reason", key.reason)
	rank := attribute.String("rank", c.key.rank)
	options.result = addOptions(attribute.String("class", c.key.class), rank, attribute.String("kind", key.kind), reason)
	options.refusal = addOptions(rank, reason)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.resultOptionsByKey[key] = options
	return options
}

// reasonLabel returns the label value of a reason: otherReason if it is new and there are
// already maxReasons reasons.
func (m *Metrics) reasonLabel(reason string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.knownReasons[reason] {
		return reason
	}
	if len(m.knownReasons) >= maxReasons {
		m.knownReasons[otherReason] = true
		return otherReason
	}
	m.knownReasons[reason] = true
	return reason
}
