package flood

import (
	"math"
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// rateWindow is long enough to average over bursts of a few requests and
	// short enough to follow a load spike within the latency target of the most
	// urgent rank.
	rateWindow = 250 * time.Millisecond
	// costRatioWeight is the weight of a new sample in the moving average.
	costRatioWeight = 1.0 / 16
	// maxCostRatio limits the effect of a single outlier on the estimate.
	maxCostRatio = 16
	// defaultCost is assumed for items without an expected cost.
	defaultCost = time.Millisecond
	// maxCost bounds estimates so that their sum over a full queue does not overflow.
	maxCost = time.Hour
)

// rateMeter estimates a rate over a sliding window. It weights the sum of the previous
// fixed window by the part of it that the sliding window still covers.
type rateMeter struct {
	start     entity.Time
	prev, cur float64
}

// rotate starts a new window if the current one has ended.
func (m *rateMeter) rotate(now entity.Time) {
	elapsed := now.Sub(m.start)
	if elapsed < rateWindow {
		return
	}
	m.prev = m.cur
	if elapsed >= 2*rateWindow {
		m.prev = 0
	}
	m.cur = 0
	m.start = now - entity.Time(elapsed%rateWindow)
}

func (m *rateMeter) add(now entity.Time, amount float64) {
	m.rotate(now)
	m.cur += amount
}

// perNano returns the rate per nanosecond. For slot time, that is the average number
// of slots that it occupies.
func (m *rateMeter) perNano(now entity.Time) float64 {
	m.rotate(now)
	elapsed := float64(now.Sub(m.start)) / float64(rateWindow)
	return (m.prev*(1-elapsed) + m.cur) / float64(rateWindow)
}

// costEstimator keeps an exponential moving average of the ratio of measured to
// expected slot time.
type costEstimator struct {
	ratio float64
}

func (e *costEstimator) observe(expected, measured time.Duration) {
	r := float64(measured) / float64(baseCost(expected))
	r = math.Min(r, maxCostRatio)
	e.ratio += (r - e.ratio) * costRatioWeight
}

// estimate returns the expected slot time of an item, corrected by the measured
// ratio.
func (e *costEstimator) estimate(expected time.Duration) time.Duration {
	return min(max(1, time.Duration(float64(baseCost(expected))*e.ratio)), maxCost)
}

// baseCost replaces a missing cost by the default and limits it to maxCost.
func baseCost(expected time.Duration) time.Duration {
	if expected <= 0 {
		return defaultCost
	}
	return min(expected, maxCost)
}
