package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
)

// rolloutPollInterval is the interval at which the proxies are queried while a revision is
// rolled out.
const rolloutPollInterval = 200 * time.Millisecond

// proxyRevision is the document revision of a service that is in force on one proxy, or the
// error of the query.
type proxyRevision struct {
	address  string
	vm       string
	revision uint64
	err      error
}

// awaitRollout waits until a revision or a newer one is in force on all proxies that the
// flags select, or until ctx ends. It prints the revision of each proxy.
func awaitRollout(ctx context.Context, env *Environment, flags *peerFlags, service string, revision uint64) error {
	for {
		rows, err := queryRevisions(ctx, env, flags, service)
		if err != nil {
			return err
		}
		missing := countBelow(rows, revision)
		if missing == 0 {
			return printRollout(env, rows, revision)
		}
		select {
		case <-ctx.Done():
			if err := printRollout(env, rows, revision); err != nil {
				return err
			}
			return fmt.Errorf("revision %d of %s is stored, but not yet in force on %d of %d proxies", revision, service, missing, len(rows))
		case <-time.After(rolloutPollInterval):
		}
	}
}

// queryRevisions queries each proxy. A proxy that does not answer has revision 0.
func queryRevisions(ctx context.Context, env *Environment, flags *peerFlags, service string) ([]proxyRevision, error) {
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

// countBelow returns the number of proxies with a revision lower than the given one.
func countBelow(rows []proxyRevision, revision uint64) int {
	count := 0
	for _, r := range rows {
		if r.revision < revision {
			count++
		}
	}
	return count
}

// printRollout prints a table of the proxies and their revisions.
func printRollout(env *Environment, rows []proxyRevision, revision uint64) error {
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
