package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"skylarkhinge.dev/skylarkhinge/internal/standin/platform"
)

// platformCommand adds the command platform to app.
func platformCommand(ctx context.Context, app *kingpin.Application) {
	command := app.Command("platform", "The platform's key-value service and its list of VMs.\n\nAdmin endpoint (HTTP):\n"+platform.AdminHelp)
	var options platform.Options
	command.Flag("listen", "Address of the gRPC service.").Default("127.0.0.1:0").StringVar(&options.Address)
	admin := command.Flag("admin", "Address of the admin endpoint.").Default("127.0.0.1:0").String()
	command.Flag("list-lag", "Time until a change of the VM list is visible.").DurationVar(&options.ListLag)
	command.Flag("writes", "Writes per second; 0 means no limit.").IntVar(&options.Limits.WritesPerSecond)
	command.Flag("reads", "Reads per second; 0 means no limit.").IntVar(&options.Limits.ReadsPerSecond)
	command.Action(func(*kingpin.ParseContext) error { return runPlatform(ctx, options, *admin) })
}

func runPlatform(ctx context.Context, options platform.Options, admin string) error {
	server, err := platform.Start(options)
	if err != nil {
		return err
	}
	defer server.Close()
	adminAddress, err := server.ServeAdmin(admin)
	if err != nil {
		return err
	}
	fmt.Printf("ready platform=%s admin=%s\n", server.Address(), adminAddress)
	<-ctx.Done()
	return nil
}
