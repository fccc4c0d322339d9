package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/oops"

	"skylarkhinge.dev/skylarkhinge/internal/standin/load"
)

// loadCommand adds the command load to app.
func loadCommand(ctx context.Context, app *kingpin.Application) {
	command := app.Command("load", "Open-loop callers by rank. Prints a table by rank and ends with status 1 if a session missed its own write.\n\nA rank is a list of fields: "+load.RankHelp)
	var options load.Options
	command.Flag("target", "Address of a proxy; may be repeated.").Required().StringsVar(&options.Targets)
	command.Flag("database", "Database of the callers.").Default("shop").StringVar(&options.Database)
	command.Flag("user", "User of the callers.").Default("caller").StringVar(&options.User)
	ranks := command.Flag("rank", "Rank to generate; may be repeated.").Required().Strings()
	command.Flag("duration", "Time during which requests arrive.").Default("10s").DurationVar(&options.Duration)
	command.Flag("seed", "Seed of the arrivals; equal seeds give equal plans.").Default("1").Uint64Var(&options.Seed)
	command.Flag("roam", "Probability that a session changes the proxy before a request.").Float64Var(&options.RoamProbability)
	command.Flag("tokens", "Pass on the position that a proxy reports in the parameter skylarkhinge.token.").BoolVar(&options.PassTokens)
	command.Flag("simple", "Use the simple protocol.").BoolVar(&options.SimpleProtocol)
	command.Flag("max-in-flight", "Requests at once; arrivals beyond are counted as shed.").Default("2000").IntVar(&options.MaxInFlight)
	command.Flag("record-writes", "List all writes with their outcomes in the JSON report.").BoolVar(&options.RecordWrites)
	file := command.Flag("json", "File for the report in JSON.").String()
	command.Action(func(*kingpin.ParseContext) error { return runLoad(ctx, options, *ranks, *file) })
}

func runLoad(ctx context.Context, options load.Options, ranks []string, file string) error {
	for _, text := range ranks {
		rank, err := load.ParseRank(text)
		if err != nil {
			return err
		}
		options.Ranks = append(options.Ranks, rank)
	}
	fmt.Printf("ready targets=%v\n", options.Targets)
	report, err := load.Run(ctx, options)
	if err != nil {
		return err
	}
	if err := report.WriteTable(os.Stdout); err != nil {
		return err
	}
	if err := writeReport(report, file); err != nil {
		return err
	}
	if n := report.Violations(); n > 0 {
		return oops.In("load").Errorf("%d reads missed a write of their session", n)
	}
	return nil
}

// writeReport writes a report in JSON to a file, unless file is empty.
func writeReport(report *load.Report, file string) error {
	if file == "" {
		return nil
	}
	out, err := os.Create(file)
	if err != nil {
		return err
	}
	if err := report.WriteJSON(out); err != nil {
		_ = out.Close()
		return err
	}
	return out.Close()
}
