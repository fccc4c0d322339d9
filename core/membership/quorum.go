package membership

import "skylarkhinge.dev/skylarkhinge/core/entity"

// quorumCache holds the time until which a half of the cell is known to have a quorum,
// so that its confirmations need not be counted again.
type quorumCache struct {
	until entity.Time
}

// clearQuorumCache must be called when the list changes or a peer's confirmations start
// anew.
func (t *Table) clearQuorumCache() { t.quorums = [2]quorumCache{} }

// recordConfirmation records that the peer, by its reply to a heartbeat sent at sent,
// has confirmed that it recorded this VM as a member of its cell.
func (t *Table) recordConfirmation(now entity.Time, p *peer, sent entity.Time) {
	if !p.confirms || sent.Sub(p.confirmedSent) >= t.config.QuorumLease {
		p.confirms, p.confirmedSince = true, now
		p.confirmedSent = sent
		t.clearQuorumCache()
		return
	}
	p.confirmedSent = max(p.confirmedSent, sent)
}

// hasQuorum reports whether enough VMs of the cell have recorded this VM, so that no VM
// that doesn't know of it can be exclusive for the database; see the package comment.
func (t *Table) hasQuorum(now entity.Time, database uint64) bool {
	half := t.homeCell.half(database)
	if now < t.quorums[half].until {
		return true
	}
	wholeCell := t.countConfirmations(now, func(uint64) bool { return true })
	if !wholeCell.majority() {
		return false
	}
	until := wholeCell.until
	// A list with a few more VMs would split a cell that is nearly full. A majority
	// of the half that has the database must then have recorded this VM as well.
	if wholeCell.size > t.config.Candidates*3/4 {
		halfCell := t.countConfirmations(now, func(vm uint64) bool { return t.homeCell.half(vm) == half })
		if halfCell.size > 0 && !halfCell.majority() {
			return false
		}
		until = min(until, halfCell.until)
	}
	// The quorum lasts at least until the first of the counted confirmations expires.
	t.quorums[half].until = until
	return true
}

// quorumCount has the number of VMs in a part of the cell, and how many of them have
// confirmed this VM. until is when the first of these confirmations expires.
type quorumCount struct {
	size, confirmed int
	until           entity.Time
}

// majority reports whether more than half of the VMs have confirmed this one.
func (c quorumCount) majority() bool { return c.confirmed*2 > c.size }

// countConfirmations counts the VMs of the cell whose hash is included. Leaving VMs
// count: other VMs may still use a list that doesn't have their replacements.
func (t *Table) countConfirmations(now entity.Time, include func(hash uint64) bool) quorumCount {
	count := quorumCount{until: entity.Never}
	for i := t.homeCell.from; i < t.homeCell.to; i++ {
		vm := &t.vms[i]
		if !include(vm.hash) {
			continue
		}
		count.size++
		if until, confirmed := t.confirmedBy(now, vm.name); confirmed {
			count.confirmed++
			count.until = min(count.until, until)
		}
	}
	return count
}

// confirmedBy reports whether a VM confirmed this one more than a grant time ago and
// within QuorumLease, and when that confirmation expires.
func (t *Table) confirmedBy(now entity.Time, vm entity.VM) (entity.Time, bool) {
	if vm == t.config.Self {
		return entity.Never, true
	}
	p := t.findPeer(vm)
	if p == nil || !p.confirms || now < p.confirmedSince.Add(t.grantExpiry()) {
		return 0, false
	}
	until := p.confirmedSent.Add(t.config.QuorumLease)
	return until, now < until
}
