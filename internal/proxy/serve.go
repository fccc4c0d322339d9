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

// vmListPollInterval is the time between polls of the platform's list of VMs.
const vmListPollInterval = time.Second

// Addresses are the host:port addresses on which a proxy listens. Metrics is empty
// if there is no metrics server.
type Addresses struct {
	Callers string
	Peers   string
	Metrics string
}

// Serve runs the proxy until the context ends or a drain is complete, and returns
// nil then. It calls ready once the proxy listens. An error means that the proxy
// could not start; its attribute step names the step that failed.
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
	p.vmList.listenAddress.Store(peers.Addr().String())
	go p.pollVMList(p.context)
	go p.documents.run(p.context)
	addresses := Addresses{Callers: callers.Addr().String(), Peers: peers.Addr().String(), Metrics: metrics.address}
	ready(addresses)
	p.logEntry("proxy_started", "start", "").WithFields(logrus.Fields{
		"vm": s.VM, "callers": addresses.Callers, "peers": addresses.Peers, "metrics": addresses.Metrics,
	}).Info("proxy is listening")
	select {
	case <-ctx.Done():
	case <-p.drained:
		p.waitForCallers(ctx)
		p.logEntry("proxy_drained", "drain", "").WithField("callers", p.callers.len()).Info("drain complete")
	}
	p.cancel()
	<-p.done
	p.eventLog.close()
	p.peers.close()
	return nil
}

// waitForCallers waits until all caller connections are closed. closeCallers
// closes them at the latest after the drain timeout.
func (p *Proxy) waitForCallers(ctx context.Context) {
	ticker := time.NewTicker(drainIdleTime / 10)
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

// pollVMList polls the platform's list of VMs until the context ends.
func (p *Proxy) pollVMList(ctx context.Context) {
	ticker := time.NewTicker(vmListPollInterval)
	defer ticker.Stop()
	for {
		list, err := p.options.Directory.ListVMs(ctx)
		if err != nil {
			p.logFailure("list_failed", "list_vms", platformPeer, err)
		} else {
			p.setVMList(list)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// applyVMList passes the listed proxies and leaving upstreams to the topology, the
// document relay and the core.
func (p *Proxy) applyVMList(list metastore.VMList) {
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

// drainState records whether a drain was requested.
type drainState struct{ started atomic.Bool }

// drainIdleTime is how long a caller must be idle before a draining proxy closes
// its connection, so that a request that is already in transit is still served.
const drainIdleTime = time.Second

// Drain starts a graceful shutdown and returns at once: the proxy accepts no new
// callers, finishes the open requests and transactions, then hands its databases
// over to their next owners. Serve returns when that is done.
func (p *Proxy) Drain() {
	if !p.drain.started.CompareAndSwap(false, true) {
		return
	}
	p.logEntry("drain_started", "drain", "").Info("draining")
	p.post(func(in *core.Inputs) { in.Drain = true })
	go p.closeCallers()
}

func (p *Proxy) isDraining() bool { return p.drain.started.Load() }

// closeCallers closes connections until the proxy stops: idle ones first, and
// after the drain timeout all others once their current request has ended. A
// transaction that is still open then is rolled back.
func (p *Proxy) closeCallers() {
	deadline := time.Now().Add(p.options.Settings.DrainTimeout.Std())
	ticker := time.NewTicker(drainIdleTime / 10)
	defer ticker.Stop()
	for {
		timedOut := time.Now().After(deadline)
		for _, c := range p.callers.all() {
			if timedOut || c.idleFor() >= drainIdleTime {
				c.requestShutdown()
			}
		}
		select {
		case <-p.done:
			return
		case <-ticker.C:
		}
	}
}
