package telemetry

import (
	"errors"
	"net"
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus/promhttp"
)

// headerTimeout limits the wait for request headers, so that idle connections do not
// accumulate.
const headerTimeout = 5 * time.Second

// Health has the daemon's health checks. They return the reason for which a check fails, or
// an empty string.
type Health struct {
	// Live checks the process itself, Ready whether it accepts callers.
	Live, Ready func() string
}

// NewServer returns the HTTP server for /metrics, /healthz and /readyz.
func (m *Metrics) NewServer(health Health) *http.Server {
	mux := http.NewServeMux()
	mux.Handle("GET /metrics", promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{}))
	mux.HandleFunc("GET /healthz", healthHandler(health.Live))
	mux.HandleFunc("GET /readyz", healthHandler(health.Ready))
	return &http.Server{Handler: mux, ReadHeaderTimeout: headerTimeout}
}

// healthHandler answers 200 "ok", or 503 with the reason.
func healthHandler(reason func() string) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		text := reason()
		if text == "" {
			text = "ok"
		} else {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		_, _ = w.Write([]byte(text + "\n"))
	}
}

// Serve runs the server until it is closed, which is not an error.
func Serve(server *http.Server, listener net.Listener) error {
	err := server.Serve(listener)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}
