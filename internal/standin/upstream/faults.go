package upstream

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

// MaxLag bounds the replication lag that can be set.
const MaxLag = time.Minute

// Scope selects the connections that a fault switch affects.
type Scope uint8

const (
	// ScopeCallers are the PostgreSQL connections.
	ScopeCallers Scope = 1 << iota
	// ScopeControl are the connections of the control service, which also
	// carry replication.
	ScopeControl
	// ScopeAll are both.
	ScopeAll = ScopeCallers | ScopeControl
)

var errIsolated = errors.New("the member is isolated from other members")

// faults holds the switches of replication and the truncation switch.
type faults struct {
	mu       sync.Mutex
	lag      time.Duration
	paused   bool
	isolated bool
	changed  chan struct{}
	links    map[int]context.CancelCauseFunc
	nextLink int

	failures      int
	failure       *Error
	failureQuery  string
	truncate      bool
	truncateBytes int
	truncateQuery string
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{}), links: map[int]context.CancelCauseFunc{}}
}

// update changes the switches and wakes those that wait on them.
func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// link registers a replication stream, which ends when the member is isolated.
func (f *faults) link(parent context.Context) (ctx context.Context, done func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancelCause(parent)
	id := f.nextLink
	f.nextLink++
	f.links[id] = cancel
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.links, id)
		cancel(nil)
	}, true
}

// waitRunning waits until replication is not paused.
func (f *faults) waitRunning(ctx context.Context) error {
	return f.wait(ctx, func() (time.Duration, bool) { return 0, !f.paused })
}

// waitLag waits until an entry committed at the time may arrive.
func (f *faults) waitLag(ctx context.Context, at time.Time) error {
	return f.wait(ctx, func() (time.Duration, bool) {
		left := f.lag - time.Since(at)
		return left, !f.paused && left <= 0
	})
}

// wait evaluates the condition under mu whenever a switch changes or the time
// that it returned has passed.
func (f *faults) wait(ctx context.Context, condition func() (time.Duration, bool)) error {
	for {
		f.mu.Lock()
		left, ok := condition()
		changed := f.changed
		f.mu.Unlock()
		if ok {
			return nil
		}
		var due <-chan time.Time
		if left > 0 {
			due = time.After(left)
		}
		select {
		case <-due:
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// due returns how many of the entries may arrive now.
func (f *faults) due(entries []Entry) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, entry := range entries {
		if f.paused || time.Since(entry.At) < f.lag {
			return i
		}
	}
	return len(entries)
}

// PauseReplication stops the member from sending and taking entries.
func (m *Member) PauseReplication(paused bool) {
	m.faults.update(func() { m.faults.paused = paused })
}

// SetLag sets the time after which entries reach this member, from 0 to MaxLag.
func (m *Member) SetLag(lag time.Duration) error {
	if lag < 0 || lag > MaxLag {
		return oops.In("upstream").With("step", "set lag").Errorf("lag %s is outside of 0 to %s", lag, MaxLag)
	}
	m.faults.update(func() { m.faults.lag = lag })
	return nil
}

// SetApplyDelay sets the age at which entries that the member holds become
// visible to reads on a replica.
func (m *Member) SetApplyDelay(delay time.Duration) {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	m.state.applyDelay = delay
}

// Isolate cuts the member off from other members. Callers and promoters still
// reach it.
func (m *Member) Isolate(isolated bool) {
	m.faults.update(func() {
		m.faults.isolated = isolated
		for _, cancel := range m.faults.links {
			if isolated {
				cancel(errIsolated)
			}
		}
	})
}

// Freeze stops the member as a suspended process stops: connections stay open
// and nothing answers until it is released.
func (m *Member) Freeze(frozen bool) { m.frozen.set(frozen) }

// RefuseConnections resets new connections.
func (m *Member) RefuseConnections(scope Scope, refuse bool) {
	for _, l := range m.scoped(scope) {
		l.refuse.Store(refuse)
	}
}

// SilenceConnections makes the connections that exist now accept bytes and
// never answer. New connections work. It returns how many are affected;
// connections of replication are not, since members do not check them.
func (m *Member) SilenceConnections(scope Scope) int {
	n := 0
	for _, l := range m.scoped(scope) {
		n += l.silence()
	}
	return n
}

// DelayResponses delays everything that is sent.
func (m *Member) DelayResponses(scope Scope, delay time.Duration) {
	for _, l := range m.scoped(scope) {
		l.delay.Store(int64(delay))
	}
}

// TruncateNext cuts the next answer to a query whose text contains the given
// text after some bytes and closes its connection. The query has its effect.
func (m *Member) TruncateNext(bytes int, query string) {
	m.faults.update(func() {
		m.faults.truncate, m.faults.truncateBytes, m.faults.truncateQuery = true, bytes, query
	})
}

func (m *Member) takeTruncation(query string) (bytes int, ok bool) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if !m.faults.truncate || query == "" || !strings.Contains(query, m.faults.truncateQuery) {
		return 0, false
	}
	m.faults.truncate = false
	return m.faults.truncateBytes, true
}

// FailNext makes the next statements whose query contains the text fail with
// the error, without any effect.
func (m *Member) FailNext(count int, failure *Error, query string) {
	m.faults.update(func() {
		m.faults.failures, m.faults.failure, m.faults.failureQuery = count, failure, query
	})
}

func (m *Member) takeFailure(query string) error {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.failures == 0 || !strings.Contains(query, m.faults.failureQuery) {
		return nil
	}
	m.faults.failures--
	return m.faults.failure
}

func (m *Member) scoped(scope Scope) []*listener {
	var out []*listener
	if scope&ScopeCallers != 0 {
		out = append(out, m.callers)
	}
	if scope&ScopeControl != 0 {
		out = append(out, m.control)
	}
	return out
}
