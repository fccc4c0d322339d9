package main

import (
	"os"

	"github.com/alecthomas/kingpin/v2"

	"skylarkhinge.dev/skylarkhinge/internal/measure"
	"skylarkhinge.dev/skylarkhinge/internal/measure/capacity"
)

// measureCommand adds the commands measure and capacity to app.
func measureCommand(app *kingpin.Application) {
	command := app.Command("measure", "Run the measurements on virtual time and write measurements.md and plots.")
	seed := command.Flag("seed", "Seed of all random choices.").Default("1").Uint64()
	dir := command.Flag("out", "Directory for the report and the plots.").Default("docs").ExistingDir()
	command.Action(func(*kingpin.ParseContext) error { return measure.Write(*seed, *dir, os.Stderr) })

	capacityCommand := app.Command("capacity", "Measure the slopes of docs/CAPACITY.md on this machine and print them as JSON.")
	capacitySeed := capacityCommand.Flag("seed", "Seed of all random choices.").Default("1").Uint64()
	capacityCommand.Action(func(*kingpin.ParseContext) error {
		report, err := capacity.Run(*capacitySeed)
		if err != nil {
			return err
		}
		return report.WriteJSON(os.Stdout)
	})
}
