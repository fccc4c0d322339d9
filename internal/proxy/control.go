package proxy

import (
	"context"
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/group"
)

// executeControl starts the calls to the control services of upstreams and to
// the metadata store. Each result is posted to the core.
func (p *Proxy) executeControl(out *core.Outputs) {
	for _, r := range out.Probes {
		go p.probe(r)
	}
	for _, r := range out.Fences {
		go p.fence(r)
	}
	for _, r := range out.Promotes {
		go p.promote(r)
	}
	for _, r := range out.Claims {
		go p.claim(r)
	}
}

func (p *Proxy) controlContext() (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.Background(), controlTimeout)
}

// controlTimeout bounds a control call. The core does not wait longer for it.
const controlTimeout = time.Second

func (p *Proxy) probe(r core.GroupProbeRequest) {
	answer := core.GroupProbeAnswer{Database: r.Database}
	answer.Round, answer.Upstream = r.Round, r.Upstream
	target, ok := p.topology.upstreamEndpoint(r.Database, r.Upstream)
	if ok {
		ctx, cancel := p.controlContext()
		defer cancel()
		status, err := target.control.Status(ctx, r.Database, r.FreshConnection)
		answer.Status, ok = status, err == nil
		if err != nil {
			p.logFailure("control_failed", "status", string(r.Upstream), err)
		}
	}
	answer.Failed = !ok
	p.post(func(in *core.Inputs) { in.Probes = append(in.Probes, answer) })
}

func (p *Proxy) fence(r core.GroupFenceRequest) {
	answer := group.FenceAnswer{Upstream: r.Upstream, Term: r.Term, Failed: true}
	if target, ok := p.topology.upstreamEndpoint(r.Database, r.Upstream); ok {
		ctx, cancel := p.controlContext()
		defer cancel()
		accepted, status, err := target.control.Fence(ctx, r.Database, r.Term, string(p.self))
		answer.Failed, answer.Accepted, answer.Status = err != nil, accepted, status
		if err != nil {
			p.logFailure("control_failed", "fence", string(r.Upstream), err)
		}
	}
	p.post(func(in *core.Inputs) {
		in.Fences = append(in.Fences, core.GroupFenceAnswer{Database: r.Database, FenceAnswer: answer})
	})
}

func (p *Proxy) promote(r core.GroupPromoteRequest) {
	answer := group.PromoteAnswer{Upstream: r.Upstream, Term: r.Term, Failed: true}
	if target, ok := p.topology.upstreamEndpoint(r.Database, r.Upstream); ok {
		ctx, cancel := p.controlContext()
		defer cancel()
		otherMembers := p.topology.otherControlAddresses(r.Database, r.Upstream)
		accepted, status, err := target.control.Promote(ctx, r.Database, r.Term, string(p.self), otherMembers)
		answer.Failed, answer.Accepted, answer.Status = err != nil, accepted, status
		if err != nil {
			p.logFailure("control_failed", "promote", string(r.Upstream), err)
		}
	}
	p.post(func(in *core.Inputs) {
		in.Promotes = append(in.Promotes, core.GroupPromoteAnswer{Database: r.Database, PromoteAnswer: answer})
	})
}

// claim records this proxy in the store as the promoter of a term. The first
// claim of a term wins; a repeated claim by the same proxy succeeds.
func (p *Proxy) claim(r core.GroupClaimRequest) {
	key := fmt.Sprintf("promotions/%s/%020d", r.Database, r.Term)
	ctx, cancel := p.controlContext()
	defer cancel()
	swap, err := p.options.Store.CompareAndSwap(ctx, key, 0, []byte(p.self))
	answer := group.ClaimAnswer{Term: r.Term, Failed: err != nil}
	answer.Claimed = swap.Swapped || string(swap.Entry.Value) == string(p.self)
	if err != nil {
		p.logFailure("claim_failed", "claim_term", platformPeer, err)
	}
	p.post(func(in *core.Inputs) {
		in.Claims = append(in.Claims, core.GroupClaimAnswer{Database: r.Database, ClaimAnswer: answer})
	})
}
