package managed_test

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/organisation"
	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// openDB is the database name of a route that accepts callers without a key.
const openDB = "lobby"

func keyOf(name string) string { return "key-of-" + name + "-0123456789abcdef" }

// organisations returns organisations with one key each.
func organisations(names ...string) []standin.Organisation {
	var list []standin.Organisation
	for _, name := range names {
		list = append(list, standin.Organisation{Name: name, Keys: []string{keyOf(name)}})
	}
	return list
}

// newOrganisationFleet starts proxies with the given organisations.
func newOrganisationFleet(t testing.TB, proxies, connections int, names ...string) *fleet {
	t.Helper()
	f := newFleet(t, 0)
	f.observed = true
	f.connections = connections
	for i := range 3 {
		f.group.Member(i).Connections = connections
	}
	lobby := route(openDB, managed.StrictConsistency, 0, 500*time.Millisecond)
	lobby.Anonymous = true
	f.routes = append(f.routes, lobby)
	f.group.RecordMessages()
	f.store.SetOrganisations(organisations(names...)...)
	f.configure()
	for i := range proxies {
		f.nodes = append(f.nodes, f.start(i))
	}
	if proxies > 1 {
		f.awaitListed(proxies)
	}
	return f
}

// reconfigure changes the organisations and waits until all proxies have the new
// configuration.
func (f *fleet) reconfigure(list ...standin.Organisation) {
	f.t.Helper()
	f.store.SetOrganisations(list...)
	f.configure()
	waitFor(f.t, 5*time.Second, "the configuration is in force", func() bool {
		for _, n := range f.nodes {
			if len(n.log.find("event=document_in_force", fmt.Sprintf("version=%d", f.version))) == 0 {
				return false
			}
		}
		return true
	})
}

// Guards against an execution on a connection that was opened for another organisation, and
// against proxies that exceed an upstream's connection limit when they replace connections.
func TestExecutionsRunUnderTheirOrganisation(t *testing.T) {
	const count, connections, workers = 12, 10, 24
	var names []string
	for i := range count {
		names = append(names, fmt.Sprintf("org-%d", i))
	}
	f := newOrganisationFleet(t, 1, connections, names...)
	n := f.nodes[0]
	n.openAs(t, strictDB, keyOf(names[0])).eventually(5*time.Second, "WRITE item x")
	databases := []string{strictDB, boundedDB, sessionDB}
	owners, codes := map[string]string{}, map[string]int{}
	var mu sync.Mutex
	var wait sync.WaitGroup
	end := time.Now().Add(3 * time.Second)
	for w := range workers {
		name := names[w%count]
		wait.Go(func() {
			for i := w; time.Now().Before(end); i++ {
				c := n.openAs(t, databases[i%3], keyOf(name))
				mu.Lock()
				owners[c.name] = name
				mu.Unlock()
				for _, text := range []string{"READ item", "WRITE item y", "BEGIN", "READ item", "WRITE item z", "COMMIT"} {
					code := c.query(text).code
					mu.Lock()
					codes[code.String()]++
					mu.Unlock()
				}
			}
		})
	}
	wait.Wait()
	seen := map[string]int{}
	for _, e := range f.group.Executions() {
		name, _, _ := strings.Cut(e.ID, "-")
		if owner, ok := owners[name]; ok {
			assert.Equal(t, e.Organisation, owner, "%s", e.ID)
			seen[owner]++
		}
	}
	assert.Equal(t, len(seen), count, "%v", seen)
	assert.Equal(t, f.group.ConnectionRefusals(), 0)
	t.Logf("%v", codes)
}

// Guards against a caller with an unknown key that gets a session or makes the proxy open a
// connection, against the refusal of an anonymous caller, and against a reply that hides
// that the database is unknown.
func TestUnknownKeyIsRefused(t *testing.T) {
	f := newOrganisationFleet(t, 1, 34, "acme")
	n := f.nodes[0]
	n.openAs(t, strictDB, keyOf("acme")).eventually(5*time.Second, "WRITE item x")
	f.group.ClearUsers()
	for _, key := range []string{"wrong", keyOf("acme") + "x", "organisation:acme", "acme"} {
		_, refused := n.connectAs(t, strictDB, key)
		assert.Assert(t, refused != nil && refused.Code == managed.CodeUnauthenticated, "%s: %v", key, refused)
	}
	_, refused := n.connectAs(t, "absent", "wrong")
	assert.Equal(t, refused.Code, managed.CodeUnknownDatabase)
	for _, user := range f.group.Users() {
		assert.Equal(t, user, n.settings.VM)
	}
	digest := organisation.DigestOf("wrong")
	assert.Equal(t, len(n.log.find("event=caller_unknown", fmt.Sprintf("key_digest=%x", digest[:4]))), 1)

	anonymous := n.openAs(t, openDB, "none")
	anonymous.mustQuery("READ item")
	assert.Equal(t, f.executionsOf(anonymous)[0].Organisation, "")
	known := n.openAs(t, openDB, keyOf("acme"))
	known.mustQuery("READ item")
	assert.Equal(t, f.executionsOf(known)[0].Organisation, "acme")
}

// forEachServingProxy runs a test with sessions that their own proxy serves, and with
// sessions that a gateway serves.
func forEachServingProxy(t *testing.T, test func(t *testing.T, f *fleet, n *node)) {
	t.Run("own proxy", func(t *testing.T) {
		f := newOrganisationFleet(t, 1, 34, "acme", "bolt")
		f.nodes[0].openAs(t, strictDB, keyOf("bolt")).eventually(5*time.Second, "WRITE item x")
		test(t, f, f.nodes[0])
	})
	t.Run("gateway", func(t *testing.T) {
		f := newOrganisationFleet(t, 6, scarceConnections, "acme", "bolt")
		n := f.handingOver("bolt")
		n.openAs(t, strictDB, keyOf("bolt")).eventually(5*time.Second, "WRITE item x")
		test(t, f, n)
	})
}

// handedTo returns the number of sessions with an organisation that others handed to the
// proxy.
func (n *node) handedTo() int {
	n.mu.Lock()
	defer n.mu.Unlock()
	return strings.Count(string(n.received), " organisation:")
}

// handedOver returns the number of sessions that proxies have handed over.
func (f *fleet) handedOver() (sum int) {
	for _, n := range f.nodes {
		sum += n.handedTo()
	}
	return sum
}

// handingOver returns a proxy that hands its callers' sessions over.
func (f *fleet) handingOver(name string) *node {
	f.t.Helper()
	handed := f.handedOver
	for _, n := range f.nodes {
		before := handed()
		n.openAs(f.t, strictDB, keyOf(name)).eventually(5*time.Second, "READ item")
		if handed() > before {
			return n
		}
	}
	f.t.Fatal("every proxy is a gateway")
	return nil
}

// scrape returns the metrics of a proxy.
func (n *node) scrape() string {
	w := httptest.NewRecorder()
	n.metrics.NewServer(telemetry.Health{}).Handler.ServeHTTP(w, httptest.NewRequest(http.MethodGet, "/metrics", http.NoBody))
	text, _ := io.ReadAll(w.Body) // a buffer
	return string(text)
}

// Guards against statements of a removed key that run on an open session or in an open
// transaction, against a transaction of it that is kept, and against an error that reaches
// other organisations.
func TestRemovedKey(t *testing.T) {
	forEachServingProxy(t, func(t *testing.T, f *fleet, n *node) {
		idle, open, committing := n.openAs(t, strictDB, keyOf("acme")), n.openAs(t, strictDB, keyOf("acme")), n.openAs(t, strictDB, keyOf("acme"))
		idle.mustQuery("READ item")
		for _, c := range []*caller{open, committing} {
			c.mustQuery("BEGIN")
			c.mustQuery("WRITE kept no")
		}
		f.reconfigure(organisations("bolt")...)
		before := len(f.group.Executions())
		for range 3 {
			assert.Equal(t, idle.query("READ item").code, managed.CodeUnauthenticated)
			assert.Equal(t, idle.query("WRITE item y").code, managed.CodeUnauthenticated)
			r := open.query("WRITE kept no")
			assert.Equal(t, r.code, managed.CodeUnauthenticated)
			assert.Equal(t, r.state, managed.StateFailed)
		}
		r := committing.query("COMMIT")
		assert.Equal(t, r.code, managed.CodeUnauthenticated)
		assert.Equal(t, r.state, managed.StateIdle)
		assert.Equal(t, open.mustQuery("ROLLBACK").state, managed.StateIdle)
		assert.Equal(t, open.query("BEGIN").code, managed.CodeUnauthenticated)
		assert.Equal(t, len(f.group.Executions()), before)
		other := n.openAs(t, strictDB, keyOf("bolt"))
		assert.DeepEqual(t, other.eventually(2*time.Second, "READ kept").rows, []string{"none"})
		// The key is listed again.
		f.reconfigure(organisations("acme", "bolt")...)
		idle.eventually(2*time.Second, "READ item")
		executions := f.executionsOf(idle)
		assert.Equal(t, executions[len(executions)-1].Organisation, "acme")
	})
}

// Guards against a statement that is sent after its key was removed while it waited in the
// queue.
func TestKeyRemovedWhileQueued(t *testing.T) {
	f := newFleet(t, 0)
	const serviceTime = 400 * time.Millisecond
	f.store.SetOrganisations(organisations("acme", "bolt")...)
	f.configure()
	n := f.start(0)
	f.nodes = append(f.nodes, n)
	queued := n.openAs(t, boundedDB, keyOf("acme"))
	queued.eventually(5*time.Second, "WRITE item x")
	f.group.Primary().SetServiceTime(serviceTime)
	var wait sync.WaitGroup
	for range 2 * f.group.Primary().Slots { // the most statements in flight
		c := n.openAs(t, boundedDB, keyOf("bolt"))
		wait.Go(func() { c.query("WRITE item y") })
	}
	time.Sleep(serviceTime / 4)
	var r result
	wait.Go(func() { r = queued.query("WRITE item z") })
	time.Sleep(serviceTime / 8)
	f.reconfigure(organisations("bolt")...)
	wait.Wait()
	assert.Equal(t, r.code, managed.CodeUnauthenticated, r.text)
	assert.Equal(t, len(n.log.find("event=request_failed", "code=unauthenticated", "tries=1")), 1, "the statement was not queued")
	assert.Equal(t, len(f.executionsOf(queued)), 1)
}

// Guards against a transaction that goes on under the former organisation of its key, and
// against later statements that run under it.
func TestMovedKey(t *testing.T) {
	forEachServingProxy(t, func(t *testing.T, f *fleet, n *node) {
		idle, open := n.openAs(t, strictDB, keyOf("acme")), n.openAs(t, strictDB, keyOf("acme"))
		idle.mustQuery("SET tenant mask")
		idle.mustQuery("READ item")
		open.mustQuery("BEGIN")
		open.mustQuery("WRITE kept no")
		f.reconfigure(standin.Organisation{Name: "bolt", Keys: []string{keyOf("bolt"), keyOf("acme")}})
		r := open.query("WRITE kept no")
		assert.Equal(t, r.code, managed.CodeAborted)
		assert.Equal(t, r.state, managed.StateFailed)
		open.mustQuery("ROLLBACK")
		for _, c := range []*caller{idle, open} {
			assert.DeepEqual(t, c.eventually(2*time.Second, "READ kept").rows, []string{"none"})
			executions := f.executionsOf(c)
			assert.Equal(t, executions[0].Organisation, "acme")
			assert.Equal(t, executions[len(executions)-1].Organisation, "bolt")
		}
		executions := f.executionsOf(idle)
		assert.Equal(t, executions[len(executions)-1].Variables, "tenant=mask")
	})
}

// Guards against sessions that lose their organisation when they are handed to a gateway or
// move to the next one.
func TestHandOverCarriesTheOrganisation(t *testing.T) {
	// Three proxies per zone: one of the other two in its zone replaces the gateway, and the
	// third one's sessions move to it.
	f := newOrganisationFleet(t, 9, scarceConnections, "acme", "bolt")
	sessions := map[*caller]string{}
	for _, n := range f.nodes {
		for _, name := range []string{"acme", "bolt"} {
			c := n.openAs(t, sessionDB, keyOf(name))
			c.eventually(5*time.Second, "READ item")
			sessions[c] = name
		}
	}
	var gateways []*node
	for _, n := range f.nodes {
		if n.handedTo() > 0 {
			gateways = append(gateways, n)
		}
	}
	assert.Assert(t, len(gateways) > 0, "no session was handed over")
	others := func() (handed int) {
		for _, n := range f.nodes {
			if n != gateways[0] {
				handed += n.handedTo()
			}
		}
		return handed
	}
	before := others()
	gateways[0].proxy.Drain()
	for end := time.Now().Add(drainTime); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		for c := range sessions {
			_, _ = c.try("READ item") // sessions of callers of the draining proxy end
		}
	}
	assert.Assert(t, others() > before, "no session moved")
	for c, name := range sessions {
		for _, e := range f.executionsOf(c) {
			assert.Equal(t, e.Organisation, name)
		}
	}
}

// Guards against a key in a log line, a metric, a message to an upstream or a message
// between proxies.
func TestKeysAreNotPassedOn(t *testing.T) {
	f := newOrganisationFleet(t, 6, scarceConnections, "acme")
	const wrong = "wrong-key-0123456789"
	opened := 0
	for _, n := range f.nodes {
		c := n.openAs(t, strictDB, keyOf("acme"))
		opened++
		c.eventually(5*time.Second, "WRITE item x")
		c.query("UNKNOWN")
		_, refused := n.connectAs(t, strictDB, wrong)
		assert.Assert(t, refused != nil)
	}
	f.reconfigure(organisations("bolt")...)
	for _, n := range f.nodes {
		_, refused := n.connectAs(t, strictDB, keyOf("acme"))
		assert.Assert(t, refused != nil)
		opened++
	}
	received, unknown := 0, 0
	for _, n := range f.nodes {
		n.mu.Lock()
		received += strings.Count(string(n.received), keyOf("acme"))
		unknown += strings.Count(string(n.received), wrong)
		n.mu.Unlock()
		for _, key := range []string{keyOf("acme"), wrong} {
			assert.Equal(t, len(n.log.find(key)), 0)
			assert.Assert(t, !strings.Contains(n.scrape(), key))
		}
		assert.Assert(t, strings.Contains(n.scrape(), "skylarkhinge_unknown_keys_total 2"), n.scrape())
	}
	// Each caller sent its key once.
	assert.Equal(t, received, opened)
	assert.Equal(t, unknown, len(f.nodes))
	for _, message := range f.group.Messages() {
		assert.Assert(t, !strings.Contains(message, "key-of") && !strings.Contains(message, wrong), message)
	}
}

// Guards against a deployment without organisations whose callers are refused or whose
// connections are opened for an organisation.
func TestWithoutOrganisations(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].openAs(t, strictDB, "anything")
	c.eventually(5*time.Second, "WRITE item x")
	assert.DeepEqual(t, c.mustQuery("READ item").rows, []string{"x"})
	assert.DeepEqual(t, f.group.Users(), []string{f.nodes[0].settings.VM})
}
