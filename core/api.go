package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// AckMode tells what must hold before a write is acknowledged.
type AckMode uint8

const (
	// AckPrimary requires that the primary was not replaced after the write.
	AckPrimary AckMode = iota
	// AckMajority also requires that a majority of members holds the write.
	AckMajority
)

// Class describes one kind of request in a document.
type Class struct {
	Name string `json:"name"`
	// Rank is the index of the class's rank, 0 being the most urgent.
	Rank int `json:"rank"`
	// ReadOnly requests run in a read-only transaction.
	ReadOnly bool `json:"read_only,omitempty"`
	// MaxAge is how old the data of a read may be. 0 means that only the
	// primary serves it.
	MaxAge time.Duration `json:"max_age,omitempty"`
	// Repeatable requests may run more than once.
	Repeatable bool    `json:"repeatable,omitempty"`
	Ack        AckMode `json:"ack,omitempty"`
	// Ledger records the request id in the caller's own transaction.
	Ledger bool `json:"ledger,omitempty"`
	// Timeout is the deadline of requests that declare none.
	Timeout time.Duration `json:"timeout"`
	// Cost is the slot time expected before any was measured.
	Cost time.Duration `json:"cost,omitempty"`
}

// UpstreamSpec is one member of a database group.
type UpstreamSpec struct {
	Name        entity.Upstream `json:"name"`
	Slots       int             `json:"slots"`
	Connections int             `json:"connections"`
}

// UserClass maps a user of a database to a class.
type UserClass struct {
	User  string `json:"user"`
	Class string `json:"class"`
}

// DatabaseSpec is one database group of a service.
type DatabaseSpec struct {
	Name         entity.Database `json:"name"`
	Upstreams    []UpstreamSpec  `json:"upstreams"`
	DefaultClass string          `json:"default_class"`
	Users        []UserClass     `json:"users,omitempty"`
}

// Service is a service's document as the core uses it.
type Service struct {
	Name       string             `json:"name"`
	Revision   uint64             `json:"revision"`
	Ranks      []flood.RankPolicy `json:"ranks"`
	RetryRatio float64            `json:"retry_ratio"`
	// MaxQueued bounds the queued requests of one database.
	MaxQueued int            `json:"max_queued"`
	Classes   []Class        `json:"classes"`
	Databases []DatabaseSpec `json:"databases"`
}

// Arrival is a request that reached this node, from a caller or from a peer.
type Arrival struct {
	Handle entity.Handle `json:"handle"`
	// ForwardedBy is the proxy that forwarded the request; empty if the caller is
	// connected to this node.
	ForwardedBy entity.VM       `json:"from,omitempty"`
	Caller      entity.CallerID `json:"caller"`
	// Database, User and Class are as declared; an empty class is looked up.
	Database entity.Database   `json:"database"`
	User     string            `json:"user,omitempty"`
	Class    string            `json:"class,omitempty"`
	Session  entity.SessionKey `json:"session,omitempty"`
	Request  entity.RequestKey `json:"request,omitzero"`
	// Attempt counts from 1; 0 means that the caller declared none.
	Attempt uint32 `json:"attempt,omitempty"`
	// Timeout is the time left; 0 means the class's timeout.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Token is the position that the caller asks to see.
	Token entity.Position `json:"token,omitzero"`
	// Transaction identifies the transaction that the request continues or, if
	// it begins one, the new one. Without it a late statement of an earlier
	// transaction of the caller could enter the current one.
	Transaction uint64 `json:"transaction,omitempty"`
	// InTransaction is set if the caller has a transaction open.
	InTransaction bool `json:"in_transaction,omitempty"`
}

// Cancel tells that a caller no longer waits for a request.
type Cancel struct {
	Handle entity.Handle `json:"handle"`
}

// CallerClosed tells that a caller's connection or its transaction ended.
type CallerClosed struct {
	Caller entity.CallerID `json:"caller"`
	// Transaction is the one that ended.
	Transaction uint64 `json:"transaction,omitempty"`
}

// CompletionKind tells how a dispatched batch ended at the upstream.
type CompletionKind uint8

const (
	// CompletionAnswered batches were answered up to ReadyForQuery.
	CompletionAnswered CompletionKind = iota
	// CompletionRejected batches were refused by the upstream as a whole, so
	// that nothing of them took effect: it is no longer the primary.
	CompletionRejected
	// CompletionNotSent batches did not reach the upstream at all.
	CompletionNotSent
	// CompletionBroken batches lost their connection after the first byte was sent.
	CompletionBroken
	// CompletionDuplicate batches found their request id in the ledger and
	// were rolled back.
	CompletionDuplicate
)

// Completion is the end of a dispatched batch.
type Completion struct {
	Handle     entity.Handle       `json:"handle"`
	Connection entity.ConnectionID `json:"connection"`
	Kind       CompletionKind      `json:"kind"`
	// InTransaction is set if the upstream reported an open transaction.
	InTransaction bool `json:"in_transaction,omitempty"`
	// Streamed is set if answer bytes left for the caller, so that the request
	// can't be tried again.
	Streamed bool `json:"streamed,omitempty"`
	// Wrote is set if a batch of a read-only class wrote all the same.
	Wrote bool `json:"wrote,omitempty"`
	// Failed is set if the answer is an error and nothing took effect, so that
	// the request's id may run again.
	Failed bool `json:"failed,omitempty"`
}

// ConnectionState tells what happened to an upstream connection.
type ConnectionState uint8

const (
	// ConnectionOpened connections are ready for use.
	ConnectionOpened ConnectionState = iota
	// ConnectionFailed connections could not be opened.
	ConnectionFailed
	// ConnectionClosed connections were closed by the upstream.
	ConnectionClosed
	// ConnectionChecked connections answered a check.
	ConnectionChecked
)

// ConnectionEvent is a change of an upstream connection.
type ConnectionEvent struct {
	Connection entity.ConnectionID `json:"connection"`
	State      ConnectionState     `json:"state"`
}

// PeerResult is the owner's final answer to a forwarded request.
type PeerResult struct {
	Handle     entity.Handle   `json:"handle"`
	Peer       entity.VM       `json:"peer"`
	Kind       ResultKind      `json:"kind"`
	Reason     string          `json:"reason,omitempty"`
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Position   entity.Position `json:"position,omitzero"`
	// InTransaction is set if the caller's transaction stays open at the peer.
	InTransaction bool `json:"in_transaction,omitempty"`
	// Streamed is set if answer bytes left for the caller.
	Streamed bool `json:"streamed,omitempty"`
}

// PeerDown tells that the stream to a peer broke. Requests that were forwarded
// on it have no answer.
type PeerDown struct {
	Peer entity.VM `json:"peer"`
	// Inbound is set for the stream on which the peer forwards to this node:
	// its callers' transactions end.
	Inbound bool `json:"inbound,omitempty"`
}

// GroupProbeAnswer is a probe answer for a database.
type GroupProbeAnswer struct {
	Database entity.Database `json:"database"`
	group.ProbeAnswer
}

// GroupFenceAnswer is a fence answer for a database.
type GroupFenceAnswer struct {
	Database entity.Database `json:"database"`
	group.FenceAnswer
}

// GroupPromoteAnswer is a promote answer for a database.
type GroupPromoteAnswer struct {
	Database entity.Database `json:"database"`
	group.PromoteAnswer
}

// GroupClaimAnswer is a claim answer for a database.
type GroupClaimAnswer struct {
	Database entity.Database `json:"database"`
	group.ClaimAnswer
}

// Inputs is all that happened since the last tick.
type Inputs struct {
	Documents        []Service             `json:"documents,omitempty"`
	ProxyList        []membership.ListedVM `json:"proxy_list,omitempty"`
	LeavingUpstreams []entity.Upstream     `json:"leaving_upstream,omitempty"`
	// ListRevision is the revision of the platform's list; 0 means that the
	// inputs carry no list.
	ListRevision  uint64                        `json:"list_revision,omitempty"`
	Heartbeats    []membership.HeartbeatRequest `json:"heartbeats,omitempty"`
	Replies       []membership.HeartbeatReply   `json:"replies,omitempty"`
	PeersDown     []PeerDown                    `json:"peers_down,omitempty"`
	Connections   []ConnectionEvent             `json:"connections,omitempty"`
	Completions   []Completion                  `json:"completions,omitempty"`
	Probes        []GroupProbeAnswer            `json:"probes,omitempty"`
	Fences        []GroupFenceAnswer            `json:"fences,omitempty"`
	Promotes      []GroupPromoteAnswer          `json:"promotes,omitempty"`
	Claims        []GroupClaimAnswer            `json:"claims,omitempty"`
	PeerResults   []PeerResult                  `json:"peer_results,omitempty"`
	CallersClosed []CallerClosed                `json:"callers_closed,omitempty"`
	Cancels       []Cancel                      `json:"cancels,omitempty"`
	// Streaming has the running requests of whose answer a part left for the caller.
	Streaming []entity.Handle `json:"streaming,omitempty"`
	Arrivals  []Arrival       `json:"arrivals,omitempty"`
	// Drain asks for a graceful shutdown.
	Drain bool `json:"drain,omitempty"`
}

// Reset empties the inputs and keeps their memory.
func (in *Inputs) Reset() {
	in.Documents = in.Documents[:0]
	in.ProxyList = in.ProxyList[:0]
	in.LeavingUpstreams = in.LeavingUpstreams[:0]
	in.ListRevision = 0
	in.Heartbeats = in.Heartbeats[:0]
	in.Replies = in.Replies[:0]
	in.PeersDown = in.PeersDown[:0]
	in.Connections = in.Connections[:0]
	in.Completions = in.Completions[:0]
	in.Probes = in.Probes[:0]
	in.Fences = in.Fences[:0]
	in.Promotes = in.Promotes[:0]
	in.Claims = in.Claims[:0]
	in.PeerResults = in.PeerResults[:0]
	in.CallersClosed = in.CallersClosed[:0]
	in.Cancels = in.Cancels[:0]
	in.Streaming = in.Streaming[:0]
	in.Arrivals = in.Arrivals[:0]
	in.Drain = false
}

// ResultKind is the final outcome of a request.
type ResultKind uint8

const (
	// ResultDone releases the upstream's answer.
	ResultDone ResultKind = iota
	// ResultNotRun means that the request did not run.
	ResultNotRun
	// ResultUnknown means that the request may have run.
	ResultUnknown
	// ResultWriteLost means that an earlier write of the session is not proven
	// to have survived a change of primary. The request itself did not run.
	ResultWriteLost
	// ResultAlreadyExecuted means that the request id ran before.
	ResultAlreadyExecuted
	// ResultNotOwner means that the node does not accept the database; the
	// request did not run.
	ResultNotOwner
)

var resultKindNames = [...]string{"done", "not_run", "unknown", "write_lost", "already_executed", "not_owner"}

// saysNotRun reports whether the kind promises that the request did not run.
func (k ResultKind) saysNotRun() bool {
	return k == ResultNotRun || k == ResultNotOwner || k == ResultWriteLost
}

// String returns the kind as it appears in logs and metrics.
func (k ResultKind) String() string { return resultKindNames[k] }

// Forward sends a request to the owner of its database.
type Forward struct {
	Handle entity.Handle `json:"handle"`
	Peer   entity.VM     `json:"peer"`
	// Class is the class found for the request, Timeout the time left.
	Class   string        `json:"class"`
	Timeout time.Duration `json:"timeout"`
}

// Dispatch writes a request's batch to an upstream connection.
type Dispatch struct {
	Handle     entity.Handle       `json:"handle"`
	Connection entity.ConnectionID `json:"connection"`
	Upstream   entity.Upstream     `json:"upstream"`
	ReadOnly   bool                `json:"read_only,omitempty"`
	Ledger     bool                `json:"ledger,omitempty"`
	// Hold keeps the answer's final messages back until the result.
	Hold bool `json:"hold,omitempty"`
	// Continued is set if the batch belongs to an open transaction.
	Continued bool `json:"continued,omitempty"`
}

// Result is the final outcome of a request.
type Result struct {
	Handle     entity.Handle   `json:"handle"`
	Kind       ResultKind      `json:"kind"`
	Reason     string          `json:"reason,omitempty"`
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Position   entity.Position `json:"position,omitzero"`
	// CopyOf is the handle whose recorded answer is the answer to this request.
	CopyOf        entity.Handle `json:"copy_of,omitempty"`
	InTransaction bool          `json:"in_transaction,omitempty"`
}

// AcknowledgesWrite reports whether the result tells a caller that a write is done.
func (r *Result) AcknowledgesWrite() bool {
	return (r.Kind == ResultDone || r.Kind == ResultAlreadyExecuted) && !r.Position.IsZero()
}

// OpenConnection opens a connection to an upstream.
type OpenConnection struct {
	Connection entity.ConnectionID `json:"connection"`
	Database   entity.Database     `json:"database"`
	Upstream   entity.Upstream     `json:"upstream"`
}

// CloseConnection closes a connection; an open transaction on it ends.
type CloseConnection struct {
	Connection entity.ConnectionID `json:"connection"`
}

// CheckConnection asks for a round trip on an idle connection.
type CheckConnection struct {
	Connection entity.ConnectionID `json:"connection"`
}

// CancelUpstream asks the upstream to cancel what runs on a connection.
type CancelUpstream struct {
	Connection entity.ConnectionID `json:"connection"`
}

// GroupProbeRequest is a probe request for a database.
type GroupProbeRequest struct {
	Database entity.Database `json:"database"`
	group.ProbeRequest
}

// GroupFenceRequest is a fence request for a database.
type GroupFenceRequest struct {
	Database entity.Database `json:"database"`
	group.FenceRequest
}

// GroupPromoteRequest is a promote request for a database.
type GroupPromoteRequest struct {
	Database entity.Database `json:"database"`
	group.PromoteRequest
}

// GroupClaimRequest is a claim request for a database.
type GroupClaimRequest struct {
	Database entity.Database `json:"database"`
	group.ClaimRequest
}

// EventKind names an event for logs and metrics.
type EventKind uint8

const (
	// EventPrimaryChanged tells that a database has a new primary.
	EventPrimaryChanged EventKind = iota
	// EventDocumentRefused tells that a document had a lower revision.
	EventDocumentRefused
	// EventDocumentInForce tells that a document took force.
	EventDocumentInForce
	// EventOwnerStarted tells that this node began to act as owner.
	EventOwnerStarted
	// EventOwnerStopped tells that this node stopped acting as owner.
	EventOwnerStopped
	// EventDrained tells that a draining node has no work left.
	EventDrained
)

var eventKindNames = [...]string{"primary_changed", "document_refused", "document_in_force", "owner_started", "owner_stopped", "drained"}

// String returns the event's name in logs.
func (k EventKind) String() string { return eventKindNames[k] }

// Event is something worth a log line.
type Event struct {
	Kind     EventKind       `json:"kind"`
	Service  string          `json:"service,omitempty"`
	Database entity.Database `json:"database,omitempty"`
	Upstream entity.Upstream `json:"upstream,omitempty"`
	Term     uint64          `json:"term,omitempty"`
	Revision uint64          `json:"revision,omitempty"`
}

// Outputs is what the shell must do. It is valid until the next tick.
type Outputs struct {
	Forwards   []Forward                     `json:"forwards,omitempty"`
	Dispatches []Dispatch                    `json:"dispatches,omitempty"`
	Results    []Result                      `json:"results,omitempty"`
	Opens      []OpenConnection              `json:"opens,omitempty"`
	Closes     []CloseConnection             `json:"closes,omitempty"`
	Checks     []CheckConnection             `json:"checks,omitempty"`
	Cancels    []CancelUpstream              `json:"cancels,omitempty"`
	Probes     []GroupProbeRequest           `json:"probes,omitempty"`
	Fences     []GroupFenceRequest           `json:"fences,omitempty"`
	Promotes   []GroupPromoteRequest         `json:"promotes,omitempty"`
	Claims     []GroupClaimRequest           `json:"claims,omitempty"`
	Heartbeats []membership.HeartbeatRequest `json:"heartbeats,omitempty"`
	Replies    []membership.HeartbeatReply   `json:"replies,omitempty"`
	// PeersLost are peers that have gone silent. The shell ends the streams to
	// them and reports the requests without an answer as PeerResults.
	PeersLost []entity.VM `json:"peers_lost,omitempty"`
	Events    []Event     `json:"events,omitempty"`
	// NextTick is when the next tick is due if no input arrives before.
	NextTick entity.Time `json:"next_tick"`
}
