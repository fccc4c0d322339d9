package cli

import (
	"context"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
	"skylarkhinge.dev/skylarkhinge/platform"
)

func addManaged(r *Registry) {
	command := r.App.Command("managed", "Run the proxy daemon in front of databases whose leadership the platform arbitrates.\n\nSIGTERM starts a drain within the grace period of the settings.")
	file := command.Flag("settings", "Settings file.").Envar("SKYLARKHINGE_NODE_FILE").Required().PlaceHolder("FILE").String()
	r.Add(command, func(ctx context.Context) error {
		settings, err := readManagedSettings(r.Env, *file)
		if err != nil {
			return err
		}
		return runManaged(ctx, r.Env, settings)
	})
}

func readManagedSettings(env *Environment, file string) (*config.ManagedSettings, error) {
	data, err := readInput(env, file, config.MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	settings, err := config.DecodeManagedSettings(data)
	return settings, faultsOf(file, err)
}

// logQueueLines bounds the log lines that wait for the reader of standard output.
const logQueueLines = 4096

func runManaged(ctx context.Context, env *Environment, settings *config.ManagedSettings) error {
	out := telemetry.NewLineWriter(env.Stdout, logQueueLines)
	defer out.Close()
	log, err := newLogger(out, settings.LogLevel)
	if err != nil {
		return err
	}
	p := managed.New(managed.Options{
		Settings:  settings,
		Store:     platform.NewStore(settings.StoreAddress),
		Protocol:  platform.Lines{VM: settings.VM},
		Promoter:  platform.NewPromotions(settings.PromotionAddress),
		NewCaller: platform.NewCaller,
		Regions:   settings.Regions,
		Log:       log,
	})
	callers, err := net.Listen("tcp4", settings.CallerAddress)
	if err != nil {
		return oops.With("step", "listen", "peer", settings.CallerAddress).Wrap(err)
	}
	probes, err := net.Listen("tcp4", settings.ReadyAddress)
	if err != nil {
		return oops.With("step", "listen", "peer", settings.ReadyAddress).Wrap(err)
	}
	server := &http.Server{Handler: platform.ReadyHandler(p.Ready), ReadHeaderTimeout: time.Second}
	go func() {
		if err := telemetry.Serve(server, probes); err != nil {
			log.WithField("event", "listener_failed").WithError(err).Error("readiness probes are not answered")
		}
	}()
	defer server.Close()
	ignoreReload()
	stop := drainOnSignal(p)
	defer stop()
	log.WithField("event", "started").WithField("vm", settings.VM).WithField("availability_zone", settings.AvailabilityZone).Info("proxy started")
	err = p.Serve(context.WithoutCancel(ctx), callers)
	log.WithField("event", "stopped").Info("proxy stopped")
	return err
}

// ignoreReload keeps SIGHUP from ending the process.
func ignoreReload() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
