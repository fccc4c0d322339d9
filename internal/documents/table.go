package documents

import (
	"errors"
	"fmt"
	"sync"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// InForce is a document that took force at this proxy.
type ActiveDocument struct {
	Service  string
	Revision uint64
	Document *config.Document
}

// RefusedError reports a value that did not take force.
type RefusedError struct {
	Service string
	// Revision is the refused one, InForce the one that stays in force; 0 means none.
	Revision, CurrentRevision uint64
	Err                       error
}

// Error returns the reason with both revisions.
func (e *RefusedError) Error() string {
	return fmt.Sprintf("document of %s at revision %d refused, revision %d stays in force: %v", e.Service, e.Revision, e.CurrentRevision, e.Err)
}

// Unwrap returns the reason.
func (e *RefusedError) Unwrap() error { return e.Err }

// ErrLowerRevision means that a value has a lower revision than the one in force.
var ErrLowerRevision = errors.New("revision is lower")

// Table holds the revisions in force at a proxy. It is fed by watches and by
// peers, in any order, and may be used by several goroutines.
type Table struct {
	apply     func(ActiveDocument)
	mu        sync.Mutex
	revisions map[string]uint64
}

// NewTable returns an empty table. apply is called for each document that takes
// force, one call at a time with growing revisions per service; it must not
// call the table.
func NewTable(apply func(ActiveDocument)) *Table {
	return &Table{apply: apply, revisions: map[string]uint64{}}
}

// Offer puts a store's value into force if its revision is higher than the one
// in force. The error is a *RefusedError if the value is faulty or its revision
// lower; the document in force then stays. The revision in force is ignored.
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

// Revision returns the revision of a service in force, 0 if there is none.
func (t *Table) Revision(service string) uint64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.revisions[service]
}
