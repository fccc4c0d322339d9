// Package model runs nodes of the decision core on virtual time against small
// fakes of upstreams, network, store and callers. Tests and measurements use it;
// outcomes are judged at the upstreams.
package model

import (
	"math/rand/v2"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/vtime"
)

// Config describes a model.
type Config struct {
	Seed    uint64
	Proxies int
	// Members is the size of the database group.
	Members int
	// Slots and Connections are the limits of each upstream.
	Slots       int
	Connections int
	// ConnectTime is the time to open a connection, without the network.
	ConnectTime time.Duration
	// ZoneDelay and RegionDelay are one-way delays. Every member and every third
	// proxy share a region.
	ZoneDelay   time.Duration
	RegionDelay time.Duration
	// CallerDelay is the one-way delay between callers and proxies.
	CallerDelay time.Duration
	// Lag is the time after which log entries reach a replica.
	Lag time.Duration
	// ServiceTime is the mean slot time of a statement.
	ServiceTime time.Duration
	// Adjust changes the configuration of each node, if set.
	Adjust func(*core.Config)
	// LossRate is the share of control messages and heartbeats that are lost.
	LossRate float64
}

// Olarizu returns the sizes of Cartonería Olarizu Taller.
func Olarizu(seed uint64) Config {
	return Config{
		Seed: seed, Proxies: 9, Members: 3, Slots: 5, Connections: 35, ConnectTime: 12 * time.Millisecond,
		ZoneDelay: 500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Lag: 100 * time.Millisecond, ServiceTime: 5 * time.Millisecond,
	}
}

// Castellano returns the sizes of Castellano Sticker Works.
func Castellano(seed uint64) Config {
	return Config{
		Seed: seed, Proxies: 9, Members: 3, Slots: 3, Connections: 40, ConnectTime: 30 * time.Millisecond,
		ZoneDelay: 1500 * time.Microsecond, RegionDelay: 12 * time.Millisecond, CallerDelay: 3 * time.Millisecond,
		Lag: 100 * time.Millisecond, ServiceTime: 5 * time.Millisecond,
	}
}

// World is a running model.
type World struct {
	Config  Config
	Now     entity.Time
	Members []*Member
	Proxies []*Proxy
	// StoreDown makes the store answer nothing.
	StoreDown bool

	rng    *rand.Rand
	queue  vtime.Queue[func()]
	cuts   map[[2]string]bool
	claims map[uint64]entity.VM
	checks checks

	listRevision uint64
	leaving      []entity.Upstream
}

// New returns a model whose proxies know the document and each other.
func New(config Config) *World {
	w := &World{
		Config: config,
		Now:    entity.Time(time.Second),
		rng:    rand.New(rand.NewPCG(config.Seed, 1)),
		cuts:   map[[2]string]bool{},
		claims: map[uint64]entity.VM{},

		listRevision: 1,
	}
	w.checks.init()
	for i := range config.Members {
		w.Members = append(w.Members, newMember(w, i))
	}
	w.Members[0].lead(1)
	for i := range config.Proxies {
		w.Proxies = append(w.Proxies, newProxy(w, i))
	}
	for _, p := range w.Proxies {
		p.start()
	}
	return w
}

// After runs a step once the delay has passed.
func (w *World) After(d time.Duration, run func()) { w.after(d, run) }

// after is After for use within the package.
func (w *World) after(d time.Duration, run func()) { w.queue.Push(w.Now.Add(d), run) }

// Run advances the model by d.
func (w *World) Run(d time.Duration) {
	end := w.Now.Add(d)
	for w.queue.NextTime() <= end {
		at, run := w.queue.Pop()
		w.Now = at
		run()
	}
	w.Now = end
}

// delay is the one-way delay between two places with a little jitter.
func (w *World) delay(a, b int) time.Duration {
	d := w.Config.ZoneDelay
	if a%3 != b%3 {
		d = w.Config.RegionDelay
	}
	return d + time.Duration(w.rng.Int64N(int64(d)/10+1))
}

// Cut stops messages between two parties in both directions, Heal lets them
// pass again. Parties are proxies (p1, ...), members (u1, ...) and the store.
func (w *World) Cut(a, b string) { w.cuts[pair(a, b)] = true }

// Heal ends all cuts.
func (w *World) Heal() { clear(w.cuts) }

// Isolate cuts a group of parties from all other proxies and members.
func (w *World) Isolate(names ...string) {
	inside := map[string]bool{}
	for _, n := range names {
		inside[n] = true
	}
	for _, n := range names {
		for _, other := range w.parties() {
			if !inside[other] {
				w.Cut(n, other)
			}
		}
	}
}

func (w *World) parties() []string {
	names := []string{"store"}
	for _, m := range w.Members {
		names = append(names, string(m.name))
	}
	for _, p := range w.Proxies {
		names = append(names, string(p.vm))
	}
	return names
}

func pair(a, b string) [2]string {
	if a > b {
		a, b = b, a
	}
	return [2]string{a, b}
}

func (w *World) isCut(a, b string) bool { return w.cuts[pair(a, b)] }

// datagram delivers a message that may be lost.
func (w *World) datagram(from, to string, d time.Duration, run func()) {
	if w.isCut(from, to) || w.rng.Float64() < w.Config.LossRate {
		return
	}
	w.after(d, func() {
		if !w.isCut(from, to) {
			run()
		}
	})
}

// stream delivers a message on a connection: it is not lost, but it waits for a
// cut to heal, as TCP does.
func (w *World) stream(from, to string, d time.Duration, run func()) {
	w.after(d, func() { w.deliver(from, to, run) })
}

const retransmit = 50 * time.Millisecond

func (w *World) deliver(from, to string, run func()) {
	if w.isCut(from, to) {
		w.after(retransmit, func() { w.deliver(from, to, run) })
		return
	}
	run()
}
