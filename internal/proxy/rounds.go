package proxy

import (
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// roundCounter counts the probe rounds of an owned database by their result.
// Rounds are decided in order: those before firstPending are decided and counted,
// those from firstPending up to next have started.
type roundCounter struct {
	metrics            *telemetry.DatabaseMetrics
	firstPending, next group.RoundID
}

// countRounds counts the rounds that started in a tick and those that were decided
// since the last start. No result is missed, since a group remembers more rounds
// than can be pending.
func (o *observer) countRounds(probes []core.GroupProbeRequest) {
	for i := range probes {
		p := &probes[i]
		c, ok := o.rounds[p.Database]
		if !ok {
			c = &roundCounter{metrics: o.metrics.ForDatabase(string(p.Database)), firstPending: p.Round, next: p.Round}
			o.rounds[p.Database] = c
		}
		if p.Round < c.next {
			continue
		}
		c.next = p.Round + 1
		c.metrics.CountRoundStep(telemetry.RoundStarted)
		o.countDecidedRounds(c, p)
	}
}

// countDecidedRounds counts the results of rounds up to the first pending one.
func (o *observer) countDecidedRounds(c *roundCounter, p *core.GroupProbeRequest) {
	for ; c.firstPending < c.next; c.firstPending++ {
		state, ok := o.proxy.node.RoundState(p.Database, c.firstPending)
		switch {
		case !ok || state == group.RoundPending:
			return
		case state == group.RoundConfirmed:
			c.metrics.CountRoundStep(telemetry.RoundConfirmed)
		default:
			c.metrics.CountRoundStep(telemetry.RoundFailed)
		}
	}
}
