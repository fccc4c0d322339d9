package managed

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// claimPrefix is before the keys that show who promotes in a database.
	claimPrefix = "takeover/"
	// claimTTL is the time after which the claim of a lost proxy ends. It bounds
	// the failover gap if the promoter dies.
	claimTTL = 3 * time.Second
	// claimRenewal is the time between renewals while a takeover is under way.
	claimRenewal = 800 * time.Millisecond
	// storeTimeout bounds one call to the store. It answers in milliseconds; 60
	// times slower it still fits.
	storeTimeout = 600 * time.Millisecond
)

// claimRecord is a takeover that the store shows.
type claimRecord struct {
	Holder string `json:"holder"`
	// revision is that of the key, 0 if there is none.
	revision uint64
}

// claim is a takeover that this proxy holds. Its fence token is the revision of
// the last write of the key: revisions of the store only increase, so that no
// two claims have the same token.
type claim struct {
	proxy *Proxy
	key   string
	lease uint64
	fence uint64
	// validUntil is when another proxy may hold the claim.
	validUntil entity.Time
}

var errClaimHeld = errors.New("another proxy holds the claim")

func (p *Proxy) claimTakeover(d *database) (*claim, error) {
	d.mu.Lock()
	seen := d.claim
	d.mu.Unlock()
	if seen.revision != 0 && seen.Holder != p.settings().VM {
		return nil, errClaimHeld
	}
	at := now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	lease, err := p.options.Store.GrantLease(ctx, claimTTL)
	if err != nil {
		return nil, err
	}
	c := &claim{proxy: p, key: claimPrefix + string(d.name), lease: lease, fence: seen.revision, validUntil: at.Add(claimTTL)}
	if err := c.write(); err != nil {
		c.end()
		if errors.Is(err, ErrConflict) {
			d.refreshClaim(c.key)
			return nil, errClaimHeld
		}
		return nil, err
	}
	return c, nil
}

// write writes the key anew and takes its revision as the fence token.
func (c *claim) write() error {
	value, err := json.Marshal(claimRecord{Holder: c.proxy.settings().VM})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	revision, err := c.proxy.options.Store.Put(ctx, c.key, value, c.fence, c.lease)
	if err != nil {
		return err
	}
	c.fence = revision
	return nil
}

// keep renews the claim.
func (c *claim) keep() error {
	at := now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.proxy.options.Store.RenewLease(ctx, c.lease); err != nil {
		return err
	}
	c.validUntil = at.Add(claimTTL)
	return nil
}

// valid reports whether no other proxy can hold the claim for the given time.
func (c *claim) valid(margin time.Duration) bool { return now().Add(margin) < c.validUntil }

// end gives the claim up. If the store does not answer, the lease ends by itself.
func (c *claim) end() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.proxy.options.Store.RevokeLease(ctx, c.lease); err != nil {
		c.proxy.events.storeFailed("end_claim", err)
	}
}

// refreshClaim reads the claim's key, which the watch has not shown yet.
func (d *database) refreshClaim(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	value, revision, err := d.proxy.options.Store.Get(ctx, key)
	if err != nil {
		d.proxy.events.storeFailed("read_claim", err)
		return
	}
	d.noteClaim(value, revision, revision == 0)
}

// noteClaim takes over what the store shows of the database's claim.
func (d *database) noteClaim(value []byte, revision uint64, removed bool) {
	var record claimRecord
	if !removed {
		if err := json.Unmarshal(value, &record); err != nil {
			d.proxy.events.entryProblem(claimPrefix+string(d.name), err)
		}
		record.revision = revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.claim.revision != 0 && record.revision == 0 {
		d.monitor.checkPausesLater()
	}
	d.claim = record
	d.monitor.wake()
}
