package membership

import (
	"slices"
	"strings"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Table is a VM's view of all proxies. It is not safe for concurrent use.
type Table struct {
	config Config
	hash   uint64

	// The list and the cells made from it, in hash order.
	vms   []listedVM
	index map[entity.VM]int
	cells []cell
	home  cell
	// inList is set once a list names this VM.
	inList bool
	listed bool

	// peers holds the candidates of this VM's cell other than itself, by name.
	peers []*peer
	// probes holds silent VMs outside the cell.
	probes []probe

	// digest stands for the names of this VM's members.
	digest  uint64
	members []MemberState

	started  entity.Time
	running  bool
	lastTick entity.Time
	draining bool
	sequence uint64
	random   uint64

	// shrunk is when a candidate was last dropped: it may have acknowledged
	// writes up to then.
	shrunk entity.Time
	// crowded is until when a candidate did not fit into peers.
	crowded entity.Time
	// acted is the end of the time in which this VM counts as acting owner of
	// some database; renounced is the end of its last grant on all databases.
	acted     entity.Time
	renounced entity.Time
	seats     [2]seatCache

	version uint64
	owners  map[entity.Database]cachedOwner

	ready Messages
	spare Messages
}

// New returns a table that knows only its own VM.
func New(config Config, seed uint64) *Table {
	t := &Table{config: config, hash: vmHash(config.Self)}
	t.random = mix(seed ^ mix(t.hash+config.Incarnation))
	// The sequence starts at a random number, so that a late reply to an
	// earlier incarnation matches no request of this one. 27 bits keep the
	// encoded number at four bytes for ten days.
	t.sequence = t.random >> 37
	t.owners = map[entity.Database]cachedOwner{}
	t.vms = []listedVM{{name: config.Self, hash: t.hash}}
	t.rebuild()
	return t
}

// begin records the first instant that the table sees.
func (t *Table) begin(now entity.Time) {
	if t.running {
		return
	}
	t.running = true
	t.started, t.lastTick = now, now
}

// Update takes a new list from the platform. An empty list is ignored, since a
// running VM implies a VM in the list.
func (t *Table) Update(now entity.Time, list []ListedVM) {
	t.begin(now)
	if len(list) == 0 || (t.listed && t.sameList(list)) {
		return
	}
	vms := make([]listedVM, 0, len(list))
	for _, key := range sortedByHash(list) {
		if n := len(vms); n > 0 && vms[n-1].name == list[key.row].VM {
			continue
		}
		if len(vms) == maxListed {
			break
		}
		vms = append(vms, t.fromRow(now, list[key.row], key.hash))
	}
	t.vms, t.index = vms, make(map[entity.VM]int, len(vms))
	t.listed = true
	t.rebuild()
	t.enlist(now)
}

func (t *Table) fromRow(now entity.Time, row ListedVM, hash uint64) listedVM {
	if i, ok := t.index[row.VM]; ok && (t.listed || row.VM == t.config.Self) {
		vm := t.vms[i]
		vm.zone, vm.leaving = row.AvailabilityZone, row.State == VMLeaving
		if !t.listed {
			vm.settled = now.Add(t.config.SettleTime)
		}
		return vm
	}
	vm := listedVM{name: row.VM, zone: row.AvailabilityZone, hash: hash, leaving: row.State == VMLeaving}
	if t.listed {
		vm.settled = now.Add(t.config.SettleTime)
	}
	return vm
}

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

// rebuild derives the index and the cells from the list.
func (t *Table) rebuild() {
	if t.index == nil {
		t.index = map[entity.VM]int{}
	}
	for i := range t.vms {
		t.index[t.vms[i].name] = i
	}
	t.cells = buildCells(t.vms, t.config.Candidates)
	t.home = t.cellOf(t.hash)
	_, t.inList = t.index[t.config.Self]
	t.inList = t.inList && t.listed
	t.version++
}

// enlist brings the peers in line with the home cell.
func (t *Table) enlist(now entity.Time) {
	for _, p := range t.peers {
		if p.inCell {
			p.inCell, p.lastMember = false, now
		}
	}
	for i := t.home.from; i < t.home.to && t.inList; i++ {
		if t.vms[i].name == t.config.Self {
			continue
		}
		if p := t.addPeer(now, t.vms[i].name); p != nil {
			p.inCell = true
			t.setSilent(p.name, !p.alive)
			t.setDraining(p.name, p.draining)
		}
	}
	t.setDraining(t.config.Self, t.draining)
	t.refreshMembers(now)
	t.clearSeats()
}

// SetDraining marks this VM as draining. It can't be undone.
func (t *Table) SetDraining(now entity.Time) {
	t.begin(now)
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

// ReportSilent tells that a peer did not answer, for example a broken stream.
// The VM is skipped as owner until it answers a heartbeat.
func (t *Table) ReportSilent(now entity.Time, vm entity.VM) {
	t.begin(now)
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

// Ready returns the messages to send and forgets them.
func (t *Table) Ready() Messages {
	out := t.ready
	t.ready = Messages{Requests: t.spare.Requests[:0], Replies: t.spare.Replies[:0]}
	t.spare = out
	return out
}

// Alive reports whether the VM is in the list or the cell and answered within
// the suspicion time. A VM outside the cell counts as alive until it is
// reported silent.
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
func (t *Table) CellSize() int { return t.home.to - t.home.from }

// CellCount returns the number of cells of the current list.
func (t *Table) CellCount() int { return len(t.cells) }

func (t *Table) refreshMembers(now entity.Time) {
	t.members = make([]MemberState, 0, len(t.peers)+1)
	t.members = append(t.members, MemberState{VM: t.config.Self, Incarnation: t.config.Incarnation, Draining: t.draining})
	t.digest = mix(t.hash)
	for _, p := range t.peers {
		if !p.isMember(now, t.config.RetireAfter) {
			continue
		}
		t.members = append(t.members, MemberState{VM: p.name, Incarnation: p.incarnation, Draining: p.draining})
		t.digest += mix(p.hash)
	}
	slices.SortFunc(t.members, func(a, b MemberState) int { return strings.Compare(string(a.VM), string(b.VM)) })
}
