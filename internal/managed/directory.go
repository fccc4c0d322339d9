package managed

import (
	"errors"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/placement"
)

// putMember adds or updates a member listed at a revision.
func (p *Proxy) putMember(entry Member, at Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.document().Databases[entry.Database]; !known && p.document().Version != 0 {
		p.events.rateLimited("entry_refused", "put_member", string(entry.Name), nil, errUnknownDatabase)
		return
	}
	d := p.databaseLocked(entry.Database)
	if before, ok := p.databaseByMember[entry.Name]; ok && before != d {
		before.removeMember(entry.Name)
	}
	p.databaseByMember[entry.Name] = d
	d.putMember(entry, p.distance(entry.AvailabilityZone), at)
}

var errUnknownDatabase = errors.New("database is not in the configuration")

func (p *Proxy) distance(zone string) int {
	s := p.settings()
	switch {
	case zone == s.AvailabilityZone:
		return placement.SameZone
	case p.options.Regions[zone] == s.Region:
		return placement.SameRegion
	}
	return placement.OtherRegion
}

func (p *Proxy) removeMember(name entity.Upstream) {
	p.mu.Lock()
	d := p.databaseByMember[name]
	p.mu.Unlock()
	if d != nil {
		d.removeMember(name)
	}
}

// markUnlisted treats known entries that are missing from a full listing at a revision as removed.
func (p *Proxy) markUnlisted(listed []Change, at Revision) {
	present := map[entity.Upstream]bool{}
	keys := map[string]bool{}
	for i := range listed {
		if listed[i].Member != nil {
			present[listed[i].Member.Name] = true
		}
		keys[listed[i].Key] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for name, d := range p.databaseByMember {
		if !present[name] {
			d.removeMember(name)
		}
	}
	for name := range p.proxies.listed {
		if !keys[vmPrefix+name] {
			p.proxies.remove(name)
		}
	}
	for name, d := range p.databases {
		if !keys[claimPrefix+string(name)] {
			d.applyClaim(nil, at, true)
		}
		if !keys[ordersPrefix+string(name)] {
			d.applyOrders(nil, Revision{Epoch: at.Epoch}, true)
		}
	}
}

func (d *database) putMember(entry Member, distance int, listedAt Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	m, known := d.members[entry.Name]
	if known && entry.Incarnation < m.entry.Incarnation && !d.proxy.storeEpoch.Load().settled(at) {
		// The restored store shows an earlier process of the upstream.
		return
	}
	if !known {
		m = &member{name: entry.Name, entry: entry, distance: distance, listedAt: listedAt}
		d.members[entry.Name] = m
		delete(d.lostReplicas, entry.Name)
		delete(d.ended, entry.Name)
		if len(d.members) <= groupSize {
			d.memberAddedAt = at
		}
		d.membersChangedAt = at
		d.applyAssignment(d.proxy.assignGateways(d.name, d.gatewayLimits()))
		d.addPace(m)
	}
	changed := !known || m.entry != entry || m.missingSince != 0
	if m.entry.Address != entry.Address || m.entry.Incarnation != entry.Incarnation {
		for _, conn := range m.idleConns {
			d.dropConnLocked(conn)
		}
		m.idleConns = m.idleConns[:0]
		if m != d.primary {
			// The process may have started without the log of the one before.
			d.departedAt = at
		}
		m.pace.begin(paceRestarted)
		m.clearFailures()
	}
	newlyPrimary := entry.Primary && (!known || !m.entry.Primary || m.missingSince != 0) && m != d.primary
	if newlyPrimary {
		m.deniedPrimary = false
	}
	if entry.Leaving {
		d.setLeaving(m, at)
	}
	if !entry.Leaving && entry.Incarnation != m.entry.Incarnation {
		// A process that leaves does so until its end.
		m.leavingSince = 0
	}
	if m.listedAt.Epoch != listedAt.Epoch || m.entry.Incarnation != entry.Incarnation || m.missingSince != 0 {
		m.listedAt = listedAt
	}
	m.entry, m.distance, m.missingSince = entry, distance, 0
	if changed {
		d.proxy.events.memberChanged(d.name, entry)
	}
	if d.primary == nil {
		d.adoptListedPrimary()
	} else if newlyPrimary {
		d.monitor.setListedPrimary(m)
	}
	if changed {
		d.monitor.wake()
	}
	d.dispatch(at)
	d.armTimer(at)
}

// leavingSince returns the earliest time at which an upstream may have announced its shutdown of which
// this proxy hears now: when it last knew the state of the store.
func (p *Proxy) leavingSince(at entity.Time) entity.Time {
	if unseen := entity.Time(p.unseenSince.Load()); unseen != 0 {
		return min(at, unseen)
	}
	return at
}

// setLeaving records that a member has announced its shutdown. The mutex is held.
func (d *database) setLeaving(m *member, at entity.Time) {
	if m.leavingSince != 0 {
		return
	}
	m.leavingSince = d.proxy.leavingSince(at)
	if m == d.primary {
		return
	}
	for _, conn := range m.idleConns {
		d.dropConnLocked(conn)
	}
	m.idleConns = m.idleConns[:0]
}

// removeMember records that a member's entry was removed. The member stays in use for
// missingGrace, because entries also expire when the store is unavailable.
func (d *database) removeMember(name entity.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.missingSince != 0 {
		return
	}
	m.missingSince = now()
	d.proxy.events.memberMissing(d.name, name)
	d.monitor.wake()
}

// adoptListedPrimary makes the only member listed as primary the believed primary. Using it
// unconfirmed is safe: a member that is not the primary refuses writes and read-write
// transactions. The mutex is held.
func (d *database) adoptListedPrimary() {
	var candidate *member
	for _, m := range d.members {
		if !m.entry.Primary || m.deniedPrimary || m.missingSince != 0 || m.failures > 0 {
			continue
		}
		if candidate != nil {
			return
		}
		candidate = m
	}
	if candidate != nil {
		d.setPrimary(candidate, d.primaryTerm, "listed")
	}
}
