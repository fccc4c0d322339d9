package main

import (
	"context"
	"io"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/internal/standin/demo"
)

// demoCommand adds the command demo to app.
func demoCommand(ctx context.Context, app *kingpin.Application) {
	command := app.Command("demo", "Starts a platform, a database group of three and two proxies as processes on loopback, runs callers of three ranks and ends the primary after a third of the time. Ends with status 1 if a session missed its own write, or lost one without notice.")
	options := demo.Options{Out: os.Stdout, ChildStderr: io.Discard}
	command.Flag("bin", "Directory of the programs standin and skylarkhinge.").Required().ExistingDirVar(&options.BinDir)
	command.Flag("duration", "Time during which requests arrive.").Default("15s").DurationVar(&options.Duration)
	command.Flag("kill-primary", "End the primary after a third of the duration.").Default("true").BoolVar(&options.KillPrimary)
	command.Flag("seed", "Seed of the arrivals.").Default("1").Uint64Var(&options.Seed)
	verbose := command.Flag("verbose", "Show what the processes log.").Bool()
	file := command.Flag("json", "File for the report in JSON.").String()
	command.Action(func(*kingpin.ParseContext) error {
		if *verbose {
			options.ChildStderr = os.Stderr
		}
		return runDemo(ctx, options, *file)
	})
}

func runDemo(ctx context.Context, options demo.Options, file string) error {
	report, err := demo.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(report, file); err != nil {
		return err
	}
	if stale, lost := report.StaleReads(), report.SilentLosses(); stale > 0 || lost > 0 {
		return oops.In("demo").Errorf("%d reads missed a write of their session, %d acknowledged writes were lost and their sessions not told", stale, lost)
	}
	return nil
}
