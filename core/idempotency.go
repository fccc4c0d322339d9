package core

import "skylarkhinge.dev/skylarkhinge/core/entity"

// deduplicate looks up the request's id and opens a record for a new one. It
// reports whether the request was finished or waits, so that it must not be
// queued.
func (n *Node) deduplicate(r *request) bool {
	if r.class.Repeatable || r.arrival.Request == (entity.RequestKey{}) {
		return false
	}
	records := &r.db.records
	rec := records.get(r.arrival.Request)
	if rec == nil {
		return n.admitFirstSeen(r)
	}
	switch rec.state {
	case recordNotRun:
		// This marks the request as a retry even if the caller declared no attempt.
		r.seenBefore = true
		n.openRecord(r)
		return false
	case recordOpen:
		r.state = stateAwaitingOriginal
		rec.waiters = append(rec.waiters, r.arrival.Handle)
		return true
	case recordDone:
		// The result acknowledges the write again. The primary may have been
		// replaced since, which a node that was paused has not seen, so a probe
		// round must confirm the write first.
		r.confirmingDuplicate = true
		n.awaitRound(r)
		return true
	}
	// The earlier attempt may or may not have been committed.
	return n.retryWithLedger(r)
}

// answerDuplicate handles a duplicate of a finished request once a probe round was
// confirmed that started after the duplicate arrived. If the write survived, the
// duplicate gets a copy of the response.
func (n *Node) answerDuplicate(r *request) {
	r.confirmingDuplicate = false
	rec := r.db.records.get(r.arrival.Request)
	if rec != nil && rec.state == recordDone {
		if r.db.group.Survived(rec.position) {
			n.finish(r, Result{Kind: ResultDone, CopyOf: rec.handle, Position: rec.position})
			return
		}
		if n.retryWithLedger(r) {
			return
		}
	} else if n.deduplicate(r) {
		return
	}
	n.enqueue(r, true)
}

// admitFirstSeen opens a record for a request id that has none. For a declared
// retry without a ledger, it needs proof that no earlier attempt ran through
// another owner or before this table was created, and otherwise finishes the
// request. It reports whether it finished it.
func (n *Node) admitFirstSeen(r *request) bool {
	db := r.db
	if r.arrival.Attempt > 1 && !r.usesLedger() && !n.recordsComplete(db) {
		n.finishUnknown(r, "earlier_attempt_unknown")
		return true
	}
	n.openRecord(r)
	return false
}

// recordsComplete reports whether the table has the outcomes of all request ids
// of the last Config.RecordTTL: this node was the exclusive owner for that time
// and evicted no record early.
func (n *Node) recordsComplete(db *database) bool {
	since, ok := n.membership.Exclusive(n.now, db.name)
	exclusive := ok && n.now.Sub(since) >= n.config.RecordTTL
	return exclusive && n.now >= db.records.incompleteUntil
}

// retryWithLedger opens a new record for a request whose earlier attempt has an
// unknown outcome: the ledger detects a second execution. Without a ledger it
// finishes the request with ResultUnknown. It reports whether it finished it.
func (n *Node) retryWithLedger(r *request) bool {
	if !r.usesLedger() {
		n.finishUnknown(r, "earlier_attempt_unknown")
		return true
	}
	n.openRecord(r)
	return false
}

func (n *Node) openRecord(r *request) {
	r.record = r.db.records.open(r.arrival.Request, r.arrival.Handle, n.now.Add(n.config.RecordTTL))
}

// usesLedger reports whether the request's transaction stores its id in the
// ledger.
func (r *request) usesLedger() bool {
	return r.class.Ledger && !r.class.ReadOnly && r.arrival.Request != (entity.RequestKey{})
}

// closeRecord stores the outcome of the request's id, if the request opened a
// record, and finishes the waiting duplicates.
func (n *Node) closeRecord(r *request, result Result) {
	rec := r.record
	if rec == nil {
		return
	}
	r.record = nil
	setRecordOutcome(rec, result)
	if r.failed && result.Kind == ResultDone {
		// The request failed and was rolled back. A retry runs and gets its own
		// response.
		rec.state = recordNotRun
	}
	waiters := rec.waiters
	rec.waiters = rec.waiters[:0]
	for _, h := range waiters {
		w, ok := n.requests[h]
		if !ok || w.state != stateAwaitingOriginal {
			continue
		}
		duplicateResult := result
		if result.Kind == ResultDone {
			duplicateResult.CopyOf = rec.handle
		}
		n.finish(w, duplicateResult)
	}
}

// setRecordOutcome derives the record's state from the request's result.
func setRecordOutcome(rec *record, result Result) {
	switch {
	case result.Kind == ResultNotRun, result.Kind == ResultNotOwner, result.Kind == ResultWriteLost:
		rec.state = recordNotRun
	case result.InTransaction, result.Kind == ResultUnknown:
		// An open transaction may still be rolled back.
		rec.state = recordUnknown
	default:
		rec.state = recordDone
		rec.position = result.Position
	}
}
