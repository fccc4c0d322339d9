package managed

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

const manyRoutes = 450

// routesObserver returns an observer that has recorded every result code on many routes.
func routesObserver(t testing.TB) *observer {
	t.Helper()
	metrics, err := telemetry.New(func(context.Context) (telemetry.Sample, error) { return telemetry.Sample{}, nil })
	assert.NilError(t, err)
	o := &observer{metrics: metrics}
	for i := range manyRoutes {
		route := &Route{Consistency: Consistency(i % len(consistencyNames)), Rank: i}
		for code := range CodeOther + 1 {
			s := &session{}
			s.stages.run = time.Millisecond
			o.statement(s, &Statement{Kind: StatementRead}, route, Reply{Code: code}, time.Millisecond)
		}
	}
	return o
}

func scrape(o *observer) *httptest.ResponseRecorder {
	w := httptest.NewRecorder()
	o.metrics.NewServer(telemetry.Health{}).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	return w
}

// Guards against a number of time series that grows with the number of routes.
func TestSeriesAreBounded(t *testing.T) {
	text := scrape(routesObserver(t)).Body.String()
	classes := map[string]bool{}
	for line := range strings.Lines(text) {
		if _, labels, ok := strings.Cut(line, "skylarkhinge_results_total{"); ok {
			classes[labels] = true
		}
	}
	assert.Assert(t, len(classes) > 0)
	assert.Assert(t, len(classes) <= len(consistencyNames)*maxRanks*int(CodeOther+1), "%d series", len(classes))
}

// BenchmarkScrape measures one metrics scrape of a proxy with many routes.
func BenchmarkScrape(b *testing.B) {
	o := routesObserver(b)
	bytes := 0
	for b.Loop() {
		bytes = scrape(o).Body.Len()
	}
	b.ReportMetric(float64(bytes), "bytes")
}
