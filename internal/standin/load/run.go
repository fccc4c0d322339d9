package load

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
)

// SQLSTATEs that the proxy returns.
const (
	codeNotRun          = "SH001"
	codeUnknown         = "SH002"
	codeWriteLost       = "SH003"
	codeAlreadyExecuted = "SH004"
)

// tokenParameter is the parameter in which a proxy reports a session's position.
const tokenParameter = "skylarkhinge.token"

// responseGrace is how long a caller waits beyond its deadline for the final
// response.
const responseGrace = 500 * time.Millisecond

// session is one caller. Its writes do not overlap, so that the order of their
// values is known.
type session struct {
	name        string
	targetIndex int
	// keyEpoch is part of the key. It is raised when the counters no longer
	// describe the row: a write was lost or already executed, or one of unknown
	// outcome may still take effect.
	keyEpoch      int
	writeInFlight bool
	// lastSent is the last value sent, lastAcknowledged the last one
	// acknowledged; both start at 0 for each key.
	lastSent         int
	lastAcknowledged int
	token            string
}

func (s *session) key() string { return s.name + "-" + strconv.Itoa(s.keyEpoch) }

// rankState is the state of a rank during a run. Its fields are guarded by
// runner.mu.
type rankState struct {
	*Rank
	index          int
	report         RankReport
	latency        *hdrhistogram.Histogram
	refusalLatency *hdrhistogram.Histogram
	sessions       []*session
	requestCount   int
}

// runner is a run in progress.
type runner struct {
	options *Options
	pools   []*pool
	start   time.Time

	mu       sync.Mutex
	ranks    []*rankState
	inFlight int
	// unfinished counts the requests that had no outcome when the run ended.
	unfinished int
	// lastAcknowledgedWrite is the time of the last acknowledged write,
	// initially the start of the run.
	lastAcknowledgedWrite time.Time
	longestWriteGap       time.Duration
	// finishedWrites counts the finished writes of any outcome.
	finishedWrites int
	writes         []Write
	readViolations []ReadViolation
	// notifiedKeys are the keys whose sessions were told that writes may be
	// lost.
	notifiedKeys map[string]bool
}

// Run generates the planned load and waits for the last response, as long as
// the deadlines and retries of the ranks allow. It stops early when the context
// ends.
func Run(ctx context.Context, options Options) (*Report, error) {
	r, err := newRunner(&options)
	if err != nil {
		return nil, err
	}
	defer r.close()
	return r.run(ctx), nil
}

func newRunner(options *Options) (*runner, error) {
	if err := options.applyDefaults(); err != nil {
		return nil, err
	}
	r := &runner{options: options, notifiedKeys: map[string]bool{}}
	for _, address := range options.Targets {
		p, err := newPool(address, options)
		if err != nil {
			return nil, err
		}
		r.pools = append(r.pools, p)
	}
	for i := range options.Ranks {
		r.ranks = append(r.ranks, newRankState(options, i))
	}
	return r, nil
}

func (r *runner) close() {
	for _, p := range r.pools {
		p.close()
	}
}

func (r *runner) run(ctx context.Context) *Report {
	now := time.Now()
	r.start, r.lastAcknowledgedWrite = now, now
	runCtx, cancel := context.WithTimeout(ctx, r.options.Duration+r.options.longestRequest())
	defer cancel()
	done := make(chan struct{})
	go func() {
		r.runRanks(runCtx)
		close(done)
	}()
	select {
	case <-done:
	case <-runCtx.Done():
		r.awaitCancelled(done)
	}
	end := r.start.Add(r.options.Duration)
	if ctx.Err() != nil {
		end = time.Now()
	}
	return r.report(end)
}

// runRanks generates the load of all ranks and returns after the last request.
func (r *runner) runRanks(ctx context.Context) {
	var wg sync.WaitGroup
	for _, rank := range r.ranks {
		wg.Go(func() { r.runRank(ctx, rank, &wg) })
	}
	wg.Wait()
}

// awaitCancelled gives requests whose context has ended time to return.
// Requests that still do not return are counted as unfinished and do not delay
// the report.
func (r *runner) awaitCancelled(done <-chan struct{}) {
	select {
	case <-done:
	case <-time.After(2 * responseGrace):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unfinished = r.inFlight
	}
}

func newRankState(options *Options, index int) *rankState {
	rank := &rankState{
		Rank:           &options.Ranks[index],
		index:          index,
		latency:        newHistogram(),
		refusalLatency: newHistogram(),
		report:         RankReport{Rank: options.Ranks[index].Name, Outcomes: map[Outcome]int{}, Errors: map[string]int{}},
	}
	for i := range rank.Callers {
		name := fmt.Sprintf("load-%d-%d-%d", options.Seed, index, i)
		rank.sessions = append(rank.sessions, &session{name: name, targetIndex: i % len(options.Targets)})
	}
	return rank
}

// runRank starts the requests of a rank at their planned times, without waiting
// for earlier ones.
func (r *runner) runRank(ctx context.Context, rank *rankState, wg *sync.WaitGroup) {
	for p := newPlan(r.options, rank.index); ; {
		a := p.next()
		if a.at >= r.options.Duration || sleep(ctx, time.Until(r.start.Add(a.at))) != nil {
			return
		}
		if req := r.admit(rank, a); req != nil {
			wg.Go(func() { r.runRequest(ctx, rank, req) })
		}
	}
}

func sleep(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// request is one request of a session with all its attempts.
type request struct {
	session *session
	id      string
	read    bool
	key     string
	value   int
	// minValue is the session's last acknowledged value when the request
	// started. A read must not return less.
	minValue int
	arrived  time.Time
	// outcomeUnknown is set if an attempt of a write had an unknown outcome: it
	// may still take effect after a later attempt or a later write.
	outcomeUnknown bool
}

// admit registers a request for the arrival. It returns nil and counts the
// arrival as shed if no session is free or MaxInFlight is reached.
func (r *runner) admit(rank *rankState, a arrival) *request {
	r.mu.Lock()
	defer r.mu.Unlock()
	rank.report.Arrivals++
	s := rank.freeSession(a)
	if s == nil || r.inFlight >= r.options.MaxInFlight {
		rank.report.Shed++
		return nil
	}
	r.inFlight++
	rank.requestCount++
	if a.roam {
		s.targetIndex = a.targetIndex
	}
	req := &request{
		session:  s,
		id:       fmt.Sprintf("r-%d-%d-%d", r.options.Seed, rank.index, rank.requestCount),
		read:     a.read,
		key:      s.key(),
		minValue: s.lastAcknowledged,
		arrived:  r.start.Add(a.at),
	}
	if !a.read {
		s.writeInFlight = true
		s.lastSent++
		req.value = s.lastSent
	}
	return req
}

// freeSession returns the planned session, or the next one without a write in
// flight. Reads may overlap with writes.
func (rank *rankState) freeSession(a arrival) *session {
	for i := range rank.sessions {
		s := rank.sessions[(a.sessionIndex+i)%len(rank.sessions)]
		if a.read || !s.writeInFlight {
			return s
		}
	}
	return nil
}

// runRequest runs the attempts of a request until one succeeds or may not be
// retried.
func (r *runner) runRequest(ctx context.Context, rank *rankState, req *request) {
	for attempt := 1; ; attempt++ {
		result := r.runAttempt(ctx, rank, req, attempt)
		if attempt >= rank.MaxAttempts || !rank.mayRetry(req, result.outcome) {
			r.finish(rank, req, result)
			return
		}
		delay := rank.RetryDelay
		if result.retryAfter > 0 && !rank.IgnoreRetryHint {
			delay = result.retryAfter
		}
		if sleep(ctx, delay) != nil {
			r.finish(rank, req, result)
			return
		}
	}
}

// mayRetry reports whether a request may be retried after an attempt with the
// given outcome.
func (rank *Rank) mayRetry(req *request, outcome Outcome) bool {
	switch outcome {
	case OutcomeNotRun:
		return true
	case OutcomeUnknown:
		return req.read || rank.RetryUnknown
	}
	return false
}

// attemptResult is the result of one attempt.
type attemptResult struct {
	outcome    Outcome
	retryAfter time.Duration
	// code is the SQLSTATE, "connection" or "timeout"; empty if the attempt
	// succeeded.
	code string
	// value is the value that a read returned, 0 for a missing row.
	value int
}

func (r *runner) runAttempt(ctx context.Context, rank *rankState, req *request, attempt int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, rank.Deadline+responseGrace)
	defer cancel()
	started := time.Now()
	r.mu.Lock()
	rank.report.Attempts++
	targetIndex, token := req.session.targetIndex, req.session.token
	r.mu.Unlock()
	c, err := r.pools[targetIndex].get(ctx)
	if err != nil {
		r.switchTarget(req.session, targetIndex)
		return r.recordAttempt(rank, attemptResult{outcome: OutcomeNotRun, code: "connection"}, started)
	}
	value, err := r.execute(ctx, c, rank, req, attempt, token)
	if err == nil && r.options.PassTokens {
		r.mu.Lock()
		req.session.token = c.PgConn().ParameterStatus(tokenParameter)
		r.mu.Unlock()
	}
	closed := c.IsClosed()
	r.pools[targetIndex].put(c)
	result := classify(err)
	req.outcomeUnknown = req.outcomeUnknown || result.outcome == OutcomeUnknown
	result.value = value
	if closed {
		r.switchTarget(req.session, targetIndex)
	}
	return r.recordAttempt(rank, result, started)
}

// switchTarget moves a session to the next target, unless it has left the
// failed one already.
func (r *runner) switchTarget(s *session, target int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.targetIndex == target {
		s.targetIndex = (target + 1) % len(r.pools)
	}
}

// recordAttempt counts the error code of an attempt and records the latency of
// a refusal.
func (r *runner) recordAttempt(rank *rankState, result attemptResult, started time.Time) attemptResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.code != "" {
		rank.report.Errors[result.code]++
	}
	if result.code == codeNotRun {
		recordLatency(rank.refusalLatency, time.Since(started))
	}
	return result
}

// execute sends the statement with its declarations. It returns the value that
// a read got; a missing row counts as 0.
func (r *runner) execute(ctx context.Context, c *pgx.Conn, rank *rankState, req *request, attempt int, token string) (int, error) {
	prefix := declarations(rank.Rank, req, attempt, token)
	if !req.read {
		_, err := c.Exec(ctx, prefix+"INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", req.key, strconv.Itoa(req.value))
		return 0, err
	}
	var text string
	err := c.QueryRow(ctx, prefix+"SELECT v FROM kv WHERE k = $1", req.key).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(text)
}

// declarations returns the SQL comment that declares class, session, request,
// attempt, deadline and token of an attempt.
func declarations(rank *Rank, req *request, attempt int, token string) string {
	var out strings.Builder
	out.WriteString("/*skylarkhinge")
	class := rank.Class
	if req.read && rank.ReadClass != "" {
		class = rank.ReadClass
	}
	if class != "" {
		out.WriteString(" class=" + class)
	}
	fmt.Fprintf(&out, " session=%s request=%s attempt=%d deadline=%dms", req.session.name, req.id, attempt, rank.Deadline.Milliseconds())
	if token != "" {
		out.WriteString(" token=" + token)
	}
	out.WriteString("*/ ")
	return out.String()
}

// classify maps the error of a statement to an outcome.
func classify(err error) attemptResult {
	if err == nil {
		return attemptResult{outcome: OutcomeDone}
	}
	var pgErr *pgconn.PgError
	if !errors.As(err, &pgErr) {
		if pgconn.SafeToRetry(err) {
			return attemptResult{outcome: OutcomeNotRun, code: "connection"}
		}
		code := "connection"
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			code = "timeout"
		}
		return attemptResult{outcome: OutcomeUnknown, code: code}
	}
	result := attemptResult{outcome: OutcomeError, code: pgErr.Code}
	switch pgErr.Code {
	case codeNotRun:
		result.outcome, result.retryAfter = OutcomeNotRun, parseRetryAfter(pgErr.Detail)
	case codeUnknown:
		result.outcome = OutcomeUnknown
	case codeWriteLost:
		result.outcome = OutcomeWriteLost
	case codeAlreadyExecuted:
		result.outcome = OutcomeAlreadyExecuted
	}
	return result
}

// parseRetryAfter returns the delay retry_after_ms in the detail of a refusal,
// 0 if there is none.
func parseRetryAfter(detail string) time.Duration {
	_, text, _ := strings.Cut(detail, "retry_after_ms=")
	text, _, _ = strings.Cut(text, " ")
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// finish records the final result of a request.
func (r *runner) finish(rank *rankState, req *request, result attemptResult) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	rank.report.Outcomes[result.outcome]++
	if result.outcome == OutcomeDone {
		latency := now.Sub(req.arrived)
		recordLatency(rank.latency, latency)
		if latency <= rank.TargetLatency {
			rank.report.WithinTarget++
		}
	}
	if req.read {
		r.finishRead(rank, req, result, now)
		return
	}
	r.finishWrite(req, result, now)
}

func (r *runner) finishRead(rank *rankState, req *request, result attemptResult, now time.Time) {
	if result.outcome == OutcomeWriteLost {
		r.notifiedKeys[req.key] = true
		req.session.rotateKey(req.key)
	}
	if result.outcome != OutcomeDone || req.minValue == 0 {
		return
	}
	rank.report.ReadsChecked++
	if result.value < req.minValue {
		rank.report.Violations++
		r.readViolations = append(r.readViolations, ReadViolation{
			Rank: rank.Name, Key: req.key, Expected: req.minValue, Got: result.value,
			Start: req.arrived.Sub(r.start), End: now.Sub(r.start),
		})
	}
}

func (r *runner) finishWrite(req *request, result attemptResult, now time.Time) {
	req.session.writeInFlight = false
	r.finishedWrites++
	switch result.outcome {
	case OutcomeDone:
		// The session may have changed its key meanwhile; its counters then
		// belong to the new key.
		if req.session.key() == req.key {
			req.session.lastAcknowledged = req.value
		}
		r.updateWriteGap(now)
		r.lastAcknowledgedWrite = now
	case OutcomeWriteLost:
		r.notifiedKeys[req.key] = true
		req.session.rotateKey(req.key)
	case OutcomeAlreadyExecuted:
		req.session.rotateKey(req.key)
	}
	if req.outcomeUnknown {
		req.session.rotateKey(req.key)
	}
	if r.options.RecordWrites {
		r.writes = append(r.writes, Write{Key: req.key, Value: strconv.Itoa(req.value), Request: req.id, Outcome: result.outcome})
	}
}

// updateWriteGap extends the longest write gap to now if needed. The caller
// holds mu.
func (r *runner) updateWriteGap(now time.Time) {
	r.longestWriteGap = max(r.longestWriteGap, now.Sub(r.lastAcknowledgedWrite))
}

// rotateKey switches the session to a new key, unless it has left the given one
// already.
func (s *session) rotateKey(key string) {
	if s.key() == key {
		s.keyEpoch++
		s.lastSent, s.lastAcknowledged = 0, 0
	}
}

// report returns the report of a run whose planned arrivals ended at end.
func (r *runner) report(end time.Time) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finishedWrites > 0 {
		r.updateWriteGap(end)
	}
	out := &Report{
		Seed:            r.options.Seed,
		Duration:        time.Since(r.start),
		LongestWriteGap: milliseconds(r.longestWriteGap.Microseconds()),
		Unfinished:      r.unfinished,
		Writes:          slices.Clone(r.writes),
		ReadViolations:  slices.Clone(r.readViolations),
	}
	for i := range out.Writes {
		out.Writes[i].SessionNotified = r.notifiedKeys[out.Writes[i].Key]
	}
	for _, rank := range r.ranks {
		rank.report.Latency = quantiles(rank.latency)
		rank.report.RefusalLatency = quantiles(rank.refusalLatency)
		// Cloned because unfinished requests may still write to these maps.
		rank.report.Outcomes, rank.report.Errors = maps.Clone(rank.report.Outcomes), maps.Clone(rank.report.Errors)
		out.Ranks = append(out.Ranks, rank.report)
	}
	return out
}
