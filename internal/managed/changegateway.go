package managed

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// gatewayUnavailable reports whether the session's gateway has failed, for this session or
// another one, or is no longer listed because it stopped or is shutting down. A gateway
// that is shutting down keeps serving for rotationDelay.
func (s *session) gatewayUnavailable() bool {
	return s.remote.broken || s.proxy.suspectedGateways.has(s.remote.vm) || !s.proxy.isListed(s.remote.vm)
}

func (p *Proxy) isListed(vm entity.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, listed := p.proxies.listed[string(vm)]
	return listed
}

// changeGateway moves the session, which must have no open transaction, to another gateway
// or to this proxy. It reports false and changes nothing if no gateway can take it.
func (s *session) changeGateway() bool {
	route, ok := s.proxy.route(s.databaseName)
	if !ok {
		return false
	}
	before := s.remote
	if s.proxy.database(route.Database).handOverTargets() == nil {
		s.remote = nil
	} else {
		next := s.restoreAtGateway(route, handOverAttempts)
		if next == nil {
			return false
		}
		s.remote = next
	}
	// The old gateway holds no open transaction of the session.
	_ = before.conn.Close()
	return true
}

// moveDelay is the least time between two moves of a session by moveToGateway.
const moveDelay = time.Second

// moveToGateway moves a session without an open transaction that a proxy other than a
// gateway of the database serves: this one or another one. That proxy began to serve it
// before it knew the gateways, or when none could be reached, and takes connections that
// are the gateways' share.
func (s *session) moveToGateway(at entity.Time) {
	if s.fromPeer || s.tx != nil || at < s.nextMove || s.remote != nil && s.remote.inTransaction() {
		return
	}
	route, ok := s.proxy.route(s.databaseName)
	if !ok || s.proxy.database(route.Database).isGatewaySession(s.remote) {
		return
	}
	s.nextMove = at.Add(moveDelay)
	if s.remote == nil {
		s.remote = s.restoreAtGateway(route, 1)
		return
	}
	s.changeGateway()
}

// isGatewaySession reports whether a gateway of the database serves a session: this proxy
// if remote is nil.
func (d *database) isGatewaySession(remote *remoteSession) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	if remote == nil {
		return d.isGateway
	}
	return gateway.Contains(d.gateways, remote.vm)
}

// restoreAtGateway opens the session with its state at a gateway, trying a number of them.
// It returns nil if that fails.
func (s *session) restoreAtGateway(route Route, attempts int) *remoteSession {
	next := s.handOver(route, attempts)
	if next == nil {
		return nil
	}
	if err := next.restore(&s.state); err != nil {
		s.proxy.events.rateLimited("hand_over_failed", "restore_session", string(next.vm), nil, err)
		// The gateway has no state of the session yet.
		_ = next.conn.Close()
		return nil
	}
	return next
}

// lastWriteVariable is the reserved session variable in which a proxy sends a gateway the
// log position of the session's last write.
const lastWriteVariable = "skylarkhinge.written"

// setLastWrite parses the position that another proxy sent in lastWriteVariable.
func (s *sessionState) setLastWrite(text string) error {
	var p entity.Position
	if _, err := fmt.Sscanf(text, positionFormat, &p.Term, &p.Offset); err != nil {
		return err
	}
	s.lastWrite = p
	return nil
}

// positionFormat formats the term and the offset of a position.
const positionFormat = "%d.%d"

// restore sends the session's variables, prepared statements and last write position to a
// new gateway.
func (r *remoteSession) restore(state *sessionState) error {
	var commands []Command
	for _, v := range state.variables {
		commands = append(commands, Command{Kind: CommandSet, Name: v.name, Value: v.value})
	}
	for name, p := range state.prepared {
		commands = append(commands, Command{Kind: CommandPrepare, Name: name, Value: p.template, Writes: p.writes})
	}
	if !state.lastWrite.IsZero() {
		commands = append(commands, Command{Kind: CommandSet, Name: lastWriteVariable, Value: fmt.Sprintf(positionFormat, state.lastWrite.Term, state.lastWrite.Offset)})
	}
	if len(commands) == 0 {
		return nil
	}
	reply, err := r.exchange(time.Now().Add(handOverTimeout), commands...)
	if err == nil && reply.Code != CodeNone {
		err = &RefusedError{Code: reply.Code, Text: reply.Text}
	}
	return err
}
