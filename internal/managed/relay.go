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

// DocumentPath is the HTTP path at which a proxy serves its configuration to other proxies.
const DocumentPath = "/configuration"

// relayInterval is the mean interval between requests to other proxies while the store is
// unavailable. A new configuration then takes effect within about two intervals.
const relayInterval = 700 * time.Millisecond

// ServeDocument serves the current configuration to a proxy that has lost the store.
func (p *Proxy) ServeDocument(w http.ResponseWriter, _ *http.Request) {
	doc := p.document()
	if doc.Version == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	// A write error means that the client has disconnected.
	_, _ = w.Write(doc.Source)
}

// relayDocuments fetches the configuration from other proxies while the store is
// unavailable. Older versions are ignored, so a stale answer is harmless.
func (s *storeSync) relayDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		sleep(ctx, relayInterval/2+rand.N(relayInterval))
		if s.storeLost.Load() {
			s.fetchPeerDocument(ctx)
		}
	}
}

func (s *storeSync) fetchPeerDocument(ctx context.Context) {
	p := s.proxy
	peer, ok := p.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, relayInterval)
	defer cancel()
	doc, err := p.options.Peers.Document(ctx, peer.StatusAddress)
	if err != nil {
		p.events.rateLimited("relay_failed", "fetch_document", string(peer.VM), nil, err)
		return
	}
	if doc.Version > p.document().Version {
		p.events.documentRelayed(peer.VM, doc.Version)
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
