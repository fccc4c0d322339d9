package docsync

import (
	"cmp"
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// watchKey is the rendezvous key of the store's watchers.
	watchKey = "skylarkhinge/documents"
	// failuresUntilSilent is the number of unanswered requests in a row after
	// which a peer counts as silent. One may be lost.
	failuresUntilSilent = 2
	// maxFailing bounds the peers with unanswered requests.
	maxFailing = 512
	// standbys is how many VMs after the watchers check them.
	standbys = 2
	// retrySilent is the inverse share of picks that try a silent peer.
	retrySilent = 16
	// pickAttempts bounds the random picks that hit silent peers.
	pickAttempts = 8
)

// peerSet holds the peers in list order and the zone's watch order.
type peerSet struct {
	config Config
	all    []entity.VM
	zone   []entity.VM
	// order is the zone's VMs, this one included, in watch order.
	order    []entity.VM
	position int
	failures map[entity.VM]int
	turn     int
}

func newPeerSet(config Config) peerSet {
	return peerSet{config: config, failures: map[entity.VM]int{}, position: -1}
}

func (p *peerSet) set(peers []Peer) {
	p.all, p.zone, p.order = p.all[:0], p.zone[:0], p.order[:0]
	for _, peer := range peers {
		same := peer.AvailabilityZone == p.config.AvailabilityZone
		if same {
			p.order = append(p.order, peer.VM)
		}
		if peer.VM == p.config.Self {
			continue
		}
		p.all = append(p.all, peer.VM)
		if same {
			p.zone = append(p.zone, peer.VM)
		}
	}
	slices.SortFunc(p.order, func(a, b entity.VM) int {
		return cmp.Or(cmp.Compare(watchScore(b), watchScore(a)), cmp.Compare(a, b))
	})
	p.position = slices.Index(p.order, p.config.Self)
	p.forgetAbsent(peers)
}

func watchScore(vm entity.VM) uint64 { return mix(serviceHash(string(vm)) + serviceHash(watchKey)) }

func (p *peerSet) forgetAbsent(peers []Peer) {
	if len(p.failures) == 0 {
		return
	}
	listed := make(map[entity.VM]bool, len(peers))
	for _, peer := range peers {
		listed[peer.VM] = true
	}
	for vm := range p.failures {
		if !listed[vm] {
			delete(p.failures, vm)
		}
	}
}

func (p *peerSet) silent(vm entity.VM) bool { return p.failures[vm] >= failuresUntilSilent }

func (p *peerSet) fail(vm entity.VM) {
	if _, known := p.failures[vm]; known || len(p.failures) < maxFailing {
		p.failures[vm]++
	}
}

func (p *peerSet) markSilent(vm entity.VM) {
	if _, known := p.failures[vm]; known || len(p.failures) < maxFailing {
		p.failures[vm] = max(p.failures[vm], failuresUntilSilent)
	}
}

func (p *peerSet) heard(vm entity.VM) { delete(p.failures, vm) }

// watching reports whether fewer live VMs than watchers come before this one.
func (p *peerSet) watching() bool {
	if p.position < 0 {
		return false
	}
	before := 0
	for _, vm := range p.order[:min(p.position, p.config.WatchersPerZone+standbys)] {
		if !p.silent(vm) {
			before++
		}
	}
	return p.position < p.config.WatchersPerZone+standbys && before < p.config.WatchersPerZone
}

// pickCompare returns the peer of the next comparison: by turns a random one and
// one of the zone, since most random ones don't answer while the zone is cut off.
// The first VMs of the watch order choose one that comes before them as the latter.
func (p *peerSet) pickCompare(random func() uint64) (entity.VM, bool) {
	p.turn++
	if p.turn%2 != 0 {
		return p.pick(p.all, random)
	}
	if ahead := p.position; ahead > 0 && ahead < p.config.WatchersPerZone+standbys {
		return p.order[p.turn/2%ahead], true
	}
	if vm, ok := p.pick(p.zone, random); ok {
		return vm, true
	}
	return p.pick(p.all, random)
}

// pickSource returns the peer from which a starting VM fetches documents: by
// turns a watcher of the zone, which has them first, and a random one.
func (p *peerSet) pickSource(random func() uint64) (entity.VM, bool) {
	p.turn++
	watchers := min(len(p.order), p.config.WatchersPerZone)
	if p.turn%2 == 0 && watchers > 0 {
		if vm := p.order[random()%uint64(watchers)]; vm != p.config.Self && !p.silent(vm) {
			return vm, true
		}
	}
	return p.pick(p.all, random)
}

func (p *peerSet) pick(from []entity.VM, random func() uint64) (entity.VM, bool) {
	if len(from) == 0 {
		return "", false
	}
	vm := from[random()%uint64(len(from))]
	for range pickAttempts {
		if !p.silent(vm) || random()%retrySilent == 0 {
			break
		}
		vm = from[random()%uint64(len(from))]
	}
	return vm, true
}

// pickFanout returns the peers to which a new document is announced.
func (p *peerSet) pickFanout(random func() uint64) []entity.VM {
	var out []entity.VM
	add := func(from []entity.VM, n int) {
		for range n {
			if vm, ok := p.pick(from, random); ok && !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	add(p.zone, p.config.ZoneFanout)
	add(p.all, p.config.GlobalFanout)
	return out
}
