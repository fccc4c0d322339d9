package proxy

import (
	"context"
	"fmt"
	"math"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// Guards against faults of connection sharing: a transaction with statements of
// two callers, one that is committed in part or after its caller disconnected, and
// session state or a prepared statement that another caller sees. There are more
// callers than upstream connections.
func TestTransactionsNeverMix(t *testing.T) {
	const callers, rounds, rows = 16, 12, 3
	f := newFleet(t, 2, upstream.Options{})
	f.document.Databases[0].Upstreams[0].Slots, f.document.Databases[0].Upstreams[0].Connections = 3, 7
	f.document.Classes[0].Timeout = config.Duration(15 * time.Second)
	for _, p := range f.proxies {
		assert.NilError(t, p.PutDocument(f.document, 2))
	}
	ctx := testContext(t)
	var mu sync.Mutex
	expected := map[string]string{}
	expect := func(tx, state string) {
		mu.Lock()
		defer mu.Unlock()
		expected[tx] = state
	}
	var group errgroup.Group
	for caller := range callers {
		group.Go(func() error {
			rng := rand.New(rand.NewPCG(1, uint64(caller)))
			var conn *pgx.Conn
			for round := range rounds {
				if conn == nil {
					conn = f.connect(f.proxies[(caller+round)%2], "class", "order")
				}
				tx := fmt.Sprintf("c%d-%d", caller, round)
				end := rng.IntN(4)
				disconnectAt := rng.IntN(rows + 1)
				expect(tx, "lost")
				if err := runTransaction(ctx, conn, caller, tx, rows, end, disconnectAt); err != nil {
					return fmt.Errorf("%s: %w", tx, err)
				}
				switch end {
				case endCommit:
					expect(tx, "committed")
				case endDisconnect:
					conn.PgConn().Conn().Close()
					conn = nil
				}
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	committed := map[string]string{}
	for _, entry := range f.members[0].Committed() {
		tx, _, _ := strings.Cut(entry.Ops[0].Key, "/")
		assert.Equal(t, len(entry.Ops), rows, tx)
		for i, op := range entry.Ops {
			assert.Equal(t, op.Key, fmt.Sprintf("%s/%d", tx, i))
			assert.Equal(t, op.Value, strings.Split(tx, "-")[0])
		}
		assert.Equal(t, committed[tx], "")
		committed[tx] = "committed"
	}
	for tx, want := range expected {
		assert.Equal(t, committed[tx] == "committed", want == "committed", tx)
	}
}

// How a transaction of TestTransactionsNeverMix ends.
const (
	endCommit = iota
	endRollback
	endDisconnect
	endError
)

// runTransaction writes rows whose value is the caller's name, then ends the
// transaction. With endDisconnect it leaves the transaction open: it returns while
// the statement of row disconnectAt runs, or after all rows if there is no such row,
// and the test then closes the connection.
func runTransaction(ctx context.Context, conn *pgx.Conn, caller int, tx string, rows, end, disconnectAt int) error {
	callerName := fmt.Sprintf("c%d", caller)
	if _, err := conn.Exec(ctx, "BEGIN"); err != nil {
		return err
	}
	if _, err := conn.Exec(ctx, "SET LOCAL search_path = "+callerName); err != nil {
		return err
	}
	for i := range rows {
		if end == endDisconnect && i == disconnectAt {
			// Send a statement without waiting for its response.
			frontend := conn.PgConn().Frontend()
			frontend.Send(&pgproto3.Query{String: fmt.Sprintf("INSERT INTO kv (k, v) VALUES ('%s/%d', '%s'); SELECT pg_sleep(10)", tx, i, callerName)})
			return frontend.Flush()
		}
		if _, err := conn.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", fmt.Sprintf("%s/%d", tx, i), callerName); err != nil {
			return err
		}
		var seen string
		if err := conn.QueryRow(ctx, "SHOW search_path").Scan(&seen); err != nil || seen != callerName {
			return fmt.Errorf("search_path is %q: %w", seen, err)
		}
	}
	if end == endDisconnect {
		return nil
	}
	switch end {
	case endCommit:
		if _, err := conn.Exec(ctx, "COMMIT"); err != nil {
			return err
		}
	case endError:
		if _, err := conn.Exec(ctx, "LISTEN news"); err == nil {
			return fmt.Errorf("LISTEN was not refused")
		}
		// After the error, COMMIT must commit nothing.
		if tag, err := conn.Exec(ctx, "COMMIT"); err != nil || tag.String() != "ROLLBACK" {
			return fmt.Errorf("COMMIT after an error: %s, %w", tag, err)
		}
	case endRollback:
		if _, err := conn.Exec(ctx, "ROLLBACK"); err != nil {
			return err
		}
	}
	// Each caller prepares a different statement under the same name.
	if _, err := conn.Prepare(ctx, "mine", fmt.Sprintf("SELECT generate_series(1, %d)", caller+1)); err != nil {
		return err
	}
	result := conn.PgConn().ExecPrepared(ctx, "mine", nil, nil, nil).Read()
	if result.Err != nil || len(result.Rows) != caller+1 {
		return fmt.Errorf("%d rows: %w", len(result.Rows), result.Err)
	}
	var seen string
	if err := conn.QueryRow(ctx, "SHOW search_path").Scan(&seen); err != nil || seen != "public" {
		return fmt.Errorf("search_path is %q: %w", seen, err)
	}
	return conn.Deallocate(ctx, "mine")
}

// forwarderAndOwner returns a proxy that is not the owner, and the owner, once the
// two proxies agree on the owner. They disagree at first: for Membership.SettleTime
// after its first list of VMs, a proxy takes the other one for the owner.
func (f *fleet) forwarderAndOwner() (forwarder, owner *fleetProxy) {
	f.t.Helper()
	for ctx := testContext(f.t); ; time.Sleep(time.Millisecond) {
		var names []string
		for _, p := range f.proxies {
			assert.NilError(f.t, p.runBetweenTicks(ctx, func(n *core.Node) {
				for _, d := range n.Snapshot().Databases {
					names = append(names, string(d.Owner))
				}
			}))
		}
		switch {
		case len(names) < 2 || names[0] != names[1]:
		case names[0] == f.proxies[0].name:
			return f.proxies[1], f.proxies[0]
		default:
			return f.proxies[0], f.proxies[1]
		}
	}
}

// openTransactions returns the number of open transactions that the proxies know.
func (f *fleet) openTransactions() int {
	f.t.Helper()
	open := 0
	for _, p := range f.proxies {
		assert.NilError(f.t, p.runBetweenTicks(testContext(f.t), func(n *core.Node) { open += n.Snapshot().Transactions }))
	}
	return open
}

// Guards against a truncated result that looks complete, and against a part of it
// that arrives in a later response, when the stream between proxies breaks while
// the result is sent.
func TestPeerStreamBreaksWithinAResult(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{})
	forwarder, owner := f.forwarderAndOwner()
	s := &wireSession{t: t, fleet: f, x: forwarder, y: owner, key: "%k", conns: map[string]*wireConn{}}
	defer s.closeAll()
	s.connect("a", []string{"x", "class=lookup"})
	a := s.conns["a"]
	s.send(a, "Query SELECT generate_series(1, 600000)", false)
	s.readMessage(a)
	broken := forwarder.peers.client(owner.self).currentStream()
	broken.cancel()
	rows, failed := 0, false
	for a.pendingReady > 0 {
		switch m := s.receive(a).(type) {
		case *pgproto3.DataRow:
			rows++
		case *pgproto3.ErrorResponse:
			failed = true
			assert.Equal(t, m.Code, CodeUnknown)
		case *pgproto3.CommandComplete:
			t.Fatal("the result looks complete")
		}
	}
	assert.Assert(t, failed && rows < 600000, "%d rows", rows)
	s.transcript.Reset()
	s.send(a, "Query SELECT 1", false)
	for a.pendingReady > 0 {
		s.readMessage(a)
	}
	assert.Equal(t, s.transcript.String(), "  RowDescription ?column?\n  DataRow 1\n  CommandComplete SELECT 1\n  ReadyForQuery I\n")

	// Break a new stream between two statements of a transaction.
	for forwarder.peers.client(owner.self).currentStream() == broken {
		time.Sleep(time.Millisecond)
	}
	again, _ := f.forwarderAndOwner()
	assert.Equal(t, again, forwarder)
	s.connect("b", []string{"y", "class=order"})
	s.runLine("a: Query SET skylarkhinge.class = 'order'")
	s.runLine("a: Query BEGIN; INSERT INTO kv (k, v) VALUES ('k', 'a')")
	forwarder.peers.client(owner.self).currentStream().cancel()
	// A statement that is sent before both notice the break may still run.
	for f.openTransactions() > 0 {
		time.Sleep(time.Millisecond)
	}
	s.transcript.Reset()
	s.runLine("a: Query INSERT INTO kv (k, v) VALUES ('l', 'a')")
	assert.Assert(t, strings.HasSuffix(s.transcript.String(), "ReadyForQuery E\n"), s.transcript.String())
	s.runLine("a: Query COMMIT")
	assert.Assert(t, strings.HasSuffix(s.transcript.String(), "CommandComplete ROLLBACK\n  ReadyForQuery I\n"), s.transcript.String())
	s.runLine("b: Query INSERT INTO kv (k, v) VALUES ('k', 'b')")
	assert.Equal(t, len(f.members[0].Committed()), 1)
	assert.Equal(t, f.members[0].Committed()[0].Ops[0].Value, "b")
}

// Guards against a chunk of an ended request that becomes part of the response to
// the caller's next request.
func TestLateChunkIsDropped(t *testing.T) {
	p := New(Options{Settings: &config.Settings{VM: "p1", Seed: 1}})
	c := &callerConn{proxy: p, status: 'I'}
	first := &responsePipe{handle: 1, chunks: make(chan []byte), chunkErrs: make(chan error), done: make(chan struct{})}
	c.setRunning(first)
	returned := make(chan error)
	go func() { returned <- c.sendChunk(&inflightRequest{handle: 1}, []byte("late")) }()
	close(first.done)
	c.setRunning(&responsePipe{handle: 2, chunks: make(chan []byte), done: make(chan struct{})})
	assert.ErrorIs(t, <-returned, context.Canceled)
	assert.ErrorIs(t, c.sendChunk(&inflightRequest{handle: 1}, []byte("later")), context.Canceled)
}

// Guards against a declared deadline that is dropped or changed when it is
// converted for the request message.
func TestDeadlineInMillis(t *testing.T) {
	for d, want := range map[time.Duration]uint32{0: 0, time.Microsecond: 1, time.Second: 1000, 1201 * time.Microsecond: 2, 10_000 * time.Hour: math.MaxUint32} {
		assert.Equal(t, timeoutMillis(d), want)
	}
}

// Guards against a connection that is reused while a cancel request for its last
// batch is pending: the request would cancel another caller's statement.
func TestConnectionWaitsForCancel(t *testing.T) {
	c := newUpstreamConn(1, "u1")
	c.beginBatch()
	c.pendingCancels = 1
	usable := make(chan bool)
	go func() { usable <- c.endBatch(nil) }()
	select {
	case <-usable:
		t.Fatal("the connection was released")
	default:
	}
	c.mu.Lock()
	c.pendingCancels--
	c.cancelUncertain = true
	c.cond.Broadcast()
	c.mu.Unlock()
	assert.Assert(t, !<-usable)
	c.cancel(nil)
	assert.Equal(t, c.pendingCancels, 0, "a cancel request was sent although no batch runs")
}

// Guards against a cancel request that has no effect on a queued request, and
// against a cancelled queued request that is reported as a refusal to retry.
func TestCancelInTheQueue(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{})
	f.document.Databases[0].Upstreams[0].Slots, f.document.Databases[0].Upstreams[0].Connections = 1, 3
	for _, p := range f.proxies {
		assert.NilError(t, p.PutDocument(f.document, 2))
	}
	forwarder, owner := f.forwarderAndOwner()
	for _, p := range []*fleetProxy{owner, forwarder} {
		s := &wireSession{t: t, fleet: f, x: p, y: owner, key: "%k", conns: map[string]*wireConn{}}
		// The transaction holds the only connection.
		s.connect("a", []string{"y", "class=order"})
		s.runLine("a: Query BEGIN")
		s.connect("b", []string{"x", "class=order"})
		s.transcript.Reset()
		s.runLine("b^ Query SELECT 1")
		assert.Equal(t, s.transcript.String(), "b^ Query SELECT 1\n  ErrorResponse ERROR 57014 canceling statement due to user request; the request did not run\n  ReadyForQuery I\n")
		s.runLine("a: Query ROLLBACK")
		s.closeAll()
	}
}
