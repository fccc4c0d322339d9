package documents

import (
	"errors"
	"fmt"
	"sync"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// ActiveDocument is a document that came into force at this proxy.
type ActiveDocument struct {
	Service  string
	Revision uint64
	Document *config.Document
}

// RefusedError reports a value that was refused and did not come into force.
type RefusedError struct {
	Service string
	// Revision is the refused revision, CurrentRevision the one that stays in force;
	// 0 means that none is in force.
	Revision, CurrentRevision uint64
	Err                       error
}

// Error returns the service, both revisions and the reason.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("document of %s at revision %d refused, revision %d stays in force: %v", e.Service, e.Revision, e.CurrentRevision, e.Err)
}

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Err }

// ErrLowerRevision means that the revision of a value is lower than the one in force.
var ErrLowerRevision = errors.New("revision is lower")

// Table tracks which revision of each service's document is in force at a proxy. Values
// may come from watches and from peers in any order. It is safe for concurrent use.
type Table struct {
	apply     func(ActiveDocument)
	mu        sync.Mutex
	revisions map[string]uint64
}

// NewTable returns an empty table. apply is called for each document that comes into
// force, by one goroutine at a time and with increasing revisions per service. It must
// not call methods of the table, whose lock is held.
func NewTable(apply func(ActiveDocument)) *Table {
	return &Table{apply: apply, revisions: map[string]uint64{}}
}

// Offer puts a value of the store into force if its revision is higher than the one in
// force, and ignores a value with the same revision. If the value is invalid or its
// revision is lower, it returns a *RefusedError and the document in force stays.
func (t *Table) Offer(service string, revision uint64, value []byte) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	inForce := t.revisions[service]
	if revision == inForce {
		return nil
	}
	refuse := func(err error) error {
		return &RefusedError{Service: service, Revision: revision, CurrentRevision: inForce, Err: err}
	}
	if revision < inForce {
		return refuse(ErrLowerRevision)
	}
	document, err := decodeDocument(service, revision, value)
	if err != nil {
		return refuse(err)
	}
	t.revisions[service] = revision
	t.apply(ActiveDocument{Service: service, Revision: revision, Document: document})
	return nil
}

// decodeDocument decodes the document in a value and checks that it is the service's.
func decodeDocument(service string, revision uint64, value []byte) (*config.Document, error) {
	revisions, err := decodeRevisions(metastore.Entry{Key: Key(service), Value: value, Revision: revision})
	if err != nil {
		return nil, err
	}
	document, err := revisions[0].Document()
	if err != nil {
		return nil, err
	}
	if document.Service != service {
		return nil, fmt.Errorf("$.service is %q, allowed: %q as in the key", document.Service, service)
	}
	return document, nil
}

// Revision returns the revision of a service's document in force, 0 if there is none.
func (t *Table) Revision(service string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revisions[service]
}
