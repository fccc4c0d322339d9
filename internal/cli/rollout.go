package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
)

// spreadPoll is the time between looks at the proxies while a revision spreads.
const spreadPoll = 200 * time.Millisecond

// proxyRevision is the revision of a service that one proxy has in force.
type proxyRevision struct {
	address  string
	vm       string
	revision uint64
	err      error
}

// awaitSpread waits until all proxies of the platform's list have a revision in
// force, or until ctx ends, and prints what each has.
func awaitSpread(ctx context.Context, env *Environment, flags *peerFlags, service string, revision uint64) error {
	for {
		rows, err := askRevisions(ctx, env, flags, service)
		if err != nil {
			return err
		}
		missing := countBelow(rows, revision)
		if missing == 0 {
			return printSpread(env, rows, revision)
		}
		select {
		case <-ctx.Done():
			if err := printSpread(env, rows, revision); err != nil {
				return err
			}
			return fmt.Errorf("revision %d of %s is stored, but not yet in force on %d of %d proxies", revision, service, missing, len(rows))
		case <-time.After(spreadPoll):
		}
	}
}

// askRevisions asks each proxy. A proxy that does not answer has revision 0.
func askRevisions(ctx context.Context, env *Environment, flags *peerFlags, service string) ([]proxyRevision, error) {
	addresses, err := flags.addresses(context.WithoutCancel(ctx), env)
	if err != nil {
		return nil, err
	}
	var rows []proxyRevision
	for _, address := range addresses {
		row := proxyRevision{address: address}
		row.err = callPeer(context.WithoutCancel(ctx), address, "status", func(ctx context.Context, client peerpb.PeerClient) error {
			answer, err := client.Status(ctx, &peerpb.StatusRequest{})
			row.vm, row.revision = answer.GetVm(), revisionOf(answer, service)
			return err
		})
		rows = append(rows, row)
	}
	return rows, nil
}

func revisionOf(answer *peerpb.StatusResponse, service string) uint64 {
	for _, d := range answer.GetDocuments() {
		if d.GetService() == service {
			return d.GetRevision()
		}
	}
	return 0
}

func countBelow(rows []proxyRevision, revision uint64) int {
	n := 0
	for _, r := range rows {
		if r.revision < revision {
			n++
		}
	}
	return n
}

func printSpread(env *Environment, rows []proxyRevision, revision uint64) error {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "PROXY\tVM\tREVISION\tIN FORCE")
	for _, r := range rows {
		state := "yes"
		switch {
		case r.err != nil:
			state = "no answer"
		case r.revision < revision:
			state = "no"
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\n", r.address, r.vm, r.revision, state)
	}
	return w.Flush()
}
