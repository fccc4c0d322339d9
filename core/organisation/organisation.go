// Package organisation identifies callers. A caller presents an API key, and a Directory
// built from the operators' configuration maps it to the organisation that holds it.
//
// The directory stores digests, not keys. A look-up hashes the presented key and compares
// digests, so its duration depends on the length of the key only.
package organisation

import (
	"crypto/sha256"
	"fmt"
)

// Name is the name of an organisation. It is what upstreams are told.
type Name string

// Organisation is one organisation of the configuration.
type Organisation struct {
	Name Name
	// Limited is set if the organisation has a quota.
	Limited bool
	// Rate is the number of operations per second that the quota allows, Burst the number
	// that may come at once after a pause.
	Rate, Burst float64
}

// Entry is an organisation as configured. A nil Rate means that it has no quota; a nil
// Burst is 0.
type Entry struct {
	Name        Name
	Keys        []string
	Rate, Burst *float64
}

const (
	// maxKeyBytes is the maximum length of a key.
	maxKeyBytes = 256
	// maxKeys bounds the memory of a directory to about 100 MB.
	maxKeys = 1_000_000
)

// Digest identifies a key without revealing it: the first half of its SHA-256 digest.
type Digest [sha256.Size / 2]byte

// shortKeyBytes is the length up to which DigestOf does not allocate.
const shortKeyBytes = 64

// DigestOf returns the digest of a key.
func DigestOf(key string) Digest {
	var sum [sha256.Size]byte
	if len(key) <= shortKeyBytes {
		var buffer [shortKeyBytes]byte
		sum = sha256.Sum256(buffer[:copy(buffer[:], key)])
	} else {
		sum = sha256.Sum256([]byte(key))
	}
	return Digest(sum[:len(Digest{})])
}

// Directory maps keys to organisations. It is immutable.
type Directory struct {
	byKey         map[Digest]*Organisation
	organisations map[Name]*Organisation
	// totalRate is the sum of the rates of all organisations with a quota.
	totalRate float64
}

// FieldError is a fault of the configuration.
type FieldError struct {
	// Path locates the field, for example organisations[2].keys[0].
	Path   string
	Reason string
}

// Error returns the path and the reason.
func (e *FieldError) Error() string { return e.Path + ": " + e.Reason }

// NewDirectory builds a directory. The error is a *FieldError; it never contains a key.
func NewDirectory(entries []Entry) (*Directory, error) {
	d := &Directory{byKey: map[Digest]*Organisation{}, organisations: make(map[Name]*Organisation, len(entries))}
	for i := range entries {
		if err := d.add(&entries[i], fmt.Sprintf("organisations[%d]", i)); err != nil {
			return nil, err
		}
	}
	return d, nil
}

func (d *Directory) add(e *Entry, path string) error {
	if e.Name == "" {
		return &FieldError{path + ".name", "is empty"}
	}
	if _, known := d.organisations[e.Name]; known {
		return &FieldError{path + ".name", fmt.Sprintf("%q is listed twice", e.Name)}
	}
	o := &Organisation{Name: e.Name}
	if e.Rate != nil {
		o.Limited, o.Rate = true, *e.Rate
	}
	if e.Burst != nil {
		o.Burst = *e.Burst
	}
	if o.Rate < 0 || o.Burst < 0 {
		return &FieldError{path, "rate or burst is negative"}
	}
	d.organisations[e.Name] = o
	d.totalRate += o.Rate
	for i, key := range e.Keys {
		if err := d.addKey(o, key, fmt.Sprintf("%s.keys[%d]", path, i)); err != nil {
			return err
		}
	}
	return nil
}

func (d *Directory) addKey(o *Organisation, key, path string) error {
	if key == "" || len(key) > maxKeyBytes {
		return &FieldError{path, fmt.Sprintf("is %d bytes long, not 1 to %d", len(key), maxKeyBytes)}
	}
	digest := DigestOf(key)
	if holder, known := d.byKey[digest]; known && holder != o {
		return &FieldError{path, fmt.Sprintf("is listed by %q as well", holder.Name)}
	}
	if len(d.byKey) >= maxKeys {
		return &FieldError{path, fmt.Sprintf("is one of more than %d keys", maxKeys)}
	}
	d.byKey[digest] = o
	return nil
}

// Identify returns the organisation that holds the key with a digest, or nil.
func (d *Directory) Identify(digest Digest) *Organisation { return d.byKey[digest] }

// Lookup returns an organisation by name, or nil.
func (d *Directory) Lookup(name Name) *Organisation { return d.organisations[name] }

// IsLarge reports whether an organisation's quota is more than an equal share of all quotas
// among the given number of proxies, so that one proxy should not serve it alone.
func (d *Directory) IsLarge(o *Organisation, proxies int) bool {
	return o.Limited && o.Rate*float64(proxies) > d.totalRate
}

// Len returns the number of organisations.
func (d *Directory) Len() int { return len(d.organisations) }
