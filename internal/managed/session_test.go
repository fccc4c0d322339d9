package managed_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
)

// Guards against reads on a replica that miss the session's own writes.
func TestReadYourWrites(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.group.Member(i).SetLag(150 * time.Millisecond)
	}
	for i, n := range f.nodes {
		c := n.open(t, sessionDB)
		for _, value := range []string{"one", "two", "three"} {
			c.mustQuery("WRITE k" + string(rune('a'+i)) + " " + value)
			assert.DeepEqual(t, c.mustQuery("READ k"+string(rune('a'+i))).rows, []string{value})
		}
	}
}

// Guards against reads on strict routes that miss a commit made through another proxy.
func TestStrictReadSeesEveryCommit(t *testing.T) {
	f := newFleet(t, 2)
	writer, reader := f.nodes[0].open(t, strictDB), f.nodes[1].open(t, strictDB)
	for _, value := range []string{"a", "b", "c", "d"} {
		writer.mustQuery("WRITE item " + value)
		assert.DeepEqual(t, reader.mustQuery("READ item").rows, []string{value})
	}
}

// Guards against a strict read at a replaced primary, which would answer it as a replica.
func TestStrictReadAfterPromotionElsewhere(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item before")
	old := f.group.Primary()
	old.SetReplicationStopped(true)
	assert.Equal(t, f.group.Promote(f.group.Member(1).ID, 1), 200)
	waitFor(t, time.Second, "promotion", func() bool { return f.group.Primary() != old })
	r := c.eventually(3*time.Second, "READ item")
	assert.DeepEqual(t, r.rows, []string{"before"})
	for _, e := range f.executionsOf(c) {
		if e.ID == r.id {
			assert.Equal(t, e.Member, f.group.Member(1).ID)
		}
	}
}

// Guards against bounded reads from a replica that lags by more than the bound.
func TestBoundedReadLeavesLaggingReplicas(t *testing.T) {
	f := newFleet(t, 3)
	for i := range 3 {
		f.group.Member(i).SetLag(5 * time.Second)
	}
	writer, reader := f.nodes[1].open(t, strictDB), f.nodes[1].open(t, boundedDB)
	writer.mustQuery("WRITE item new")
	time.Sleep(1200 * time.Millisecond)
	assert.DeepEqual(t, reader.mustQuery("READ item").rows, []string{"new"})
}

// Guards against reads that go to the primary or another zone while the zone's replica is
// fresh enough.
func TestBoundedReadsStayInTheirZone(t *testing.T) {
	f := newFleet(t, 3)
	f.nodes[0].open(t, strictDB).mustQuery("WRITE item x")
	for i, n := range f.nodes {
		c := n.open(t, boundedDB)
		for range 5 {
			c.mustQuery("READ item")
		}
		for _, e := range f.executionsOf(c) {
			assert.Equal(t, e.Member, f.group.Member(i).ID)
		}
	}
}

// Guards against session variables and prepared statements that leak to another caller on a
// shared connection.
func TestSessionValuesDoNotMix(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.nodes[0].open(t, strictDB), f.nodes[0].open(t, strictDB)
	a.mustQuery("SET tenant mask")
	a.mustQuery("PREPARE s1 WRITE shape-a")
	b.mustQuery("PREPARE s1 READ shape-b")
	for range 10 {
		a.mustQuery("EXECUTE s1 item v")
		b.mustQuery("EXECUTE s1 item")
		b.mustQuery("SET tenant glue")
		a.mustQuery("READ item")
	}
	first := true
	for _, e := range f.executionsOf(a) {
		assert.Equal(t, e.Variables, "tenant=mask")
		if strings.Contains(e.Text, "EXECUTE") {
			assert.Assert(t, strings.HasPrefix(e.Text, "shape-a:"), e.Text)
		}
	}
	for _, e := range f.executionsOf(b) {
		if strings.Contains(e.Text, "EXECUTE") {
			assert.Assert(t, strings.HasPrefix(e.Text, "shape-b:"), e.Text)
		}
		if !first {
			assert.Equal(t, e.Variables, "tenant=glue")
		}
		first = false
	}
}

// Guards against statements of a transaction that run outside it, and against two callers
// that share a transaction.
func TestTransactionsKeepApart(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.nodes[0].open(t, strictDB), f.nodes[0].open(t, strictDB)
	a.mustQuery("BEGIN")
	assert.Equal(t, a.mustQuery("WRITE item a").state, managed.StateOpen)
	b.mustQuery("BEGIN")
	b.mustQuery("WRITE other b")
	assert.DeepEqual(t, b.mustQuery("READ item").rows, []string{"none"})
	a.mustQuery("COMMIT")
	b.mustQuery("ROLLBACK")
	assert.DeepEqual(t, a.mustQuery("READ other").rows, []string{"none"})
	transactions := map[int]string{}
	for _, r := range f.group.Executions() {
		if r.Transaction == 0 {
			continue
		}
		owner := r.ID[:strings.LastIndex(r.ID, "-")]
		if known, ok := transactions[r.Transaction]; ok {
			assert.Equal(t, known, owner)
		}
		transactions[r.Transaction] = owner
	}
	assert.Equal(t, len(transactions), 2)
}

// Guards against the commit of a failed transaction.
func TestFailedTransactionIsRolledBack(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("BEGIN")
	c.mustQuery("WRITE item x")
	f.group.Primary().CloseBeforeAnswer(1)
	r := c.query("WRITE item y")
	assert.Equal(t, r.code, managed.CodeAborted)
	assert.Equal(t, r.state, managed.StateFailed)
	assert.Equal(t, c.query("READ item").code, managed.CodeMalformed)
	assert.Equal(t, c.query("COMMIT").code, managed.CodeAborted)
	assert.DeepEqual(t, c.eventually(2*time.Second, "READ item").rows, []string{"none"})
}

// Guards against a write with a lost reply that is reported as failed or executed again.
func TestLostAnswerOfAWriteIsInDoubt(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("READ item")
	f.group.Primary().CloseBeforeAnswer(1)
	r := c.query("WRITE item x")
	assert.Equal(t, r.code, managed.CodeInDoubt)
	executions := 0
	for _, e := range f.group.Executions() {
		if e.ID == r.id {
			executions++
		}
	}
	assert.Equal(t, executions, 1)
}

// Guards against a lost reply to a read that reaches the caller as an error.
func TestLostAnswerOfAReadIsRepeated(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, boundedDB)
	c.mustQuery("READ item")
	f.group.Member(0).CloseBeforeAnswer(1)
	c.mustQuery("READ item")
}

// Guards against a malformed message that ends other sessions, or that ends its own
// although the stream is intact.
func TestMalformedMessages(t *testing.T) {
	f := newFleet(t, 1)
	other := f.nodes[0].open(t, strictDB)
	c := f.nodes[0].open(t, strictDB)
	assert.Equal(t, c.query("FROBNICATE x").code, managed.CodeMalformed)
	c.mustQuery("READ item")
	// The second line is not a valid message.
	assert.Equal(t, c.query("FROBNICATE y\r\nNONSENSE").code, managed.CodeMalformed)
	assert.Equal(t, c.awaitClose(), managed.CodeMalformed)
	other.mustQuery("READ item")
}

// Guards against sessions for databases without a route.
func TestUnknownDatabase(t *testing.T) {
	f := newFleet(t, 1)
	f.nodes[0].open(t, strictDB)
	_, refused := f.nodes[0].connect(t, "absent")
	assert.Assert(t, refused != nil)
	assert.Equal(t, refused.Code, managed.CodeUnknownDatabase)
}

// Guards against a configuration that takes effect late or reverts to an older version.
func TestConfigurationTakesForce(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[1].open(t, boundedDB)
	c.mustQuery("READ item")
	f.routes = f.routes[:1]
	f.configure()
	waitFor(t, time.Second, "route is dropped", func() bool { return c.query("READ item").code == managed.CodeUnknownDatabase })
	assert.NilError(t, f.store.Configure(1, f.group.Name, f.connections, nil))
	time.Sleep(100 * time.Millisecond)
	f.nodes[1].open(t, strictDB).mustQuery("READ item")
}

// Guards against a watch that does not recover from a compaction of the store's history.
func TestCompactedHistory(t *testing.T) {
	f := newFleet(t, 1)
	f.nodes[0].open(t, strictDB)
	f.store.SetFault(2) // standin.StoreUnresponsive
	time.Sleep(50 * time.Millisecond)
	f.routes = append(f.routes, route("late", managed.StrictConsistency, 0, time.Second))
	f.configure()
	f.store.Compact()
	f.store.SetFault(0)
	waitFor(t, 5*time.Second, "new route", func() bool { return f.nodes[0].accepts(t, "late") })
}

// Guards against undecodable entries among the member entries.
func TestUnreadableMemberEntries(t *testing.T) {
	f := newFleet(t, 1)
	f.store.PutForeignEntries(f.group.Name)
	c := f.nodes[0].open(t, strictDB)
	for range 5 {
		c.mustQuery("READ item")
	}
}

// Guards against entries of other writers that count as upstreams, change the gateways of a database, stop the
// proxies or keep them from following the store; with a proxy that watches and one that lists them.
func TestForeignEntriesChangeNothing(t *testing.T) {
	f := newStrictFleet(t, 2)
	f.store.PutForeignEntries(f.group.Name)
	f.nodes = append(f.nodes, f.start(2))
	f.awaitListed(3)
	time.Sleep(2 * revocationTimeout)
	for _, n := range f.nodes {
		assert.Equal(t, n.proxy.NotReadyReason(), "")
		assert.Equal(t, len(n.log.find("event=configuration_expired")), 0)
		assert.Equal(t, len(n.log.find("event=upstream_listed", "peer=foreign")), 0)
	}
	f.addRoute()
	f.awaitVersion(documentLimit)
}

// Guards against an upstream that stays in use although its entry cannot be read any more, to
// proxies that watched the change as to those that list the store.
func TestUpstreamWhoseEntryBecomesUnreadableIsMissing(t *testing.T) {
	f := newFleet(t, 1)
	f.nodes[0].open(t, strictDB).mustQuery("READ item")
	member := f.group.Member(1)
	member.SetListed(false)
	f.store.PutEntry(member.ID, []byte("{"))
	waitFor(t, time.Second, "the upstream is missing", func() bool {
		return len(f.nodes[0].log.find("event=upstream_missing", "peer="+member.ID)) == 1
	})
}

// Guards against a proxy that reports databases as unknown before it has a configuration.
func TestSessionWithoutConfiguration(t *testing.T) {
	f := newFleet(t, 0)
	f.store.SetFault(2) // standin.StoreUnresponsive
	n := f.start(0)
	_, refused := n.connect(t, strictDB)
	assert.Assert(t, refused != nil)
	assert.DeepEqual(t, *refused, managed.RefusedError{Code: managed.CodeBusy, Text: "no configuration yet"})
	f.store.SetFault(0)
	waitFor(t, 5*time.Second, "a session", func() bool { return n.accepts(t, strictDB) })
}

// Guards against a read that waits until its deadline for a lost reply while the connection
// stays open.
func TestSwallowedAnswerOfAReadIsRepeatedInTime(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, boundedDB)
	c.mustQuery("READ item")
	for i := range 3 {
		f.group.Member(i).WithholdAnswers(1)
	}
	began := time.Now()
	c.mustQuery("READ item")
	assert.Assert(t, time.Since(began) < 900*time.Millisecond, "%v", time.Since(began))
}

// Guards against a proxy that keeps an old configuration for as long as the store refuses
// its calls.
func TestConfigurationReachesAProxyWithoutStore(t *testing.T) {
	f := newFleet(t, 3)
	f.nodes[2].open(t, strictDB)
	waitFor(t, 5*time.Second, "all proxies are listed", func() bool {
		return len(f.nodes[2].log.find("event=proxies_changed", "proxies=3")) > 0
	})
	f.store.RejectProxy("vm-2")
	f.routes = append(f.routes, route("late", managed.StrictConsistency, 0, time.Second))
	f.configure()
	waitFor(t, 8*time.Second, "the new route", func() bool { return f.nodes[2].accepts(t, "late") })
	assert.Assert(t, len(f.nodes[2].log.find("event=document_relayed")) > 0)
}
