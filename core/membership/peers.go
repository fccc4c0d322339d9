package membership

import (
	"slices"
	"strings"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// maxPeers bounds the candidates that a VM tracks. A cell has at most about
	// twice Config.Candidates VMs, and VMs that left it stay for RetireAfter.
	maxPeers = 128
	// maxProbes bounds the silent VMs outside the cell that are probed. It covers
	// the loss of the largest zone at the design size, which has 250 VMs.
	maxProbes = 512
	// maxPendingRequests is the number of unanswered heartbeats per peer that are
	// matched with replies. Grants in replies to older ones would have expired.
	maxPendingRequests = 8
	// minProbeDelay and maxProbeDelay bound the exponential delay between
	// probes of a silent VM.
	minProbeDelay = 250 * time.Millisecond
	maxProbeDelay = 4 * time.Second
)

// pendingRequest is a heartbeat that may still be answered.
type pendingRequest struct {
	sequence uint64
	// digest is the digest of this VM's members in the heartbeat.
	digest uint64
	sent   entity.Time
	// inHomeCell is set if the peer was in the home cell when it was sent.
	inHomeCell bool
}

// grantChain is a sequence of grants without a gap between them. since is when the
// heartbeat for the first one was sent, until is when the last one ends.
type grantChain struct {
	since, until entity.Time
}

// extend adds a grant that was requested at sent and ends at until. After a gap, a new
// chain starts.
func (c *grantChain) extend(sent, until entity.Time) {
	if until <= c.until {
		return
	}
	if sent > c.until {
		c.since = sent
	}
	c.until = until
}

// peer is another VM that is, or recently was, a candidate owner of the databases of
// this VM's cell.
type peer struct {
	name        entity.VM
	hash        uint64
	incarnation uint64
	draining    bool

	// inHomeCell is set if this VM's list puts the peer into its cell.
	inHomeCell bool
	// lastMember is when the peer was last in the cell, or last sent a heartbeat
	// because its list puts this VM into its cell.
	lastMember entity.Time
	// lastReported is when another peer last named this one as a member of its
	// cell; reported is set if that ever happened.
	lastReported entity.Time
	reported     bool
	// member is cleared once RetireAfter has passed since lastMember, and for a
	// peer that is known only because others reported it.
	member bool
	// retired is set once Exclusive no longer needs the peer's grants. The peer
	// stays in the table until the last grant given to it has expired.
	retired bool

	// alive is cleared when the peer is silent for SuspectAfter or is reported
	// silent.
	alive       bool
	lastHeard   entity.Time
	nextSend    entity.Time
	requests    [maxPendingRequests]pendingRequest
	nextRequest int // index in requests, which is a ring buffer

	// orderedGrants are the grants received from the peer on the databases for
	// which this VM precedes it, allGrants those on all databases.
	orderedGrants, allGrants grantChain
	// grantedUntil is the end of the last grant given to the peer. No grant is
	// given before blockedUntil.
	grantedUntil, blockedUntil entity.Time

	// confirms is set if the peer has confirmed, by replying to heartbeats, that it
	// recorded this VM as a member of its cell. confirmedSince is when the first of
	// these replies arrived, after any gap of QuorumLease between the heartbeats.
	// confirmedSent is when the last of the heartbeats was sent.
	confirmedSince, confirmedSent entity.Time
	confirms                      bool
}

// isMember reports whether this VM names the peer as a member in its replies.
func (p *peer) isMember(now entity.Time, retire time.Duration) bool {
	return p.inHomeCell || (p.member && now.Sub(p.lastMember) < retire)
}

// isCandidate reports whether Exclusive needs a grant of the peer.
func (p *peer) isCandidate(now entity.Time, config *Config) bool {
	return p.isMember(now, config.RetireAfter) || (p.reported && now.Sub(p.lastReported) < 2*config.GrantTTL)
}

// findRequest returns the pending heartbeat with the sequence number.
func (p *peer) findRequest(sequence uint64) (pendingRequest, bool) {
	for _, r := range p.requests {
		if r.sequence == sequence && sequence != 0 {
			return r, true
		}
	}
	return pendingRequest{}, false
}

// searchPeer returns the index at which the peer is, or would be inserted, in t.peers.
func (t *Table) searchPeer(name entity.VM) (int, bool) {
	return slices.BinarySearchFunc(t.peers, name, func(p *peer, n entity.VM) int {
		return strings.Compare(string(p.name), string(n))
	})
}

func (t *Table) findPeer(name entity.VM) *peer {
	if i, ok := t.searchPeer(name); ok {
		return t.peers[i]
	}
	return nil
}

// addPeer returns the peer with the name. It adds the peer if it is missing, or returns
// nil if there is no room. A new peer gets no grant for one grant time, since this VM
// may have acted as owner of databases for which the peer precedes it, and keeps no
// record of those.
func (t *Table) addPeer(now entity.Time, name entity.VM) *peer {
	i, ok := t.searchPeer(name)
	if ok {
		p := t.peers[i]
		p.member, p.retired = true, false
		return p
	}
	if len(t.peers) >= maxPeers {
		t.overflowUntil = now.Add(t.config.RetireAfter)
		return nil
	}
	p := &peer{name: name, hash: vmHash(name), alive: true, lastHeard: now, member: true, lastMember: now}
	p.blockedUntil = now.Add(t.config.GrantTTL)
	p.nextSend = now.Add(time.Duration(t.nextRandom() % uint64(t.config.HeartbeatInterval)))
	t.peers = slices.Insert(t.peers, i, p)
	return p
}

// addReported records that a peer names a VM as a member of its cell.
func (t *Table) addReported(now entity.Time, name entity.VM) {
	if name == t.config.Self {
		return
	}
	p := t.findPeer(name)
	if p == nil {
		if p = t.addPeer(now, name); p == nil {
			return
		}
		p.member = false
	}
	p.reported, p.lastReported, p.retired = true, now, false
}

// dropPeers retires the peers that are no longer candidates and removes those whose
// last grant has expired. Silent ones are probed from then on.
func (t *Table) dropPeers(now entity.Time) {
	changed := false
	t.peers = slices.DeleteFunc(t.peers, func(p *peer) bool {
		if p.member && !p.isMember(now, t.config.RetireAfter) {
			p.member, changed = false, true
		}
		if p.isCandidate(now, &t.config) {
			return false
		}
		if !p.retired {
			p.retired, t.lastRetired = true, now
		}
		if p.grantedUntil > now {
			return false
		}
		if !p.alive {
			t.addProbe(now, p.name)
		}
		return true
	})
	if changed {
		t.refreshMembers(now)
	}
}

// nextRandom returns the next number of a splitmix64 generator.
func (t *Table) nextRandom() uint64 {
	t.randomState += 0x9e3779b97f4a7c15
	return mix(t.randomState)
}

// probe is the probing state of a silent VM outside the cell.
type probe struct {
	name     entity.VM
	nextSend entity.Time
	delay    time.Duration
	sequence uint64
}

// addProbe starts to probe a silent VM. If too many are probed, the oldest probe is
// dropped and its VM counts as alive again.
func (t *Table) addProbe(now entity.Time, vm entity.VM) {
	for i := range t.probes {
		if t.probes[i].name == vm {
			return
		}
	}
	if len(t.probes) >= maxProbes {
		t.setSilent(t.probes[0].name, false)
		t.probes = slices.Delete(t.probes, 0, 1)
	}
	t.probes = append(t.probes, probe{name: vm, nextSend: now, delay: minProbeDelay})
}
