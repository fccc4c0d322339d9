package membership

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// VMState is the state of a VM according to the platform's list.
type VMState uint8

const (
	// VMLive VMs take new work.
	VMLive VMState = iota
	// VMLeaving VMs finish their work and take no new work.
	VMLeaving
)

// ListedVM is one row of the platform's list.
type ListedVM struct {
	VM               entity.VM `json:"vm"`
	AvailabilityZone string    `json:"availability_zone"`
	State            VMState   `json:"state"`
}

// MemberState is what a VM knows of a member of its cell, itself included.
type MemberState struct {
	VM          entity.VM `json:"vm"`
	Incarnation uint64    `json:"incarnation"`
	Draining    bool      `json:"draining,omitempty"`
}

// HeartbeatRequest is a heartbeat or a probe from one VM to another.
type HeartbeatRequest struct {
	To          entity.VM     `json:"to"`
	From        entity.VM     `json:"from"`
	Incarnation uint64        `json:"incarnation"`
	Sequence    uint64        `json:"sequence"`
	Members     []MemberState `json:"members,omitempty"`
	Draining    bool          `json:"draining,omitempty"`
	// Probe is set if the sender's list does not put the receiver into the
	// sender's cell. A probe only asks whether the receiver is alive; the receiver
	// does not record the sender as a member.
	Probe bool `json:"probe,omitempty"`
	// Digest is a hash of the names of the sender's members.
	Digest uint64 `json:"digest,omitempty"`
}

// HeartbeatReply answers a HeartbeatRequest.
type HeartbeatReply struct {
	To          entity.VM `json:"to"`
	From        entity.VM `json:"from"`
	Incarnation uint64    `json:"incarnation"`
	Sequence    uint64    `json:"sequence"`
	// Members is empty if the replier's members have the request's digest.
	Members  []MemberState `json:"members,omitempty"`
	Draining bool          `json:"draining,omitempty"`
	// AllDatabases is set if the grant covers every database, regardless of the
	// hash order. Draining VMs that no longer act as owner give such grants.
	AllDatabases bool `json:"all_databases,omitempty"`
	// Grant is the time for which From acknowledges no write as owner of a
	// database for which To comes earlier in hash order. 0 means no grant.
	Grant time.Duration `json:"grant,omitempty"`
}

// Messages are the heartbeats to send. The slices are valid until the next Ready.
type Messages struct {
	Requests []HeartbeatRequest
	Replies  []HeartbeatReply
}

// Config sets the table's identity, timing and cell size.
type Config struct {
	Self        entity.VM
	Incarnation uint64
	// HeartbeatInterval is the time between heartbeats to one peer.
	HeartbeatInterval time.Duration
	// SuspectAfter is how long a peer must be silent to be skipped as owner.
	SuspectAfter time.Duration
	// GrantTTL is how long a grant is valid, at most SuspectAfter.
	GrantTTL time.Duration
	// SettleTime is how long a VM must be known before it is used as owner, unless
	// no other VM is left.
	SettleTime time.Duration
	// Candidates is the number of VMs above which a cell is split. Every VM of a
	// database's cell is a candidate for its owner.
	Candidates int
	// QuorumLease is how long a VM may acknowledge writes after its last contact
	// with a majority of its cell, its quorum. It is shorter than RetireAfter.
	QuorumLease time.Duration `json:"SeatLease"` // the name in recorded traces
	// RetireAfter is how long a VM that left the cell or stopped sending counts
	// as a candidate whose grant is needed.
	RetireAfter time.Duration
}

// DefaultConfig returns the timing used by the daemon.
func DefaultConfig(self entity.VM, incarnation uint64) Config {
	return Config{
		Self:              self,
		Incarnation:       incarnation,
		HeartbeatInterval: 100 * time.Millisecond,
		SuspectAfter:      500 * time.Millisecond,
		GrantTTL:          500 * time.Millisecond,
		SettleTime:        2 * time.Second,
		Candidates:        16,
		QuorumLease:       45 * time.Second,
		RetireAfter:       60 * time.Second,
	}
}
