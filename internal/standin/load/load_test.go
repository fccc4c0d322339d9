package load

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

func startGroup(t *testing.T) []*upstream.Member {
	t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	members, err := upstream.StartGroup(2, upstream.Options{Name: "u", Log: log})
	assert.NilError(t, err)
	t.Cleanup(func() { upstream.CloseGroup(members) })
	return members
}

func run(t *testing.T, options Options) *Report {
	t.Helper()
	options.Database, options.User, options.Seed, options.RecordWrites = "shop", "caller", 7, true
	report, err := Run(context.Background(), options)
	assert.NilError(t, err)
	return report
}

// Guards against plans that differ for equal seeds or miss the configured
// rates.
func TestPlan(t *testing.T) {
	options := Options{Targets: []string{"a", "b"}, Seed: 1, RoamProbability: 0.5, Ranks: []Rank{
		{Rate: 1000, ReadShare: 0.25, FloodFactor: 10, FloodStart: 10 * time.Second, FloodDuration: time.Second},
	}}
	assert.NilError(t, options.applyDefaults())
	first, second := newPlan(&options, 0), newPlan(&options, 0)
	before, during, reads := 0, 0, 0
	for a := first.next(); a.at < 20*time.Second; a = first.next() {
		assert.Equal(t, a, second.next())
		switch {
		case a.at < 10*time.Second:
			before++
		case a.at < 11*time.Second:
			during++
		}
		if a.read {
			reads++
		}
	}
	const tolerance = 500
	assert.Assert(t, max(before-10_000, 10_000-before) < tolerance, "%d arrivals before the flood", before)
	assert.Assert(t, max(during-10_000, 10_000-during) < tolerance, "%d arrivals during the flood", during)
	assert.Assert(t, max(reads-7250, 7250-reads) < tolerance, "%d reads", reads)
}

// Guards against acknowledged writes that are missing from the report, counted
// twice or executed twice, and against violations reported for a single primary,
// whose reads are never stale.
func TestRunAgainstPrimary(t *testing.T) {
	for _, simple := range []bool{false, true} {
		primary := startGroup(t)[0]
		report := run(t, Options{
			Targets:        []string{primary.Address()},
			Duration:       300 * time.Millisecond,
			SimpleProtocol: simple,
			Ranks: []Rank{
				{Name: "first", Class: "order", Rate: 300, ReadShare: 0.5, Callers: 3, Deadline: 5 * time.Second},
				{Name: "last", Rate: 100, ReadShare: 1, Deadline: 5 * time.Second},
			},
		})
		committed := map[upstream.Op]int{}
		for _, entry := range primary.Committed() {
			committed[entry.Ops[0]]++
		}
		assert.Assert(t, len(report.Writes) > 0)
		assert.Equal(t, len(committed), len(report.Writes))
		for _, write := range report.Writes {
			assert.Equal(t, write.Outcome, OutcomeDone)
			assert.Equal(t, committed[upstream.Op{Table: upstream.TableKV, Key: write.Key, Value: write.Value}], 1)
		}
		first := report.Ranks[0]
		assert.Equal(t, first.Arrivals, first.Outcomes[OutcomeDone]+first.Shed)
		assert.Equal(t, int(first.Latency.Count), first.Outcomes[OutcomeDone])
		assert.Assert(t, first.ReadsChecked > 0)
		assert.Equal(t, report.Violations(), 0)
		assert.Equal(t, report.Ranks[1].Outcomes[OutcomeDone], report.Ranks[1].Arrivals)
	}
}

// Guards against stale reads at another target that are not reported as
// violations.
func TestStaleReadsAreViolations(t *testing.T) {
	members := startGroup(t)
	members[1].PauseReplication(true)
	report := run(t, Options{
		Targets:         []string{members[0].Address(), members[1].Address()},
		Duration:        300 * time.Millisecond,
		RoamProbability: 0.5,
		Ranks:           []Rank{{Name: "first", Rate: 300, ReadShare: 0.7, Callers: 3, Deadline: 5 * time.Second}},
	})
	assert.Assert(t, report.Violations() > 0)
	assert.Assert(t, report.Ranks[0].Errors["25006"] > 0)
}

// Guards against callers that ignore the retry hint, or that change their
// request id on a retry.
func TestRetriesAfterRefusal(t *testing.T) {
	const hinted = 30 * time.Millisecond
	primary := startGroup(t)[0]
	primary.FailNext(1, &upstream.Error{Code: codeNotRun, Message: "not run", Detail: "retry_after_ms=30"}, "attempt=1")
	report := run(t, Options{
		Targets:  []string{primary.Address()},
		Duration: 100 * time.Millisecond,
		Ranks:    []Rank{{Name: "first", Rate: 200, Deadline: 5 * time.Second, MaxAttempts: 2, RetryDelay: time.Nanosecond}},
	})
	first := report.Ranks[0]
	assert.Equal(t, first.Errors[codeNotRun], 1)
	assert.Equal(t, first.Attempts, first.Arrivals-first.Shed+1)
	assert.Equal(t, first.Outcomes[OutcomeDone], first.Arrivals-first.Shed)
	assert.Equal(t, first.RefusalLatency.Count, int64(1))
	assert.Assert(t, first.Latency.Max >= milliseconds(hinted.Microseconds()))
}

// Guards against unknown outcomes that are retried without RetryUnknown or
// counted as done.
func TestUnknownWrites(t *testing.T) {
	for _, retry := range []bool{false, true} {
		primary := startGroup(t)[0]
		primary.FailNext(3, &upstream.Error{Code: codeUnknown, Message: "outcome unknown"}, "INSERT")
		report := run(t, Options{
			Targets:  []string{primary.Address()},
			Duration: 100 * time.Millisecond,
			Ranks:    []Rank{{Name: "first", Rate: 200, Deadline: 5 * time.Second, MaxAttempts: 4, RetryUnknown: retry}},
		})
		want := 3
		if retry {
			want = 0
		}
		assert.Equal(t, report.Ranks[0].Errors[codeUnknown], 3)
		assert.Equal(t, report.Ranks[0].Outcomes[OutcomeUnknown], want)
		assert.Equal(t, report.Violations(), 0)
	}
}

// Guards against a write gap that is not counted because no later write was
// acknowledged.
func TestGapWithoutEnd(t *testing.T) {
	const duration = 100 * time.Millisecond
	primary := startGroup(t)[0]
	primary.FailNext(1<<20, &upstream.Error{Code: codeNotRun}, "INSERT")
	options := Options{
		Targets:  []string{primary.Address()},
		Duration: duration,
		Ranks:    []Rank{{Name: "first", Rate: 200, Deadline: 5 * time.Second}},
	}
	assert.Equal(t, run(t, options).LongestWriteGap, milliseconds(duration.Microseconds()))
	options.Ranks[0].ReadShare = 1
	assert.Equal(t, run(t, options).LongestWriteGap, 0.0)
}

// Guards against sessions that stay at a target that is down.
func TestMovesToAnotherTarget(t *testing.T) {
	members := startGroup(t)
	down := members[1].Address()
	members[1].Close()
	report := run(t, Options{
		Targets:  []string{down, members[0].Address()},
		Duration: 100 * time.Millisecond,
		Ranks:    []Rank{{Name: "first", Rate: 200, Callers: 2, Deadline: 5 * time.Second, MaxAttempts: 2}},
	})
	first := report.Ranks[0]
	assert.Equal(t, first.Outcomes[OutcomeDone], first.Arrivals-first.Shed)
	assert.Assert(t, first.Errors["connection"] > 0)
}

// Guards against a pool that never reuses a connection, or reuses one that the
// proxy closed.
func TestPool(t *testing.T) {
	primary := startGroup(t)[0]
	p, err := newPool(primary.Address(), &Options{Database: "shop", User: "caller"})
	assert.NilError(t, err)
	defer p.close()
	first, err := p.get(t.Context())
	assert.NilError(t, err)
	p.put(first)
	again, err := p.get(t.Context())
	assert.NilError(t, err)
	assert.Equal(t, first, again)
	_ = again.PgConn().Conn().(*net.TCPConn).CloseRead()
	p.put(again)
	fresh, err := p.get(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, fresh != again)
	p.put(fresh)
}

// Guards against a pool that waits without a bound for a read that is pending
// on an idle connection, as pgx leaves one behind after a slow write.
func TestPoolWithPendingRead(t *testing.T) {
	primary := startGroup(t)[0]
	p, err := newPool(primary.Address(), &Options{Database: "shop", User: "caller"})
	assert.NilError(t, err)
	c, err := p.get(t.Context())
	assert.NilError(t, err)
	reading := make(chan struct{})
	go func() {
		close(reading)
		_, _ = c.PgConn().Conn().Read(make([]byte, 1))
	}()
	<-reading
	time.Sleep(50 * time.Millisecond) // lets the read reach the socket
	p.put(c)
	got := make(chan error, 1)
	go func() {
		_, err := p.get(context.Background())
		got <- err
	}()
	select {
	case err := <-got:
		assert.NilError(t, err)
	case <-time.After(5 * time.Second):
		t.Fatal("the pool did not return a connection")
	}
}

// Guards against counting an acknowledgement for the session's new key if the
// session changed its key while the write was in flight, here because a read
// reported a loss.
func TestAcknowledgementAfterKeyChange(t *testing.T) {
	r, err := newRunner(&Options{Targets: []string{"a"}, Ranks: []Rank{{Name: "first", Rate: 1, Callers: 1}}})
	assert.NilError(t, err)
	rank := r.ranks[0]
	write := r.admit(rank, arrival{})
	read := r.admit(rank, arrival{read: true})
	r.finish(rank, read, attemptResult{outcome: OutcomeWriteLost})
	r.finish(rank, write, attemptResult{outcome: OutcomeDone})
	next := r.admit(rank, arrival{read: true})
	assert.Assert(t, next.key != write.key)
	assert.Equal(t, next.minValue, 0)
	r.finish(rank, next, attemptResult{outcome: OutcomeDone})
	assert.Equal(t, r.report(r.start).Violations(), 0)

	write = r.admit(rank, arrival{})
	r.finish(rank, write, attemptResult{outcome: OutcomeDone})
	next = r.admit(rank, arrival{read: true})
	assert.Equal(t, next.minValue, 1)
	r.finish(rank, next, attemptResult{outcome: OutcomeDone})
	assert.Equal(t, r.report(r.start).Violations(), 1)
}

// Guards against losses reported as stale reads, stale reads reported as
// losses, and losses of notified sessions counted as silent.
func TestMarkLost(t *testing.T) {
	report := &Report{
		Writes: []Write{
			{Key: "kept", Value: "1", Outcome: OutcomeDone},
			{Key: "silent", Value: "1", Outcome: OutcomeDone},
			{Key: "told", Value: "1", Outcome: OutcomeDone, SessionNotified: true},
			{Key: "unknown", Value: "1", Outcome: OutcomeUnknown},
		},
		ReadViolations: []ReadViolation{{Key: "kept", Expected: 1}, {Key: "silent", Expected: 1}},
	}
	assert.Equal(t, report.StaleReads(), 2)
	report.MarkLost(func(key, _ string) bool { return key == "kept" })
	assert.Equal(t, report.SilentLosses(), 1)
	assert.Equal(t, report.StaleReads(), 1)
}

// Guards against a run that never ends because a request does not return.
func TestRunEndsDespiteBlockedRequests(t *testing.T) {
	primary := startGroup(t)[0]
	r, err := newRunner(&Options{
		Targets:  []string{primary.Address()},
		Duration: 100 * time.Millisecond,
		Ranks:    []Rank{{Name: "first", Rate: 50, Callers: 3, Deadline: 100 * time.Millisecond}},
	})
	assert.NilError(t, err)
	defer r.close()
	release := make(chan struct{})
	defer close(release)
	r.pools[0].config.DialFunc = func(context.Context, string, string) (net.Conn, error) {
		<-release
		return nil, io.EOF
	}
	ended := make(chan *Report, 1)
	go func() { ended <- r.run(context.Background()) }()
	select {
	case report := <-ended:
		first := report.Ranks[0]
		assert.Assert(t, report.Unfinished > 0)
		assert.Equal(t, report.Unfinished, first.Arrivals-first.Shed)
	case <-time.After(10 * time.Second):
		t.Fatal("the run did not end")
	}
}

// Guards against declarations that a proxy cannot parse.
func TestDeclarations(t *testing.T) {
	rank := &Rank{Class: "order", ReadClass: "lookup", Deadline: 250 * time.Millisecond}
	req := &request{session: &session{name: "s1"}, id: "r1"}
	assert.Equal(t, declarations(rank, req, 2, "1:7"), "/*skylarkhinge class=order session=s1 request=r1 attempt=2 deadline=250ms token=1:7*/ ")
	req.read = true
	assert.Equal(t, declarations(rank, req, 1, ""), "/*skylarkhinge class=lookup session=s1 request=r1 attempt=1 deadline=250ms*/ ")
	assert.Equal(t, parseRetryAfter("retry_after_ms=15 queue"), 15*time.Millisecond)
	assert.Equal(t, parseRetryAfter("none"), time.Duration(0))
}

// Guards against a RankHelp that the parser rejects, and against unknown fields
// that are accepted.
func TestParseRank(t *testing.T) {
	rank, err := ParseRank(RankHelp)
	assert.NilError(t, err)
	assert.Equal(t, rank.Name, "first")
	assert.Equal(t, rank.FloodDuration, 10*time.Second)
	for _, text := range []string{"", "rate=0", "rate=1,what=1", "rate=1,deadline=soon", "rate=1,read-share=2"} {
		_, err := ParseRank(text)
		assert.Assert(t, err != nil, text)
	}
}

// Guards against a report that omits a rank.
func TestReportFormats(t *testing.T) {
	report := &Report{Ranks: []RankReport{{Rank: "first", Outcomes: map[Outcome]int{OutcomeDone: 3}}, {Rank: "last"}}}
	var table, text bytes.Buffer
	assert.NilError(t, report.WriteTable(&table))
	lines := strings.Split(strings.TrimSpace(table.String()), "\n")
	assert.Equal(t, len(lines), 1+len(report.Ranks)+4) // header, ranks, totals
	assert.Assert(t, slices.Contains(strings.Fields(lines[1]), "3"))
	assert.NilError(t, report.WriteJSON(&text))
	var back Report
	assert.NilError(t, json.Unmarshal(text.Bytes(), &back))
	assert.Equal(t, back.Ranks[0].Outcomes[OutcomeDone], 3)
}
