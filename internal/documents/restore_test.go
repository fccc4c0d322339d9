package documents

import (
	"context"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/standin/platform"
	"skylarkhinge.dev/skylarkhinge/metastore"
)

// restoredPlatform starts a stand-in of the platform and a client for it.
func restoredPlatform(t *testing.T) (*platform.Server, *metastore.Client) {
	t.Helper()
	server, err := platform.Start(platform.Options{})
	assert.NilError(t, err)
	t.Cleanup(server.Close)
	client, err := metastore.NewClient(metastore.DefaultOptions([]string{server.Address()}))
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return server, client
}

// Guards against a document that is refused, or replaced by an earlier one, because the
// restored store gives out lower revisions.
func TestDocumentComesIntoForceAfterARestore(t *testing.T) {
	server, client := restoredPlatform(t)
	var mu sync.Mutex
	var applied []int
	inForce := func(maxQueued int) bool {
		mu.Lock()
		defer mu.Unlock()
		return slices.Contains(applied, maxQueued)
	}
	watcher := &Watcher{
		Store: client, OnError: func(error) {}, Backoff: NewWatchBackoff(1),
		Sink: NewTable(func(d ActiveDocument) {
			mu.Lock()
			defer mu.Unlock()
			applied = append(applied, d.Document.MaxQueued)
		}),
	}
	ctx, cancel := context.WithCancel(t.Context())
	stopped := make(chan struct{})
	go func() { defer close(stopped); _ = watcher.Run(ctx) }()
	defer func() { cancel(); <-stopped }()

	put := func(maxQueued int) {
		t.Helper()
		document := testDocument(t, maxQueued)
		current, err := client.Get(t.Context(), Key(document.Service))
		assert.NilError(t, err)
		result := Put(t.Context(), client, document, current.Revision, DefaultOptions("operator", 1))
		assert.NilError(t, result.Err)
		for end := time.Now().Add(5 * time.Second); !inForce(maxQueued); time.Sleep(5 * time.Millisecond) {
			assert.Assert(t, time.Now().Before(end), "document %d is not in force", maxQueued)
		}
	}
	put(10)
	backup := server.Backup()
	put(20)
	put(30)
	put(40)
	server.Restore(backup)
	put(50)
	assert.DeepEqual(t, applied, []int{10, 20, 30, 40, 50})
}

// Guards against a list of VMs that is taken for an older one because the restored platform
// gives out lower revisions.
func TestRevisionsOfTheListIncreaseAfterARestore(t *testing.T) {
	server, client := restoredPlatform(t)
	backup := server.Backup()
	for range 3 {
		assert.NilError(t, server.SetVMs(nil))
	}
	before, err := client.ListVMs(t.Context())
	assert.NilError(t, err)
	server.Restore(backup)
	assert.NilError(t, server.SetVMs(nil))
	after, err := client.ListVMs(t.Context())
	assert.NilError(t, err)
	assert.Assert(t, after.Revision > before.Revision, "%d after %d", after.Revision, before.Revision)
	encoded, err := metastore.EncodeVMList(after)
	assert.NilError(t, err)
	decoded, err := metastore.DecodeVMList(encoded)
	assert.NilError(t, err)
	assert.Equal(t, decoded.Revision, after.Revision)
}
