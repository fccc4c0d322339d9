// Package cli has the commands of the skylarkhinge binary, one file per
// command group. A new command is a function in a file of its own, listed in
// commands.
package cli

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/oops"
)

// Exit codes of the binary.
const (
	// ExitOK means that the command did what was asked.
	ExitOK = 0
	// ExitFailed means that the command failed or found faults.
	ExitFailed = 1
	// ExitUsage means that the command line is wrong; nothing was done.
	ExitUsage = 2
	// ExitNotApplied means that a change was not applied and will not be.
	ExitNotApplied = 3
	// ExitUnknown means that a change may have been applied or may still be.
	ExitUnknown = 4
)

const exitHelp = `Exit codes: 0 done, 1 failed, 2 wrong command line, 3 change not applied, 4 outcome of a change unknown.`

// commands lists the functions that add commands to the binary.
var commands = []func(*Registry){
	addProxy,
	addManaged,
	addStatus,
	addExplain,
	addDrain,
	addDocument,
	addSettings,
	addReplay,
	addVersion,
}

// Run is the body of a command. An error that is no *ExitError means ExitFailed.
type RunFunc func(ctx context.Context) error

// Registry collects the commands of a binary.
type Registry struct {
	App  *kingpin.Application
	Env  *Environment
	runs map[string]RunFunc
}

// Add sets the body of a command that was declared on App.
func (r *Registry) Add(command *kingpin.CmdClause, run RunFunc) {
	r.runs[command.FullCommand()] = run
}

// Environment is what commands use of the process; tests replace it.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Connect        ConnectFunc
}

// ExitError is an error with its exit code.
type ExitError struct {
	Code int
	Err  error
	// Details are further lines for the operator.
	Details []string
}

// Error returns the error's text.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

// terminated carries the exit code of --help and --version.
type terminated int

// Main runs the command of args and returns the exit code.
func Main(ctx context.Context, env *Environment, args []string) (code int) {
	app := kingpin.New("skylarkhinge", "Database proxy with session consistency, and its operators' commands.\n\n"+exitHelp)
	app.HelpFlag.Short('h')
	app.UsageWriter(env.Stdout)
	app.ErrorWriter(env.Stderr)
	// kingpin goes on after help unless the terminator stops it.
	app.Terminate(func(code int) { panic(terminated(code)) })
	defer func() {
		if stop, ok := recover().(terminated); ok {
			code = int(stop)
		}
	}()
	if len(args) == 0 {
		// kingpin takes an empty line for a request for help.
		fmt.Fprintln(env.Stderr, "skylarkhinge: a command is required, try --help")
		return ExitUsage
	}
	registry := &Registry{App: app, Env: env, runs: map[string]RunFunc{}}
	for _, add := range commands {
		add(registry)
	}
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(env.Stderr, "skylarkhinge: %s, try --help\n", oneLine(err.Error()))
		return ExitUsage
	}
	return report(env.Stderr, registry.runs[selected](ctx))
}

// report prints an error on one line, its details below, and returns the exit code.
func report(out io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(out, "skylarkhinge: %s%s\n", oneLine(err.Error()), location(err))
	var exit *ExitError
	if !errors.As(err, &exit) {
		return ExitFailed
	}
	for _, detail := range exit.Details {
		fmt.Fprintf(out, "  %s\n", oneLine(detail))
	}
	return exit.Code
}

// location returns the step and the peer of an error.
func location(err error) string {
	detail, ok := oops.AsOops(err)
	if !ok {
		return ""
	}
	var parts []string
	for _, key := range []string{"step", "service", "peer"} {
		if value, present := detail.Context()[key]; present && value != "" {
			parts = append(parts, fmt.Sprintf("%s=%v", key, value))
		}
	}
	return " (" + strings.Join(parts, " ") + ")"
}

func oneLine(text string) string {
	return strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
}
