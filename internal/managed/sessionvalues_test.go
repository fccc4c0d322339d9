package managed_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// refusedCommands is the number of commands of each kind that a test's upstreams refuse.
const refusedCommands = 5

// Guards against a statement that runs with the session values of another caller because the
// upstream refused the commands that set its own.
func TestStatementWaitsForItsSessionValues(t *testing.T) {
	for _, command := range []string{"DISCARD", "SET", "PREPARE"} {
		t.Run(command, func(t *testing.T) {
			f := newFleet(t, 1)
			a, b := f.nodes[0].open(t, strictDB), f.nodes[0].open(t, strictDB)
			a.mustQuery("SET tenant mask")
			a.mustQuery("SET shade dark")
			a.mustQuery("PREPARE s1 READ shape-a")
			b.mustQuery("SET tenant glue")
			b.mustQuery("PREPARE s1 WRITE shape-b")
			for range 3 {
				f.group.Primary().RefuseBusy(command, refusedCommands)
				for range 3 {
					a.eventually(2*time.Second, "READ item")
					b.eventually(2*time.Second, "WRITE item v")
					a.eventually(2*time.Second, "EXECUTE s1 item")
					b.eventually(2*time.Second, "EXECUTE s1 item v")
				}
			}
			f.checkSessionValues(a, "shade=dark,tenant=mask", "shape-a:")
			f.checkSessionValues(b, "tenant=glue", "shape-b:")
		})
	}
}

// checkSessionValues checks the session variables of all statements of a caller, and the shape of
// its prepared statement.
func (f *fleet) checkSessionValues(c *caller, variables, shape string) {
	f.t.Helper()
	for _, e := range f.executionsOf(c) {
		assert.Equal(f.t, e.Variables, variables, "%s %s", e.ID, e.Text)
		if strings.Contains(e.Text, "EXECUTE") {
			assert.Assert(f.t, strings.HasPrefix(e.Text, shape), e.Text)
		}
	}
}

// Guards against the same for a transaction, at its start and after a change within it.
func TestTransactionWaitsForItsSessionValues(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.nodes[0].open(t, strictDB), f.nodes[0].open(t, strictDB)
	b.mustQuery("SET tenant glue")
	b.mustQuery("READ item")
	a.mustQuery("SET tenant mask")
	primary := f.group.Primary()
	for _, command := range []string{"DISCARD", "SET"} {
		primary.RefuseBusy(command, refusedCommands)
	}
	a.mustQuery("BEGIN")
	a.mustQuery("READ item")
	f.checkSessionValues(a, "tenant=mask", "")
	a.mustQuery("SET tenant paper")
	primary.RefuseBusy("SET", refusedCommands)
	changed := a.mustQuery("WRITE item x").id
	a.mustQuery("COMMIT")
	for _, e := range f.executionsOf(a) {
		if e.ID == changed {
			assert.Equal(t, e.Variables, "tenant=paper")
		}
	}
	assert.DeepEqual(t, b.mustQuery("READ item").rows, []string{"x"})
}

// Guards against a statement that runs in the transaction of another caller because the upstream
// refused to roll that back.
func TestRefusedRollbackEndsTheConnection(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.nodes[0].open(t, strictDB), f.nodes[0].open(t, strictDB)
	a.mustQuery("BEGIN")
	a.mustQuery("WRITE kept-open x")
	f.group.Primary().RefuseBusy("ROLLBACK", 1)
	a.mustQuery("ROLLBACK")
	f.checkAutocommit(b)
	assert.DeepEqual(t, b.mustQuery("READ kept-open").rows, []string{"none"})
}

// Guards against a statement that runs in the transaction with which the proxy itself confirmed
// the primary.
func TestRefusedRollbackOfAConfirmation(t *testing.T) {
	f := newFleet(t, 1)
	a, b := f.nodes[0].open(t, strictDB), f.nodes[0].open(t, strictDB)
	time.Sleep(100 * time.Millisecond)
	f.group.Primary().RefuseBusy("ROLLBACK", 1)
	a.eventually(time.Second, "READ item")
	f.checkAutocommit(b)
}

// checkAutocommit makes statements of a caller and checks that they run outside transactions and
// take effect.
func (f *fleet) checkAutocommit(c *caller) {
	f.t.Helper()
	for range 3 {
		c.mustQuery("WRITE item x")
		assert.DeepEqual(f.t, c.mustQuery("READ item").rows, []string{"x"})
	}
	for _, e := range f.executionsOf(c) {
		assert.Equal(f.t, e.Transaction, 0, "%s", e.Text)
		assert.Assert(f.t, e.Committed || !strings.HasPrefix(e.Text, "WRITE"), "%s", e.Text)
	}
}
