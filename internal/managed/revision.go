package managed

// Revision is a point in the history of the store. Number increases with each write. When
// the store is restored from a backup, Number goes back and is given out again, and Epoch
// increases: only revisions of the same epoch can be compared.
type Revision struct {
	// Epoch is 0 for a store that does not report one.
	Epoch, Number uint64
}
