package managed

import (
	"errors"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/placement"
)

// putMember takes over a member's entry.
func (p *Proxy) putMember(spec Member) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if _, known := p.document().Databases[spec.Database]; !known && p.document().Version != 0 {
		p.events.limited("entry_refused", "put_member", string(spec.Name), nil, errUnknownDatabase)
		return
	}
	d := p.databaseLocked(spec.Database)
	if before, ok := p.byMember[spec.Name]; ok && before != d {
		before.removeMember(spec.Name)
	}
	p.byMember[spec.Name] = d
	d.putMember(spec, p.distance(spec.AvailabilityZone))
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
	d := p.byMember[name]
	p.mu.Unlock()
	if d != nil {
		d.removeMember(name)
	}
}

// markUnlisted marks the known entries that a listing lacks as removed.
func (p *Proxy) markUnlisted(listed []Change) {
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
	for name, d := range p.byMember {
		if !present[name] {
			d.removeMember(name)
		}
	}
	for name := range p.proxies.listed {
		if !keys[vmPrefix+name] {
			delete(p.proxies.listed, name)
		}
	}
	for name, d := range p.databases {
		if !keys[claimPrefix+string(name)] {
			d.mu.Lock()
			d.claim = claimRecord{}
			d.mu.Unlock()
		}
	}
}

func (d *database) putMember(spec Member, distance int) {
	d.mu.Lock()
	defer d.mu.Unlock()
	at := now()
	m, known := d.members[spec.Name]
	if !known {
		m = &member{name: spec.Name, spec: spec, distance: distance}
		d.members[spec.Name] = m
		if len(d.members) <= groupSize {
			d.listedSince = at
		}
		d.changedSince = at
		d.applyShare(d.proxy.users(d.name, d.gatewayLimits()))
	}
	changed := !known || m.spec != spec || m.missingSince != 0
	if m.spec.Address != spec.Address || m.spec.Incarnation != spec.Incarnation {
		for _, l := range m.idle {
			d.dropLocked(l)
		}
		m.idle = m.idle[:0]
		m.answered()
	}
	claimsLead := spec.Primary && (!known || !m.spec.Primary || m.missingSince != 0) && m != d.leader
	if claimsLead {
		m.denied = false
	}
	if spec.Leaving && m.leavingSince == 0 {
		m.leavingSince = at
		for _, l := range m.idle {
			if m != d.leader {
				d.dropLocked(l)
			}
		}
		if m != d.leader {
			m.idle = m.idle[:0]
		}
	}
	if !spec.Leaving {
		m.leavingSince = 0
	}
	m.spec, m.distance, m.missingSince = spec, distance, 0
	if changed {
		d.proxy.events.memberChanged(d.name, spec)
	}
	if d.leader == nil {
		d.adoptListed()
	} else if claimsLead {
		d.monitor.leadClaimed(m)
	}
	if changed {
		d.monitor.wake()
	}
	d.dispatch(at)
	d.arm(at)
}

// removeMember notes that a member's entry is away. It is used on for a while:
// entries also lapse when the store was out.
func (d *database) removeMember(name entity.Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	m, ok := d.members[name]
	if !ok || m.missingSince != 0 {
		return
	}
	m.missingSince = now()
	d.proxy.events.memberMissing(d.name, name)
}

// adoptListed takes the member whose entry says primary for the primary. It is safe
// to use before it is confirmed: a member that is not the primary refuses writes,
// plain transactions and proofs. The mutex is held.
func (d *database) adoptListed() {
	var claimant *member
	for _, m := range d.members {
		if !m.spec.Primary || m.denied || m.missingSince != 0 || m.failures > 0 {
			continue
		}
		if claimant != nil {
			return
		}
		claimant = m
	}
	if claimant != nil {
		d.setLeader(claimant, d.leaderTerm, "listed")
	}
}
