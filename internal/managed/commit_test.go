package managed_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// Guards against commits that are reported although only the lost primary and an upstream hold them
// which joined after the order, while the target of the order receives nothing.
func TestCommitThatTheTargetLacksIsNotReported(t *testing.T) {
	for name, trouble := range map[string]func(*ledger){
		"none":                          func(*ledger) {},
		"without the store":             func(l *ledger) { l.store.RejectProxy(l.nodes[1].settings.VM) },
		"without the store or a holder": func(l *ledger) { l.store.RejectProxy(l.nodes[1].settings.VM); l.nodes[0].cut.Store(true) },
		"without a holder":              func(l *ledger) { l.nodes[0].cut.Store(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newWritingFleet(t, 2)
			old := l.cutPrimary()
			trouble(l)
			l.awaitOrders(l.store.Promotions, 1)
			target := l.member(strings.Fields(l.store.Promotions()[0])[1])
			target.SetReplicationStopped(true)
			l.addReplacement(l.group.Member(groupSize))
			l.awaitNewPrimary(old)
			target.SetReplicationStopped(false)
			l.check(l.nodes, l.group.Members()...)
			assert.Assert(t, len(l.group.LostCommits()) > 0, "the primary acknowledged nothing that is lost")
		})
	}
}

// member returns an upstream by its name.
func (f *fleet) member(id string) *standin.Member {
	for _, m := range f.group.Members() {
		if m.ID == id {
			return m
		}
	}
	f.t.Fatalf("no upstream %s", id)
	return nil
}
