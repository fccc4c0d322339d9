package cli

import (
	"context"
	"fmt"

	"skylarkhinge.dev/skylarkhinge/internal/explain"
)

func addExplain(r *Registry) {
	command := r.App.Command("explain", "Print the way from a request's id to its cause, from log lines on standard input.\n\nThe lines of several proxies may be mixed; they are merged by time.")
	id := command.Arg("id", "The request's id.").Required().String()
	r.Add(command, func(context.Context) error {
		log, err := explain.Read(r.Env.Stdin)
		if err != nil {
			return err
		}
		if log.Malformed > 0 {
			fmt.Fprintf(r.Env.Stderr, "skylarkhinge: %d lines could not be read and were skipped\n", log.Malformed)
		}
		explanation, err := explain.Explain(log, *id)
		if err != nil {
			return err
		}
		return explanation.Print(r.Env.Stdout)
	})
}
