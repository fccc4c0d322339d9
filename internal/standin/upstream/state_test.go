package upstream

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

// logModel simulates the logs of a group without a network.
type logModel struct {
	members []*state
	// primaries maps a term to the member that was primary in it.
	primaries map[uint64]int
	// majorityEntries maps the entries that a primary wrote in its own term,
	// and that a follower of that term also held, to their commit time.
	majorityEntries map[Position]time.Time
	writes          int
}

func newLogModel() *logModel {
	m := &logModel{primaries: map[uint64]int{firstTerm: 0}, majorityEntries: map[Position]time.Time{}}
	for i := range 3 {
		m.members = append(m.members, newState(initialSnapshot(Options{Primary: i == 0})))
	}
	return m
}

func (m *logModel) write(member int) {
	s := m.members[member]
	tx := &transaction{ops: []Op{{Table: TableKV, Key: "k", Value: fmt.Sprint(m.writes)}}}
	m.writes++
	_ = s.commit(tx)
}

// replicate sends up to limit entries from a primary to another member.
func (m *logModel) replicate(from, to, limit int) {
	primary, follower := m.members[from], m.members[to]
	if !primary.Primary || from == to {
		return
	}
	stream, ok := follower.follow(primary.Term, primary.Promoter)
	if !ok {
		return
	}
	next := int(commonOffset(primary.termEnds(), follower.termEnds()))
	end := min(len(primary.Entries), next+limit)
	follower.storeEntries(stream, next, primary.History, primary.Entries[next:end])
	for _, entry := range follower.Entries {
		if entry.Term == primary.Term {
			m.majorityEntries[Position{entry.Term, entry.Offset}] = entry.At
		}
	}
}

// failOver fences two members and promotes the one with the more advanced log.
func (m *logModel) failOver(t *rapid.T, first, second int, promoter string) {
	term := max(m.members[first].Term, m.members[second].Term) + 1
	for _, i := range []int{first, second} {
		if !m.members[i].fence(term, promoter) {
			t.Fatalf("member %d refused the next term %d", i, term)
		}
	}
	chosen := first
	if a, b := m.endPosition(first), m.endPosition(second); b.Term > a.Term || (b.Term == a.Term && b.Offset > a.Offset) {
		chosen = second
	}
	if _, started := m.members[chosen].promote(term, promoter); started {
		m.recordPrimary(t, term, chosen)
	}
}

func (m *logModel) recordPrimary(t *rapid.T, term uint64, member int) {
	if _, again := m.primaries[term]; again {
		t.Fatalf("term %d has two primaries", term)
	}
	m.primaries[term] = member
}

func (m *logModel) endPosition(member int) Position {
	s := m.members[member]
	return s.positionAt(len(s.Entries))
}

// checkLogs verifies that two logs agree up to their common offset, and that
// the rows match the applied entries.
func (m *logModel) checkLogs(t *rapid.T) {
	for i, a := range m.members {
		for _, b := range m.members[i+1:] {
			common := int(commonOffset(a.termEnds(), b.termEnds()))
			for n := range common {
				if a.positionAt(n+1) != b.positionAt(n+1) || a.Entries[n].At != b.Entries[n].At {
					t.Fatalf("logs differ at offset %d below the common offset %d", n+1, common)
				}
			}
		}
		want := ""
		for _, entry := range a.Entries[:a.applied] {
			for _, op := range entry.Ops {
				want = op.Value
			}
		}
		if got := a.tables[TableKV]["k"]; got != want {
			t.Fatalf("member %d has value %q, its log has %q", i, got, want)
		}
	}
}

// checkMajority verifies that the new primary holds every entry that a majority
// held.
func (m *logModel) checkMajority(t *rapid.T, primary int) {
	entries := m.members[primary].Entries
	for position, at := range m.majorityEntries {
		n := int(position.Offset)
		if n > len(entries) || entries[n-1].Term != position.Term || entries[n-1].At != at {
			t.Fatalf("the majority write %v is lost", position)
		}
	}
}

// Guards against two primaries in a term, logs that differ below their common
// offset, lost majority writes, and members that do not converge.
func TestLogsConverge(t *testing.T) {
	assert.NilError(t, flag.Set("rapid.seed", "1"))
	assert.NilError(t, flag.Set("rapid.nofailfile", "true"))
	rapid.Check(t, func(t *rapid.T) {
		m := newLogModel()
		// memberIndex also limits the entries that one replication sends.
		memberIndex := rapid.IntRange(0, 2)
		t.Repeat(map[string]func(*rapid.T){
			"write": func(t *rapid.T) { m.write(memberIndex.Draw(t, "member")) },
			"replicate": func(t *rapid.T) {
				m.replicate(memberIndex.Draw(t, "from"), memberIndex.Draw(t, "to"), memberIndex.Draw(t, "entries"))
			},
			"fence": func(t *rapid.T) {
				m.members[memberIndex.Draw(t, "member")].fence(rapid.Uint64Range(1, 8).Draw(t, "term"), "other")
			},
			"fail over": func(t *rapid.T) {
				first := memberIndex.Draw(t, "first")
				m.failOver(t, first, (first+1)%3, rapid.SampledFrom([]string{"p1", "p2"}).Draw(t, "promoter"))
			},
			"": m.checkLogs,
		})
		m.failOver(t, 0, 1, "last")
		primary := 0
		if m.members[1].Primary {
			primary = 1
		}
		m.checkMajority(t, primary)
		for i := range m.members {
			m.replicate(primary, i, 1<<20)
		}
		m.checkLogs(t)
		for i := range m.members {
			if m.members[2].Term <= m.members[primary].Term && m.endPosition(i) != m.endPosition(primary) {
				t.Fatalf("member %d ends at %v, the primary at %v", i, m.endPosition(i), m.endPosition(primary))
			}
		}
	})
}
