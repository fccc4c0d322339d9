package managed

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/freshness"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

const (
	// defaultStatementTimeout applies if the route sets no timeout.
	defaultStatementTimeout = time.Second
	// retryDelay is the delay before a statement that was not executed is retried.
	retryDelay = 15 * time.Millisecond
	// maxLagRetries bounds the retries of a read on members that lack its minimum position.
	maxLagRetries = 4
)

// attempt tracks one statement, or one begin of a transaction, across its tries.
type attempt struct {
	session  *session
	db       *database
	route    Route
	arrived  entity.Time
	deadline entity.Time
	lane     flood.Lane
	// asOf is the time up to which the read must see acknowledged commits.
	asOf entity.Time
	// lagRefusals counts the members that lacked the minimum position.
	lagRefusals int
	// lostReplies counts the tries whose reply deadline was earlier than the statement's.
	lostReplies int
	// unanswered is set once a try got no answer, because its connection failed or could not
	// be opened.
	unanswered bool
	// setupRefusals counts the tries in which the upstream refused the session's variables.
	setupRefusals int
	// rolledBack is set once the primary itself lacked the minimum position: the session's
	// last position was rolled back by a promotion.
	rolledBack bool
}

func (s *session) newAttempt(route Route, db *database, arrived entity.Time, lane flood.Lane) *attempt {
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	return &attempt{session: s, db: db, route: route, arrived: arrived, deadline: arrived.Add(timeout), lane: lane,
		asOf: arrived.Add(-route.MaxStaleness)}
}

// executeAutocommit executes a statement outside a transaction, with retries.
func (s *session) executeAutocommit(statement *Statement, arrived entity.Time) Reply {
	if statement.Kind == StatementExecute {
		if _, known := s.state.prepared[statement.Name]; !known {
			return errorReply(CodeUnknownStatement, "statement is not prepared")
		}
	}
	route, ok := s.proxy.route(s.databaseName)
	if !ok {
		return errorReply(CodeUnknownDatabase, "no route for this database")
	}
	lane := flood.LanePrimary
	writes := s.state.writes(statement)
	if !writes && route.Consistency != StrictConsistency {
		lane = flood.LaneReplica
	}
	a := s.newAttempt(route, s.proxy.database(route.Database), arrived, lane)
	for {
		reply, final := a.try(statement, writes)
		if final {
			return reply
		}
	}
}

// try runs the statement once. final is false if the statement should be tried again.
func (a *attempt) try(statement *Statement, writes bool) (reply Reply, final bool) {
	var floor entity.Position
	if !writes && a.route.Consistency != StrictConsistency {
		var ok bool
		if floor, ok, reply = a.readFloor(); !ok {
			return reply, true
		}
	}
	p, refused := a.acquire()
	if p == nil {
		return refused, true
	}
	if reply, final, ok := a.recheckCaller(p); !ok {
		return reply, final
	}
	if err := a.connect(p); err != nil {
		return a.handleDialFailure(p, err)
	}
	if !writes && a.route.Consistency == StrictConsistency {
		var ok bool
		if floor, ok, reply = a.strictFloor(p); !ok {
			return reply, reply.Code != CodeNone
		}
	}
	limit := a.replyDeadline(p, writes)
	if reply, final, ok := a.applyVariables(p, limit); !ok {
		return reply, final
	}
	if reply, final, ok := a.recheckCaller(p); !ok {
		return reply, final
	}
	a.session.stages.floor = floor
	sent := now()
	defer addElapsed(&a.session.stages.run, sent)
	reply, err := p.conn.run(wallTime(limit, sent), &a.session.state, statement, floor)
	if err != nil {
		p.connFailed(err)
		return a.handleConnFailure(writes, err)
	}
	if writes && reply.Code == CodeNone && reply.State == StateIdle {
		return a.handleCommit(p, statement, reply, sent), true
	}
	return a.handleReply(p, reply, writes, sent)
}

// maxSetupRefusals bounds the connections tried for a statement whose session variables the
// upstream refuses for another reason than being busy.
const maxSetupRefusals = 2

// applyVariables sets the session's variables on the permit's connection. If that fails, the
// statement must not be sent: applyVariables releases the permit and reports false with the
// reply; final is false if the statement should be tried again.
func (a *attempt) applyVariables(p *permit, limit entity.Time) (reply Reply, final, ok bool) {
	began := now()
	defer addElapsed(&a.session.stages.run, began)
	refused, err := p.conn.applyVariables(wallTime(limit, began), &a.session.state)
	switch {
	case err != nil:
		p.connFailed(err)
		a.unanswered = true
		if a.expired() {
			return errorReply(CodeBusy, "not run: "+err.Error()), true, false
		}
		return Reply{}, false, false
	case refused.Code == CodeNone:
		return Reply{}, false, true
	}
	reply, final = a.handleRefusedVariables(p, refused)
	return reply, final, false
}

// handleRefusedVariables handles a permit on whose connection the session's variables could not
// be set. The statement was not sent.
func (a *attempt) handleRefusedVariables(p *permit, refused Reply) (Reply, bool) {
	if refused.Code == CodeBusy {
		return a.handleReply(p, refused, false, now())
	}
	a.db.endPermit(p, false)
	a.setupRefusals++
	reply := errorReply(CodeBusy, fmt.Sprintf("not run: the upstream refused a session value with %s: %s", refused.Code, refused.Text))
	if a.setupRefusals >= maxSetupRefusals {
		return reply, true
	}
	return a.retryOrReturn(reply)
}

const (
	// lostReplyFactor and minLostReplyTime determine when the reply to a read is considered
	// lost: after this multiple of the member's recent latency, but not before the longest
	// statements and a full queue at the upstream have had time to finish.
	lostReplyFactor  = 8
	minLostReplyTime = 450 * time.Millisecond
	// maxLostReplies bounds the repetitions of a read because of a lost reply.
	maxLostReplies = 2
)

// replyDeadline returns the deadline for one try. A read gets a short deadline so that it
// can be repeated on another connection while its caller still waits; a write does not.
func (a *attempt) replyDeadline(p *permit, writes bool) entity.Time {
	if writes || a.lostReplies >= maxLostReplies {
		return a.deadline
	}
	d := a.db
	d.mu.Lock()
	latency := p.member.latency
	d.mu.Unlock()
	wait := max(minLostReplyTime, lostReplyFactor*latency)
	limit := now().Add(wait)
	if limit.Add(wait/2) >= a.deadline {
		return a.deadline
	}
	a.lostReplies++
	return limit
}

// acquire waits for a permit. On refusal the permit is nil and the reply is set.
func (a *attempt) acquire() (*permit, Reply) {
	start := now()
	p, refusal := a.db.acquire(a.lane, a.route.Rank, a.queueDeadline(), a.session.poolKey())
	addElapsed(&a.session.stages.queue, start)
	if refusal != nil {
		return nil, refusedReply(refusal)
	}
	a.session.stages.tries++
	a.session.stages.member = p.member.name
	a.session.stages.source = telemetry.SourceReplica
	if p.onPrimary {
		a.session.stages.source = telemetry.SourcePrimary
	}
	return p, Reply{}
}

// recheckCaller identifies the caller again after a wait. If the request must not be sent
// with the permit, it releases the permit and reports false with the reply; final is false
// if the request should be tried again.
func (a *attempt) recheckCaller(p *permit) (reply Reply, final, ok bool) {
	s := a.session
	if !s.callerChanged(p.organisation) {
		return Reply{}, false, true
	}
	a.db.cancelPermit(p)
	reply = s.changedReply()
	if reply.Code == CodeBusy {
		reply, final = a.retryOrReturn(reply)
		return reply, final, false
	}
	return reply, true, false
}

// connect opens the permit's connection if necessary.
func (a *attempt) connect(p *permit) error {
	at := now()
	defer addElapsed(&a.session.stages.connect, at)
	limit := a.deadline
	if !p.onPrimary {
		// Another member can serve the read in the rest of its time.
		limit = at.Add(limit.Sub(at) / connectTimeDivisor)
	}
	return p.connect(limit)
}

// connectTimeDivisor sets the maximum time for opening a connection to a replica: the
// statement's remaining time divided by it.
const connectTimeDivisor = 2

// confirmPrimary confirms over the permit's connection that its member is the primary. The
// session, nil if it is not to use the connection next, gets its variables set.
func (a *attempt) confirmPrimary(p *permit, s *sessionState) (bool, error) {
	defer addElapsed(&a.session.stages.confirm, now())
	return a.db.confirmPrimary(p.conn, s, wallTime(a.deadline, now()))
}

// queueDeadline returns the latest start time of the statement. A caller that is refused
// then still has enough of the statement timeout left to retry. After a try without an
// answer, the time until then does not count.
func (a *attempt) queueDeadline() entity.Time {
	from := a.arrived
	if a.unanswered {
		from = now()
	}
	return from.Add(a.deadline.Sub(from) / queueTimeDivisor)
}

// queueTimeDivisor sets the maximum queueing time: the time from arrival to the statement's
// deadline divided by it.
const queueTimeDivisor = 2

func refusedReply(r *flood.Refusal) Reply {
	return errorReply(CodeBusy, fmt.Sprintf("not run: %s; retry after %d ms", r.Reason, r.RetryAfter.Milliseconds()))
}

// handleDialFailure handles a permit whose connection could not be opened. The statement
// was not sent and is retried until its deadline.
func (a *attempt) handleDialFailure(p *permit, err error) (Reply, bool) {
	a.db.endPermit(p, false)
	a.unanswered = true
	if a.expired() {
		return errorReply(CodeBusy, "not run: "+err.Error()), true
	}
	return Reply{}, false
}

// handleConnFailure returns the reply to a statement whose connection failed after the
// statement was sent. Reads are retried.
func (a *attempt) handleConnFailure(writes bool, err error) (Reply, bool) {
	if writes {
		return errorReply(CodeInDoubt, "no answer from the upstream: "+err.Error()), true
	}
	if a.expired() {
		return errorReply(CodeTimeout, "no answer from the upstream: "+err.Error()), true
	}
	a.session.chargeRetry(a.session.organisation())
	a.unanswered = true
	return Reply{}, false
}

// minTryTime is the minimum remaining time for another try.
const minTryTime = 5 * time.Millisecond

func (a *attempt) expired() bool { return now().Add(minTryTime) >= a.deadline }

// handleCommit handles a write that the primary has acknowledged. It releases the permit before it
// waits for the evidence that a promotion under way keeps the write.
func (a *attempt) handleCommit(p *permit, statement *Statement, reply Reply, sent entity.Time) Reply {
	d := a.db
	c := newCommit(p.member, reply.Position, sent)
	d.recordConfirmation(p.member, sent, reply.Position)
	a.endServed(p)
	if !c.confirm(a.session, statement, d, a.deadline) {
		return errorReply(CodeInDoubt, unconfirmedCommit)
	}
	a.session.state.lastWrite = reply.Position
	return reply
}

// unconfirmedCommit describes a commit that was acknowledged but may be lost.
const unconfirmedCommit = "the primary is being replaced and its successor may lack the commit"

// endServed releases the permit of a completed statement.
func (a *attempt) endServed(p *permit) {
	a.db.recordServed(p.member)
	p.result = resultServed
	a.db.endPermit(p, true)
}

// handleReply interprets an upstream's reply and releases the permit. It reports false if
// the statement should be retried.
func (a *attempt) handleReply(p *permit, reply Reply, writes bool, sent entity.Time) (Reply, bool) {
	d := a.db
	if reply.State != StateIdle {
		// The upstream had not ended an earlier transaction. It rolls back with the connection.
		d.endPermit(p, false)
		return errorReply(CodeAborted, "rolled back: "+errTransactionOpen.Error()), true
	}
	switch reply.Code {
	case CodeNone:
		a.endServed(p)
		return reply, true
	case CodeBusy:
		a.session.stages.busy++
		d.mu.Lock()
		p.member.pauseUntil = now().Add(busyPause)
		p.result = resultFailed
		d.mu.Unlock()
		d.endPermit(p, true)
		return a.retryOrReturn(reply)
	case CodeReadOnly:
		a.session.stages.readOnly++
		d.recordNotPrimary(p.member)
		d.endPermit(p, true)
		return a.retryOrReturn(reply)
	case CodeLagging:
		a.handleLagging(p)
		d.endPermit(p, true)
		return a.retryOrReturn(reply)
	case CodeUnknownStatement:
		// The upstream lost the connection's state and did not run the statement.
		d.endPermit(p, false)
		return a.retryOrReturn(reply)
	}
	d.endPermit(p, true)
	return reply, true
}

// retryOrReturn returns the reply as final if the deadline or the retry limit is reached.
// Otherwise it waits and reports false, for a retry.
func (a *attempt) retryOrReturn(reply Reply) (Reply, bool) {
	if a.expired() || a.lagRefusals > maxLagRetries {
		return reply, true
	}
	if reply.Code != CodeLagging {
		time.Sleep(min(retryDelay, a.deadline.Sub(now())))
	}
	return Reply{}, false
}

// handleLagging records that a member lacks the minimum position and redirects the read to
// the primary.
func (a *attempt) handleLagging(p *permit) {
	a.lagRefusals++
	a.session.stages.lagged++
	d := a.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.member == d.primary {
		a.rolledBack = true
		a.asOf = now()
	} else {
		p.member.recordLag(now())
	}
	a.lane = flood.LanePrimary
}

// readFloor returns the minimum log position of a read on a bounded or session route,
// confirming the primary first if necessary. It reports false with a final reply if that
// fails.
func (a *attempt) readFloor() (entity.Position, bool, Reply) {
	for {
		position, ok, inProgress := a.db.readFloor(a.asOf)
		if ok {
			if a.route.Consistency == SessionConsistency && !a.rolledBack {
				position = freshness.Merge(position, a.session.state.lastWrite)
			}
			return position, true, Reply{}
		}
		if inProgress != nil {
			start := now()
			select {
			case <-inProgress:
				addElapsed(&a.session.stages.confirm, start)
				continue
			case <-time.After(a.deadline.Sub(now())):
				return entity.Position{}, false, errorReply(CodeBusy, "not run: the primary could not be proven in time")
			}
		}
		reply, final := a.obtainConfirmation()
		a.db.finishConfirmation()
		if final {
			return entity.Position{}, false, reply
		}
	}
}

// readFloor returns the oldest position confirmed at or after since. If there is none it
// returns the channel of the confirmation in progress, or nil if the caller must confirm
// the primary and call finishConfirmation. One confirmation serves all waiting reads: one
// per read would overload the primary when a proxy starts.
func (d *database) readFloor(since entity.Time) (position entity.Position, ok bool, inProgress <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastReadAt = now()
	if position, ok = d.confirmedPositions.Floor(since); ok {
		return position, true, nil
	}
	if d.confirmationDone == nil {
		d.confirmationDone = make(chan struct{})
		return position, false, nil
	}
	return position, false, d.confirmationDone
}

// finishConfirmation wakes the reads that wait for the confirmation in progress.
func (d *database) finishConfirmation() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.confirmationDone)
	d.confirmationDone = nil
}

// obtainConfirmation acquires a connection to the primary and confirms it. It reports true
// with the reply if the statement must fail.
func (a *attempt) obtainConfirmation() (Reply, bool) {
	// The confirmation runs no statement of the caller. A connection opened for it serves
	// the caller's organisation next.
	key := a.session.poolKey()
	key.anyOrganisation = true
	p, refusal := a.db.acquire(flood.LanePrimary, a.route.Rank, a.deadline, key)
	if refusal != nil {
		return refusedReply(refusal), true
	}
	if err := a.connect(p); err != nil {
		return a.handleDialFailure(p, err)
	}
	ok, err := a.confirmPrimary(p, nil)
	if err != nil {
		p.connFailed(err)
		return a.handleConnFailure(false, err)
	}
	a.db.endPermit(p, true)
	if !ok {
		return a.retryOrReturn(errorReply(CodeLagging, "not run: the primary is being replaced"))
	}
	return Reply{}, false
}

// strictFloor returns a position that covers every commit acknowledged before the read
// arrived. The read must not run before the position is known: the member may have been
// replaced as primary, and a replica answers reads as well.
func (a *attempt) strictFloor(p *permit) (entity.Position, bool, Reply) {
	d := a.db
	d.mu.Lock()
	newest := d.confirmedPositions.Newest()
	d.mu.Unlock()
	if newest.Sent >= a.arrived {
		return newest.Position, true, Reply{}
	}
	ok, err := a.confirmPrimary(p, &a.session.state)
	if err != nil {
		p.connFailed(err)
		reply, _ := a.handleConnFailure(false, err)
		return entity.Position{}, false, reply
	}
	if !ok {
		d.endPermit(p, true)
		reply, _ := a.retryOrReturn(errorReply(CodeLagging, "not run: the primary is being replaced"))
		return entity.Position{}, false, reply
	}
	d.mu.Lock()
	newest = d.confirmedPositions.Newest()
	d.mu.Unlock()
	if newest.Sent < a.arrived {
		// The primary reported no log position, so none was recorded.
		d.endPermit(p, true)
		reply, _ := a.retryOrReturn(errorReply(CodeLagging, "not run: the primary was replaced"))
		return entity.Position{}, false, reply
	}
	return newest.Position, true, Reply{}
}
