package managed

import (
	"context"
	"maps"
	"math/rand/v2"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/gateway"
	"skylarkhinge.dev/skylarkhinge/core/revocation"
)

// DocumentPath is the HTTP path at which a proxy serves its configuration to other proxies.
const DocumentPath = "/configuration"

// AgeHeader is the HTTP header of DocumentPath with the age of the configuration in
// milliseconds. It is absent if the configuration was never confirmed.
const AgeHeader = "Configuration-Age-Ms"

// DocumentHeader holds the header fields of an answer at DocumentPath.
type DocumentHeader struct {
	// Age is the age of the configuration, or UnknownAge.
	Age time.Duration
}

// Write adds the fields to an answer.
func (d DocumentHeader) Write(h http.Header) {
	if d.Age >= 0 && d.Age != revocation.Never {
		h.Set(AgeHeader, strconv.FormatInt(*ageMillis(d.Age), 10))
	}
}

// ReadDocumentHeader decodes the fields of an answer. A missing or invalid age is unknown.
func ReadDocumentHeader(h http.Header) DocumentHeader {
	return DocumentHeader{Age: AgeFromMillis(strconv.ParseInt(h.Get(AgeHeader), 10, 64))}
}

// maxReportedAge bounds the age that another proxy may report.
const maxReportedAge = 24 * time.Hour

// AgeFromMillis returns a reported age, UnknownAge if there is an error or if the count is
// out of range.
func AgeFromMillis(count int64, err error) time.Duration {
	if err != nil || count < 0 || count > maxReportedAge.Milliseconds() {
		return UnknownAge
	}
	return time.Duration(count) * time.Millisecond
}

// relayInterval is the mean interval between requests to other proxies while the store is
// unavailable. A new configuration then takes effect within about two intervals.
const relayInterval = 700 * time.Millisecond

// ServeDocument serves the current configuration to a follower, or to a proxy that has lost
// the store. If the parameter have is its version or a later one, the answer is empty.
func (p *Proxy) ServeDocument(w http.ResponseWriter, r *http.Request) {
	// The age is read before the document, which may be replaced in between: the later
	// document includes what the age says.
	header := DocumentHeader{Age: p.configurationAge(now())}
	doc := p.document()
	if doc.Version == 0 {
		http.Error(w, "no configuration yet", http.StatusServiceUnavailable)
		return
	}
	header.Write(w.Header())
	if have, err := strconv.ParseUint(r.FormValue("have"), 10, 64); err == nil && have >= doc.Version {
		w.WriteHeader(http.StatusNoContent)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	text := doc.Source
	if strings.Contains(r.Header.Get("Accept-Encoding"), "gzip") {
		w.Header().Set("Content-Encoding", "gzip")
		text = doc.compressed()
	}
	// A write error means that the client has disconnected.
	_, _ = w.Write(text)
}

// relayDocuments fetches the configuration from other proxies while the store is
// unavailable. Older versions are ignored and confirm nothing, so a stale answer is
// harmless.
func (s *storeSync) relayDocuments(ctx context.Context) {
	for ctx.Err() == nil {
		if _, strict := s.proxy.revocationPolicy(); !strict {
			sleep(ctx, relayInterval/2+rand.N(relayInterval))
		} else {
			s.awaitOverdue(ctx, relayInterval/2+rand.N(relayInterval))
		}
		if s.proxy.storeLost.Load() || s.proxy.configurationOverdue(now()) {
			s.fetchPeerDocument(ctx)
		}
	}
}

// overdueInterval is the interval between requests to other proxies while the configuration
// is about to expire.
const overdueInterval = 100 * time.Millisecond

// awaitOverdue waits for the given time, or less if the configuration is about to expire.
func (s *storeSync) awaitOverdue(ctx context.Context, limit time.Duration) {
	for end := now().Add(limit); ctx.Err() == nil && now() < end; {
		sleep(ctx, overdueInterval)
		if s.proxy.configurationOverdue(now()) {
			return
		}
	}
}

func (s *storeSync) fetchPeerDocument(ctx context.Context) {
	p := s.proxy
	peer, ok := p.randomPeer()
	if !ok {
		return
	}
	ctx, cancel := withAnswerWait(ctx, p.relayTimeout(), nil)
	defer cancel()
	sent, have := now(), p.document().Version
	answer, err := p.options.Peers.Document(ctx, peer.StatusAddress, have)
	if err != nil {
		p.events.rateLimited("relay_failed", "fetch_document", string(peer.VM), nil, err)
		return
	}
	version := have
	if doc := answer.Document; doc != nil {
		version = doc.Version
		if version > p.document().Version {
			p.events.documentRelayed(peer.VM, version)
			p.setDocument(doc)
		}
	}
	if version >= p.document().Version {
		p.confirmConfiguration(sent, answer.Age, string(peer.VM))
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
