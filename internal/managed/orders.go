package managed

import (
	"context"
	"encoding/json"
	"slices"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// ordersPrefix is the key prefix of the records of open orders, one per database. They have no
// lease: an order outlasts its sender.
const ordersPrefix = "promotion/"

// openOrderCheckDelay is the delay until the orders that a takeover left open are checked. Commits need
// more evidence until they are over.
const openOrderCheckDelay = 500 * time.Millisecond

// orderRecord is the stored list of a database's open orders. An order is a promotion that was
// sent, or is about to be, and may still take effect.
type orderRecord struct {
	// Epoch is the epoch of the store in which the record was written.
	Epoch uint64 `json:"epoch,omitempty"`
	// Claim is the number of the revision of the claim under which the record was written.
	Claim uint64 `json:"claim"`
	// Targets are the targets of the open orders, each once, by the last order for it.
	Targets []entity.Upstream `json:"targets"`
	// Concluded is set once the takeover of the claim has ended with no open order.
	Concluded bool `json:"concluded,omitempty"`
	// revision is the record's revision; its number is 0 if there is no record.
	revision Revision
}

// complete reports whether the record lists all open orders: it exists, and the store was not
// restored since it was written.
func (r *orderRecord) complete() bool {
	return r.revision.Number != 0 && r.Epoch == r.revision.Epoch
}

// concludes reports whether the takeover of a claim has ended according to the record.
func (r *orderRecord) concludes(claim Revision) bool {
	return r.Concluded && r.Claim == claim.Number && r.revision.Epoch == claim.Epoch
}

// applyOrders records the open orders stored for the database.
func (d *database) applyOrders(value []byte, revision Revision, removed bool) {
	var record orderRecord
	if !removed {
		if err := json.Unmarshal(value, &record); err != nil {
			d.proxy.events.entryRefused(ordersPrefix+string(d.name), err)
			return
		}
	}
	record.revision = revision
	d.setOrders(record)
}

// setOrders records the open orders, unless a newer record is known. A restored store may have
// forgotten orders, so those known before stay open until a takeover settles them.
func (d *database) setOrders(record orderRecord) {
	d.mu.Lock()
	defer d.mu.Unlock()
	known := &d.orders
	if !known.revision.before(record.revision) {
		return
	}
	if record.revision.Epoch > known.revision.Epoch {
		record.Targets = mergeTargets(record.Targets, known.Targets)
		record.Concluded = record.Concluded && len(record.Targets) == 0
	}
	if !slices.Equal(known.Targets, record.Targets) {
		d.proxy.events.ordersOpen(d.name, &record)
	}
	// Several changes may arrive as one: a promotion may have begun and ended since the known record.
	d.takeoverChangedAt = now()
	d.orders = record
	if len(record.Targets) > 0 {
		d.monitor.schedulePauseCheck(openOrderCheckDelay)
	}
}

// mergeTargets returns the targets of both lists.
func mergeTargets(targets, others []entity.Upstream) []entity.Upstream {
	merged := slices.Clone(targets)
	for _, target := range others {
		if !slices.Contains(merged, target) {
			merged = append(merged, target)
		}
	}
	return merged
}

// loadOrders reads the open orders from the store.
func (d *database) loadOrders() error {
	key := ordersPrefix + string(d.name)
	ctx, cancel := context.WithTimeout(context.Background(), storeTimeout)
	defer cancel()
	value, revision, err := d.proxy.options.Store.Get(ctx, key)
	if err != nil {
		return err
	}
	d.applyOrders(value, revision, revision.Number == 0)
	return nil
}

// openOrders returns the known record of open orders.
func (d *database) openOrders() orderRecord {
	d.mu.Lock()
	defer d.mu.Unlock()
	record := d.orders
	record.Targets = slices.Clone(record.Targets)
	return record
}

// sentOrder is an order of this takeover, or of an earlier one if its sequence is 0.
type sentOrder struct {
	target   entity.Upstream
	sequence int
}

// orderLog tracks which orders are open, for the holder of the claim.
type orderLog struct {
	open []sentOrder
	// sent is the number of orders of this takeover, accepted the sequence of the last one that
	// the platform accepted, 0 if there is none, and acceptedAt when it did.
	sent, accepted int
	acceptedAt     entity.Time
}

// inherit adds the open orders of earlier takeovers.
func (l *orderLog) inherit(targets []entity.Upstream) {
	for _, target := range targets {
		l.open = append(l.open, sentOrder{target: target})
	}
}

// add adds an order that is about to be sent.
func (l *orderLog) add(target entity.Upstream) {
	l.sent++
	l.open = append(l.open, sentOrder{target, l.sent})
}

// refused records that the platform did not carry out the last order.
func (l *orderLog) refused() { l.open = l.open[:len(l.open)-1] }

// acceptedLast records that the platform accepted the last order.
func (l *orderLog) acceptedLast(at entity.Time) { l.accepted, l.acceptedAt = l.sent, at }

// acceptedFor reports whether the last order was accepted and has the given target.
func (l *orderLog) acceptedFor(target entity.Upstream) bool {
	return l.sent > 0 && l.accepted == l.sent && len(l.open) > 0 && l.open[len(l.open)-1].target == target
}

// expire removes the orders that can have no effect any more: the last accepted one and all
// before it, once the accepted one must have taken effect.
func (l *orderLog) expire(at entity.Time) {
	if l.accepted == 0 || at.Sub(l.acceptedAt) < newPrimaryTimeout {
		return
	}
	l.open = slices.DeleteFunc(l.open, func(o sentOrder) bool { return o.sequence <= l.accepted })
}

// leads removes the orders for a member that leads and that are older than all others. Carried out
// now they change nothing, and later the platform has seen the token of a newer one.
func (l *orderLog) leads(name entity.Upstream) {
	for len(l.open) > 0 && l.open[0].target == name {
		l.open = l.open[1:]
	}
}

// targets returns the targets of the open orders, each once, by the last order for it.
func (l *orderLog) targets() []entity.Upstream {
	targets := []entity.Upstream{}
	for i := len(l.open) - 1; i >= 0; i-- {
		if !slices.Contains(targets, l.open[i].target) {
			targets = append(targets, l.open[i].target)
		}
	}
	slices.Reverse(targets)
	return targets
}
