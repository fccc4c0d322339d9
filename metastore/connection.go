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

// endpoint is one address of the platform with its connection. It is safe for
// concurrent use.
type endpoint struct {
	address string
	dial    func(address string) (*grpc.ClientConn, error)
	// drainTimeout is how long a replaced connection stays open for its calls to finish.
	drainTimeout time.Duration

	mu   sync.Mutex
	conn *grpc.ClientConn
	// closed is set by close; no connection is opened after that.
	closed bool
	// retired has the replaced connections that are still open, with the timers that
	// close them.
	retired map[*grpc.ClientConn]*time.Timer
}

// connection returns the current connection and creates it if there is none.
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

// replace drops a connection that stopped responding, so that the next call opens a new
// one. The old connection is closed after drainTimeout, so that its calls can finish.
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

// dialer returns the function that creates gRPC connections with these options.
func dialer(options Options) func(address string) (*grpc.ClientConn, error) {
	dialOptions := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		// This package does the retries itself: it knows which calls are safe to retry.
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
		// The passthrough scheme disables name resolution and load balancing.
		return grpc.NewClient("passthrough:///"+address, dialOptions...)
	}
}

// DialFunc opens a network connection to an IP address with a port.
type DialFunc func(ctx context.Context, address string) (net.Conn, error)

// sendTracker is a stats handler that records whether the request of a call was written
// to a connection. If it was not, the call had no effect.
type sendTracker struct{}

type sentFlagKey struct{}

// withSentFlag returns a context for one call and the flag that sendTracker sets once the
// request of the call was written to a connection.
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
