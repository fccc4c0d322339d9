package proxy

import (
	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/group"
	"skylarkhinge.dev/skylarkhinge/internal/telemetry"
)

// roundCounter counts the probe rounds of an owned database by their result.
// Rounds settle in order: those before pending are settled and counted; those from
// pending up to next have started.
type roundCounter struct {
	metrics       *telemetry.DatabaseMetrics
	pending, next group.RoundID
}

// countRounds counts the rounds that started in a tick and those that settled
// since the last start. No result is missed, since a group remembers more rounds
// than can be pending.
func (o *observer) countRounds(probes []core.GroupProbeRequest) {
	for i := range probes {
		p := &probes[i]
		c, ok := o.rounds[p.Database]
		if !ok {
			c = &roundCounter{metrics: o.metrics.ForDatabase(string(p.Database)), pending: p.Round, next: p.Round}
			o.rounds[p.Database] = c
		}
		if p.Round < c.next {
			continue
		}
		c.next = p.Round + 1
		c.metrics.CountRoundStep(telemetry.RoundStarted)
		o.countSettledRounds(c, p)
	}
}

// countSettledRounds counts the results of rounds up to the first pending one.
func (o *observer) countSettledRounds(c *roundCounter, p *core.GroupProbeRequest) {
	for ; c.pending < c.next; c.pending++ {
		state, ok := o.proxy.node.RoundState(p.Database, c.pending)
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
