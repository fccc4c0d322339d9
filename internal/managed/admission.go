package managed

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
	core "skylarkhinge.dev/skylarkhinge/core/quota"
	"skylarkhinge.dev/skylarkhinge/internal/managed/quota"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// QuotaPath is the HTTP path at which a proxy grants tokens to other proxies.
const QuotaPath = quota.Path

const (
	// quotaWaitFraction is the part of a route's target latency that an operation may wait
	// for its organisation's quota: 1/quotaWaitFraction.
	quotaWaitFraction = 4
	// defaultQuotaWait applies if the route has no target latency.
	defaultQuotaWait = 100 * time.Millisecond
)

// newQuotas returns the service that decides on quotas, nil if the settings have none.
func newQuotas(p *Proxy) *quota.Service {
	settings := p.settings()
	if settings.QuotaWindow <= 0 {
		return nil
	}
	return quota.New(quota.Options{
		Self: entity.VM(settings.VM),
		Parameters: core.Parameters{
			Window: settings.QuotaWindow, Overage: settings.QuotaOverage, Slack: float64(settings.QuotaSlack),
		},
		Now:       now,
		Peers:     p.quotaPeers,
		Limits:    p.quotaLimits,
		Transport: quota.NewHTTPTransport(),
		Changed:   p.events.quotaChanged,
		Failed: func(vm entity.VM, err error) {
			p.events.rateLimited("limiter_failed", "ask_limiter", string(vm), nil, err)
		},
	})
}

// QuotaHandler returns the handler of QuotaPath, nil if the settings have no quotas.
func (p *Proxy) QuotaHandler() http.Handler {
	if p.quotas == nil {
		return nil
	}
	return p.quotas
}

// quotaPeers returns the listed proxies.
func (p *Proxy) quotaPeers() []quota.Peer {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := make([]quota.Peer, 0, len(p.proxies.listed))
	for _, g := range p.proxies.listed {
		peers = append(peers, quota.Peer{VM: g.VM, Address: g.StatusAddress})
	}
	return peers
}

// quotaLimits returns the quota of an organisation in the configuration in effect.
func (p *Proxy) quotaLimits(name organisation.Name) (core.Limits, bool) {
	directory := p.document().Organisations
	if directory == nil {
		return core.Limits{}, false
	}
	o := directory.Lookup(name)
	if o == nil || !o.Limited {
		return core.Limits{}, false
	}
	return core.Limits{Rate: o.Rate, Burst: o.Burst}, true
}

// admitOperation reports whether an operation of an organisation may run. It may wait for
// the organisation's quota. If the operation must not run, it returns the reply. Operations
// of sessions that another proxy handed over were admitted there.
func (s *session) admitOperation(route Route, org *organisation.Organisation) (Reply, bool) {
	quotas := s.proxy.quotas
	if quotas == nil || s.fromPeer {
		return Reply{}, true
	}
	ok, retryAfter := quotas.Admit(org, route.Rank == 0, quotaWait(route))
	if ok {
		return Reply{}, true
	}
	return errorReply(CodeBusy, fmt.Sprintf("not run: quota of the organisation is used up; retry after %d ms", max(1, retryAfter.Milliseconds()))), false
}

// quotaWait returns the time that an operation may wait for its organisation's quota.
func quotaWait(route Route) time.Duration {
	wait := defaultQuotaWait
	if route.TargetLatency > 0 {
		wait = route.TargetLatency / quotaWaitFraction
	}
	timeout := route.StatementTimeout
	if timeout <= 0 {
		timeout = defaultStatementTimeout
	}
	return min(wait, timeout/2)
}

// chargeRetry charges the repetition of an operation that may have reached an upstream to
// its organisation's quota.
func (s *session) chargeRetry(org *organisation.Organisation) {
	if quotas := s.proxy.quotas; quotas != nil && !s.fromPeer {
		quotas.Charge(org)
	}
}

// quotaChanged logs that operations of an organisation begin or cease to be refused.
func (e *events) quotaChanged(c core.Change) {
	event := "quota_limited"
	if !c.Limited {
		event = "quota_unlimited"
	}
	if !e.admit(CodeBusy) {
		return
	}
	e.request(event).WithFields(logrus.Fields{
		"organisation": c.Name, "rate": c.Limits.Rate, "burst": c.Limits.Burst, "peer": c.Limiter,
		"admitted": c.Counters.Admitted, "refused": c.Counters.Refused,
	}).Info("state changed")
}

// quotaSample returns the metrics of quotas, nil if there are none.
func (p *Proxy) quotaSample() *telemetry.QuotaSample {
	if p.quotas == nil {
		return nil
	}
	s := p.quotas.Statistics()
	sample := &telemetry.QuotaSample{Admitted: s.Admitted, Waited: s.Waited, Refused: s.Refused, Granted: s.Granted}
	for _, r := range s.Refusals {
		sample.Refusals = append(sample.Refusals, telemetry.OrganisationSample{Name: string(r.Name), Count: r.Count})
	}
	return sample
}
