package proxy

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// fetch returns the status code and the body of a path of the metrics server.
func (p *fleetProxy) fetch(t *testing.T, path string) (int, string) {
	t.Helper()
	response, err := http.Get("http://" + p.addresses.Metrics + path)
	assert.NilError(t, err)
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	assert.NilError(t, err)
	return response.StatusCode, string(body)
}

// scrape returns the sum of a metric's samples over the proxies of a fleet. Only
// samples whose labels contain filter count.
func (f *fleet) scrape(metric, filter string) float64 {
	f.t.Helper()
	pattern := regexp.MustCompile(`(?m)^` + metric + `(\{[^}]*\})? (\S+)$`)
	sum := 0.0
	for _, p := range f.proxies {
		_, text := p.fetch(f.t, "/metrics")
		for _, sample := range pattern.FindAllStringSubmatch(text, -1) {
			if !strings.Contains(sample[1], filter) {
				continue
			}
			value, err := strconv.ParseFloat(sample[2], 64)
			assert.NilError(f.t, err)
			sum += value
		}
	}
	return sum
}

// Guards against requests that are counted twice because they are forwarded,
// under a wrong class, or not at all.
func TestMetricsOfAFleet(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{})
	ctx := testContext(t)
	const requestsPerProxy = 5
	for _, p := range f.proxies {
		// Both connections share a session: otherwise a read of class browse may miss
		// writes of the last 10 s.
		session := "metrics-" + p.name
		order := f.connect(p, "class", "order", "session", session)
		browse := f.connect(p, "class", "browse", "attempt", "2", "session", session)
		for i := range requestsPerProxy {
			key := fmt.Sprint(p.name, i)
			_, err := order.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('"+key+"', 'mask')")
			assert.NilError(t, err)
			var value string
			assert.NilError(t, browse.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", key).Scan(&value))
		}
		// A class that no document names.
		_, err := f.connect(p, "class", "none").Exec(ctx, "SELECT 1")
		assert.ErrorContains(t, err, "unknown_class")
	}
	const total = 2 * requestsPerProxy
	for _, c := range []struct {
		metric, filter string
		want           float64
	}{
		{"skylarkhinge_results_total", `class="order",kind="done",rank="checkout"`, total},
		{"skylarkhinge_results_total", `class="unknown",kind="not_run",rank="unknown",reason="unknown_class"`, 2},
		{"skylarkhinge_refusals_total", `reason="unknown_class"`, 2},
		{"skylarkhinge_request_time_seconds_count", `class="order"`, total},
		{"skylarkhinge_queue_wait_seconds_count", `class="order"`, total},
		{"skylarkhinge_upstream_time_seconds_count", `class="order"`, total},
		{"skylarkhinge_document_revision", `service="shop"`, 2},
		{"skylarkhinge_documents_total", `kind="in_force",service="shop"`, 2},
		{"skylarkhinge_callers", "", 6},
		{"skylarkhinge_promotions_total", "", 0},
	} {
		assert.Equal(t, f.scrape(c.metric, c.filter), c.want, c.metric+c.filter)
	}
	browsed := f.scrape("skylarkhinge_results_total", `class="browse"`)
	assert.Equal(t, f.scrape("skylarkhinge_retries_total", `class="browse"`), browsed)
	assert.Equal(t, f.scrape("skylarkhinge_reads_total", `class="browse"`), browsed)
	assert.Equal(t, f.scrape("skylarkhinge_read_lag_seconds_count", ""), f.scrape("skylarkhinge_reads_total", `source="replica"`))
	started := f.scrape("skylarkhinge_confirmation_rounds_total", `kind="started"`)
	confirmed := f.scrape("skylarkhinge_confirmation_rounds_total", `kind="confirmed"`)
	assert.Assert(t, confirmed > 0 && confirmed <= started, "started %v, confirmed %v", started, confirmed)
	assert.Assert(t, f.scrape("skylarkhinge_upstream_connections", `role="primary"`) > 0)
}

// Guards against a load balancer that sends callers to a proxy that has no
// document or that is draining.
func TestReadinessFollowsDocumentAndDrain(t *testing.T) {
	f := newFleet(t, 0, upstream.Options{})
	p := f.startProxyWithoutDocument("p1")
	code, text := p.fetch(t, "/readyz")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, text, "no document is in force\n")
	code, _ = p.fetch(t, "/healthz")
	assert.Equal(t, code, http.StatusOK)
	assert.NilError(t, p.PutDocument(f.document, 1))
	f.awaitRevision(1, p)
	code, _ = p.fetch(t, "/readyz")
	assert.Equal(t, code, http.StatusOK)
	p.drain.started.Store(true)
	code, text = p.fetch(t, "/readyz")
	assert.Equal(t, code, http.StatusServiceUnavailable)
	assert.Equal(t, text, "draining\n")
	code, _ = p.fetch(t, "/healthz")
	assert.Equal(t, code, http.StatusOK)
}

// newIdleProxy returns a proxy that is not started and logs JSON to out.
func newIdleProxy(out io.Writer) *Proxy {
	settings := config.DefaultSettings()
	settings.VM = "p1"
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.JSONFormatter{})
	return New(Options{Settings: &settings, Log: log})
}

// Guards against a liveness check that succeeds although the core has stopped.
func TestLivenessFollowsTicks(t *testing.T) {
	p := newIdleProxy(io.Discard)
	assert.Equal(t, p.observer.livenessProblem(), "")
	p.startTime = p.startTime.Add(-2 * maxTickAge)
	assert.Equal(t, p.observer.livenessProblem(), "the core has not run for 5s")
	p.tick()
	assert.Equal(t, p.observer.livenessProblem(), "")
}

// Guards against log lines without step and peer, a failure that is logged on
// every repetition, and settings that are missing from the log.
func TestLogLines(t *testing.T) {
	var out bytes.Buffer
	p := newIdleProxy(&out)
	for range 3 {
		p.logFailure("upstream_connect_failed", "connect_upstream", "u1", io.EOF)
	}
	p.logEvent(&core.Event{Kind: core.EventPrimaryChanged, Database: "orders", Upstream: "u2", Term: 4})
	assert.NilError(t, p.logSettings())
	var lines []map[string]any
	for decoder := json.NewDecoder(&out); decoder.More(); {
		var line map[string]any
		assert.NilError(t, decoder.Decode(&line))
		delete(line, "time")
		lines = append(lines, line)
	}
	assert.Assert(t, is.Len(lines, 3))
	assert.DeepEqual(t, lines[0], map[string]any{"event": "upstream_connect_failed", "step": "connect_upstream",
		"peer": "u1", "error": "EOF", "level": "warning", "msg": "step failed"})
	assert.DeepEqual(t, lines[1], map[string]any{"event": "primary_changed", "step": "follow_primary", "peer": "u2",
		"database": "orders", "term": 4.0, "level": "info", "msg": "core event"})
	assert.Equal(t, lines[2]["event"], "settings")
	assert.Equal(t, lines[2]["vm"], "p1")
	assert.Equal(t, lines[2]["drain_timeout"], "30s")
}

// Guards against a core that blocks on the log because its reader has stopped.
func TestEventsDoNotWaitForTheLog(t *testing.T) {
	p := newIdleProxy(io.Discard)
	for range 2 * maxQueuedEvents {
		p.handleEvent(&core.Event{Kind: core.EventOwnerStarted, Database: testDatabase})
	}
	go p.eventLog.run()
	p.eventLog.close()
	assert.Equal(t, len(p.eventLog.events), 0)
}

// Guards against a promotion that is counted twice when a later owner learns of
// its term, and against a change that is counted when the first primary becomes
// known.
func TestPromotionsAreCountedOnce(t *testing.T) {
	f := &fleet{t: t}
	p := f.startMetricsServer()
	o := p.observer
	changed := func(term uint64) {
		o.recordEvent(&core.Event{Kind: core.EventPrimaryChanged, Database: testDatabase, Upstream: "u1", Term: term})
	}
	promote := core.GroupPromoteRequest{Database: testDatabase}
	promote.Term = 5
	changed(4)
	o.recordTick(1, &core.Outputs{Promotes: []core.GroupPromoteRequest{promote}})
	changed(5)
	changed(5)
	changed(6)
	p.startLoop(t)
	assert.Equal(t, f.scrape("skylarkhinge_promotions_total", ""), 1.0)
	assert.Equal(t, f.scrape("skylarkhinge_primary_changes_total", ""), 2.0)
}

// Guards against probe rounds without an answer that count as confirmed, or that
// are not counted.
func TestRoundsWithoutAnswersFail(t *testing.T) {
	f := &fleet{t: t}
	p := f.startMetricsServer()
	doc := f.testDocument()
	for _, name := range []string{"u1", "u2", "u3"} {
		doc.Databases[0].Upstreams = append(doc.Databases[0].Upstreams, config.Upstream{Name: name, Slots: 5, Connections: 35})
	}
	service, err := doc.CoreService(1)
	assert.NilError(t, err)
	arrival := core.Arrival{Handle: 1, Caller: 1, Database: testDatabase, Class: "order"}
	in := &core.Inputs{Documents: []core.Service{service}, Arrivals: []core.Arrival{arrival}}
	for now := entity.Time(1); now < entity.Time(time.Second); {
		out := p.node.Tick(now, in)
		in.Reset()
		p.observer.recordTick(now, out)
		now = out.NextTick
	}
	p.startLoop(t)
	started := f.scrape("skylarkhinge_confirmation_rounds_total", `kind="started"`)
	failed := f.scrape("skylarkhinge_confirmation_rounds_total", `kind="failed"`)
	assert.Assert(t, failed > 0 && failed <= started, "started %v, failed %v", started, failed)
	assert.Equal(t, f.scrape("skylarkhinge_confirmation_rounds_total", `kind="confirmed"`), 0.0)
}

// startLoop runs the core, which a scrape needs for the gauges.
func (p *fleetProxy) startLoop(t *testing.T) {
	go p.loop(p.context)
	t.Cleanup(func() {
		p.cancel()
		<-p.done
	})
}

// startMetricsServer returns a proxy of which only the metrics server runs.
func (f *fleet) startMetricsServer() *fleetProxy {
	p := &fleetProxy{Proxy: newIdleProxy(io.Discard)}
	p.options.Settings.MetricsAddress = "127.0.0.1:0"
	server, err := p.serveMetrics()
	assert.NilError(f.t, err)
	f.t.Cleanup(server.stop)
	p.addresses.Metrics = server.address
	f.proxies = append(f.proxies, p)
	return p
}

// BenchmarkLoopPart measures the time that metrics take on the core's loop per
// request.
func BenchmarkLoopPart(b *testing.B) {
	p := newIdleProxy(io.Discard)
	doc := (&fleet{}).testDocument()
	service, err := doc.CoreService(1)
	assert.NilError(b, err)
	p.node.Tick(1, &core.Inputs{Documents: []core.Service{service}})
	r := &inflightRequest{request: newTestRequest("browse")}
	d := &core.Dispatch{Upstream: entity.Upstream("u1")}
	b.ReportAllocs()
	for b.Loop() {
		r.class = requestClass{}
		p.observer.recordDispatch(r, d)
		p.observer.classify(r)
	}
}

func newTestRequest(class string) *peerpb.Request {
	return &peerpb.Request{Database: testDatabase, User: "caller", Class: class}
}
