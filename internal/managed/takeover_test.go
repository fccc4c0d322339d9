package managed_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/internal/managed"
	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// failoverLimit bounds the time without a primary. The requirement is a change of primary
// within 10 s.
const failoverLimit = 10 * time.Second

func (f *fleet) awaitNewPrimary(old *standin.Member) {
	f.t.Helper()
	waitFor(f.t, failoverLimit, "a new primary", func() bool { return f.group.Primary() != old })
}

// promoters returns the proxies that sent promotions, in order.
func (f *fleet) promoters() []string {
	var holders []string
	for _, p := range f.store.Promotions() {
		holders = append(holders, strings.Fields(p)[2])
	}
	return holders
}

// Guards against a crashed primary that is not replaced, and against lost commits.
func TestCrashedPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 3)
	c := f.nodes[1].open(t, strictDB)
	c.mustQuery("WRITE item kept")
	old := f.group.Primary()
	old.Crash()
	f.awaitNewPrimary(old)
	assert.DeepEqual(t, c.eventually(3*time.Second, "READ item").rows, []string{"kept"})
	c.eventually(3*time.Second, "WRITE item next")
	assert.Equal(t, len(f.group.LostCommits()), 0)
	assert.Equal(t, len(f.promoters()), 1)
}

// Guards against a primary that accepts connections but does not answer.
func TestSilentPrimaryIsReplaced(t *testing.T) {
	f := newFleet(t, 3)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item kept")
	old := f.group.Primary()
	old.SetUnresponsive(true)
	c.query("WRITE item lost")
	f.awaitNewPrimary(old)
	c.eventually(3*time.Second, "WRITE item next")
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against a primary that is partitioned from its replicas: it answers but
// acknowledges no write.
func TestPrimaryThatDoesNotReplicateIsReplaced(t *testing.T) {
	f := newFleet(t, 3)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item kept")
	old := f.group.Primary()
	old.SetReplicationStopped(true)
	assert.Equal(t, c.query("WRITE item hangs").code, managed.CodeInDoubt)
	f.awaitNewPrimary(old)
	assert.DeepEqual(t, c.eventually(3*time.Second, "READ item").rows, []string{"kept"})
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against a planned replacement that stops writes for long or loses one.
func TestLeavingPrimaryIsReplacedWithoutAGap(t *testing.T) {
	f := newFleet(t, 3)
	c := f.nodes[0].open(t, strictDB)
	old := f.group.Primary()
	old.SetLeaving(true)
	end := time.Now().Add(failoverLimit)
	longest, last := time.Duration(0), time.Now()
	for f.group.Primary() == old && time.Now().Before(end) || time.Since(last) > 0 && longest == 0 {
		if c.query("WRITE item v").code == managed.CodeNone {
			longest = max(longest, time.Since(last))
			last = time.Now()
		}
		time.Sleep(5 * time.Millisecond)
	}
	assert.Assert(t, f.group.Primary() != old)
	c.eventually(2*time.Second, "WRITE item after")
	assert.Equal(t, len(f.group.LostCommits()), 0)
	for i := range 3 {
		assert.Equal(t, f.group.Member(i).PausedTerm(), uint64(0))
	}
}

// Guards against a promotion while the replica that may be the only holder of an
// acknowledged commit cannot be reached.
func TestPromotionWaitsForTheOnlyHolder(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item first")
	f.group.Member(1).SetReplicationStopped(true)
	c.mustQuery("WRITE item second")
	f.group.Member(2).Crash()
	old := f.group.Primary()
	old.Crash()
	time.Sleep(2 * time.Second)
	assert.Equal(t, f.group.Primary(), old)
	assert.NilError(t, f.group.Member(2).Restart())
	f.awaitNewPrimary(old)
	assert.Equal(t, f.group.Primary(), f.group.Member(2))
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against two proxies that promote at the same time.
func TestOneProxyPromotes(t *testing.T) {
	f := newFleet(t, 5)
	for _, n := range f.nodes {
		n.open(t, strictDB).mustQuery("READ item")
	}
	old := f.group.Primary()
	old.Crash()
	f.awaitNewPrimary(old)
	time.Sleep(time.Second)
	assert.Equal(t, len(f.promoters()), 1, "%v", f.store.Promotions())
}

// Guards against a takeover without the store, and against a takeover that does not happen
// once the store is available again.
func TestTakeoverWaitsForTheStore(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item kept")
	f.store.SetFault(standin.StoreUnavailable)
	old := f.group.Primary()
	old.Crash()
	time.Sleep(1500 * time.Millisecond)
	assert.Equal(t, f.group.Primary(), old)
	f.store.SetFault(standin.StoreHealthy)
	f.awaitNewPrimary(old)
	c.eventually(3*time.Second, "WRITE item next")
}

// Guards against lost replies to store writes: the proxy may hold the claim without knowing
// it.
func TestTakeoverAfterLostAnswers(t *testing.T) {
	f := newFleet(t, 2)
	f.nodes[0].open(t, strictDB).mustQuery("WRITE item kept")
	f.store.SetFault(standin.StoreLosesAnswers)
	old := f.group.Primary()
	old.Crash()
	time.Sleep(time.Second)
	f.store.SetFault(standin.StoreHealthy)
	f.awaitNewPrimary(old)
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against a second crash right after a promotion that is not handled.
func TestTwoCrashesInARow(t *testing.T) {
	f := newFleet(t, 3)
	c := f.nodes[2].open(t, strictDB)
	c.mustQuery("WRITE item one")
	first := f.group.Primary()
	first.Crash()
	f.awaitNewPrimary(first)
	c.eventually(3*time.Second, "WRITE item two")
	assert.NilError(t, first.Restart())
	time.Sleep(200 * time.Millisecond)
	second := f.group.Primary()
	second.Crash()
	f.awaitNewPrimary(second)
	assert.DeepEqual(t, c.eventually(5*time.Second, "READ item").rows, []string{"two"})
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against a replica that stays paused, and thus receives nothing, after the proxy
// that paused it failed.
func TestAbandonedPauseIsLifted(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[0].open(t, sessionDB)
	c.mustQuery("WRITE item one")
	f.group.Member(1).Pause(2)
	waitFor(t, failoverLimit, "the pause to end", func() bool { return f.group.Member(1).PausedTerm() == 0 })
	assert.Equal(t, len(f.group.LostCommits()), 0)
	c.eventually(3*time.Second, "WRITE item two")
}

// Guards against a proxy that does not learn of a promotion while the store refuses its
// calls.
func TestProxyWithoutStoreFindsTheNewPrimary(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item one")
	f.store.SetFault(standin.StoreUnavailable)
	old := f.group.Primary()
	old.Crash()
	assert.Equal(t, f.group.Promote(f.group.Member(1).ID, 1), 200)
	f.awaitNewPrimary(old)
	assert.DeepEqual(t, c.eventually(3*time.Second, "READ item").rows, []string{"one"})
	c.eventually(3*time.Second, "WRITE item two")
}

// Guards against new work on a leaving upstream after its grace period, while no proxy can
// replace it because the store is unavailable.
func TestLeavingPrimaryGetsNoWorkPastItsTime(t *testing.T) {
	f := newFleet(t, 1)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("READ item")
	old := f.group.Primary()
	f.group.SetPromotable(false)
	old.SetLeaving(true)
	waitFor(t, time.Second, "the entry", func() bool { return len(f.nodes[0].log.find("leaving=true")) > 0 })
	f.store.SetFault(standin.StoreUnavailable)
	time.Sleep(6500 * time.Millisecond)
	before := len(f.group.Executions())
	assert.Equal(t, c.query("READ item").code, managed.CodeBusy)
	assert.Equal(t, len(f.group.Executions()), before)
}

// Guards against a takeover by a proxy that has just started and sees only one replica.
// Entries that expired with the store are restored one after the other, and the replica not
// listed yet may hold the last commits.
func TestNoTakeoverWithAPartOfTheGroup(t *testing.T) {
	f := newFleet(t, 0)
	f.group.Member(0).SetListed(false)
	f.group.Member(2).SetListed(false)
	for i := range 3 {
		f.store.RemoveEntry(f.group.Member(i).ID)
	}
	f.nodes = append(f.nodes, f.start(0))
	waitFor(t, 5*time.Second, "the only entry", func() bool { return len(f.nodes[0].log.find("event=upstream_listed")) > 0 })
	time.Sleep(5 * time.Second)
	assert.Equal(t, len(f.store.Promotions()), 0)
	f.group.Member(0).SetListed(true)
	f.group.Member(2).SetListed(true)
	f.nodes[0].open(t, strictDB).eventually(3*time.Second, "WRITE item x")
	assert.Equal(t, len(f.store.Promotions()), 0)
}

// Guards against a takeover that was begun while no primary was known and replaces the
// listed primary when its entry is back. The replicas must not stay paused either.
func TestTakeoverEndsWhenThePrimaryIsBack(t *testing.T) {
	f := newFleet(t, 0)
	f.group.Member(0).SetListed(false)
	f.group.Member(2).SetListed(false)
	for i := range 3 {
		f.store.RemoveEntry(f.group.Member(i).ID)
	}
	f.nodes = append(f.nodes, f.start(0))
	log := f.nodes[0].log
	waitFor(t, failoverLimit, "a takeover", func() bool { return len(log.find("event=takeover_began")) > 0 })
	f.group.Member(0).SetListed(true)
	f.group.Member(2).SetListed(true)
	waitFor(t, failoverLimit, "the end of the takeover", func() bool {
		return len(log.find("event=takeover_step", "decision=done")) > 0 || len(f.store.Promotions()) > 0
	})
	f.nodes[0].open(t, strictDB).eventually(3*time.Second, "WRITE item x")
	for _, p := range f.store.Promotions() {
		assert.Equal(t, strings.Fields(p)[1], f.group.Member(0).ID, "%s", p)
	}
	assert.Equal(t, f.group.Primary(), f.group.Member(0))
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against a proxy that repeats a promotion with a fencing token that the platform
// refused.
func TestRefusedTokenIsNotUsedAgain(t *testing.T) {
	f := newFleet(t, 1)
	f.nodes[0].open(t, strictDB).mustQuery("READ item")
	f.group.SetPromotable(false)
	f.group.Primary().Crash()
	refused := func() []string { return f.nodes[0].log.find("event=promotion_ordered", "error=") }
	waitFor(t, failoverLimit, "three refused orders", func() bool { return len(refused()) >= 3 })
	tokens := map[string]bool{}
	for _, line := range refused() {
		_, rest, _ := strings.Cut(line, " fence=")
		token, _, _ := strings.Cut(rest, " ")
		assert.Assert(t, !tokens[token], "token %s was used twice", token)
		tokens[token] = true
	}
}

// Guards against a promotion over the primary by a proxy that the store turned away while all
// members that it knows were replaced.
func TestTakeoverReadsTheMembersAddedMeanwhile(t *testing.T) {
	f := newReplacementFleet(t, 2, groupSize)
	f.group.PromoteDelay = 500 * time.Millisecond
	defer f.write(f.nodes[0])()
	rejected := f.nodes[1].settings.VM
	f.nodes[1].open(t, strictDB).mustQuery("READ item")
	f.store.RejectProxy(rejected)
	replaced := map[string]bool{}
	for i := range groupSize {
		f.addReplacement(f.group.Member(groupSize + i))
		replaced[f.group.Member(i).ID] = true
	}
	time.Sleep(500 * time.Millisecond)
	old := f.group.Primary()
	for i := range groupSize {
		f.group.Member(i).SetLeaving(true)
	}
	f.awaitNewPrimary(old)
	// The other proxy's claim ends after its lease.
	time.Sleep(3500 * time.Millisecond)
	f.store.AcceptProxy(rejected)
	time.Sleep(3 * time.Second)
	for _, p := range f.store.Promotions() {
		assert.Assert(t, !replaced[strings.Fields(p)[1]], "%s", p)
	}
	assert.Equal(t, len(f.group.LostCommits()), 0)
	assert.Assert(t, !replaced[f.group.Primary().ID])
}

// newFleetWithLeavingPrimary returns a fleet under writes whose primary leaves after another
// upstream was added.
func newFleetWithLeavingPrimary(t *testing.T, proxies int) (*fleet, *standin.Member) {
	f := newReplacementFleet(t, proxies, 1)
	f.group.PromoteDelay = 500 * time.Millisecond
	for _, n := range f.nodes {
		t.Cleanup(f.write(n))
	}
	old := f.group.Primary()
	f.addReplacement(f.group.Member(groupSize))
	time.Sleep(100 * time.Millisecond)
	old.SetLeaving(true)
	return f, old
}

// Guards against a switchover that promotes a replica paused for an earlier successor, which was
// lost: commits that only the primary and the successor hold would be lost.
func TestLostSuccessorIsReplacedWithoutLoss(t *testing.T) {
	f, old := newFleetWithLeavingPrimary(t, 3)
	waitFor(t, failoverLimit, "an order", func() bool { return len(f.store.Promotions()) > 0 })
	order := strings.Fields(f.store.Promotions()[0])
	// The successor receives commits until it is lost.
	time.Sleep(200 * time.Millisecond)
	f.lose(order[1])
	for _, n := range f.nodes {
		if n.settings.VM == order[2] {
			n.stop()
		}
	}
	f.awaitNewPrimary(old)
	assert.Assert(t, f.group.Primary().ID != order[1])
	assert.Equal(t, len(f.group.LostCommits()), 0)
	for i := range groupSize + 1 {
		assert.Equal(t, f.group.Member(i).PausedTerm(), uint64(0))
	}
}

// Guards against promotions by two proxies within the lease time of a claim, after the order of
// the first one had no effect.
func TestClaimOutlastsAnOrderWithoutEffect(t *testing.T) {
	const claimTTL = 3 * time.Second
	f, old := newFleetWithLeavingPrimary(t, 5)
	var holders []string
	var ordered time.Time
	waitFor(t, 2*failoverLimit, "a new primary", func() bool {
		for _, p := range f.store.Promotions()[len(holders):] {
			words := strings.Fields(p)
			if len(holders) == 0 {
				f.lose(words[1])
			} else if last := holders[len(holders)-1]; last != words[2] {
				assert.Assert(t, time.Since(ordered) >= claimTTL, "%s promotes %v after %s", words[2], time.Since(ordered), last)
			}
			holders, ordered = append(holders, words[2]), time.Now()
		}
		return f.group.Primary() != old
	})
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// lose makes an upstream crash for good. Its entry expires as well.
func (f *fleet) lose(id string) {
	for i := range groupSize + 1 {
		if m := f.group.Member(i); m.ID == id {
			m.Crash()
		}
	}
	f.store.RemoveEntry(id)
}

// Guards against a healthy primary that is replaced because its replicas are paused, and with it
// against the loss of what it acknowledged before.
func TestPausedReplicasAreNoReasonToReplaceThePrimary(t *testing.T) {
	f := newFleet(t, 2)
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item one")
	f.group.Member(1).Pause(2)
	c.mustQuery("WRITE item two")
	f.group.Member(2).Pause(2)
	old := f.group.Primary()
	c.eventually(failoverLimit, "WRITE item three")
	assert.Equal(t, f.group.Primary(), old)
	for _, p := range f.store.Promotions() {
		assert.Equal(t, strings.Fields(p)[1], old.ID, "%s", p)
	}
	assert.Equal(t, len(f.group.LostCommits()), 0)
}

// Guards against the loss of commits that only a member holds which was added while a promotion
// was in progress.
func TestMemberAddedDuringAPromotionLosesNoCommit(t *testing.T) {
	f := newReplacementFleet(t, 2, 1)
	f.group.PromoteDelay = time.Second
	c := f.nodes[0].open(t, strictDB)
	c.mustQuery("WRITE item kept")
	old := f.group.Primary()
	old.SetLeaving(true)
	waitFor(t, failoverLimit, "an order", func() bool { return len(f.store.Promotions()) > 0 })
	added := f.group.Member(groupSize)
	f.addReplacement(added)
	waitFor(t, time.Second, "a pause of the added member", func() bool { return added.PausedTerm() != 0 })
	assert.Equal(t, f.group.Primary(), old)
	f.awaitNewPrimary(old)
	assert.Equal(t, added.PausedTerm(), uint64(0))
	c.eventually(3*time.Second, "WRITE item next")
	assert.Equal(t, len(f.group.LostCommits()), 0)
}
