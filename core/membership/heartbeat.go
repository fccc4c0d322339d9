package membership

import (
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// maxReplyMembers bounds the members in one reply. A reply with more is ignored.
const maxReplyMembers = maxPeers

// Tick queues the heartbeats and probes that are due and handles timeouts.
func (t *Table) Tick(now entity.Time) {
	t.recordStart(now)
	t.adjustForPause(now)
	t.lastTick = now
	t.dropPeers(now)
	for _, p := range t.peers {
		t.checkLiveness(now, p)
		if p.nextSend <= now {
			t.sendHeartbeat(now, p)
		}
	}
	t.sendProbes(now)
}

// adjustForPause moves the peers' lastHeard by the length of a pause of this VM, which
// would otherwise consider all peers silent and itself the owner of all databases of its
// cell when it resumes. Grants are not extended.
func (t *Table) adjustForPause(now entity.Time) {
	gap := now.Sub(t.lastTick)
	if gap < t.config.SuspectAfter/2 {
		return
	}
	for _, p := range t.peers {
		if p.alive {
			p.lastHeard = min(now, p.lastHeard.Add(gap))
		}
	}
}

// checkLiveness marks a peer as silent after SuspectAfter without a message.
func (t *Table) checkLiveness(now entity.Time, p *peer) {
	if p.alive && now.Sub(p.lastHeard) >= t.config.SuspectAfter {
		p.alive = false
		t.setSilent(p.name, true)
	}
}

// sendHeartbeat queues a heartbeat and records it as pending.
func (t *Table) sendHeartbeat(now entity.Time, p *peer) {
	p.nextSend = p.nextSend.Add(t.config.HeartbeatInterval)
	if p.nextSend <= now {
		p.nextSend = now.Add(t.config.HeartbeatInterval)
	}
	t.sequence++
	p.requests[p.nextRequest] = pendingRequest{sequence: t.sequence, digest: t.membersDigest, sent: now, inHomeCell: p.inHomeCell}
	p.nextRequest = (p.nextRequest + 1) % maxPendingRequests
	t.ready.Requests = append(t.ready.Requests, HeartbeatRequest{
		To: p.name, From: t.config.Self, Incarnation: t.config.Incarnation, Sequence: t.sequence,
		Draining: t.draining, Probe: !p.inHomeCell, Digest: t.membersDigest,
	})
}

// sendProbes queues the probes that are due. It stops probing VMs that are no longer
// listed or have become peers.
func (t *Table) sendProbes(now entity.Time) {
	t.probes = slices.DeleteFunc(t.probes, func(p probe) bool {
		_, ok := t.index[p.name]
		return !ok || t.findPeer(p.name) != nil
	})
	for i := range t.probes {
		p := &t.probes[i]
		if p.nextSend > now {
			continue
		}
		p.nextSend = now.Add(p.delay)
		p.delay = min(2*p.delay, maxProbeDelay)
		t.sequence++
		p.sequence = t.sequence
		t.ready.Requests = append(t.ready.Requests, HeartbeatRequest{
			To: p.name, From: t.config.Self, Incarnation: t.config.Incarnation, Sequence: t.sequence,
			Draining: t.draining, Probe: true, Digest: t.membersDigest,
		})
	}
}

// NextTick returns the time at which Tick is due next.
func (t *Table) NextTick() entity.Time {
	next := entity.Never
	for _, p := range t.peers {
		next = min(next, p.nextSend)
		if p.alive {
			next = min(next, p.lastHeard.Add(t.config.SuspectAfter))
		}
	}
	for i := range t.probes {
		next = min(next, t.probes[i].nextSend)
	}
	return next
}

// StepHeartbeat handles a heartbeat or probe of another VM and queues the reply.
func (t *Table) StepHeartbeat(now entity.Time, request HeartbeatRequest) {
	t.recordStart(now)
	if request.To != t.config.Self || request.From == t.config.Self {
		return
	}
	p := t.findPeer(request.From)
	if !request.Probe {
		if p = t.addMember(now, request.From); p == nil {
			// No reply: the sender would count this VM towards its quorum although
			// this VM has not recorded it.
			return
		}
	}
	reply := HeartbeatReply{
		To: request.From, From: t.config.Self, Incarnation: t.config.Incarnation, Sequence: request.Sequence,
		Draining: t.draining,
	}
	if p != nil {
		if request.Incarnation < p.incarnation {
			return
		}
		t.recordContact(now, p, request.Incarnation, request.Draining)
		t.grant(now, p, &reply)
		if request.Digest != t.membersDigest {
			reply.Members = t.members
		}
	}
	t.ready.Replies = append(t.ready.Replies, reply)
}

// addMember records a VM whose list puts this VM into its cell. It returns nil if
// there is no room.
func (t *Table) addMember(now entity.Time, name entity.VM) *peer {
	known := t.findPeer(name)
	wasMember := known != nil && known.isMember(now, t.config.RetireAfter)
	p := t.addPeer(now, name)
	if p == nil {
		return nil
	}
	p.lastMember = now
	if !wasMember {
		t.refreshMembers(now)
	}
	return p
}

// recordContact records that a message of the peer arrived, with the incarnation and
// draining state in it.
func (t *Table) recordContact(now entity.Time, p *peer, incarnation uint64, draining bool) {
	p.lastHeard, p.alive = now, true
	t.setSilent(p.name, false)
	changed := p.draining != draining || p.incarnation != incarnation
	if incarnation > p.incarnation {
		t.handleRestart(now, p, incarnation)
	}
	p.draining = draining
	t.setDraining(p.name, draining)
	if changed {
		t.refreshMembers(now)
	}
}

// handleRestart discards the grants and confirmations of the peer's earlier
// incarnation.
func (t *Table) handleRestart(now entity.Time, p *peer, incarnation uint64) {
	first := p.incarnation == 0
	p.incarnation = incarnation
	p.orderedGrants, p.allGrants = grantChain{}, grantChain{}
	p.confirms = false
	t.clearQuorumCache()
	if i, ok := t.index[p.name]; ok && !first {
		t.vms[i].settledAt = now.Add(t.config.SettleTime)
		t.version++
	}
}

// StepReply handles the reply to a heartbeat or probe.
func (t *Table) StepReply(now entity.Time, reply HeartbeatReply) {
	t.recordStart(now)
	if reply.To != t.config.Self {
		return
	}
	p := t.findPeer(reply.From)
	if p == nil {
		t.handleProbeReply(reply)
		return
	}
	request, ok := p.findRequest(reply.Sequence)
	if !ok || reply.Incarnation < p.incarnation || len(reply.Members) > maxReplyMembers {
		return
	}
	t.recordContact(now, p, reply.Incarnation, reply.Draining)
	if request.inHomeCell {
		t.recordConfirmation(now, p, request.sent)
	}
	if !t.recordMembers(now, reply, request) || reply.Grant <= 0 {
		return
	}
	until := request.sent.Add(usableGrant(reply.Grant))
	p.orderedGrants.extend(request.sent, until)
	if reply.AllDatabases {
		p.allGrants.extend(request.sent, until)
	}
}

// recordMembers records the members that the replier names. It reports whether this VM
// knows them all: an empty list stands for the members that this VM had when it sent the
// request, and they may have changed since.
func (t *Table) recordMembers(now entity.Time, reply HeartbeatReply, request pendingRequest) bool {
	for _, m := range reply.Members {
		t.addReported(now, m.VM)
	}
	return len(reply.Members) > 0 || request.digest == t.membersDigest
}

// handleProbeReply ends the probing of a VM that has answered.
func (t *Table) handleProbeReply(reply HeartbeatReply) {
	for i := range t.probes {
		if t.probes[i].name != reply.From || t.probes[i].sequence != reply.Sequence {
			continue
		}
		t.probes = slices.Delete(t.probes, i, i+1)
		t.setSilent(reply.From, false)
		t.setDraining(reply.From, reply.Draining)
		return
	}
}

// usableGrant returns the part of a grant that its holder may use.
func usableGrant(grant time.Duration) time.Duration {
	return grant - grant/clockMarginDivisor
}
