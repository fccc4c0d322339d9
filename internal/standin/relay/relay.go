// Package relay forwards TCP connections between two loopback addresses and can
// blackhole, delay and reset them. It is meant for tests and the demo only.
package relay

import (
	"net"
	"sync"
	"time"

	"github.com/samber/oops"
)

// Scope selects the connections that a fault switch affects.
type Scope uint8

const (
	// ScopeExisting selects the connections that are open when the switch is
	// set.
	ScopeExisting Scope = 1 << iota
	// ScopeNew selects the connections that are opened later.
	ScopeNew
	// ScopeAll selects both.
	ScopeAll = ScopeExisting | ScopeNew
)

const (
	// chunkBytes is the buffer size of one read.
	chunkBytes = 32 << 10
	// queuedChunks bounds the chunks held back in one direction of a
	// connection. A full queue stops reading, like a full TCP window.
	queuedChunks = 64
	dialTimeout  = 5 * time.Second
)

// Options configure a relay. An empty Address means a free port on loopback;
// Target is the address to forward to.
type Options struct {
	Address string
	Target  string
}

// Relay is a running relay.
type Relay struct {
	listener net.Listener
	wg       sync.WaitGroup

	mu       sync.Mutex
	target   string
	delay    time.Duration
	holdNew  bool
	resetNew bool
	closed   bool
	links    map[*link]struct{}
	// changed is closed and replaced when a link is held, released or reset.
	changed chan struct{}
}

// link is one relayed connection. Its fields are guarded by Relay.mu.
type link struct {
	caller net.Conn
	server net.Conn
	held   bool
	ended  bool
}

// Start starts the relay, which runs until Close. It fails if the address is
// not on loopback.
func Start(options Options) (*Relay, error) {
	if options.Address == "" {
		options.Address = "127.0.0.1:0"
	}
	l, err := net.Listen("tcp", options.Address)
	if err != nil {
		return nil, oops.In("relay").With("step", "listen", "address", options.Address).Wrap(err)
	}
	if !l.Addr().(*net.TCPAddr).IP.IsLoopback() {
		_ = l.Close()
		return nil, oops.In("relay").With("step", "listen").Errorf("address %s is not on loopback", options.Address)
	}
	r := &Relay{listener: l, target: options.Target, links: map[*link]struct{}{}, changed: make(chan struct{})}
	r.wg.Go(r.accept)
	return r, nil
}

// Address returns the listening address.
func (r *Relay) Address() string { return r.listener.Addr().String() }

// Connections returns the number of open relayed connections.
func (r *Relay) Connections() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return len(r.links)
}

// broadcast wakes the goroutines in waitReleased. The caller holds mu.
func (r *Relay) broadcast() {
	close(r.changed)
	r.changed = make(chan struct{})
}

// SetTarget changes the address to which new connections are forwarded.
func (r *Relay) SetTarget(target string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.target = target
}

// SetDelay sets the delay of bytes in each direction. It applies to bytes read
// from now on.
func (r *Relay) SetDelay(delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.delay = delay
}

// Blackhole holds back all bytes of the connections in scope, or releases them.
// Connections stay open, and held bytes are delivered after the release, as
// after a network partition.
func (r *Relay) Blackhole(scope Scope, on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if scope&ScopeNew != 0 {
		r.holdNew = on
	}
	if scope&ScopeExisting != 0 {
		for l := range r.links {
			l.held = on
		}
	}
	r.broadcast()
}

// ResetExisting resets both sides of all open connections.
func (r *Relay) ResetExisting() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for l := range r.links {
		r.resetLink(l)
	}
}

// ResetNew makes the relay reset new connections while on is set.
func (r *Relay) ResetNew(on bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.resetNew = on
}

// Close stops the relay, resets its connections and waits for its goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.mu.Lock()
	r.closed = true
	for l := range r.links {
		r.resetLink(l)
	}
	r.mu.Unlock()
	r.wg.Wait()
}

// resetLink resets both sides of a link and removes it. The caller holds mu.
func (r *Relay) resetLink(l *link) {
	if l.ended {
		return
	}
	l.ended = true
	reset(l.caller)
	if l.server != nil {
		reset(l.server)
	}
	delete(r.links, l)
	r.broadcast()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

func (r *Relay) accept() {
	for {
		caller, err := r.listener.Accept()
		if err != nil {
			return
		}
		if l := r.register(caller); l != nil {
			r.wg.Go(func() { r.serve(l) })
		}
	}
}

// register adds a link for an accepted connection. It resets the connection and
// returns nil if new connections are reset or the relay is closed.
func (r *Relay) register(caller net.Conn) *link {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.resetNew || r.closed {
		reset(caller)
		return nil
	}
	l := &link{caller: caller, held: r.holdNew}
	r.links[l] = struct{}{}
	return l
}

// waitReleased waits until the link is not held and due has passed. It returns
// false once the link has ended.
func (r *Relay) waitReleased(l *link, due time.Time) bool {
	for {
		r.mu.Lock()
		held, ended, changed := l.held, l.ended, r.changed
		r.mu.Unlock()
		remaining := time.Until(due)
		if ended {
			return false
		}
		if !held && remaining <= 0 {
			return true
		}
		waitChanged(changed, remaining)
	}
}

// waitChanged returns when the channel is closed or, if remaining is positive,
// after that time.
func waitChanged(changed <-chan struct{}, remaining time.Duration) {
	if remaining <= 0 {
		<-changed
		return
	}
	timer := time.NewTimer(remaining)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	}
}

// serve connects a link to the target and forwards both directions until both
// have ended.
func (r *Relay) serve(l *link) {
	if !r.waitReleased(l, time.Time{}) || !r.dialTarget(l) {
		return
	}
	var directions sync.WaitGroup
	directions.Go(func() { r.forward(l, l.caller, l.server) })
	directions.Go(func() { r.forward(l, l.server, l.caller) })
	directions.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.ended {
		return
	}
	l.ended = true
	_ = l.caller.Close()
	_ = l.server.Close()
	delete(r.links, l)
}

// dialTarget connects the link to the target. If that fails, it resets the link
// and returns false.
func (r *Relay) dialTarget(l *link) bool {
	r.mu.Lock()
	target := r.target
	r.mu.Unlock()
	server, err := net.DialTimeout("tcp", target, dialTimeout)
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.resetLink(l)
		return false
	}
	if l.ended {
		reset(server)
		return false
	}
	l.server = server
	return true
}

// chunk is data that may be written from due on. Empty data marks the end of
// the stream.
type chunk struct {
	due  time.Time
	data []byte
}

// forward copies one direction of a link and propagates the end of the stream.
func (r *Relay) forward(l *link, from, to net.Conn) {
	chunks := make(chan chunk, queuedChunks)
	stopped := make(chan struct{})
	defer close(stopped)
	r.wg.Go(func() { r.readChunks(from, chunks, stopped) })
	for c := range chunks {
		if !r.waitReleased(l, c.due) {
			return
		}
		if len(c.data) == 0 {
			break
		}
		if _, err := to.Write(c.data); err != nil {
			_ = from.Close()
			return
		}
	}
	if tcp, ok := to.(*net.TCPConn); ok {
		_ = tcp.CloseWrite()
	}
}

// readChunks reads a connection into the queue until it ends or stopped is
// closed.
func (r *Relay) readChunks(from net.Conn, chunks chan<- chunk, stopped <-chan struct{}) {
	for {
		buffer := make([]byte, chunkBytes)
		n, err := from.Read(buffer)
		r.mu.Lock()
		due := time.Now().Add(r.delay)
		r.mu.Unlock()
		if n > 0 && !enqueue(chunks, chunk{due, buffer[:n]}, stopped) {
			return
		}
		if err != nil {
			enqueue(chunks, chunk{due: due}, stopped)
			return
		}
	}
}

// enqueue reports whether the chunk was queued before stopped was closed.
func enqueue(chunks chan<- chunk, c chunk, stopped <-chan struct{}) bool {
	select {
	case chunks <- c:
		return true
	case <-stopped:
		return false
	}
}
