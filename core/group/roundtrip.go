package group

import (
	"time"

	"skylarkhinge.dev/skylarkhinge/core/entity"
)

// roundTripWeight sets how fast the estimate rises towards longer round trips:
// within some tens of probes, so that it follows a change of the route.
const roundTripWeight = 32

// updateRoundTrip tracks the shortest round-trip time, since longer ones include
// queueing.
func (m *member) updateRoundTrip(d time.Duration) {
	if m.roundTrip == 0 || d < m.roundTrip {
		m.roundTrip = d
		return
	}
	m.roundTrip += (d - m.roundTrip) / roundTripWeight
}

// RoundTrip returns the estimated round-trip time to a member, or 0 if it has
// answered no probe.
func (g *Group) RoundTrip(upstream entity.Upstream) time.Duration {
	if i := g.index(upstream); i >= 0 {
		return g.members[i].roundTrip
	}
	return 0
}
