package failover

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// replicationInterval is how often an idle primary sends its log.
	replicationInterval = 20 * time.Millisecond
	// noPromoter is the value of member.fencedBy if no promoter has fenced the member
	// in its term.
	noPromoter = nodeID(-1)
)

// entry is one write in a log, with the time at which the primary executed it.
type entry struct {
	term uint64
	at   entity.Time
}

// member is a simulated upstream with asynchronous replication. Its term, log
// and history are durable.
type member struct {
	world *World
	id    nodeID
	name  entity.Upstream
	term  uint64
	// fencedBy is the promoter whose fence the member accepted in its term, or
	// noPromoter.
	fencedBy nodeID
	primary  bool
	// log and history share memory with other members; existing elements are never
	// modified.
	log     []entry
	history []entity.TermStart
	// logTerm is the term of the primary that the log was received from.
	logTerm uint64
	// applied is the number of log entries visible to reads.
	applied int
	// epoch is incremented at each restart, which invalidates older heartbeat timers.
	epoch int
}

func newMember(w *World, id nodeID) *member {
	return &member{world: w, id: id, name: memberName(int(id)), fencedBy: noPromoter, history: []entity.TermStart{{Term: 1}}}
}

func memberName(i int) entity.Upstream { return entity.Upstream(fmt.Sprintf("m%d", i)) }

func (m *member) status() entity.MemberStatus {
	return entity.MemberStatus{
		Upstream: m.name, Primary: m.primary, Term: m.term,
		Log: m.position(len(m.log)), Applied: m.position(m.applied), History: m.history,
	}
}

// position returns the log position after the first n entries.
func (m *member) position(n int) entity.Position {
	if n == 0 {
		return entity.Position{Term: 1}
	}
	return entity.Position{Term: m.log[n-1].term, Offset: uint64(n)}
}

// containsPosition reports whether the first n entries of the log include position p.
func containsPosition(log []entry, n int, p entity.Position) bool {
	return p.Offset == 0 || p.Offset <= uint64(n) && log[p.Offset-1].term == p.Term
}

// fence raises the member to a higher term and reports whether it accepts the
// promoter. It accepts one promoter per term.
func (m *member) fence(term uint64, promoter nodeID) bool {
	if term == m.term {
		return m.fencedBy == promoter
	}
	if term < m.term {
		return false
	}
	m.adoptTerm(term)
	m.fencedBy = promoter
	return true
}

// adoptTerm makes the member a replica in a higher term.
func (m *member) adoptTerm(term uint64) {
	m.term = term
	m.primary = false
	m.fencedBy = noPromoter
	m.world.record.setMemberTerm(m.world.now, m.id, term)
}

// promote makes the member primary and reports success. It accepts only the promoter
// that fenced the member in the term.
func (m *member) promote(term uint64, promoter nodeID) bool {
	if term != m.term || m.fencedBy != promoter {
		return false
	}
	if !m.primary {
		m.becomePrimary(term)
	}
	return true
}

func (m *member) becomePrimary(term uint64) {
	m.term = term
	m.primary = true
	if last := m.history[len(m.history)-1]; last.Term < term {
		m.history = append(clip(m.history), entity.TermStart{Term: term, Offset: uint64(len(m.log))})
	}
	m.log = clip(m.log)
	m.logTerm = term
	m.applied = len(m.log)
	m.world.record.addPromotion(m.world.now, m)
	m.replicate()
}

// write appends an entry and returns its position, or false if the member is not
// primary.
func (m *member) write() (entity.Position, bool) {
	if !m.primary {
		return entity.Position{}, false
	}
	m.log = append(m.log, entry{term: m.term, at: m.world.now})
	m.applied = len(m.log)
	m.world.record.addWrite(m)
	m.replicate()
	return m.position(len(m.log)), true
}

// replicate sends the whole log to the other members.
func (m *member) replicate() {
	w := m.world
	term, log, history := m.term, clip(m.log), clip(m.history)
	for _, other := range w.members {
		if other != m {
			w.send(m.id, other.id, w.randomDuration(w.settings.ReplicationDelay), func() { other.receive(term, log, history) })
		}
	}
}

// receive stores a primary's log, unless the term is stale or the member already has as
// much of that primary's log. The first log of a new primary also removes the entries
// that it lacks.
func (m *member) receive(term uint64, log []entry, history []entity.TermStart) {
	if term < m.term || (m.primary && term == m.term) {
		return
	}
	if term > m.term {
		m.adoptTerm(term)
	}
	if term == m.logTerm && len(log) <= len(m.log) {
		return
	}
	common := len(m.log)
	if term != m.logTerm {
		common = commonPrefix(m.log, log)
	}
	m.applied = min(m.applied, common)
	m.log, m.history, m.logTerm = log, history, term
	m.scheduleApply(len(log))
}

// commonPrefix returns the length of the common prefix of two logs. If two logs have
// the same entry at one index, all earlier entries are equal too.
func commonPrefix(a, b []entry) int {
	n := min(len(a), len(b))
	for n > 0 && a[n-1] != b[n-1] {
		n--
	}
	return n
}

// scheduleApply makes the first n entries visible to reads after a random delay, unless
// the log of another term has arrived by then.
func (m *member) scheduleApply(n int) {
	w := m.world
	term := m.logTerm
	w.setTimer(m.id, w.randomDuration(w.settings.ApplyDelay), func() {
		if m.logTerm == term {
			m.applied = max(m.applied, n)
		}
	})
}

// heartbeat replicates every replicationInterval, while the member is primary, until
// the next restart.
func (m *member) heartbeat() {
	epoch := m.epoch
	if m.primary {
		m.replicate()
	}
	m.world.setTimer(m.id, replicationInterval, func() {
		if m.epoch == epoch {
			m.heartbeat()
		}
	})
}

// clip removes unused capacity, so that the next append copies the slice.
func clip[T any](s []T) []T { return s[:len(s):len(s)] }

// store records the first node that claimed each term.
type store struct {
	id      nodeID
	holders map[uint64]nodeID
}

// claim reports whether the term belongs to the node.
func (s *store) claim(term uint64, by nodeID) bool {
	if _, taken := s.holders[term]; !taken {
		s.holders[term] = by
	}
	return s.holders[term] == by
}
