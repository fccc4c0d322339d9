package managed

import (
	"context"
	"encoding/json"
	"errors"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// claimPrefix is the key prefix of takeover claims, one per database.
	claimPrefix = "takeover/"
	// claimTTL is the lease time of a claim. It bounds the write outage if the promoting
	// proxy fails.
	claimTTL = 3 * time.Second
	// claimRenewalInterval is the interval between lease renewals during a takeover.
	claimRenewalInterval = 800 * time.Millisecond
	// storeTimeout bounds one call to the store. Calls normally take milliseconds; the
	// timeout tolerates a 60-fold slowdown.
	storeTimeout = 600 * time.Millisecond
)

// claimRecord is the stored value of a claim.
type claimRecord struct {
	Holder string `json:"holder"`
	// Epoch is the epoch of the lease, 0 if an earlier version of the proxy wrote it.
	Epoch uint64 `json:"epoch,omitempty"`
	// revision is the key's revision; its number is 0 if the key does not exist.
	revision Revision
}

// held reports whether the claim is held. The key of a claim whose lease ended with an epoch
// may remain in the restored store.
func (r claimRecord) held() bool {
	return r.revision.Number != 0 && (r.Epoch == 0 || r.Epoch == r.revision.Epoch)
}

// claim is a takeover claim held by this proxy: a leased key that allows one proxy at a
// time to promote in a database.
type claim struct {
	proxy *Proxy
	key   string
	lease Lease
	// revision is the key's revision.
	revision Revision
	// validUntil is the earliest time at which another proxy may acquire the claim.
	validUntil entity.Time
}

var errClaimHeld = errors.New("another proxy holds the claim")

// claimTakeover acquires the claim of a database. It returns errClaimHeld if another proxy
// holds it, or may hold one that a restore of the store lost.
func (p *Proxy) claimTakeover(d *database) (*claim, error) {
	d.mu.Lock()
	current := d.claim
	d.mu.Unlock()
	at := now()
	epoch := p.storeEpoch.Load()
	if epoch == nil || at.Sub(epoch.at) < claimTTL || current.held() && current.Holder != p.settings().VM {
		return nil, errClaimHeld
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	lease, err := p.options.Store.GrantLease(ctx, claimTTL)
	if err != nil {
		return nil, err
	}
	c := &claim{proxy: p, key: claimPrefix + string(d.name), lease: lease, revision: current.revision, validUntil: at.Add(claimTTL)}
	if lease.Epoch != epoch.epoch {
		c.release()
		return nil, errClaimHeld
	}
	if err := c.writeKey(); err != nil {
		c.release()
		if errors.Is(err, ErrConflict) {
			d.refreshClaim(c.key)
			return nil, errClaimHeld
		}
		return nil, err
	}
	return c, nil
}

// fence returns a number that identifies the claim in logs, lower than the token of each of its orders.
func (c *claim) fence() uint64 { return c.revision.FencingToken() }

// writeKey writes the key.
func (c *claim) writeKey() error {
	value, err := json.Marshal(claimRecord{Holder: c.proxy.settings().VM, Epoch: c.lease.Epoch})
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	revision, err := c.proxy.options.Store.Put(ctx, c.key, value, c.revision.Number, c.lease)
	if err != nil {
		return err
	}
	c.revision = Revision{c.lease.Epoch, revision}
	return nil
}

// renew extends the lease of the claim.
func (c *claim) renew() error {
	at := now()
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.proxy.options.Store.RenewLease(ctx, c.lease); err != nil {
		return err
	}
	c.validUntil = at.Add(claimTTL)
	return nil
}

// validFor reports whether the claim stays exclusive for the given duration.
func (c *claim) validFor(margin time.Duration) bool { return now().Add(margin) < c.validUntil }

// release revokes the lease. If the store does not answer, the lease expires by itself.
func (c *claim) release() {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	if err := c.proxy.options.Store.RevokeLease(ctx, c.lease); err != nil {
		c.proxy.events.storeFailed("end_claim", err)
	}
}

// refreshClaim reads the claim from the store, since another proxy's claim has not arrived
// through the watch yet.
func (d *database) refreshClaim(key string) {
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	value, revision, err := d.proxy.options.Store.Get(ctx, key)
	if err != nil {
		d.proxy.events.storeFailed("read_claim", err)
		return
	}
	d.applyClaim(value, revision, revision.Number == 0)
}

// setOwnClaim records the claim that this proxy holds, nil if it holds none.
func (d *database) setOwnClaim(c *claim) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ownClaim, d.takeoverChangedAt = c, now()
}

// applyClaim records the claim stored for the database, or its removal at a revision.
func (d *database) applyClaim(value []byte, revision Revision, removed bool) {
	var record claimRecord
	if !removed {
		if err := json.Unmarshal(value, &record); err != nil {
			d.proxy.events.entryRefused(claimPrefix+string(d.name), err)
		}
		record.revision = revision
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if !record.held() && d.claimRemovedAt.before(revision) {
		d.claimRemovedAt = revision
	}
	if d.claim.held() && !record.held() {
		delay := pauseCheckDelay
		if len(d.orders.Targets) > 0 {
			delay = openOrderCheckDelay
		}
		d.monitor.schedulePauseCheck(delay)
	}
	if d.claim != record {
		d.claim, d.takeoverChangedAt = record, now()
	}
	d.monitor.wake()
}
