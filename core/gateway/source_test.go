package gateway

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// Guards against followers that read from the store while another watcher of their
// availability zone answers, and against a watcher that is not asked again.
func TestFollowersUseTheOtherWatcher(t *testing.T) {
	watchers := Watchers(fleetWithStatus(12, 1), "zone-0")
	var follower entity.VM
	for _, p := range fleetWithStatus(12, 1) {
		if !Contains(watchers, p.VM) {
			follower = p.VM
		}
	}
	var s WatchSource
	now := entity.Time(time.Hour)
	assigned, ok := s.Next(now, watchers, follower)
	assert.Assert(t, ok)
	s.RecordFailure(now, assigned.VM, false)
	other, ok := s.Next(now, watchers, follower)
	assert.Assert(t, ok && other.VM != assigned.VM)
	s.RecordFailure(now, other.VM, false)
	_, ok = s.Next(now, watchers, follower)
	assert.Assert(t, !ok)

	later := now.Add(minWatcherPause)
	again, ok := s.Next(later, watchers, follower)
	assert.Assert(t, ok)
	assert.Equal(t, again.VM, assigned.VM)
	for range 10 {
		s.RecordFailure(later, assigned.VM, false)
	}
	again, _ = s.Next(later.Add(maxWatcherPause/2-1), watchers, follower)
	assert.Equal(t, again.VM, other.VM)
	s.RecordAnswer(assigned.VM)
	again, _ = s.Next(later, watchers, follower)
	assert.Equal(t, again.VM, assigned.VM)
}

// Guards against a fleet that asks a store that is down again and again, and against one
// that does not ask it any more.
func TestStoreThatIsDownIsAskedRarely(t *testing.T) {
	var s WatchSource
	calls := 0
	const outage = 20 * time.Second
	for now := entity.Time(0); now < entity.Time(outage); now = now.Add(50 * time.Millisecond) {
		if s.StoreDue(now) {
			calls++
			s.RecordStore(now, false)
		}
	}
	assert.Assert(t, calls >= int(outage/maxStorePause) && calls <= int(outage/(maxStorePause/2))+3, "%d calls", calls)
	s.RecordStore(1, true)
	assert.Assert(t, s.StoreDue(1))
}

// Guards against a proxy that waits for a silent watcher again and again.
func TestSilentWatcherIsLeftAlone(t *testing.T) {
	watchers := Watchers(fleetWithStatus(12, 1), "zone-0")
	var s WatchSource
	s.RecordFailure(1, watchers[0].VM, true)
	s.RecordFailure(1, watchers[1].VM, true)
	early := entity.Time(1).Add(silentWatcherPause/2 - 1)
	_, ok := s.Next(early, watchers, "follower")
	assert.Assert(t, !ok)
}

// Guards against a watcher that follows another one, and against failures that are kept
// for proxies that are no longer watchers.
func TestWatchersReadFromTheStore(t *testing.T) {
	watchers := Watchers(fleetWithStatus(12, 1), "zone-0")
	var s WatchSource
	_, ok := s.Next(1, watchers, watchers[0].VM)
	assert.Assert(t, !ok)
	s.RecordFailure(1, "gone", false)
	s.Next(1, watchers, watchers[0].VM)
	assert.Equal(t, len(s.failures), 0)
}

// Guards against followers that read from the store for seconds after a partition has
// healed, because their watchers did not answer during it.
func TestWatchersAreAskedAgainAfterAPartition(t *testing.T) {
	watchers := Watchers(fleetWithStatus(12, 1), "zone-0")
	var source WatchSource
	at := entity.Time(time.Hour)
	for _, w := range watchers {
		source.RecordFailure(at, w.VM, true)
	}
	_, ok := source.Next(at, watchers, "vm-x")
	assert.Assert(t, !ok)
	source.RecordStore(at, true)
	_, ok = source.Next(at, watchers, "vm-x")
	assert.Assert(t, !ok, "the store did not fail, so the watchers did")
	source.RecordStore(at, false)
	source.RecordStore(at.Add(time.Second), true)
	_, ok = source.Next(at.Add(time.Second), watchers, "vm-x")
	assert.Assert(t, ok)
}
