package quota

import (
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Probes of a limiter that does not answer.

// probe finds out whether a candidate can be reached directly or through another proxy. The
// probe tells it which organisations this proxy limited in its place.
func (n *Node) probe(at entity.Time, vm entity.VM, p *peer) {
	if p.probes > 0 {
		return
	}
	p.probes, p.reached = 1, false
	n.send(&call{kind: callProbe, to: vm, target: vm, sentAt: at}, Request{From: n.self, Wants: n.standInReport(at, vm)}, probeTimeout)
	for _, relay := range n.chooseRelays(at, vm) {
		p.probes++
		n.send(&call{kind: callProbe, to: relay, target: vm, sentAt: at}, Request{From: n.self, Relay: vm}, probeTimeout)
	}
}

// standInReport returns the organisations whose first candidate is vm and for which this
// proxy stood in during the last window.
func (n *Node) standInReport(at entity.Time, vm entity.VM) []Want {
	var wants []Want
	for name := range n.limiter.buckets {
		last, ok := n.limiter.lastStandIn(name)
		if ok && at.Sub(last) < n.parameters.Window && len(wants) < maxWants && slices.Contains(n.candidates.of(name), vm) {
			wants = append(wants, Want{Name: name, Limits: n.limiter.buckets[name].limits, Past: []PastGrant{{n.self, at.Sub(last)}}})
		}
	}
	return wants
}

// chooseRelays returns other proxies that answered lately or have not failed.
func (n *Node) chooseRelays(at entity.Time, except entity.VM) []entity.VM {
	var usable []entity.VM
	for vm, p := range n.candidates.peers {
		if vm != n.self && vm != except && p.removedAt == 0 && !p.suspected(at) {
			usable = append(usable, vm)
		}
	}
	slices.Sort(usable)
	for i := range min(relays, len(usable)) {
		j := i + n.random.IntN(len(usable)-i)
		usable[i], usable[j] = usable[j], usable[i]
	}
	return usable[:min(relays, len(usable))]
}

func (n *Node) finishProbe(at entity.Time, c *call, ok bool) {
	p := n.candidates.peers[c.target]
	if p == nil {
		return
	}
	p.probes--
	if ok {
		p.reached, p.deadUntil = true, 0
		if c.to != c.target {
			p.relay, p.relayUntil = c.to, at.Add(relayTime)
		}
	}
	if p.probes > 0 || p.reached {
		return
	}
	if p.deadUntil.Add(probeTimeout) < at {
		p.deadFrom = at
	}
	p.deadUntil = at.Add(deadTime)
	if at.Sub(p.neededAt) < neededTime {
		// Otherwise the next request would wait for a probe.
		n.probe(at, c.target, p)
	}
}
