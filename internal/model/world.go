// Package model simulates proxies, which run nodes of the decision core, on virtual
// time, with small fakes of upstreams, network, store and callers. Tests and
// measurements use it. Guarantees are checked against what the upstreams committed.
package model

import (
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/vtime"
)

// Config describes a simulated cluster.
type Config struct {
	Seed    uint64
	Proxies int
	// Members is the size of the database group.
	Members int
	// Slots and Connections are the maximum numbers of running batches and of open
	// connections of each upstream.
	Slots       int
	Connections int
	// ConnectTime is the time to open a connection, without network delays.
	ConnectTime time.Duration
	// ZoneDelay and RegionDelay are one-way delays, with up to 10% jitter. ZoneDelay
	// is that between members or proxies whose indexes are equal modulo 3, RegionDelay
	// that between others.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// CallerDelay is the one-way delay between callers and proxies.
	CallerDelay time.Duration
	// Lag is the minimum time after which log entries reach a replica.
	Lag time.Duration
	// ServiceTime is the mean time for which a statement occupies a slot.
	ServiceTime time.Duration
	// Adjust changes the configuration of each node before it starts, if set.
	Adjust func(*core.Config)
	// LossRate is the share of datagrams that are lost: heartbeats, replication and
	// control messages, and messages to and from the store.
	LossRate float64
}

// Olarizu returns the configuration of the deployment of Cartonería Olarizu Taller.
func Olarizu(seed uint64) Config {
	return Config{
		Seed: seed, Proxies: 9, Members: 3, Slots: 5, Connections: 35, ConnectTime: 12 * time.Millisecond,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Lag: 100 * time.Millisecond, ServiceTime: 5 * time.Millisecond,
	}
}

// Castellano returns the configuration of the deployment of Castellano Sticker Works.
func Castellano(seed uint64) Config {
	return Config{
		Seed: seed, Proxies: 9, Members: 3, Slots: 3, Connections: 40, ConnectTime: 30 * time.Millisecond,
		ZoneDelay: 1500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Lag: 100 * time.Millisecond, ServiceTime: 5 * time.Millisecond,
	}
}

// World is a simulated cluster with its network, store, callers and virtual clock.
type World struct {
	Config  Config
	Now     entity.Time
	Members []*Member
	Proxies []*Proxy
	// StoreDown makes the store drop all requests.
	StoreDown bool

	rng      *rand.Rand
	queue    vtime.Queue[func()]
	cutLinks map[[2]string]bool
	claims   map[uint64]entity.VM
	checks   checker

	// messageTimes has the times at which messages were sent and delivered, other than
	// heartbeats and replication, while recordsMessages is set.
	messageTimes    []entity.Time
	recordsMessages bool

	// brokenStream is the last stream between two proxies that broke. streamNumber counts
	// them.
	brokenStream streamBreak
	streamNumber uint64

	listRevision uint64
	leaving      []entity.Upstream
}

// New returns a cluster whose proxies have the document and the list of VMs. The
// first member is the primary.
func New(config Config) *World {
	w := &World{
		Config:   config,
		Now:      entity.Time(time.Second),
		rng:      rand.New(rand.NewPCG(config.Seed, 1)),
		cutLinks: map[[2]string]bool{},
		claims:   map[uint64]entity.VM{},

		listRevision: 1,
	}
	w.checks.reset()
	for i := range config.Members {
		w.Members = append(w.Members, newMember(w, i))
	}
	w.Members[0].becomePrimary(1)
	for i := range config.Proxies {
		w.Proxies = append(w.Proxies, newProxy(w, i))
	}
	for _, p := range w.Proxies {
		p.start()
	}
	return w
}

// After calls fn after the delay d.
func (w *World) After(d time.Duration, fn func()) { w.after(d, fn) }

func (w *World) after(d time.Duration, fn func()) { w.queue.Push(w.Now.Add(d), fn) }

// Run advances the virtual clock by d and runs the events until then.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for w.queue.NextTime() <= end {
		at, fn := w.queue.Pop()
		w.Now = at
		fn()
	}
	w.Now = end
}

// delay returns the one-way delay, with jitter, between the endpoints of two indexes.
func (w *World) delay(a, b int) time.Duration {
	d := w.Config.ZoneDelay
	if a%3 != b%3 {
		d = w.Config.RegionDelay
	}
	return d + time.Duration(w.rng.Int64N(int64(d)/10+1))
}

// Cut stops messages between two endpoints in both directions until Heal. Endpoints
// are proxies (p1, ...), members (u1, ...) and the store.
func (w *World) Cut(a, b string) { w.cutLinks[linkKey(a, b)] = true }

// Heal restores all links.
func (w *World) Heal() { clear(w.cutLinks) }

// Isolate cuts a group of endpoints off from all others, including the store.
func (w *World) Isolate(names ...string) {
	inside := map[string]bool{}
	for _, n := range names {
		inside[n] = true
	}
	for _, n := range names {
		for _, other := range w.endpoints() {
			if !inside[other] {
				w.Cut(n, other)
			}
		}
	}
}

func (w *World) endpoints() []string {
	names := []string{"store"}
	for _, m := range w.Members {
		names = append(names, string(m.name))
	}
	for _, p := range w.Proxies {
		names = append(names, string(p.vm))
	}
	return names
}

func linkKey(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *World) isCut(a, b string) bool { return w.cutLinks[linkKey(a, b)] }

// sendDatagram calls fn after the delay d, unless the link is cut when the message is
// sent or received, or the message is lost at random.
func (w *World) sendDatagram(from, to string, d time.Duration, fn func()) {
	if w.isCut(from, to) || w.rng.Float64() < w.Config.LossRate {
		return
	}
	w.after(d, func() {
		if !w.isCut(from, to) {
			fn()
		}
	})
}

// sendOnStream calls fn after the delay d and once the link is not cut. Messages on a
// connection are not lost, since TCP retransmits them.
func (w *World) sendOnStream(from, to string, d time.Duration, fn func()) {
	w.recordMessage()
	sent := w.Now
	w.after(d, func() { w.deliverOnStream(from, to, sent, fn) })
}

// streamBreak is the end of a stream between two endpoints. What was sent on it before
// arrives late.
type streamBreak struct {
	link [2]string
	// at is the time of the break, deliveredAt that at which the messages arrive.
	at, deliveredAt entity.Time
}

// BreakStream ends the stream on which a proxy forwards requests to an owner. The proxy
// notices at once and uses a new stream. What was sent on the old one, and the news of
// its end, reach the owner after the delay.
func (w *World) BreakStream(from, owner *Proxy, delay time.Duration) {
	w.brokenStream = streamBreak{linkKey(from.Name(), owner.Name()), w.Now, w.Now.Add(delay)}
	ended := w.streamNumber
	w.streamNumber++
	from.postPeerLost(owner, false)
	w.after(delay+time.Millisecond, func() {
		owner.post(func(in *core.Inputs) {
			in.PeersDown = append(in.PeersDown, core.PeerDown{Peer: from.vm, Inbound: true, Stream: ended})
		})
	})
}

// recordMessage records that a message is sent or delivered now.
func (w *World) recordMessage() {
	if w.recordsMessages {
		w.messageTimes = append(w.messageTimes, w.Now)
	}
}

const retransmitInterval = 50 * time.Millisecond

func (w *World) deliverOnStream(from, to string, sent entity.Time, fn func()) {
	if b := &w.brokenStream; b.link == linkKey(from, to) && sent < b.at && w.Now < b.deliveredAt {
		w.after(b.deliveredAt.Sub(w.Now), func() { w.deliverOnStream(from, to, sent, fn) })
		return
	}
	if w.isCut(from, to) {
		w.after(retransmitInterval, func() { w.deliverOnStream(from, to, sent, fn) })
		return
	}
	w.recordMessage()
	fn()
}
