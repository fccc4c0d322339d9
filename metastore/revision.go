package metastore

// epochShift is the number of bits of an ordered revision that hold the revision within an
// epoch.
const epochShift = 40

// orderedRevision combines the revision of an entry or a list with the epoch in which it was
// written. A service that is restored from a backup gives revisions out again in the next
// epoch, so that only the result increases with each write. Without a restore it is the
// revision.
func orderedRevision(epoch, revision uint64) uint64 { return epoch<<epochShift | revision }

// splitRevision is the inverse of orderedRevision.
func splitRevision(ordered uint64) (epoch, revision uint64) {
	return ordered >> epochShift, ordered & (1<<epochShift - 1)
}
