package upstream

import (
	"slices"
	"sync"
	"time"
)

// The tables of the stand-in. TableLedger holds the ids of executed requests.
const (
	TableKV     = "kv"
	TableLedger = "skylarkhinge_ledger"
)

// maxReportedTerms bounds the history in a status.
const maxReportedTerms = 64

// Op is the change of one row. Rows of the ledger have an empty value.
type Op struct {
	Table  string `json:"table"`
	Key    string `json:"key"`
	Value  string `json:"value,omitempty"`
	Delete bool   `json:"delete,omitempty"`
}

// Entry is one committed transaction in the log. An entry without ops starts a
// term. At is the time of the commit.
type Entry struct {
	Term   uint64    `json:"term"`
	Offset uint64    `json:"offset"`
	Ops    []Op      `json:"ops,omitempty"`
	At     time.Time `json:"at"`
}

// Position identifies an entry by its term and its offset, which counts from 1.
type Position struct {
	Term   uint64 `json:"term"`
	Offset uint64 `json:"offset"`
}

// Status is the role and the log state that a member reports. Fenced is set from
// a fence until the member is promoted or follows a primary. History lists the
// last offset before each term, oldest term first.
type Status struct {
	Name    string     `json:"name"`
	Primary bool       `json:"primary"`
	Fenced  bool       `json:"fenced"`
	Term    uint64     `json:"term"`
	Log     Position   `json:"log"`
	Applied Position   `json:"applied"`
	History []Position `json:"history"`
}

// Snapshot is the durable state of a member. A member started with the snapshot
// of a closed one behaves like a process restarted on the same disk. Promoter is
// the only promoter that is accepted for Term; for History see Status.
type Snapshot struct {
	Term     uint64
	Promoter string
	Fenced   bool
	Primary  bool
	Entries  []Entry
	History  []Position
}

// state holds a member's log, the rows that reads see and the row locks.
type state struct {
	mu sync.Mutex
	Snapshot
	// applied is the number of log entries that are applied to tables.
	applied    int
	applyDelay time.Duration
	tables     map[string]map[string]string
	// executionCounts counts the executed changes by key; see
	// Executions.Executed.
	executionCounts map[string]int
	// locks maps a locked row to the transaction that holds the lock.
	locks map[string]*transaction
	// streamID identifies the replication stream that may store entries. An
	// older stream that still waits must not overwrite what its successor
	// stored.
	streamID int
	// changed is closed and replaced when the log, the role or a lock changes.
	changed chan struct{}
	// openWrites holds the open transactions that have locked a row.
	openWrites map[*transaction]struct{}
}

func newState(snapshot Snapshot) *state {
	s := &state{
		Snapshot:        snapshot,
		executionCounts: map[string]int{},
		locks:           map[string]*transaction{},
		changed:         make(chan struct{}),
		openWrites:      map[*transaction]struct{}{},
	}
	s.rebuildTables(len(s.Entries))
	return s
}

// broadcast wakes all goroutines that wait for a change. The caller holds mu.
func (s *state) broadcast() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// rebuildTables recomputes the tables from the first n entries. The caller
// holds mu.
func (s *state) rebuildTables(n int) {
	s.tables = map[string]map[string]string{TableKV: {}, TableLedger: {}}
	for i := range n {
		s.apply(s.Entries[i])
	}
	s.applied = n
}

func (s *state) apply(entry Entry) {
	for _, op := range entry.Ops {
		if op.Delete {
			delete(s.tables[op.Table], op.Key)
			continue
		}
		s.tables[op.Table][op.Key] = op.Value
	}
}

// applyDue applies the entries whose apply delay has passed. The caller holds
// mu.
func (s *state) applyDue() {
	for s.applied < len(s.Entries) {
		entry := s.Entries[s.applied]
		if !s.Primary && s.applyDelay > 0 && time.Since(entry.At) < s.applyDelay {
			return
		}
		s.apply(entry)
		s.applied++
	}
}

// append appends an entry of the current term to the log. The caller holds mu.
func (s *state) append(ops []Op) {
	s.Entries = append(s.Entries, Entry{
		Term:   s.Term,
		Offset: uint64(len(s.Entries)) + 1,
		Ops:    ops,
		At:     time.Now(),
	})
	s.applyDue()
	s.broadcast()
}

// truncate removes the entries after offset n. The caller holds mu.
func (s *state) truncate(n int) {
	if n >= len(s.Entries) {
		return
	}
	s.Entries = slices.Clone(s.Entries[:n])
	if s.applied > n {
		s.rebuildTables(n)
	}
}

// positionAt returns the position after the first n entries. That of an empty
// log is offset 0 of the first term, since the zero Position means unset.
func (s *state) positionAt(n int) Position {
	if n == 0 {
		return Position{Term: firstTerm}
	}
	entry := s.Entries[n-1]
	return Position{Term: entry.Term, Offset: entry.Offset}
}

// abortWrites revokes all open write transactions, since the member may no
// longer commit them. The caller holds mu.
func (s *state) abortWrites() {
	for tx := range s.openWrites {
		tx.revoked = true
		s.releaseLocks(tx)
	}
}

// releaseLocks releases the row locks of a transaction and removes it from
// openWrites. The caller holds mu.
func (s *state) releaseLocks(tx *transaction) {
	for key := range tx.locked {
		delete(s.locks, key)
	}
	tx.locked = nil
	if _, ok := s.openWrites[tx]; ok {
		delete(s.openWrites, tx)
		s.broadcast()
	}
}

// fence raises the term on behalf of a promoter. It reports whether the
// promoter is accepted: the term is higher than the member's, or the promoter
// already has this term.
func (s *state) fence(term uint64, promoter string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term <= s.Term {
		return term == s.Term && promoter == s.Promoter
	}
	s.Term, s.Promoter = term, promoter
	s.Fenced, s.Primary = true, false
	s.abortWrites()
	s.broadcast()
	return true
}

// promote makes the member primary of the term in which it was fenced. started
// is false if it already was primary in this term.
func (s *state) promote(term uint64, promoter string) (accepted, started bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term != s.Term || promoter != s.Promoter {
		return false, false
	}
	if s.Primary || !s.Fenced {
		return s.Primary, false
	}
	s.becomePrimary()
	return true, true
}

// becomePrimary starts the term. Term starts beyond the end of the member's log
// belong to terms of which it holds no entry, so they are removed from its
// history. The first entry is empty: it gives the term a position, so that
// the log of a member that missed the term no longer counts as the most
// advanced one.
func (s *state) becomePrimary() {
	s.Primary, s.Fenced = true, false
	end := uint64(len(s.Entries))
	s.History = slices.DeleteFunc(s.History, func(p Position) bool { return p.Offset > end })
	s.History = append(s.History, Position{Term: s.Term, Offset: end})
	s.append(nil)
}

// follow makes the member a follower of the primary of a term. It returns the
// id of the stream that may store entries, and whether the term is accepted. A
// member that a competing promoter fenced in the same term follows the primary
// too, since that promoter lost.
func (s *state) follow(term uint64, promoter string) (streamID int, accepted bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if term < s.Term || (term == s.Term && s.Primary) {
		return 0, false
	}
	s.Term, s.Promoter = term, promoter
	s.Fenced, s.Primary = false, false
	s.abortWrites()
	s.broadcast()
	s.streamID++
	return s.streamID, true
}

// storeEntries replaces the log after offset keep with the entries. It returns
// false if the stream is no longer the current one, the member no longer follows
// or its log ends before keep.
func (s *state) storeEntries(streamID int, keep int, history []Position, entries []Entry) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if streamID != s.streamID || s.Primary || s.Fenced || keep > len(s.Entries) {
		return false
	}
	s.truncate(keep)
	s.History = history
	s.Entries = append(s.Entries, entries...)
	s.applyDue()
	s.broadcast()
	return true
}

// termEnds returns the last offset of each term in the log, oldest first.
func (s *state) termEnds() []Position {
	s.mu.Lock()
	defer s.mu.Unlock()
	var ends []Position
	for i, entry := range s.Entries {
		if i+1 == len(s.Entries) || s.Entries[i+1].Term != entry.Term {
			ends = append(ends, Position{Term: entry.Term, Offset: entry.Offset})
		}
	}
	return ends
}

// commonOffset returns the last offset at which two logs agree. Logs that hold
// an entry of the same term at the same offset agree up to there.
func commonOffset(local, remote []Position) uint64 {
	for i := len(remote) - 1; i >= 0; i-- {
		for _, end := range local {
			if end.Term == remote[i].Term {
				return min(end.Offset, remote[i].Offset)
			}
		}
	}
	return 0
}

func (s *state) status(name string) Status {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
	history := s.History[max(0, len(s.History)-maxReportedTerms):]
	return Status{
		Name:    name,
		Primary: s.Primary,
		Fenced:  s.Fenced,
		Term:    s.Term,
		Log:     s.positionAt(len(s.Entries)),
		Applied: s.positionAt(s.applied),
		History: slices.Clone(history),
	}
}

func (s *state) snapshot() Snapshot {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := s.Snapshot
	out.Entries = slices.Clone(s.Entries)
	out.History = slices.Clone(s.History)
	return out
}
