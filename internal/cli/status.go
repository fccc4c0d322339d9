package cli

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/encoding/protojson"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// peerFlags select the proxies that a command calls.
type peerFlags struct {
	platform *platformFlags
	proxies  []string
}

func addPeerFlags(command *kingpin.CmdClause) *peerFlags {
	flags := &peerFlags{platform: addPlatformFlags(command)}
	command.Flag("proxy", "Peer address of one proxy. May be repeated. Without it, all proxies of the platform's list.").
		PlaceHolder("ADDRESS").StringsVar(&flags.proxies)
	return flags
}

// addresses returns the peer addresses of the selected proxies.
func (f *peerFlags) addresses(ctx context.Context, env *Environment) ([]string, error) {
	if len(f.proxies) > 0 {
		return f.proxies, nil
	}
	options, err := f.platform.options(env)
	if err != nil {
		return nil, err
	}
	client, err := metastore.NewClient(options)
	if err != nil {
		return nil, err
	}
	defer client.Close()
	list, err := client.ListVMs(ctx)
	if err != nil {
		return nil, err
	}
	var out []string
	for _, vm := range list.VMs {
		if vm.Role == metastore.VMProxy {
			out = append(out, vm.Address)
		}
	}
	return out, nil
}

// peerTimeout limits a call to one proxy.
const peerTimeout = 3 * time.Second

// callPeer calls one proxy and adds the step and the address to errors.
func callPeer(ctx context.Context, address, step string, call func(context.Context, peerpb.PeerClient) error) error {
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return oops.With("step", step, "peer", address).Wrap(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(ctx, peerTimeout)
	defer cancel()
	if err := call(ctx, peerpb.NewPeerClient(conn)); err != nil {
		return oops.With("step", step, "peer", address).Wrap(err)
	}
	return nil
}

func addStatus(r *Registry) {
	command := r.App.Command("status", "Show proxies, databases, primaries, lag, slots, queues and the revisions in force.")
	flags := addPeerFlags(command)
	asJSON := command.Flag("json", "Print one JSON object for each proxy.").Bool()
	r.Add(command, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, flags.platform.timeout)
		defer cancel()
		addresses, err := flags.addresses(ctx, r.Env)
		if err != nil {
			return err
		}
		return status(ctx, r.Env, addresses, *asJSON)
	})
}

// status queries each proxy and prints the answers. If a proxy does not answer, it prints
// the others and returns an error.
func status(ctx context.Context, env *Environment, addresses []string, asJSON bool) error {
	var failed error
	var answers []*peerpb.StatusResponse
	for _, address := range addresses {
		err := callPeer(ctx, address, "status", func(ctx context.Context, client peerpb.PeerClient) error {
			answer, err := client.Status(ctx, &peerpb.StatusRequest{})
			if err == nil {
				answers = append(answers, answer)
			}
			return err
		})
		failed = errors.Join(failed, err)
	}
	if asJSON {
		for _, a := range answers {
			text, err := protojson.Marshal(a)
			if err != nil {
				return err
			}
			fmt.Fprintln(env.Stdout, string(text))
		}
		return failed
	}
	return errors.Join(printStatus(env, answers), failed)
}

func printStatus(env *Environment, answers []*peerpb.StatusResponse) error {
	w := tabwriter.NewWriter(env.Stdout, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "VM\tZONE\tSTATE\tDOCUMENTS")
	for _, a := range answers {
		fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", a.GetVm(), a.GetAvailabilityZone(), vmState(a), revisionList(a))
	}
	fmt.Fprintln(w)
	fmt.Fprintln(w, "DATABASE\tOWNER\tTERM\tUPSTREAM\tROLE\tPOSITION\tLAG\tSLOTS USED\tCONNECTIONS\tQUEUED BY RANK")
	for _, a := range answers {
		for _, d := range a.GetDatabases() {
			if d.GetOwnedHere() {
				printDatabase(w, a.GetVm(), d)
			}
		}
	}
	return w.Flush()
}

func vmState(a *peerpb.StatusResponse) string {
	if a.GetDraining() {
		return "draining"
	}
	return "live"
}

func revisionList(a *peerpb.StatusResponse) string {
	var parts []string
	for _, d := range a.GetDocuments() {
		parts = append(parts, fmt.Sprintf("%s@%d", d.GetService(), d.GetRevision()))
	}
	return strings.Join(parts, " ")
}

// printDatabase prints one row per upstream. The queue lengths are in the first row.
func printDatabase(w *tabwriter.Writer, vm string, d *peerpb.DatabaseStatus) {
	upstreams := slices.Clone(d.GetUpstreams())
	slices.SortFunc(upstreams, func(a, b *peerpb.UpstreamStatus) int { return cmp.Compare(a.GetUpstream(), b.GetUpstream()) })
	var queued []string
	for _, r := range d.GetRanks() {
		queued = append(queued, fmt.Sprintf("%s=%d", r.GetRank(), r.GetQueued()))
	}
	for i, u := range upstreams {
		role, lag := "replica", fmt.Sprintf("%dms", u.GetLagMs())
		if u.GetUpstream() == d.GetPrimary() {
			role, lag = "primary", "-"
		}
		if !u.GetReachable() {
			role, lag = "unreachable", "-"
		}
		ranks := ""
		if i == 0 {
			ranks = strings.Join(queued, " ")
		}
		fmt.Fprintf(w, "%s\t%s\t%d\t%s\t%s\t%d.%d\t%s\t%d\t%d\t%s\n", d.GetDatabase(), vm, d.GetTerm(), u.GetUpstream(), role,
			u.GetLog().GetTerm(), u.GetLog().GetOffset(), lag, u.GetSlotsUsed(), u.GetConnections(), ranks)
	}
}

func addDrain(r *Registry) {
	command := r.App.Command("drain", "Start a graceful shutdown of one proxy. It ends once its callers have left or after drain_timeout.")
	address := command.Arg("proxy", "Peer address of the proxy.").Required().String()
	r.Add(command, func(ctx context.Context) error {
		err := callPeer(ctx, *address, "drain", func(ctx context.Context, client peerpb.PeerClient) error {
			_, err := client.Drain(ctx, &peerpb.DrainRequest{})
			return err
		})
		if err != nil {
			return err
		}
		_, err = fmt.Fprintf(r.Env.Stdout, "%s drains\n", *address)
		return err
	})
}
