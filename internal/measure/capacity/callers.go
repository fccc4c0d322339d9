package capacity

import (
	"context"
	"io"
	"net"

	"github.com/jackc/pgx/v5/pgproto3"
	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/proxy"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// unavailablePlatform is a VM directory whose calls fail.
type unavailablePlatform struct{}

// ListVMs returns metastore.ErrUnavailable.
func (unavailablePlatform) ListVMs(context.Context) (metastore.VMList, error) {
	return metastore.VMList{}, metastore.ErrUnavailable
}

// measureCallers returns the memory per idle caller connection at the proxy that
// accepts it.
func measureCallers() (Slope, error) {
	settings := config.DefaultSettings()
	settings.VM = "p1"
	settings.CallerAddress, settings.PeerAddress, settings.MetricsAddress = "127.0.0.1:0", "127.0.0.1:0", "127.0.0.1:0"
	log := logrus.New()
	log.SetOutput(io.Discard)
	p := proxy.New(proxy.Options{Settings: &settings, Directory: unavailablePlatform{}, Log: log})
	ctx, cancel := context.WithCancel(context.Background())
	ready, done := make(chan proxy.Addresses, 1), make(chan error, 1)
	go func() { done <- p.Serve(ctx, func(a proxy.Addresses) { ready <- a }) }()
	addresses := <-ready
	defer func() {
		cancel()
		<-done
	}()
	return measureIdleConnections(addresses.Callers)
}

// measureIdleConnections opens up to 4,000 connections to address and returns the
// memory per connection.
func measureIdleConnections(address string) (Slope, error) {
	var open []net.Conn
	defer func() {
		for _, c := range open {
			c.Close()
		}
	}()
	before := memoryInUse()
	var points []Point
	for _, size := range []int{500, 1000, 2000, 4000} {
		for len(open) < size {
			c, err := login(address)
			if err != nil {
				return Slope{}, err
			}
			open = append(open, c)
		}
		points = append(points, Point{size, memoryInUse() - before})
	}
	return newSlope("idle caller connection, with the client's file descriptor in the same process", "bytes", points), nil
}

// login opens a connection and completes the startup handshake up to
// ReadyForQuery. The client's read and write buffers are not retained.
func login(address string) (net.Conn, error) {
	conn, err := net.Dial("tcp", address)
	if err != nil {
		return nil, err
	}
	frontend := pgproto3.NewFrontend(conn, conn)
	frontend.Send(&pgproto3.StartupMessage{
		ProtocolVersion: pgproto3.ProtocolVersion30,
		Parameters:      map[string]string{"user": "caller", "database": "orders"},
	})
	if err := frontend.Flush(); err != nil {
		return nil, err
	}
	for {
		message, err := frontend.Receive()
		if err != nil {
			return nil, err
		}
		if _, ok := message.(*pgproto3.ReadyForQuery); ok {
			return conn, nil
		}
	}
}
