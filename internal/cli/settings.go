package cli

import (
	"context"
	"encoding/json"
	"fmt"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/docs/schemas"
)

func addSettings(r *Registry) {
	group := r.App.Command("settings", "Check the daemon's settings.")
	check := group.Command("check", "Check a settings file and print the settings in effect, or all its faults.")
	file := check.Arg("file", "Settings file, or - for standard input.").Required().String()
	r.Add(check, func(context.Context) error {
		settings, err := readSettings(r.Env, *file)
		if err != nil {
			return err
		}
		text, err := json.MarshalIndent(settings, "", "  ")
		if err != nil {
			return err
		}
		_, err = fmt.Fprintln(r.Env.Stdout, string(text))
		return err
	})
	schema := group.Command("schema", "Print the JSON Schema of settings.")
	r.Add(schema, func(context.Context) error {
		_, err := r.Env.Stdout.Write(schemas.Settings)
		return err
	})
}

// readSettings reads a settings file. The faults of the file are details of the error.
func readSettings(env *Environment, file string) (*config.Settings, error) {
	data, err := readInput(env, file, config.MaxSettingsBytes)
	if err != nil {
		return nil, err
	}
	settings, err := config.DecodeSettings(data)
	return settings, faultError(file, err)
}
