package load

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"syscall"

	"github.com/jackc/pgx/v5"
)

// pool holds the idle connections to one target. It has no limit: get opens a
// connection if none is idle, as open-loop load requires.
type pool struct {
	config *pgx.ConnConfig
	mu     sync.Mutex
	idle   []*pgx.Conn
	closed bool
}

func newPool(address string, options *Options) (*pool, error) {
	config, err := pgx.ParseConfig(fmt.Sprintf("postgres://%s/%s?sslmode=disable", address, options.Database))
	if err != nil {
		return nil, err
	}
	config.User = options.User
	config.DefaultQueryExecMode = pgx.QueryExecModeExec
	if options.SimpleProtocol {
		config.DefaultQueryExecMode = pgx.QueryExecModeSimpleProtocol
	}
	return &pool{config: config}, nil
}

func (p *pool) get(ctx context.Context) (*pgx.Conn, error) {
	for c := p.pop(); c != nil; c = p.pop() {
		if isUsable(c) {
			return c, nil
		}
		closeConn(c)
	}
	return pgx.ConnectConfig(ctx, p.config)
}

func (p *pool) pop() *pgx.Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := len(p.idle)
	if n == 0 {
		return nil
	}
	c := p.idle[n-1]
	p.idle = p.idle[:n-1]
	return c
}

// isUsable reports whether an idle connection is open and has nothing to read.
// A request on a connection that the proxy has closed would end with an unknown
// outcome.
//
// It uses RawConn.Control rather than RawConn.Read: pgx may still have a read
// pending after a slow write, and RawConn.Read would wait for it without a
// bound.
func isUsable(c *pgx.Conn) bool {
	tcp, ok := c.PgConn().Conn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}
	var pending error
	err = raw.Control(func(fd uintptr) {
		_, _, pending = syscall.Recvfrom(int(fd), make([]byte, 1), syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
	})
	return err == nil && errors.Is(pending, syscall.EAGAIN)
}

// put returns a connection to the pool. Closed connections are dropped.
func (p *pool) put(c *pgx.Conn) {
	if c.IsClosed() {
		return
	}
	if !p.addIdle(c) {
		closeConn(c)
	}
}

// addIdle adds an idle connection. It reports false if the pool is closed.
func (p *pool) addIdle(c *pgx.Conn) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if !p.closed {
		p.idle = append(p.idle, c)
	}
	return !p.closed
}

func (p *pool) close() {
	p.mu.Lock()
	idle := p.idle
	p.idle, p.closed = nil, true
	p.mu.Unlock()
	// Closed concurrently, so that a target that does not respond costs
	// responseGrace once, not once per connection.
	var wg sync.WaitGroup
	for _, c := range idle {
		wg.Go(func() { closeConn(c) })
	}
	wg.Wait()
}

func closeConn(c *pgx.Conn) {
	ctx, cancel := context.WithTimeout(context.Background(), responseGrace)
	defer cancel()
	_ = c.Close(ctx)
}
