package telemetry

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"
)

func newTestMetrics(t testing.TB, sample Sampler) *Metrics {
	t.Helper()
	m, err := New(sample)
	assert.NilError(t, err)
	return m
}

func noSample(context.Context) (Sample, error) { return Sample{}, errors.New("the core does not run") }

func get(t *testing.T, m *Metrics, health Health, path string) (int, string) {
	t.Helper()
	w := httptest.NewRecorder()
	m.NewServer(health).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, path, nil))
	body, err := io.ReadAll(w.Body)
	assert.NilError(t, err)
	return w.Code, string(body)
}

// Guards against names and labels that differ from docs/OPERATIONS.md.
func TestNamesAndLabels(t *testing.T) {
	age := 1500 * time.Millisecond
	m := newTestMetrics(t, func(context.Context) (Sample, error) {
		return Sample{
			Callers: 3, ConfigurationAge: &age,
			Documents: []DocumentSample{{Service: "shop", Revision: 7}},
			Databases: []DatabaseSample{{Name: "orders", Ranks: []RankSample{{Rank: "checkout", Queued: 4}},
				Primary: UpstreamSample{SlotsUsed: 2, Connections: 5}}},
		}, nil
	})
	c := m.ForClass("browse", "browsing", true)
	c.RecordQueueWait(3 * time.Millisecond)
	c.RecordUpstreamTime(time.Millisecond)
	c.RecordReadLag(90 * time.Millisecond)
	c.CountRead(SourceReplica)
	c.CountRetry()
	c.RecordResult("not_run", "queue_full", true, 4*time.Millisecond)
	d := m.ForDatabase("orders")
	d.CountRoundStep(RoundFailed)
	d.CountPrimaryChange()
	d.CountPromotion()
	m.CountDocumentRefused("shop")
	m.CountPeerStreamEnded()
	m.CountOmittedLine()
	_, text := get(t, m, Health{}, "/metrics")
	for _, line := range []string{
		`skylarkhinge_queue_wait_seconds_bucket{class="browse",rank="browsing",le="0.005"} 1`,
		`skylarkhinge_upstream_time_seconds_count{class="browse",rank="browsing"} 1`,
		`skylarkhinge_request_time_seconds_count{class="browse",rank="browsing"} 1`,
		`skylarkhinge_read_lag_seconds_bucket{class="browse",rank="browsing",le="0.1"} 1`,
		`skylarkhinge_reads_total{class="browse",rank="browsing",replica_allowed="true",source="replica"} 1`,
		`skylarkhinge_retries_total{class="browse",rank="browsing"} 1`,
		`skylarkhinge_results_total{class="browse",kind="not_run",rank="browsing",reason="queue_full"} 1`,
		`skylarkhinge_refusals_total{rank="browsing",reason="queue_full"} 1`,
		`skylarkhinge_confirmation_rounds_total{database="orders",kind="failed"} 1`,
		`skylarkhinge_primary_changes_total{database="orders"} 1`,
		`skylarkhinge_promotions_total{database="orders"} 1`,
		`skylarkhinge_documents_total{kind="refused",service="shop"} 1`,
		`skylarkhinge_peer_streams_ended_total 1`,
		`skylarkhinge_log_lines_omitted_total 1`,
		`skylarkhinge_callers 3`,
		`skylarkhinge_configuration_age_seconds 1.5`,
		`skylarkhinge_requests_in_flight 0`,
		`skylarkhinge_document_revision{service="shop"} 7`,
		`skylarkhinge_queue_length{database="orders",rank="checkout"} 4`,
		`skylarkhinge_slots_used{database="orders",role="primary"} 2`,
		`skylarkhinge_upstream_connections{database="orders",role="primary"} 5`,
	} {
		assert.Assert(t, is.Contains(text, line+"\n"))
	}
}

// Guards against scrapes that lack the counters while the core is not running.
func TestScrapeWithoutSample(t *testing.T) {
	m := newTestMetrics(t, noSample)
	m.CountPeerStreamEnded()
	code, text := get(t, m, Health{}, "/metrics")
	assert.Equal(t, code, http.StatusOK)
	assert.Assert(t, is.Contains(text, "skylarkhinge_peer_streams_ended_total 1\n"))
	assert.Assert(t, !strings.Contains(text, "skylarkhinge_callers"))
}

// Guards against an unlimited number of label values from the reasons that peers send.
func TestReasonsAreBounded(t *testing.T) {
	m := newTestMetrics(t, noSample)
	c := m.ForClass("order", "checkout", false)
	for i := range 10 * maxReasons {
		c.RecordResult("not_run", fmt.Sprint("reason-", i), true, 0)
	}
	_, text := get(t, m, Health{}, "/metrics")
	assert.Equal(t, strings.Count(text, "skylarkhinge_refusals_total{"), maxReasons+1)
	assert.Assert(t, is.Contains(text, fmt.Sprintf(`reason="other"} %d`, 9*maxReasons)))
}

// Guards against allocations when metrics are recorded for a request.
func TestMeasurementsDoNotAllocate(t *testing.T) {
	m := newTestMetrics(t, noSample)
	measure := func() {
		c := m.ForClass("browse", "browsing", true)
		c.RecordQueueWait(time.Millisecond)
		c.RecordUpstreamTime(time.Millisecond)
		c.RecordReadLag(time.Millisecond)
		c.CountRead(SourceReplica)
		c.RecordResult("done", "", false, time.Millisecond)
		m.ForDatabase("orders").CountRoundStep(RoundStarted)
	}
	measure()
	assert.Equal(t, testing.AllocsPerRun(1000, measure), 0.0)
}

// Guards against health endpoints that report an unhealthy daemon as healthy.
func TestHealthEndpoints(t *testing.T) {
	m := newTestMetrics(t, noSample)
	health := Health{Live: func() string { return "" }, Ready: func() string { return "draining" }}
	code, text := get(t, m, health, "/healthz")
	assert.Equal(t, code, http.StatusOK)
	assert.Equal(t, text, "ok\n")
	code, text = get(t, m, health, "/readyz")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, text, "draining\n")
}

// BenchmarkRequest measures the cost of the metrics of one request: the lookup of its class,
// three histograms and two counters.
func BenchmarkRequest(b *testing.B) {
	m := newTestMetrics(b, noSample)
	b.ReportAllocs()
	for b.Loop() {
		c := m.ForClass("order", "checkout", false)
		c.RecordQueueWait(time.Millisecond)
		c.RecordUpstreamTime(time.Millisecond)
		c.CountRead(SourcePrimary)
		c.RecordResult("done", "", false, time.Millisecond)
	}
}
