package failover

import (
	"fmt"
	"sort"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// maxViolations bounds the descriptions that a record keeps.
const maxViolations = 20

// Violation is a broken guarantee that a run found.
type Violation struct {
	Rule   string
	Detail string
}

// The rules that a record checks.
const (
	RuleOnePrimary   = "one primary per term"
	RuleStaleTerm    = "no member is promoted in a term below its own"
	RuleRound        = "no round is confirmed by a primary that was replaced before it started"
	RuleMajorityKept = "no write acknowledged by a majority is lost"
	RuleLag          = "lag is never underestimated"
	RuleFloor        = "a read sees its floor"
)

// ack is an acknowledged write.
type ack struct {
	at       entity.Time
	term     uint64
	position entity.Position
}

// termRecord is what happened in one term.
type termRecord struct {
	term     uint64
	primary  nodeID
	promoted entity.Time
	// start is the log at the promotion, log the one at the last write.
	start []entry
	log   []entry
}

// record is what really happened, which no node sees as a whole.
type record struct {
	memberTerms []uint64
	terms       []*termRecord
	// replaced has the instant at which a majority left each term.
	replaced   map[uint64]entity.Time
	acks       []ack
	served     int
	requests   map[uint64]group.PromoteRequest
	violations []Violation
}

func newRecord(members int) record {
	terms := make([]uint64, members)
	for i := range terms {
		terms[i] = 1
	}
	return record{memberTerms: terms, replaced: map[uint64]entity.Time{}, requests: map[uint64]group.PromoteRequest{}}
}

func (r *record) violate(rule, format string, values ...any) {
	if len(r.violations) < maxViolations {
		r.violations = append(r.violations, Violation{Rule: rule, Detail: fmt.Sprintf(format, values...)})
	}
}

// noteTerm keeps the instants at which a majority left a term.
func (r *record) noteTerm(now entity.Time, id nodeID, term uint64) {
	r.memberTerms[id] = term
	sorted := append([]uint64(nil), r.memberTerms...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i] > sorted[j] })
	reached := sorted[len(sorted)/2]
	for t := reached - 1; t > 0; t-- {
		if _, known := r.replaced[t]; known {
			return
		}
		r.replaced[t] = now
	}
}

func (r *record) notePromotion(now entity.Time, m *member) {
	for _, other := range r.terms {
		if other.term == m.term && other.primary != m.id {
			r.violate(RuleOnePrimary, "term %d has primaries %d and %d", m.term, other.primary, m.id)
		}
	}
	if m.term < r.memberTerms[m.id] {
		r.violate(RuleStaleTerm, "member %d at term %d is promoted in term %d", m.id, r.memberTerms[m.id], m.term)
	}
	r.terms = append(r.terms, &termRecord{term: m.term, primary: m.id, promoted: now, start: m.log, log: m.log})
}

// notePromoteRequest checks that one term is promoted for one member only.
func (r *record) notePromoteRequest(by nodeID, p group.PromoteRequest) {
	key := p.Term<<8 | uint64(by)
	if earlier, ok := r.requests[key]; ok && earlier.Upstream != p.Upstream {
		r.violate(RuleOnePrimary, "owner %d asks %s and %s in term %d", by, earlier.Upstream, p.Upstream, p.Term)
	}
	r.requests[key] = p
}

func (r *record) noteWrite(m *member) {
	for _, g := range r.terms {
		if g.term == m.term {
			g.log = m.log
		}
	}
}

func (r *record) noteAck(now entity.Time, sent *write) {
	r.acks = append(r.acks, ack{at: now, term: sent.term, position: sent.position})
}

func (r *record) checkRound(start entity.Time, result group.RoundResult) {
	if at, ok := r.replaced[result.Term]; ok && at < start {
		r.violate(RuleRound, "round started at %v, term %d was over at %v", start, result.Term, at)
	}
}

// lost reports whether a later primary started without a position.
func (r *record) lost(p entity.Position) bool {
	for _, g := range r.terms {
		if g.term > p.Term && !holds(g.start, len(g.start), p) {
			return true
		}
	}
	return false
}

// checkLag checks that a member has applied all that a primary in force wrote
// until age ago, unless a promotion lost it.
func (r *record) checkLag(now entity.Time, m *member, age time.Duration) {
	limit := now.Add(-age)
	for _, g := range r.terms {
		until := limit
		if at, ok := r.replaced[g.term]; ok {
			until = min(until, at)
		}
		n := sort.Search(len(g.log), func(i int) bool { return g.log[i].at > until })
		if g.promoted > until || n == 0 {
			continue
		}
		p := entity.Position{Term: g.log[n-1].term, Offset: uint64(n)}
		if !holds(m.log, m.applied, p) && !r.lost(p) {
			r.violate(RuleLag, "at %v member %d is said to be %v old and lacks %v, written in term %d", now, m.id, age, p, g.term)
		}
	}
}

func (r *record) checkRead(now entity.Time, m *member, floor entity.Position, maxAge time.Duration) {
	r.served++
	r.checkLag(now, m, maxAge)
	if !floor.IsZero() && !holds(m.log, m.applied, floor) && !r.lost(floor) {
		r.violate(RuleFloor, "at %v member %d lacks the floor %v", now, m.id, floor)
	}
}

// checkMajority checks that every promotion kept the acknowledged writes of
// earlier terms.
func (r *record) checkMajority() {
	for _, a := range r.acks {
		if r.lost(a.position) {
			r.violate(RuleMajorityKept, "%v acknowledged at %v is lost", a.position, a.at)
		}
	}
}

// Violations returns the broken guarantees that the run found so far.
func (w *World) Violations() []Violation {
	if w.settings.MajorityAcks {
		w.record.checkMajority()
	}
	return w.record.violations
}

// Acknowledged returns the number of acknowledged writes and the instant of the last.
func (w *World) Acknowledged() (int, entity.Time) {
	n := len(w.record.acks)
	if n == 0 {
		return 0, 0
	}
	return n, w.record.acks[n-1].at
}

// ReadsServed returns the number of eligibility checks that were positive.
func (w *World) ReadsServed() int { return w.record.served }

// Promotions returns the number of members promoted after the first primary.
func (w *World) Promotions() int { return len(w.record.terms) - 1 }

// HighestTerm returns the highest term that a member was fenced at.
func (w *World) HighestTerm() uint64 {
	highest := uint64(0)
	for _, t := range w.record.memberTerms {
		highest = max(highest, t)
	}
	return highest
}
