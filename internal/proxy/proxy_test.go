package proxy

import (
	"net"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/documents"
	platformstandin "skylarkhinge.dev/skylarkhinge/internal/standin/platform"
	"skylarkhinge.dev/skylarkhinge/internal/standin/upstream"
)

// Guards against a broken path from a caller through a forwarding proxy and an owner
// to an upstream, and against a session that does not read its own write through
// another proxy.
func TestWriteIsReadThroughTheOtherProxy(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{})
	ctx := testContext(t)
	first := f.connect(f.proxies[0], "class", "order", "session", "leader-7")
	second := f.connect(f.proxies[1], "class", "browse", "session", "leader-7")
	for _, key := range []string{"a", "b", "c", "d"} {
		_, err := first.Exec(ctx, "INSERT INTO kv (k, v) VALUES ('"+key+"', 'mask')")
		assert.NilError(t, err)
		var value string
		assert.NilError(t, second.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", key).Scan(&value))
		assert.Equal(t, value, "mask")
	}
}

// Guards against a transaction whose statements run on different connections.
func TestTransactionThroughAnEntry(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{})
	ctx := testContext(t)
	for i, p := range f.proxies {
		conn := f.connect(p, "class", "order")
		tx, err := conn.Begin(ctx)
		assert.NilError(t, err)
		key := string(rune('x' + i))
		_, err = tx.Exec(ctx, "INSERT INTO kv (k, v) VALUES ($1, $2)", key, "1")
		assert.NilError(t, err)
		_, err = tx.Exec(ctx, "UPDATE kv SET v = $1 WHERE k = $2", "2", key)
		assert.NilError(t, err)
		assert.NilError(t, tx.Commit(ctx))
		var value string
		assert.NilError(t, conn.QueryRow(ctx, "SELECT v FROM kv WHERE k = $1", key).Scan(&value))
		assert.Equal(t, value, "2")
	}
}

// Guards against a batch of a class with majority acknowledgement that waits until
// its deadline because the log is empty, so that no position can be held by a
// majority.
func TestMajorityClassOnEmptyLog(t *testing.T) {
	f := newFleet(t, 1, upstream.Options{})
	conn := f.connect(f.proxies[0], "class", "safe-order")
	var one int
	assert.NilError(t, conn.QueryRow(testContext(t), "SELECT 1").Scan(&one))
	assert.Equal(t, one, 1)
}

// Guards against a document that reaches only the proxies that watch the store, and
// against a proxy that gets no document when it starts during a platform outage, in
// which neither the store nor the list of VMs is available.
func TestDocumentSpreadsThroughRelay(t *testing.T) {
	f := newFleet(t, 0, upstream.Options{})
	for _, name := range []string{"p1", "p2", "p3", "p4", "p5"} {
		f.startProxyWithoutDocument(name)
	}
	f.publishVMList()
	store := f.proxies[0].client
	for revision := uint64(1); revision <= 2; revision++ {
		result := documents.Put(testContext(t), store, f.document, revision-1, documents.DefaultOptions("test", 1))
		assert.NilError(t, result.Err)
		f.awaitRevision(revision, f.proxies...)
	}
	f.awaitWatches(2)
	f.platform.SetFaults(func(faults *platformstandin.Faults) { faults.Outage = true })
	late := f.startProxyWithoutDocument("p6")
	f.setVMListExcept(late)
	f.awaitRevision(2, late)
}

// awaitWatches waits until the store has a number of watches, and checks that it keeps them: a
// document can reach all proxies through the relay before each watch has begun.
func (f *fleet) awaitWatches(count int) {
	f.t.Helper()
	ctx := testContext(f.t)
	for f.platform.Watches() != count {
		assert.NilError(f.t, ctx.Err(), "%d watches", f.platform.Watches())
		time.Sleep(5 * time.Millisecond)
	}
	for range 20 {
		time.Sleep(5 * time.Millisecond)
		assert.Equal(f.t, f.platform.Watches(), count)
	}
}

// Guards against a cancel request that is lost because the load balancer sent it
// to another proxy than the caller's.
func TestCancelThroughAnotherProxy(t *testing.T) {
	f := newFleet(t, 2, upstream.Options{})
	conn := f.connect(f.proxies[0], "class", "lookup")
	ended := make(chan error, 1)
	go func() {
		_, err := conn.Exec(testContext(t), "SELECT pg_sleep(20)")
		ended <- err
	}()
	request := &pgproto3.CancelRequest{ProcessID: conn.PgConn().PID(), SecretKey: conn.PgConn().SecretKey()}
	wire, err := request.Encode(nil)
	assert.NilError(t, err)
	for {
		other, err := net.Dial("tcp", f.proxies[1].addresses.Callers)
		assert.NilError(t, err)
		_, err = other.Write(wire)
		assert.NilError(t, err)
		other.Close()
		select {
		case err := <-ended:
			assert.ErrorContains(t, err, "57014")
			return
		case <-time.After(100 * time.Millisecond):
			// The statement had not started yet. Send another cancel request.
		}
	}
}
