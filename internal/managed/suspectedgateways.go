package managed

import (
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// suspectDuration is how long a gateway is avoided after a failure, so that sessions do not
// wait for it one after the other. It exceeds the time of handOverAttempts connection
// attempts.
const suspectDuration = 3 * time.Second

// suspectedGateways holds the gateways that failed recently. It is safe for concurrent use.
type suspectedGateways struct {
	mu    sync.Mutex
	until map[entity.VM]entity.Time
}

func (g *suspectedGateways) add(vm entity.VM) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.until == nil {
		g.until = map[entity.VM]entity.Time{}
	}
	g.until[vm] = now().Add(suspectDuration)
}

func (g *suspectedGateways) has(vm entity.VM) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	until, known := g.until[vm]
	if known && now() >= until {
		delete(g.until, vm)
		return false
	}
	return known
}

// moveSuspectedLast returns the gateways with the suspected ones at the end.
func (g *suspectedGateways) moveSuspectedLast(gateways []gateway.Proxy) []gateway.Proxy {
	var suspected, others []gateway.Proxy
	for _, p := range gateways {
		if g.has(p.VM) {
			suspected = append(suspected, p)
		} else {
			others = append(others, p)
		}
	}
	return append(others, suspected...)
}
