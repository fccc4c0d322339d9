// Command standin runs minimal servers that stand in for upstreams and the platform, a TCP
// relay, a load generator, a demo and the measurements. It is for tests and the demo only.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	app := kingpin.New("standin", "Stand-ins for upstreams and the platform, for tests and the demo only. Loopback addresses only; port 0 takes a free port.")
	upstreamCommand(ctx, app)
	platformCommand(ctx, app)
	relayCommand(ctx, app)
	loadCommand(ctx, app)
	demoCommand(ctx, app)
	measureCommand(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}
