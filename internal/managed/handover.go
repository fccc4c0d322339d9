package managed

import (
	"context"
	"fmt"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

const (
	// handOverTimeout bounds the way to one gateway. Callers give a new session up
	// after 2 s, so that three gateways fit.
	handOverTimeout = 500 * time.Millisecond
	// handOverTries is the number of gateways that are tried.
	handOverTries = 3
	// handOverSlack is the time that a gateway has beyond the statement's own.
	handOverSlack = 300 * time.Millisecond
)

// remote is a session that a gateway serves. Its values, prepared statements and
// transaction live there.
type remote struct {
	conn Upstream
	vm   entity.VM
	// open is set while the caller has a transaction open or failed.
	open bool
	// broken is set once the gateway did not answer.
	broken bool
}

// handOver starts the session at a gateway of its database. It returns nil if this
// proxy serves the database itself, or if no gateway can be reached.
func (s *session) handOver(route Route) *remote {
	if s.fromPeer {
		return nil
	}
	d := s.proxy.database(route.Database)
	gateways := d.gatewaysFor()
	if gateways == nil {
		return nil
	}
	ordered := s.proxy.suspects.last(gateway.Nearest(gateways, s.proxy.self(), uint64(now())))
	for _, g := range ordered[:min(handOverTries, len(ordered))] {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		conn, err := s.proxy.options.Protocol.Dial(ctx, Member{Name: entity.Upstream(g.VM), Database: entity.Database(s.host), Address: g.Address})
		cancel()
		if err == nil {
			return &remote{conn: conn, vm: g.VM}
		}
		s.proxy.suspects.add(g.VM)
		s.proxy.events.limited("hand_over_failed", "hand_over", string(g.VM), nil, err)
	}
	return nil
}

// executeRemote passes a statement to the gateway. last is set if the session
// cannot go on, since its transaction was lost with the gateway.
func (s *session) executeRemote(statement *Statement, arrived entity.Time) (reply Reply, state TransactionState, last bool) {
	if !s.remote.open && s.gatewayGone() {
		s.leaveGateway()
	}
	defer since(&s.stages.run, now())
	deadline := s.remoteDeadline()
	for moved := false; s.remote != nil; moved = true {
		r := s.remote
		s.stages.tries++
		s.stages.member = entity.Upstream(r.vm)
		reply, err := r.exchange(deadline, Command{Kind: CommandStatement, ID: statement.ID, Text: statement.Text})
		if err == nil {
			s.noteRemote(statement, reply)
			return reply, reply.State, false
		}
		r.broken = true
		s.proxy.suspects.add(r.vm)
		repeat := !moved && !r.open && s.repeatable(statement) && time.Now().Before(deadline)
		if !repeat || !s.leaveGateway() {
			return r.lost(statement, err), StateIdle, r.open
		}
	}
	reply, state = s.execute(statement, arrived)
	return reply, state, false
}

// remoteDeadline bounds a statement at a gateway.
func (s *session) remoteDeadline() time.Time {
	route, _ := s.proxy.route(s.host)
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	return time.Now().Add(timeout + handOverSlack)
}

// exchange sends commands and returns the last reply, or the first that is an error.
func (r *remote) exchange(deadline time.Time, commands ...Command) (Reply, error) {
	if err := r.conn.Send(deadline, commands...); err != nil {
		return Reply{}, err
	}
	var reply Reply
	for range commands {
		var err error
		if reply, err = r.conn.Receive(deadline); err != nil || reply.Code != CodeNone {
			return reply, err
		}
	}
	return reply, nil
}

// noteRemote keeps what the session needs at another gateway.
func (s *session) noteRemote(statement *Statement, reply Reply) {
	s.remote.open = reply.State != StateIdle
	if !reply.Position.IsZero() {
		s.state.written = reply.Position
	}
	if reply.Code == CodeNone {
		s.local(statement)
	}
}

// repeatable reports whether a statement outside a transaction may run twice.
func (s *session) repeatable(statement *Statement) bool {
	switch statement.Kind {
	case StatementWrite, StatementCommit:
		return false
	case StatementExecute:
		return !s.state.writes(statement)
	}
	return true
}

// gatewayGone reports whether the gateway failed, for this session or another one,
// or is no longer listed, since it ended or shuts down. A gateway that shuts down
// serves on for rotationDelay.
func (s *session) gatewayGone() bool {
	return s.remote.broken || s.proxy.suspects.has(s.remote.vm) || !s.proxy.isListed(s.remote.vm)
}

// suspectTime is how long a gateway is avoided after a failure, so that each session
// does not wait for it in turn. It is longer than handOverTries dials.
const suspectTime = 3 * time.Second

// suspectedGateways are the gateways that failed a moment ago. It is safe for
// concurrent use.
type suspectedGateways struct {
	mu    sync.Mutex
	until map[entity.VM]entity.Time
}

func (g *suspectedGateways) add(vm entity.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.until == nil {
		g.until = map[entity.VM]entity.Time{}
	}
	g.until[vm] = now().Add(suspectTime)
}

func (g *suspectedGateways) has(vm entity.VM) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, known := g.until[vm]
	if known && now() >= until {
		delete(g.until, vm)
		return false
	}
	return known
}

// last moves the suspected gateways to the end.
func (g *suspectedGateways) last(gateways []gateway.Proxy) []gateway.Proxy {
	var suspected, others []gateway.Proxy
	for _, p := range gateways {
		if g.has(p.VM) {
			suspected = append(suspected, p)
		} else {
			others = append(others, p)
		}
	}
	return append(others, suspected...)
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
		err = &Refused{Code: reply.Code, Text: reply.Text}
	}
	return err
}

// lost returns the answer to a statement whose gateway failed. A transaction ends
// with its gateway unless its commit was sent.
func (r *remote) lost(statement *Statement, err error) Reply {
	text := fmt.Sprintf("proxy %s failed: %v", r.vm, err)
	switch {
	case statement.Kind == StatementRead && !r.open:
		return failure(CodeTimeout, text)
	case r.open && statement.Kind != StatementCommit:
		return failure(CodeAborted, text)
	case statement.Kind == StatementWrite || statement.Kind == StatementExecute || statement.Kind == StatementCommit:
		return failure(CodeInDoubt, text)
	}
	return failure(CodeAborted, text)
}

// gatewaysFor returns the gateways to hand sessions to, nil if this proxy serves
// the database itself.
func (d *database) gatewaysFor() []gateway.Proxy {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.serves {
		return nil
	}
	return d.gateways
}

// self describes this proxy as other proxies list it.
func (p *Proxy) self() gateway.Proxy {
	s := p.settings()
	return gateway.Proxy{VM: entity.VM(s.VM), AvailabilityZone: s.AvailabilityZone, Region: s.Region, Address: s.PeerAddress, StatusAddress: s.MetricsAddress}
}

// usersOf tells who reaches the upstreams of a database.
type usersOf struct {
	gateways []gateway.Proxy
	// serves is set if this proxy is one of the gateways.
	serves bool
	// sharing is the number of proxies that share an upstream's connections,
	// neighbours how many of them are in this availability zone.
	sharing, neighbours int
}

// users returns who reaches a database's upstreams with the given limits. The mutex
// is held.
func (p *Proxy) users(name entity.Database, limits gateway.Limits) usersOf {
	self := p.self()
	proxies := []gateway.Proxy{self}
	for _, other := range p.proxies.listed {
		if other.VM != self.VM && other.Address != "" {
			proxies = append(proxies, other)
		}
	}
	u := usersOf{gateways: gateway.Choose(proxies, name, limits)}
	u.serves = gateway.Contains(u.gateways, self.VM) || self.Address == ""
	u.sharing = len(u.gateways)
	if u.sharing == len(proxies) {
		u.sharing = max(u.sharing, p.proxies.count())
	}
	for _, g := range u.gateways {
		if g.AvailabilityZone == self.AvailabilityZone {
			u.neighbours++
		}
	}
	return u
}
