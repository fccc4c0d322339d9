package failover

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// nodeID is the index of a node in World.nodes: members first, then owners, the store
// and the scenario node.
type nodeID int

// node is the network and fault state of a member, an owner or the store.
type node struct {
	region int
	dead   bool
	// frozenUntil is the time until which the node handles no events.
	frozenUntil entity.Time
	// down is set while the node drops all messages, as the store during an outage.
	down bool
	// refusesConnections is set if connection attempts to the dead node are refused
	// rather than time out.
	refusesConnections bool
}

// Network has the delays and the random faults of messages.
type Network struct {
	// WithinRegion and BetweenRegions are one-way delays.
	WithinRegion   time.Duration
	BetweenRegions time.Duration
	// Connect is the time to open a connection.
	Connect time.Duration
	// Jitter is the maximum random extra delay of a message. It can reorder messages.
	Jitter time.Duration
	// Loss and Duplicate are the probabilities per message.
	Loss      float64
	Duplicate float64
	// Spike is the probability that a message is delayed by up to SpikeDelay more.
	Spike      float64
	SpikeDelay time.Duration
}

// Settings configures a World.
type Settings struct {
	Seed    uint64
	Members int
	Owners  int
	Network Network
	Group   group.Config
	// WriteInterval is the time between two writes of an owner; 0 means no writes.
	WriteInterval time.Duration
	// MajorityAcks is set if writes are acknowledged only once a majority of members
	// has them.
	MajorityAcks bool
	// ReadInterval is the time between two checks of read eligibility; 0 means no
	// checks.
	ReadInterval time.Duration
	// ApplyDelay is the maximum random time until a replica applies what it received.
	ApplyDelay time.Duration
	// ReplicationDelay is the maximum random extra delay of a replication message.
	ReplicationDelay time.Duration
}

// World is the simulation of a database group, its owners and the store.
type World struct {
	settings Settings
	now      entity.Time
	queue    eventQueue
	sequence uint64
	random   *rand.Rand
	nodes    []node
	// activeCuts is the number of active cuts by pair of nodes.
	activeCuts map[[2]nodeID]int
	members    []*member
	owners     []*owner
	store      *store
	// scenarioNode is a node without faults that runs the timers of the scenario.
	scenarioNode nodeID
	record       record
}

// NewWorld returns a world in which the first member is primary in term 1. Each member
// is in a region of its own; owner i is in the region of member i.
func NewWorld(settings Settings) *World {
	w := &World{
		settings:   settings,
		random:     rand.New(rand.NewPCG(settings.Seed, 1)),
		activeCuts: map[[2]nodeID]int{},
		record:     newRecord(settings.Members),
	}
	for i := range settings.Members {
		w.nodes = append(w.nodes, node{region: i})
		w.members = append(w.members, newMember(w, nodeID(i)))
	}
	for i := range settings.Owners {
		w.nodes = append(w.nodes, node{region: i % settings.Members})
		w.owners = append(w.owners, newOwner(w, nodeID(settings.Members+i)))
	}
	w.nodes = append(w.nodes, node{region: settings.Members / 2})
	w.store = &store{id: nodeID(len(w.nodes) - 1), holders: map[uint64]nodeID{}}
	w.nodes = append(w.nodes, node{})
	w.scenarioNode = nodeID(len(w.nodes) - 1)
	w.members[0].becomePrimary(1)
	for _, m := range w.members {
		m.term = 1
		w.setTimer(m.id, 0, m.heartbeat)
	}
	return w
}

// RunUntil runs all events up to end and advances the virtual time to it.
func (w *World) RunUntil(end entity.Time) {
	for len(w.queue) > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		w.handle(e)
	}
	w.now = end
}

// Now returns the virtual time.
func (w *World) Now() entity.Time { return w.now }

// handle runs an event. It drops events of dead nodes and messages over cut links or to
// a node that is down, and defers events of frozen nodes.
func (w *World) handle(e event) {
	n := &w.nodes[e.node]
	if n.dead {
		return
	}
	if n.frozenUntil > w.now {
		e.at = n.frozenUntil
		heap.Push(&w.queue, e)
		return
	}
	if e.from != nil && (w.activeCuts[pair(*e.from, e.node)] > 0 || n.down) {
		return
	}
	e.run()
}

// setTimer calls run on a node after d.
func (w *World) setTimer(id nodeID, d time.Duration, run func()) {
	w.push(event{at: w.now.Add(d), node: id, run: run})
}

func (w *World) push(e event) {
	w.sequence++
	e.sequence = w.sequence
	heap.Push(&w.queue, e)
}

// send calls run on the receiver after the network's delay plus extra. The message may
// be lost or duplicated.
func (w *World) send(from, to nodeID, extra time.Duration, run func()) {
	n := &w.settings.Network
	copies := 1
	if n.Duplicate > 0 && w.random.Float64() < n.Duplicate {
		copies = 2
	}
	for range copies {
		if n.Loss > 0 && w.random.Float64() < n.Loss {
			continue
		}
		w.push(event{at: w.now.Add(extra + w.delay(from, to)), node: to, from: &from, run: run})
	}
}

func (w *World) delay(from, to nodeID) time.Duration {
	n := &w.settings.Network
	d := n.BetweenRegions
	if w.nodes[from].region == w.nodes[to].region {
		d = n.WithinRegion
	}
	if n.Spike > 0 && w.random.Float64() < n.Spike {
		d += w.randomDuration(n.SpikeDelay)
	}
	return d + w.randomDuration(n.Jitter)
}

// randomDuration returns a random duration of at most d.
func (w *World) randomDuration(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

// pair returns the key of a link, which is the same in both directions.
func pair(a, b nodeID) [2]nodeID { return [2]nodeID{min(a, b), max(a, b)} }

// event is a timer or a message that a node handles at a point in time.
type event struct {
	at       entity.Time
	sequence uint64
	node     nodeID
	// from is the sender of a message, nil for a timer.
	from *nodeID
	run  func()
}

// eventQueue is a heap of events ordered by time, then by creation.
type eventQueue []event

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(e any)   { *q = append(*q, e.(event)) }
func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	*q = (*q)[:last]
	return e
}
