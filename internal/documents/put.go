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
	// StatusNotApplied means that the edit was not stored and never will be.
	StatusNotApplied Status = iota
	// StatusInForce means that the edit was stored and came into force. It may have
	// been replaced by a later edit since.
	StatusInForce
	// StatusUnknown means that the edit may have been stored or may still be stored.
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
	// Revision is the edit's revision if Status is StatusInForce.
	Revision uint64
	// CurrentRevision is the last known revision in force. It is higher than Revision
	// if the edit has been replaced since.
	CurrentRevision uint64
	// CurrentAuthor is the author of CurrentRevision. It is set after a conflict only.
	CurrentAuthor string
	// ConcurrentChanges are the fields that other operators changed between
	// ExpectedRevision and CurrentRevision; it is empty if ExpectedRevision is no
	// longer in the history. DiffFromCurrent are the fields in which the refused
	// document differs from CurrentRevision. Both are set after a conflict only.
	ConcurrentChanges, DiffFromCurrent []config.Difference
	// Err is the cause; nil if Status is StatusInForce.
	Err error
}

// OutcomeCommand returns the command line that queries the outcome of the edit.
func (r Result) OutcomeCommand() string {
	return fmt.Sprintf("skylarkhinge document outcome %s --edit=%s --from=%d", r.Service, r.EditID, r.ExpectedRevision)
}

// ErrConflict means that another edit replaced the expected revision.
var ErrConflict = errors.New("document was changed by a concurrent edit")

// ErrPending means that an edit without a response from the store is not visible there,
// but its request may still arrive.
var ErrPending = errors.New("edit is not visible so far; a new put from the same revision is safe, since only one of them can take force")

// ErrHistoryTruncated means that the history no longer has the edit that replaced the
// expected revision.
var ErrHistoryTruncated = errors.New("history no longer tells which edit replaced the expected revision")

// Options configure a put.
type Options struct {
	// Author is the operator's name.
	Author string
	// Attempts is the maximum number of compare-and-swap requests that are sent while
	// the outcome is unknown.
	Attempts int
	// Backoff computes the waits between attempts.
	Backoff *metastore.Backoff
	// EditID is the id of an earlier put with an unknown outcome, to continue that put.
	// If it is empty, a new id is generated.
	EditID string
}

// DefaultOptions returns the options of the command line: 6 attempts with waits of up to
// 2 s, which is longer than a leader change of the store takes.
func DefaultOptions(author string, seed uint64) Options {
	return Options{Author: author, Attempts: 6, Backoff: metastore.NewBackoff(100*time.Millisecond, 2*time.Second, seed)}
}

// Put replaces the document that has the expected revision; 0 means that there is no
// document yet.
//
// If a request gets no response, Put reads the value back. If the expected revision is
// still in force, the read does not prove that the request was lost: it may still arrive
// at the store. Put then sends the same edit again. At most one of the requests is
// applied, because applying one changes the revision.
func Put(ctx context.Context, store metastore.Store, document *config.Document, expected uint64, options Options) Result {
	p := putter{store: store, document: document, options: options,
		result: Result{Service: document.Service, ExpectedRevision: expected, EditID: options.EditID}}
	// A given id may belong to an earlier put with an unknown outcome.
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
	if entry.Revision != expected {
		return p.resolve(entry)
	}
	value, err := p.encodeValue(entry, raw)
	if err != nil {
		return p.resultNotApplied(err)
	}
	return p.sendEdit(ctx, value)
}

// Outcome queries the outcome of an earlier put whose outcome was unknown. expected is the
// revision that the put was to replace.
func Outcome(ctx context.Context, store metastore.Store, service, editID string, expected uint64) Result {
	p := putter{store: store, inDoubt: true, result: Result{Service: service, ExpectedRevision: expected, EditID: editID}}
	entry, err := store.Get(ctx, Key(service))
	if err != nil {
		return p.resultUnknown(err)
	}
	p.result.CurrentRevision = entry.Revision
	if entry.Revision == expected {
		return p.resultUnknown(ErrPending)
	}
	return p.resolve(entry)
}

// encodeDocument encodes a document as JSON. It returns an error if the decoder would
// reject the result.
func encodeDocument(document *config.Document) ([]byte, error) {
	raw, err := json.Marshal(document)
	if err != nil {
		return nil, err
	}
	_, err = config.DecodeDocument(raw)
	return raw, err
}

// putter is the state of one put.
type putter struct {
	store    metastore.Store
	document *config.Document
	options  Options
	// inDoubt is set once a request of this edit may have been applied although no
	// response arrived.
	inDoubt bool
	result  Result
}

// encodeValue returns the value that replaces the current entry.
func (p *putter) encodeValue(current metastore.Entry, raw []byte) ([]byte, error) {
	// The history of a value that can't be decoded is lost.
	earlier, _ := decodeRevisions(current)
	edit := Edit{ID: p.result.EditID, Author: p.options.Author, Time: time.Now().UTC(),
		PreviousRevision: current.Revision, Raw: raw}
	return encodeEnvelope(edit, earlier)
}

// sendEdit sends the edit, again if necessary, until its outcome is known or the attempts
// are used up.
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

// resolve determines the outcome from an entry that replaced the expected revision.
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
	// Only one edit can replace a revision. If another edit replaced the expected
	// revision, this one was not and will not be applied.
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

// requestFailed handles an error after which the last request had no effect. If the put is
// in doubt, an earlier request may still have been applied.
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

// resultConflict describes the edit that is in force instead of this one.
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

// changedSince returns the differences between an earlier revision and the current document.
func changedSince(base *Revision, current *config.Document) ([]config.Difference, error) {
	document, err := base.Document()
	if err != nil {
		return nil, err
	}
	return config.Differences(document, current)
}

// sleep waits for the given time. It returns false if ctx ends first.
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
