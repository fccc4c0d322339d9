package managed

import (
	"context"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

const (
	// handOverTimeout bounds the way to one gateway. Callers give a new session up
	// after 2 s, so that three gateways fit.
	handOverTimeout = 500 * time.Millisecond
	// handOverTries is the number of gateways that are tried.
	handOverTries = 3
	// handOverSlack is the time that a gateway has beyond the statement's own.
	handOverSlack = 300 * time.Millisecond
)

// handOver starts the session at a gateway of its database. It returns nil if this
// proxy serves the database itself, or if no gateway can be reached.
func (s *session) handOver(route Route) *remote {
	if s.fromPeer {
		return nil
	}
	d := s.proxy.database(route.Database)
	gateways := d.gatewaysFor()
	if gateways == nil {
		return nil
	}
	ordered := s.proxy.suspects.last(gateway.OrderByDistance(gateways, s.proxy.self(), uint64(now())))
	for _, g := range ordered[:min(handOverTries, len(ordered))] {
		ctx, cancel := context.WithTimeout(context.Background(), handOverTimeout)
		conn, err := s.proxy.options.Protocol.Dial(ctx, Member{Name: entity.Upstream(g.VM), Database: entity.Database(s.host), Address: g.Address})
		cancel()
		if err == nil {
			return &remote{conn: conn, vm: g.VM}
		}
		s.proxy.suspects.add(g.VM)
		s.proxy.events.limited("hand_over_failed", "hand_over", string(g.VM), nil, err)
	}
	return nil
}

// gatewaysFor returns the gateways to hand sessions to, nil if this proxy serves
// the database itself.
func (d *database) gatewaysFor() []gateway.Proxy {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.serves {
		return nil
	}
	return d.gateways
}

// self describes this proxy as other proxies list it.
func (p *Proxy) self() gateway.Proxy {
	s := p.settings()
	return gateway.Proxy{VM: entity.VM(s.VM), AvailabilityZone: s.AvailabilityZone, Region: s.Region, Address: s.PeerAddress, StatusAddress: s.MetricsAddress}
}

// usersOf tells who reaches the upstreams of a database.
type usersOf struct {
	gateways []gateway.Proxy
	// serves is set if this proxy is one of the gateways.
	serves bool
	// sharing is the number of proxies that share an upstream's connections,
	// neighbours how many of them are in this availability zone.
	sharing, neighbours int
}

// users returns who reaches a database's upstreams with the given limits. The mutex
// is held.
func (p *Proxy) users(name entity.Database, limits gateway.Limits) usersOf {
	self := p.self()
	proxies := []gateway.Proxy{self}
	for _, other := range p.proxies.listed {
		if other.VM != self.VM && other.Address != "" {
			proxies = append(proxies, other)
		}
	}
	u := usersOf{gateways: gateway.Choose(proxies, name, limits)}
	u.serves = gateway.Contains(u.gateways, self.VM) || self.Address == ""
	u.sharing = len(u.gateways)
	if u.sharing == len(proxies) {
		u.sharing = max(u.sharing, p.proxies.count())
	}
	for _, g := range u.gateways {
		if g.AvailabilityZone == self.AvailabilityZone {
			u.neighbours++
		}
	}
	return u
}
