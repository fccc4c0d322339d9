// Package documents stores the services' configuration documents in the platform's
// key-value store. Operators replace them with compare-and-swap, proxies watch them.
//
// The value of a key is an envelope with the document, its author and its last few
// revisions. It also has the id of the edit: if the store's response to a put is lost,
// the id distinguishes the operator's own edit from an equal one by somebody else.
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
	// KeyPrefix is the prefix of the keys of documents; the service's name follows.
	KeyPrefix = "documents/"
	// MaxHistory is the maximum number of earlier revisions in an envelope.
	MaxHistory = 8
	// MaxValueBytes is the maximum size of an envelope, within the store's limit of
	// 1 MB. The oldest revisions are dropped to stay within it.
	MaxValueBytes = 1_000_000
)

// Key returns the key of a service's document in the store.
func Key(service string) string { return KeyPrefix + service }

// serviceFromKey returns the service of a key and whether it is the key of a document.
func serviceFromKey(key string) (string, bool) { return strings.CutPrefix(key, KeyPrefix) }

// Edit is one accepted change of a document.
type Edit struct {
	ID     string    `json:"edit_id"`
	Author string    `json:"author"`
	Time   time.Time `json:"time"`
	// PreviousRevision is the revision that the edit replaced; 0 means none.
	PreviousRevision uint64 `json:"previous_revision"`
	// Raw is the document as JSON. It is decoded only when needed, because an old
	// revision may violate rules that were added later.
	Raw json.RawMessage `json:"document"`
}

// Document decodes the edit's document. The error is a *config.Error if it is invalid.
func (e *Edit) Document() (*config.Document, error) { return config.DecodeDocument(e.Raw) }

// Revision is an edit with the revision that the store gave it.
type Revision struct {
	Number uint64 `json:"revision"`
	Edit
}

// envelope is the value of a key. It has the revision numbers of earlier edits only,
// because the store assigns the number of the current edit when it stores the envelope.
type envelope struct {
	Edit
	// History is the list of earlier revisions, newest first.
	History []Revision `json:"history,omitempty"`
}

// WithoutHistory removes the earlier revisions from a stored value. Proxies do not need
// them: with them, the 5,000 documents of 2 KB that a proxy keeps to pass on to its
// peers would take up to nine times the memory. A value that can't be decoded is returned unchanged.
func WithoutHistory(value []byte) []byte {
	var e envelope
	if json.Unmarshal(value, &e) != nil || len(e.History) == 0 {
		return value
	}
	e.History = nil
	stripped, err := json.Marshal(e)
	if err != nil {
		return value
	}
	return stripped
}

// decodeRevisions returns the current and the earlier revisions of an entry, newest first.
// It returns none if the key does not exist.
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

// encodeEnvelope returns the value of an edit with as many earlier revisions as fit;
// earlier is sorted newest first.
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
