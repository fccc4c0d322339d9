package managed

import (
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// suspectTime is how long a gateway is avoided after a failure, so that each session
// does not wait for it in turn. It is longer than handOverTries dials.
const suspectTime = 3 * time.Second

// suspectedGateways are the gateways that failed a moment ago. It is safe for
// concurrent use.
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
	g.until[vm] = now().Add(suspectTime)
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

// last moves the suspected gateways to the end.
func (g *suspectedGateways) last(gateways []gateway.Proxy) []gateway.Proxy {
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
