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

// listState is the platform's list as last seen, for peers that start while the
// platform is out of service.
type listState struct {
	mu   sync.Mutex
	last metastore.VMList
	// learning is set while a peer is asked for its list.
	learning atomic.Bool
	// address is where this proxy listens for its peers.
	address atomic.Value
}

// advertised is the address at which peers reach this proxy.
func (p *Proxy) advertised() string {
	if a := p.options.Settings.AdvertisePeerAddress; a != "" {
		return a
	}
	address, _ := p.list.address.Load().(string)
	return address
}

// keepList takes a list from the platform or from a peer.
func (p *Proxy) keepList(list metastore.VMList) {
	p.list.mu.Lock()
	p.list.last = list
	p.list.mu.Unlock()
	p.putList(list)
}

func (p *Proxy) lastList() metastore.VMList {
	p.list.mu.Lock()
	defer p.list.mu.Unlock()
	return p.list.last
}

// learnList asks a peer for the platform's list if this proxy has none. The peer
// knows this VM from before its restart and sends it heartbeats.
func (p *Proxy) learnList(vm entity.VM, address string) {
	if address == "" || len(p.lastList().VMs) > 0 || !p.list.learning.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.list.learning.Store(false)
		if err := p.askList(vm, address); err != nil {
			p.logFailure("list_failed", "ask_list", string(vm), err)
		}
	}()
}

func (p *Proxy) askList(vm entity.VM, address string) error {
	fail := oops.With("step", "ask_list", "peer", string(vm))
	conn, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		return fail.Wrap(err)
	}
	defer conn.Close()
	ctx, cancel := context.WithTimeout(p.context, peerConnectTimeout)
	defer cancel()
	response, err := peerpb.NewPeerClient(conn).VMs(ctx, &peerpb.VMsRequest{})
	if err != nil {
		return fail.Wrap(err)
	}
	list, err := metastore.DecodeList(response.GetList())
	if err != nil {
		return fail.Wrap(err)
	}
	if len(list.VMs) > 0 && len(p.lastList().VMs) == 0 {
		p.keepList(list)
	}
	return nil
}

// VMs returns the platform's list as this proxy knows it.
func (s *peerServer) VMs(context.Context, *peerpb.VMsRequest) (*peerpb.VMsResponse, error) {
	list, err := metastore.EncodeList(s.proxy.lastList())
	if err != nil {
		return nil, err
	}
	return &peerpb.VMsResponse{List: list}, nil
}
