package metastore

import (
	"context"
	"errors"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
)

var errClosed = errors.New("client is closed")

// endpoint is one address of the platform with its connection.
type endpoint struct {
	address string
	dial    func(address string) (*grpc.ClientConn, error)
	// drainTimeout is the time for which calls may finish on a replaced connection.
	drainTimeout time.Duration

	mu   sync.Mutex
	conn *grpc.ClientConn
	// closed endpoints open no connection.
	closed bool
	// retired are the replaced connections that are still open.
	retired map[*grpc.ClientConn]*time.Timer
}

// connection returns the connection and opens it if there is none.
func (e *endpoint) connection() (*grpc.ClientConn, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return nil, errClosed
	}
	if e.conn != nil {
		return e.conn, nil
	}
	conn, err := e.dial(e.address)
	e.conn = conn
	return conn, err
}

// replace drops a connection that stopped responding, so that the next call
// opens a new one. Calls that are under way on it get the time to finish.
func (e *endpoint) replace(conn *grpc.ClientConn) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != conn {
		return
	}
	e.conn = nil
	e.retired[conn] = time.AfterFunc(e.drainTimeout, func() {
		e.mu.Lock()
		defer e.mu.Unlock()
		delete(e.retired, conn)
		_ = conn.Close()
	})
}

func (e *endpoint) close() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.closed = true
	if e.conn != nil {
		_ = e.conn.Close()
		e.conn = nil
	}
	for conn, timer := range e.retired {
		timer.Stop()
		_ = conn.Close()
	}
	clear(e.retired)
}

// dialer returns the function that makes connections with these options.
func dialer(options Options) func(address string) (*grpc.ClientConn, error) {
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		// Calls are repeated by this package, which knows which of them may be.
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sendTracker{}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff: backoff.Config{
				BaseDelay:  options.ReconnectBase,
				Multiplier: 2,
				Jitter:     0.5,
				MaxDelay:   options.ReconnectMax,
			},
			MinConnectTimeout: options.CallTimeout,
		}),
	}
	if options.Dial != nil {
		dialOptions = append(dialOptions, grpc.WithContextDialer(options.Dial))
	}
	return func(address string) (*grpc.ClientConn, error) {
		// passthrough keeps name resolution and balancing out of the way.
		return grpc.NewClient("passthrough:///"+address, dialOptions...)
	}
}

// DialFunc opens a connection to an address.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// sendTracker notes whether a call was handed to a connection. Calls that were
// not can't have taken effect.
type sendTracker struct{}

type sentFlagKey struct{}

func withSentFlag(ctx context.Context) (context.Context, *atomic.Bool) {
	sent := new(atomic.Bool)
	return context.WithValue(ctx, sentFlagKey{}, sent), sent
}

func (sendTracker) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sendTracker) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentFlagKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

func (sendTracker) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sendTracker) HandleConn(context.Context, stats.ConnStats) {}
