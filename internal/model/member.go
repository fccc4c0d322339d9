package model

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// LogEntry is one committed write in a member's log.
type LogEntry struct {
	Term    uint64
	Request uint64
	Session int
	// Value is the number of the write within the session, from 1.
	Value int
	// Rows has, for each row of a transaction, the request whose statement wrote it. It is
	// nil for a write without a transaction.
	Rows []uint64
}

// Member is a fake upstream. It has a log with terms, replication with a lag, and a
// limited number of slots for batches.
type Member struct {
	world *World
	index int
	name  entity.Upstream
	term  uint64
	// votedFor is the promoter whose fence the member accepted for term.
	votedFor entity.VM
	primary  bool
	dead     bool
	frozen   bool
	log      []LogEntry
	// applied is the number of log entries that reads see.
	applied int
	// history has the start of each term in the log.
	history        []entity.TermStart
	busySlots      int
	waitingBatches []func()
	// leavingSince is when the proxies were told that the member is leaving; 0 if it
	// is not.
	leavingSince entity.Time
	// Executed counts the commits on this member by request id.
	Executed map[uint64]int
}

func newMember(w *World, index int) *Member {
	return &Member{
		world:    w,
		index:    index,
		name:     entity.Upstream(fmt.Sprintf("u%d", index+1)),
		term:     1,
		history:  []entity.TermStart{{Term: 1}},
		Executed: map[uint64]int{},
	}
}

// Name returns the member's name.
func (m *Member) Name() string { return string(m.name) }

// IsPrimary reports whether the member accepts writes.
func (m *Member) IsPrimary() bool { return m.primary && !m.dead }

func (m *Member) becomePrimary(term uint64) {
	m.term = term
	m.primary = true
	m.applied = len(m.log)
	if m.history[len(m.history)-1].Term < term {
		m.history = append(m.history, entity.TermStart{Term: term, Offset: uint64(len(m.log))})
	}
	m.world.checks.recordPrimary(m.world.Now, m.name, term)
	m.replicate(term)
}

// Kill stops the member permanently.
func (m *Member) Kill() { m.dead = true }

// Freeze suspends the member until Thaw. Messages to it wait.
func (m *Member) Freeze() { m.frozen = true }

// Thaw ends a freeze.
func (m *Member) Thaw() { m.frozen = false }

// whenNotFrozen calls fn now or when the member is no longer frozen, and never if it
// is dead.
func (m *Member) whenNotFrozen(fn func()) {
	if m.dead {
		return
	}
	if m.frozen {
		m.world.after(10*time.Millisecond, func() { m.whenNotFrozen(fn) })
		return
	}
	fn()
}

// position returns the log position after the first n entries.
func (m *Member) position(n int) entity.Position {
	p := entity.Position{Term: m.history[0].Term, Offset: uint64(n)}
	for _, h := range m.history {
		if h.Offset < uint64(n) || h.Offset == 0 {
			p.Term = h.Term
		}
	}
	return p
}

func (m *Member) status() entity.MemberStatus {
	return entity.MemberStatus{
		Upstream: m.name,
		Primary:  m.primary,
		Term:     m.term,
		Log:      m.position(len(m.log)),
		Applied:  m.position(m.applied),
		History:  append([]entity.TermStart(nil), m.history...),
	}
}

// fence accepts a term and its promoter unless the member has a higher term or
// accepted another promoter for the same one. A higher term ends its primary role.
func (m *Member) fence(term uint64, promoter entity.VM) bool {
	if term < m.term || (term == m.term && m.votedFor != promoter) {
		return false
	}
	if term > m.term {
		m.term, m.votedFor, m.primary = term, promoter, false
	}
	return true
}

// promote makes the member the primary of a term that it accepted by fence.
func (m *Member) promote(term uint64, promoter entity.VM) bool {
	if m.term != term || m.votedFor != promoter {
		return false
	}
	if !m.primary {
		m.becomePrimary(term)
	}
	return true
}

const replicationInterval = 5 * time.Millisecond

// replicate sends the log to the other members periodically while the member is the
// primary of the term.
func (m *Member) replicate(term uint64) {
	if m.dead || !m.primary || m.term != term {
		return
	}
	if !m.frozen {
		m.sendLog(term)
	}
	m.world.after(replicationInterval, func() { m.replicate(term) })
}

func (m *Member) sendLog(term uint64) {
	log := m.log[:len(m.log):len(m.log)]
	history := m.history[:len(m.history):len(m.history)]
	for _, other := range m.world.Members {
		if other == m {
			continue
		}
		d := max(m.world.Config.Lag, m.world.delay(m.index, other.index))
		m.world.sendDatagram(string(m.name), string(other.name), d, func() {
			other.whenNotFrozen(func() { other.receiveLog(term, log, history) })
		})
	}
}

// receiveLog replaces the log by the primary's, unless that is of an older term or is
// a delayed, shorter log of the same term. Entries that the primary lacks are lost.
func (m *Member) receiveLog(term uint64, log []LogEntry, history []entity.TermStart) {
	if term < m.term || (term == m.term && len(log) < len(m.log) && !m.primary && m.history[len(m.history)-1].Term == term) {
		return
	}
	m.term, m.primary = term, false
	m.log = append([]LogEntry(nil), log...)
	m.history = append([]entity.TermStart(nil), history...)
	m.applied = len(m.log)
}

// execute calls run after the service time, which starts when a slot is free.
func (m *Member) execute(serviceTime time.Duration, run func()) {
	start := func() {
		m.busySlots++
		m.world.after(serviceTime, func() {
			m.whenNotFrozen(func() {
				m.busySlots--
				run()
				m.startNext()
			})
		})
	}
	if m.busySlots < m.world.Config.Slots {
		start()
		return
	}
	m.waitingBatches = append(m.waitingBatches, start)
}

func (m *Member) startNext() {
	if len(m.waitingBatches) > 0 && m.busySlots < m.world.Config.Slots {
		start := m.waitingBatches[0]
		m.waitingBatches = m.waitingBatches[1:]
		start()
	}
}

// commit appends a write to the log if the member is the primary, of the given term
// if that is not 0. With ledger, it rejects a request that the log already has.
func (m *Member) commit(term uint64, e LogEntry, ledger bool) core.CompletionKind {
	if !m.primary || (term != 0 && m.term != term) {
		return core.CompletionRejected
	}
	if ledger && m.hasRequest(e.Request) {
		return core.CompletionDuplicate
	}
	e.Term = m.term
	m.log = append(m.log, e)
	m.applied = len(m.log)
	m.Executed[e.Request]++
	m.world.checks.recordCommit(e)
	return core.CompletionAnswered
}

func (m *Member) hasRequest(request uint64) bool {
	for _, e := range m.log {
		if e.Request == request {
			return true
		}
	}
	return false
}

// holdsLedgerRow reports whether a transaction that is open on another connection than c
// has inserted the request into the ledger.
func (m *Member) holdsLedgerRow(request uint64, c *conn) bool {
	for _, p := range m.world.Proxies {
		for _, other := range p.conns {
			if other != c && other.member == m && other.pending != nil && other.pending.Request == request && other.term == m.term {
				return true
			}
		}
	}
	return false
}

// read returns the highest applied value of the session. It need not be the last one:
// a write with an unknown outcome may enter the log after a later write of its session.
func (m *Member) read(session int) int {
	value := 0
	for _, e := range m.log[:m.applied] {
		if e.Session == session {
			value = max(value, e.Value)
		}
	}
	return value
}
