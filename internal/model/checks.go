package model

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// ack is an acknowledged write.
type ack struct {
	request uint64
	session int
	value   int
	class   string
	at      entity.Time
}

// checker records what callers were told and what the members committed, and
// checks the guarantees against it.
type checker struct {
	sessions     int
	requests     uint64
	committed    map[uint64]bool
	notRun       map[uint64]bool
	acks         []ack
	primaryTerms []primaryTerm
	violations   []string
	// Reads counts the answered reads that replicas might serve (ClassBrowse),
	// ReplicaReads those that a replica did serve.
	Reads, ReplicaReads int
	// LossReports counts the results of kind core.ResultWriteLost.
	LossReports int
}

// primaryTerm records that a member became the primary of a term.
type primaryTerm struct {
	member entity.Upstream
	term   uint64
	from   entity.Time
}

func (c *checker) reset() {
	c.committed = map[uint64]bool{}
	c.notRun = map[uint64]bool{}
}

// Violations describes the violated guarantees so far.
func (w *World) Violations() []string { return w.checks.violations }

// Reads returns the number of answered reads that replicas might serve, and of those
// that a replica did serve.
func (w *World) Reads() (all, replica int) { return w.checks.Reads, w.checks.ReplicaReads }

// PrimaryCount returns the number of primaries so far, one per term.
func (w *World) PrimaryCount() int { return len(w.checks.primaryTerms) }

func (c *checker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

func (c *checker) recordPrimary(now entity.Time, member entity.Upstream, term uint64) {
	for _, p := range c.primaryTerms {
		if p.term == term && p.member != member {
			c.addViolation("two primaries in term %d: %s and %s", term, p.member, member)
		}
	}
	c.primaryTerms = append(c.primaryTerms, primaryTerm{member, term, now})
}

// rowsPerTransaction is the number of rows that each transaction writes.
const rowsPerTransaction = 2

// recordCommit records a commit. It checks that the caller was not told before that
// the request did not run, and that a transaction has both of its rows and no other.
func (c *checker) recordCommit(e LogEntry) {
	c.committed[e.Request] = true
	if e.Rows != nil && (len(e.Rows) != rowsPerTransaction || e.Rows[0] != e.Request || e.Rows[1] != e.Request) {
		c.addViolation("the transaction of request %d was committed with rows of requests %v", e.Request, e.Rows)
	}
	if c.notRun[e.Request] {
		c.addViolation("request %d was committed after its result was not run", e.Request)
	}
}

// maxLeavingTime is how long a leaving upstream may still get batches.
const maxLeavingTime = 3 * time.Second

func (c *checker) checkDispatch(w *World, m *Member) {
	if m.leavingSince > 0 && w.Now.Sub(m.leavingSince) > maxLeavingTime {
		c.addViolation("%s got a batch %s after it was listed as leaving", m.name, w.Now.Sub(m.leavingSince))
	}
}

func (c *checker) recordResult(w *World, op *Op, res core.Result) {
	if op.value == 0 || op.attempt > 1 {
		return
	}
	switch res.Kind {
	case core.ResultNotRun, core.ResultWriteLost:
		if op.statement == 0 {
			c.notRun[op.request] = true
		}
		if c.committed[op.request] && op.statement == 0 {
			c.addViolation("request %d has the result not run (%s) but was committed", op.request, res.Reason)
		}
	}
}

// maxAckProofAge is the maximum age of a probe round that confirms a write. When the
// owner acknowledges the write, an older round proves nothing.
const maxAckProofAge = 150 * time.Millisecond

// checkAckRelease checks that the primary of an acknowledged write was not replaced
// before the probe round that confirmed the write.
func (c *checker) checkAckRelease(w *World, op *Op, term uint64) {
	for _, p := range c.primaryTerms {
		if p.term > term && w.Now.Sub(p.from) > maxAckProofAge {
			c.addViolation("request %d of term %d acknowledged %s after term %d began", op.request, term, w.Now.Sub(p.from), p.term)
			return
		}
	}
}

func (c *checker) recordAck(w *World, op *Op) {
	c.acks = append(c.acks, ack{op.request, op.session.id, op.value, op.Class, w.Now})
}

// checkRead checks that a session reads its own acknowledged writes.
func (c *checker) checkRead(w *World, op *Op, executed execution) {
	if op.Class == ClassBrowse {
		c.Reads++
		if !executed.member.IsPrimary() {
			c.ReplicaReads++
		}
	}
	if executed.value < op.floor && !w.writeLost(op.session.id, op.floor) {
		c.addViolation("session %d read value %d after the acknowledgement of %d, at %s from %s class %s", op.session.id, executed.value, op.floor, time.Duration(w.Now), executed.member.name, op.Class)
	}
}

// Primary returns the live primary of the highest term, nil if there is none.
func (w *World) Primary() *Member {
	var primary *Member
	for _, m := range w.Members {
		if m.IsPrimary() && (primary == nil || m.term > primary.term) {
			primary = m
		}
	}
	return primary
}

// writeLost reports whether the primary's log has neither the session's write nor a
// later one of the session, because a failover lost it. CheckFinalState checks whether
// the class of the write allows that.
func (w *World) writeLost(session, value int) bool {
	primary := w.Primary()
	if primary == nil {
		return false
	}
	for _, e := range primary.log {
		if e.Session == session && e.Value >= value {
			return false
		}
	}
	return true
}

// CheckFinalState checks that the primary's log has all writes that were acknowledged
// with a majority, and no request twice.
func (w *World) CheckFinalState() {
	primary := w.Primary()
	if primary == nil {
		w.checks.addViolation("no primary at the end")
		return
	}
	seen := map[uint64]int{}
	for _, e := range primary.log {
		seen[e.Request]++
		if seen[e.Request] == 2 {
			w.checks.addViolation("request %d is in the log twice", e.Request)
		}
	}
	for _, a := range w.checks.acks {
		if a.class == ClassSafeOrder && seen[a.request] == 0 {
			w.checks.addViolation("request %d acknowledged with a majority is lost", a.request)
		}
	}
}

// LostAcks counts the acknowledged writes that the primary does not have.
func (w *World) LostAcks() int {
	primary := w.Primary()
	lost := 0
	for _, a := range w.checks.acks {
		if primary != nil && !primary.hasRequest(a.request) {
			lost++
		}
	}
	return lost
}
