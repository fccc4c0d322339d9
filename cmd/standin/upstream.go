package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// upstreamCommand adds the command upstream to app.
func upstreamCommand(ctx context.Context, app *kingpin.Application) {
	command := app.Command("upstream", "One member of a database group: PostgreSQL server, control service, replication.\n\nAdmin endpoint (HTTP):\n"+upstream.AdminHelp)
	var options upstream.Options
	command.Flag("name", "Name that the member reports.").Default("upstream").StringVar(&options.Name)
	command.Flag("database", "Only database that is served; empty means any.").StringVar(&options.Database)
	command.Flag("listen", "Address of the PostgreSQL server.").Default("127.0.0.1:0").StringVar(&options.Address)
	command.Flag("control", "Address of the control service and of replication.").Default("127.0.0.1:0").StringVar(&options.ControlAddress)
	admin := command.Flag("admin", "Address of the admin endpoint.").Default("127.0.0.1:0").String()
	command.Flag("primary", "Start as the primary of term 1.").BoolVar(&options.Primary)
	command.Flag("peer", "Control address of another member; may be repeated. Also set by POST /peers.").StringsVar(&options.Peers)
	command.Flag("max-connections", "Limit of connections; 0 means none.").IntVar(&options.MaxConnections)
	command.Flag("slots", "Statements that run at once; 0 means no limit.").IntVar(&options.Slots)
	command.Flag("setup-delay", "Time until a new connection is ready.").DurationVar(&options.SetupDelay)
	command.Flag("service-time", "Time for which a statement occupies its slot.").DurationVar(&options.ServiceTime)
	command.Flag("lag", "Replication lag, up to 60s.").DurationVar(&options.Lag)
	command.Action(func(*kingpin.ParseContext) error { return runUpstream(ctx, options, *admin) })
}

func runUpstream(ctx context.Context, options upstream.Options, admin string) error {
	member, err := upstream.Start(options)
	if err != nil {
		return err
	}
	defer member.Close()
	adminAddress, err := member.ServeAdmin(admin)
	if err != nil {
		return err
	}
	fmt.Printf("ready name=%s postgres=%s control=%s admin=%s\n", member.Name(), member.Address(), member.ControlAddress(), adminAddress)
	<-ctx.Done()
	return nil
}
