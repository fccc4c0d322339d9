package managed

import (
	"maps"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// lossMemory is how long it is remembered that a replica has ended, longer than a takeover without a
	// primary waits for it.
	lossMemory = time.Minute
	// endSlack is how long a replica that announced its shutdown may go on after its removal: its entry
	// also expires if it loses the store.
	endSlack = 10 * time.Second
	// unknownDepartures is how long after its start a proxy assumes that replicas have ended which it
	// does not know, if what was reported is not certain.
	unknownDepartures = 12 * time.Second
)

// replicaDeparted reports whether a replica has ended or restarted recently. The mutex is held.
func (d *database) replicaDeparted(at entity.Time) bool {
	return d.departedAt != 0 && at.Sub(d.departedAt) <= lossMemory
}

// removeExpiredMembers removes members whose entries have been missing for missingGrace.
// The mutex is held.
func (d *database) removeExpiredMembers(at entity.Time) {
	for name, m := range d.members {
		if m.missingSince == 0 || at.Sub(m.missingSince) < missingGrace {
			continue
		}
		m.removed = true
		d.departedAt = at
		switch {
		case m == d.primary:
		case m.leavingSince != 0:
			recordEnd(d.ended, at, name)
		case !m.entry.Primary:
			recordEnd(d.lostReplicas, at, name)
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

// recordEnd records that a replica was removed, and forgets those removed before lossMemory.
func recordEnd(ends map[entity.Upstream]entity.Time, at entity.Time, name entity.Upstream) {
	maps.DeleteFunc(ends, func(_ entity.Upstream, removed entity.Time) bool { return at.Sub(removed) > lossMemory })
	ends[name] = at
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

// departing returns the replicas that the primary may have counted when it acknowledged a commit, but a
// takeover may not: they leave, are not listed any more, or were lost and may be running. It is empty if
// no other replica stays. The result is sorted. The mutex is held.
func (d *database) departing(c *commit, at entity.Time) []entity.Upstream {
	primary := d.primary
	if primary == nil {
		primary = c.primary
	}
	var departing, missing []entity.Upstream
	listed := false
	for _, m := range d.members {
		switch {
		case m == primary:
		case m.leavingSince != 0:
			departing = append(departing, m.name)
		case m.missingSince != 0:
			missing = append(missing, m.name)
		default:
			listed = true
		}
	}
	switch {
	case listed:
		departing = append(departing, missing...)
	case len(missing) == 0:
		return d.departingForHolder(departing)
	}
	for name, removed := range d.lostReplicas {
		if at.Sub(removed) <= lossMemory {
			departing = append(departing, name)
		}
	}
	for name, removed := range d.ended {
		if c.sent < removed.Add(endSlack) {
			departing = append(departing, name)
		}
	}
	slices.Sort(departing)
	return departing
}

// departingForHolder returns those of the leaving replicas of which the holder of an open takeover has
// told, if it takes another one for one that stays, and may choose it. The mutex is held.
func (d *database) departingForHolder(leaving []entity.Upstream) []entity.Upstream {
	if d.announced == (Revision{}) || d.openClaim() != d.announced {
		return nil
	}
	known := slices.DeleteFunc(slices.Clone(leaving), func(name entity.Upstream) bool {
		return !slices.ContainsFunc(d.announcedLeaving, func(p UpstreamProcess) bool { return p.Name == name })
	})
	if len(known) == len(leaving) {
		return nil
	}
	slices.Sort(known)
	return known
}

// replicasChangedAt returns when a member was last added or removed, a replica restarted or another
// primary led. The mutex is held.
func (d *database) replicasChangedAt() entity.Time {
	return max(d.membersChangedAt, d.departedAt, d.lastPromotionAt)
}
