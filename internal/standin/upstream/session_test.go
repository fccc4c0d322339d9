package upstream

import (
	"context"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgproto3"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// Guards against changes that are visible before commit or survive a rollback.
func TestTransactions(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c, other := connect(t, m), connect(t, m)
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM kv"), 1)
	assert.Equal(t, queryInt(t, other, "SELECT count(*) FROM kv"), 0)
	exec(t, c, "ROLLBACK")
	assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM kv"), 0)
	exec(t, c, "BEGIN")
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	expectError(t, c, "42601", "SELECT nonsense")
	expectError(t, c, "25P02", "SELECT 1")
	assert.Equal(t, c.PgConn().TxStatus(), byte('E'))
	assert.Equal(t, exec(t, c, "COMMIT"), "ROLLBACK")
	assert.Equal(t, len(m.Committed()), 0)
}

// Guards against statements of one simple query that do not share a
// transaction.
func TestImplicitTransactionOfSimpleQuery(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c := connect(t, m)
	query := func(text string) error {
		_, err := c.PgConn().Exec(testContext(t), text).ReadAll()
		return err
	}
	err := query("INSERT INTO kv (k, v) VALUES ('a;b', '1'); INSERT INTO kv (k, v) VALUES ('a;b', '2')")
	requireCode(t, err, "23505")
	assert.Equal(t, len(m.Committed()), 0)
	assert.NilError(t, query("BEGIN; INSERT INTO kv (k, v) VALUES ('a', '1'); COMMIT; -- done\n SELECT 1;"))
	assert.Equal(t, m.Executions("a").Committed, 1)
	assert.NilError(t, query(""))
	requireCode(t, query("SET TRANSACTION READ ONLY; DELETE FROM kv WHERE k = 'a'"), "25006")
	assert.Equal(t, m.Executions("a").Committed, 1)
}

// Guards against writes in read-only transactions.
func TestReadOnly(t *testing.T) {
	c := connect(t, startMember(t, Options{Name: "u1", Primary: true}))
	for _, begin := range []string{"BEGIN READ ONLY", "START TRANSACTION ISOLATION LEVEL READ COMMITTED, READ ONLY", "BEGIN; SET TRANSACTION READ ONLY"} {
		_, err := c.PgConn().Exec(testContext(t), begin).ReadAll()
		assert.NilError(t, err)
		expectError(t, c, "25006", "INSERT INTO kv (k, v) VALUES ('a', '1')")
		exec(t, c, "ROLLBACK")
	}
	exec(t, c, "SET default_transaction_read_only = on")
	expectError(t, c, "25006", "INSERT INTO kv (k, v) VALUES ('a', '1')")
	exec(t, c, "DISCARD ALL", pgx.QueryExecModeSimpleProtocol)
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')", pgx.QueryExecModeExec)
}

// Guards against session state that survives a rollback or DISCARD ALL.
func TestSessionState(t *testing.T) {
	c := connect(t, startMember(t, Options{Name: "u1", Primary: true}))
	simple := pgx.QueryExecModeSimpleProtocol
	exec(t, c, "BEGIN")
	exec(t, c, "SET LOCAL application_name = 'local'")
	exec(t, c, "SET search_path TO other")
	assert.Equal(t, queryText(t, c, "SHOW application_name"), "local")
	assert.Equal(t, c.PgConn().ParameterStatus("application_name"), "local")
	exec(t, c, "COMMIT")
	assert.Equal(t, c.PgConn().ParameterStatus("application_name"), "")
	assert.Equal(t, queryText(t, c, "SHOW application_name"), "")
	assert.Equal(t, queryText(t, c, "SHOW search_path"), "other")
	exec(t, c, "BEGIN")
	exec(t, c, "SET search_path = third")
	exec(t, c, "ROLLBACK")
	assert.Equal(t, queryText(t, c, "SHOW search_path"), "other")
	_, err := c.PgConn().Prepare(testContext(t), "named", "SELECT 1", nil)
	assert.NilError(t, err)
	exec(t, c, "BEGIN", simple)
	expectError(t, c, "25001", "DISCARD ALL", simple)
	exec(t, c, "ROLLBACK", simple)
	exec(t, c, "DISCARD ALL", simple)
	assert.Equal(t, queryText(t, c, "SHOW search_path", simple), "public")
	requireCode(t, c.PgConn().ExecPrepared(testContext(t), "named", nil, nil, nil).Read().Err, "26000")
}

// Guards against a pipeline that executes statements after an error, or
// responds in the wrong order.
func TestPipeline(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c := connect(t, m)
	batch := &pgx.Batch{}
	batch.Queue("INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
	batch.Queue("SELECT v FROM kv WHERE k = $1", "a")
	results := c.SendBatch(testContext(t), batch)
	_, err := results.Exec()
	assert.NilError(t, err)
	var value string
	assert.NilError(t, results.QueryRow().Scan(&value))
	assert.Equal(t, value, "1")
	assert.NilError(t, results.Close())

	batch = &pgx.Batch{}
	batch.Queue("INSERT INTO kv (k, v) VALUES ($1, $2)", "b", "1")
	batch.Queue("INSERT INTO kv (k, v) VALUES ($1, $2)", "a", "1")
	batch.Queue("INSERT INTO kv (k, v) VALUES ($1, $2)", "c", "1")
	requireCode(t, c.SendBatch(testContext(t), batch).Close(), "23505")
	assert.Equal(t, m.Executions("b"), Executions{Executed: 1})
	assert.Equal(t, m.Executions("c"), Executions{})
}

// Guards against portals that ignore the row limit or resume at the wrong row.
func TestPortalWithRowLimit(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c := connect(t, m)
	hijacked, err := c.PgConn().Hijack()
	assert.NilError(t, err)
	defer func() { _ = hijacked.Conn.Close() }()
	f := hijacked.Frontend
	f.Send(&pgproto3.Parse{Query: "SELECT generate_series(1, 5)"})
	f.Send(&pgproto3.Bind{})
	f.Send(&pgproto3.Describe{ObjectType: 'P'})
	for range 3 {
		f.Send(&pgproto3.Execute{MaxRows: 2})
	}
	f.Send(&pgproto3.Close{ObjectType: 'P'})
	f.Send(&pgproto3.Execute{})
	f.Send(&pgproto3.Parse{Query: "SELECT 1"})
	f.Send(&pgproto3.Sync{})
	assert.NilError(t, f.Flush())
	got := ""
	for {
		message, err := f.Receive()
		assert.NilError(t, err)
		switch m := message.(type) {
		case *pgproto3.DataRow:
			got += string(m.Values[0])
		case *pgproto3.PortalSuspended:
			got += " suspended "
		case *pgproto3.CommandComplete:
			got += " " + string(m.CommandTag)
		case *pgproto3.ErrorResponse:
			got += " " + m.Code
		case *pgproto3.ReadyForQuery:
			assert.Equal(t, got, "12 suspended 34 suspended 5 SELECT 5 34000")
			return
		}
	}
}

// Guards against large results that are truncated or reordered.
func TestLargeResult(t *testing.T) {
	const rows = 100_000
	c := connect(t, startMember(t, Options{Name: "u1"}))
	result, err := c.Query(testContext(t), "SELECT generate_series(1, $1)", rows)
	assert.NilError(t, err)
	next := 0
	for result.Next() {
		next++
		var n int
		assert.NilError(t, result.Scan(&n))
		assert.Equal(t, n, next)
	}
	assert.NilError(t, result.Err())
	assert.Equal(t, next, rows)
}

// Guards against cancel requests that miss the statement or cancel another
// session's.
func TestCancel(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c, other := connect(t, m), connect(t, m)
	var running errgroup.Group
	running.Go(func() error {
		_, err := c.Exec(testContext(t), "SELECT pg_sleep(60)")
		requireCode(t, err, "57014")
		return nil
	})
	eventually(t, "the statement runs", func() bool { return m.Counters().Running == 1 })
	assert.NilError(t, other.PgConn().CancelRequest(testContext(t)))
	assert.Equal(t, m.Counters().Running, 1)
	assert.NilError(t, c.PgConn().CancelRequest(testContext(t)))
	assert.NilError(t, running.Wait())
	exec(t, c, "SELECT 1")
}

// Guards against concurrent writers of one row that both succeed.
func TestRowLock(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	first, second := connect(t, m), connect(t, m)
	exec(t, first, "BEGIN")
	exec(t, first, "INSERT INTO skylarkhinge_ledger (request_id) VALUES ('r')")
	var waiting errgroup.Group
	waiting.Go(func() error {
		_, err := second.Exec(testContext(t), "INSERT INTO skylarkhinge_ledger (request_id) VALUES ('r')")
		return err
	})
	exec(t, first, "COMMIT")
	requireCode(t, waiting.Wait(), "23505")
	assert.Equal(t, m.Executions("r"), Executions{Executed: 1, Committed: 1})
}

// Guards against limits that admit too much, or that do not get back what was
// released.
func TestLimits(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true, MaxConnections: 4, Slots: 2, ServiceTime: time.Millisecond})
	var conns []*pgx.Conn
	for range 4 {
		conns = append(conns, connect(t, m))
	}
	_, err := pgx.Connect(testContext(t), "postgres://user@"+m.Address()+"/shop")
	requireCode(t, err, "53300")
	var group errgroup.Group
	for _, c := range conns {
		group.Go(func() error {
			for range 5 {
				if _, err := c.Exec(testContext(t), "SELECT 1"); err != nil {
					return err
				}
			}
			return nil
		})
	}
	assert.NilError(t, group.Wait())
	counters := m.Counters()
	assert.Equal(t, counters.PeakRunning, 2)
	assert.Equal(t, counters.Statements, 20)
	assert.NilError(t, conns[0].Close(testContext(t)))
	eventually(t, "a connection is free", func() bool { return m.Counters().Connections == 3 })
	connect(t, m)
}

// Guards against sessions on a database that is not served.
func TestDatabaseName(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Database: "other"})
	_, err := pgx.Connect(testContext(t), "postgres://user@"+m.Address()+"/shop")
	requireCode(t, err, "3D000")
}

// Guards against a truncated response that is sent in full, and a truncated
// query that has no effect.
func TestTruncateNext(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c, other := connect(t, m), connect(t, m)
	m.TruncateNext(3, "INSERT INTO kv")
	exec(t, other, "SELECT 1")
	hijacked, err := c.PgConn().Hijack()
	assert.NilError(t, err)
	hijacked.Frontend.Send(&pgproto3.Query{String: "INSERT INTO kv (k, v) VALUES ('a', '1')"})
	assert.NilError(t, hijacked.Frontend.Flush())
	response, err := io.ReadAll(hijacked.Conn)
	assert.NilError(t, err)
	assert.Equal(t, len(response), 3)
	assert.Equal(t, m.Executions("a").Committed, 1)
	exec(t, other, "INSERT INTO kv (k, v) VALUES ('b', '1')")
}

// Guards against an injected error whose statement takes effect, or that
// repeats beyond its count.
func TestFailNext(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c := connect(t, m)
	m.FailNext(1, &Error{Code: "SH001", Detail: "retry_after_ms=5"}, "INSERT")
	exec(t, c, "SELECT 1")
	failed := expectError(t, c, "SH001", "INSERT INTO kv (k, v) VALUES ('a', '1')")
	assert.Equal(t, failed.Detail, "retry_after_ms=5")
	exec(t, c, "INSERT INTO kv (k, v) VALUES ('a', '1')")
	assert.Equal(t, m.Executions("a"), Executions{Executed: 1, Committed: 1})
}

// Guards against a silenced connection that still responds, or that affects new
// connections.
func TestSilenceConnections(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	old := connect(t, m)
	m.SilenceConnections(ScopeCallers)
	short, cancel := context.WithTimeout(context.Background(), 20*time.Millisecond)
	defer cancel()
	_, err := old.Exec(short, "SELECT 1")
	assert.ErrorIs(t, err, context.DeadlineExceeded)
	exec(t, connect(t, m), "SELECT 1")
}

// Guards against a frozen member that executes statements or responds.
func TestFreeze(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	c := connect(t, m)
	m.Freeze(true)
	done := make(chan error, 1)
	go func() {
		_, err := c.Exec(testContext(t), "INSERT INTO kv (k, v) VALUES ('a', '1')")
		done <- err
	}()
	select {
	case <-done:
		t.Fatal("a frozen member answered")
	case <-time.After(20 * time.Millisecond):
	}
	assert.Equal(t, m.Executions("a"), Executions{})
	m.Freeze(false)
	assert.NilError(t, <-done)
}

// Guards against refused connections that affect open ones, and against a delay
// without effect.
func TestRefuseAndDelay(t *testing.T) {
	const delay = 20 * time.Millisecond
	m := startMember(t, Options{Name: "u1", Primary: true})
	c := connect(t, m)
	m.RefuseConnections(ScopeCallers, true)
	_, err := pgx.Connect(testContext(t), "postgres://user@"+m.Address()+"/shop")
	assert.Assert(t, err != nil)
	m.RefuseConnections(ScopeCallers, false)
	connect(t, m)
	m.DelayResponses(ScopeCallers, delay)
	start := time.Now()
	exec(t, c, "SELECT 1", pgx.QueryExecModeSimpleProtocol)
	assert.Assert(t, time.Since(start) >= delay)
}
