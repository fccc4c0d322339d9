package floodsim

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

const (
	// seriesStep is the resolution of the plots.
	seriesStep = 500 * time.Millisecond
	// maxDelayMicros is the largest delay that the histograms record, in microseconds;
	// histogramDigits is their precision in significant digits.
	maxDelayMicros  = int64(time.Minute / time.Microsecond)
	histogramDigits = 3
)

// collector aggregates the results of a run by phase and rank. Attempts count in the
// phase in which they were offered, orders in that of their first attempt. Slot time
// and goodput count in the phase in which the execution ended, so that a backlog that
// drains after a flood does not count towards the flood.
type collector struct {
	slots  int
	spans  []span
	stats  [][]rankStats
	series [][]float64
}

// rankStats has the results of one rank in one phase.
type rankStats struct {
	firstAttempts, withinTarget, ordersAnswered, retries, refused, expired int
	demand, retryDemand, goodput, slotTime                                 time.Duration
	refusalDelay, refusalWait                                              *hdrhistogram.Histogram
}

func newCollector(d Deployment, phases PhaseDurations) *collector {
	c := &collector{slots: d.totalSlots(), spans: phases.spans()}
	steps := int(c.spans[len(c.spans)-1].to/entity.Time(seriesStep)) + 1
	for range Ranks() {
		c.series = append(c.series, make([]float64, steps))
	}
	for range c.spans {
		row := make([]rankStats, len(Ranks()))
		for i := range row {
			row[i].refusalDelay = hdrhistogram.New(1, maxDelayMicros, histogramDigits)
			row[i].refusalWait = hdrhistogram.New(1, maxDelayMicros, histogramDigits)
		}
		c.stats = append(c.stats, row)
	}
	return c
}

// statsAt returns the results of a rank in the phase at time t, or nil between phases.
func (c *collector) statsAt(t entity.Time, rank int) *rankStats {
	for i, s := range c.spans {
		if s.contains(t) {
			return &c.stats[i][rank]
		}
	}
	return nil
}

// recordOffer records an offered attempt. number is that of the attempt; 0 is a
// duplicate.
func (c *collector) recordOffer(now entity.Time, o *order, number int) {
	s := c.statsAt(now, o.rank)
	if s == nil {
		return
	}
	if number == 1 {
		s.firstAttempts++
		s.demand += o.cost
		return
	}
	s.retries++
	s.retryDemand += o.cost
}

// recordRefusal records an attempt refused at now, and the delay since the decision was
// due.
func (c *collector) recordRefusal(o *order, a *attempt, now, due entity.Time) {
	s := c.statsAt(a.offered, o.rank)
	if s == nil {
		return
	}
	s.refused++
	if now > a.offered {
		s.expired++
	}
	recordDelay(s.refusalDelay, now.Sub(due))
	recordDelay(s.refusalWait, now.Sub(a.offered))
}

func recordDelay(h *hdrhistogram.Histogram, d time.Duration) {
	// The value is clamped to the histogram's range, so there is no error.
	_ = h.RecordValue(min(d.Microseconds(), maxDelayMicros))
}

// recordRun records the execution of an attempt that ended at now. inTime is set if it
// met its deadline, answered if an earlier attempt had already answered the order.
func (c *collector) recordRun(now entity.Time, o *order, a *attempt, inTime, answered bool) {
	if s := c.statsAt(now, o.rank); s != nil {
		s.slotTime += o.cost
	}
	if !inTime {
		return
	}
	if s := c.statsAt(o.at, o.rank); s != nil && !answered {
		s.ordersAnswered++
	}
	if a.number != 1 {
		return
	}
	if i := int(now / entity.Time(seriesStep)); i < len(c.series[o.rank]) {
		c.series[o.rank][i] += float64(o.cost) / (float64(c.slots) * float64(seriesStep))
	}
	if s := c.statsAt(now, o.rank); s != nil {
		s.goodput += o.cost
	}
	s := c.statsAt(a.offered, o.rank)
	if s == nil {
		return
	}
	if now.Sub(a.offered) <= Ranks()[o.rank].Target {
		s.withinTarget++
	}
}

func (c *collector) phaseResults() []PhaseResult {
	var out []PhaseResult
	for i, s := range c.spans {
		capacity := float64(s.length()) * float64(c.slots)
		p := PhaseResult{Phase: s.name}
		for rank := range c.stats[i] {
			r := c.stats[i][rank].result(rank, capacity)
			p.Utilization += r.SlotShare
			p.Goodput += r.Goodput
			p.Ranks = append(p.Ranks, r)
		}
		out = append(out, p)
	}
	return out
}

func (s *rankStats) result(rank int, capacity float64) RankResult {
	r := Ranks()[rank]
	return RankResult{
		Rank:            r.Name,
		FirstAttempts:   s.firstAttempts,
		Retries:         s.retries,
		Demand:          float64(s.demand) / capacity,
		RetryDemand:     float64(s.retryDemand) / capacity,
		WithinTarget:    ratio(s.withinTarget, s.firstAttempts),
		OrdersAnswered:  ratio(s.ordersAnswered, s.firstAttempts),
		Goodput:         float64(s.goodput) / capacity,
		SlotShare:       float64(s.slotTime) / capacity,
		KeptShare:       r.KeptShare,
		Refused:         s.refused,
		Expired:         s.expired,
		RefusalDelayP99: p99(s.refusalDelay),
		RefusalWaitP99:  p99(s.refusalWait),
	}
}

func ratio(a, b int) float64 {
	if b == 0 {
		return 0
	}
	return float64(a) / float64(b)
}

func p99(h *hdrhistogram.Histogram) time.Duration {
	return time.Duration(h.ValueAtQuantile(99)) * time.Microsecond
}
