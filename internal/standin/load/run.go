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

// SQLSTATEs of the proxy.
const (
	codeNotRun          = "SH001"
	codeUnknown         = "SH002"
	codeWriteLost       = "SH003"
	codeAlreadyExecuted = "SH004"
)

// tokenParameter is the parameter in which a proxy reports a session's position.
const tokenParameter = "skylarkhinge.token"

// grace is how long a caller waits beyond its deadline for the final answer.
const grace = 500 * time.Millisecond

// session is a caller. Its writes do not overlap, so that the order of their
// values is known.
type session struct {
	name   string
	target int
	// epoch changes the key when a write of unknown outcome may still arrive.
	epoch   int
	writing bool
	// written is the last value sent, acknowledged the last one acknowledged.
	written      int
	acknowledged int
	token        string
}

func (s *session) key() string { return s.name + "-" + strconv.Itoa(s.epoch) }

// rankState is a rank during a run. Its fields are guarded by runner.mu.
type rankState struct {
	*Rank
	index    int
	report   RankReport
	latency  *hdrhistogram.Histogram
	refusal  *hdrhistogram.Histogram
	sessions []*session
	requests int
}

type runner struct {
	options *Options
	pools   []*pool
	start   time.Time

	mu       sync.Mutex
	ranks    []*rankState
	inFlight int
	// unfinished counts the requests that had no outcome when the run ended.
	unfinished int
	// lastWrite is when a write was last acknowledged, at first the start.
	lastWrite time.Time
	gap       time.Duration
	// finished counts the writes that ended, whatever the outcome.
	finished int
	writes   []Write
	missed   []ReadViolation
	// told are the keys whose sessions were told that writes may be lost.
	told map[string]bool
}

// Run sends the planned load and waits for the last answer, for as long as the
// deadlines and retries of the ranks allow. It ends early when the context ends.
func Run(ctx context.Context, options Options) (*Report, error) {
	r, err := newRunner(&options)
	if err != nil {
		return nil, err
	}
	defer r.close()
	return r.run(ctx), nil
}

func newRunner(options *Options) (*runner, error) {
	if err := options.complete(); err != nil {
		return nil, err
	}
	r := &runner{options: options, told: map[string]bool{}}
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
	r.start, r.lastWrite = now, now
	limited, cancel := context.WithTimeout(ctx, r.options.Duration+r.options.longestRequest())
	defer cancel()
	ended := make(chan struct{})
	go func() {
		r.runRanks(limited)
		close(ended)
	}()
	select {
	case <-ended:
	case <-limited.Done():
		r.awaitCancelled(ended)
	}
	end := r.start.Add(r.options.Duration)
	if ctx.Err() != nil {
		end = time.Now()
	}
	return r.report(end)
}

// runRanks returns after the last request.
func (r *runner) runRanks(ctx context.Context) {
	var group sync.WaitGroup
	for _, rank := range r.ranks {
		group.Go(func() { r.runRank(ctx, rank, &group) })
	}
	group.Wait()
}

// awaitCancelled gives requests whose context has ended time to return. One that
// does not must not keep the report back: it is counted as unfinished.
func (r *runner) awaitCancelled(ended <-chan struct{}) {
	select {
	case <-ended:
	case <-time.After(2 * grace):
		r.mu.Lock()
		defer r.mu.Unlock()
		r.unfinished = r.inFlight
	}
}

func newRankState(options *Options, index int) *rankState {
	rank := &rankState{
		Rank:    &options.Ranks[index],
		index:   index,
		latency: newHistogram(),
		refusal: newHistogram(),
		report:  RankReport{Rank: options.Ranks[index].Name, Outcomes: map[Outcome]int{}, Errors: map[string]int{}},
	}
	for i := range rank.Callers {
		name := fmt.Sprintf("load-%d-%d-%d", options.Seed, index, i)
		rank.sessions = append(rank.sessions, &session{name: name, target: i % len(options.Targets)})
	}
	return rank
}

func (r *runner) runRank(ctx context.Context, rank *rankState, group *sync.WaitGroup) {
	for p := newPlan(r.options, rank.index); ; {
		a := p.next()
		if a.at >= r.options.Duration || pause(ctx, time.Until(r.start.Add(a.at))) != nil {
			return
		}
		if q := r.admit(rank, a); q != nil {
			group.Go(func() { r.serve(ctx, rank, q) })
		}
	}
}

func pause(ctx context.Context, d time.Duration) error {
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

// request is one request of a session over all its attempts.
type request struct {
	session *session
	id      string
	read    bool
	key     string
	value   int
	// floor is the value that was acknowledged before the request started.
	floor   int
	arrived time.Time
	// uncertain is set if an attempt of a write ended as unknown: it may still
	// take effect after a later attempt or a later write.
	uncertain bool
}

// admit starts a request, or counts the arrival as shed.
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
	rank.requests++
	if a.roam {
		s.target = a.target
	}
	q := &request{
		session: s,
		id:      fmt.Sprintf("r-%d-%d-%d", r.options.Seed, rank.index, rank.requests),
		read:    a.read,
		key:     s.key(),
		floor:   s.acknowledged,
		arrived: r.start.Add(a.at),
	}
	if !a.read {
		s.writing = true
		s.written++
		q.value = s.written
	}
	return q
}

// freeSession returns the planned session, or the next one without a write in
// flight. Reads may overlap with writes.
func (rank *rankState) freeSession(a arrival) *session {
	for i := range rank.sessions {
		s := rank.sessions[(a.caller+i)%len(rank.sessions)]
		if a.read || !s.writing {
			return s
		}
	}
	return nil
}

// serve runs the attempts of a request.
func (r *runner) serve(ctx context.Context, rank *rankState, q *request) {
	for attempt := 1; ; attempt++ {
		result := r.attempt(ctx, rank, q, attempt)
		if attempt >= rank.MaxAttempts || !rank.retries(q, result.outcome) {
			r.finish(rank, q, result)
			return
		}
		delay := rank.RetryDelay
		if result.hint > 0 && !rank.IgnoreRetryHint {
			delay = result.hint
		}
		if pause(ctx, delay) != nil {
			r.finish(rank, q, result)
			return
		}
	}
}

func (rank *Rank) retries(q *request, outcome Outcome) bool {
	switch outcome {
	case OutcomeNotRun:
		return true
	case OutcomeUnknown:
		return q.read || rank.RetryUnknown
	}
	return false
}

// attemptResult is the end of one attempt.
type attemptResult struct {
	outcome Outcome
	hint    time.Duration
	// code is the SQLSTATE or a word for an error without one.
	code string
	// value is what a read returned.
	value int
}

func (r *runner) attempt(ctx context.Context, rank *rankState, q *request, attempt int) attemptResult {
	ctx, cancel := context.WithTimeout(ctx, rank.Deadline+grace)
	defer cancel()
	started := time.Now()
	r.mu.Lock()
	rank.report.Attempts++
	target, token := q.session.target, q.session.token
	r.mu.Unlock()
	c, err := r.pools[target].get(ctx)
	if err != nil {
		r.leaveTarget(q.session, target)
		return r.count(rank, attemptResult{outcome: OutcomeNotRun, code: "connection"}, started)
	}
	value, err := r.send(ctx, c, rank, q, attempt, token)
	if err == nil && r.options.PassTokens {
		r.mu.Lock()
		q.session.token = c.PgConn().ParameterStatus(tokenParameter)
		r.mu.Unlock()
	}
	closed := c.IsClosed()
	r.pools[target].put(c)
	result := classify(err)
	q.uncertain = q.uncertain || result.outcome == OutcomeUnknown
	result.value = value
	if closed {
		r.leaveTarget(q.session, target)
	}
	return r.count(rank, result, started)
}

// leaveTarget moves a session away from a target that failed.
func (r *runner) leaveTarget(s *session, target int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.target == target {
		s.target = (target + 1) % len(r.pools)
	}
}

func (r *runner) count(rank *rankState, result attemptResult, started time.Time) attemptResult {
	r.mu.Lock()
	defer r.mu.Unlock()
	if result.code != "" {
		rank.report.Errors[result.code]++
	}
	if result.code == codeNotRun {
		record(rank.refusal, time.Since(started))
	}
	return result
}

// send runs the statement with its declarations. It returns what a read got; a
// missing row counts as 0.
func (r *runner) send(ctx context.Context, c *pgx.Conn, rank *rankState, q *request, attempt int, token string) (int, error) {
	prefix := declarations(rank.Rank, q, attempt, token)
	if !q.read {
		_, err := c.Exec(ctx, prefix+"INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v", q.key, strconv.Itoa(q.value))
		return 0, err
	}
	var text string
	err := c.QueryRow(ctx, prefix+"SELECT v FROM kv WHERE k = $1", q.key).Scan(&text)
	if errors.Is(err, pgx.ErrNoRows) {
		return 0, nil
	}
	if err != nil {
		return 0, err
	}
	return strconv.Atoi(text)
}

// declarations returns the comment prefix of an attempt.
func declarations(rank *Rank, q *request, attempt int, token string) string {
	var out strings.Builder
	out.WriteString("/*skylarkhinge")
	class := rank.Class
	if q.read && rank.ReadClass != "" {
		class = rank.ReadClass
	}
	if class != "" {
		out.WriteString(" class=" + class)
	}
	fmt.Fprintf(&out, " session=%s request=%s attempt=%d deadline=%dms", q.session.name, q.id, attempt, rank.Deadline.Milliseconds())
	if token != "" {
		out.WriteString(" token=" + token)
	}
	out.WriteString("*/ ")
	return out.String()
}

// classify maps an error to an outcome.
func classify(err error) attemptResult {
	if err == nil {
		return attemptResult{outcome: OutcomeDone}
	}
	var known *pgconn.PgError
	if !errors.As(err, &known) {
		if pgconn.SafeToRetry(err) {
			return attemptResult{outcome: OutcomeNotRun, code: "connection"}
		}
		code := "connection"
		if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) {
			code = "timeout"
		}
		return attemptResult{outcome: OutcomeUnknown, code: code}
	}
	result := attemptResult{outcome: OutcomeError, code: known.Code}
	switch known.Code {
	case codeNotRun:
		result.outcome, result.hint = OutcomeNotRun, hint(known.Detail)
	case codeUnknown:
		result.outcome = OutcomeUnknown
	case codeWriteLost:
		result.outcome = OutcomeWriteLost
	case codeAlreadyExecuted:
		result.outcome = OutcomeAlreadyExecuted
	}
	return result
}

// hint returns the time after which a refused caller may return.
func hint(detail string) time.Duration {
	_, text, _ := strings.Cut(detail, "retry_after_ms=")
	text, _, _ = strings.Cut(text, " ")
	ms, err := strconv.Atoi(text)
	if err != nil {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// finish records the outcome of a request.
func (r *runner) finish(rank *rankState, q *request, result attemptResult) {
	now := time.Now()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.inFlight--
	rank.report.Outcomes[result.outcome]++
	if result.outcome == OutcomeDone {
		latency := now.Sub(q.arrived)
		record(rank.latency, latency)
		if latency <= rank.TargetLatency {
			rank.report.WithinTarget++
		}
	}
	if q.read {
		r.finishRead(rank, q, result, now)
		return
	}
	r.finishWrite(q, result, now)
}

func (r *runner) finishRead(rank *rankState, q *request, result attemptResult, now time.Time) {
	if result.outcome == OutcomeWriteLost {
		r.told[q.key] = true
		q.session.renew(q.key)
	}
	if result.outcome != OutcomeDone || q.floor == 0 {
		return
	}
	rank.report.ReadsChecked++
	if result.value < q.floor {
		rank.report.Violations++
		r.missed = append(r.missed, ReadViolation{
			Rank: rank.Name, Key: q.key, Expected: q.floor, Got: result.value,
			Start: q.arrived.Sub(r.start), End: now.Sub(r.start),
		})
	}
}

func (r *runner) finishWrite(q *request, result attemptResult, now time.Time) {
	q.session.writing = false
	r.finished++
	switch result.outcome {
	case OutcomeDone:
		// A session that left the key meanwhile counts from 0 again.
		if q.session.key() == q.key {
			q.session.acknowledged = q.value
		}
		r.endGap(now)
		r.lastWrite = now
	case OutcomeWriteLost:
		r.told[q.key] = true
		q.session.renew(q.key)
	case OutcomeAlreadyExecuted:
		q.session.renew(q.key)
	}
	if q.uncertain {
		q.session.renew(q.key)
	}
	if r.options.RecordWrites {
		r.writes = append(r.writes, Write{Key: q.key, Value: strconv.Itoa(q.value), Request: q.id, Outcome: result.outcome})
	}
}

// endGap measures the time without an acknowledged write. The caller holds mu.
func (r *runner) endGap(now time.Time) {
	r.gap = max(r.gap, now.Sub(r.lastWrite))
}

// renew gives the session a new key, if it still uses the given one.
func (s *session) renew(key string) {
	if s.key() == key {
		s.epoch++
		s.written, s.acknowledged = 0, 0
	}
}

// report sums up a run whose arrivals stopped at the end.
func (r *runner) report(end time.Time) *Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.finished > 0 {
		r.endGap(end)
	}
	out := &Report{
		Seed:            r.options.Seed,
		Duration:        time.Since(r.start),
		LongestWriteGap: milliseconds(r.gap.Microseconds()),
		Unfinished:      r.unfinished,
		Writes:          slices.Clone(r.writes),
		ReadViolations:  slices.Clone(r.missed),
	}
	for i := range out.Writes {
		out.Writes[i].SessionNotified = r.told[out.Writes[i].Key]
	}
	for _, rank := range r.ranks {
		rank.report.Latency = quantiles(rank.latency)
		rank.report.RefusalLatency = quantiles(rank.refusal)
		// Unfinished requests may still write to the maps of the rank.
		rank.report.Outcomes, rank.report.Errors = maps.Clone(rank.report.Outcomes), maps.Clone(rank.report.Errors)
		out.Ranks = append(out.Ranks, rank.report)
	}
	return out
}
