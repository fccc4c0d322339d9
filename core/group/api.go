// Package group holds an owner's view of one database group: a primary and its
// replicas. The owner is the proxy that is responsible for the database. The
// package runs the probe rounds that confirm acknowledgements and measure
// replication lag, decides which replicas may serve a read, detects the loss of
// the primary and promotes a new one. It does no I/O: instants are arguments, and
// requests and answers are values.
package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// RoundID numbers the probe rounds of a group from 1 on. 0 means no round.
type RoundID uint64

// RoundState is the state of a probe round.
type RoundState uint8

const (
	// RoundPending rounds have not started or wait for answers.
	RoundPending RoundState = iota
	// RoundConfirmed rounds were answered by a majority, the primary among
	// them, with no higher term.
	RoundConfirmed
	// RoundFailed rounds saw a higher term or were not confirmed in time.
	RoundFailed
)

// RoundResult is the outcome of a probe round.
type RoundResult struct {
	State RoundState
	// Position is the primary's log end, set if the round is confirmed.
	Position entity.Position
	// MajorityPosition is the highest position that a majority of members
	// holds, set if the round is confirmed.
	MajorityPosition entity.Position
	// Primary is the member that the round confirmed as primary in Term. A round
	// confirms a write only if both match the member and the term that executed
	// it: the member may have been replaced and promoted again meanwhile.
	Primary entity.Upstream
	Term    uint64
}

// ProbeRequest asks a member for its status.
type ProbeRequest struct {
	Round    RoundID         `json:"round"`
	Upstream entity.Upstream `json:"upstream"`
	// FreshConnection asks to open a new control connection for the probe, since
	// an established one can stop answering while the member is healthy.
	FreshConnection bool `json:"fresh_connection,omitempty"`
}

// ProbeAnswer is a member's answer to a probe, or the failure to get one.
type ProbeAnswer struct {
	Round    RoundID             `json:"round"`
	Upstream entity.Upstream     `json:"upstream"`
	Failed   bool                `json:"failed,omitempty"`
	Status   entity.MemberStatus `json:"status"`
}

// FenceRequest asks a member to accept a new term, after which it refuses writes and
// replication of lower terms.
type FenceRequest struct {
	Upstream entity.Upstream `json:"upstream"`
	Term     uint64          `json:"term"`
}

// FenceAnswer is the answer to a FenceRequest.
type FenceAnswer struct {
	Upstream entity.Upstream     `json:"upstream"`
	Term     uint64              `json:"term"`
	Failed   bool                `json:"failed,omitempty"`
	Accepted bool                `json:"accepted,omitempty"`
	Status   entity.MemberStatus `json:"status"`
}

// PromoteRequest makes a fenced member the primary of a term.
type PromoteRequest struct {
	Upstream entity.Upstream `json:"upstream"`
	Term     uint64          `json:"term"`
}

// PromoteAnswer is the answer to a PromoteRequest.
type PromoteAnswer struct {
	Upstream entity.Upstream     `json:"upstream"`
	Term     uint64              `json:"term"`
	Failed   bool                `json:"failed,omitempty"`
	Accepted bool                `json:"accepted,omitempty"`
	Status   entity.MemberStatus `json:"status"`
}

// ClaimRequest asks the platform's metadata store ("the store") to record that this
// owner promotes a member in a term.
type ClaimRequest struct {
	Term uint64 `json:"term"`
}

// ClaimAnswer is the store's answer to a claim. Failed means that the store did
// not answer.
type ClaimAnswer struct {
	Term    uint64 `json:"term"`
	Failed  bool   `json:"failed,omitempty"`
	Claimed bool   `json:"claimed,omitempty"`
}

// Messages are the requests to send. The slices are valid until the next Ready.
type Messages struct {
	Probes   []ProbeRequest
	Fences   []FenceRequest
	Promotes []PromoteRequest
	Claims   []ClaimRequest
}

// Config sets the group's timing.
type Config struct {
	// ProbeInterval is the time between rounds while no caller waits for one.
	ProbeInterval time.Duration
	// MinRoundGap is the shortest time between the starts of two rounds.
	MinRoundGap time.Duration
	// ProbeTimeout is the time after which an unanswered probe counts as failed.
	ProbeTimeout time.Duration
	// SuspectAfter is how long the primary must fail to answer before promotion.
	SuspectAfter time.Duration
	// SuspectProbes is how many consecutive probes must fail before promotion.
	SuspectProbes int
	// ClaimTimeout bounds the wait for the store's answer before a promotion.
	ClaimTimeout time.Duration
	// FenceTimeout bounds the fence and promote phases of one promotion attempt.
	FenceTimeout time.Duration
}

// DefaultConfig returns the timing used by the daemon.
func DefaultConfig() Config {
	return Config{
		ProbeInterval: 100 * time.Millisecond,
		MinRoundGap:   2 * time.Millisecond,
		ProbeTimeout:  150 * time.Millisecond,
		SuspectAfter:  700 * time.Millisecond,
		SuspectProbes: 6,
		ClaimTimeout:  100 * time.Millisecond,
		FenceTimeout:  500 * time.Millisecond,
	}
}
