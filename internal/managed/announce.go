package managed

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/gateway"
)

// TakeoverPath is the HTTP path at which a proxy hears of a takeover from its holder.
const TakeoverPath = "/takeover"

const (
	// announceTimeout bounds the wait for other proxies before an order is sent. A round trip
	// between regions takes about 30 ms.
	announceTimeout = 150 * time.Millisecond
	// announcementTTL is how long an announced takeover counts as open without word from the store.
	announcementTTL = maxTakeover
)

// Announcement tells another proxy that a takeover has begun, sooner than the store does and also if
// the store does not serve that proxy.
type Announcement struct {
	Database entity.Database `json:"database"`
	// Epoch and Claim are the revision of the claim.
	Epoch uint64 `json:"epoch"`
	Claim uint64 `json:"claim"`
}

// announce tells the gateways of the database of a claim. The returned function waits until each
// has answered or announceTimeout has passed.
func (d *database) announce(claim Revision) (wait func()) {
	p := d.proxy
	if p.options.Peers == nil {
		return func() {}
	}
	d.mu.Lock()
	gateways := d.gateways
	d.mu.Unlock()
	ctx, cancel := context.WithTimeout(context.Background(), announceTimeout)
	var announced sync.WaitGroup
	for _, g := range gateways {
		if g.VM != p.self().VM && g.StatusAddress != "" {
			announced.Go(func() { d.announceTo(ctx, g, claim) })
		}
	}
	done := make(chan struct{})
	go func() {
		announced.Wait()
		cancel()
		close(done)
	}()
	return func() { <-done }
}

func (d *database) announceTo(ctx context.Context, g gateway.Proxy, claim Revision) {
	if err := d.proxy.options.Peers.Announce(ctx, g.StatusAddress, Announcement{d.name, claim.Epoch, claim.Number}); err != nil {
		d.proxy.events.rateLimited("announcement_failed", "announce", string(g.VM), nil, err)
	}
}

// ServeTakeover records a takeover that another proxy announces.
func (p *Proxy) ServeTakeover(w http.ResponseWriter, r *http.Request) {
	var a Announcement
	if err := json.NewDecoder(r.Body).Decode(&a); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	d := p.databases[a.Database]
	p.mu.Unlock()
	if d != nil {
		d.applyAnnouncement(Revision{a.Epoch, a.Claim})
	}
	w.Header().Set("Content-Type", "application/json")
	// An error means that the client has disconnected.
	_, _ = w.Write([]byte("{}"))
}

// applyAnnouncement records an announced claim, unless the store has told of its end already.
func (d *database) applyAnnouncement(claim Revision) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if claim.before(d.claimRemovedAt) || claim.before(d.announced) {
		return
	}
	if d.announced != claim {
		d.proxy.events.takeoverAnnounced(d.name, claim, d.reported.position)
	}
	d.announced, d.announcedUntil = claim, now().Add(announcementTTL)
}
