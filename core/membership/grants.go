package membership

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// clockMarginDivisor sets the fraction of a grant that its holder leaves unused: 2%,
// by which two clocks that are each 1% off can differ.
const clockMarginDivisor = 50

// grantExpiry returns the time, on this VM's clock, after which a grant that this VM
// gave has expired at its holder.
func (t *Table) grantExpiry() time.Duration {
	return t.config.GrantTTL + t.config.GrantTTL/clockMarginDivisor
}

// grant adds a grant to the reply and records it, unless grants to the peer are
// blocked.
func (t *Table) grant(now entity.Time, p *peer, reply *HeartbeatReply) {
	if now < p.blockedUntil {
		return
	}
	reply.Grant = t.config.GrantTTL
	p.grantedUntil = now.Add(t.config.GrantTTL)
	if t.draining && now >= t.actingUntil {
		reply.AllDatabases = true
		t.allGrantedUntil = p.grantedUntil
	}
}

// Exclusive reports whether this VM holds the grants of all candidates, so that no
// other VM can have acknowledged a write of the database as its owner since the
// returned instant. The answer is valid at now only: a caller that may have been
// paused since must ask again.
func (t *Table) Exclusive(now entity.Time, database entity.Database) (since entity.Time, ok bool) {
	hash := databaseHash(database)
	if !t.selfListed || !t.homeCell.contains(hash) || now < t.overflowUntil {
		return 0, false
	}
	since = max(t.started, t.lastRetired)
	for _, p := range t.peers {
		if p.retired {
			continue
		}
		from, held := t.heldSince(now, p, hash)
		if !held {
			return 0, false
		}
		since = max(since, from)
	}
	return since, true
}

// heldSince returns since when this VM has held the peer's grants on a database
// without a gap, and whether it holds one now.
func (t *Table) heldSince(now entity.Time, p *peer, database uint64) (entity.Time, bool) {
	if precedes(t.hash, p.hash, t.config.Self, p.name, database) {
		return p.orderedGrants.since, now < p.orderedGrants.until
	}
	return p.allGrants.since, now < p.allGrants.until
}

// MayAcknowledge reports whether this VM may acknowledge writes as owner of the
// database, and if not, from when on it may. That is entity.Never while the VM lacks a
// quorum of its cell. Each call marks this VM as acting owner of the database for one
// grant time, whatever the answer, which blocks new grants that would otherwise delay
// it forever. The answer is valid at now only.
func (t *Table) MayAcknowledge(now entity.Time, database entity.Database) (from entity.Time, ok bool) {
	t.recordStart(now)
	hash := databaseHash(database)
	if !t.selfListed || !t.homeCell.contains(hash) {
		return entity.Never, false
	}
	t.actingUntil = now.Add(t.config.GrantTTL)
	for _, p := range t.peers {
		if precedes(p.hash, t.hash, p.name, t.config.Self, hash) {
			p.blockedUntil = now.Add(t.config.GrantTTL)
		}
	}
	return t.mayAcknowledge(now, hash)
}

// mayAcknowledge is MayAcknowledge without marking this VM as acting owner.
func (t *Table) mayAcknowledge(now entity.Time, database uint64) (from entity.Time, ok bool) {
	if !t.selfListed || !t.homeCell.contains(database) || !t.hasQuorum(now, database) {
		return entity.Never, false
	}
	// An earlier incarnation of this VM may have given grants that it doesn't know.
	from = max(t.started.Add(t.grantExpiry()), t.allGrantedUntil)
	for _, p := range t.peers {
		if precedes(p.hash, t.hash, p.name, t.config.Self, database) {
			from = max(from, p.grantedUntil)
		}
	}
	return from, from <= now
}
