package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// minLagDuration is how long every replica must have been refusing reads before the
	// primary moves.
	minLagDuration = 600 * time.Millisecond
	// lagWindow is how long after the end of its lagPause a replica still counts as
	// lagging.
	lagWindow = 500 * time.Millisecond
	// refusalWindow is how long a refusal for lack of a slot counts as overload.
	refusalWindow = time.Second
	// minMoveInterval is the minimum time after a promotion before the primary moves for
	// load. Each move aborts the open transactions.
	minMoveInterval = 8 * time.Second
)

// recordLag records a read that the member refused as lagging. The mutex is held.
func (m *member) recordLag(at entity.Time) {
	if m.lagSince == 0 {
		m.lagSince = at
	}
	m.lagUntil = at.Add(lagPause)
}

// recordServed records a statement completed by the member, which ends its lag.
func (d *database) recordServed(m *member) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m.lagSince = 0
}

// shouldMovePrimary reports whether the primary should move to a lagging replica. This is
// the case when requests are refused although the replicas have free slots, because all
// replicas apply the log too slowly to serve reads. Slow apply does not matter on a
// primary, and the old primary becomes an up-to-date replica that serves reads. The mutex
// is held.
func (d *database) shouldMovePrimary(at entity.Time) bool {
	if d.lastRefusalAt == 0 || at.Sub(d.lastRefusalAt) > refusalWindow {
		return false
	}
	if d.lastPromotionAt != 0 && at.Sub(d.lastPromotionAt) < minMoveInterval {
		return false
	}
	replicas := 0
	for _, m := range d.members {
		if m == d.primary || m.removed {
			continue
		}
		replicas++
		lagging := m.lagSince != 0 && at.Sub(m.lagSince) >= minLagDuration && at.Sub(m.lagUntil) < lagWindow
		if !lagging || m.leavingSince != 0 || !m.available(at) {
			return false
		}
	}
	return replicas > 0
}
