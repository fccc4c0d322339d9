package core

import "skylarkhinge.dev/skylarkhinge/core/entity"

// sessionEntry is the position of the last acknowledged write of a session.
type sessionEntry struct {
	key      entity.SessionKey
	position entity.Position
}

// sessionTable keeps the last write position of up to limit sessions. The entry
// that was added first is evicted first. The highest evicted position becomes the
// floor of sessions that are not in the table.
type sessionTable struct {
	// index has each session's index into ring.
	index map[entity.SessionKey]int
	ring  []sessionEntry
	// nextEvicted is the index of the entry to evict next once ring is full.
	nextEvicted int
	limit       int
	maxEvicted  entity.Position
}

func newSessionTable(limit int) sessionTable {
	return sessionTable{index: map[entity.SessionKey]int{}, limit: limit}
}

// get returns the position that covers the session's writes, and whether the
// session is in the table.
func (t *sessionTable) get(key entity.SessionKey) (entity.Position, bool) {
	i, ok := t.index[key]
	if !ok {
		return t.maxEvicted, false
	}
	return t.ring[i].position, true
}

// advance raises a session's position to p. A write without a session counts as
// one of an evicted session.
func (t *sessionTable) advance(key entity.SessionKey, p entity.Position) {
	if key == 0 {
		t.advanceEvicted(p)
		return
	}
	if i, ok := t.index[key]; ok {
		if t.ring[i].position.Less(p) {
			t.ring[i].position = p
		}
		return
	}
	if len(t.ring) < t.limit {
		t.index[key] = len(t.ring)
		t.ring = append(t.ring, sessionEntry{key, p})
		return
	}
	oldest := &t.ring[t.nextEvicted]
	t.advanceEvicted(oldest.position)
	delete(t.index, oldest.key)
	*oldest = sessionEntry{key, p}
	t.index[key] = t.nextEvicted
	t.nextEvicted = (t.nextEvicted + 1) % t.limit
}

// set replaces the position of a session that is in the table, even by a lower one.
func (t *sessionTable) set(key entity.SessionKey, p entity.Position) {
	if i, ok := t.index[key]; ok {
		t.ring[i].position = p
	}
}

func (t *sessionTable) advanceEvicted(p entity.Position) {
	if t.maxEvicted.Less(p) {
		t.maxEvicted = p
	}
}
