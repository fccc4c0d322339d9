package core

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/core/membership"
)

// AckMode is the durability that a write needs before it is acknowledged.
type AckMode uint8

const (
	// AckPrimary requires that a probe round after the write confirms the primary. A
	// promotion may lose the write. A session that sends no token is told of such a loss
	// only by the owner that acknowledged the write.
	AckPrimary AckMode = iota
	// AckMajority also requires that a majority of members has stored the write.
	AckMajority
)

// Class describes one kind of request in a service's document.
type Class struct {
	Name string `json:"name"`
	// Rank is the index of the class's rank, 0 being the most urgent.
	Rank int `json:"rank"`
	// ReadOnly requests run in a read-only transaction.
	ReadOnly bool `json:"read_only,omitempty"`
	// MaxAge bounds the age of the data that a read returns. 0 means that only
	// the primary serves it.
	MaxAge time.Duration `json:"max_age,omitempty"`
	// Repeatable requests are safe to run more than once.
	Repeatable bool    `json:"repeatable,omitempty"`
	Ack        AckMode `json:"ack,omitempty"`
	// Ledger stores the request id in the upstream, in the transaction of the
	// request, so that a second execution is detected.
	Ledger bool `json:"ledger,omitempty"`
	// Timeout bounds the time from arrival to result. A request may declare a
	// shorter one.
	Timeout time.Duration `json:"timeout"`
	// Cost is the estimated execution time in a slot, used until measurements
	// adjust it.
	Cost time.Duration `json:"cost,omitempty"`
}

// UpstreamSpec is one member of a database group.
type UpstreamSpec struct {
	Name entity.Upstream `json:"name"`
	// Slots is the number of batches that the upstream executes in parallel.
	Slots int `json:"slots"`
	// Connections is the number of connections that the upstream accepts from
	// the proxies.
	Connections int `json:"connections"`
}

// UserClass maps a user of a database to a class.
type UserClass struct {
	User  string `json:"user"`
	Class string `json:"class"`
}

// DatabaseSpec is one database group of a service: a primary and its replicas.
type DatabaseSpec struct {
	Name         entity.Database `json:"name"`
	Upstreams    []UpstreamSpec  `json:"upstreams"`
	DefaultClass string          `json:"default_class"`
	Users        []UserClass     `json:"users,omitempty"`
}

// Service is the configuration document of one service.
type Service struct {
	Name     string `json:"name"`
	Revision uint64 `json:"revision"`
	// Ranks are ordered, most urgent first.
	Ranks []flood.RankPolicy `json:"ranks"`
	// RetryRatio is the number of retries admitted for each first attempt.
	RetryRatio float64 `json:"retry_ratio"`
	// MaxQueued bounds the queued requests of one database.
	MaxQueued int            `json:"max_queued"`
	Classes   []Class        `json:"classes"`
	Databases []DatabaseSpec `json:"databases"`
}

// Arrival is a request that a caller or another proxy sent to this node.
type Arrival struct {
	Handle entity.Handle `json:"handle"`
	// ForwardedBy is the proxy that forwarded the request; empty if the caller is
	// connected to this node.
	ForwardedBy entity.VM `json:"from,omitempty"`
	// Stream is the inbound stream of ForwardedBy on which the request came. Numbers
	// are not reused while the node runs.
	Stream uint64          `json:"stream,omitempty"`
	Caller entity.CallerID `json:"caller"`
	// Database, User and Class are as declared by the caller. If Class is empty,
	// the class is determined by the user.
	Database entity.Database   `json:"database"`
	User     string            `json:"user,omitempty"`
	Class    string            `json:"class,omitempty"`
	Session  entity.SessionKey `json:"session,omitempty"`
	Request  entity.RequestKey `json:"request,omitzero"`
	// Attempt is the caller's attempt number, from 1; 0 if it declared none.
	Attempt uint32 `json:"attempt,omitempty"`
	// Timeout is the time left for the request; 0 means the class's timeout.
	Timeout time.Duration `json:"timeout,omitempty"`
	// Token is a log position that the request must see.
	Token entity.Position `json:"token,omitzero"`
	// Transaction identifies the transaction that the request continues or
	// begins. Without it, a delayed statement of the caller's previous transaction
	// could run in the current one.
	Transaction uint64 `json:"transaction,omitempty"`
	// InTransaction is set if the caller has a transaction open.
	InTransaction bool `json:"in_transaction,omitempty"`
}

// Cancel reports that the caller cancelled a request.
type Cancel struct {
	Handle entity.Handle `json:"handle"`
}

// CallerClosed reports that a caller's connection or transaction ended.
type CallerClosed struct {
	Caller entity.CallerID `json:"caller"`
	// Transaction is the one that ended, as in the Arrival that began it.
	Transaction uint64 `json:"transaction,omitempty"`
}

// CompletionKind is how a dispatched batch ended at the upstream.
type CompletionKind uint8

const (
	// CompletionAnswered batches got a response up to ReadyForQuery.
	CompletionAnswered CompletionKind = iota
	// CompletionRejected batches had no effect: the upstream refused them as a
	// whole because it is no longer the primary.
	CompletionRejected
	// CompletionNotSent batches were not sent: no byte reached the upstream.
	CompletionNotSent
	// CompletionBroken batches lost their connection after the first byte was
	// sent. They may have taken effect.
	CompletionBroken
	// CompletionDuplicate batches were rolled back because the ledger already
	// had their request id.
	CompletionDuplicate
)

// Completion reports the end of a dispatched batch.
type Completion struct {
	Handle     entity.Handle       `json:"handle"`
	Connection entity.ConnectionID `json:"connection"`
	Kind       CompletionKind      `json:"kind"`
	// InTransaction is set if the upstream reported an open transaction.
	InTransaction bool `json:"in_transaction,omitempty"`
	// Streamed is set if a part of the response was sent to the caller, so that
	// the request can't be retried.
	Streamed bool `json:"streamed,omitempty"`
	// Wrote is set if the batch wrote although its class is read-only.
	Wrote bool `json:"wrote,omitempty"`
	// Failed is set if the response is an error and nothing was committed, so
	// that a retry with the same request id may run.
	Failed bool `json:"failed,omitempty"`
}

// ConnectionState is the kind of a ConnectionEvent.
type ConnectionState uint8

const (
	// ConnectionOpened connections are ready for use.
	ConnectionOpened ConnectionState = iota
	// ConnectionFailed connections could not be opened.
	ConnectionFailed
	// ConnectionClosed connections were closed by the upstream.
	ConnectionClosed
	// ConnectionChecked connections answered the round trip that CheckConnection
	// asked for.
	ConnectionChecked
)

// ConnectionEvent reports a state change of an upstream connection.
type ConnectionEvent struct {
	Connection entity.ConnectionID `json:"connection"`
	State      ConnectionState     `json:"state"`
}

// PeerResult is the owner's result for a forwarded request. The runtime makes
// one up if the stream to the owner breaks.
type PeerResult struct {
	Handle     entity.Handle   `json:"handle"`
	Peer       entity.VM       `json:"peer"`
	Kind       ResultKind      `json:"kind"`
	Reason     string          `json:"reason,omitempty"`
	RetryAfter time.Duration   `json:"retry_after,omitempty"`
	Position   entity.Position `json:"position,omitzero"`
	// InTransaction is set if the caller's transaction stays open at the peer.
	InTransaction bool `json:"in_transaction,omitempty"`
	// Streamed is set if a part of the response was sent to the caller.
	Streamed bool `json:"streamed,omitempty"`
}

// PeerDown reports that a stream between this node and a peer broke. Requests
// that were open on it get no response.
type PeerDown struct {
	Peer entity.VM `json:"peer"`
	// Inbound is set for the stream on which the peer forwards requests to this
	// node. The transactions of the peer's callers are then rolled back.
	Inbound bool `json:"inbound,omitempty"`
	// Stream is the number of the inbound stream. The peer may have sent requests on
	// a newer one before this event.
	Stream uint64 `json:"stream,omitempty"`
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

// Inputs holds all events since the last tick.
type Inputs struct {
	Documents        []Service             `json:"documents,omitempty"`
	ProxyList        []membership.ListedVM `json:"proxy_list,omitempty"`
	LeavingUpstreams []entity.Upstream     `json:"leaving_upstream,omitempty"`
	// ListRevision is the revision of ProxyList and LeavingUpstreams, which the
	// platform publishes. 0 means that these inputs have no new list.
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
	// Streaming lists running requests whose response has begun to be sent to
	// the caller.
	Streaming []entity.Handle `json:"streaming,omitempty"`
	Arrivals  []Arrival       `json:"arrivals,omitempty"`
	// Drain asks for a graceful shutdown.
	Drain bool `json:"drain,omitempty"`
}

// Reset empties the inputs and keeps the slices' capacity.
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
	// ResultDone releases the upstream's response to the caller.
	ResultDone ResultKind = iota
	// ResultNotRun means that the request did not run.
	ResultNotRun
	// ResultUnknown means that the request may have run.
	ResultUnknown
	// ResultWriteLost means that an earlier acknowledged write of the session
	// may have been lost in a failover. The request itself did not run.
	ResultWriteLost
	// ResultAlreadyExecuted means that a request with the same id ran before.
	ResultAlreadyExecuted
	// ResultNotOwner means that the peer accepts no forwarded requests, because
	// it is draining or unreachable. The request did not run.
	ResultNotOwner
)

var resultKindNames = [...]string{"done", "not_run", "unknown", "write_lost", "already_executed", "not_owner"}

// impliesNotRun reports whether the kind guarantees that the request did not run.
func (k ResultKind) impliesNotRun() bool {
	return k == ResultNotRun || k == ResultNotOwner || k == ResultWriteLost
}

// String returns the kind as it appears in logs and metrics.
func (k ResultKind) String() string { return resultKindNames[k] }

// Forward sends a request to the owner of its database.
type Forward struct {
	Handle entity.Handle `json:"handle"`
	Peer   entity.VM     `json:"peer"`
	// Class is the resolved class of the request, Timeout the time left.
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
	// Hold keeps the response's final messages back until the Result.
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
	// CopyOf is the request whose stored response also answers this duplicate;
	// 0 if the request is no duplicate.
	CopyOf        entity.Handle `json:"copy_of,omitempty"`
	InTransaction bool          `json:"in_transaction,omitempty"`
}

// AcknowledgesWrite reports whether the result confirms a write to the caller.
func (r *Result) AcknowledgesWrite() bool {
	return (r.Kind == ResultDone || r.Kind == ResultAlreadyExecuted) && !r.Position.IsZero()
}

// OpenConnection opens a connection to an upstream.
type OpenConnection struct {
	Connection entity.ConnectionID `json:"connection"`
	Database   entity.Database     `json:"database"`
	Upstream   entity.Upstream     `json:"upstream"`
}

// CloseConnection closes a connection. An open transaction on it is rolled back.
type CloseConnection struct {
	Connection entity.ConnectionID `json:"connection"`
}

// CheckConnection asks for a round trip on an idle connection, to detect a dead
// one before it is used.
type CheckConnection struct {
	Connection entity.ConnectionID `json:"connection"`
}

// CancelUpstream asks the upstream to cancel the batch on a connection.
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

// EventKind is the kind of an Event.
type EventKind uint8

const (
	// EventPrimaryChanged: a database has a new primary.
	EventPrimaryChanged EventKind = iota
	// EventDocumentRefused: a document had a lower revision than the current
	// one, or claimed a database of another service.
	EventDocumentRefused
	// EventDocumentInForce: a document was applied.
	EventDocumentInForce
	// EventOwnerStarted: this node started to act as owner of a database.
	EventOwnerStarted
	// EventOwnerStopped: this node stopped acting as owner of a database.
	EventOwnerStopped
	// EventDrained: a draining node has no requests or transactions left.
	EventDrained
)

var eventKindNames = [...]string{"primary_changed", "document_refused", "document_in_force", "owner_started", "owner_stopped", "drained"}

// String returns the event's name in logs.
func (k EventKind) String() string { return eventKindNames[k] }

// Event is a state change to be logged.
type Event struct {
	Kind     EventKind       `json:"kind"`
	Service  string          `json:"service,omitempty"`
	Database entity.Database `json:"database,omitempty"`
	Upstream entity.Upstream `json:"upstream,omitempty"`
	Term     uint64          `json:"term,omitempty"`
	Revision uint64          `json:"revision,omitempty"`
}

// Outputs holds the actions that the runtime must carry out. It is valid until
// the next tick.
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
	// PeersLost are peers that stopped responding. The runtime closes the streams
	// to them and reports each request without a result as a PeerResult.
	PeersLost []entity.VM `json:"peers_lost,omitempty"`
	Events    []Event     `json:"events,omitempty"`
	// NextTick is when the next tick is due if no input arrives before.
	NextTick entity.Time `json:"next_tick"`
}
