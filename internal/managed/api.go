package managed

import (
	"bytes"
	"compress/gzip"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Code is the result of a statement. CodeNone means that it completed.
type Code uint8

// The codes. With Busy, Aborted, Lagging, ReadOnly, Misrouted and ConnectionLimit the
// statement had no lasting effect. After InDoubt it is unknown whether a write took effect.
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
	// CodeUnauthenticated means that the configuration lists no organisation with the
	// caller's key.
	CodeUnauthenticated
	// CodeOther is an upstream code that this version does not know.
	CodeOther
)

var codeNames = [...]string{"none", "busy", "aborted", "lagging", "read_only", "misrouted", "connection_limit",
	"in_doubt", "timeout", "failed", "unknown_statement", "unknown_database", "malformed", "too_large", "unauthenticated", "other"}

// String returns the code as it appears in logs and metrics.
func (c Code) String() string { return codeNames[c] }

// StatementKind is the type of a caller's statement.
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

// Statement is one statement sent by a caller.
type Statement struct {
	// ID identifies the statement. It is chosen by the caller and forwarded to the upstream
	// unchanged.
	ID   string
	Kind StatementKind
	// Text is the whole statement as the caller sent it.
	Text string
	// Name is the session variable for Set, or the prepared statement for Prepare, Execute
	// and Close.
	Name string
	// Value is the new value for Set, the statement template for Prepare, or the arguments
	// for Execute.
	Value string
	// Writes is set on Prepare if the prepared statement modifies data.
	Writes bool
}

// TransactionState is the transaction status of a session between statements.
type TransactionState byte

// The transaction states.
const (
	StateIdle TransactionState = iota
	StateOpen
	StateFailed
)

// Message is one protocol message from a caller.
type Message struct {
	Kind     MessageKind
	Database string
	// Credential is the API key of a caller, or what another proxy sends in its place, in a
	// MessageStart.
	Credential string
	Statement  Statement
}

// MessageKind is the type of a caller's message.
type MessageKind uint8

// The message types.
const (
	MessageStart MessageKind = iota
	MessageStatement
	MessageTerminate
)

// ErrMalformed is returned for a message that cannot be parsed. The stream cannot be
// resynchronised after it, so the connection must be closed.
var ErrMalformed = errors.New("malformed message")

// CallerConn is the server side of one caller connection.
type CallerConn interface {
	// Receive waits for the next message. A zero deadline means no timeout.
	Receive(deadline time.Time) (Message, error)
	// Interrupt makes a pending Receive return os.ErrDeadlineExceeded.
	Interrupt() error
	// Accept confirms the start of a session.
	Accept() error
	// Reject sends an error that ends the session.
	Reject(code Code, text string) error
	// SendReply sends the result of a statement, including the log position if the reply
	// has one.
	SendReply(Reply, TransactionState) error
	// Address returns the peer's address, for logs.
	Address() string
	Close() error
}

// CommandKind is the type of a command to an upstream.
type CommandKind uint8

// The command types. CommandStatement forwards the caller's text; the proxy itself
// generates the others.
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
	// ID and Text are copied from the caller's statement.
	ID, Text string
	// Name and Value have the same meaning as in Statement.
	Name, Value string
	Writes      bool
	// MinPosition makes the upstream refuse a read or a BEGIN with CodeLagging unless its
	// log has reached this position. The zero position disables the check.
	MinPosition entity.Position
	// Term is the promotion term of CommandPause.
	Term uint64
}

// Reply is an upstream's reply to one command.
type Reply struct {
	Rows []string
	// Signature identifies the upstream that completed the statement.
	Signature string
	Code      Code
	// Text describes an error code.
	Text  string
	State TransactionState
	// Position is the end of the upstream's log that is visible to reads.
	Position entity.Position
}

// Status is the replication status reported by an upstream.
type Status struct {
	Primary bool
	// Term is the highest promotion term that the upstream knows.
	Term uint64
	// Received is the end of the log that the upstream has received.
	Received entity.Position
	// PauseTerm is the term for which the upstream has paused replication; 0 means that it
	// is not paused.
	PauseTerm uint64
	Lag       time.Duration
	// Busy is the number of execution slots in use and Connections the number of open
	// connections, counting all clients.
	Busy, Connections int
}

// UpstreamConn is one connection to an upstream. It must be used by one goroutine at a
// time.
type UpstreamConn interface {
	// Send writes commands without waiting for replies.
	Send(deadline time.Time, commands ...Command) error
	// Receive returns the reply to the oldest unanswered command.
	Receive(deadline time.Time) (Reply, error)
	Close() error
}

// RefusedError is an error reply to a connection attempt or to a status command.
type RefusedError struct {
	Code Code
	Text string
}

// Error returns the code and its description.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("upstream refused with %s: %s", e.Code, e.Text)
}

// Protocol opens connections to upstreams.
type Protocol interface {
	// Dial connects to an upstream. It sends the database and upstream names, so that the
	// peer can refuse the connection if the address has been reused by another upstream.
	// identity names the organisation on whose behalf the connection is used; if it is
	// empty, the connection is the proxy's own.
	Dial(ctx context.Context, target Member, identity string) (UpstreamConn, error)
	// DecodeStatus parses the reply to CommandStatus, CommandPause or CommandResume. It
	// returns a *RefusedError if the reply has an error code.
	DecodeStatus(Reply) (Status, error)
}

// Member is one upstream as listed in the store.
type Member struct {
	Name             entity.Upstream
	Database         entity.Database
	Address          string
	AvailabilityZone string
	// Slots is the number of statements that the upstream executes concurrently.
	Slots int
	// Leaving is set once the upstream has announced its shutdown.
	Leaving bool
	// Primary is the role that the upstream reports of itself. It may be out of date.
	Primary bool
	// Incarnation changes when the upstream restarts.
	Incarnation int64
}

// Consistency is the guarantee that reads on a route have.
type Consistency uint8

// The consistency levels. StrictConsistency reads see every acknowledged commit.
// BoundedStaleness reads see every commit older than the route's MaxStaleness.
// SessionConsistency reads additionally see the session's own writes.
const (
	StrictConsistency Consistency = iota
	BoundedStaleness
	SessionConsistency
)

// Route maps a database name used by callers to a database group.
type Route struct {
	Name        string
	Database    entity.Database
	Consistency Consistency
	// MaxStaleness is the maximum age of the data that a read may return.
	MaxStaleness time.Duration
	// StatementTimeout bounds one statement. TargetLatency is the latency objective;
	// statements that take longer are logged as slow.
	StatementTimeout, TargetLatency time.Duration
	// Rank is the priority of the route; 0 is the most urgent.
	Rank int
	// Anonymous is set if callers need no key.
	Anonymous bool
}

// DatabaseLimits are the configured limits of a database.
type DatabaseLimits struct {
	// Connections is the maximum number of connections to one member, summed over all
	// proxies.
	Connections int
	// SyncReplicas is the number of replicas that must hold a commit before it is
	// acknowledged.
	SyncReplicas int
}

// Document is the operators' configuration in effect.
type Document struct {
	Version uint64
	// Routes is keyed by the database name that callers use.
	Routes    map[string]Route
	Databases map[entity.Database]DatabaseLimits
	// TransactionIdleTimeout is the maximum time that a transaction may stay idle; 0 means
	// no limit.
	TransactionIdleTimeout time.Duration
	// Organisations identifies callers by their keys. It is nil if the deployment has no
	// organisations; callers need no key then.
	Organisations *organisation.Directory
	// Source is the configuration as it was read. It is served to other proxies.
	Source []byte

	compressOnce     sync.Once
	compressedSource []byte
}

// compressed returns Source in gzip format, for other proxies. A configuration has many similar
// routes, and it passes the links of small VMs.
func (d *Document) compressed() []byte {
	d.compressOnce.Do(func() {
		var b bytes.Buffer
		// The level is valid, and a buffer accepts every write.
		w, _ := gzip.NewWriterLevel(&b, gzip.BestSpeed)
		_, _ = w.Write(d.Source)
		_ = w.Close()
		d.compressedSource = b.Bytes()
	})
	return d.compressedSource
}

// Errors returned by Store.
var (
	// ErrConflict means that the revision did not match; nothing was written.
	ErrConflict = errors.New("condition does not hold")
	// ErrLeaseExpired means that the lease no longer exists.
	ErrLeaseExpired = errors.New("lease has ended")
	// ErrCompacted means that changes after the requested revision are no longer available:
	// the watcher must list again.
	ErrCompacted = errors.New("history is no longer available")
	// ErrRestored is an ErrCompacted: the store was restored from a backup, and the requested
	// revision is of an earlier epoch.
	ErrRestored = fmt.Errorf("%w: the store was restored from a backup", ErrCompacted)
	// ErrNotApplied means that the request was refused and had no effect.
	ErrNotApplied = errors.New("the call was refused")
)

// ConflictError is an ErrConflict that tells the current revision of the key, 0 if the key
// does not exist.
type ConflictError struct{ Revision uint64 }

// Error returns the current revision.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("condition does not hold: the key has revision %d", e.Revision)
}

// Is reports that a ConflictError is an ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Change is one store entry that was listed, written or removed.
type Change struct {
	Revision uint64
	Removed  bool
	// Document, Member or Key is set according to the kind of entry. Document and Member
	// are nil for a removed or undecodable entry. Key is set for entries written by
	// proxies, and for entries with an invalid key.
	Document *Document
	Member   *Member
	// MemberName is set for every member entry, also for a removed or undecodable one.
	MemberName entity.Upstream
	Key        string
	Value      []byte
	// DecodeErr is the error that occurred while decoding the entry.
	DecodeErr error
	// Source is the entry as received from the store, served to other proxies. It is not
	// set for listed entries.
	Source []byte
}

// isConfiguration reports whether the change is one of the operators' configuration.
func (c *Change) isConfiguration() bool { return c.MemberName == "" && c.Key == "" }

// sameEntry reports whether both changes are of one entry.
func (c *Change) sameEntry(other *Change) bool {
	return c.MemberName == other.MemberName && c.Key == other.Key
}

// Store is the platform's key-value store.
type Store interface {
	// List returns all entries and the revision at which they were read. It returns
	// ErrRestored if the store was restored while it was read.
	List(ctx context.Context) ([]Change, Revision, error)
	// Watch returns the changes after a revision, and the revision to continue from. It
	// blocks until there is a change or until wait has passed. It returns ErrRestored if the
	// revision is of another epoch than the answer.
	Watch(ctx context.Context, after Revision, wait time.Duration) ([]Change, Revision, error)
	// Put writes a key if the number of its current revision matches (0: if it does not
	// exist) and returns the new number. On any error other than ErrConflict and
	// ErrNotApplied the write may have been applied, with ErrLeaseExpired only if the store
	// was restored during the call.
	Put(ctx context.Context, key string, value []byte, revision uint64, lease Lease) (uint64, error)
	// Get returns a key's value and revision; its number is 0 if the key does not exist.
	Get(ctx context.Context, key string) (value []byte, revision Revision, err error)
	// GrantLease creates a lease. Keys attached to it are removed when it ends.
	GrantLease(ctx context.Context, ttl time.Duration) (Lease, error)
	// RenewLease extends a lease by its full TTL. It returns ErrLeaseExpired if the lease no
	// longer exists or is of an earlier epoch.
	RenewLease(ctx context.Context, lease Lease) error
	// RevokeLease ends a lease and removes its keys. It does nothing for a lease of an earlier
	// epoch.
	RevokeLease(ctx context.Context, lease Lease) error
	// Epoch returns the highest epoch in an answer to any call so far.
	Epoch() uint64
}

// UnknownAge is the age of an answer of a proxy that does not report one.
const UnknownAge = time.Duration(-1)

// PeerDocument is the configuration in effect at another proxy.
type PeerDocument struct {
	// Document is nil if the caller has its version or a later one.
	Document *Document
	// Age is the age of the configuration when the other proxy answered, or UnknownAge.
	Age time.Duration
}

// Poll asks another proxy for the store changes after a revision.
type Poll struct {
	// After is the revision up to which the caller has all changes. Its epoch is 0 if it does not
	// know it.
	After Revision
	// WithDocument is set if the answer is to contain a changed configuration. Otherwise it tells
	// which version is in effect.
	WithDocument bool
	// Have is the version of the caller's configuration without WithDocument.
	Have uint64
	// Wait is how long the other proxy holds the poll if there is no change, and no later
	// configuration than Have.
	Wait time.Duration
}

// PeerChanges are store changes as served by another proxy.
type PeerChanges struct {
	Changes []Change
	// Revision is the revision up to which the other proxy has read the store. It may be
	// lower than the caller's.
	Revision Revision
	// Age is the time from the instant up to which the changes are known to be complete to
	// the answer, or UnknownAge.
	Age time.Duration
	// DocumentVersion is the version of the configuration in effect at the other proxy, which
	// includes every change up to Revision. It is 0 if Changes has the configuration.
	DocumentVersion uint64
}

// Peers exchanges store data with other proxies.
type Peers interface {
	// Document returns the configuration in effect at the proxy with the given address. have
	// is the version that the caller has, 0 if it has none.
	Document(ctx context.Context, address string, have uint64) (PeerDocument, error)
	// Changes returns the answer of the proxy with the given address to a poll. It returns
	// ErrCompacted if that proxy no longer has the changes.
	Changes(ctx context.Context, address string, poll Poll) (PeerChanges, error)
	// Announce tells the proxy with the given address of a takeover.
	Announce(ctx context.Context, address string, a Announcement) (AnnouncementReply, error)
}

// Errors returned by Promoter.
var (
	// ErrFenced means that a newer fencing token has been used, or that the member is not
	// running.
	ErrFenced = errors.New("promotion refused")
)

// Promoter calls the platform's promotion API.
type Promoter interface {
	// Promote makes a member the primary. The fence is a fencing token: the platform
	// refuses a token older than the newest one it has seen. On any error other than
	// ErrFenced and ErrNotApplied the promotion may still be carried out later.
	Promote(ctx context.Context, database entity.Database, target entity.Upstream, holder string, fence uint64) error
}
