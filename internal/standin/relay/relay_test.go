package relay

import (
	"errors"
	"io"
	"net"
	"net/url"
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// startEchoServer starts a server that returns what it receives, and closes the
// connection at the end of the stream.
func startEchoServer(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return l.Addr().String()
}

func start(t *testing.T) *Relay {
	t.Helper()
	r, err := Start(Options{Target: startEchoServer(t)})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	return r
}

func dial(t *testing.T, r *Relay) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", r.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	return c
}

// roundTrip sends text and reads a reply of the same length, both within the
// timeout.
func roundTrip(c net.Conn, text string, timeout time.Duration) error {
	_ = c.SetDeadline(time.Now().Add(timeout))
	if _, err := c.Write([]byte(text)); err != nil {
		return err
	}
	_, err := io.ReadFull(c, make([]byte, len(text)))
	return err
}

const roundTripTimeout = 10 * time.Second

// Guards against losing bytes or the end of the stream.
func TestRelay(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	sent := make([]byte, 4<<20)
	for i := range sent {
		sent[i] = byte(i % 251)
	}
	go func() {
		_, _ = c.Write(sent)
		_ = c.(*net.TCPConn).CloseWrite()
	}()
	got, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, string(got) == string(sent))
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.Connections() == 0 {
			return poll.Success()
		}
		return poll.Continue("connection is open")
	}, poll.WithDelay(time.Millisecond))
}

// Guards against a blackhole that affects the wrong connections, loses bytes or
// closes connections.
func TestBlackhole(t *testing.T) {
	r := start(t)
	old := dial(t, r)
	assert.NilError(t, roundTrip(old, "a", roundTripTimeout))
	r.Blackhole(ScopeExisting, true)
	fresh := dial(t, r)
	assert.NilError(t, roundTrip(fresh, "b", roundTripTimeout))
	assert.ErrorIs(t, roundTrip(old, "c", 20*time.Millisecond), os.ErrDeadlineExceeded)
	r.Blackhole(ScopeAll, false)
	r.Blackhole(ScopeNew, true)
	_ = old.SetDeadline(time.Now().Add(roundTripTimeout))
	_, err := io.ReadFull(old, make([]byte, 1))
	assert.NilError(t, err)
	held := dial(t, r)
	assert.ErrorIs(t, roundTrip(held, "d", 20*time.Millisecond), os.ErrDeadlineExceeded)
	assert.NilError(t, roundTrip(old, "e", roundTripTimeout))
}

// Guards against a delay that is shorter than configured.
func TestDelay(t *testing.T) {
	const delay = 15 * time.Millisecond
	r := start(t)
	r.SetDelay(delay)
	c := dial(t, r)
	before := time.Now()
	assert.NilError(t, roundTrip(c, "a", roundTripTimeout))
	assert.Assert(t, time.Since(before) >= 2*delay)
}

// Guards against resets that leave one side open or affect the wrong
// connections.
func TestReset(t *testing.T) {
	r := start(t)
	c := dial(t, r)
	assert.NilError(t, roundTrip(c, "a", roundTripTimeout))
	assert.NilError(t, r.ApplyFaults(url.Values{"reset": {"true"}, "scope": {"existing"}}))
	assert.Assert(t, isConnectionError(roundTrip(c, "b", roundTripTimeout)))
	fresh := dial(t, r)
	assert.NilError(t, roundTrip(fresh, "c", roundTripTimeout))
	r.ResetNew(true)
	assert.Assert(t, isConnectionError(roundTripNewConn(r, "d")))
	assert.NilError(t, roundTrip(fresh, "e", roundTripTimeout))
	assert.Assert(t, r.ApplyFaults(url.Values{"delay": {"soon"}}) != nil)
	assert.Assert(t, r.ApplyFaults(url.Values{"unknown": {"1"}}) != nil)
}

// roundTripNewConn makes a round trip on a new connection. A reset may already
// fail the dial.
func roundTripNewConn(r *Relay, text string) error {
	c, err := net.Dial("tcp", r.Address())
	if err != nil {
		return err
	}
	defer func() { _ = c.Close() }()
	return roundTrip(c, text, roundTripTimeout)
}

// isConnectionError reports whether err is an error other than a timeout.
func isConnectionError(err error) bool { return err != nil && !errors.Is(err, os.ErrDeadlineExceeded) }
