package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

const (
	// removedRetention is how long a removed proxy stays a candidate while it answers. Other
	// proxies may have a list that is 8 s old and still ask it.
	removedRetention = 10 * time.Second
	// removedGrace is how long a removed proxy that does not answer stays a candidate.
	// Entries that expired during a store outage are back within 2 s.
	removedGrace = 2500 * time.Millisecond
	// newTime is the time after its start for which a proxy leaves the limiting to older
	// ones. Other proxies may have a list that is 8 s old and not know it.
	newTime = 10 * time.Second
	// minAge is the age below which a proxy never acts as a limiter. Below maxGrowth it does
	// not either while its list grows, that is until no update has added more than
	// 1/growthParts of the list for settleTime: when a fleet starts, the lists are complete
	// after about 2 s, and a proxy that knows only some others would be the first for too
	// many organisations.
	minAge      = 250 * time.Millisecond
	settleTime  = 250 * time.Millisecond
	maxGrowth   = time.Second
	growthParts = 50
	// maxCandidates is the number of candidates that are considered for an organisation. If
	// all of them have just started, the whole fleet has.
	maxCandidates = 8
	// maxOrders bounds the organisations whose candidates are kept in order.
	maxOrders = 1 << 16
	// suspicionTime is how long a proxy that did not answer is not asked again. It doubles
	// with each failure up to maxSuspicionTime: meanwhile the second candidate forwards to it.
	suspicionTime    = time.Second
	maxSuspicionTime = 8 * time.Second
	// relayTime is how long a working relay is used for a proxy that does not answer directly.
	relayTime = time.Second
	// deadTime is how long a proxy counts as failed after neither this proxy nor two relays
	// reached it. It bounds the time for which two limiters grant tokens.
	deadTime = 150 * time.Millisecond
	// neededTime is how long a failed proxy is probed after it was last needed.
	neededTime = 10 * time.Second
)

// peer is what a proxy knows of another one.
type peer struct {
	// update is the number of the last update that listed the proxy.
	update uint64
	// removedAt is when the proxy vanished from the list, 0 if it is listed.
	removedAt            entity.Time
	newUntil             entity.Time
	answeredAt, failedAt entity.Time
	relay                entity.VM
	relayUntil           entity.Time
	// deadFrom and deadUntil bound the time in which neither this proxy nor its relays reached
	// the peer.
	deadFrom, deadUntil entity.Time
	// neededAt is when the peer was last a candidate before this proxy.
	neededAt entity.Time
	// probes is the number of probes in flight, reached whether one of them was answered.
	probes  int
	reached bool
	// failures is the number of requests without an answer since the last answer.
	failures int
	// asking is the request for tokens in flight of this proxy's holder, nil if there is
	// none.
	asking *call
	// pinged is set once this proxy, being new, has asked whether the peer is new.
	pinged bool
}

// late reports whether an answer is overdue.
func (p *peer) late(at entity.Time) bool {
	return p.asking != nil && at.Sub(p.asking.sentAt) >= hedgeTime
}

// suspected reports whether the proxy failed to answer lately.
func (p *peer) suspected(at entity.Time) bool {
	return at < p.suspectedUntil()
}

func (p *peer) suspectedUntil() entity.Time {
	if p.failures == 0 {
		return 0
	}
	return p.failedAt.Add(min(suspicionTime<<min(p.failures-1, 3), maxSuspicionTime))
}

func (p *peer) recordAnswer(at entity.Time) { p.answeredAt, p.failures, p.deadUntil = at, 0, 0 }

func (p *peer) recordFailure(at entity.Time) {
	p.failedAt = at
	p.failures++
}

// candidates orders the proxies for each organisation.
type candidates struct {
	self  entity.VM
	peers map[entity.VM]*peer
	order map[organisation.Name][]entity.VM
	// updates is the number of updates of the list.
	updates uint64
	// grownAt is when an update last added a good part of the list.
	grownAt entity.Time
}

func newCandidates(self entity.VM) *candidates {
	return &candidates{self: self, peers: map[entity.VM]*peer{}, order: map[organisation.Name][]entity.VM{}}
}

// weight returns the rendezvous hash of a proxy for an organisation.
func weight(vm entity.VM, name organisation.Name) uint64 {
	return xxhash.Sum64String("quota " + string(vm) + " " + string(name))
}

// update replaces the list. It reports whether the candidates changed.
func (c *candidates) update(at entity.Time, listed []entity.VM) bool {
	changed := false
	c.updates++
	added := 0
	for _, vm := range listed {
		p, known := c.peers[vm]
		if !known {
			p = &peer{}
			c.peers[vm] = p
			added++
			changed = true
		}
		p.update, p.removedAt = c.updates, 0
	}
	for vm, p := range c.peers {
		if p.update == c.updates {
			continue
		}
		if p.removedAt == 0 {
			p.removedAt = at
		}
		gone := at.Sub(p.removedAt)
		if gone > removedRetention || gone > removedGrace && p.failures > 0 {
			delete(c.peers, vm)
			changed = true
		}
	}
	if added*growthParts > len(listed) {
		c.grownAt = at
	}
	if changed {
		clear(c.order)
	}
	return changed
}

// of returns the candidates of an organisation, the first one first.
func (c *candidates) of(name organisation.Name) []entity.VM {
	if order, ok := c.order[name]; ok {
		return order
	}
	if len(c.order) >= maxOrders {
		clear(c.order)
	}
	type weighted struct {
		vm     entity.VM
		weight uint64
	}
	all := make([]weighted, 0, len(c.peers))
	for vm := range c.peers {
		all = append(all, weighted{vm, weight(vm, name)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		if r := cmp.Compare(b.weight, a.weight); r != 0 {
			return r
		}
		return cmp.Compare(a.vm, b.vm)
	})
	order := make([]entity.VM, 0, maxCandidates)
	for _, w := range all[:min(len(all), maxCandidates)] {
		order = append(order, w.vm)
	}
	c.order[name] = order
	return order
}

// active returns the candidates, those that have just started last. The first settled of them
// have not.
func (c *candidates) active(at entity.Time, name organisation.Name, buffer []entity.VM) (ordered []entity.VM, settled int) {
	order := c.of(name)
	ordered = buffer[:0]
	for _, vm := range order {
		if c.peers[vm].newUntil <= at {
			ordered = append(ordered, vm)
		}
	}
	settled = len(ordered)
	for _, vm := range order {
		if c.peers[vm].newUntil > at {
			ordered = append(ordered, vm)
		}
	}
	return ordered, settled
}
