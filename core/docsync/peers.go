package docsync

import (
	"cmp"
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// watchHashKey is the rendezvous hashing key for the choice of watchers.
	watchHashKey = "skylarkhinge/documents"
	// failuresUntilUnresponsive is the number of consecutive unanswered requests
	// after which a peer counts as unresponsive. A single message may be lost.
	failuresUntilUnresponsive = 2
	// maxTrackedFailures bounds the number of peers with recorded failures.
	maxTrackedFailures = 512
	// standbyCount is the number of VMs after the watchers, in watch order, that
	// check them.
	standbyCount = 2
	// unresponsivePickOdds is the inverse probability with which an unresponsive
	// peer that was picked is kept.
	unresponsivePickOdds = 16
	// maxPickRetries bounds the repeated picks after an unresponsive peer.
	maxPickRetries = 8
)

// peerSet tracks the live peers, their failures and the watch order of the zone.
type peerSet struct {
	config   Config
	others   []entity.VM
	sameZone []entity.VM
	// watchOrder has the VMs of this zone, including this VM, by descending
	// rendezvous hash.
	watchOrder []entity.VM
	selfIndex  int
	failures   map[entity.VM]int
	picks      int
}

func newPeerSet(config Config) peerSet {
	return peerSet{config: config, failures: map[entity.VM]int{}, selfIndex: -1}
}

func (p *peerSet) set(peers []Peer) {
	p.others, p.sameZone, p.watchOrder = p.others[:0], p.sameZone[:0], p.watchOrder[:0]
	for _, peer := range peers {
		inZone := peer.AvailabilityZone == p.config.AvailabilityZone
		if inZone {
			p.watchOrder = append(p.watchOrder, peer.VM)
		}
		if peer.VM == p.config.Self {
			continue
		}
		p.others = append(p.others, peer.VM)
		if inZone {
			p.sameZone = append(p.sameZone, peer.VM)
		}
	}
	slices.SortFunc(p.watchOrder, func(a, b entity.VM) int {
		return cmp.Or(cmp.Compare(watchScore(b), watchScore(a)), cmp.Compare(a, b))
	})
	p.selfIndex = slices.Index(p.watchOrder, p.config.Self)
	p.pruneFailures(peers)
}

func watchScore(vm entity.VM) uint64 {
	return mix64(serviceHash(string(vm)) + serviceHash(watchHashKey))
}

// pruneFailures drops the failures of VMs that are no longer listed.
func (p *peerSet) pruneFailures(peers []Peer) {
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

func (p *peerSet) unresponsive(vm entity.VM) bool { return p.failures[vm] >= failuresUntilUnresponsive }

// recordFailure counts an unanswered request.
func (p *peerSet) recordFailure(vm entity.VM) {
	if _, known := p.failures[vm]; known || len(p.failures) < maxTrackedFailures {
		p.failures[vm]++
	}
}

func (p *peerSet) markUnresponsive(vm entity.VM) {
	if _, known := p.failures[vm]; known || len(p.failures) < maxTrackedFailures {
		p.failures[vm] = max(p.failures[vm], failuresUntilUnresponsive)
	}
}

func (p *peerSet) clearFailures(vm entity.VM) { delete(p.failures, vm) }

// watching reports whether this VM is a watcher: fewer than WatchersPerZone
// responsive VMs precede it in watch order.
func (p *peerSet) watching() bool {
	if p.selfIndex < 0 {
		return false
	}
	preceding := 0
	for _, vm := range p.watchOrder[:min(p.selfIndex, p.config.WatchersPerZone+standbyCount)] {
		if !p.unresponsive(vm) {
			preceding++
		}
	}
	return p.selfIndex < p.config.WatchersPerZone+standbyCount && preceding < p.config.WatchersPerZone
}

// pickCompare returns the peer for the next comparison. It alternates between a
// random peer and one of the same zone, since most random peers do not answer while
// the zone is partitioned from the others. In the zone, watchers and standbys pick a VM that
// precedes them in watch order.
func (p *peerSet) pickCompare(random func() uint64) (entity.VM, bool) {
	p.picks++
	if p.picks%2 != 0 {
		return p.pick(p.others, random)
	}
	if preceding := p.selfIndex; preceding > 0 && preceding < p.config.WatchersPerZone+standbyCount {
		return p.watchOrder[p.picks/2%preceding], true
	}
	if vm, ok := p.pick(p.sameZone, random); ok {
		return vm, true
	}
	return p.pick(p.others, random)
}

// pickSource returns the peer from which a starting VM fetches documents. It
// alternates between a watcher of the zone, which has them first, and a random peer.
func (p *peerSet) pickSource(random func() uint64) (entity.VM, bool) {
	p.picks++
	watchers := min(len(p.watchOrder), p.config.WatchersPerZone)
	if p.picks%2 == 0 && watchers > 0 {
		if vm := p.watchOrder[random()%uint64(watchers)]; vm != p.config.Self && !p.unresponsive(vm) {
			return vm, true
		}
	}
	return p.pick(p.others, random)
}

// pick returns a random VM of the list and mostly avoids unresponsive ones.
func (p *peerSet) pick(from []entity.VM, random func() uint64) (entity.VM, bool) {
	if len(from) == 0 {
		return "", false
	}
	vm := from[random()%uint64(len(from))]
	for range maxPickRetries {
		if !p.unresponsive(vm) || random()%unresponsivePickOdds == 0 {
			break
		}
		vm = from[random()%uint64(len(from))]
	}
	return vm, true
}

// pickFanout returns the peers to which to announce new documents.
func (p *peerSet) pickFanout(random func() uint64) []entity.VM {
	var out []entity.VM
	add := func(from []entity.VM, n int) {
		for range n {
			if vm, ok := p.pick(from, random); ok && !slices.Contains(out, vm) {
				out = append(out, vm)
			}
		}
	}
	add(p.sameZone, p.config.ZoneFanout)
	add(p.others, p.config.GlobalFanout)
	return out
}
