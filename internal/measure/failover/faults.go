package failover

import (
	"math/rand/v2"
	"time"
)

// Kill stops a member until Restart. Its log and term are kept.
func (w *World) Kill(member int) { w.nodes[member].dead = true }

// Refuse makes connects to a killed member fail at once instead of timing out.
func (w *World) Refuse(member int) { w.nodes[member].refuses = true }

// Restart starts a killed or running member as a replica, with its log and term.
func (w *World) Restart(member int) {
	m := w.members[member]
	w.nodes[member].dead = false
	m.primary = false
	m.fencedBy = noPromoter
	m.epoch++
	w.after(m.id, 0, m.heartbeat)
}

// FreezeMember stops a member for a while; messages wait for it.
func (w *World) FreezeMember(member int, d time.Duration) { w.freeze(nodeID(member), d) }

// FreezeOwner stops an owner for a while; messages and timers wait for it.
func (w *World) FreezeOwner(owner int, d time.Duration) { w.freeze(w.owners[owner].id, d) }

func (w *World) freeze(id nodeID, d time.Duration) {
	w.nodes[id].frozen = max(w.nodes[id].frozen, w.now.Add(d))
}

// StallPromotion freezes an owner just before it sends its next promotion; the
// request leaves when the owner wakes.
func (w *World) StallPromotion(owner int, d time.Duration) { w.owners[owner].stall = d }

// PartFence lets only one member get an owner's next fence: the owner is cut off
// from the others for a while.
func (w *World) PartFence(owner int, d time.Duration) { w.owners[owner].partFence = d }

// Isolate cuts members and owners off from all other nodes for a while.
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
				w.cutFor(nodeID(a), nodeID(b), d)
			}
		}
	}
}

// CutMembers stops messages between two members for a while.
func (w *World) CutMembers(a, b int, d time.Duration) { w.cutFor(nodeID(a), nodeID(b), d) }

// CutOwner stops messages between an owner and a member for a while.
func (w *World) CutOwner(owner, member int, d time.Duration) {
	w.cutFor(w.owners[owner].id, nodeID(member), d)
}

func (w *World) cutFor(a, b nodeID, d time.Duration) {
	w.cut[pair(a, b)]++
	w.after(w.scenario, d, func() { w.cut[pair(a, b)]-- })
}

// StoreOutage makes the store drop all requests for a while.
func (w *World) StoreOutage(d time.Duration) {
	w.nodes[w.store.id].down = true
	w.after(w.scenario, d, func() { w.nodes[w.store.id].down = false })
}

// SilenceConnection makes an owner's kept control connection to a member
// unresponsive until the next new connection.
func (w *World) SilenceConnection(owner, member int) { w.owners[owner].silent[member] = true }

// Heal ends the loss of messages and restarts dead members. Cuts and freezes end
// by themselves.
func (w *World) Heal() {
	n := &w.settings.Network
	n.Loss, n.Duplicate, n.Spike = 0, 0, 0
	for i := range w.members {
		if w.nodes[i].dead {
			w.Restart(i)
		}
	}
}

// Primary returns the member that was promoted in the highest term.
func (w *World) Primary() int {
	best := w.record.terms[0]
	for _, r := range w.record.terms {
		if r.term > best.term {
			best = r
		}
	}
	return int(best.primary)
}

// Pauses freezes every member and started owner again and again, for length and
// on average once per interval each.
func (w *World) Pauses(length, interval time.Duration) {
	for id := range w.nodes[:len(w.members)+len(w.owners)] {
		w.pauseLater(nodeID(id), length, interval)
	}
}

func (w *World) pauseLater(id nodeID, length, interval time.Duration) {
	wait := time.Duration(w.random.ExpFloat64() * float64(interval))
	w.after(w.scenario, wait, func() {
		w.freeze(id, length)
		w.pauseLater(id, length, interval)
	})
}

// chaosDelay and chaosLength bound the time between the faults of Chaos and the
// length of each. Several faults overlap, and the longest outlast a promotion.
const (
	chaosDelay  = 900 * time.Millisecond
	chaosLength = 2500 * time.Millisecond
)

// InjectRandomFaults applies random faults, most of them to the current primary, and returns
// when the last one has ended.
func (w *World) InjectRandomFaults(seed uint64, faults int) {
	random := rand.New(rand.NewPCG(seed, 2))
	for range faults {
		w.RunUntil(w.now.Add(time.Duration(random.Int64N(int64(chaosDelay)))))
		w.randomFault(random)
	}
	w.RunUntil(w.now.Add(chaosLength))
}

func (w *World) randomFault(random *rand.Rand) {
	d := 100*time.Millisecond + time.Duration(random.Int64N(int64(chaosLength-100*time.Millisecond)))
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
		w.after(w.scenario, d, func() { w.Restart(primary) })
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
		w.StallPromotion(owner, d)
		w.FreezeMember(primary, d)
	case 14:
		w.PartFence(owner, d)
		w.FreezeMember(primary, d)
	}
}
