package managed_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"skylarkhinge.dev/skylarkhinge/platform/standin"
)

// upstreamSeries replaces upstreams, while they are cut from each other and orders are late.
type upstreamSeries struct {
	*faultTest
	draws *rand.Rand
	// pendingUntil is when no late order is pending any more.
	pendingUntil time.Time
	// mu guards the fields below. used are the upstreams in use, unused those that have not been yet.
	mu           sync.Mutex
	used, unused []*standin.Member
	events       []string
}

func newUpstreamSeries(ft *faultTest, seed uint64) *upstreamSeries {
	members := ft.group.Members()
	u := &upstreamSeries{
		faultTest: ft, draws: rand.New(rand.NewPCG(seed, 7)),
		used: slices.Clone(members[:groupSize]), unused: members[groupSize:],
	}
	ft.group.PromoteDelay = u.upTo(time.Second)
	ft.inUse = u.inUse
	return u
}

func (u *upstreamSeries) inUse() []*standin.Member {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.used)
}

// run plays rounds until the end of the test, and waits for the orders that are late by then.
func (u *upstreamSeries) run() {
	defer u.workers.Done()
	for len(u.unused) > 1 && time.Now().Before(u.stopAt) {
		u.playRound()
	}
	time.Sleep(time.Until(u.pendingUntil))
}

// playRound replaces one or two upstreams, which leave, or a replica that crashes for good.
func (u *upstreamSeries) playRound() {
	if u.draws.IntN(2) == 0 {
		delay := earliestOrder + u.upTo(latestOrder-earliestOrder)
		u.record("orders late by %s", delay)
		u.store.DelayPromotions(delay, 1+u.draws.IntN(2))
		defer func() {
			u.store.DelayPromotions(0, 0)
			if end := time.Now().Add(delay + u.group.PromoteDelay); end.After(u.pendingUntil) {
				u.pendingUntil = end
			}
		}()
	}
	crashes := u.draws.IntN(4) == 0
	departing := u.join()
	if crashes {
		departing = departing[:1]
		u.crashes.Lock()
		defer u.crashes.Unlock()
	}
	u.pause(time.Second)
	var heal func()
	cutFirst := u.draws.IntN(2) == 0
	if cutFirst {
		heal = u.cut(departing[0])
		u.pause(1500 * time.Millisecond)
	}
	for _, m := range departing {
		if !crashes {
			u.record("%s leaves", m.ID)
			m.SetLeaving(true)
		}
	}
	time.Sleep(300 * time.Millisecond)
	u.pause(2 * time.Second)
	if !cutFirst {
		heal = u.cut(departing[0])
		u.pause(2 * time.Second)
	}
	for _, m := range departing {
		u.end(m, crashes, heal)
	}
	u.pause(2 * time.Second)
	if u.draws.IntN(4) > 0 {
		u.hold(crashes)
	}
	heal()
	u.settle()
}

// hold keeps the cuts for longer than a takeover waits for an upstream that has ended.
func (u *upstreamSeries) hold(crashed bool) {
	d := cutTime
	if crashed {
		d = lossCutTime
	}
	time.Sleep(min(d, time.Until(u.stopAt)))
}

// join puts one or two upstreams into use. It returns as many that are to end, one of them a replica.
func (u *upstreamSeries) join() []*standin.Member {
	count := 1 + u.draws.IntN(2)
	primary, before := u.group.Primary(), u.inUse()
	u.draws.Shuffle(len(before), func(i, j int) { before[i], before[j] = before[j], before[i] })
	if before[0] == primary {
		before[0], before[1] = before[1], before[0]
	}
	for range count {
		m := u.unused[0]
		u.record("%s joins", m.ID)
		u.addReplacement(m)
		u.mu.Lock()
		u.used, u.unused = append(u.used, m), u.unused[1:]
		u.mu.Unlock()
	}
	return before[:count]
}

// cut cuts the primary from all replicas but one, from all or from one, until the returned function is
// called.
func (u *upstreamSeries) cut(receiver *standin.Member) (heal func()) {
	primary, others := u.group.Primary(), u.inUse()
	others = slices.DeleteFunc(others, func(m *standin.Member) bool { return m == primary })
	switch u.draws.IntN(5) {
	case 0, 1, 2:
		others = slices.DeleteFunc(others, func(m *standin.Member) bool { return m == receiver })
	case 3:
		others = others[:1]
	}
	for _, m := range others {
		u.record("%s cut from %s", primary.ID, m.ID)
		primary.SetCutFrom(m, true)
	}
	return func() {
		u.record("%s is not cut any more", primary.ID)
		for _, m := range others {
			primary.SetCutFrom(m, false)
		}
	}
}

// end ends an upstream once it does not lead. One that leads does not crash.
func (u *upstreamSeries) end(m *standin.Member, crashes bool, heal func()) {
	for i := 0; !m.EndReplica(); i++ {
		if crashes {
			return
		}
		if i == 0 {
			u.record("%s leads and leaves", m.ID)
			heal()
		}
		if time.Now().After(u.stopAt.Add(2 * failoverLimit)) {
			u.t.Errorf("%s leads and leaves for too long", m.ID)
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	u.record("%s ends", m.ID)
	u.mu.Lock()
	defer u.mu.Unlock()
	u.used = slices.DeleteFunc(slices.Clone(u.used), func(other *standin.Member) bool { return other == m })
}

// settle waits until all upstreams in use hold the log of a primary that stays, or for the end of the
// test.
func (u *upstreamSeries) settle() {
	settled := func() bool {
		return !u.group.Primary().Leaving() && !slices.ContainsFunc(u.inUse(), func(m *standin.Member) bool { return !m.UpToDate() })
	}
	for !settled() && time.Now().Before(u.stopAt) {
		time.Sleep(5 * time.Millisecond)
	}
	u.record("settled")
}

func (u *upstreamSeries) upTo(d time.Duration) time.Duration {
	return time.Duration(u.draws.Int64N(int64(d)))
}

// pause waits for up to d, at most until the end of the test.
func (u *upstreamSeries) pause(d time.Duration) {
	time.Sleep(min(u.upTo(d), time.Until(u.stopAt)))
}

func (u *upstreamSeries) record(format string, arguments ...any) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.events = append(u.events, time.Now().Format("05.000 ")+fmt.Sprintf(format, arguments...))
}

// history returns what was done so far.
func (u *upstreamSeries) history() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	return slices.Clone(u.events)
}
