package failover

import (
	"math/rand/v2"
	"time"
)

// Kill stops a member until Restart. Its log and term are kept.
func (w *World) Kill(member int) { w.nodes[member].dead = true }

// RefuseConnections makes connection attempts to a killed member fail immediately
// instead of timing out.
func (w *World) RefuseConnections(member int) { w.nodes[member].refusesConnections = true }

// Restart starts a killed member, or restarts a running one, as a replica that keeps
// its log and term.
func (w *World) Restart(member int) {
	m := w.members[member]
	w.nodes[member].dead = false
	m.primary = false
	m.fencedBy = noPromoter
	m.epoch++
	w.setTimer(m.id, 0, m.heartbeat)
}

// FreezeMember suspends a member for d. Its messages and timers are delayed until then.
func (w *World) FreezeMember(member int, d time.Duration) { w.freeze(nodeID(member), d) }

// FreezeOwner suspends an owner for d. Its messages and timers are delayed until then.
func (w *World) FreezeOwner(owner int, d time.Duration) { w.freeze(w.owners[owner].id, d) }

func (w *World) freeze(id nodeID, d time.Duration) {
	w.nodes[id].frozenUntil = max(w.nodes[id].frozenUntil, w.now.Add(d))
}

// FreezeBeforePromotion suspends an owner for d just before it sends its next promote
// request, which it sends when it resumes.
func (w *World) FreezeBeforePromotion(owner int, d time.Duration) {
	w.owners[owner].promotionFreeze = d
}

// IsolateAfterFence cuts an owner off from the other members for d as soon as one member
// receives its next fence request.
func (w *World) IsolateAfterFence(owner int, d time.Duration) { w.owners[owner].fenceIsolation = d }

// Isolate partitions the network for d: the given members and owners can reach each
// other but no other node.
func (w *World) Isolate(members, owners []int, d time.Duration) {
	inside := map[nodeID]bool{}
	for _, m := range members {
		inside[nodeID(m)] = true
	}
	for _, o := range owners {
		inside[w.owners[o].id] = true
	}
	for a := range w.nodes {
		for b := range a {
			if inside[nodeID(a)] != inside[nodeID(b)] {
				w.cutLink(nodeID(a), nodeID(b), d)
			}
		}
	}
}

// CutMembers drops messages between two members for d.
func (w *World) CutMembers(a, b int, d time.Duration) { w.cutLink(nodeID(a), nodeID(b), d) }

// CutOwner drops messages between an owner and a member for d.
func (w *World) CutOwner(owner, member int, d time.Duration) {
	w.cutLink(w.owners[owner].id, nodeID(member), d)
}

func (w *World) cutLink(a, b nodeID, d time.Duration) {
	w.activeCuts[pair(a, b)]++
	w.setTimer(w.scenarioNode, d, func() { w.activeCuts[pair(a, b)]-- })
}

// StoreOutage makes the store drop all requests for d.
func (w *World) StoreOutage(d time.Duration) {
	w.nodes[w.store.id].down = true
	w.setTimer(w.scenarioNode, d, func() { w.nodes[w.store.id].down = false })
}

// SilenceConnection makes an owner's persistent control connection to a member
// unresponsive until the owner opens a new one.
func (w *World) SilenceConnection(owner, member int) { w.owners[owner].unresponsive[member] = true }

// Heal ends message loss, duplicates and delay spikes, and restarts killed members.
// Cuts and freezes end on their own.
func (w *World) Heal() {
	n := &w.settings.Network
	n.Loss, n.Duplicate, n.Spike = 0, 0, 0
	for i := range w.members {
		if w.nodes[i].dead {
			w.Restart(i)
		}
	}
}

// Primary returns the index of the member promoted in the highest term.
func (w *World) Primary() int {
	best := w.record.terms[0]
	for _, r := range w.record.terms {
		if r.term > best.term {
			best = r
		}
	}
	return int(best.primary)
}

// SchedulePauses freezes every member and owner repeatedly, each time for length. The
// time between two pauses of a node is exponentially distributed with mean interval.
func (w *World) SchedulePauses(length, interval time.Duration) {
	for id := range w.nodes[:len(w.members)+len(w.owners)] {
		w.schedulePause(nodeID(id), length, interval)
	}
}

func (w *World) schedulePause(id nodeID, length, interval time.Duration) {
	wait := time.Duration(w.random.ExpFloat64() * float64(interval))
	w.setTimer(w.scenarioNode, wait, func() {
		w.freeze(id, length)
		w.schedulePause(id, length, interval)
	})
}

// maxFaultDelay and maxFaultDuration bound the time between random faults and the
// duration of each. Several faults overlap, and the longest outlast a promotion.
const (
	maxFaultDelay    = 900 * time.Millisecond
	maxFaultDuration = 2500 * time.Millisecond
)

// InjectRandomFaults injects random faults, most of them at the current primary, and
// advances time until the last one has ended.
func (w *World) InjectRandomFaults(seed uint64, faults int) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range faults {
		w.RunUntil(w.now.Add(time.Duration(random.Int64N(int64(maxFaultDelay)))))
		w.randomFault(random)
	}
	w.RunUntil(w.now.Add(maxFaultDuration))
}

func (w *World) randomFault(random *rand.Rand) {
	d := 100*time.Millisecond + time.Duration(random.Int64N(int64(maxFaultDuration-100*time.Millisecond)))
	primary := w.Primary()
	member := random.IntN(len(w.members))
	owner := random.IntN(len(w.owners))
	switch random.IntN(15) {
	case 0:
		w.Isolate([]int{primary}, []int{owner}, d)
	case 1:
		w.Isolate([]int{primary, member}, []int{owner}, d)
	case 2:
		w.Isolate([]int{member}, nil, d)
	case 3:
		w.FreezeMember(primary, d)
	case 4:
		w.FreezeMember(member, d)
	case 5:
		w.FreezeOwner(owner, d)
	case 6:
		w.Kill(primary)
		w.setTimer(w.scenarioNode, d, func() { w.Restart(primary) })
	case 7:
		w.Restart(primary)
	case 8:
		w.Restart(member)
	case 9:
		w.CutOwner(owner, primary, d)
	case 10:
		w.CutMembers(primary, member, d)
	case 11:
		w.StoreOutage(d)
	case 12:
		w.SilenceConnection(owner, member)
	case 13:
		w.FreezeBeforePromotion(owner, d)
		w.FreezeMember(primary, d)
	case 14:
		w.IsolateAfterFence(owner, d)
		w.FreezeMember(primary, d)
	}
}
