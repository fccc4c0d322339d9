package e2e

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

const (
	// attemptTimeout exceeds requestDeadline, so that an attempt ends with the
	// proxy's response and not with the caller's timeout.
	attemptTimeout  = 3 * time.Second
	requestDeadline = time.Second
	maxAttempts     = 8
	retryDelay      = 20 * time.Millisecond
)

// outcome is what a caller knows about a write.
type outcome int

const (
	// unknown means that the write may have run.
	unknown outcome = iota
	// acknowledged means that the write was reported as successful, or as executed
	// before (SH004).
	acknowledged
	// notRun means that every attempt was reported as not run.
	notRun
)

// write is a write of a caller with its reported outcome.
type write struct {
	id string
	// number is the number of a single-row write within its session, from 1.
	number  int
	class   string
	outcome outcome
	// reportedAt is when the caller learnt the outcome.
	reportedAt time.Time
	// attemptErrors has the error of each attempt, nil for success.
	attemptErrors []error
	// transaction is set if the write is a transaction with two rows, id/a and id/b,
	// instead of one with the session's key.
	transaction bool
}

// staleRead is a read that missed acknowledged writes of its session, and was not
// answered with SH003. check decides whether that violates G1.
type staleRead struct {
	session    string
	sendsToken bool
	// number is the number of the write that was read, 0 for none.
	number int
	missed []*write
	at     time.Time
}

// callers runs sessions until it is stopped and records the reported outcomes.
type callers struct {
	cluster *cluster
	targets []*proxy
	class   string
	prefix  string
	wg      sync.WaitGroup
	stop    chan struct{}

	mu         sync.Mutex
	writes     []*write
	violations []string
	staleReads []staleRead
	// pending holds the request that each session waits for, by the session's name.
	pending  map[string]pendingRequest
	ackCount atomic.Int64
	// lastAck is when the last acknowledgement arrived, longestAckGap the longest
	// time between two of them.
	lastAck       time.Time
	longestAckGap time.Duration
	// gapPending describes the requests that were pending at the end of the longest gap.
	gapPending string
}

// pendingRequest is a request without a result so far.
type pendingRequest struct {
	what  string
	proxy string
	since time.Time
}

// startCallers starts sessions that write and read back single rows, and sessions that
// run transactions. Each sends its requests to the targets in turn. Every second session
// of the first kind keeps and sends its token.
func (cl *cluster) startCallers(prefix, class string, targets []*proxy, sessions, transactions int) *callers {
	c := &callers{cluster: cl, targets: targets, class: class, prefix: prefix, stop: make(chan struct{}), pending: map[string]pendingRequest{}}
	for i := range sessions {
		s := &session{callers: c, name: fmt.Sprintf("%ss%d", prefix, i), nextTarget: i, sendsToken: i%2 == 1}
		c.wg.Go(s.run)
	}
	for i := range transactions {
		s := &session{callers: c, name: fmt.Sprintf("%st%d", prefix, i), nextTarget: i, transactions: true}
		c.wg.Go(s.run)
	}
	cl.t.Cleanup(c.stopAndWait)
	return c
}

// stopAndWait stops the sessions after their current requests.
func (c *callers) stopAndWait() {
	c.mu.Lock()
	select {
	case <-c.stop:
	default:
		close(c.stop)
	}
	c.mu.Unlock()
	c.wg.Wait()
}

func (c *callers) stopped() bool {
	select {
	case <-c.stop:
		return true
	default:
		return false
	}
}

// awaitAcks waits for n more acknowledgements.
func (c *callers) awaitAcks(n int, limit time.Duration) {
	c.cluster.t.Helper()
	before := c.ackCount.Load()
	goal := before + int64(n)
	for until := time.Now().Add(limit); c.ackCount.Load() < goal; time.Sleep(pollInterval) {
		if time.Now().After(until) {
			c.logPending()
			c.cluster.t.Fatalf("not within %s: %d more acknowledgements, got %d", limit, n, c.ackCount.Load()-before)
		}
	}
}

// logPending logs the requests that the sessions wait for.
func (c *callers) logPending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.cluster.t.Log(c.describePending())
}

// describePending lists the requests that the sessions wait for. The caller holds mu.
func (c *callers) describePending() string {
	var out strings.Builder
	for _, name := range slices.Sorted(maps.Keys(c.pending)) {
		r := c.pending[name]
		fmt.Fprintf(&out, "session %s waits %s for %s from %s\n", name, time.Since(r.since).Round(time.Millisecond), r.what, r.proxy)
	}
	return out.String()
}

// track records a request of the session to its next target as pending until the
// returned function is called.
func (s *session) track(what string) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pending[s.name] = pendingRequest{what, s.targets[s.nextTarget%len(s.targets)].Name, time.Now()}
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(s.pending, s.name)
	}
}

func (c *callers) addViolation(format string, arguments ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.violations = append(c.violations, fmt.Sprintf(format, arguments...))
}

func (c *callers) record(w *write) {
	w.reportedAt = time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes = append(c.writes, w)
	if w.outcome != acknowledged {
		return
	}
	if !c.lastAck.IsZero() {
		if gap := w.reportedAt.Sub(c.lastAck); gap > c.longestAckGap {
			c.longestAckGap, c.gapPending = gap, c.describePending()
		}
	}
	c.lastAck = w.reportedAt
	c.ackCount.Add(1)
}

// session is one caller. It sends each request to the next proxy.
type session struct {
	*callers
	name       string
	nextTarget int
	// writeNumber is the number of the current write or transaction, from 1.
	writeNumber  int
	transactions bool
	conns        map[*proxy]*pgx.Conn
	// rowKey is the key of the row that the session writes. It changes after a write
	// with an unknown outcome, which may take effect later.
	rowKey string
	// acked has the acknowledged writes of the row, in order.
	acked []*write
	// sendsToken is set if the session sends token, the last one that it got from any
	// proxy. seenTokens has the last one that each connection reported.
	sendsToken bool
	token      string
	seenTokens map[*pgx.Conn]string
	// writesLost is set after SH003: acknowledged writes of the row may be lost.
	writesLost bool
}

func (s *session) run() {
	s.conns, s.rowKey, s.seenTokens = map[*proxy]*pgx.Conn{}, s.name, map[*pgx.Conn]string{}
	defer func() {
		for _, c := range s.conns {
			closeConn(c)
		}
	}()
	for !s.stopped() {
		s.writeNumber++
		if s.transactions {
			s.runTransaction()
		} else {
			s.runWrite()
			s.checkRead()
		}
	}
}

func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	_ = c.Close(ctx)
}

// nextConn returns a connection to the next target. It connects if there is none.
func (s *session) nextConn(ctx context.Context) (*pgx.Conn, error) {
	p := s.targets[s.nextTarget%len(s.targets)]
	s.nextTarget++
	if c := s.conns[p]; c != nil && !c.IsClosed() {
		return c, nil
	}
	c, err := pgx.Connect(ctx, p.url())
	if err != nil {
		return nil, &connectError{err}
	}
	s.conns[p] = c
	return c, nil
}

// connectError is an error of connecting: no request was sent.
type connectError struct{ error }

// Unwrap returns the error of pgx.Connect.
func (e *connectError) Unwrap() error { return e.error }

// declarations returns the comment that declares the attributes of a request.
func (s *session) declarations(class, request string, attempt int) string {
	out := fmt.Sprintf("/*skylarkhinge class=%s session=%s deadline=%dms", class, s.name, requestDeadline.Milliseconds())
	if request != "" {
		out += fmt.Sprintf(" request=%s attempt=%d", request, attempt)
	}
	if s.sendsToken && s.token != "" {
		out += " token=" + s.token
	}
	return out + "*/ "
}

// keepToken takes the token that the connection reported with a response. An SH003 may
// repeat an earlier one, which then replaces that of the lost write.
func (s *session) keepToken(c *pgx.Conn, err error) {
	token := c.PgConn().ParameterStatus("skylarkhinge.token")
	if token == s.seenTokens[c] && sqlState(err) != "SH003" {
		return
	}
	s.seenTokens[c], s.token = token, token
}

const upsert = "INSERT INTO kv (k, v) VALUES ($1, $2) ON CONFLICT (k) DO UPDATE SET v = excluded.v"

// runWrite writes the request id to the session's row, with retries under the same
// request id.
func (s *session) runWrite() {
	w := &write{id: fmt.Sprintf("%s-%d", s.name, s.writeNumber), number: s.writeNumber, class: s.class, outcome: notRun}
	defer func() {
		s.record(w)
		switch w.outcome {
		case acknowledged:
			s.acked = append(s.acked, w)
		case unknown:
			s.rowKey, s.acked = w.id, nil
		}
	}()
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		sent, err := s.sendWrite(w, attempt)
		w.attemptErrors = append(w.attemptErrors, err)
		switch {
		case err == nil, sqlState(err) == "SH004":
			w.outcome = acknowledged
			return
		case sent && sqlState(err) != "SH001" && sqlState(err) != "SH003":
			w.outcome = unknown
		}
		if sqlState(err) == "SH003" {
			s.writesLost = true
		}
		if s.stopped() {
			return
		}
		time.Sleep(retryDelay)
	}
}

// sendWrite runs one attempt of a write. sent is false if the request certainly did
// not run.
func (s *session) sendWrite(w *write, attempt int) (sent bool, err error) {
	defer s.track(fmt.Sprintf("attempt %d of write %s", attempt, w.id))()
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	c, err := s.nextConn(ctx)
	if err != nil {
		return false, err
	}
	_, err = c.Exec(ctx, s.declarations(s.class, w.id, attempt)+upsert, s.rowKey, w.id)
	s.keepToken(c, err)
	return !provesNotRun(err), err
}

// provesNotRun reports whether an error proves that the request did not run: there
// was no connection, pgx sent nothing, or a draining proxy ended the connection
// between two requests.
func provesNotRun(err error) bool {
	var connectErr *connectError
	return err != nil && (errors.As(err, &connectErr) || pgconn.SafeToRetry(err) || sqlState(err) == "57P01" || sqlState(err) == "57P03")
}

// sqlState returns the SQLSTATE of an error, "" if it has none.
func sqlState(err error) string {
	var pgErr *pgconn.PgError
	if errors.As(err, &pgErr) {
		return pgErr.Code
	}
	return ""
}

// checkRead reads the session's row, and checks that it has the last acknowledged
// write or a later one (G1) and that it is the session's own (G4).
func (s *session) checkRead() {
	defer s.track("a read")()
	ctx, cancel := context.WithTimeout(context.Background(), attemptTimeout)
	defer cancel()
	c, err := s.nextConn(ctx)
	if err != nil {
		return
	}
	var value string
	err = c.QueryRow(ctx, s.declarations("checkout-read", "", 1)+"SELECT v FROM kv WHERE k = $1", s.rowKey).Scan(&value)
	s.keepToken(c, err)
	if sqlState(err) == "SH003" {
		s.writesLost = true
	}
	if s.writesLost {
		return
	}
	number := 0
	switch {
	case errors.Is(err, pgx.ErrNoRows):
	case err != nil:
		return
	default:
		if n, err := fmt.Sscanf(value, s.name+"-%d", &number); n != 1 || err != nil {
			s.addViolation("G4: session %s got %q", s.name, value)
		}
	}
	s.recordStaleRead(number)
}

// recordStaleRead records a read of write number if later writes were acknowledged.
func (s *session) recordStaleRead(number int) {
	r := staleRead{session: s.name, sendsToken: s.sendsToken, number: number, at: time.Now()}
	for _, w := range s.acked {
		if w.number > number {
			r.missed = append(r.missed, w)
		}
	}
	if len(r.missed) == 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.staleReads = append(s.staleReads, r)
}

// runTransaction runs one transaction that writes two rows, without retries.
func (s *session) runTransaction() {
	w := &write{id: fmt.Sprintf("%s-%d", s.name, s.writeNumber), class: s.class, outcome: notRun, transaction: true}
	defer s.record(w)
	defer s.track("transaction " + w.id)()
	ctx, cancel := context.WithTimeout(context.Background(), 2*attemptTimeout)
	defer cancel()
	c, err := s.nextConn(ctx)
	if err != nil {
		w.attemptErrors = append(w.attemptErrors, err)
		time.Sleep(retryDelay)
		return
	}
	err = s.runStatements(ctx, c, w)
	if err == nil {
		_, err = c.Exec(ctx, "COMMIT")
		switch {
		case err == nil:
			w.outcome = acknowledged
		case !provesNotRun(err) && sqlState(err) != "SH001":
			w.outcome = unknown
		}
	}
	w.attemptErrors = append(w.attemptErrors, err)
	if err != nil && !c.IsClosed() {
		_, _ = c.Exec(ctx, "ROLLBACK")
	}
}

// runStatements runs the statements of the transaction before its COMMIT.
func (s *session) runStatements(ctx context.Context, c *pgx.Conn, w *write) error {
	if _, err := c.Exec(ctx, s.declarations(s.class, w.id, 1)+"BEGIN"); err != nil {
		return err
	}
	if _, err := c.Exec(ctx, upsert, w.id+"/a", w.id); err != nil {
		return err
	}
	var value string
	if err := c.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", w.id+"/a").Scan(&value); err != nil {
		return err
	}
	if value != w.id {
		s.addViolation("G3: transaction %s read %q", w.id, value)
	}
	_, err := c.Exec(ctx, upsert, w.id+"/b", w.id)
	return err
}

// check stops the callers and compares the reported outcomes with the log of the
// primary. Acknowledged writes for which mayBeLost returns true may be missing: those
// whose class needs the acknowledgement of the primary only, if they were acknowledged
// before the promotion. A nil mayBeLost allows no missing write. A session without a
// token need not be told of such a loss; see docs/proofs.md.
func (c *callers) check(log []upstream.Entry, mayBeLost func(*write) bool) {
	t := c.cluster.t
	t.Helper()
	c.stopAndWait()
	rows := c.countRows(log)
	counts := map[outcome]int{}
	for _, w := range c.writes {
		counts[w.outcome]++
		n := rows[w.id]
		want := 1
		if w.transaction {
			want = 2
		}
		switch {
		case n > want:
			t.Errorf("G6: %s ran %d times: %v", w.id, n/want, w.attemptErrors)
		case n != 0 && n != want:
			t.Errorf("G3: %s has %d of %d rows: %v, reported at %s, log: %+v", w.id, n, want, w.attemptErrors, w.reportedAt.Format(time.StampMicro), entriesOfRequest(log, w.id))
		case w.outcome == acknowledged && n == 0 && (mayBeLost == nil || !mayBeLost(w)):
			t.Errorf("G2: %s was acknowledged at %s and is missing: %v", w.id, w.reportedAt.Format(time.StampMicro), w.attemptErrors)
		case w.outcome == notRun && n != 0:
			t.Errorf("G5: %s was reported as not run and is in the log: %v", w.id, w.attemptErrors)
		}
	}
	for _, violation := range c.violations {
		t.Error(violation)
	}
	for _, r := range c.staleReads {
		c.checkStaleRead(r, rows, mayBeLost)
	}
	t.Logf("writes: %d acknowledged, %d unknown, %d not run, longest gap %s", counts[acknowledged], counts[unknown], counts[notRun], c.longestAckGap)
	if c.longestAckGap >= maxGap {
		t.Logf("at the end of the longest gap:\n%s", c.gapPending)
	}
	assert.Assert(t, counts[acknowledged] > 0)
}

// checkStaleRead reports a violation of G1 unless all writes that the read missed may be
// lost, are missing in the log of the primary, and the session sends no token.
func (c *callers) checkStaleRead(r staleRead, rows map[string]int, mayBeLost func(*write) bool) {
	t := c.cluster.t
	t.Helper()
	for _, w := range r.missed {
		if r.sendsToken || mayBeLost == nil || !mayBeLost(w) || rows[w.id] > 0 {
			t.Errorf("G1: session %s (sends token: %t) read write %d at %s after the acknowledgement of %d at %s, %d rows of it in the log",
				r.session, r.sendsToken, r.number, r.at.Format(time.StampMicro), w.number, w.reportedAt.Format(time.StampMicro), rows[w.id])
			continue
		}
		t.Logf("session %s without a token was not told that write %d, acknowledged at %s, is lost", r.session, w.number, w.reportedAt.Format(time.StampMicro))
	}
}

// entriesOfRequest returns the log entries with rows or the ledger row of a request.
func entriesOfRequest(log []upstream.Entry, id string) []upstream.Entry {
	var out []upstream.Entry
	for _, entry := range log {
		if slices.ContainsFunc(entry.Ops, func(op upstream.Op) bool { return op.Value == id || op.Key == id }) {
			out = append(out, entry)
		}
	}
	return out
}

// countUnreported counts the single-row writes in the log whose outcome the callers do
// not know yet.
func (c *callers) countUnreported(log []upstream.Entry) int {
	rows := c.countRows(log)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, w := range c.writes {
		delete(rows, w.id)
	}
	n := 0
	for id := range rows {
		if strings.HasPrefix(id, c.prefix+"s") {
			n++
		}
	}
	return n
}

// countRows counts the rows in the log by request id. It reports entries with rows of
// two requests (G3) and ledger rows that were inserted twice (G6).
func (c *callers) countRows(log []upstream.Entry) map[string]int {
	t := c.cluster.t
	t.Helper()
	rows, ledger := map[string]int{}, map[string]int{}
	for _, entry := range log {
		requestID := ""
		for _, op := range entry.Ops {
			if op.Table == upstream.TableLedger {
				ledger[op.Key]++
				if ledger[op.Key] > 1 && !op.Delete {
					t.Errorf("G6: %s is in the ledger twice", op.Key)
				}
				continue
			}
			if requestID != "" && op.Value != requestID {
				t.Errorf("G3: one transaction holds rows of %s and %s", requestID, op.Value)
			}
			requestID = op.Value
			if keyID, _, ok := strings.Cut(op.Key, "/"); ok && keyID != op.Value {
				t.Errorf("G3: row %s has the value of %s", op.Key, op.Value)
			}
			rows[op.Value]++
		}
	}
	return rows
}

// writesCutOff stops the callers and returns the writes with an attempt that may have
// run and ended without a response, or with one of the SQLSTATEs.
func (c *callers) writesCutOff(codes ...string) []*write {
	c.stopAndWait()
	var out []*write
	for _, w := range c.writes {
		for _, err := range w.attemptErrors {
			if err != nil && isCutOff(err, codes) {
				out = append(out, w)
				break
			}
		}
	}
	return out
}

// isCutOff reports whether a request that may have run ended without a response,
// or with one of the SQLSTATEs.
func isCutOff(err error, codes []string) bool {
	if provesNotRun(err) {
		return false
	}
	state := sqlState(err)
	for _, code := range codes {
		if state == code {
			return true
		}
	}
	return state == ""
}
