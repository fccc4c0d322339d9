package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// tierSize is the number of samples in one tier.
	tierSize = 128
	// The minimum time between the samples of each tier. The resolution of the
	// lag is 10 ms up to 1.28 s, 100 ms up to 12.8 s and 1 s up to 128 s.
	fineGap   = 10 * time.Millisecond
	mediumGap = 100 * time.Millisecond
	coarseGap = time.Second
)

// sample records that the primary's log ended at position or later at time at.
type sample struct {
	at       entity.Time
	position entity.Position
}

// tier is a ring buffer of samples that are at least gap apart, oldest first.
type tier struct {
	gap   time.Duration
	ring  [tierSize]sample
	first int
	count int
}

// get returns the i-th oldest sample.
func (t *tier) get(i int) sample { return t.ring[(t.first+i)%tierSize] }

// push appends a sample, unless it is too close to the last one, and drops the oldest
// sample of a full ring.
func (t *tier) push(s sample) {
	if t.count > 0 && s.at.Sub(t.get(t.count-1).at) < t.gap {
		return
	}
	if t.count == tierSize {
		t.first = (t.first + 1) % tierSize
		t.count--
	}
	t.ring[(t.first+t.count)%tierSize] = s
	t.count++
}

// samples holds the primary's log positions at earlier times, at three resolutions.
// All are in the history of the last confirmed primary, so both the offsets and the
// times ascend.
type samples struct {
	latest    sample
	hasLatest bool
	tiers     [3]tier
}

// add stores the position of a confirmed primary. While the position doesn't change,
// only the time of the latest sample advances: a member that has applied the position
// misses nothing up to that time.
func (s *samples) add(added sample) {
	if s.hasLatest && s.latest.position != added.position {
		for i, gap := range [...]time.Duration{fineGap, mediumGap, coarseGap} {
			s.tiers[i].gap = gap
			s.tiers[i].push(s.latest)
		}
	}
	s.latest, s.hasLatest = added, true
}

// dropDiverged drops the samples that are not in the log of a new primary.
func (s *samples) dropDiverged(primary *entity.MemberStatus) {
	s.hasLatest = s.hasLatest && survivalInLog(primary, s.latest.position) == SurvivalHeld
	for i := range s.tiers {
		t := &s.tiers[i]
		for t.count > 0 && survivalInLog(primary, t.get(t.count-1).position) != SurvivalHeld {
			t.count--
		}
	}
}

// appliedUntil returns the latest known time up to which a member with the given
// status has applied all writes, and whether there is one.
func (s *samples) appliedUntil(status *entity.MemberStatus) (entity.Time, bool) {
	if s.hasLatest && hasApplied(status, s.latest.position) {
		return s.latest.at, true
	}
	latest, ok := entity.Time(0), false
	for i := range s.tiers {
		if at, has := s.tiers[i].appliedUntil(status); has && (!ok || at > latest) {
			latest, ok = at, true
		}
	}
	return latest, ok
}

// appliedUntil returns the time of the tier's latest sample that a member with the
// given status has applied.
func (t *tier) appliedUntil(status *entity.MemberStatus) (entity.Time, bool) {
	low, high := 0, t.count
	for low < high {
		middle := (low + high) / 2
		if t.get(middle).position.Offset <= status.Applied.Offset {
			low = middle + 1
		} else {
			high = middle
		}
	}
	// A member whose log has diverged has applied only the samples before that point.
	for i := low - 1; i >= 0; i-- {
		if s := t.get(i); hasApplied(status, s.position) {
			return s.at, true
		}
	}
	return 0, false
}

// hasApplied reports whether reads at a member with status s see the position p.
func hasApplied(s *entity.MemberStatus, p entity.Position) bool {
	return s.Applied.Offset >= p.Offset && survivalInLog(s, p) == SurvivalHeld
}
