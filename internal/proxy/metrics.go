package proxy

import (
	"context"
	"net"
	"time"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// metricsServer is the HTTP server for metrics and health checks.
type metricsServer struct {
	address string
	stop    func()
}

// metricsStopTimeout bounds the wait for running scrapes at shutdown.
const metricsStopTimeout = time.Second

// serveMetrics starts the HTTP server, unless the setting metrics_address is
// empty. The caller must call stop.
func (p *Proxy) serveMetrics() (metricsServer, error) {
	if p.observer.metricsErr != nil {
		return metricsServer{}, oops.With("step", "define_metrics").Wrap(p.observer.metricsErr)
	}
	address := p.options.Settings.MetricsAddress
	if address == "" {
		return metricsServer{stop: func() {}}, nil
	}
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return metricsServer{}, oops.With("step", "listen_metrics").Wrap(err)
	}
	server := p.observer.metrics.NewServer(p.observer.health())
	go func() {
		if err := telemetry.Serve(server, listener); err != nil {
			p.logFailure("metrics_failed", "serve_metrics", "", err)
		}
	}()
	stop := func() {
		ctx, cancel := context.WithTimeout(context.Background(), metricsStopTimeout)
		defer cancel()
		if server.Shutdown(ctx) != nil {
			server.Close()
		}
	}
	return metricsServer{address: listener.Addr().String(), stop: stop}, nil
}
