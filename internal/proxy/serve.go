package proxy

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"github.com/samber/oops"
	"github.com/sirupsen/logrus"
	"google.golang.org/grpc"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/docsync"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/membership"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// listInterval is the time between readings of the platform's list of VMs.
const listInterval = time.Second

// Addresses are where a proxy listens.
type Addresses struct {
	Callers string
	Peers   string
	Metrics string
}

// Serve listens and runs until the context ends or a drain is complete. ready
// is called once the proxy listens. The error names the step that failed.
func (p *Proxy) Serve(ctx context.Context, ready func(Addresses)) error {
	s := p.options.Settings
	callers, err := net.Listen("tcp", s.CallerAddress)
	if err != nil {
		return oops.With("step", "listen_callers").Wrap(err)
	}
	defer callers.Close()
	peers, err := net.Listen("tcp", s.PeerAddress)
	if err != nil {
		return oops.With("step", "listen_peers").Wrap(err)
	}
	defer peers.Close()
	metrics, err := p.serveMetrics()
	if err != nil {
		return err
	}
	defer metrics.stop()
	if err := p.logSettings(); err != nil {
		return err
	}
	if p.options.Recorder != nil {
		if err := p.options.Recorder.Start(p.config); err != nil {
			return oops.With("step", "start_trace").Wrap(err)
		}
	}
	defer p.cancel()
	server := grpc.NewServer(grpc.MaxRecvMsgSize(maxPeerMessageBytes), grpc.MaxSendMsgSize(maxPeerMessageBytes))
	peerpb.RegisterPeerServer(server, &peerServer{proxy: p})
	go server.Serve(peers)
	defer server.Stop()
	go p.eventLog.run()
	go p.loop(p.context)
	go p.serveCallers(callers)
	p.list.address.Store(peers.Addr().String())
	go p.watchList(p.context)
	go p.documents.run(p.context)
	at := Addresses{Callers: callers.Addr().String(), Peers: peers.Addr().String(), Metrics: metrics.address}
	ready(at)
	p.line("proxy_started", "start", "").WithFields(logrus.Fields{
		"vm": s.VM, "callers": at.Callers, "peers": at.Peers, "metrics": at.Metrics,
	}).Info("proxy listens")
	select {
	case <-ctx.Done():
	case <-p.drained:
		p.awaitCallers(ctx)
		p.line("proxy_drained", "drain", "").WithField("callers", p.callers.len()).Info("no request is left")
	}
	p.cancel()
	<-p.done
	p.eventLog.close()
	p.peers.close()
	return nil
}

// awaitCallers waits until the callers have left. endCallers sees to it that
// they do, after the drain's time at the latest.
func (p *Proxy) awaitCallers(ctx context.Context) {
	ticker := time.NewTicker(drainIdle / 10)
	defer ticker.Stop()
	for p.callers.len() > 0 {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Proxy) postService(service core.Service) {
	p.post(func(in *core.Inputs) { in.Documents = append(in.Documents, service) })
}

// watchList reads the platform's list of VMs.
func (p *Proxy) watchList(ctx context.Context) {
	ticker := time.NewTicker(listInterval)
	defer ticker.Stop()
	for {
		list, err := p.options.Directory.ListVMs(ctx)
		if err != nil {
			p.logFailure("list_failed", "list_vms", platformPeer, err)
		} else {
			p.keepList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

func (p *Proxy) putList(list metastore.VMList) {
	addresses := map[entity.VM]string{}
	var proxies []membership.ListedVM
	var leaving []entity.Upstream
	var peers []docsync.Peer
	for _, vm := range list.VMs {
		switch {
		case vm.Role == metastore.VMProxy:
			addresses[entity.VM(vm.Name)] = vm.Address
			proxies = append(proxies, listedVM(vm))
			peers = append(peers, docsync.Peer{VM: entity.VM(vm.Name), AvailabilityZone: vm.AvailabilityZone})
		case vm.Role == metastore.VMUpstream && vm.State == metastore.VMLeaving:
			leaving = append(leaving, entity.Upstream(vm.Name))
		}
	}
	p.topology.putProxies(addresses)
	p.documents.setPeers(peers)
	p.post(func(in *core.Inputs) {
		in.ProxyList = append(in.ProxyList[:0], proxies...)
		in.LeavingUpstreams = append(in.LeavingUpstreams[:0], leaving...)
		in.ListRevision = list.Revision
	})
}

func listedVM(vm metastore.VM) membership.ListedVM {
	state := membership.VMLive
	if vm.State == metastore.VMLeaving {
		state = membership.VMLeaving
	}
	return membership.ListedVM{VM: entity.VM(vm.Name), AvailabilityZone: vm.AvailabilityZone, State: state}
}

// drainState is set once a drain was asked for.
type drainState struct{ started atomic.Bool }

// drainIdle is how long a caller must be idle before a draining proxy ends its
// connection, so that a request that is on its way is still taken.
const drainIdle = time.Second

// Drain starts a graceful shutdown: no new callers, the open requests and
// transactions end, then the databases go to their next owners.
func (p *Proxy) Drain() {
	if !p.drain.started.CompareAndSwap(false, true) {
		return
	}
	p.line("drain_started", "drain", "").Info("draining")
	p.post(func(in *core.Inputs) { in.Drain = true })
	go p.endCallers()
}

func (p *Proxy) isDraining() bool { return p.drain.started.Load() }

// endCallers ends connections until the drain is complete: idle ones first, and
// once the drain's time is over all others after their current request. A
// transaction that is still open then is rolled back.
func (p *Proxy) endCallers() {
	over := time.Now().Add(p.options.Settings.DrainTimeout.Std())
	ticker := time.NewTicker(drainIdle / 10)
	defer ticker.Stop()
	for {
		all := time.Now().After(over)
		for _, c := range p.callers.all() {
			if all || c.idleFor() >= drainIdle {
				c.endIdle()
			}
		}
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}
