package upstream

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"github.com/samber/oops"
)

// MaxLag is the largest replication lag that SetLag accepts.
const MaxLag = time.Minute

// Scope selects the connections that a fault switch affects.
type Scope uint8

const (
	// ScopeCallers selects the PostgreSQL connections.
	ScopeCallers Scope = 1 << iota
	// ScopeControl selects the connections of the control service, which also
	// carry replication.
	ScopeControl
	// ScopeAll selects both.
	ScopeAll = ScopeCallers | ScopeControl
)

var errIsolated = errors.New("the member is isolated from other members")

// faults holds the replication switches, the pending injected failures and the
// pending truncation.
type faults struct {
	mu       sync.Mutex
	lag      time.Duration
	paused   bool
	isolated bool
	changed  chan struct{}
	// streamCancels cancels the open replication streams, by stream id.
	streamCancels map[int]context.CancelCauseFunc
	nextStreamID  int

	remainingFailures int
	failure           *Error
	failureQuery      string
	truncatePending   bool
	truncateBytes     int
	truncateQuery     string
}

func newFaults() *faults {
	return &faults{changed: make(chan struct{}), streamCancels: map[int]context.CancelCauseFunc{}}
}

// update changes the switches and wakes the goroutines in wait.
func (f *faults) update(change func()) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change()
	close(f.changed)
	f.changed = make(chan struct{})
}

// registerStream derives the context of a replication stream, which is
// cancelled when the member is isolated. Call done at the end of the stream. ok
// is false if the member is isolated.
func (f *faults) registerStream(parent context.Context) (ctx context.Context, done func(), ok bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.isolated {
		return nil, nil, false
	}
	ctx, cancel := context.WithCancelCause(parent)
	id := f.nextStreamID
	f.nextStreamID++
	f.streamCancels[id] = cancel
	return ctx, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		delete(f.streamCancels, id)
		cancel(nil)
	}, true
}

// waitUnpaused waits until replication is not paused.
func (f *faults) waitUnpaused(ctx context.Context) error {
	return f.wait(ctx, func() (time.Duration, bool) { return 0, !f.paused })
}

// waitLag waits until the lag of an entry committed at the given time has
// passed and replication is not paused.
func (f *faults) waitLag(ctx context.Context, at time.Time) error {
	return f.wait(ctx, func() (time.Duration, bool) {
		remaining := f.lag - time.Since(at)
		return remaining, !f.paused && remaining <= 0
	})
}

// wait blocks until the condition holds. It evaluates the condition under mu
// whenever a switch changes or the returned time has passed.
func (f *faults) wait(ctx context.Context, condition func() (time.Duration, bool)) error {
	for {
		f.mu.Lock()
		remaining, ok := condition()
		changed := f.changed
		f.mu.Unlock()
		if ok {
			return nil
		}
		var due <-chan time.Time
		if remaining > 0 {
			due = time.After(remaining)
		}
		select {
		case <-due:
		case <-changed:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
}

// countDue returns how many entries at the start of the slice may be stored
// now.
func (f *faults) countDue(entries []Entry) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, entry := range entries {
		if f.paused || time.Since(entry.At) < f.lag {
			return i
		}
	}
	return len(entries)
}

// PauseReplication stops the member from sending and storing log entries, or
// resumes both.
func (m *Member) PauseReplication(paused bool) {
	m.faults.update(func() { m.faults.paused = paused })
}

// SetLag sets the delay from the commit of an entry to its arrival at this
// member, from 0 to MaxLag.
func (m *Member) SetLag(lag time.Duration) error {
	if lag < 0 || lag > MaxLag {
		return oops.In("upstream").With("step", "set lag").Errorf("lag %s is outside of 0 to %s", lag, MaxLag)
	}
	m.faults.update(func() { m.faults.lag = lag })
	return nil
}

// SetApplyDelay sets the delay from the commit of an entry until reads on this
// member see it while it is a replica.
func (m *Member) SetApplyDelay(delay time.Duration) {
	m.state.mu.Lock()
	defer m.state.mu.Unlock()
	m.state.applyDelay = delay
}

// Isolate cuts the member off from the other members, or reconnects it: it ends
// and refuses replication streams while isolated is set. Callers and promoters still reach it.
func (m *Member) Isolate(isolated bool) {
	m.faults.update(func() {
		m.faults.isolated = isolated
		for _, cancel := range m.faults.streamCancels {
			if isolated {
				cancel(errIsolated)
			}
		}
	})
}

// Freeze suspends or resumes the member like a suspended process: connections
// stay open and nothing responds.
func (m *Member) Freeze(frozen bool) { m.freezeGate.setClosed(frozen) }

// RefuseConnections makes the member reset new connections in scope.
func (m *Member) RefuseConnections(scope Scope, refuse bool) {
	for _, l := range m.listenersIn(scope) {
		l.refuse.Store(refuse)
	}
}

// SilenceConnections makes the open connections in scope accept bytes and never
// respond; new connections work. It returns the number of affected connections.
// Replication connections are excluded, since members do not detect a silent
// one.
func (m *Member) SilenceConnections(scope Scope) int {
	n := 0
	for _, l := range m.listenersIn(scope) {
		n += l.silence()
	}
	return n
}

// DelayResponses delays every write to the connections in scope.
func (m *Member) DelayResponses(scope Scope, delay time.Duration) {
	for _, l := range m.listenersIn(scope) {
		l.delay.Store(int64(delay))
	}
}

// TruncateNext cuts the response to the next query that contains the text after
// the given number of bytes and closes its connection. The query still takes
// effect.
func (m *Member) TruncateNext(bytes int, query string) {
	m.faults.update(func() {
		m.faults.truncatePending, m.faults.truncateBytes, m.faults.truncateQuery = true, bytes, query
	})
}

// takeTruncation returns the length to which the response to the query is cut,
// and resets the switch. ok is false if it is not to be cut.
func (m *Member) takeTruncation(query string) (bytes int, ok bool) {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if !m.faults.truncatePending || query == "" || !strings.Contains(query, m.faults.truncateQuery) {
		return 0, false
	}
	m.faults.truncatePending = false
	return m.faults.truncateBytes, true
}

// FailNext makes the next count statements whose query contains the text fail
// with the error, without any effect.
func (m *Member) FailNext(count int, failure *Error, query string) {
	m.faults.update(func() {
		m.faults.remainingFailures, m.faults.failure, m.faults.failureQuery = count, failure, query
	})
}

// takeFailure returns the injected error for a statement, if any, and counts
// it.
func (m *Member) takeFailure(query string) error {
	m.faults.mu.Lock()
	defer m.faults.mu.Unlock()
	if m.faults.remainingFailures == 0 || !strings.Contains(query, m.faults.failureQuery) {
		return nil
	}
	m.faults.remainingFailures--
	return m.faults.failure
}

func (m *Member) listenersIn(scope Scope) []*listener {
	var out []*listener
	if scope&ScopeCallers != 0 {
		out = append(out, m.callers)
	}
	if scope&ScopeControl != 0 {
		out = append(out, m.control)
	}
	return out
}
