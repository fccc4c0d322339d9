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
	// defaultStatementTimeout applies if a route has none.
	defaultStatementTimeout = time.Second
	// retryPause is the pause before a statement that did not run is tried again
	// at the same member.
	retryPause = 15 * time.Millisecond
	// maxLagRetries bounds how often a read is tried on members that lack its floor.
	maxLagRetries = 4
)

// attempt is one statement or one begin of a transaction on its way to a member.
type attempt struct {
	session  *session
	db       *database
	route    Route
	arrived  entity.Time
	deadline entity.Time
	lane     flood.Lane
	// since is the instant before which acknowledged commits must be seen.
	since entity.Time
	// lagged counts the members that lacked the floor.
	lagged int
	// lost counts the tries whose answer counts as lost before the deadline.
	lost int
	// rolledBack is set once the primary itself lacked the floor: the session's
	// last position was beyond what the promotion kept.
	rolledBack bool
}

func (s *session) newAttempt(route Route, db *database, arrived entity.Time, lane flood.Lane) *attempt {
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	return &attempt{session: s, db: db, route: route, arrived: arrived, deadline: arrived.Add(timeout), lane: lane,
		since: arrived.Add(-route.MaxStaleness)}
}

// single runs a statement outside transactions.
func (s *session) single(statement *Statement, arrived entity.Time) Reply {
	if statement.Kind == StatementExecute {
		if _, known := s.state.prepared[statement.Name]; !known {
			return failure(CodeUnknownStatement, "statement is not prepared")
		}
	}
	route, ok := s.proxy.route(s.host)
	if !ok {
		return failure(CodeUnknownDatabase, "no route for this database")
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

// try runs the statement once. final is false if it did not run and may be tried again.
func (a *attempt) try(statement *Statement, writes bool) (reply Reply, final bool) {
	var floor entity.Position
	if !writes && a.route.Consistency != StrictConsistency {
		var ok bool
		if floor, ok, reply = a.floor(); !ok {
			return reply, true
		}
	}
	p, refused := a.acquire()
	if p == nil {
		return refused, true
	}
	if err := a.open(p); err != nil {
		return a.notConnected(p, err)
	}
	if !writes && a.route.Consistency == StrictConsistency {
		var ok bool
		if floor, ok, reply = a.strictFloor(p); !ok {
			return reply, reply.Code != CodeNone
		}
	}
	sent := now()
	reply, err := a.exchange(p, statement, floor, a.answerLimit(p, writes))
	if err != nil {
		p.broke(err)
		return a.broken(writes, err)
	}
	return a.judge(p, reply, writes, sent)
}

// exchange sends the statement behind the session's state.
func (a *attempt) exchange(p *permit, statement *Statement, floor entity.Position, limit entity.Time) (Reply, error) {
	s := &a.session.state
	defer since(&a.session.stages.run, now())
	a.session.stages.floor = floor
	commands := append(p.link.prelude(s, statement), s.command(statement, floor))
	replies, err := p.link.exchange(wall(limit, now()), commands...)
	if err != nil {
		return Reply{}, err
	}
	return replies[len(replies)-1], nil
}

const (
	// lostAnswerFactor and lostAnswerMin tell when the answer to a read counts as
	// lost: at this multiple of the member's recent latency, and not before the
	// longest statements and a full queue of the upstream are through.
	lostAnswerFactor = 8
	lostAnswerMin    = 450 * time.Millisecond
	// maxLostAnswers bounds how often one read is repeated for a lost answer.
	maxLostAnswers = 2
)

// answerLimit returns when to give a try up. A read is repeated on another
// connection while its caller still waits; a write is not.
func (a *attempt) answerLimit(p *permit, writes bool) entity.Time {
	if writes || a.lost >= maxLostAnswers {
		return a.deadline
	}
	d := a.db
	d.mu.Lock()
	latency := p.member.latency
	d.mu.Unlock()
	wait := max(lostAnswerMin, lostAnswerFactor*latency)
	limit := now().Add(wait)
	if limit.Add(wait/2) >= a.deadline {
		return a.deadline
	}
	a.lost++
	return limit
}

// acquire waits for a permit.
func (a *attempt) acquire() (*permit, Reply) {
	start := now()
	p, refusal := a.db.acquire(a.lane, a.route.Rank, a.queueEnd(), a.session.state.settings)
	since(&a.session.stages.queue, start)
	if refusal != nil {
		return nil, refusedReply(refusal)
	}
	a.session.stages.tries++
	a.session.stages.member = p.member.name
	a.session.stages.source = telemetry.SourceReplica
	if p.leads {
		a.session.stages.source = telemetry.SourcePrimary
	}
	return p, Reply{}
}

// open opens the permit's connection.
func (a *attempt) open(p *permit) error {
	defer since(&a.session.stages.connect, now())
	return p.open(a.deadline)
}

// prove proves the primary over the permit's connection.
func (a *attempt) prove(p *permit) (bool, error) {
	defer since(&a.session.stages.proof, now())
	return a.db.prove(p.link, wall(a.deadline, now()))
}

// queueEnd is the latest start of the statement. A caller that is refused while
// half of the statement's time is left can still come back.
func (a *attempt) queueEnd() entity.Time {
	return a.arrived.Add(a.deadline.Sub(a.arrived) / queuePart)
}

// queuePart is the part of the statement's time that it may wait in the queue.
const queuePart = 2

func refusedReply(r *flood.Refusal) Reply {
	return failure(CodeBusy, fmt.Sprintf("not run: %s; retry after %d ms", r.Reason, r.RetryAfter.Milliseconds()))
}

// notConnected handles a permit whose connection could not be opened.
func (a *attempt) notConnected(p *permit, err error) (Reply, bool) {
	a.db.end(p, false)
	if a.expired() {
		return failure(CodeBusy, "not run: "+err.Error()), true
	}
	return Reply{}, false
}

// broken returns the answer to a statement whose connection failed after it was
// sent. Reads are tried again.
func (a *attempt) broken(writes bool, err error) (Reply, bool) {
	if writes {
		return failure(CodeInDoubt, "no answer from the upstream: "+err.Error()), true
	}
	if a.expired() {
		return failure(CodeTimeout, "no answer from the upstream: "+err.Error()), true
	}
	return Reply{}, false
}

// minAttemptTime is the least time left for another try to make sense.
const minAttemptTime = 5 * time.Millisecond

func (a *attempt) expired() bool { return now().Add(minAttemptTime) >= a.deadline }

// judge decides what an upstream's reply means for the caller.
func (a *attempt) judge(p *permit, reply Reply, writes bool, sent entity.Time) (Reply, bool) {
	d := a.db
	switch reply.Code {
	case CodeNone:
		if writes {
			d.noteProof(p.member, sent, reply.Position)
			a.session.state.written = reply.Position
		}
		d.noteServed(p.member)
		d.end(p, true)
		return reply, true
	case CodeBusy:
		a.session.stages.busy++
		d.mu.Lock()
		p.member.pauseUntil = now().Add(busyPause)
		d.mu.Unlock()
		d.end(p, true)
		return a.again(reply)
	case CodeReadOnly:
		a.session.stages.readOnly++
		d.noteNotLeading(p.member)
		d.end(p, true)
		return a.again(reply)
	case CodeLagging:
		a.lagging(p)
		d.end(p, true)
		return a.again(reply)
	case CodeUnknownStatement:
		// The upstream lost the connection's state; nothing ran.
		d.end(p, false)
		return a.again(reply)
	}
	d.end(p, true)
	return reply, true
}

// again decides whether a statement that did not run is tried again.
func (a *attempt) again(reply Reply) (Reply, bool) {
	if a.expired() || a.lagged > maxLagRetries {
		return reply, true
	}
	if reply.Code != CodeLagging {
		time.Sleep(min(retryPause, a.deadline.Sub(now())))
	}
	return Reply{}, false
}

// lagging notes that a member lacks the floor; the read goes to the primary.
func (a *attempt) lagging(p *permit) {
	a.lagged++
	a.session.stages.lagged++
	d := a.db
	d.mu.Lock()
	defer d.mu.Unlock()
	if p.member == d.leader {
		a.rolledBack = true
		a.since = now()
	} else {
		p.member.noteLag(now())
	}
	a.lane = flood.LanePrimary
}

// floor returns the position that a read of a bounded or session route must see.
// It reports false with the final answer if none can be proven.
func (a *attempt) floor() (entity.Position, bool, Reply) {
	for {
		position, ok, underWay := a.db.floor(a.since)
		if ok {
			if a.route.Consistency == SessionConsistency && !a.rolledBack {
				position = freshness.Merge(position, a.session.state.written)
			}
			return position, true, Reply{}
		}
		if underWay != nil {
			start := now()
			select {
			case <-underWay:
				since(&a.session.stages.proof, start)
				continue
			case <-time.After(a.deadline.Sub(now())):
				return entity.Position{}, false, failure(CodeBusy, "not run: the primary could not be proven in time")
			}
		}
		reply, final := a.proveAnew()
		a.db.endProving()
		if final {
			return entity.Position{}, false, reply
		}
	}
}

// floor returns the position of the oldest proof sent at or after since. Without
// one it returns what to wait for, or nil if the caller is to get the proof: one
// proof serves all reads that wait, and a proof for each of them would keep the
// primary from its own work when a proxy starts.
func (d *database) floor(since entity.Time) (position entity.Position, ok bool, underWay <-chan struct{}) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.lastRead = now()
	if position, ok = d.history.Floor(since); ok {
		return position, true, nil
	}
	if d.proving == nil {
		d.proving = make(chan struct{})
		return position, false, nil
	}
	return position, false, d.proving
}

// endProving lets the reads go on that wait for the proof.
func (d *database) endProving() {
	d.mu.Lock()
	defer d.mu.Unlock()
	close(d.proving)
	d.proving = nil
}

// proveAnew gets a proof over a connection to the primary.
func (a *attempt) proveAnew() (Reply, bool) {
	p, refusal := a.db.acquire(flood.LanePrimary, a.route.Rank, a.deadline, a.session.state.settings)
	if refusal != nil {
		return refusedReply(refusal), true
	}
	if err := a.open(p); err != nil {
		return a.notConnected(p, err)
	}
	ok, err := a.prove(p)
	if err != nil {
		p.broke(err)
		return a.broken(false, err)
	}
	a.db.end(p, true)
	if !ok {
		return a.again(failure(CodeLagging, "not run: the primary is being replaced"))
	}
	return Reply{}, false
}

// strictFloor returns a position that covers every commit acknowledged before
// the read arrived. The read must not run before it is known: the upstream may
// have been replaced, and a replica answers reads as well.
func (a *attempt) strictFloor(p *permit) (entity.Position, bool, Reply) {
	d := a.db
	d.mu.Lock()
	newest := d.history.Newest()
	d.mu.Unlock()
	if newest.Sent >= a.arrived {
		return newest.Position, true, Reply{}
	}
	ok, err := a.prove(p)
	if err != nil {
		p.broke(err)
		reply, _ := a.broken(false, err)
		return entity.Position{}, false, reply
	}
	if !ok {
		d.end(p, true)
		reply, _ := a.again(failure(CodeLagging, "not run: the primary is being replaced"))
		return entity.Position{}, false, reply
	}
	d.mu.Lock()
	newest = d.history.Newest()
	d.mu.Unlock()
	if newest.Sent < a.arrived {
		// The proof was of an older term than one that is already known.
		d.end(p, true)
		reply, _ := a.again(failure(CodeLagging, "not run: the primary was replaced"))
		return entity.Position{}, false, reply
	}
	return newest.Position, true, Reply{}
}
