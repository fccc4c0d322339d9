package capacity

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	controlpb "skylarkhinge.dev/skylarkhinge/api/control/v1"
	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
)

// countingConn counts the bytes read from and written to a connection.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.bytes.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.bytes.Add(int64(n))
	return n, err
}

// peerServer answers peer calls with messages of typical size.
type peerServer struct {
	peerpb.UnimplementedPeerServer
}

// Heartbeat returns a reply with a grant.
func (peerServer) Heartbeat(_ context.Context, m *peerpb.HeartbeatRequest) (*peerpb.HeartbeatResponse, error) {
	return &peerpb.HeartbeatResponse{Vm: "zone-03-proxy-0042", Incarnation: 1 << 60, Sequence: m.GetSequence(), GrantMs: 500}, nil
}

// Documents returns the reply for equal digests.
func (peerServer) Documents(_ context.Context, m *peerpb.DocumentsRequest) (*peerpb.DocumentsResponse, error) {
	return &peerpb.DocumentsResponse{Vm: "zone-03-proxy-0042", Sequence: m.GetSequence()}, nil
}

// countingServer is a gRPC server on loopback. Connections opened by dial count
// their bytes in wireBytes.
type countingServer struct {
	grpc      *grpc.Server
	address   string
	wireBytes atomic.Int64
}

func startServer() (*countingServer, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &countingServer{grpc: grpc.NewServer(), address: listener.Addr().String()}
	peerpb.RegisterPeerServer(s.grpc, peerServer{})
	controlpb.RegisterUpstreamControlServer(s.grpc, controlServer{})
	go func() { _ = s.grpc.Serve(listener) }()
	return s, nil
}

// controlServer answers control calls to an upstream.
type controlServer struct {
	controlpb.UnimplementedUpstreamControlServer
}

// Status returns the status of a replica.
func (controlServer) Status(context.Context, *controlpb.StatusRequest) (*controlpb.StatusResponse, error) {
	at := &controlpb.Position{Term: 12, Offset: 1 << 30}
	return &controlpb.StatusResponse{Status: &controlpb.Status{
		Upstream: "orders-2", Term: 12, Log: at, Applied: at,
		History: []*controlpb.TermStart{{Term: 11, Offset: 1 << 29}, {Term: 12, Offset: 1<<30 - 5}},
	}}, nil
}

// dial returns a client connection that counts its bytes.
func (s *countingServer) dial() (*grpc.ClientConn, error) {
	dialer := func(ctx context.Context, address string) (net.Conn, error) {
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", address)
		if err != nil {
			return nil, err
		}
		return countingConn{conn, &s.wireBytes}, nil
	}
	return grpc.NewClient("passthrough:///"+s.address, grpc.WithContextDialer(dialer),
		grpc.WithTransportCredentials(insecure.NewCredentials()))
}

// cpuTime returns the user and system time used by the process, in seconds.
func cpuTime() float64 {
	var usage syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &usage)
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano()).Seconds()
}

// measureCalls returns the cost of a call made at a low rate, as in control
// traffic. At a higher rate, batching would hide part of the cost.
func (s *countingServer) measureCalls(name string, calls int, call func() error) (MessageCost, error) {
	for range 20 {
		if err := call(); err != nil {
			return MessageCost{}, err
		}
	}
	bytesBefore, cpuBefore := s.wireBytes.Load(), cpuTime()
	for range calls {
		if err := call(); err != nil {
			return MessageCost{}, err
		}
		time.Sleep(callInterval)
	}
	// sleepCost runs before the last cpuTime, so this excludes only its own CPU time.
	// That of the pauses between the calls stays in the result.
	cpuBefore += sleepCost(calls)
	return MessageCost{
		Name: name, Calls: calls,
		Bytes:        float64(s.wireBytes.Load()-bytesBefore) / float64(calls),
		Microseconds: 1e6 * (cpuTime() - cpuBefore) / float64(calls),
	}, nil
}

// callInterval is the pause between two calls. It is shorter than in real control
// traffic, but long enough for the goroutines to park between calls.
const callInterval = 500 * time.Microsecond

// sleepCost pauses as often as measureCalls does for the given number of calls and
// returns the CPU time that this takes, in seconds.
func sleepCost(calls int) float64 {
	before := cpuTime()
	for range calls {
		time.Sleep(callInterval)
	}
	return cpuTime() - before
}

// measureMessages returns the cost of each kind of control message over loopback.
func measureMessages() ([]MessageCost, error) {
	s, err := startServer()
	if err != nil {
		return nil, err
	}
	defer s.grpc.Stop()
	conn, err := s.dial()
	if err != nil {
		return nil, err
	}
	defer conn.Close()
	peer, control := peerpb.NewPeerClient(conn), controlpb.NewUpstreamControlClient(conn)
	ctx := context.Background()
	var sequence uint64
	kinds := []struct {
		name  string
		calls int
		call  func() error
	}{
		{"heartbeat", 4000, func() error {
			sequence++
			_, err := peer.Heartbeat(ctx, &peerpb.HeartbeatRequest{Vm: "zone-01-proxy-0007", Incarnation: 1 << 60, Sequence: sequence, Digest: 1 << 63})
			return err
		}},
		{"document comparison, equal", 4000, func() error {
			sequence++
			_, err := peer.Documents(ctx, &peerpb.DocumentsRequest{Vm: "zone-01-proxy-0007", Sequence: sequence, Buckets: []*peerpb.Bucket{{Id: 1, Digest: 1 << 63}}})
			return err
		}},
		{"status on a kept connection", 4000, func() error {
			_, err := control.Status(ctx, &controlpb.StatusRequest{Database: "orders"})
			return err
		}},
		{"status on a fresh connection", 1000, func() error { return s.statusOnNewConnection(ctx) }},
	}
	var out []MessageCost
	for _, k := range kinds {
		m, err := s.measureCalls(k.name, k.calls, k.call)
		if err != nil {
			return nil, err
		}
		out = append(out, m)
	}
	return out, nil
}

// statusOnNewConnection makes one Status call on a connection of its own.
func (s *countingServer) statusOnNewConnection(ctx context.Context) error {
	conn, err := s.dial()
	if err != nil {
		return err
	}
	defer conn.Close()
	_, err = controlpb.NewUpstreamControlClient(conn).Status(ctx, &controlpb.StatusRequest{Database: "orders"})
	return err
}
