package managed

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Revision is a point in the history of the store. Number increases with each write. When
// the store is restored from a backup, Number goes back and is given out again, and Epoch
// increases: only revisions of the same epoch can be compared.
type Revision struct {
	// Epoch is 0 for a store that does not report one.
	Epoch, Number uint64
}

// before reports whether the store reached r before other.
func (r Revision) before(other Revision) bool {
	if r.Epoch != other.Epoch {
		return r.Epoch < other.Epoch
	}
	return r.Number < other.Number
}

// fencingNumberBits is the number of bits of a fencing token that hold the number of the
// revision. 40 bits last for 10 years of 3,200 writes a second.
const fencingNumberBits = 40

// FencingToken returns a number that increases from revision to revision, also when the store
// is restored.
func (r Revision) FencingToken() uint64 { return r.Epoch<<fencingNumberBits + r.Number }

// epochStart is the first listing of an epoch of the store by this proxy.
type epochStart struct {
	epoch uint64
	at    entity.Time
	// restored is set if this proxy had listed an earlier epoch.
	restored bool
}

// restoreSettleTime is the time after a restore within which operators and upstreams write
// again what the restore lost.
const restoreSettleTime = 2 * time.Second

// settled reports whether the store shows all that it acknowledged before the given time.
func (e *epochStart) settled(at entity.Time) bool {
	return e == nil || !e.restored || at.Sub(e.at) >= restoreSettleTime
}

// Lease is a lease of the store. A restored store has forgotten the leases granted since the
// backup and may give their IDs to other holders, so a lease ends with its epoch.
type Lease struct {
	Epoch, ID uint64
}
