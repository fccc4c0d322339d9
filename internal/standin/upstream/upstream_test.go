package upstream

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/jackc/pgx/v5"
	"github.com/jackc/pgx/v5/pgconn"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

func discardLogger() logrus.FieldLogger {
	log := logrus.New()
	log.SetOutput(io.Discard)
	return log
}

func startMember(t *testing.T, options Options) *Member {
	t.Helper()
	options.Log = discardLogger()
	m, err := Start(options)
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	return m
}

func startGroup(t *testing.T, options Options) []*Member {
	t.Helper()
	options.Name, options.Log = "u", discardLogger()
	members, err := StartGroup(3, options)
	assert.NilError(t, err)
	t.Cleanup(func() { CloseGroup(members) })
	return members
}

func testContext(t *testing.T) context.Context {
	ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
	t.Cleanup(cancel)
	return ctx
}

func connect(t *testing.T, m *Member) *pgx.Conn {
	t.Helper()
	c, err := pgx.Connect(testContext(t), "postgres://user@"+m.Address()+"/shop?sslmode=prefer")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close(context.Background()) })
	return c
}

func exec(t *testing.T, c *pgx.Conn, query string, arguments ...any) string {
	t.Helper()
	tag, err := c.Exec(testContext(t), query, arguments...)
	assert.NilError(t, err)
	return tag.String()
}

func expectError(t *testing.T, c *pgx.Conn, code, query string, arguments ...any) *pgconn.PgError {
	t.Helper()
	_, err := c.Exec(testContext(t), query, arguments...)
	return requireCode(t, err, code)
}

func requireCode(t *testing.T, err error, code string) *pgconn.PgError {
	t.Helper()
	var pgErr *pgconn.PgError
	assert.Assert(t, errors.As(err, &pgErr), "%v", err)
	assert.Equal(t, pgErr.Code, code)
	return pgErr
}

func queryText(t *testing.T, c *pgx.Conn, query string, arguments ...any) string {
	t.Helper()
	var value string
	assert.NilError(t, c.QueryRow(testContext(t), query, arguments...).Scan(&value))
	return value
}

func queryInt(t *testing.T, c *pgx.Conn, query string, arguments ...any) int {
	t.Helper()
	var value int
	assert.NilError(t, c.QueryRow(testContext(t), query, arguments...).Scan(&value))
	return value
}

func eventually(t *testing.T, what string, condition func() bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if condition() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithDelay(time.Millisecond), poll.WithTimeout(10*time.Second))
}

// Guards against wrong values or formats in any query mode.
func TestStatements(t *testing.T) {
	m := startMember(t, Options{Name: "u1", Primary: true})
	for _, mode := range []pgx.QueryExecMode{pgx.QueryExecModeCacheStatement, pgx.QueryExecModeDescribeExec, pgx.QueryExecModeExec, pgx.QueryExecModeSimpleProtocol} {
		t.Run(mode.String(), func(t *testing.T) {
			c := connect(t, m)
			key := mode.String()
			before := queryInt(t, c, "SELECT count(*) FROM kv", mode)
			assert.Equal(t, exec(t, c, "/*skylarkhinge class=order*/ INSERT INTO kv (k, v) VALUES ($1, $2)", mode, key, "it's"), "INSERT 0 1")
			assert.Equal(t, queryText(t, c, "SELECT v FROM kv WHERE k = $1", mode, key), "it's")
			assert.Equal(t, exec(t, c, "UPDATE kv SET v = $1 WHERE k = $2", mode, "b", key), "UPDATE 1")
			assert.Equal(t, exec(t, c, "UPDATE kv SET v = 'x' WHERE k = 'missing'", mode), "UPDATE 0")
			assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM kv", mode), before+1)
			expectError(t, c, "23505", "INSERT INTO kv (k, v) VALUES ($1, 'x')", mode, key)
			exec(t, c, "INSERT INTO skylarkhinge_ledger (request_id) VALUES ($1)", mode, key)
			failed := expectError(t, c, "23505", "INSERT INTO skylarkhinge_ledger (request_id) VALUES ($1)", mode, key)
			assert.Equal(t, failed.TableName, TableLedger)
			assert.Equal(t, queryInt(t, c, "SELECT count(*) FROM skylarkhinge_ledger WHERE request_id = $1", mode, key), 1)
			assert.Equal(t, exec(t, c, "DELETE FROM kv WHERE k = $1", mode, key), "DELETE 1")
			assert.Equal(t, queryInt(t, c, "SELECT 1", mode), 1)
			exec(t, c, "SET application_name = 'shop'", mode)
			assert.Equal(t, queryText(t, c, "SHOW application_name", mode), "shop")
			expectError(t, c, "42601", "SELECT something FROM elsewhere", mode)
			assert.Equal(t, m.Executions(key), Executions{Executed: 4, Committed: 4})
		})
	}
}
