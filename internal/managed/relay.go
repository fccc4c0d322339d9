package managed

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// DocumentPath is where a proxy serves its configuration to other proxies.
const DocumentPath = "/configuration"

// relayInterval is the time between questions to other proxies while the store
// does not answer. A configuration then takes force within about two of them.
const relayInterval = 700 * time.Millisecond

// ServeDocument answers another proxy that has lost the store.
func (p *Proxy) ServeDocument(w http.ResponseWriter, _ *http.Request) {
	doc := p.document()
	if doc.Version == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A client that left gets no answer.
	_, _ = w.Write(doc.Source)
}

// relayDocuments asks other proxies for their configuration while the store does
// not answer. Versions only grow, so an old answer does no harm.
func (s *storeSync) relayDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, relayInterval/2+rand.N(relayInterval))
		if s.lostNow.Load() {
			s.askPeer(ctx)
		}
	}
}

func (s *storeSync) askPeer(ctx context.Context) {
	p := s.proxy
	peer, ok := p.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayInterval)
	defer cancel()
	doc, err := p.options.Peers.Document(ctx, peer.StatusAddress)
	if err != nil {
		p.events.limited("relay_failed", "fetch_document", string(peer.VM), nil, err)
		return
	}
	if doc.Version > p.document().Version {
		p.events.relayed(peer.VM, doc.Version)
		p.setDocument(doc)
	}
}

func (p *Proxy) randomPeer() (gateway.Proxy, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	peers := slices.DeleteFunc(slices.Collect(maps.Values(p.proxies.listed)), func(g gateway.Proxy) bool {
		return g.StatusAddress == "" || string(g.VM) == p.settings().VM
	})
	if len(peers) == 0 {
		return gateway.Proxy{}, false
	}
	return peers[rand.N(len(peers))], true
}
