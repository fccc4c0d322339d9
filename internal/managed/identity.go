package managed

import (
	"encoding/hex"
	"strings"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// callerIdentity is what a session knows of its caller. It holds the digest of the key, not
// the key.
type callerIdentity struct {
	digest organisation.Digest
	// version is the version of the configuration by which the caller was last identified, 0 if
	// another proxy identified it; directory are its organisations, nil if it has none. An idle
	// session must not keep a whole configuration in memory.
	version   uint64
	directory *organisation.Directory
	// organisation is the caller's organisation, empty if it has none.
	organisation organisation.Name
	// unknown is set if no organisation holds the key and the route requires one.
	unknown bool
}

// organisationPrefix precedes the organisation's name in the identity that a proxy sends to
// a gateway. Without it, the identity is the name of the proxy's VM.
const organisationPrefix = "organisation:"

// gatewayIdentity returns the identity to send to a gateway, empty for the proxy's own.
func gatewayIdentity(name organisation.Name) string {
	if name == "" {
		return ""
	}
	return organisationPrefix + string(name)
}

// setCredential records the credential with which the session started. Another proxy sends
// the name of the organisation that it has identified.
func (s *session) setCredential(credential string) {
	if !s.fromPeer {
		s.identity.digest = organisation.DigestOf(credential)
		return
	}
	if name, ok := strings.CutPrefix(credential, organisationPrefix); ok {
		s.identity.organisation = organisation.Name(name)
	}
}

// identify identifies the caller by the configuration in effect and reports whether its
// requests may run. It costs one comparison unless the configuration has changed. Sessions
// from other proxies were identified there.
func (s *session) identify() bool {
	if s.fromPeer {
		return true
	}
	c := &s.identity
	doc := s.proxy.document()
	if doc.Version == c.version {
		return !c.unknown
	}
	c.version, c.directory, c.organisation, c.unknown = doc.Version, doc.Organisations, "", false
	if doc.Organisations == nil {
		return true
	}
	if o := doc.Organisations.Identify(c.digest); o != nil {
		c.organisation = o.Name
		return true
	}
	c.unknown = !doc.Routes[s.databaseName].Anonymous
	if c.unknown {
		s.proxy.events.callerUnknown(s, doc.Version)
	}
	return !c.unknown
}

// unauthenticated is the text of CodeUnauthenticated.
const unauthenticated = "key is unknown"

// refuseUnknown returns the reply to an operation of a caller whose key is unknown.
func (s *session) refuseUnknown() Reply {
	s.proxy.observer.countUnknownKey()
	return errorReply(CodeUnauthenticated, "not run: "+unauthenticated)
}

// digestPrefixBytes is the length of the part of a key's digest that appears in logs.
const digestPrefixBytes = 4

// digestPrefix identifies the caller's key in logs.
func (c *callerIdentity) digestPrefix() string {
	return hex.EncodeToString(c.digest[:digestPrefixBytes])
}

// logFields names the organisation of a request, if there is one.
func (c *callerIdentity) logFields() logrus.Fields {
	if c.organisation == "" {
		return nil
	}
	return logrus.Fields{"organisation": c.organisation}
}

// gatewayOrderKey returns the key by which gateways at equal distance are ordered. All
// sessions of an organisation prefer the same gateway, which reuses its connections. Those
// of a large organisation are spread, since one gateway's share of an upstream is too small
// for them.
func (s *session) gatewayOrderKey(gateways int) uint64 {
	o := s.organisation()
	if o == nil || s.identity.directory.IsLarge(o, gateways) {
		return uint64(now())
	}
	return xxhash.Sum64String(string(s.identity.organisation))
}

// poolKey returns the key for connections on which the session's statements may run.
func (s *session) poolKey() poolKey {
	return poolKey{organisation: s.identity.organisation, variablesKey: s.state.variablesKey}
}

// admit decides whether an operation may run: a statement outside a transaction, or the
// first statement of a transaction that goes to an upstream. It is called once for each
// operation, at the proxy to which the caller is connected. If it reports false, the
// operation ends with the reply.
func (s *session) admit(route *Route) (Reply, bool) {
	if !s.identify() {
		return s.refuseUnknown(), false
	}
	return s.admitOperation(*route, s.organisation())
}

// organisation returns the caller's organisation in the configuration by which the caller
// was identified, nil if it has none or if another proxy identified the caller.
func (s *session) organisation() *organisation.Organisation {
	if s.identity.directory == nil || s.identity.organisation == "" {
		return nil
	}
	return s.identity.directory.Lookup(s.identity.organisation)
}

// checkCaller decides whether a statement may be executed. If it reports false, the
// statement ends with the reply; an open transaction has been rolled back then.
func (s *session) checkCaller(statement *Statement) (Reply, bool) {
	if s.fromPeer {
		return Reply{}, true
	}
	known := s.identify()
	switch {
	case !s.needsCaller(statement):
		return Reply{}, true
	case !known:
		return s.failTransaction(statement, s.refuseUnknown()), false
	case s.transactionState() == StateOpen && s.transactionOrganisation() != s.identity.organisation:
		return s.failTransaction(statement, movedReply()), false
	case statement.Kind == StatementBegin || statement.Kind == StatementBeginRead || s.operationAdmitted():
		return Reply{}, true
	}
	route, ok := s.proxy.route(s.databaseName)
	switch {
	case ok:
	case s.transactionState() == StateIdle:
		return errorReply(CodeUnknownDatabase, "no route for this database"), false
	default:
		route = s.route
	}
	reply, ok := s.admit(&route)
	if !ok {
		return s.failTransaction(statement, reply), false
	}
	s.markAdmitted()
	return Reply{}, true
}

func movedReply() Reply {
	return errorReply(CodeAborted, "transaction was rolled back: the key belongs to another organisation now")
}

// needsCaller reports whether a statement may reach an upstream, now or as the start of a
// transaction.
func (s *session) needsCaller(statement *Statement) bool {
	switch statement.Kind {
	case StatementRead, StatementWrite:
		// In a failed transaction it would be refused as well, but a caller whose key was
		// revoked must learn that.
		return s.transactionState() != StateFailed || s.identity.unknown
	case StatementBegin, StatementBeginRead:
		return s.transactionState() == StateIdle
	case StatementExecute:
		_, prepared := s.state.prepared[statement.Name]
		return prepared && (s.transactionState() != StateFailed || s.identity.unknown)
	case StatementCommit:
		return s.transactionState() == StateOpen
	}
	return false
}

// transactionOrganisation returns the organisation for which the open transaction began.
func (s *session) transactionOrganisation() organisation.Name {
	if s.tx != nil {
		return s.tx.organisation
	}
	return s.remote.organisation
}

// operationAdmitted reports whether the statement belongs to a transaction whose first
// statement was admitted.
func (s *session) operationAdmitted() bool {
	if s.tx != nil {
		return s.tx.admitted
	}
	return s.remote != nil && s.remote.inTransaction() && s.remote.admitted
}

// markAdmitted records that the open transaction, if there is one, was admitted.
func (s *session) markAdmitted() {
	switch {
	case s.tx != nil:
		s.tx.admitted = true
	case s.remote != nil && s.remote.inTransaction():
		s.remote.admitted = true
	}
}

// failTransaction rolls an open transaction back, here or at the gateway, and returns the
// reply. The transaction then accepts only COMMIT and ROLLBACK, unless the statement ended
// it.
func (s *session) failTransaction(statement *Statement, reply Reply) Reply {
	if s.transactionState() == StateIdle {
		return reply
	}
	if s.remote != nil && s.remote.inTransaction() {
		s.remote.abandon()
		s.tx = &transaction{session: s}
	}
	s.tx.rollBackAsync()
	s.tx.markFailed("")
	reply, _ = s.tx.replyAfterFailure(statement, reply)
	return reply
}

// changedReply returns the reply to a request whose caller changed after it was checked.
func (s *session) changedReply() Reply {
	switch {
	case s.identity.unknown:
		return s.refuseUnknown()
	case s.transactionState() == StateOpen:
		return movedReply()
	}
	return errorReply(CodeBusy, "not run: the key belongs to another organisation now")
}

// leaveStaleGateway closes a gateway's connection, outside a transaction, that was opened
// for another organisation than the caller's. The next statement that needs one opens
// another.
func (s *session) leaveStaleGateway() {
	r := s.remote
	if r == nil || r.broken || r.inTransaction() {
		return
	}
	if s.identity.unknown || r.organisation != s.identity.organisation {
		r.abandon()
	}
}

// callerChanged reports whether the caller of a request that has waited since it was
// checked is unknown now or belongs to another organisation. Nothing must be sent then.
func (s *session) callerChanged(name organisation.Name) bool {
	return !s.identify() || s.identity.organisation != name
}
