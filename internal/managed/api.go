package managed

import (
	"context"
	"errors"
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Code is the outcome of a statement that did not complete.
type Code uint8

// The codes. Busy, Aborted, Lagging, ReadOnly, Misrouted and ConnectionLimit
// promise that nothing of the caller's attempt is kept.
const (
	CodeNone Code = iota
	CodeBusy
	CodeAborted
	CodeLagging
	CodeReadOnly
	CodeMisrouted
	CodeConnectionLimit
	CodeInDoubt
	CodeTimeout
	CodeFailed
	CodeUnknownStatement
	CodeUnknownDatabase
	CodeMalformed
	CodeTooLarge
	// CodeOther is a code of the upstream that this version does not know.
	CodeOther
)

var codeNames = [...]string{"none", "busy", "aborted", "lagging", "read_only", "misrouted", "connection_limit",
	"in_doubt", "timeout", "failed", "unknown_statement", "unknown_database", "malformed", "too_large", "other"}

// String returns the code as it appears in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// StatementKind tells what a caller asks for.
type StatementKind uint8

// The kinds of statements.
const (
	StatementInvalid StatementKind = iota
	StatementBegin
	StatementBeginRead
	StatementCommit
	StatementRollback
	StatementRead
	StatementWrite
	StatementSet
	StatementPrepare
	StatementExecute
	StatementClose
)

var statementNames = [...]string{"invalid", "begin", "begin_read", "commit", "rollback", "read", "write", "set",
	"prepare", "execute", "close"}

// String returns the kind as it appears in logs and metrics.
func (k StatementKind) String() string { return statementNames[k] }

// Statement is one statement of a caller.
type Statement struct {
	// ID is the caller's id of the attempt. It goes to the upstream unchanged.
	ID   string
	Kind StatementKind
	// Text is the whole statement as the caller sent it.
	Text string
	// Name is the session variable of Set or the prepared statement of Prepare,
	// Execute and Close.
	Name string
	// Value is the new value of Set, the shape of Prepare or the arguments of Execute.
	Value string
	// Writes is set for Prepare if the prepared statement writes.
	Writes bool
}

// TransactionState is the state of a session between statements.
type TransactionState byte

// The transaction states.
const (
	StateIdle TransactionState = iota
	StateOpen
	StateFailed
)

// Message is what a caller sends.
type Message struct {
	Kind      MessageKind
	Database  string
	Statement Statement
}

// MessageKind tells messages of callers apart.
type MessageKind uint8

// The kinds of messages.
const (
	MessageStart MessageKind = iota
	MessageStatement
	MessageTerminate
)

// ErrMalformed is a message that cannot be read; the stream can't be
// resynchronised after it.
var ErrMalformed = errors.New("malformed message")

// CallerConn is one connection of a caller.
type CallerConn interface {
	// Receive waits for the next message. A deadline of zero waits for ever.
	Receive(deadline time.Time) (Message, error)
	// Interrupt ends a Receive that waits, with os.ErrDeadlineExceeded.
	Interrupt() error
	// Accept accepts a session.
	Accept() error
	// Reject refuses a session.
	Reject(code Code, text string) error
	// SendReply ends a statement. It passes the position of the reply on if it has one.
	SendReply(Reply, TransactionState) error
	// Address is the peer's address, for logs.
	Address() string
	Close() error
}

// CommandKind tells what is asked of an upstream.
type CommandKind uint8

// The kinds of commands. CommandStatement passes the caller's text on; the
// others are the proxy's own.
const (
	CommandStatement CommandKind = iota
	CommandExecute
	CommandBegin
	CommandBeginRead
	CommandRollback
	CommandSet
	CommandPrepare
	CommandDiscard
	CommandStatus
	CommandPause
	CommandResume
)

// Command is one request to an upstream.
type Command struct {
	Kind CommandKind
	// ID and Text are those of the caller's statement.
	ID, Text string
	// Name and Value are as in Statement.
	Name, Value string
	Writes      bool
	// MinPosition makes the upstream refuse a read or a begin unless its log holds the position.
	MinPosition entity.Position
	// Term is the term of CommandPause.
	Term uint64
}

// Reply is an upstream's answer to one command.
type Reply struct {
	Rows []string
	// Signature proves which upstream completed the statement.
	Signature string
	Code      Code
	// Text explains the code.
	Text  string
	State TransactionState
	// Position is the end of the upstream's log that reads see.
	Position entity.Position
}

// Status is what an upstream says of its replication.
type Status struct {
	Primary bool
	Term    uint64
	// Received is the end of the log that the upstream holds.
	Received entity.Position
	// PauseTerm is the term for which the upstream paused; 0 means that it receives.
	PauseTerm uint64
	Lag       time.Duration
	// Busy and Connections are the slots and connections in use by everyone.
	Busy, Connections int
}

// UpstreamConn is one connection to an upstream. It is used by one goroutine at a time.
type UpstreamConn interface {
	// Send writes commands without waiting for their replies.
	Send(deadline time.Time, commands ...Command) error
	// Receive returns the reply to the oldest command without one.
	Receive(deadline time.Time) (Reply, error)
	Close() error
}

// RefusedError is an error answer to the start of an upstream connection.
type RefusedError struct {
	Code Code
	Text string
}

// Error returns the code and its text.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused with %s: %s", e.Code, e.Text)
}

// Protocol opens connections to upstreams.
type Protocol interface {
	// Dial connects to an upstream and names the database and the upstream that
	// is expected there, since addresses are used again.
	Dial(ctx context.Context, target Member) (UpstreamConn, error)
	// DecodeStatus reads the reply to CommandStatus and CommandPause.
	DecodeStatus(Reply) (Status, error)
}

// Member is one upstream as the directory lists it.
type Member struct {
	Name             entity.Upstream
	Database         entity.Database
	Address          string
	AvailabilityZone string
	Slots            int
	Leaving          bool
	// Primary is how the upstream sees itself; it may be wrong.
	Primary bool
	// Incarnation changes when the upstream restarts.
	Incarnation int64
}

// Consistency is what the reads of a route must see.
type Consistency uint8

// The kinds of consistency. BoundedStaleness reads see every commit older than
// the route's bound, SessionConsistency reads also the session's own writes,
// and StrictConsistency reads every commit.
const (
	StrictConsistency Consistency = iota
	BoundedStaleness
	SessionConsistency
)

// Route maps the database name of callers to a database group.
type Route struct {
	Name        string
	Database    entity.Database
	Consistency Consistency
	// MaxStaleness is how old the data of a read may be.
	MaxStaleness time.Duration
	// StatementTimeout bounds one statement, TargetLatency is the aim for a
	// whole operation.
	StatementTimeout, TargetLatency time.Duration
	// Rank orders routes by urgency, 0 being the most urgent.
	Rank int
}

// DatabaseLimits are the limits of the members of a database.
type DatabaseLimits struct {
	// Connections bounds the connections of one member, those of all proxies together.
	Connections int
	// SyncReplicas is the number of replicas that hold a commit before it is acknowledged.
	SyncReplicas int
}

// Document is the operators' configuration in force.
type Document struct {
	Version uint64
	// Routes are by the name that callers use.
	Routes    map[string]Route
	Databases map[entity.Database]DatabaseLimits
	// TransactionIdleTimeout is how long a transaction may stay idle.
	TransactionIdleTimeout time.Duration
	// Source is the configuration as it was read, for other proxies.
	Source []byte
}

// Errors of the store.
var (
	// ErrConflict means that a condition did not hold; nothing was done.
	ErrConflict = errors.New("condition does not hold")
	// ErrLeaseExpired means that the lease has ended.
	ErrLeaseExpired = errors.New("lease has ended")
	// ErrCompacted means that a watch must begin again with a listing.
	ErrCompacted = errors.New("history is no longer available")
	// ErrNotApplied means that the store refused the call and did nothing.
	ErrNotApplied = errors.New("the call was refused")
)

// Change is one entry of the store that was listed, written or removed.
type Change struct {
	Revision uint64
	Removed  bool
	// Exactly one of the following is set. Key is set for entries of the proxies.
	Document *Document
	Member   *Member
	// MemberName is set for a removed or unreadable member entry.
	MemberName entity.Upstream
	Key        string
	Value      []byte
	// DecodeErr tells why an entry was not understood.
	DecodeErr error
	// Source is the entry as the store sent it, for other proxies. It is not set
	// for listed entries.
	Source []byte
}

// Store is the platform's store.
type Store interface {
	// List returns all entries and the revision they were read at.
	List(ctx context.Context) ([]Change, uint64, error)
	// Watch returns the changes after a revision. It waits for at least one, or
	// for the given time, and returns the revision to continue from.
	Watch(ctx context.Context, after uint64, wait time.Duration) ([]Change, uint64, error)
	// Put writes a key if it has the given revision (0: if it does not exist)
	// and returns the new revision. Another error than ErrConflict, ErrLeaseExpired
	// and ErrNotApplied leaves open whether it was written.
	Put(ctx context.Context, key string, value []byte, revision uint64, lease uint64) (uint64, error)
	Get(ctx context.Context, key string) (value []byte, revision uint64, err error)
	GrantLease(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	RenewLease(ctx context.Context, lease uint64) error
	RevokeLease(ctx context.Context, lease uint64) error
}

// Peers asks other proxies for what they know of the store.
type Peers interface {
	// Document returns the configuration in force at the proxy with the address.
	Document(ctx context.Context, address string) (*Document, error)
	// Changes returns the changes after a revision from the proxy with the address,
	// and the revision to continue from. Without changes it returns after a short
	// wait. The error is ErrCompacted if the proxy no longer has them.
	Changes(ctx context.Context, address string, after uint64) ([]Change, uint64, error)
}

// Errors of the promotion API.
var (
	// ErrFenced means that a newer fence token was used, or that the member does not run.
	ErrFenced = errors.New("promotion refused")
)

// Promoter orders promotions.
type Promoter interface {
	// Promote makes a member the primary. Another error than ErrFenced and
	// ErrNotApplied leaves open whether the order is carried out later.
	Promote(ctx context.Context, database entity.Database, target entity.Upstream, holder string, fence uint64) error
}
