// Command skylarkhinge is the database proxy daemon and its operators' client.
package main

import (
	"context"
	"os"
	"os/signal"
	"syscall"

	"skylarkhinge.dev/skylarkhinge/internal/cli"
)

func main() {
	os.Exit(run())
}

// run returns the exit code. It is separate from main so that deferred calls run before
// os.Exit.
func run() int {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	env := &cli.Environment{Stdin: os.Stdin, Stdout: os.Stdout, Stderr: os.Stderr, Connect: cli.ConnectGRPC}
	return cli.Main(ctx, env, os.Args[1:])
}
