package managed

import (
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// gatewayGone reports whether the gateway failed, for this session or another one,
// or is no longer listed, since it ended or shuts down. A gateway that shuts down
// serves on for rotationDelay.
func (s *session) gatewayGone() bool {
	return s.remote.broken || s.proxy.suspects.has(s.remote.vm) || !s.proxy.isListed(s.remote.vm)
}

func (p *Proxy) isListed(vm entity.VM) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	_, listed := p.proxies.listed[string(vm)]
	return listed
}

// leaveGateway moves the session, which has no open transaction, to another gateway
// or to this proxy. If there is none, the session stays and it reports false.
func (s *session) leaveGateway() bool {
	route, ok := s.proxy.route(s.host)
	if !ok {
		return false
	}
	before := s.remote
	if s.proxy.database(route.Database).gatewaysFor() == nil {
		s.remote = nil
	} else {
		next := s.handOver(route)
		if next == nil {
			return false
		}
		if err := next.restore(&s.state); err != nil {
			s.proxy.events.limited("hand_over_failed", "restore_session", string(next.vm), nil, err)
			// The gateway has nothing of the session yet.
			_ = next.conn.Close()
			return false
		}
		s.remote = next
	}
	// The old gateway has nothing open for the session.
	_ = before.conn.Close()
	return true
}

// writtenSetting is the session value with which a proxy tells a gateway the end of
// the log after the session's last write.
const writtenSetting = "skylarkhinge.written"

// setWritten takes over the position that another proxy tells with writtenSetting.
func (s *sessionState) setWritten(text string) error {
	var p entity.Position
	if _, err := fmt.Sscanf(text, writtenForm, &p.Term, &p.Offset); err != nil {
		return err
	}
	s.written = p
	return nil
}

// writtenForm has the term and the offset of a position.
const writtenForm = "%d.%d"

// restore gives a gateway the state of a session that was elsewhere before.
func (r *remote) restore(state *sessionState) error {
	var commands []Command
	for _, v := range state.values {
		commands = append(commands, Command{Kind: CommandSet, Name: v.name, Value: v.value})
	}
	for name, p := range state.prepared {
		commands = append(commands, Command{Kind: CommandPrepare, Name: name, Value: p.shape, Writes: p.writes})
	}
	if !state.written.IsZero() {
		commands = append(commands, Command{Kind: CommandSet, Name: writtenSetting, Value: fmt.Sprintf(writtenForm, state.written.Term, state.written.Offset)})
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
