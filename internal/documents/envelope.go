// Package documents keeps the services' documents in the platform's store:
// operators put them with compare-and-swap, proxies watch them.
//
// The value of a key is an envelope with the document, who edited it and the
// last few revisions. The edit id in it tells an operator's own value from an
// equal one of somebody else when the store's answer is lost.
package documents

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

const (
	// KeyPrefix is the start of the keys of documents; the service's name follows.
	KeyPrefix = "documents/"
	// MaxHistory is the number of earlier revisions kept.
	MaxHistory = 8
	// MaxValueBytes bounds an envelope, within the store's limit of 1 MB.
	// Older revisions are dropped to stay within it.
	MaxValueBytes = 1_000_000
)

// Key returns the store's key of a service's document.
func Key(service string) string { return KeyPrefix + service }

// serviceFromKey returns the service of a key.
func serviceFromKey(key string) (string, bool) { return strings.CutPrefix(key, KeyPrefix) }

// Edit is one accepted change of a document.
type Edit struct {
	ID     string    `json:"edit_id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// PreviousRevision is the revision that the edit replaced; 0 means none.
	PreviousRevision uint64 `json:"previous_revision"`
	// Raw is the document's JSON text. It is decoded when needed, since an
	// old revision may break rules that were added later.
	Raw json.RawMessage `json:"document"`
}

// Document decodes the edit's document.
func (e *Edit) Document() (*config.Document, error) { return config.DecodeDocument(e.Raw) }

// Revision is an edit with the revision that the store gave it.
type Revision struct {
	Number uint64 `json:"revision"`
	Edit
}

// envelope is the value of a key. The store knows the revision of the current
// edit only after it was written, so the envelope holds those of earlier ones.
type envelope struct {
	Edit
	// History has the earlier revisions, newest first.
	History []Revision `json:"history,omitempty"`
}

// WithoutHistory returns a stored value without the earlier revisions, which
// proxies do not need: with them the relay of 5,000 documents of 2 KB would hold
// up to nine times as much. A value that can't be read is returned as it is.
func WithoutHistory(value []byte) []byte {
	var e envelope
	if json.Unmarshal(value, &e) != nil || len(e.History) == 0 {
		return value
	}
	e.History = nil
	short, err := json.Marshal(e)
	if err != nil {
		return value
	}
	return short
}

// decodeRevisions returns the current and the earlier revisions of an entry, newest
// first; none if the key is missing.
func decodeRevisions(entry metastore.Entry) ([]Revision, error) {
	if entry.Revision == 0 {
		return nil, nil
	}
	var value envelope
	if err := json.Unmarshal(entry.Value, &value); err != nil {
		return nil, fmt.Errorf("value of %s at revision %d is no envelope: %w", entry.Key, entry.Revision, err)
	}
	if value.ID == "" || len(value.Raw) == 0 {
		return nil, fmt.Errorf("value of %s at revision %d is no envelope: edit_id or document is missing", entry.Key, entry.Revision)
	}
	return append([]Revision{{Number: entry.Revision, Edit: value.Edit}}, value.History...), nil
}

// encodeEnvelope returns the value of an edit on top of earlier revisions, of which it
// keeps as many as fit.
func encodeEnvelope(edit Edit, earlier []Revision) ([]byte, error) {
	value := envelope{Edit: edit, History: earlier[:min(len(earlier), MaxHistory)]}
	for {
		data, err := json.Marshal(value)
		if err != nil {
			return nil, err
		}
		if len(data) <= MaxValueBytes {
			return data, nil
		}
		if len(value.History) == 0 {
			return nil, fmt.Errorf("document needs %d bytes, allowed: %d", len(data), MaxValueBytes)
		}
		value.History = value.History[:len(value.History)-1]
	}
}
