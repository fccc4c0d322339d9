package managed

import (
	"maps"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// lossMemory is how long it is remembered that a replica has ended, longer than a takeover without a primary
	// waits for it.
	lossMemory = time.Minute
	// unknownDepartures is how long after its start a proxy assumes that replicas have ended which it
	// does not know.
	unknownDepartures = 12 * time.Second
)

// replicaDeparted reports whether a replica may have ended or restarted recently. The mutex is held.
func (d *database) replicaDeparted(at entity.Time) bool {
	// This proxy does not know what happened before it started.
	return at.Sub(d.recordedSince) < unknownDepartures || d.departedAt != 0 && at.Sub(d.departedAt) <= lossMemory
}

// removeExpiredMembers removes members whose entries have been missing for missingGrace.
// The mutex is held.
func (d *database) removeExpiredMembers(at entity.Time) {
	for name, m := range d.members {
		if m.missingSince == 0 || at.Sub(m.missingSince) < missingGrace {
			continue
		}
		m.removed = true
		if m != d.primary && !m.entry.Primary && m.leavingSince == 0 {
			d.recordLostReplica(at, name)
		}
		if m != d.primary {
			d.departedAt = at
		}
		for _, conn := range m.idleConns {
			d.dropConnLocked(conn)
		}
		m.idleConns = nil
		delete(d.members, name)
		d.membersChangedAt = at
		d.proxy.events.memberGone(d.name, m)
	}
}

// recordLostReplica records that a replica was removed that had not announced its shutdown. The
// mutex is held.
func (d *database) recordLostReplica(at entity.Time, name entity.Upstream) {
	maps.DeleteFunc(d.lostReplicas, func(_ entity.Upstream, lost entity.Time) bool { return at.Sub(lost) > lossMemory })
	d.lostReplicas[name] = at
}

// lastReplicaLoss returns when a replica that has not returned was last removed, 0 if none was.
// The mutex is held.
func (d *database) lastReplicaLoss() entity.Time {
	last := entity.Time(0)
	for _, at := range d.lostReplicas {
		last = max(last, at)
	}
	return last
}

// departing returns the replicas that the primary may count when it acknowledges a commit, but a
// takeover may not: they leave, are not listed any more, or were lost and may be running. It is empty if
// no other replica stays, besides a member that acknowledged a commit. The result is sorted. The mutex
// is held.
func (d *database) departing(acknowledged *member, at entity.Time) []entity.Upstream {
	var leaving, missing []entity.Upstream
	listed := false
	for _, m := range d.members {
		switch {
		case m == d.primary || m == acknowledged:
		case m.leavingSince != 0:
			leaving = append(leaving, m.name)
		case m.missingSince != 0:
			missing = append(missing, m.name)
		default:
			listed = true
		}
	}
	switch {
	case listed:
		leaving = append(leaving, missing...)
	case len(missing) == 0:
		return nil
	}
	for name, lost := range d.lostReplicas {
		if at.Sub(lost) <= lossMemory {
			leaving = append(leaving, name)
		}
	}
	slices.Sort(leaving)
	return leaving
}
