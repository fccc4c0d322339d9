package upstream

import (
	"context"
	"time"
)

// lockTimeout bounds the wait for a row lock, which then fails as a deadlock,
// since the stand-in has no deadlock detection.
const lockTimeout = 2 * time.Second

// transaction buffers the changes of one session until commit. Its fields are
// guarded by state.mu.
type transaction struct {
	readOnly bool
	ops      []Op
	locked   map[string]struct{}
	// revoked is set when the member was fenced while the transaction was open.
	revoked bool
}

// getRow returns a row as the transaction sees it.
func (s *state) getRow(tx *transaction, table, key string) (string, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
	return s.visibleRow(tx, table, key)
}

// visibleRow returns a row as the transaction sees it. The caller holds mu.
func (s *state) visibleRow(tx *transaction, table, key string) (string, bool) {
	for i := len(tx.ops) - 1; i >= 0; i-- {
		if op := tx.ops[i]; op.Table == table && op.Key == key {
			return op.Value, !op.Delete
		}
	}
	value, ok := s.tables[table][key]
	return value, ok
}

// countRows returns the number of rows of a table as the transaction sees it.
func (s *state) countRows(tx *transaction, table string) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyDue()
	n := len(s.tables[table])
	seen := map[string]struct{}{}
	for _, op := range tx.ops {
		if _, again := seen[op.Key]; again || op.Table != table {
			continue
		}
		seen[op.Key] = struct{}{}
		_, before := s.tables[table][op.Key]
		_, after := s.visibleRow(tx, table, op.Key)
		if after && !before {
			n++
		}
		if before && !after {
			n--
		}
	}
	return n
}

// lockRow waits for the row lock, which the transaction holds until it ends.
func (s *state) lockRow(ctx context.Context, tx *transaction, command, table, key string) error {
	ctx, cancel := context.WithTimeoutCause(ctx, lockTimeout, errDeadlock)
	defer cancel()
	lockKey := table + "\x00" + key
	for {
		changed, err := s.tryLock(tx, command, lockKey)
		if err != nil || changed == nil {
			return err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return contextError(ctx)
		}
	}
}

// tryLock takes the lock, or returns a channel that is closed on the next
// change.
func (s *state) tryLock(tx *transaction, command, lockKey string) (<-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(tx, command); err != nil {
		return nil, err
	}
	holder, taken := s.locks[lockKey]
	if taken && holder != tx {
		return s.changed, nil
	}
	if tx.locked == nil {
		tx.locked = map[string]struct{}{}
	}
	tx.locked[lockKey] = struct{}{}
	s.locks[lockKey] = tx
	s.openWrites[tx] = struct{}{}
	return nil, nil
}

// isRevoked reports whether the member was fenced while the transaction was open.
func (s *state) isRevoked(tx *transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return tx.revoked
}

// checkWritable returns an error if the member's role or the transaction's mode
// forbids writes. The caller holds mu.
func (s *state) checkWritable(tx *transaction, command string) error {
	if tx.revoked {
		return errRevoked
	}
	if tx.readOnly || !s.Primary {
		return readOnlyError(command)
	}
	return nil
}

// writeRow buffers the change of a row, if change returns one, and counts its
// execution. It reports whether there was a change. The caller holds the row
// lock.
func (s *state) writeRow(tx *transaction, command, table, key string, change func(exists bool) (*Op, error)) (bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if err := s.checkWritable(tx, command); err != nil {
		return false, err
	}
	_, exists := s.visibleRow(tx, table, key)
	op, err := change(exists)
	if err != nil || op == nil {
		return false, err
	}
	tx.ops = append(tx.ops, *op)
	s.executionCounts[key]++
	return true, nil
}

// commit appends the transaction's changes to the log.
func (s *state) commit(tx *transaction) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	defer s.releaseLocks(tx)
	if tx.revoked {
		return errRevoked
	}
	if len(tx.ops) == 0 {
		return nil
	}
	if !s.Primary {
		return readOnlyError("COMMIT")
	}
	s.append(tx.ops)
	return nil
}

// rollback discards the transaction and releases its locks.
func (s *state) rollback(tx *transaction) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.releaseLocks(tx)
}
