package proxy

import (
	"bytes"
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// pausingConn is a caller's connection whose process is stopped after one of the calls:
// the proxy's clock runs on for the duration of the pause.
type pausingConn struct {
	net.Conn
	proxy *Proxy
	// pauseAfter is the number of the call after which the process is stopped, from 1.
	pauseAfter int
	calls      int
	paused     bool
	// beforePause and afterPause hold the bytes by the time at which their write began.
	beforePause, afterPause bytes.Buffer
}

const testPause = 3 * time.Second

// pause lets the proxy's clock run on, as it does while a process is stopped.
func (c *pausingConn) pause() {
	c.paused = true
	c.proxy.startTime = c.proxy.startTime.Add(-testPause)
}

func (c *pausingConn) endCall() {
	c.calls++
	if c.calls == c.pauseAfter {
		c.pause()
	}
}

func (c *pausingConn) Write(b []byte) (int, error) {
	defer c.endCall()
	if c.paused {
		return c.afterPause.Write(b)
	}
	return c.beforePause.Write(b)
}

func (c *pausingConn) SetWriteDeadline(time.Time) error {
	c.endCall()
	return nil
}

// newPausingCaller returns a caller's connection of a proxy that does not run.
func newPausingCaller(pauseAfter int) (*callerConn, *pausingConn) {
	settings := config.DefaultSettings()
	settings.VM = "p1"
	p := New(Options{Settings: &settings, Log: logrus.New()})
	conn := &pausingConn{proxy: p, pauseAfter: pauseAfter}
	return &callerConn{proxy: p, conn: conn, backend: pgproto3.NewBackend(conn, conn), status: 'I'}, conn
}

// writeAcknowledgement is an outcome that acknowledges a write, decided now.
func writeAcknowledgement(t *testing.T, p *Proxy, kind core.ResultKind) outcome {
	tail, err := (&pgproto3.CommandComplete{CommandTag: []byte("INSERT 0 1")}).Encode(nil)
	assert.NilError(t, err)
	tail, err = (&pgproto3.ReadyForQuery{TxStatus: 'I'}).Encode(tail)
	assert.NilError(t, err)
	result := core.Result{Kind: kind, Position: entity.Position{Term: 1, Offset: 7}}
	return outcome{result: result, tail: tail, decidedAt: p.now()}
}

// Guards against an acknowledgement that a proxy sends, whole or in part, after it was
// stopped for longer than maxAcknowledgementAge: the primary may have been replaced
// since. The process stops after each call on the connection in turn.
func TestNoAcknowledgementAfterAPause(t *testing.T) {
	const calls = 4
	for kind, mark := range map[core.ResultKind]string{core.ResultDone: "INSERT 0 1", core.ResultAlreadyExecuted: CodeAlreadyExecuted} {
		for pauseAfter := 0; pauseAfter <= calls; pauseAfter++ {
			c, conn := newPausingCaller(pauseAfter)
			o := writeAcknowledgement(t, c.proxy, kind)
			if pauseAfter == 0 {
				// The process stops between the tick that decided the result and the check.
				conn.pause()
			}
			assert.NilError(t, c.writeOutcome(o))
			before, after := conn.beforePause.String(), conn.afterPause.String()
			assert.Assert(t, !bytes.Contains([]byte(after), []byte(mark)), "%s after call %d: %q", kind, pauseAfter, after)
			if before == "" {
				assert.Assert(t, bytes.Contains([]byte(after), []byte(CodeUnknown)), "%s after call %d: %q", kind, pauseAfter, after)
				continue
			}
			assert.Equal(t, after, "", "%s after call %d", kind, pauseAfter)
			assert.Assert(t, bytes.Contains([]byte(before), []byte(mark)), "%s after call %d: %q", kind, pauseAfter, before)
			assert.Assert(t, bytes.Contains([]byte(before), []byte("skylarkhinge.token\x001.7")), "%q", before)
		}
	}
}

// Guards against a transaction whose COMMIT has an expired acknowledgement and whose
// connection then takes the next statement for one of that transaction.
func TestExpiredCommitAbortsTheTransaction(t *testing.T) {
	for _, paused := range []bool{false, true} {
		c, conn := newPausingCaller(0)
		c.status = 'T'
		o := writeAcknowledgement(t, c.proxy, core.ResultDone)
		if paused {
			conn.pause()
		}
		assert.NilError(t, c.writeOutcome(o))
		assert.Equal(t, c.aborted, paused)
		assert.Equal(t, c.status == 'E', paused)
	}
}
