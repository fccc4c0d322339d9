package failover

import (
	"container/heap"
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// nodeID numbers the nodes of a world: members first, then owners, then the store.
type nodeID int

// node is anything that sends and receives messages.
type node struct {
	region int
	dead   bool
	// frozen nodes handle nothing before the instant.
	frozen entity.Time
	// down nodes drop messages, such as a store during an outage.
	down bool
	// refuses is set if a dead node's machine answers that nothing listens.
	refuses bool
}

// Network has the delays and random faults of the messages.
type Network struct {
	// WithinRegion and BetweenRegions are one-way delays.
	WithinRegion   time.Duration
	BetweenRegions time.Duration
	// Connect is the time to open a connection.
	Connect time.Duration
	// Jitter is the largest random extra delay of a message. Messages overtake
	// each other within it.
	Jitter time.Duration
	// Loss and Duplicate are the probabilities per message.
	Loss      float64
	Duplicate float64
	// Spike is the probability that a message is late by up to SpikeDelay.
	Spike      float64
	SpikeDelay time.Duration
}

// Settings describe a world.
type Settings struct {
	Seed    uint64
	Members int
	Owners  int
	Network Network
	Group   group.Config
	// WriteInterval is the time between two writes of an owner; 0 means none.
	WriteInterval time.Duration
	// MajorityAcks writes are acknowledged once a majority holds them.
	MajorityAcks bool
	// ReadInterval is the time between checks of eligibility; 0 means none.
	ReadInterval time.Duration
	// ApplyDelay bounds the random time until a replica applies what it holds.
	ApplyDelay time.Duration
	// ReplicationDelay bounds the random extra delay of replication.
	ReplicationDelay time.Duration
}

// World is a simulated group with its owners and the store.
type World struct {
	settings Settings
	now      entity.Time
	queue    eventQueue
	sequence uint64
	random   *rand.Rand
	nodes    []node
	// cut counts the cuts in force between pairs of nodes.
	cut     map[[2]nodeID]int
	members []*member
	owners  []*owner
	store   *store
	// scenario is a node that has no faults, for the timers of a scenario.
	scenario nodeID
	record   record
}

// NewWorld returns a world in which the first member is primary in term 1.
// Members are spread over regions; owner i is in the region of member i.
func NewWorld(settings Settings) *World {
	w := &World{
		settings: settings,
		random:   rand.New(rand.NewPCG(settings.Seed, 1)),
		cut:      map[[2]nodeID]int{},
		record:   newRecord(settings.Members),
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
	w.scenario = nodeID(len(w.nodes) - 1)
	w.members[0].becomePrimary(1)
	for _, m := range w.members {
		m.term = 1
		w.after(m.id, 0, m.heartbeat)
	}
	return w
}

// RunUntil advances virtual time.
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

// handle runs an event unless its node is dead, and defers it if it is frozen.
func (w *World) handle(e event) {
	n := &w.nodes[e.node]
	if n.dead {
		return
	}
	if n.frozen > w.now {
		e.at = n.frozen
		heap.Push(&w.queue, e)
		return
	}
	if e.from != nil && (w.cut[pair(*e.from, e.node)] > 0 || n.down) {
		return
	}
	e.run()
}

// after runs a node's own timer.
func (w *World) after(id nodeID, d time.Duration, run func()) {
	w.push(event{at: w.now.Add(d), node: id, run: run})
}

func (w *World) push(e event) {
	w.sequence++
	e.sequence = w.sequence
	heap.Push(&w.queue, e)
}

// send delivers a message after the network's delay, if at all.
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
		d += w.upTo(n.SpikeDelay)
	}
	return d + w.upTo(n.Jitter)
}

// upTo returns a random duration of at most d.
func (w *World) upTo(d time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(d) + 1))
}

func pair(a, b nodeID) [2]nodeID { return [2]nodeID{min(a, b), max(a, b)} }

// event is something that a node handles at an instant.
type event struct {
	at       entity.Time
	sequence uint64
	node     nodeID
	// from is the sender of a message, nil for a timer.
	from *nodeID
	run  func()
}

// eventQueue is a heap of events by instant and order of creation.
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
