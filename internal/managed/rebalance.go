package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// lagPatience is how long replicas refuse all reads before the primary moves.
	lagPatience = 600 * time.Millisecond
	// lagRecent is how long a refused read keeps its replica counted as lagging.
	lagRecent = 500 * time.Millisecond
	// pressureRecent is how long a refusal for want of a slot counts.
	pressureRecent = time.Second
	// moveInterval is the least time between two moves of a primary. Each move
	// aborts the transactions that are open.
	moveInterval = 8 * time.Second
)

// noteLag notes a read that the member refused as lagging.
func (m *member) noteLag(at entity.Time) {
	if m.lagSince == 0 {
		m.lagSince = at
	}
	m.lagUntil = at.Add(lagPause)
}

// noteServed notes a statement that the member served.
func (d *database) noteServed(m *member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.lagSince = 0
}

// overloadedByLag reports whether the primary should move to a lagging replica: reads are
// refused although the replicas have free slots, because they apply too slowly.
// What made a replica slow does not concern it as a primary, and the old primary
// serves reads as a replica that is up to date. The mutex is held.
func (d *database) overloadedByLag(at entity.Time) bool {
	if d.refusedAt == 0 || at.Sub(d.refusedAt) > pressureRecent {
		return false
	}
	if d.promotedAt != 0 && at.Sub(d.promotedAt) < moveInterval {
		return false
	}
	replicas := 0
	for _, m := range d.members {
		if m == d.leader || m.gone {
			continue
		}
		replicas++
		lagging := m.lagSince != 0 && at.Sub(m.lagSince) >= lagPatience && at.Sub(m.lagUntil) < lagRecent
		if !lagging || m.leavingSince != 0 || !m.available(at) {
			return false
		}
	}
	return replicas > 0
}
