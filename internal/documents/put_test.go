package documents

import (
	"context"
	"encoding/json"
	"errors"
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"testing/synctest"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"skylarkhinge.dev/skylarkhinge/config"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// TestMain runs the property tests with a fixed seed unless -rapid.seed is set.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// swapFault is a fault that fakeStore injects into one compare-and-swap.
type swapFault uint8

const (
	faultNone           swapFault = iota
	faultRequestLost              // lost before it reaches the store
	faultResponseLost             // applied, but the response is lost
	faultRequestDelayed           // no response; the request arrives before the next one or later
	faultUnavailable              // not sent
	faultRateLimited              // rejected by the rate limit
	numFaults
)

// fakeStore is a store with one entry. It injects faults and runs the concurrent edits of
// other operators.
type fakeStore struct {
	metastore.Store
	entry metastore.Entry
	// revisionStep is the increment of the revision with each change.
	revisionStep uint64
	// faults are injected into one compare-and-swap each, in order.
	faults []swapFault
	// readErr is returned by reads after the first compare-and-swap, or by all reads
	// if failAllReads is set.
	readErr      error
	failAllReads bool
	// delayed are the requests that arrive before the next compare-and-swap.
	delayed []func()
	// beforeRead runs before each read that follows a compare-and-swap, beforeFirstSwap
	// before the first compare-and-swap.
	beforeRead, beforeFirstSwap func()
	// applied maps the id of each stored edit to its revision.
	applied   map[string]uint64
	swapCount int
}

func newFakeStore() *fakeStore { return &fakeStore{revisionStep: 1, applied: map[string]uint64{}} }

func (s *fakeStore) Get(_ context.Context, key string) (metastore.Entry, error) {
	if (s.swapCount > 0 || s.failAllReads) && s.readErr != nil {
		return metastore.Entry{}, s.readErr
	}
	if s.swapCount > 0 && s.beforeRead != nil {
		s.beforeRead()
	}
	if s.entry.Revision == 0 {
		return metastore.Entry{Key: key}, nil
	}
	return s.entry, nil
}

// swapWithoutFaults stores a value without faults. It reports whether the revision was the
// expected one.
func (s *fakeStore) swapWithoutFaults(key string, expected uint64, value []byte) bool {
	if s.entry.Revision != expected {
		return false
	}
	s.entry = metastore.Entry{Key: key, Value: value, Revision: expected + s.revisionStep}
	revisions, err := decodeRevisions(s.entry)
	if err != nil {
		panic(err)
	}
	s.applied[revisions[0].ID] = s.entry.Revision
	return true
}

func (s *fakeStore) CompareAndSwap(_ context.Context, key string, expected uint64, value []byte) (metastore.SwapResult, error) {
	s.swapCount++
	if s.swapCount == 1 && s.beforeFirstSwap != nil {
		s.beforeFirstSwap()
	}
	fault := faultNone
	if len(s.faults) > 0 {
		fault, s.faults = s.faults[0], s.faults[1:]
	}
	for _, arrive := range s.delayed {
		arrive()
	}
	s.delayed = nil
	switch fault {
	case faultUnavailable:
		return metastore.SwapResult{}, metastore.ErrUnavailable
	case faultRateLimited:
		return metastore.SwapResult{}, metastore.ErrRateLimited
	case faultRequestLost:
		return metastore.SwapResult{}, metastore.ErrUnknownOutcome
	case faultRequestDelayed:
		s.delayed = append(s.delayed, func() { s.swapWithoutFaults(key, expected, value) })
		return metastore.SwapResult{}, metastore.ErrUnknownOutcome
	case faultResponseLost:
		s.swapWithoutFaults(key, expected, value)
		return metastore.SwapResult{}, metastore.ErrUnknownOutcome
	}
	swapped := s.swapWithoutFaults(key, expected, value)
	return metastore.SwapResult{Swapped: swapped, Entry: s.entry}, nil
}

// testDocument returns a valid document with the given max_queued.
func testDocument(t assert.TestingT, maxQueued int) *config.Document {
	data, err := os.ReadFile(filepath.Join("..", "..", "docs", "examples", "olarizu-workshop.json"))
	assert.NilError(t, err)
	doc, err := config.DecodeDocument(data)
	assert.NilError(t, err)
	doc.MaxQueued = maxQueued
	return doc
}

// concurrentEdit stores an edit by another operator without faults.
func (s *fakeStore) concurrentEdit(t assert.TestingT, id string, maxQueued int) {
	raw, err := encodeDocument(testDocument(t, maxQueued))
	assert.NilError(t, err)
	earlier, err := decodeRevisions(s.entry)
	assert.NilError(t, err)
	value, err := encodeEnvelope(Edit{ID: id, Author: "other", PreviousRevision: s.entry.Revision, Raw: raw}, earlier)
	assert.NilError(t, err)
	assert.Assert(t, s.swapWithoutFaults(Key("olarizu-workshop"), s.entry.Revision, value))
}

// Guards against a put that reports a wrong status or revision.
func TestPutOutcomes(t *testing.T) {
	down := errors.New("down")
	cases := []struct {
		name    string
		faults  []swapFault
		readErr error
		// The numbers of edits by other operators: editsAfter after the first request
		// of the put, editsBefore before the put, editsRacing between its read and
		// its first request.
		editsAfter, editsBefore, editsRacing int
		editID                               string
		status                               Status
		revision                             uint64
		current                              uint64
		cause                                error
	}{
		{name: "plain", status: StatusInForce, revision: 2, current: 2},
		{name: "lost before the change", faults: []swapFault{faultRequestLost}, status: StatusInForce, revision: 2, current: 2},
		{name: "lost after the change", faults: []swapFault{faultResponseLost}, status: StatusInForce, revision: 2, current: 2},
		{name: "arrives late", faults: []swapFault{faultRequestDelayed}, status: StatusInForce, revision: 2, current: 2},
		{name: "lost after the change, replaced since", faults: []swapFault{faultResponseLost}, editsAfter: 2, status: StatusInForce, revision: 2, current: 4},
		{name: "lost after the change, history gone", faults: []swapFault{faultResponseLost}, editsAfter: MaxHistory + 2, status: StatusUnknown, current: 12, cause: ErrHistoryTruncated},
		{name: "lost before, others edited", faults: []swapFault{faultRequestLost}, editsAfter: 1, status: StatusNotApplied, current: 2, cause: ErrConflict},
		{name: "lost before, revision moved twice", faults: []swapFault{faultRequestLost}, editsAfter: 2, status: StatusNotApplied, current: 3, cause: ErrConflict},
		{name: "lost, then store down", faults: []swapFault{faultResponseLost, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable}, readErr: down, status: StatusUnknown, cause: down},
		{name: "lost, then rate limited", faults: []swapFault{faultRequestLost, faultRateLimited, faultRequestLost}, status: StatusInForce, revision: 2, current: 2},
		{name: "outage", faults: []swapFault{faultUnavailable}, status: StatusNotApplied, cause: metastore.ErrUnavailable},
		{name: "rate limited", faults: []swapFault{faultRateLimited}, status: StatusNotApplied, cause: metastore.ErrRateLimited},
		{name: "continued during an outage", editID: "e", faults: []swapFault{faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable, faultUnavailable}, status: StatusUnknown, cause: metastore.ErrUnavailable},
		{name: "concurrent edit between read and request", editsRacing: 1, status: StatusNotApplied, current: 2, cause: ErrConflict},
		{name: "concurrent edits replace the kept history", editsRacing: MaxHistory + 2, status: StatusNotApplied, current: 11, cause: ErrConflict},
		{name: "concurrent edit before the put", editsBefore: 1, status: StatusNotApplied, current: 2, cause: ErrConflict},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				store := newFakeStore()
				for i := range 1 + c.editsBefore {
					store.concurrentEdit(t, fmt.Sprint("first", i), 100+i)
				}
				store.faults, store.readErr = c.faults, c.readErr
				editTimes := func(count int) func() {
					return func() {
						for ; count > 0; count-- {
							store.concurrentEdit(t, fmt.Sprint("other", count), 200+count)
						}
					}
				}
				store.beforeRead, store.beforeFirstSwap = editTimes(c.editsAfter), editTimes(c.editsRacing)
				options := DefaultOptions("me", 1)
				options.EditID = c.editID
				result := Put(t.Context(), store, testDocument(t, 5000), 1, options)
				assert.Equal(t, result.Status, c.status, "%v", result.Err)
				assert.Equal(t, result.Revision, c.revision)
				assert.Equal(t, result.CurrentRevision, c.current)
				assert.Assert(t, errors.Is(result.Err, c.cause), "%v", result.Err)
				assert.Assert(t, store.swapCount <= DefaultOptions("", 1).Attempts)
				assert.Equal(t, result.OutcomeCommand(), "skylarkhinge document outcome olarizu-workshop --edit="+result.EditID+" --from=1")
			})
		})
	}
}

// Guards against a conflict without the changes of other operators, and against mistaking
// an equal document of another operator for the own edit.
func TestPutConflictDetails(t *testing.T) {
	store := newFakeStore()
	store.concurrentEdit(t, "first", 100)
	store.concurrentEdit(t, "other", 200)
	result := Put(t.Context(), store, testDocument(t, 300), 1, DefaultOptions("me", 1))
	assert.Equal(t, result.CurrentAuthor, "other")
	assert.DeepEqual(t, result.ConcurrentChanges, []config.Difference{{Path: "$.max_queued", Old: "100", New: "200"}})
	assert.DeepEqual(t, result.DiffFromCurrent, []config.Difference{{Path: "$.max_queued", Old: "200", New: "300"}})

	result = Put(t.Context(), store, testDocument(t, 200), 1, DefaultOptions("me", 1))
	assert.Equal(t, result.Status, StatusNotApplied)
	assert.Equal(t, len(result.DiffFromCurrent), 0)

	faulty := testDocument(t, 0)
	result = Put(t.Context(), store, faulty, 2, DefaultOptions("me", 1))
	assert.Equal(t, result.Status, StatusNotApplied)
	assert.ErrorContains(t, result.Err, "$.max_queued is 0")
	assert.Equal(t, store.entry.Revision, uint64(2))

	// A value that is not an envelope can still be replaced.
	store.entry.Value = []byte("{}")
	_, err := Get(t.Context(), store, "olarizu-workshop")
	assert.ErrorContains(t, err, "at revision 2 is no envelope")
	assert.Equal(t, Put(t.Context(), store, testDocument(t, 400), 1, DefaultOptions("me", 1)).Status, StatusNotApplied)
	assert.Equal(t, Put(t.Context(), store, testDocument(t, 400), 2, DefaultOptions("me", 1)).Status, StatusInForce)
}

// Guards against a put with an unknown outcome that is reported as not applied because the
// store can't be read.
func TestUnreadableStore(t *testing.T) {
	store := &fakeStore{failAllReads: true, readErr: metastore.ErrUnavailable}
	options := DefaultOptions("me", 1)
	assert.Equal(t, Put(t.Context(), store, testDocument(t, 1), 0, options).Status, StatusNotApplied)
	options.EditID = "earlier"
	assert.Equal(t, Put(t.Context(), store, testDocument(t, 1), 0, options).Status, StatusUnknown)
	result := Outcome(t.Context(), store, "olarizu-workshop", "earlier", 0)
	assert.Equal(t, result.Status, StatusUnknown)
	assert.Assert(t, errors.Is(result.Err, metastore.ErrUnavailable))
	_, err := History(t.Context(), store, "olarizu-workshop")
	assert.Assert(t, errors.Is(err, metastore.ErrUnavailable))
}

// Guards against wrong outcomes under random faults, late requests and concurrent edits.
// The statuses "in force" and "not applied" must stay true whatever arrives later, and
// Outcome must agree with them.
func TestPutUnderRandomFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		faults := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) swapFault {
			return swapFault(rapid.IntRange(0, int(numFaults)-1).Draw(t, "fault"))
		}), 0, 8).Draw(t, "faults")
		step := rapid.Uint64Range(1, 5).Draw(t, "step")
		before := rapid.IntRange(0, 2).Draw(t, "before")
		from := rapid.Uint64Range(0, 2*step).Draw(t, "from")
		edits := rapid.SliceOfN(rapid.SampledFrom([]int{0, 0, 0, 1, 2, 12}), 0, 8).Draw(t, "edits")
		racing := rapid.IntRange(0, 1).Draw(t, "racing")
		readFails := rapid.SliceOfN(rapid.Bool(), 0, 8).Draw(t, "readFails")
		store := newFakeStore()
		store.revisionStep = step
		for i := range before {
			store.concurrentEdit(t, fmt.Sprint("first", i), 100+i)
		}
		store.faults = faults
		store.beforeFirstSwap = func() {
			for i := range racing {
				store.concurrentEdit(t, fmt.Sprint("race", i), 300+i)
			}
		}
		store.beforeRead = func() {
			if len(edits) == 0 {
				return
			}
			for i := range edits[0] {
				store.concurrentEdit(t, fmt.Sprint("other", len(edits), i), 200+i)
			}
			edits = edits[1:]
			store.readErr = nil
			if len(readFails) > 0 && readFails[0] {
				store.readErr = metastore.ErrUnavailable
			}
			readFails = readFails[min(1, len(readFails)):]
		}
		options := DefaultOptions("me", 1)
		options.Backoff = metastore.NewBackoff(2, 2, 1)
		result := Put(t.Context(), store, testDocument(t, 5000), from, options)
		store.beforeRead, store.beforeFirstSwap, store.readErr, store.faults = nil, nil, nil, nil
		for _, arrive := range store.delayed {
			arrive()
		}
		revision, applied := store.applied[result.EditID]
		switch result.Status {
		case StatusInForce:
			assert.Assert(t, applied)
			assert.Equal(t, result.Revision, revision)
		case StatusNotApplied:
			assert.Assert(t, !applied, "%v", result.Err)
		}
		queried := Outcome(t.Context(), store, result.Service, result.EditID, from)
		assert.Assert(t, queried.Status == StatusUnknown || (queried.Status == StatusInForce) == applied)
		if store.entry.Revision == from {
			assert.Assert(t, errors.Is(queried.Err, ErrPending))
		}
		if result.Status == StatusUnknown && store.entry.Revision == from {
			options.EditID = result.EditID
			again := Put(t.Context(), store, testDocument(t, 5000), from, options)
			assert.Equal(t, again.Status, StatusInForce)
		}
	})
}

// Guards against a value above the store's size limit, and a history that loses the newest
// revisions or their numbers.
func TestHistoryIsBounded(t *testing.T) {
	store := newFakeStore()
	_, err := Get(t.Context(), store, "olarizu-workshop")
	assert.Assert(t, errors.Is(err, ErrNotFound))
	for i := range MaxHistory + 3 {
		result := Put(t.Context(), store, testDocument(t, 100+i), uint64(i), DefaultOptions("me", 1))
		assert.Equal(t, result.Status, StatusInForce)
	}
	revisions, err := History(t.Context(), store, "olarizu-workshop")
	assert.NilError(t, err)
	assert.Equal(t, len(revisions), 1+MaxHistory)
	for i, revision := range revisions {
		assert.Equal(t, revision.Number, uint64(MaxHistory+3-i))
		assert.Equal(t, revision.PreviousRevision, revision.Number-1)
		doc, err := revision.Document()
		assert.NilError(t, err)
		assert.Equal(t, doc.MaxQueued, 100+int(revision.Number)-1)
	}

	largeEdit := Edit{ID: "big", Raw: []byte(`"` + strings.Repeat("x", config.MaxDocumentBytes) + `"`)}
	value, err := encodeEnvelope(largeEdit, slices.Repeat([]Revision{{Number: 1, Edit: largeEdit}}, MaxHistory))
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= MaxValueBytes && len(value) > 3*config.MaxDocumentBytes)
}

// Guards against passing the earlier revisions of each document on to other proxies.
func TestWithoutHistory(t *testing.T) {
	withHistory, err := json.Marshal(envelope{Edit: Edit{ID: "b", Raw: json.RawMessage(`{}`)}, History: []Revision{{Number: 1}}})
	assert.NilError(t, err)
	var stripped envelope
	assert.NilError(t, json.Unmarshal(WithoutHistory(withHistory), &stripped))
	assert.Equal(t, stripped.ID, "b")
	assert.Equal(t, len(stripped.History), 0)
	assert.Equal(t, string(WithoutHistory([]byte("not JSON"))), "not JSON")
}
