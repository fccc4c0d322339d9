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
	// From is the revision that the edit was to replace.
	From uint64
	// Revision is the edit's revision if it took force.
	Revision uint64
	// Current is the revision in force as last seen. It is higher than Revision
	// if the edit was replaced meanwhile.
	Current uint64
	// CurrentAuthor is the author of Current after a concurrent edit.
	CurrentAuthor string
	// Changed has the fields that were changed between From and Current by
	// others; it is empty if From is no longer kept. Differing has the fields
	// in which the refused document differs from Current.
	Changed, Differing []config.Difference
	// Err is the cause unless the edit is in force.
	Err error
}

// AskAgain returns the command that asks for the outcome of the edit.
func (r Result) AskAgain() string {
	return fmt.Sprintf("skylarkhinge document outcome %s --edit=%s --from=%d", r.Service, r.EditID, r.From)
}

// ErrConflict means that the document was changed since the expected revision.
var ErrConflict = errors.New("document was changed by a concurrent edit")

// ErrPending means that an unanswered edit is not visible, but may still arrive
// at the store.
var ErrPending = errors.New("edit is not visible so far; a new put from the same revision is safe, since only one of them can take force")

// ErrForgotten means that the kept history does not reach back to the edit.
var ErrForgotten = errors.New("history no longer tells which edit replaced the expected revision")

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
		result: Result{Service: document.Service, From: from, EditID: options.EditID}}
	// A given id may belong to an earlier put that ended as unknown.
	p.inDoubt = p.result.EditID != ""
	if p.result.EditID == "" {
		p.result.EditID = rand.Text()
	}
	raw, err := encodeDocument(document)
	if err != nil {
		return p.notApplied(err)
	}
	entry, err := store.Get(ctx, Key(document.Service))
	if err != nil {
		return p.failed(err)
	}
	if entry.Revision != from {
		return p.judge(entry)
	}
	value, err := p.value(entry, raw)
	if err != nil {
		return p.notApplied(err)
	}
	return p.swap(ctx, value)
}

// Outcome asks for the outcome of an earlier put that ended as unknown.
func Outcome(ctx context.Context, store metastore.Store, service, editID string, from uint64) Result {
	p := putter{store: store, inDoubt: true, result: Result{Service: service, From: from, EditID: editID}}
	entry, err := store.Get(ctx, Key(service))
	if err != nil {
		return p.unknown(err)
	}
	p.result.Current = entry.Revision
	if entry.Revision == from {
		return p.unknown(ErrPending)
	}
	return p.judge(entry)
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

func (p *putter) value(current metastore.Entry, raw []byte) ([]byte, error) {
	// An unreadable value is replaced without its history.
	earlier, _ := revisionsOf(current)
	edit := Edit{ID: p.result.EditID, Author: p.options.Author, Time: time.Now().UTC(),
		PreviousRevision: current.Revision, Raw: raw}
	return encode(edit, earlier)
}

// swap sends the edit until its outcome is known or the attempts are used up.
func (p *putter) swap(ctx context.Context, value []byte) Result {
	key := Key(p.result.Service)
	for attempt := 1; ; attempt++ {
		swap, err := p.store.CompareAndSwap(ctx, key, p.result.From, value)
		if err == nil && swap.Swapped {
			return p.inForce(swap.Entry.Revision, swap.Entry.Revision)
		}
		if err == nil {
			return p.judge(swap.Entry)
		}
		if !p.inDoubt && !errors.Is(err, metastore.ErrUnknownOutcome) {
			return p.failed(err)
		}
		p.inDoubt = true
		entry, readErr := p.store.Get(ctx, key)
		if readErr == nil && entry.Revision != p.result.From {
			return p.judge(entry)
		}
		if attempt >= p.options.Attempts || !sleep(ctx, p.options.Backoff.Next()) {
			return p.unknown(errors.Join(err, readErr))
		}
	}
}

// judge decides by the revisions of an entry that replaced the expected one.
func (p *putter) judge(entry metastore.Entry) Result {
	p.result.Current = entry.Revision
	revisions, err := revisionsOf(entry)
	if err != nil && p.inDoubt {
		return p.unknown(err)
	}
	for _, revision := range revisions {
		if revision.ID == p.result.EditID {
			return p.inForce(revision.Number, entry.Revision)
		}
	}
	if !p.inDoubt {
		return p.conflict(entry)
	}
	// Only one edit can replace a revision, so another one there excludes this one.
	for _, revision := range revisions {
		if revision.PreviousRevision == p.result.From {
			return p.conflict(entry)
		}
	}
	return p.unknown(ErrForgotten)
}

func (p *putter) inForce(revision, current uint64) Result {
	p.result.Status, p.result.Revision, p.result.Current = StatusInForce, revision, current
	return p.result
}

func (p *putter) notApplied(err error) Result {
	p.result.Status = StatusNotApplied
	p.result.Err = stepError("put", p.result.Service).Wrap(err)
	return p.result
}

// failed reports an error that proves that the last request was not applied.
func (p *putter) failed(err error) Result {
	if p.inDoubt {
		return p.unknown(err)
	}
	return p.notApplied(err)
}

func (p *putter) unknown(err error) Result {
	p.result.Status = StatusUnknown
	p.result.Err = stepError("put", p.result.Service).Wrap(err)
	return p.result
}

// conflict reports the edit that is in force instead.
func (p *putter) conflict(entry metastore.Entry) Result {
	p.result.Current = entry.Revision
	revisions, err := revisionsOf(entry)
	if err != nil || len(revisions) == 0 {
		return p.notApplied(errors.Join(ErrConflict, err))
	}
	p.result.CurrentAuthor = revisions[0].Author
	current, err := revisions[0].Document()
	if err == nil && p.document != nil {
		p.result.Differing, err = config.Differences(current, p.document)
	}
	for _, revision := range revisions {
		if err == nil && revision.Number == p.result.From {
			p.result.Changed, err = changedSince(&revision, current)
		}
	}
	return p.notApplied(errors.Join(ErrConflict, err))
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
