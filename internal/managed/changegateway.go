package managed

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
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
		next := s.handOver(route)
		if next == nil {
			return false
		}
		if err := next.restore(&s.state); err != nil {
			s.proxy.events.rateLimited("hand_over_failed", "restore_session", string(next.vm), nil, err)
			// The new gateway has no state of the session yet.
			_ = next.conn.Close()
			return false
		}
		s.remote = next
	}
	// The old gateway holds no open transaction of the session.
	_ = before.conn.Close()
	return true
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
