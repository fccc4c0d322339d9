package quota

import (
	"cmp"
	"slices"

	"skylarkhinge.dev/skylarkhinge/core/organisation"
)

// Refusals is the number of refused operations of an organisation. An empty name stands for
// all organisations that are not listed by name.
type Refusals struct {
	Name  organisation.Name
	Count uint64
}

const (
	// namedOrganisations is the number of organisations whose refusals are listed by name.
	// It bounds the series of the metrics.
	namedOrganisations = 8
	// maxCountedOrganisations bounds the organisations whose refusals are counted.
	maxCountedOrganisations = 4096
)

// topRefusals counts refusals by organisation.
type topRefusals struct {
	counts map[organisation.Name]uint64
	total  uint64
}

func newTopRefusals() topRefusals { return topRefusals{counts: map[organisation.Name]uint64{}} }

func (t *topRefusals) add(name organisation.Name) {
	t.total++
	if _, known := t.counts[name]; known || len(t.counts) < maxCountedOrganisations {
		t.counts[name]++
	}
}

// top returns the organisations with the most refusals, and the sum of the others.
func (t *topRefusals) top() []Refusals {
	all := make([]Refusals, 0, len(t.counts))
	for name, count := range t.counts {
		all = append(all, Refusals{name, count})
	}
	slices.SortFunc(all, func(a, b Refusals) int {
		if c := cmp.Compare(b.Count, a.Count); c != 0 {
			return c
		}
		return cmp.Compare(a.Name, b.Name)
	})
	all = all[:min(len(all), namedOrganisations)]
	rest := t.total
	for _, r := range all {
		rest -= r.Count
	}
	return append(all, Refusals{Count: rest})
}
