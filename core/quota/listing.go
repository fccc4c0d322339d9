package quota

import (
	"maps"
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Counters returns the operations of all organisations at this proxy, and the tokens that it
// granted as a limiter.
func (n *Node) Counters() (total Counters, granted uint64) { return n.holder.total, n.limiter.granted }

// Row describes an organisation at this proxy.
type Row struct {
	Name   organisation.Name
	Limits Limits
	// Tokens are the leased tokens, Waiting the operations that wait for one.
	Tokens, Waiting int
	// Limiter is the proxy that granted tokens last, empty if none did.
	Limiter entity.VM
	// Demand is the recent rate of operations per second.
	Demand   float64
	Limited  bool
	Counters Counters
}

// Rows returns up to limit rows, ordered by name.
func (n *Node) Rows(at entity.Time, limit int) []Row {
	names := slices.Sorted(maps.Keys(n.holder.accounts))
	rows := make([]Row, 0, min(limit, len(names)))
	for _, name := range names[:min(limit, len(names))] {
		a := n.holder.accounts[name]
		a.decay(at, n.holder.leaseTime)
		rows = append(rows, Row{
			Name: name, Limits: a.limits, Tokens: a.tokens(at), Waiting: len(a.queue), Limiter: a.grants[0].by,
			Demand: a.demand, Limited: a.limited, Counters: a.counters,
		})
	}
	return rows
}
