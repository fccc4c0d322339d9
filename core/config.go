package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// Config sets a node's identity, timing and limits.
type Config struct {
	Self       entity.VM
	Seed       uint64
	Membership membership.Config
	Group      group.Config
	// ProbesPerSecond bounds the status probes of the node while no request
	// waits for a round: the more members it probes, the longer the interval
	// between rounds. It bounds control traffic as the number of databases grows.
	ProbesPerSecond int
	// MaxRequests bounds the open requests of the node.
	MaxRequests int
	// MaxSessions bounds the number of sessions of one database whose last write
	// position is kept.
	MaxSessions int
	// MaxRecords bounds the number of request ids of one database whose outcome
	// is kept for deduplication.
	MaxRecords int
	// RecordTTL is how long the outcome of a request id is kept.
	RecordTTL time.Duration
	// ConnectionShare is the fraction of an upstream's connections that one
	// owner uses. Below one half, the next owner can connect while the connections
	// of the previous one are still open.
	ConnectionShare float64
	// IdleCheck is the idle time after which a connection is checked by a round
	// trip before use.
	IdleCheck time.Duration
	// OwnerLinger is how long after its last request a node keeps acting as
	// owner of a database for which another proxy comes first in the hash order.
	OwnerLinger time.Duration
	// ReplicaWait is the fraction of its timeout that a read waits for a replica
	// to catch up before it is sent to the primary.
	ReplicaWait float64
	// DrainLinger is the shortest time between the start of a drain and the end
	// of ownership, in which peers learn of the drain.
	DrainLinger time.Duration
}

// DefaultConfig returns the configuration that the daemon uses.
func DefaultConfig(self entity.VM, incarnation, seed uint64) Config {
	return Config{
		Self:            self,
		Seed:            seed,
		Membership:      membership.DefaultConfig(self, incarnation),
		Group:           group.DefaultConfig(),
		ProbesPerSecond: 30,
		MaxRequests:     200_000,
		MaxSessions:     200_000,
		MaxRecords:      100_000,
		RecordTTL:       60 * time.Second,
		ConnectionShare: 0.45,
		IdleCheck:       5 * time.Second,
		OwnerLinger:     10 * time.Second,
		ReplicaWait:     0.25,
		DrainLinger:     time.Second,
	}
}
