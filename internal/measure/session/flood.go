package session

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/internal/model"
)

// TargetFirstRankShare is the fraction of the first rank's requests that are answered
// within their target latency during a flood of the last rank.
const TargetFirstRankShare = 0.99

// FloodResult is the result of one class in one scenario.
type FloodResult struct {
	Deployment string
	Scenario   string
	Class      string
	// Rate is the number of requests per second that callers send, Answered the number
	// that complete.
	Rate, Answered float64
	// InTime is the fraction of the sent requests answered within the target.
	InTime   float64
	P50, P99 time.Duration
	// NotRun and Unknown are the numbers of requests with these results.
	NotRun  int
	Unknown int
}

// floodStreams returns the streams of a scenario. slots is the number of slots of one
// upstream; with 5 ms per request, a slot serves 200 requests per second. browsing and
// dispatch are fractions of the capacity of one upstream.
func floodStreams(slots int, browsing, dispatch float64) []model.OpenLoad {
	requestsPerSlot := 200.0
	capacity := requestsPerSlot * float64(slots)
	return []model.OpenLoad{
		{Class: model.ClassOrder, Rate: 0.25 * capacity, Sessions: 200, Target: 250 * time.Millisecond},
		{Class: model.ClassDispatch, Rate: dispatch * capacity, Sessions: 200, Target: time.Second},
		{Class: model.ClassBrowse, Rate: browsing * capacity, Sessions: 500, Target: 2 * time.Second},
	}
}

// floodScenarios has the load of browsing and dispatch in each scenario, as a fraction of
// the capacity of one upstream. Two replicas can serve browsing, so its maximum is 2.
var floodScenarios = []struct {
	name               string
	browsing, dispatch float64
}{
	{"normal", 0.4, 0.15},
	{"10x browsing", 4, 0.15},
	{"10x dispatch", 0.4, 1.5},
}

// measureFloods runs all scenarios in a deployment.
func measureFloods(d Deployment, seed uint64, duration time.Duration) []FloodResult {
	var out []FloodResult
	for _, sc := range floodScenarios {
		config := d.Config(seed)
		w := model.New(config)
		w.Run(warmUp)
		streams := floodStreams(config.Slots, sc.browsing, sc.dispatch)
		var stats []*model.OpenLoadStats
		for _, s := range streams {
			stats = append(stats, model.StartOpenLoad(w, s, duration))
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
