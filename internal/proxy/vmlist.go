package proxy

import (
	"context"
	"sync"
	"sync/atomic"

	"github.com/samber/oops"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// vmListState keeps the last known copy of the platform's list of VMs, for peers
// that start while the platform is unavailable.
type vmListState struct {
	mu   sync.Mutex
	last metastore.VMList
	// fetching is set while the list is fetched from a peer.
	fetching atomic.Bool
	// listenAddress is where this proxy listens for peers, as a string.
	listenAddress atomic.Value
}

// advertisedAddress is the address at which peers reach this proxy.
func (p *Proxy) advertisedAddress() string {
	if a := p.options.Settings.AdvertisePeerAddress; a != "" {
		return a
	}
	address, _ := p.vmList.listenAddress.Load().(string)
	return address
}

// setVMList stores a list from the platform or from a peer and applies it.
func (p *Proxy) setVMList(list metastore.VMList) {
	p.vmList.mu.Lock()
	p.vmList.last = list
	p.vmList.mu.Unlock()
	p.applyVMList(list)
}

func (p *Proxy) currentVMList() metastore.VMList {
	p.vmList.mu.Lock()
	defer p.vmList.mu.Unlock()
	return p.vmList.last
}

// learnVMList fetches the platform's list from a peer if this proxy has none. It
// is called on each heartbeat from a peer: after a restart, peers that know this VM
// from before still send heartbeats to it.
func (p *Proxy) learnVMList(vm entity.VM, address string) {
	if address == "" || len(p.currentVMList().VMs) > 0 || !p.vmList.fetching.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.vmList.fetching.Store(false)
		if err := p.fetchVMList(vm, address); err != nil {
			p.logFailure("list_failed", "ask_list", string(vm), err)
		}
	}()
}

// fetchVMList fetches the list from a peer and sets it, unless there is one by then.
func (p *Proxy) fetchVMList(vm entity.VM, address string) error {
	errorBuilder := oops.With("step", "ask_list", "peer", string(vm))
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(p.context, peerConnectTimeout)
	defer cancel()
	response, err := peerpb.NewPeerClient(conn).VMs(ctx, &peerpb.VMsRequest{})
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	list, err := metastore.DecodeVMList(response.GetList())
	if err != nil {
		return errorBuilder.Wrap(err)
	}
	if len(list.VMs) > 0 && len(p.currentVMList().VMs) == 0 {
		p.setVMList(list)
	}
	return nil
}

// VMs returns this proxy's copy of the platform's list of VMs.
func (s *peerServer) VMs(context.Context, *peerpb.VMsRequest) (*peerpb.VMsResponse, error) {
	list, err := metastore.EncodeVMList(s.proxy.currentVMList())
	if err != nil {
		return nil, err
	}
	return &peerpb.VMsResponse{List: list}, nil
}
