package proxy

import (
	"fmt"
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/internal/pgwire"
)

// requestMessage encodes a batch and its declarations as a peer request, the
// form in which a request is kept here and forwarded to its owner.
func (c *callerConn) requestMessage(batch *pgwire.Batch, d *pgwire.Declarations) *peerpb.Request {
	m := &peerpb.Request{
		Database:      c.database,
		User:          c.user,
		Class:         d.Class,
		Session:       d.Session,
		RequestId:     d.Request,
		Attempt:       d.Attempt,
		TimeoutMs:     timeoutMillis(d.Deadline),
		Token:         &peerpb.Position{Term: d.Token.Term, Offset: d.Token.Offset},
		Connection:    uint64(c.id),
		InTransaction: c.inTransaction(),
		Transaction:   c.transaction,
		Batch:         batch.Messages,
	}
	for _, s := range batch.Statements {
		m.Statements = append(m.Statements, &peerpb.Statement{Name: s.Name, Query: s.Query, ParameterOids: s.ParameterOIDs})
	}
	return m
}

// timeoutMillis converts a deadline to milliseconds. It rounds up, since 0 means
// that none was declared.
func timeoutMillis(d time.Duration) uint32 {
	return uint32(min((d+time.Millisecond-1)/time.Millisecond, math.MaxUint32))
}

// newArrival returns the core's input for a request: all but its messages.
func newArrival(r *inflightRequest) core.Arrival {
	m := r.request
	a := core.Arrival{
		Handle:        r.handle,
		Caller:        entity.CallerID(m.GetConnection()),
		Database:      entity.Database(m.GetDatabase()),
		User:          m.GetUser(),
		Class:         m.GetClass(),
		Attempt:       m.GetAttempt(),
		Timeout:       time.Duration(m.GetTimeoutMs()) * time.Millisecond,
		Token:         entity.Position{Term: m.GetToken().GetTerm(), Offset: m.GetToken().GetOffset()},
		InTransaction: m.GetInTransaction(),
		Transaction:   m.GetTransaction(),
	}
	a.Session = sessionKey(m)
	if id := m.GetRequestId(); id != "" {
		a.Request = requestKey(m.GetDatabase(), id)
	}
	return a
}

// sessionKey hashes the declared session name. Without a name, each caller
// connection is a session of its own.
func sessionKey(m *peerpb.Request) entity.SessionKey {
	if m.GetSession() != "" {
		return entity.SessionKey(xxhash.Sum64String("s" + m.GetSession()))
	}
	return entity.SessionKey(xxhash.Sum64String(fmt.Sprintf("c%d", m.GetConnection())))
}

// requestKey hashes a request id twice, to 128 bits, with the database in both.
func requestKey(database, id string) entity.RequestKey {
	return entity.RequestKey{
		xxhash.Sum64String(database + "\x00" + id),
		xxhash.Sum64String(id + "\x00" + database + "\x01"),
	}
}
