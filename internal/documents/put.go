package documents

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// Status is the outcome of a put.
type Status uint8

const (
	// StatusNotApplied edits did not take force and will not.
	StatusNotApplied Status = iota
	// StatusInForce edits took force.
	StatusInForce
	// StatusUnknown edits may have taken force or may still do so.
	StatusUnknown
)

var statusNames = [...]string{"not_applied", "in_force", "unknown"}

// String returns the status as it appears in messages.
func (s Status) String() string { return statusNames[s] }

// Result is the outcome of a put.
type Result struct {
	Status  Status
	Service string
	EditID  string
	// ExpectedRevision is the revision that the edit was to replace.
	ExpectedRevision uint64
	// Revision is the edit's revision if it took force.
	Revision uint64
	// Current is the revision in force as last seen. It is higher than Revision
	// if the edit was replaced meanwhile.
	CurrentRevision uint64
	// CurrentAuthor is the author of Current after a concurrent edit.
	CurrentAuthor string
	// ConcurrentChanges has the fields that were changed between From and Current by
	// others; it is empty if From is no longer kept. Differing has the fields
	// in which the refused document differs from Current.
	ConcurrentChanges, DiffFromCurrent []config.Difference
	// Err is the cause unless the edit is in force.
	Err error
}

// OutcomeCommand returns the command that asks for the outcome of the edit.
func (r Result) OutcomeCommand() string {
	return fmt.Sprintf("skylarkhinge document outcome %s --edit=%s --from=%d", r.Service, r.EditID, r.ExpectedRevision)
}

// ErrConflict means that the document was changed since the expected revision.
var ErrConflict = errors.New("document was changed by a concurrent edit")

// ErrPending means that an unanswered edit is not visible, but may still arrive
// at the store.
var ErrPending = errors.New("edit is not visible so far; a new put from the same revision is safe, since only one of them can take force")

// ErrHistoryTruncated means that the kept history does not reach back to the edit.
var ErrHistoryTruncated = errors.New("history no longer tells which edit replaced the expected revision")

// Options are the details of a put.
type Options struct {
	// Author is the operator's name.
	Author string
	// Attempts bounds the requests that are sent while the outcome is unknown.
	Attempts int
	// Backoff gives the waits between attempts.
	Backoff *metastore.Backoff
	// EditID is generated if it is empty. The id of an earlier put that ended
	// as unknown continues that put.
	EditID string
}

// DefaultOptions returns the options used by the command: 6 attempts with waits
// of up to 2 s outlast a change of the store's leader.
func DefaultOptions(author string, seed uint64) Options {
	return Options{Author: author, Attempts: 6, Backoff: metastore.NewBackoff(100*time.Millisecond, 2*time.Second, seed)}
}

// Put replaces the document at a revision; 0 means that there is none yet.
//
// After an unanswered request it reads the value back. While the expected
// revision is still in force, the request may yet arrive at the store, so that
// no read proves that it was lost. The same edit is then sent again: at most
// one request takes force, since the revision changes with it.
func Put(ctx context.Context, store metastore.Store, document *config.Document, from uint64, options Options) Result {
	p := putter{store: store, document: document, options: options,
		result: Result{Service: document.Service, ExpectedRevision: from, EditID: options.EditID}}
	// A given id may belong to an earlier put that ended as unknown.
	p.inDoubt = p.result.EditID != ""
	if p.result.EditID == "" {
		p.result.EditID = rand.Text()
	}
	raw, err := encodeDocument(document)
	if err != nil {
		return p.resultNotApplied(err)
	}
	entry, err := store.Get(ctx, Key(document.Service))
	if err != nil {
		return p.requestFailed(err)
	}
	if entry.Revision != from {
		return p.resolve(entry)
	}
	value, err := p.encodeValue(entry, raw)
	if err != nil {
		return p.resultNotApplied(err)
	}
	return p.sendEdit(ctx, value)
}

// Outcome asks for the outcome of an earlier put that ended as unknown.
func Outcome(ctx context.Context, store metastore.Store, service, editID string, from uint64) Result {
	p := putter{store: store, inDoubt: true, result: Result{Service: service, ExpectedRevision: from, EditID: editID}}
	entry, err := store.Get(ctx, Key(service))
	if err != nil {
		return p.resultUnknown(err)
	}
	p.result.CurrentRevision = entry.Revision
	if entry.Revision == from {
		return p.resultUnknown(ErrPending)
	}
	return p.resolve(entry)
}

// encodeDocument returns the JSON text of a document that the decoder accepts.
func encodeDocument(document *config.Document) ([]byte, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	_, err = config.DecodeDocument(raw)
	return raw, err
}

// putter is a put under way.
type putter struct {
	store    metastore.Store
	document *config.Document
	options  Options
	// inDoubt is set once a request has gone unanswered.
	inDoubt bool
	result  Result
}

func (p *putter) encodeValue(current metastore.Entry, raw []byte) ([]byte, error) {
	// An unreadable value is replaced without its history.
	earlier, _ := decodeRevisions(current)
	edit := Edit{ID: p.result.EditID, Author: p.options.Author, Time: time.Now().UTC(),
		PreviousRevision: current.Revision, Raw: raw}
	return encodeEnvelope(edit, earlier)
}

// sendEdit sends the edit until its outcome is known or the attempts are used up.
func (p *putter) sendEdit(ctx context.Context, value []byte) Result {
	key := Key(p.result.Service)
	for attempt := 1; ; attempt++ {
		swap, err := p.store.CompareAndSwap(ctx, key, p.result.ExpectedRevision, value)
		if err == nil && swap.Swapped {
			return p.resultInForce(swap.Entry.Revision, swap.Entry.Revision)
		}
		if err == nil {
			return p.resolve(swap.Entry)
		}
		if !p.inDoubt && !errors.Is(err, metastore.ErrUnknownOutcome) {
			return p.requestFailed(err)
		}
		p.inDoubt = true
		entry, readErr := p.store.Get(ctx, key)
		if readErr == nil && entry.Revision != p.result.ExpectedRevision {
			return p.resolve(entry)
		}
		if attempt >= p.options.Attempts || !sleep(ctx, p.options.Backoff.Next()) {
			return p.resultUnknown(errors.Join(err, readErr))
		}
	}
}

// resolve decides by the revisions of an entry that replaced the expected one.
func (p *putter) resolve(entry metastore.Entry) Result {
	p.result.CurrentRevision = entry.Revision
	revisions, err := decodeRevisions(entry)
	if err != nil && p.inDoubt {
		return p.resultUnknown(err)
	}
	for _, revision := range revisions {
		if revision.ID == p.result.EditID {
			return p.resultInForce(revision.Number, entry.Revision)
		}
	}
	if !p.inDoubt {
		return p.resultConflict(entry)
	}
	// Only one edit can replace a revision, so another one there excludes this one.
	for _, revision := range revisions {
		if revision.PreviousRevision == p.result.ExpectedRevision {
			return p.resultConflict(entry)
		}
	}
	return p.resultUnknown(ErrHistoryTruncated)
}

func (p *putter) resultInForce(revision, current uint64) Result {
	p.result.Status, p.result.Revision, p.result.CurrentRevision = StatusInForce, revision, current
	return p.result
}

func (p *putter) resultNotApplied(err error) Result {
	p.result.Status = StatusNotApplied
	p.result.Err = errorBuilder("put", p.result.Service).Wrap(err)
	return p.result
}

// requestFailed reports an error that proves that the last request was not applied.
func (p *putter) requestFailed(err error) Result {
	if p.inDoubt {
		return p.resultUnknown(err)
	}
	return p.resultNotApplied(err)
}

func (p *putter) resultUnknown(err error) Result {
	p.result.Status = StatusUnknown
	p.result.Err = errorBuilder("put", p.result.Service).Wrap(err)
	return p.result
}

// resultConflict reports the edit that is in force instead.
func (p *putter) resultConflict(entry metastore.Entry) Result {
	p.result.CurrentRevision = entry.Revision
	revisions, err := decodeRevisions(entry)
	if err != nil || len(revisions) == 0 {
		return p.resultNotApplied(errors.Join(ErrConflict, err))
	}
	p.result.CurrentAuthor = revisions[0].Author
	current, err := revisions[0].Document()
	if err == nil && p.document != nil {
		p.result.DiffFromCurrent, err = config.Differences(current, p.document)
	}
	for _, revision := range revisions {
		if err == nil && revision.Number == p.result.ExpectedRevision {
			p.result.ConcurrentChanges, err = changedSince(&revision, current)
		}
	}
	return p.resultNotApplied(errors.Join(ErrConflict, err))
}

func changedSince(base *Revision, current *config.Document) ([]config.Difference, error) {
	document, err := base.Document()
	if err != nil {
		return nil, err
	}
	return config.Differences(document, current)
}

// sleep waits and returns false if ctx ends before.
func sleep(ctx context.Context, wait time.Duration) bool {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}
