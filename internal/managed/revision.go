package managed

// Revision is a point in the history of the store. Number increases with each write. When
// the store is restored from a backup, Number goes back and is given out again, and Epoch
// increases: only revisions of the same epoch can be compared.
type Revision struct {
	// Epoch is 0 for a store that does not report one.
	Epoch, Number uint64
}

// Lease is a lease of the store. A restored store has forgotten the leases granted since the
// backup and may give their IDs to other holders, so a lease ends with its epoch.
type Lease struct {
	Epoch, ID uint64
}
