package session

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/internal/model"
)

// TargetUrgentShare is the part of the first rank's requests that are answered
// within their target during a flood of the last rank.
const TargetUrgentShare = 0.99

// FloodResult is one class's outcome in a run of whole nodes.
type FloodResult struct {
	Deployment string
	Scenario   string
	Class      string
	// Rate is what callers offer, Answered what is done, per second.
	Rate, Answered float64
	// InTime is the part of the offered requests answered within the target.
	InTime   float64
	P50, P99 time.Duration
	NotRun   int
	Unknown  int
}

// floodStreams returns the streams of a scenario. slots is the number of slots
// of one upstream; with 5 ms of work a slot serves 200 requests a second.
func floodStreams(slots int, browsing, dispatch float64) []model.Stream {
	perSlot := 200.0
	capacity := perSlot * float64(slots)
	return []model.Stream{
		{Class: model.ClassOrder, Rate: 0.25 * capacity, Sessions: 200, Target: 250 * time.Millisecond},
		{Class: model.ClassDispatch, Rate: dispatch * capacity, Sessions: 200, Target: time.Second},
		{Class: model.ClassBrowse, Rate: browsing * capacity, Sessions: 500, Target: 2 * time.Second},
	}
}

// floodScenarios are parts of one upstream's capacity that browsing and
// dispatch ask for. Two replicas can serve twice that capacity of browsing.
var floodScenarios = []struct {
	name               string
	browsing, dispatch float64
}{
	{"normal", 0.4, 0.15},
	{"10x browsing", 4, 0.15},
	{"10x dispatch", 0.4, 1.5},
}

func measureFloods(d Deployment, seed uint64, duration time.Duration) []FloodResult {
	var out []FloodResult
	for _, sc := range floodScenarios {
		config := d.Config(seed)
		w := model.New(config)
		w.Run(warmUp)
		streams := floodStreams(config.Slots, sc.browsing, sc.dispatch)
		var stats []*model.StreamStats
		for _, s := range streams {
			stats = append(stats, model.StartStream(w, s, duration))
		}
		w.Run(duration + warmUp)
		for i, s := range streams {
			t := stats[i]
			out = append(out, FloodResult{
				Deployment: d.Name, Scenario: sc.name, Class: s.Class, Rate: s.Rate,
				Answered: float64(t.Results[core.ResultDone]) / duration.Seconds(),
				InTime:   t.InTimeShare(), P50: t.Quantile(0.5), P99: t.Quantile(0.99),
				NotRun: t.Results[core.ResultNotRun], Unknown: t.Results[core.ResultUnknown],
			})
		}
	}
	return out
}
