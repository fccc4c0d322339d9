package membership

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// stepInterval is the simulated time of one step.
const stepInterval = 5 * time.Millisecond

// packet is a message in flight. Either request or reply is set; at is when it
// arrives.
type packet struct {
	at      entity.Time
	request *HeartbeatRequest
	reply   *HeartbeatReply
}

// node is one VM of the simulated network. Its clock runs at clockRate and differs from
// the world's by clockOffset.
type node struct {
	table       *Table
	name        entity.VM
	clockOffset entity.Time
	clockRate   float64
	pausedUntil entity.Time
	// listVersion is the index in world.lists of the list that the node uses.
	listVersion int
	// listFrozen nodes get no new list.
	listFrozen bool
	// nextList is the earliest world time at which the node gets the next list.
	nextList entity.Time
	isUp     bool
}

// acknowledgement records that a VM could acknowledge a write.
type acknowledgement struct {
	at       entity.Time
	vm       entity.VM
	database entity.Database
}

// world is a simulated network of VMs with delay, loss, duplication, pauses, partitions,
// clocks that run at different rates, and lists that reach each VM at another time.
type world struct {
	random           *rand.Rand
	config           Config
	now              entity.Time
	nodes            []*node
	lists            [][]ListedVM
	packets          []packet
	databases        []entity.Database
	acknowledgements []acknowledgement
	lossRate         float64
	maxDelay         time.Duration
	maxListLag       time.Duration
	incarnations     uint64
	exclusiveCount   int
	// faultPeriod is the mean number of steps between faults.
	faultPeriod int
	// cutLinks holds the pairs of VMs that can't reach each other, the lower name
	// first.
	cutLinks map[[2]entity.VM]bool
}

// newWorld starts a world with shorter timeouts and smaller cells than the default.
func newWorld(seed uint64, vms, databases int) *world {
	w := &world{random: rand.New(rand.NewPCG(seed, 1)), maxDelay: 20 * time.Millisecond, lossRate: 0.01, maxListLag: time.Second}
	w.config = DefaultConfig("", 0)
	w.config.SettleTime = 700 * time.Millisecond
	w.config.QuorumLease = 1500 * time.Millisecond
	w.config.RetireAfter = 2 * time.Second
	w.config.Candidates = 8
	var list []ListedVM
	for i := range vms {
		list = append(list, vmRow(i))
	}
	w.lists = [][]ListedVM{list}
	for i := range databases {
		w.databases = append(w.databases, entity.Database(fmt.Sprintf("db%d", i)))
	}
	for i := range vms {
		w.startNode(list[i].VM)
	}
	return w
}

// vmRow returns the list row of the VM with a number.
func vmRow(i int) ListedVM {
	return ListedVM{VM: entity.VM(fmt.Sprintf("vm%02d", i)), AvailabilityZone: fmt.Sprintf("zone%d", i%3)}
}

// startNode starts a VM, or restarts it with an empty table and another clock.
func (w *world) startNode(name entity.VM) {
	w.incarnations++
	config := w.config
	config.Self, config.Incarnation = name, w.incarnations
	n := w.findNode(name)
	if n == nil {
		n = &node{name: name, clockRate: 0.99 + 0.02*w.random.Float64()}
		w.nodes = append(w.nodes, n)
	}
	n.clockOffset = entity.Time(w.random.Int64N(int64(time.Hour)))
	n.table, n.isUp, n.pausedUntil = New(config, w.random.Uint64()), true, 0
	n.listVersion = max(0, len(w.lists)-1-w.random.IntN(2))
	n.table.Update(n.toLocal(w.now), w.lists[n.listVersion])
}

func (w *world) findNode(name entity.VM) *node {
	i := slices.IndexFunc(w.nodes, func(n *node) bool { return n.name == name })
	if i < 0 {
		return nil
	}
	return w.nodes[i]
}

// toLocal converts world time to the node's clock.
func (n *node) toLocal(t entity.Time) entity.Time {
	return n.clockOffset + entity.Time(n.clockRate*float64(t))
}

// toWorld converts the node's clock to world time.
func (n *node) toWorld(t entity.Time) entity.Time {
	return entity.Time(float64(t-n.clockOffset) / n.clockRate)
}

func (n *node) isRunning(now entity.Time) bool { return n.isUp && n.pausedUntil <= now }

// step advances the world by stepInterval.
func (w *world) step() {
	w.now = w.now.Add(stepInterval)
	w.deliver()
	for _, n := range w.nodes {
		if !n.isRunning(w.now) {
			continue
		}
		w.refreshList(n)
		n.table.Tick(n.toLocal(w.now))
		w.send(n)
	}
}

// refreshList gives the node the next list if that is due.
func (w *world) refreshList(n *node) {
	if n.listVersion == len(w.lists)-1 || w.now < n.nextList || n.listFrozen {
		return
	}
	n.listVersion++
	n.nextList = w.now.Add(time.Duration(w.random.Int64N(int64(w.maxListLag))))
	n.table.Update(n.toLocal(w.now), w.lists[n.listVersion])
}

// deliver delivers the packets that are due.
func (w *world) deliver() {
	due := w.packets
	w.packets = nil
	for _, p := range due {
		if p.at > w.now {
			w.packets = append(w.packets, p)
			continue
		}
		w.deliverOne(p)
	}
}

// deliverOne delivers a packet, drops it if the link is cut or the receiver down, or
// delays it while the receiver is paused.
func (w *world) deliverOne(p packet) {
	to, from := w.endpoints(p)
	if to == nil || !to.isUp || w.isCut(to.name, from.name) {
		return
	}
	if to.pausedUntil > w.now {
		p.at = to.pausedUntil
		w.packets = append(w.packets, p)
		return
	}
	if p.request != nil {
		to.table.StepHeartbeat(to.toLocal(w.now), *p.request)
	} else {
		to.table.StepReply(to.toLocal(w.now), *p.reply)
	}
	w.send(to)
}

func (w *world) isCut(a, b entity.VM) bool { return w.cutLinks[[2]entity.VM{min(a, b), max(a, b)}] }

// cutPairs cuts the links of the pairs for which isCut returns true and restores all
// others.
func (w *world) cutPairs(isCut func(a, b entity.VM) bool) {
	w.cutLinks = map[[2]entity.VM]bool{}
	for i, n := range w.nodes {
		for _, m := range w.nodes[:i] {
			if isCut(n.name, m.name) {
				w.cutLinks[[2]entity.VM{min(n.name, m.name), max(n.name, m.name)}] = true
			}
		}
	}
}

// endpoints returns the receiver and the sender of a packet.
func (w *world) endpoints(p packet) (to, from *node) {
	if p.request != nil {
		return w.findNode(p.request.To), w.findNode(p.request.From)
	}
	return w.findNode(p.reply.To), w.findNode(p.reply.From)
}

// send puts the node's queued messages on the network.
func (w *world) send(n *node) {
	out := n.table.Ready()
	for _, r := range out.Requests {
		w.enqueue(packet{request: &r})
	}
	for _, r := range out.Replies {
		w.enqueue(packet{reply: &r})
	}
}

// enqueue puts a packet on the network, which may lose, duplicate and delay it.
func (w *world) enqueue(p packet) {
	copies := 1
	if w.random.Float64() < 0.02 {
		copies = 2
	}
	for range copies {
		if w.random.Float64() < w.lossRate {
			continue
		}
		p.at = w.now.Add(time.Duration(w.random.Int64N(int64(w.maxDelay) + 1)))
		w.packets = append(w.packets, p)
	}
}

// acknowledge lets a node act as owner of a database, and records whether it may
// acknowledge a write.
func (w *world) acknowledge(n *node, database entity.Database) bool {
	_, ok := n.table.MayAcknowledge(n.toLocal(w.now), database)
	if ok {
		w.acknowledgements = append(w.acknowledgements, acknowledgement{at: w.now, vm: n.name, database: database})
	}
	return ok
}

// findViolation returns a violation of the main property: a VM is exclusive while another
// one may acknowledge, or has acknowledged since the time that Exclusive returns.
func (w *world) findViolation() string {
	for _, d := range w.databases {
		for _, n := range w.nodes {
			if !n.isUp {
				continue
			}
			since, ok := n.table.Exclusive(n.toLocal(w.now), d)
			if !ok {
				continue
			}
			w.exclusiveCount++
			if violation := w.findExclusiveViolation(n, d, n.toWorld(since)); violation != "" {
				return violation
			}
		}
	}
	return ""
}

// findExclusiveViolation returns a violation by another VM while n is exclusive.
func (w *world) findExclusiveViolation(n *node, d entity.Database, since entity.Time) string {
	for _, m := range w.nodes {
		if m == n || !m.isUp {
			continue
		}
		if _, ok := m.table.mayAcknowledge(m.toLocal(w.now), databaseHash(d)); ok {
			return fmt.Sprintf("at %v %s is exclusive for %s while %s may acknowledge", time.Duration(w.now), n.name, d, m.name)
		}
	}
	for i := len(w.acknowledgements) - 1; i >= 0 && w.acknowledgements[i].at > since; i-- {
		if a := w.acknowledgements[i]; a.database == d && a.vm != n.name {
			return fmt.Sprintf("at %v %s is exclusive for %s since %v, but %s acknowledged at %v",
				time.Duration(w.now), n.name, d, time.Duration(since), a.vm, time.Duration(a.at))
		}
	}
	return ""
}
