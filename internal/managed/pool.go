package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// poolKey selects the idle connections that a request may use.
type poolKey struct {
	// organisation is the organisation of the request, empty if it has none. The upstream
	// learns it when a connection is opened and cannot be told another one later.
	organisation organisation.Name
	// anyOrganisation is set for the proxy's own work, which runs no statement of a caller.
	anyOrganisation bool
	// variablesKey is preferred, but not required, of the connection.
	variablesKey string
}

// ownWork selects any idle connection, preferably one without session variables.
var ownWork = poolKey{anyOrganisation: true}

func (k *poolKey) accepts(c *memberConn) bool {
	return k.anyOrganisation || c.organisation == k.organisation
}

// hasIdle reports whether an idle connection is acceptable.
func (m *member) hasIdle(key *poolKey) bool {
	for _, c := range m.idleConns {
		if key.accepts(c) {
			return true
		}
	}
	return false
}

// mayOpen reports whether a connection may be opened without closing another one.
func (m *member) mayOpen(at entity.Time, share int) bool {
	return m.openConns < share && at >= m.noNewConnsUntil
}

// hasConnection reports whether a request can get a connection: an idle one, a new one, or
// a new one in place of an idle one of another organisation. The latter is possible while
// the member refuses additional connections, unless a replacement was refused as well.
func (m *member) hasConnection(at entity.Time, share int, key *poolKey) bool {
	return m.hasIdle(key) || m.mayOpen(at, share) || (len(m.idleConns) > 0 && at >= m.noReplacementUntil)
}

// takeIdle removes and returns an acceptable idle connection, preferably one with the key's
// session variables, else one without any. It returns nil if there is none. The mutex is
// held.
func (m *member) takeIdle(key *poolKey) *memberConn {
	best := -1
	for i := len(m.idleConns) - 1; i >= 0; i-- {
		c := m.idleConns[i]
		if !key.accepts(c) {
			continue
		}
		if c.variablesKey == key.variablesKey {
			best = i
			break
		}
		if best < 0 || c.variablesKey == "" && m.idleConns[best].variablesKey != "" {
			best = i
		}
	}
	if best < 0 {
		return nil
	}
	conn := m.idleConns[best]
	m.idleConns = append(m.idleConns[:best], m.idleConns[best+1:]...)
	return conn
}

// assignConn gives the permit an idle connection or the right to open one. In the latter
// case it removes the longest idle connection from the pool if there is no room; connect
// closes it. The mutex is held.
func (p *permit) assignConn(at entity.Time, key *poolKey) {
	m := p.member
	p.organisation = key.organisation
	if p.conn = m.takeIdle(key); p.conn != nil {
		return
	}
	if !m.mayOpen(at, p.db.connectionShare) && len(m.idleConns) > 0 {
		p.evicted = m.idleConns[0]
		m.idleConns = append(m.idleConns[:0], m.idleConns[1:]...)
		p.evicted.pooled = false
		m.openConns--
	}
	m.openConns++
	p.reserved = true
}

// closeEvicted closes the connection that the permit's new connection replaces, if there is
// one, and reports whether there was. It must be called before the new one is opened, so
// that the member does not count both, and without the mutex.
func (p *permit) closeEvicted() bool {
	if p.evicted == nil {
		return false
	}
	closeConn(p.evicted)
	p.evicted = nil
	p.db.proxy.observer.countEviction()
	return true
}

// releaseReservation gives up the right to open a connection. The connection that it would
// have replaced returns to the pool. The mutex is held.
func (p *permit) releaseReservation() {
	if !p.reserved {
		return
	}
	p.reserved = false
	p.member.openConns--
	if p.evicted != nil {
		p.evicted.pooled = true
		p.member.openConns++
		p.db.returnConn(p.evicted)
		p.evicted = nil
	}
}

// deferInterval is the time after which a request is queued again that was granted a
// permit, but whose organisation can get no connection at the member.
const deferInterval = 20 * time.Millisecond
