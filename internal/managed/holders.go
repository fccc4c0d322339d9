package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/takeover"
)

// statusCall is a call for what a member holds, whose result several commits share.
type statusCall struct {
	done   chan struct{}
	holder takeover.Holder
}

// sharedQuery returns what a member holds. Calls made while another one is in progress wait for its
// result: commits need only an answer that shows enough of the log, however old.
func (mon *monitor) sharedQuery(m *member, query func(*member) takeover.Holder) takeover.Holder {
	d := mon.db
	d.mu.Lock()
	call := m.statusCall
	if call == nil {
		call = &statusCall{done: make(chan struct{})}
		m.statusCall = call
		go func() {
			call.holder = query(m)
			d.mu.Lock()
			m.statusCall = nil
			d.mu.Unlock()
			close(call.done)
		}()
	}
	d.mu.Unlock()
	<-call.done
	return call.holder
}

// holderByStatus returns what a member holds according to its status.
func (mon *monitor) holderByStatus(m *member) takeover.Holder {
	r := mon.queryMember(m, Command{Kind: CommandStatus})
	return takeover.Holder{
		Name: m.name, Reached: r.err == nil, Primary: r.err == nil && r.status.Primary, Term: r.status.Term, Received: r.status.Received,
	}
}

// holderByLog returns what a replica holds according to the position in its reply to a transaction that
// it refuses, without its term. That takes no slot and is not priced. Without an idle connection the
// status is asked.
func (mon *monitor) holderByLog(m *member) takeover.Holder {
	d := mon.db
	d.mu.Lock()
	conn := m.takeIdle(&ownWork)
	d.mu.Unlock()
	if conn == nil {
		return mon.holderByStatus(m)
	}
	replies, err := conn.exchange(time.Now().Add(probeTimeout), Command{Kind: CommandBegin}, Command{Kind: CommandRollback})
	d.mu.Lock()
	defer d.mu.Unlock()
	if err != nil || replies[1].State != StateIdle {
		d.dropConnLocked(conn)
		return takeover.Holder{Name: m.name}
	}
	d.returnConn(conn)
	position := replies[1].Position
	return takeover.Holder{Name: m.name, Reached: !position.IsZero(), Term: position.Term, Received: position}
}
