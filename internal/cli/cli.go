// Package cli implements the commands of the skylarkhinge binary, one file per command
// group. To add a command, write a function in a new file and list it in commands.
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
	// ExitOK means that the command succeeded.
	ExitOK = 0
	// ExitFailed means that the command failed or found faults.
	ExitFailed = 1
	// ExitUsage means that the command line is invalid and nothing was done.
	ExitUsage = 2
	// ExitNotApplied means that a change was not applied and will not be applied later.
	ExitNotApplied = 3
	// ExitUnknown means that a change may have been applied, or may still be.
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

// RunFunc executes a command. An error other than *ExitError means ExitFailed.
type RunFunc func(ctx context.Context) error

// Registry holds the commands of the binary.
type Registry struct {
	App      *kingpin.Application
	Env      *Environment
	runFuncs map[string]RunFunc
}

// Add sets the function of a command that was declared on App.
func (r *Registry) Add(command *kingpin.CmdClause, run RunFunc) {
	r.runFuncs[command.FullCommand()] = run
}

// Environment holds the process resources that commands use. Tests replace it.
type Environment struct {
	Stdin          io.Reader
	Stdout, Stderr io.Writer
	Connect        ConnectFunc
}

// ExitError is an error with its exit code.
type ExitError struct {
	Code int
	Err  error
	// Details are printed below the error, one per line.
	Details []string
}

// Error returns the error's text.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the underlying error.
func (e *ExitError) Unwrap() error { return e.Err }

// terminationCode is the panic value that carries the exit code of --help and --version.
type terminationCode int

// Main runs the command of args and returns the exit code.
func Main(ctx context.Context, env *Environment, args []string) (code int) {
	app := kingpin.New("skylarkhinge", "Database proxy with session consistency, and its operators' commands.\n\n"+exitHelp)
	app.HelpFlag.Short('h')
	app.UsageWriter(env.Stdout)
	app.ErrorWriter(env.Stderr)
	// After printing help, kingpin continues unless the terminator does not return.
	app.Terminate(func(code int) { panic(terminationCode(code)) })
	defer func() {
		if stop, ok := recover().(terminationCode); ok {
			code = int(stop)
		}
	}()
	if len(args) == 0 {
		// kingpin treats an empty command line as a request for help.
		fmt.Fprintln(env.Stderr, "skylarkhinge: a command is required, try --help")
		return ExitUsage
	}
	registry := &Registry{App: app, Env: env, runFuncs: map[string]RunFunc{}}
	for _, add := range commands {
		add(registry)
	}
	selected, err := app.Parse(args)
	if err != nil {
		fmt.Fprintf(env.Stderr, "skylarkhinge: %s, try --help\n", oneLine(err.Error()))
		return ExitUsage
	}
	return reportError(env.Stderr, registry.runFuncs[selected](ctx))
}

// reportError prints an error on one line, followed by its details, and returns the exit
// code.
func reportError(out io.Writer, err error) int {
	if err == nil {
		return ExitOK
	}
	fmt.Fprintf(out, "skylarkhinge: %s%s\n", oneLine(err.Error()), errorContext(err))
	var exit *ExitError
	if !errors.As(err, &exit) {
		return ExitFailed
	}
	for _, detail := range exit.Details {
		fmt.Fprintf(out, "  %s\n", oneLine(detail))
	}
	return exit.Code
}

// errorContext returns the step, the service and the peer of an error, in parentheses.
func errorContext(err error) string {
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

// oneLine joins the lines of a text.
func oneLine(text string) string {
	return strings.ReplaceAll(strings.TrimSpace(text), "\n", "; ")
}
