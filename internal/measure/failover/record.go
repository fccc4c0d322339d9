package failover

import (
	"fmt"
	"sort"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// maxViolations is the number of violations kept; later ones are dropped.
const maxViolations = 20

// Violation is a violation of a rule found in a run.
type Violation struct {
	Rule   string
	Detail string
}

// The rules that are checked in every run.
const (
	RuleOnePrimary   = "one primary per term"
	RuleStaleTerm    = "no member is promoted in a term below its own"
	RuleRound        = "no round is confirmed by a primary that was replaced before it started"
	RuleMajorityKept = "no write acknowledged by a majority is lost"
	RuleLag          = "lag is never underestimated"
	RuleFloor        = "a read sees its floor"
)

// ack is an acknowledged write. term is the term of the primary that executed it.
type ack struct {
	at       entity.Time
	term     uint64
	position entity.Position
}

// termRecord is the history of one term's primary.
type termRecord struct {
	term       uint64
	primary    nodeID
	promotedAt entity.Time
	// startLog is the primary's log at its promotion, lastLog that at its last write.
	startLog []entry
	lastLog  []entry
}

// record is the global history of a run, which no single node knows. The guarantees are
// checked against it.
type record struct {
	// memberTerms has the current term of each member.
	memberTerms []uint64
	terms       []*termRecord
	// replacedAt has the time at which a majority of members had left each term.
	replacedAt map[uint64]entity.Time
	acks       []ack
	// readsServed is the number of eligibility checks that found a member eligible.
	readsServed int
	// promoteRequests has the last request by term and owner.
	promoteRequests map[uint64]group.PromoteRequest
	violations      []Violation
}

func newRecord(members int) record {
	terms := make([]uint64, members)
	for i := range terms {
		terms[i] = 1
	}
	return record{memberTerms: terms, replacedAt: map[uint64]entity.Time{}, promoteRequests: map[uint64]group.PromoteRequest{}}
}

func (r *record) addViolation(rule, format string, args ...any) {
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, args...)})
	}
}

// setMemberTerm records the new term of a member, and the time at which a majority had
// left each lower term.
func (r *record) setMemberTerm(now entity.Time, id nodeID, term uint64) {
	r.memberTerms[id] = term
	sorted := append([]uint64(nil), r.memberTerms...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] > sorted[j] })
	majorityTerm := sorted[len(sorted)/2]
	for t := majorityTerm - 1; t > 0; t-- {
		if _, known := r.replacedAt[t]; known {
			return
		}
		r.replacedAt[t] = now
	}
}

// addPromotion records that a member became primary, and checks RuleOnePrimary and
// RuleStaleTerm.
func (r *record) addPromotion(now entity.Time, m *member) {
	for _, other := range r.terms {
		if other.term == m.term && other.primary != m.id {
			r.addViolation(RuleOnePrimary, "term %d has primaries %d and %d", m.term, other.primary, m.id)
		}
	}
	if m.term < r.memberTerms[m.id] {
		r.addViolation(RuleStaleTerm, "member %d at term %d is promoted in term %d", m.id, r.memberTerms[m.id], m.term)
	}
	r.terms = append(r.terms, &termRecord{term: m.term, primary: m.id, promotedAt: now, startLog: m.log, lastLog: m.log})
}

// addPromoteRequest checks that an owner asks only one member to become primary in a
// term.
func (r *record) addPromoteRequest(by nodeID, p group.PromoteRequest) {
	key := p.Term<<8 | uint64(by)
	if earlier, ok := r.promoteRequests[key]; ok && earlier.Upstream != p.Upstream {
		r.addViolation(RuleOnePrimary, "owner %d asks %s and %s in term %d", by, earlier.Upstream, p.Upstream, p.Term)
	}
	r.promoteRequests[key] = p
}

// addWrite updates the last known log of the primary's term.
func (r *record) addWrite(m *member) {
	for _, rec := range r.terms {
		if rec.term == m.term {
			rec.lastLog = m.log
		}
	}
}

func (r *record) addAck(now entity.Time, sent *write) {
	r.acks = append(r.acks, ack{at: now, term: sent.term, position: sent.position})
}

// checkRound checks that a majority had not yet left the term of the confirming primary
// when the round started.
func (r *record) checkRound(start entity.Time, result group.RoundResult) {
	if at, ok := r.replacedAt[result.Term]; ok && at < start {
		r.addViolation(RuleRound, "round started at %v, term %d was over at %v", start, result.Term, at)
	}
}

// isLost reports whether the log of a later primary lacked position p at its promotion.
func (r *record) isLost(p entity.Position) bool {
	for _, rec := range r.terms {
		if rec.term > p.Term && !containsPosition(rec.startLog, len(rec.startLog), p) {
			return true
		}
	}
	return false
}

// checkLag checks that a member has applied everything that the primary of any term
// wrote up to age ago, while the term was current, unless a promotion lost it.
func (r *record) checkLag(now entity.Time, m *member, age time.Duration) {
	limit := now.Add(-age)
	for _, rec := range r.terms {
		until := limit
		if at, ok := r.replacedAt[rec.term]; ok {
			until = min(until, at)
		}
		n := sort.Search(len(rec.lastLog), func(i int) bool { return rec.lastLog[i].at > until })
		if rec.promotedAt > until || n == 0 {
			continue
		}
		p := entity.Position{Term: rec.lastLog[n-1].term, Offset: uint64(n)}
		if !containsPosition(m.log, m.applied, p) && !r.isLost(p) {
			r.addViolation(RuleLag, "at %v the reported lag of member %d is %v, but it lacks %v, written in term %d", now, m.id, age, p, rec.term)
		}
	}
}

// checkRead checks a read at a member that the group considers eligible.
func (r *record) checkRead(now entity.Time, m *member, floor entity.Position, maxAge time.Duration) {
	r.readsServed++
	r.checkLag(now, m, maxAge)
	if !floor.IsZero() && !containsPosition(m.log, m.applied, floor) && !r.isLost(floor) {
		r.addViolation(RuleFloor, "at %v member %d lacks the floor %v", now, m.id, floor)
	}
}

// checkMajority checks RuleMajorityKept: every promotion preserved the acknowledged
// writes of earlier terms.
func (r *record) checkMajority() {
	for _, a := range r.acks {
		if r.isLost(a.position) {
			r.addViolation(RuleMajorityKept, "%v acknowledged at %v is lost", a.position, a.at)
		}
	}
}

// Violations returns the violations found so far, at most maxViolations.
func (w *World) Violations() []Violation {
	if w.settings.MajorityAcks {
		w.record.checkMajority()
	}
	return w.record.violations
}

// Acknowledged returns the number of acknowledged writes and the time of the last one.
func (w *World) Acknowledged() (int, entity.Time) {
	n := len(w.record.acks)
	if n == 0 {
		return 0, 0
	}
	return n, w.record.acks[n-1].at
}

// ReadsServed returns the number of eligibility checks that found a member eligible.
func (w *World) ReadsServed() int { return w.record.readsServed }

// Promotions returns the number of promotions, not counting the initial primary.
func (w *World) Promotions() int { return len(w.record.terms) - 1 }

// HighestTerm returns the highest term of any member.
func (w *World) HighestTerm() uint64 {
	highest := uint64(0)
	for _, t := range w.record.memberTerms {
		highest = max(highest, t)
	}
	return highest
}
