package managed_test

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

const (
	// receivingTime is how long only one replica receives commits before it ends.
	receivingTime = 1500 * time.Millisecond
	// cutTime is how long the primary stays cut from its replicas after that. lossCutTime is longer than
	// a takeover waits for a replica that was lost without an announcement.
	cutTime     = 7 * time.Second
	lossCutTime = 18 * time.Second
)

// setOnlyReceiver cuts the primary from all replicas but one, or ends these cuts.
func (f *fleet) setOnlyReceiver(primary, receiver *standin.Member, cut bool) {
	for _, m := range f.group.Members() {
		if m != primary && m != receiver {
			primary.SetCutFrom(m, cut)
		}
	}
}

// departure is a primary that only one replica receives, which ends.
type departure struct {
	*ledger
	primary, receiver *standin.Member
	// proxies are those that run, inUse the upstreams that do in the end.
	proxies []*node
	inUse   []*standin.Member
}

// newDeparture replaces a replica that leaves, or will crash, and cuts the primary from the others.
func newDeparture(l *ledger, announced bool) *departure {
	d := &departure{ledger: l, primary: l.group.Primary(), proxies: slices.Clone(l.nodes)}
	members := l.group.Members()
	d.receiver = members[(slices.Index(members, d.primary)+1)%groupSize]
	d.inUse = slices.DeleteFunc(members, func(m *standin.Member) bool { return m == d.receiver })
	l.addReplacement(l.group.Member(groupSize))
	time.Sleep(500 * time.Millisecond)
	d.receiver.SetLeaving(announced)
	time.Sleep(500 * time.Millisecond)
	l.setOnlyReceiver(d.primary, d.receiver, true)
	return d
}

// finish keeps the cuts for a while, ends them, and checks the writes.
func (d *departure) finish(cut time.Duration) {
	d.t.Helper()
	time.Sleep(cut)
	d.setOnlyReceiver(d.primary, d.receiver, false)
	d.check(d.proxies, d.inUse...)
}

// Guards against commits that are confirmed because a replica holds them which ends.
func TestCommitReceivedOnlyByALeavingReplicaIsNotLost(t *testing.T) {
	play := func(name string, announced bool, cut time.Duration, prepare func(*ledger), disturb, ended func(*departure)) {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			l := newWritingFleet(t, 3)
			prepare(l)
			d := newDeparture(l, announced)
			time.Sleep(receivingTime / 2)
			disturb(d)
			time.Sleep(receivingTime / 2)
			d.receiver.End()
			ended(d)
			d.finish(cut)
		})
	}
	nothing := func(*departure) {}
	none := func(*ledger) {}
	play("leaves", true, cutTime, none, nothing, nothing)
	play("leaves, primary crashes", true, cutTime, none, nothing, func(d *departure) {
		d.primary.End()
		d.inUse = slices.DeleteFunc(d.inUse, func(m *standin.Member) bool { return m == d.primary })
	})
	play("leaves, proxy is killed", true, cutTime, none, func(d *departure) {
		d.kill(d.proxies[0])
		d.proxies = d.proxies[1:]
	}, nothing)
	play("leaves, proxy without store", true, cutTime, func(l *ledger) { l.store.RejectProxy(l.nodes[1].settings.VM) }, nothing, nothing)
	play("crashes", false, lossCutTime, none, nothing, nothing)
}

// Guards against a leaving primary that is not replaced because proxies do not answer an announcement.
func TestSwitchoverDoesNotWaitForSilentProxies(t *testing.T) {
	l := newWritingFleet(t, 3)
	old := l.group.Primary()
	// No takeover begins before the list of members has settled.
	time.Sleep(4 * time.Second)
	for _, n := range l.nodes {
		n.announcementsLost.Store(true)
	}
	old.SetLeaving(true)
	waitFor(t, 2*time.Second+l.group.PromoteDelay, "a new primary", func() bool { return l.group.Primary() != old })
	l.check(l.nodes, l.group.Members()[:groupSize]...)
}

// Guards against a takeover that waits for commits that no caller was told of: the reply to a commit may
// cover others that no replica has received.
func TestConcurrentCommitsDoNotDelayATakeover(t *testing.T) {
	for name, trouble := range map[string]func(l *ledger, primary *standin.Member){
		"crash":          func(_ *ledger, primary *standin.Member) { primary.Crash() },
		"no replication": func(l *ledger, primary *standin.Member) { l.setOnlyReceiver(primary, nil, true) },
	} {
		for i := range 3 {
			t.Run(fmt.Sprintf("%s-%d", name, i), func(t *testing.T) {
				t.Parallel()
				l := newWritingFleet(t, 3)
				old := l.group.Primary()
				// No takeover begins before the list of members has settled.
				time.Sleep(4 * time.Second)
				trouble(l, old)
				waitFor(t, 5*time.Second, "a new primary", func() bool { return l.group.Primary() != old })
				l.check(l.nodes)
			})
		}
	}
}
