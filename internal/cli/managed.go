package cli

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
	"skylarkhinge.dev/skylarkhinge/platform"
)

func addManaged(r *Registry) {
	group := r.App.Command("managed", "The proxy daemon in front of databases whose leadership the platform arbitrates.")
	run := group.Command("run", "Run the daemon.\n\nSIGTERM starts a drain within the grace period of the settings. SIGHUP reads the settings file again: log level and budget, and the grace periods, change at once; the rest with the next start.").Default()
	file := run.Flag("settings", "Settings file.").Envar(platform.SettingsVariable).Required().PlaceHolder("FILE").String()
	r.Add(run, func(ctx context.Context) error {
		settings, err := readManagedSettings(r.Env, *file)
		if err != nil {
			return err
		}
		return runManaged(ctx, r.Env, *file, settings)
	})
	check := group.Command("check", "Check a settings file and print the settings in effect, or all its faults.")
	checkFile := check.Arg("file", "Settings file, or - for standard input.").Required().String()
	r.Add(check, func(context.Context) error {
		settings, err := readManagedSettings(r.Env, *checkFile)
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(r.Env.Stdout, "%+v\n", *settings)
		return err
	})
}

// readManagedSettings reads a settings file. The faults of the file are details of the
// error.
func readManagedSettings(env *Environment, file string) (*config.ManagedSettings, error) {
	settings, err := decodeManagedSettings(env, file)
	return settings, faultError(file, err)
}

// decodeManagedSettings reads a settings file. The faults of the file are a *config.Error.
func decodeManagedSettings(env *Environment, file string) (*config.ManagedSettings, error) {
	data, err := readInput(env, file, config.MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	return config.DecodeManagedSettings(data)
}

// logQueueLines is the number of log lines that are queued while standard output is
// blocked.
const logQueueLines = 4096

// gcPercent makes the garbage collector keep the heap close to its live size. The heap is a few
// MB, so collections cost little, and small VMs have little memory for their sessions.
const gcPercent = 40

func runManaged(ctx context.Context, env *Environment, file string, settings *config.ManagedSettings) error {
	debug.SetGCPercent(gcPercent)
	out := telemetry.NewLineWriter(env.Stdout, logQueueLines)
	defer out.Close()
	log, err := newLogger(out, settings.LogLevel)
	if err != nil {
		return err
	}
	p := managed.New(managed.Options{
		Settings:  settings,
		Store:     platform.NewStoreClient(settings.StoreAddress),
		Protocol:  platform.LineProtocol{VM: settings.VM},
		Promoter:  platform.NewPromotionClient(settings.PromotionAddress),
		Peers:     platform.NewPeerClient(),
		NewCaller: platform.NewCaller,
		Regions:   settings.Regions,
		Log:       log,
	})
	callers, err := listen(settings.CallerAddress)
	if err != nil {
		return err
	}
	var peers net.Listener
	if settings.PeerAddress != "" {
		if peers, err = listen(settings.PeerAddress); err != nil {
			return err
		}
	}
	readyServer := &http.Server{Handler: platform.ReadyHandler(p.NotReadyReason), ReadHeaderTimeout: time.Second}
	if err := serveHTTP(log, readyServer, settings.ReadyAddress); err != nil {
		return err
	}
	defer readyServer.Close()
	if settings.MetricsAddress != "" {
		metrics, err := p.EnableMetrics()
		if err != nil {
			return oops.With("step", "define_metrics").Wrap(err)
		}
		server := metrics.NewServer(telemetry.Health{Live: func() string { return "" }, Ready: p.NotReadyReason})
		mux := http.NewServeMux()
		mux.Handle("/", server.Handler)
		mux.HandleFunc("GET "+managed.DocumentPath, p.ServeDocument)
		mux.HandleFunc("GET "+managed.ChangesPath, p.ServeChanges)
		mux.HandleFunc("POST "+managed.TakeoverPath, p.ServeTakeover)
		if quotas := p.QuotaHandler(); quotas != nil {
			mux.Handle(managed.QuotaPath, quotas)
		}
		server.Handler = mux
		if err := serveHTTP(log, server, settings.MetricsAddress); err != nil {
			return err
		}
		defer server.Close()
	}
	stopReloads := reloadOnSignal(env, file, log, p)
	defer stopReloads()
	stop := drainOnSignal(p)
	defer stop()
	log.WithFields(logrus.Fields{
		"event": "started", "vm": settings.VM, "availability_zone": settings.AvailabilityZone,
		"shutdown_grace": settings.ShutdownGrace, "store": settings.StoreAddress, "build": version(),
	}).Info("proxy started")
	err = p.Serve(context.WithoutCancel(ctx), callers, peers)
	log.WithField("event", "stopped").Info("proxy stopped")
	return err
}

func listen(address string) (net.Listener, error) {
	listener, err := net.Listen("tcp4", address)
	if err != nil {
		return nil, oops.With("step", "listen", "peer", address).Wrap(err)
	}
	return listener, nil
}

// serveHTTP listens on an address and serves in the background until the server is closed.
func serveHTTP(log *logrus.Logger, server *http.Server, address string) error {
	listener, err := listen(address)
	if err != nil {
		return err
	}
	go func() {
		if err := telemetry.Serve(server, listener); err != nil {
			log.WithField("event", "listener_failed").WithField("peer", address).WithError(err).Error("HTTP server failed")
		}
	}()
	return nil
}

// reloadOnSignal reloads the settings file at each SIGHUP. If the file has faults, the
// current settings stay in effect. The caller must call stop.
func reloadOnSignal(env *Environment, file string, log *logrus.Logger, p *managed.Proxy) (stop func()) {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)
	go func() {
		for range signals {
			if err := reload(env, file, log, p); err != nil {
				log.WithFields(logrus.Fields{"event": "reload_failed", "step": "read_settings", "file": file}).WithError(err).Error("settings file not reloaded, keeping the current settings")
			}
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}

// reload applies the settings that can change at run time.
func reload(env *Environment, file string, log *logrus.Logger, p *managed.Proxy) error {
	settings, err := decodeManagedSettings(env, file)
	if err != nil {
		return err
	}
	level, err := logrus.ParseLevel(string(settings.LogLevel))
	if err != nil {
		return err
	}
	log.SetLevel(level)
	p.Reload(settings)
	return nil
}
