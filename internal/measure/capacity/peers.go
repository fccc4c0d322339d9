package capacity

import (
	"context"

	"google.golang.org/grpc"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
)

// Forward keeps the stream open until the client ends it.
func (peerServer) Forward(stream grpc.BidiStreamingServer[peerpb.ForwardRequest, peerpb.ForwardResponse]) error {
	for {
		if _, err := stream.Recv(); err != nil {
			return err
		}
	}
}

// measurePeers returns the memory per connection between two proxies with an idle
// stream for forwarded requests, both ends together.
func measurePeers() (Slope, error) {
	s, err := startServer()
	if err != nil {
		return Slope{}, err
	}
	defer s.grpc.Stop()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	var open []*grpc.ClientConn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	before := memoryInUse()
	var points []Point
	for _, size := range []int{50, 100, 200, 400} {
		for len(open) < size {
			conn, err := s.dial()
			if err != nil {
				return Slope{}, err
			}
			open = append(open, conn)
			stream, err := peerpb.NewPeerClient(conn).Forward(ctx)
			if err != nil {
				return Slope{}, err
			}
			if err := stream.Send(&peerpb.ForwardRequest{Vm: "p1"}); err != nil {
				return Slope{}, err
			}
		}
		points = append(points, Point{size, memoryInUse() - before})
	}
	return newSlope("connection between proxies with an idle stream, both ends", "bytes", points), nil
}
