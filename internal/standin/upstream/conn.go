package upstream

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// gate blocks goroutines while it is closed. It simulates a suspended process.
type gate struct {
	mu     sync.Mutex
	closed chan struct{}
}

// setClosed closes or opens the gate.
func (g *gate) setClosed(closed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if closed && g.closed == nil {
		g.closed = make(chan struct{})
	}
	if !closed && g.closed != nil {
		close(g.closed)
		g.closed = nil
	}
}

// wait returns once the gate is open.
func (g *gate) wait() {
	for {
		g.mu.Lock()
		closed := g.closed
		g.mu.Unlock()
		if closed == nil {
			return
		}
		<-closed
	}
}

// listener accepts connections and applies the fault switches to them.
type listener struct {
	net.Listener
	freezeGate *gate
	refuse     atomic.Bool
	delay      atomic.Int64

	mu    sync.Mutex
	conns map[*conn]struct{}
	// closed makes Accept drop connections that were accepted concurrently.
	closed bool
}

func newListener(inner net.Listener, freezeGate *gate) *listener {
	return &listener{Listener: inner, freezeGate: freezeGate, conns: map[*conn]struct{}{}}
}

// Accept returns the next connection; refused ones are reset.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		l.freezeGate.wait()
		if l.refuse.Load() {
			reset(accepted)
			continue
		}
		c := &conn{Conn: accepted, listener: l}
		if !l.add(c) {
			_ = accepted.Close()
			return nil, net.ErrClosed
		}
		return c, nil
	}
}

func (l *listener) add(c *conn) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return false
	}
	l.conns[c] = struct{}{}
	return true
}

// silence silences the open non-replication connections and returns their number.
func (l *listener) silence() int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for c := range l.conns {
		if !c.replication {
			c.silent.Store(true)
			n++
		}
	}
	return n
}

// markReplication exempts the connection of a remote address from silence.
func (l *listener) markReplication(remote net.Addr) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		if c.RemoteAddr().String() == remote.String() {
			c.replication = true
		}
	}
}

// closeAll closes the listener and all its connections.
func (l *listener) closeAll() {
	_ = l.Listener.Close()
	l.mu.Lock()
	l.closed = true
	conns := l.conns
	l.conns = map[*conn]struct{}{}
	l.mu.Unlock()
	for c := range conns {
		_ = c.Conn.Close()
	}
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// conn is a connection that applies the fault switches. A silent connection
// permanently discards what it receives and what is written to it.
type conn struct {
	net.Conn
	listener *listener
	silent   atomic.Bool
	// replication is guarded by listener.mu.
	replication bool
}

// Read reads from the connection. Bytes received while it is silent are
// discarded.
func (c *conn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		c.listener.freezeGate.wait()
		if err != nil || !c.silent.Load() {
			return n, err
		}
	}
}

// Write sends the bytes after the configured delay, or discards them if the
// connection is silent.
func (c *conn) Write(p []byte) (int, error) {
	c.listener.freezeGate.wait()
	if delay := time.Duration(c.listener.delay.Load()); delay > 0 {
		time.Sleep(delay)
	}
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// Close closes the connection and removes it from the listener.
func (c *conn) Close() error {
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}
