package cli

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/internal/proxy"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

func addProxy(r *Registry) {
	command := r.App.Command("proxy", "Run the proxy daemon.\n\nSIGTERM starts a drain: no new callers, the requests and transactions in flight end, then the databases go to their next owners. A second SIGTERM ends the process at once.")
	file := command.Flag("settings", "Settings file.").Required().PlaceHolder("FILE").String()
	trace := command.Flag("trace", "File that receives the inputs of the decision core, for replay.").PlaceHolder("FILE").String()
	r.Add(command, func(ctx context.Context) error {
		settings, err := readSettings(r.Env, *file)
		if err != nil {
			return err
		}
		return runProxy(ctx, r.Env, settings, *trace)
	})
}

// newLogger returns a logger that writes key=value lines of at least the given level.
func newLogger(out io.Writer, minLevel config.LogLevel) (*logrus.Logger, error) {
	log := logrus.New()
	log.SetOutput(out)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true, TimestampFormat: time.RFC3339Nano})
	level, err := logrus.ParseLevel(string(minLevel))
	if err != nil {
		return nil, err
	}
	log.SetLevel(level)
	return log, nil
}

func runProxy(ctx context.Context, env *Environment, settings *config.Settings, trace string) error {
	log, err := newLogger(env.Stderr, settings.LogLevel)
	if err != nil {
		return err
	}
	client, err := metastore.NewClient(platformOptions(settings))
	if err != nil {
		return err
	}
	defer client.Close()
	options := proxy.Options{Settings: settings, Store: client, Directory: client, Log: log}
	if trace != "" {
		recorder, err := openTrace(trace, settings)
		if err != nil {
			return err
		}
		defer recorder.Close()
		options.Recorder = recorder
	}
	p := proxy.New(options)
	stop := drainOnSignal(p)
	defer stop()
	// Signals cancel the context of other commands, but must only start a drain here.
	return p.Serve(context.WithoutCancel(ctx), func(a proxy.Addresses) {
		fmt.Fprintf(env.Stdout, "ready vm=%s callers=%s peers=%s metrics=%s\n", settings.VM, a.Callers, a.Peers, a.Metrics)
	})
}

// drainOnSignal starts a drain on the first SIGTERM or SIGINT. A second signal has its
// default effect and ends the process. The caller must call the returned function.
func drainOnSignal(p interface{ Drain() }) func() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGTERM, os.Interrupt)
	go func() {
		if _, ok := <-signals; ok {
			signal.Reset(syscall.SIGTERM, os.Interrupt)
			p.Drain()
		}
	}()
	return func() {
		signal.Stop(signals)
		close(signals)
	}
}
