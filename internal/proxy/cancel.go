package proxy

import (
	"context"
	"crypto/subtle"

	"github.com/cespare/xxhash/v2"
	"github.com/jackc/pgx/v5/pgproto3"

	peerpb "skylarkhinge.dev/skylarkhinge/api/peer/v1"
	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// vmTagBits is how many of the high bits of a process id are a hash of the VM of
// the caller's proxy. With 5,000 VMs about 20 share a tag, so a cancel request
// that reaches another proxy is forwarded to about 20.
const vmTagBits = 8

// vmTag returns the hash of a VM's name in vmTagBits bits.
func vmTag(vm entity.VM) uint32 { return uint32(xxhash.Sum64String(string(vm)) >> (64 - vmTagBits)) }

// processID returns the process id sent in BackendKeyData to the n-th caller of a
// proxy.
func processID(vm entity.VM, n uint64) uint32 {
	return vmTag(vm)<<(32-vmTagBits) | uint32(n)&(1<<(32-vmTagBits)-1)
}

// handleCancelRequest cancels the request of a caller of this proxy, or forwards
// the cancel request to the proxies that may have the caller. Each cancel request
// has its own connection, which a load balancer may send to any proxy.
func (p *Proxy) handleCancelRequest(m *pgproto3.CancelRequest) {
	if p.cancelCaller(m.ProcessID, m.SecretKey) {
		return
	}
	request := &peerpb.CancelCallerRequest{ProcessId: m.ProcessID, Secret: m.SecretKey}
	for _, vm := range p.topology.proxiesWithTag(m.ProcessID >> (32 - vmTagBits)) {
		if vm != p.self {
			go p.cancelOnPeer(vm, request)
		}
	}
}

func (p *Proxy) cancelOnPeer(vm entity.VM, request *peerpb.CancelCallerRequest) {
	conn, err := p.peers.client(vm).connection()
	if err == nil {
		ctx, cancel := context.WithTimeout(p.context, peerConnectTimeout)
		defer cancel()
		_, err = peerpb.NewPeerClient(conn).CancelCaller(ctx, request)
	}
	if err != nil {
		p.logFailure("cancel_failed", "cancel_caller", string(vm), err)
	}
}

// cancelCaller cancels the running request of a caller of this proxy, if any. It
// reports whether there is a caller with this process id and secret.
func (p *Proxy) cancelCaller(pid uint32, secret []byte) bool {
	c, ok := p.callers.get(pid)
	if !ok || subtle.ConstantTimeCompare(c.secret, secret) == 0 {
		return false
	}
	c.mu.Lock()
	running := c.running
	c.mu.Unlock()
	if running != nil {
		c.cancel(running.handle)
	}
	return true
}

// CancelCaller serves a cancel request that another proxy received.
func (s *peerServer) CancelCaller(_ context.Context, m *peerpb.CancelCallerRequest) (*peerpb.CancelCallerResponse, error) {
	s.proxy.cancelCaller(m.GetProcessId(), m.GetSecret())
	return &peerpb.CancelCallerResponse{}, nil
}
