package managed

import (
	"context"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

const (
	// handOverTimeout bounds the connection attempt to one gateway. Callers give up a new
	// session after 2 s, which leaves time for three gateways.
	handOverTimeout = 500 * time.Millisecond
	// handOverAttempts is the maximum number of gateways tried for a session.
	handOverAttempts = 3
	// handOverSlack is added to the statement timeout while waiting for a gateway's reply.
	handOverSlack = 300 * time.Millisecond
)

// handOver opens the session at a gateway of the route's database, trying a number of them.
// It returns nil if this proxy serves the session itself: it is a gateway, the session
// already came from another proxy, or no gateway can be reached.
func (s *session) handOver(route Route, attempts int) *remoteSession {
	if s.fromPeer {
		return nil
	}
	d := s.proxy.database(route.Database)
	gateways := d.handOverTargets()
	if gateways == nil {
		return nil
	}
	ordered := s.proxy.suspectedGateways.moveSuspectedLast(gateway.OrderByDistance(gateways, s.proxy.self(), s.gatewayOrderKey(len(gateways))))
	for _, g := range ordered[:min(attempts, len(ordered))] {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		conn, err := s.proxy.options.Protocol.Dial(ctx, Member{Name: entity.Upstream(g.VM), Database: entity.Database(s.databaseName), Address: g.Address}, gatewayIdentity(s.identity.organisation))
		cancel()
		if err == nil {
			return &remoteSession{conn: conn, vm: g.VM, organisation: s.identity.organisation}
		}
		s.proxy.suspectedGateways.add(g.VM)
		s.proxy.events.rateLimited("hand_over_failed", "hand_over", string(g.VM), nil, err)
	}
	return nil
}

// handOverTargets returns the gateways to hand sessions to, nil if this proxy is one of
// them.
func (d *database) handOverTargets() []gateway.Proxy {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.isGateway {
		return nil
	}
	return d.gateways
}

// self returns this proxy's entry as listed for other proxies.
func (p *Proxy) self() gateway.Proxy {
	s := p.settings()
	return gateway.Proxy{VM: entity.VM(s.VM), AvailabilityZone: s.AvailabilityZone, Region: s.Region, Address: s.PeerAddress, StatusAddress: s.MetricsAddress, LinkMbps: s.LinkMbps}
}

// gatewayAssignment describes which proxies connect to the upstreams of a database.
type gatewayAssignment struct {
	gateways []gateway.Proxy
	// isGateway is set if this proxy is one of the gateways.
	isGateway bool
	// sharingProxies is the number of proxies that share an upstream's connections,
	// sharingInZone the number of those in this availability zone.
	sharingProxies, sharingInZone int
}

// assignGateways computes the gateways of a database whose upstreams have the given limits.
// The proxy's mutex is held.
func (p *Proxy) assignGateways(name entity.Database, limits gateway.Limits) gatewayAssignment {
	self := p.self()
	fleet := p.proxies.gatewayFleet(self)
	a := gatewayAssignment{gateways: fleet.Choose(name, limits)}
	a.isGateway = gateway.Contains(a.gateways, self.VM) || self.Address == ""
	a.sharingProxies = len(a.gateways)
	if a.sharingProxies == p.proxies.fleetSize {
		// Proxies whose entries vanished recently may still hold connections.
		a.sharingProxies = max(a.sharingProxies, p.proxies.count())
	}
	for _, g := range a.gateways {
		if g.AvailabilityZone == self.AvailabilityZone {
			a.sharingInZone++
		}
	}
	return a
}
