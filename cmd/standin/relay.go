package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"skylarkhinge.dev/skylarkhinge/internal/standin/relay"
)

// relayCommand adds the command relay to app.
func relayCommand(ctx context.Context, app *kingpin.Application) {
	command := app.Command("relay", "A TCP relay with fault switches.\n\nAdmin endpoint (HTTP):\n"+relay.AdminHelp)
	var options relay.Options
	command.Flag("listen", "Address of the relay.").Default("127.0.0.1:0").StringVar(&options.Address)
	command.Flag("target", "Address to which connections go.").Required().StringVar(&options.Target)
	admin := command.Flag("admin", "Address of the admin endpoint.").Default("127.0.0.1:0").String()
	command.Action(func(*kingpin.ParseContext) error { return runRelay(ctx, options, *admin) })
}

func runRelay(ctx context.Context, options relay.Options, admin string) error {
	r, err := relay.Start(options)
	if err != nil {
		return err
	}
	defer r.Close()
	adminAddress, stop, err := r.ServeAdmin(admin)
	if err != nil {
		return err
	}
	defer stop()
	fmt.Printf("ready relay=%s target=%s admin=%s\n", r.Address(), options.Target, adminAddress)
	<-ctx.Done()
	return nil
}
