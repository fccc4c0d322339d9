package membership

import (
	"slices"
	"strings"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Table is a VM's view of all VMs that run the proxy. It is not safe for concurrent
// use.
type Table struct {
	config Config
	// hash is the hash of this VM's name.
	hash uint64

	// vms is the current list, sorted by hash; index has the positions in it. cells
	// are built from it, and homeCell is this VM's cell.
	vms      []vmInfo
	index    map[entity.VM]int
	cells    []cell
	homeCell cell
	// selfListed is set if the current list names this VM, hasList once there is a
	// list.
	selfListed bool
	hasList    bool

	// peers holds the candidates of this VM's cell other than itself, sorted by name.
	peers []*peer
	// probes holds the silent VMs outside the cell, which are probed.
	probes []probe

	// members is what Members returns, membersDigest a hash of the names in it.
	membersDigest uint64
	members       []MemberState

	started     entity.Time
	hasStarted  bool
	lastTick    entity.Time
	draining    bool
	sequence    uint64
	randomState uint64

	// lastRetired is when a candidate was last retired. Until then, that candidate
	// may have acknowledged writes.
	lastRetired entity.Time
	// overflowUntil is until when a candidate may be missing from peers because
	// there was no room for it.
	overflowUntil entity.Time
	// actingUntil is until when this VM counts as acting owner of some database.
	// allGrantedUntil is the end of the last grant that it gave on all databases.
	actingUntil     entity.Time
	allGrantedUntil entity.Time
	// quorums has one entry for each half of the home cell.
	quorums [2]quorumCache

	// version changes with everything but time that owner lookups depend on.
	version uint64
	owners  map[entity.Database]cachedOwner

	// ready holds the queued messages, spare those of the last Ready, whose memory
	// is reused.
	ready Messages
	spare Messages
}

// New returns a table that knows only its own VM. The seed determines the phases of the
// heartbeats and the first sequence number.
func New(config Config, seed uint64) *Table {
	t := &Table{config: config, hash: vmHash(config.Self)}
	t.randomState = mix(seed ^ mix(t.hash+config.Incarnation))
	// The sequence starts at a random number, so that a late reply to an earlier
	// incarnation matches no request of this one. It starts below 2^27, so that its
	// encoding stays at four bytes for ten days.
	t.sequence = t.randomState >> 37
	t.owners = map[entity.Database]cachedOwner{}
	t.vms = []vmInfo{{name: config.Self, hash: t.hash}}
	t.rebuildCells()
	return t
}

// recordStart records the time of the first call.
func (t *Table) recordStart(now entity.Time) {
	if t.hasStarted {
		return
	}
	t.hasStarted = true
	t.started, t.lastTick = now, now
}

// Update replaces the list by a new one from the platform. An empty list is ignored as
// wrong, since at least this VM is running.
func (t *Table) Update(now entity.Time, list []ListedVM) {
	t.recordStart(now)
	if len(list) == 0 || (t.hasList && t.sameList(list)) {
		return
	}
	vms := make([]vmInfo, 0, len(list))
	for _, key := range sortedByHash(list) {
		if n := len(vms); n > 0 && vms[n-1].name == list[key.row].VM {
			continue
		}
		if len(vms) == maxListed {
			break
		}
		vms = append(vms, t.vmInfoFromRow(now, list[key.row], key.hash))
	}
	t.vms, t.index = vms, make(map[entity.VM]int, len(vms))
	t.hasList = true
	t.rebuildCells()
	t.updatePeersFromList(now)
}

// vmInfoFromRow returns the row's VM with what is known of it from the current list. A
// VM that is new in the list has to settle first, except in the first list, where
// only this VM has to.
func (t *Table) vmInfoFromRow(now entity.Time, row ListedVM, hash uint64) vmInfo {
	if i, ok := t.index[row.VM]; ok && (t.hasList || row.VM == t.config.Self) {
		vm := t.vms[i]
		vm.zone, vm.leaving = row.AvailabilityZone, row.State == VMLeaving
		if !t.hasList {
			vm.settledAt = now.Add(t.config.SettleTime)
		}
		return vm
	}
	vm := vmInfo{name: row.VM, zone: row.AvailabilityZone, hash: hash, leaving: row.State == VMLeaving}
	if t.hasList {
		vm.settledAt = now.Add(t.config.SettleTime)
	}
	return vm
}

// sameList reports whether a list equals the current one, in any order.
func (t *Table) sameList(list []ListedVM) bool {
	if len(list) != len(t.vms) {
		return false
	}
	for i := range list {
		at, ok := t.index[list[i].VM]
		if !ok {
			return false
		}
		vm := &t.vms[at]
		if vm.zone != list[i].AvailabilityZone || vm.leaving != (list[i].State == VMLeaving) {
			return false
		}
	}
	return true
}

// rebuildCells derives the index, the cells and selfListed from the list.
func (t *Table) rebuildCells() {
	if t.index == nil {
		t.index = map[entity.VM]int{}
	}
	for i := range t.vms {
		t.index[t.vms[i].name] = i
	}
	t.cells = buildCells(t.vms, t.config.Candidates)
	t.homeCell = t.cellOf(t.hash)
	_, t.selfListed = t.index[t.config.Self]
	t.selfListed = t.selfListed && t.hasList
	t.version++
}

// updatePeersFromList marks the peers that are in the home cell, adding missing ones.
func (t *Table) updatePeersFromList(now entity.Time) {
	for _, p := range t.peers {
		if p.inHomeCell {
			p.inHomeCell, p.lastMember = false, now
		}
	}
	for i := t.homeCell.from; i < t.homeCell.to && t.selfListed; i++ {
		if t.vms[i].name == t.config.Self {
			continue
		}
		if p := t.addPeer(now, t.vms[i].name); p != nil {
			p.inHomeCell = true
			t.setSilent(p.name, !p.alive)
			t.setDraining(p.name, p.draining)
		}
	}
	t.setDraining(t.config.Self, t.draining)
	t.refreshMembers(now)
	t.clearQuorumCache()
}

// SetDraining marks this VM as draining, which can't be undone.
func (t *Table) SetDraining(now entity.Time) {
	t.recordStart(now)
	t.draining = true
	t.setDraining(t.config.Self, true)
	t.refreshMembers(now)
}

func (t *Table) setDraining(vm entity.VM, draining bool) {
	if i, ok := t.index[vm]; ok && t.vms[i].draining != draining {
		t.vms[i].draining = draining
		t.version++
	}
}

func (t *Table) setSilent(vm entity.VM, silent bool) {
	if i, ok := t.index[vm]; ok && t.vms[i].silent != silent {
		t.vms[i].silent = silent
		t.version++
	}
}

// ReportSilent records that a VM did not answer, for example because a stream to it
// broke. The VM is skipped as owner until a heartbeat or reply of it arrives.
func (t *Table) ReportSilent(now entity.Time, vm entity.VM) {
	t.recordStart(now)
	if vm == t.config.Self {
		return
	}
	t.setSilent(vm, true)
	if p := t.findPeer(vm); p != nil {
		p.alive = false
		return
	}
	t.addProbe(now, vm)
}

// Ready returns the messages queued since the last call. The caller must send them;
// they are not returned again.
func (t *Table) Ready() Messages {
	out := t.ready
	t.ready = Messages{Requests: t.spare.Requests[:0], Replies: t.spare.Replies[:0]}
	t.spare = out
	return out
}

// Alive reports whether a VM is known and not silent: a peer must have been heard from
// within SuspectAfter. A listed VM outside the cell counts as alive until it is reported
// silent.
func (t *Table) Alive(now entity.Time, vm entity.VM) bool {
	if vm == t.config.Self {
		return true
	}
	if p := t.findPeer(vm); p != nil {
		return p.alive && now.Sub(p.lastHeard) < t.config.SuspectAfter
	}
	i, ok := t.index[vm]
	return ok && !t.vms[i].silent
}

// Members returns the members of this VM's cell in name order, itself included.
// The slice is valid until the next call that changes the table.
func (t *Table) Members() []MemberState { return t.members }

// CellSize returns the number of VMs that the list puts into this VM's cell.
func (t *Table) CellSize() int { return t.homeCell.to - t.homeCell.from }

// CellCount returns the number of cells of the current list.
func (t *Table) CellCount() int { return len(t.cells) }

// refreshMembers rebuilds members and membersDigest from the peers. members is a new
// slice, since queued replies refer to the old one.
func (t *Table) refreshMembers(now entity.Time) {
	t.members = make([]MemberState, 0, len(t.peers)+1)
	t.members = append(t.members, MemberState{VM: t.config.Self, Incarnation: t.config.Incarnation, Draining: t.draining})
	t.membersDigest = mix(t.hash)
	for _, p := range t.peers {
		if !p.isMember(now, t.config.RetireAfter) {
			continue
		}
		t.members = append(t.members, MemberState{VM: p.name, Incarnation: p.incarnation, Draining: p.draining})
		t.membersDigest += mix(p.hash)
	}
	slices.SortFunc(t.members, func(a, b MemberState) int { return strings.Compare(string(a.VM), string(b.VM)) })
}
