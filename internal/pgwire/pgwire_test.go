package pgwire

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// assemble adds messages to the assembler and returns the batch that the last one
// completes, nil if none does.
func assemble(t testing.TB, a *Assembler, messages ...pgproto3.FrontendMessage) *Batch {
	t.Helper()
	for i, m := range messages {
		b, err := a.Add(m)
		assert.NilError(t, err)
		if b != nil {
			assert.Equal(t, i, len(messages)-1, "the batch ended early")
			return b
		}
	}
	return nil
}

func queryBatch(t testing.TB, text string) *Batch {
	return assemble(t, NewAssembler(1<<20), &pgproto3.Query{String: text})
}

type (
	parse    = pgproto3.Parse
	bind     = pgproto3.Bind
	describe = pgproto3.Describe
	execute  = pgproto3.Execute
	closing  = pgproto3.Close
	complete = pgproto3.CommandComplete
	failure  = pgproto3.ErrorResponse
	ready    = pgproto3.ReadyForQuery
)

// Guards against responses that are matched to the wrong message, lost or emitted
// twice, and against the further use of a connection that is out of sync.
func TestSequencer(t *testing.T) {
	known := Statement{Query: "known"}
	known.Name = statementName(known)
	steps := []pgproto3.FrontendMessage{
		&parse{Query: "known"}, &bind{}, &execute{}, &closing{ObjectType: 'S'},
		&parse{Name: "n", Query: "new"}, &describe{ObjectType: 'S', Name: "n"}, &closing{ObjectType: 'P'}, &pgproto3.Sync{},
	}
	execResponse := []pgproto3.BackendMessage{&pgproto3.BindComplete{}, &pgproto3.DataRow{}, &complete{}}
	rest := []pgproto3.BackendMessage{&pgproto3.ParseComplete{}, &pgproto3.ParameterDescription{}, &pgproto3.NoData{}, &pgproto3.CloseComplete{}, &ready{TxStatus: 'I'}}
	messages := func(m ...pgproto3.BackendMessage) []pgproto3.BackendMessage { return m }
	simple := []pgproto3.FrontendMessage{&pgproto3.Query{String: "q"}}
	all := "ParseComplete BindComplete DataRow CommandComplete CloseComplete ParseComplete ParameterDescription NoData CloseComplete ReadyForQuery"
	for _, c := range []struct {
		name     string
		send     []pgproto3.FrontendMessage
		response [][]pgproto3.BackendMessage
		want     string
		hidden   bool
	}{
		{"synthetic answers keep their places", steps, [][]pgproto3.BackendMessage{execResponse, rest}, all, false},
		{"the proxy's own Parse is not shown", steps[1:], [][]pgproto3.BackendMessage{messages(&pgproto3.ParseComplete{}), execResponse, rest}, strings.TrimPrefix(all, "ParseComplete "), true},
		{"an error of the proxy's own Parse is shown", steps[1:], [][]pgproto3.BackendMessage{messages(&failure{}, &ready{})}, "ErrorResponse ReadyForQuery", true},
		{"an error skips synthetic answers too", steps, [][]pgproto3.BackendMessage{messages(&pgproto3.BindComplete{}, &failure{}, &ready{})}, "ParseComplete BindComplete ErrorResponse ReadyForQuery", false},
		{"messages of the connection are not shown", simple, [][]pgproto3.BackendMessage{messages(&pgproto3.ParameterStatus{}, &complete{}, &pgproto3.NotificationResponse{}, &pgproto3.NoticeResponse{}, &ready{})}, "CommandComplete NoticeResponse ReadyForQuery", false},
		{"ready too early", steps, [][]pgproto3.BackendMessage{messages(&pgproto3.BindComplete{}, &ready{})}, "ParseComplete BindComplete error", false},
		{"response to another message", steps, [][]pgproto3.BackendMessage{messages(&pgproto3.RowDescription{})}, "ParseComplete error", false},
		{"rows before Bind", steps, [][]pgproto3.BackendMessage{messages(&pgproto3.DataRow{})}, "ParseComplete error", false},
		{"result without an end", simple, [][]pgproto3.BackendMessage{messages(&pgproto3.RowDescription{}, &pgproto3.DataRow{}, &ready{})}, "RowDescription DataRow error", false},
		{"no result", simple, [][]pgproto3.BackendMessage{messages(&ready{})}, "error", false},
		{"CommandComplete for Sync", []pgproto3.FrontendMessage{&pgproto3.Sync{}}, [][]pgproto3.BackendMessage{messages(&complete{})}, "error", false},
		{"copy", simple, [][]pgproto3.BackendMessage{messages(&pgproto3.CopyInResponse{})}, "error", false},
	} {
		t.Run(c.name, func(t *testing.T) {
			a := NewAssembler(1 << 20)
			prepared := map[string]bool{known.Name: true}
			if c.hidden {
				assemble(t, a, &parse{Query: "known"}, &pgproto3.Sync{})
				clear(prepared)
			}
			p, err := makePlan(assemble(t, a, c.send...), prepared)
			assert.NilError(t, err)
			var got []string
			s := &sequencer{steps: p.steps, prepared: prepared, emit: func(m pgproto3.BackendMessage) error {
				got = append(got, strings.TrimPrefix(fmt.Sprintf("%T", m), "*pgproto3."))
				return nil
			}}
			for _, part := range c.response {
				for _, m := range part {
					done, err := s.handle(m)
					if err != nil {
						got = append(got, "error")
					}
					_, last := m.(*ready)
					assert.Equal(t, done, last && err == nil)
				}
			}
			assert.Equal(t, strings.Join(got, " "), c.want)
			if strings.HasPrefix(c.want, all) {
				assert.Equal(t, len(prepared), 2)
			}
		})
	}
}

// Guards against different statements that get the same name on a connection.
func TestStatementNames(t *testing.T) {
	seen := map[string]bool{}
	for _, s := range []Statement{{Query: "q"}, {Query: "q", ParameterOIDs: []uint32{0x61626364}}, {Query: "qabcd"}, {Query: "q", ParameterOIDs: []uint32{25}}, {Query: "q", ParameterOIDs: []uint32{25, 0}}} {
		seen[statementName(s)] = true
	}
	assert.Equal(t, len(seen), 5)
}

// Guards against limits that a caller can exceed, and against limits that prevent
// it from replacing a statement.
func TestAssemblerLimits(t *testing.T) {
	a := NewAssembler(20_000)
	for i := range maxStatements {
		assert.NilError(t, assemble(t, a, &parse{Name: fmt.Sprint(i), Query: "q"}, &pgproto3.Sync{}).Err)
	}
	assert.NilError(t, assemble(t, a, &parse{Name: "7", Query: "another"}, &pgproto3.Sync{}).Err)
	assert.ErrorContains(t, assemble(t, a, &parse{Name: "more"}, &bind{PreparedStatement: "more"}, &pgproto3.Sync{}).Err, "too many")
	assemble(t, a, &closing{ObjectType: 'S', Name: "7"}, &pgproto3.Sync{})
	assert.NilError(t, assemble(t, a, &parse{Name: "more", Query: strings.Repeat("x", 10_000)}, &pgproto3.Sync{}).Err)
	assemble(t, a, &closing{ObjectType: 'S', Name: "8"}, &pgproto3.Sync{})
	assert.ErrorContains(t, assemble(t, a, &parse{Name: "texts", Query: strings.Repeat("x", 10_000)}, &pgproto3.Sync{}).Err, "too many")
	assert.ErrorContains(t, assemble(t, a, &pgproto3.Query{String: strings.Repeat("x", 20_000)}).Err, "larger than")
	assert.NilError(t, assemble(t, a, &pgproto3.Query{String: "x"}).Err)
}

// Guards against declarations and unsupported statements that are recognised only
// in some spellings.
func TestDeclarationForms(t *testing.T) {
	var d Declarations
	assert.NilError(t, d.ApplyComment(" /* skylarkhinge class=a session=b request=c attempt=2 deadline=250ms token=3.4 */ SELECT 1"))
	assert.Equal(t, fmt.Sprint(d), "{a b c 2 250ms {3 4}}")
	assert.Equal(t, FormatToken(d.Token), "3.4")
	for _, bad := range []string{"attempt=0", "attempt=4294967296", "deadline=-1s", "deadline=1", "token=3", "token=3.-1", "color=red", "class"} {
		assert.Assert(t, d.ApplyComment("/* skylarkhinge "+bad+" */") != nil, bad)
	}
	for text, want := range map[string]string{
		"set skylarkhinge.Class to 'a b' ;":    "class=a b",
		"SET SESSION skylarkhinge.token=1.2":   "token=1.2",
		"SET skylarkhinge.class = 'a'; DELETE": "=",
		"SET LOCAL skylarkhinge.class = 'a'":   "=",
	} {
		name, value, _ := ParseSet(text)
		assert.Equal(t, name+"="+value, want, text)
	}
	for text, want := range map[string]bool{
		"copy kv from stdin": true, "/* * */ -- x\n;LISTEN a": true, "SET a = 1": true, "SET SESSION CHARACTERISTICS AS x": true,
		"SET LOCAL a = 1": false, "set transaction read only": false, "SELECT 'COPY'": false, "SETTLE": false, "": false,
	} {
		assert.Equal(t, UnsupportedReason(text, true) != "", want, text)
		assert.Equal(t, UnsupportedReason(text, false) != "", want, text)
	}
	for text, want := range map[string]bool{
		"/* a */ rollback;": true, "END TRANSACTION": true, "COMMIT WORK": true, "abort": true,
		"ROLLBACK TO a": false, "COMMIT; DELETE": false, "COMMIT AND CHAIN": false, "COMMIT PREPARED 'a'": false,
	} {
		assert.Equal(t, EndsTransaction(text), want, text)
	}
}

// runBatch runs a batch and returns its outcome, with the command tags, SQLSTATEs
// and transaction status in the tail of the response.
func runBatch(t *testing.T, u *UpstreamConn, r *Run) (Outcome, string) {
	t.Helper()
	r.Hold = true
	out := u.Run(r, func([]byte) error { return nil })
	var tail []string
	f := pgproto3.NewFrontend(bytes.NewReader(out.Tail), nil)
	for {
		m, err := f.Receive()
		if err != nil {
			return out, strings.Join(tail, " ")
		}
		switch m := m.(type) {
		case *complete:
			tail = append(tail, string(m.CommandTag))
		case *failure:
			tail = append(tail, m.Code)
		case *ready:
			tail = append(tail, string(m.TxStatus))
		}
	}
}

func dial(t *testing.T, address string) *UpstreamConn {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
	defer cancel()
	u, err := Dial(ctx, "u1", address, "proxy", "orders")
	assert.NilError(t, err)
	t.Cleanup(func() { u.Close() })
	return u
}

// Guards against a request that runs twice, a ledger entry that stays although its
// request was rolled back, and an outcome that reports either wrongly.
func TestLedgerRuns(t *testing.T) {
	m, err := upstream.Start(upstream.Options{Name: "u1", Primary: true})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	u := dial(t, m.Address())
	insert := func(key string) string { return "INSERT INTO kv (k, v) VALUES ('" + key + "', '1')" }
	for _, c := range []struct {
		id, text   string
		code, fail string
		kind       RunKind
		tail       string
	}{
		{"r1", insert("a"), "", "", RunAnswered, "INSERT 0 1 I"},
		{"r1", insert("a"), "", "", RunDuplicate, ""},
		{"r2", insert("a"), "", "", RunAnswered, "23505 I"},
		{"r2", insert("b"), "", "", RunAnswered, "INSERT 0 1 I"},
		{"r3", insert("c"), "25006", "INTO kv", RunRejected, ""},
		{"r3", insert("c"), "25006", "BEGIN", RunRejected, ""},
		{"r3", insert("c"), "25006", LedgerTable, RunRejected, ""},
		{"r3", insert("c"), "40001", "COMMIT", RunRejected, ""},
		{"r3", insert("c"), "23503", "COMMIT", RunAnswered, "23503 I"},
		{"r3", insert("c"), "42P01", LedgerTable, RunAnswered, "42P01 I"},
		{"r3's", insert("c"), "", "", RunAnswered, "INSERT 0 1 I"},
		{"r4", "BEGIN; " + insert("c"), "", "", RunAnswered, "BEGIN 23505 E"},
	} {
		m.FailNext(len(c.code)/5, &upstream.Error{Code: c.code}, c.fail)
		out, tail := runBatch(t, u, &Run{Batch: queryBatch(t, c.text), LedgerID: c.id})
		assert.Assert(t, out.Err == nil)
		assert.Equal(t, fmt.Sprint(out.Kind, " ", tail), fmt.Sprint(c.kind, " ", c.tail), c.text)
	}
	_, tail := runBatch(t, u, &Run{Batch: queryBatch(t, "ROLLBACK"), Continued: true})
	assert.Equal(t, tail, "ROLLBACK I")
	_, tail = runBatch(t, u, &Run{Batch: queryBatch(t, "BEGIN; "+insert("d")), LedgerID: "r4"})
	assert.Equal(t, tail, "BEGIN INSERT 0 1 T")
	_, tail = runBatch(t, u, &Run{Batch: queryBatch(t, "COMMIT"), Continued: true})
	assert.Equal(t, tail, "COMMIT I")
	out, _ := runBatch(t, u, &Run{Batch: queryBatch(t, insert("d")), LedgerID: "r4"})
	assert.Equal(t, out.Kind, RunDuplicate)
	for _, key := range []string{"a", "b", "c", "d"} {
		assert.Equal(t, m.Executions(key).Committed, 1, key)
	}
}

// silentConn drops everything that is sent from the nth write on.
type silentConn struct {
	net.Conn
	writes int
}

func (c *silentConn) Write(p []byte) (int, error) {
	if c.writes--; c.writes < 0 {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Guards against a retry that waits for the locks of the request's first attempt, whose
// connection went silent between the insert into the ledger and the COMMIT.
func TestRetryAfterSilentConnection(t *testing.T) {
	m, err := upstream.Start(upstream.Options{Name: "u1", Primary: true})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	run := func(u *UpstreamConn, key string) Outcome {
		batch := queryBatch(t, "INSERT INTO kv (k, v) VALUES ('"+key+"', '1')")
		return u.Run(&Run{Batch: batch, LedgerID: "r" + key}, func([]byte) error { return nil })
	}
	// The second write is the insert into the ledger, the fourth one the COMMIT.
	for key, writes := range map[string]int{"a": 2, "b": 3} {
		first := dial(t, m.Address())
		silent := &silentConn{Conn: first.conn, writes: writes}
		first.conn, first.frontend = silent, pgproto3.NewFrontend(silent, silent)
		assert.NilError(t, silent.SetReadDeadline(time.Now().Add(100*time.Millisecond)))
		assert.Equal(t, run(first, key).Kind, RunBroken)

		second := dial(t, m.Address())
		assert.NilError(t, second.conn.SetDeadline(time.Now().Add(2*ledgerIdleTimeout)))
		assert.Equal(t, run(second, key).Kind, RunAnswered, "%d writes", writes)
		assert.Equal(t, m.Executions(key).Committed, 1)
	}
}

// Guards against the time-out of the proxy's own transaction in one that a caller began
// with the batch.
func TestCallersTransactionMayRest(t *testing.T) {
	m, err := upstream.Start(upstream.Options{Name: "u1", Primary: true})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	u := dial(t, m.Address())
	_, tail := runBatch(t, u, &Run{Batch: queryBatch(t, "BEGIN; INSERT INTO kv (k, v) VALUES ('a', '1')"), LedgerID: "r1"})
	assert.Equal(t, tail, "BEGIN INSERT 0 1 T")
	time.Sleep(ledgerIdleTimeout + 200*time.Millisecond)
	_, tail = runBatch(t, u, &Run{Batch: queryBatch(t, "COMMIT"), Continued: true})
	assert.Equal(t, tail, "COMMIT I")
}

// Guards against a large response that fails although its messages need not be held,
// and against one that acknowledges a commit before the outcome is confirmed.
func TestHeldAnswers(t *testing.T) {
	m, err := upstream.Start(upstream.Options{Name: "u1", Primary: true})
	assert.NilError(t, err)
	t.Cleanup(m.Close)
	const large = "SELECT generate_series(1, 200000)"
	for text, exceedsLimit := range map[string]bool{
		"SELECT 1; " + large + "; " + large:                   false,
		"BEGIN; " + large + "; COMMIT; SELECT 1":              false,
		"BEGIN; " + large + "; COMMIT; " + large + "; COMMIT": true,
	} {
		u := dial(t, m.Address())
		var passed []byte
		out := u.Run(&Run{Batch: queryBatch(t, text), Hold: true}, func(data []byte) error {
			passed = append(passed, data...)
			return nil
		})
		assert.Equal(t, bytes.Contains(passed, []byte("COMMIT\x00")), false)
		assert.Equal(t, out.Kind == RunBroken, exceedsLimit, text)
		if !exceedsLimit {
			rows := strings.Count(text, large) * 200000
			assert.Assert(t, bytes.Count(append(passed, out.Tail...), []byte("D\x00\x00\x00")) >= rows)
		}
	}
}

// dialScripted connects to a fake upstream that sends the next of the responses for
// each message that it receives.
func dialScripted(t *testing.T, responses ...[]pgproto3.BackendMessage) *UpstreamConn {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { listener.Close() })
	go func() {
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		b := pgproto3.NewBackend(conn, conn)
		b.ReceiveStartupMessage()
		for _, response := range append([][]pgproto3.BackendMessage{{&pgproto3.AuthenticationOk{}, &ready{TxStatus: 'I'}}}, responses...) {
			for _, m := range response {
				b.Send(m)
			}
			b.Flush()
			if _, err := b.Receive(); err != nil {
				return
			}
		}
	}()
	return dial(t, listener.Addr().String())
}

// Guards against unexpected messages that are taken for the response to the next
// batch.
func TestStrayAnswers(t *testing.T) {
	response := func(tag string) []pgproto3.BackendMessage {
		return []pgproto3.BackendMessage{&complete{CommandTag: []byte(tag)}, &ready{TxStatus: 'I'}}
	}
	u := dialScripted(t, append(response("1"), &pgproto3.NoticeResponse{}, &pgproto3.ParameterStatus{Name: "a"}), append(response("2"), response("stray")...))
	for _, want := range []string{"1 I", "2 I"} {
		out, tail := runBatch(t, u, &Run{Batch: queryBatch(t, "q")})
		assert.NilError(t, out.Err)
		assert.Equal(t, tail, want)
	}
	out, tail := runBatch(t, u, &Run{Batch: queryBatch(t, "q")})
	assert.ErrorIs(t, out.Err, errUnexpectedMessage)
	assert.Equal(t, out.Kind, RunNotSent)
	assert.Equal(t, tail, "")

	// If the upstream has closed the connection, the batch is not sent.
	u = dialScripted(t, response("1"))
	_, _ = runBatch(t, u, &Run{Batch: queryBatch(t, "q")})
	u.frontend.Send(&pgproto3.Sync{})
	assert.NilError(t, u.frontend.Flush())
	for closed := error(nil); !errors.Is(closed, io.EOF); _, closed = u.hasInput() {
		time.Sleep(time.Millisecond)
	}
	out, _ = runBatch(t, u, &Run{Batch: queryBatch(t, "q")})
	assert.Equal(t, out.Kind, RunNotSent)
}

// Guards against a cancel request that cancels a later statement, because Cancel
// returned before the upstream processed it.
func TestCancelWaits(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	u := &UpstreamConn{name: "u1", address: listener.Addr().String(), pid: 1, secret: []byte{1, 2, 3, 4}}
	returned := make(chan error, 1)
	go func() { returned <- u.Cancel(context.Background()) }()
	conn, err := listener.Accept()
	assert.NilError(t, err)
	m, err := pgproto3.NewBackend(conn, conn).ReceiveStartupMessage()
	assert.NilError(t, err)
	assert.Equal(t, m.(*pgproto3.CancelRequest).ProcessID, uint32(1))
	select {
	case <-returned:
		t.Fatal("returned before the upstream closed the connection")
	case <-time.After(20 * time.Millisecond):
	}
	conn.Close()
	assert.NilError(t, <-returned)
}

// Guards against messages of a caller that make the assembler panic or return a
// batch that can't be run.
func FuzzAssembler(f *testing.F) {
	seed := func(messages ...pgproto3.FrontendMessage) {
		var wire []byte
		for _, m := range messages {
			wire, _ = m.Encode(wire)
		}
		f.Add(wire)
	}
	seed(&pgproto3.Query{String: "SELECT 1"}, &pgproto3.Terminate{})
	seed(&parse{Name: "a", Query: "q", ParameterOIDs: []uint32{25}}, &bind{PreparedStatement: "a", Parameters: [][]byte{{1}, nil}}, &describe{ObjectType: 'S', Name: "a"}, &execute{}, &closing{ObjectType: 'S', Name: "a"}, &pgproto3.Sync{}, &bind{PreparedStatement: "a"}, &pgproto3.Sync{})
	seed(&pgproto3.CopyData{}, &pgproto3.FunctionCall{}, &pgproto3.Flush{}, &pgproto3.CopyFail{})
	f.Fuzz(func(t *testing.T, wire []byte) {
		backend := pgproto3.NewBackend(bytes.NewReader(wire), nil)
		backend.SetMaxBodyLen(1 << 16)
		a := NewAssembler(1 << 10)
		for {
			m, err := backend.Receive()
			if err != nil {
				return
			}
			b, err := a.Add(m)
			if err != nil {
				assert.Assert(t, errors.Is(err, ErrTerminated))
				return
			}
			if b == nil || b.Err != nil {
				continue
			}
			_, err = makePlan(b, map[string]bool{})
			assert.NilError(t, err)
			_, err = b.LocalResponse("SET", 'I')
			assert.NilError(t, err)
		}
	})
}

// Guards against texts that make the parsing of declarations panic.
func FuzzDeclarations(f *testing.F) {
	f.Add("/* skylarkhinge class=a attempt=1 deadline=1s token=1.2 */ SELECT 1")
	f.Add("SET skylarkhinge.class = 'a';")
	f.Add("/* a */ -- b\n;COPY kv FROM STDIN")
	f.Fuzz(func(t *testing.T, text string) {
		var d Declarations
		_ = d.ApplyComment(text)
		if name, value, ok := ParseSet(text); ok {
			assert.Assert(t, name != "")
			_ = d.Set(name, value)
		}
		_, _ = UnsupportedReason(text, true), EndsTransaction(text)
		if p, err := ParseToken(text); err == nil && text != "" {
			again, err := ParseToken(FormatToken(p))
			assert.Assert(t, err == nil && again == p)
		}
	})
}
