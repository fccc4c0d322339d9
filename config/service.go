package config

import (
	"cmp"
	"maps"
	"slices"

	"skylarkhinge.dev/skylarkhinge/core"
	"skylarkhinge.dev/skylarkhinge/core/entity"
	"skylarkhinge.dev/skylarkhinge/core/flood"
)

// CoreService converts the document with the given revision to the core's type. Ranks
// are sorted by descending worth, users by name. The error is an *Error if the document
// violates a rule that involves several fields.
func (doc *Document) CoreService(revision uint64) (core.Service, error) {
	var faults Error
	checkDocument(doc, &faults)
	if err := faults.errOrNil(); err != nil {
		return core.Service{}, err
	}
	service := core.Service{Name: doc.Service, Revision: revision, RetryRatio: doc.RetryRatio, MaxQueued: doc.MaxQueued}
	rankIndexes := make(map[string]int, len(doc.Ranks))
	for i, rank := range doc.ranksByWorth() {
		rankIndexes[rank.Name] = i
		service.Ranks = append(service.Ranks, flood.RankPolicy{
			Name: rank.Name, Target: rank.TargetLatency.Std(), KeptShare: rank.KeptShare})
	}
	for _, class := range doc.Classes {
		service.Classes = append(service.Classes, class.toCore(rankIndexes[class.Rank]))
	}
	for i := range doc.Databases {
		service.Databases = append(service.Databases, doc.Databases[i].toCore())
	}
	return service, nil
}

// ranksByWorth returns a copy of the ranks in descending order of worth.
func (doc *Document) ranksByWorth() []Rank {
	ranks := slices.Clone(doc.Ranks)
	slices.SortStableFunc(ranks, func(a, b Rank) int { return cmp.Compare(b.Worth, a.Worth) })
	return ranks
}

// toCore converts the class; rank is the index of its rank in core.Service.Ranks.
func (c *Class) toCore(rank int) core.Class {
	ack := core.AckPrimary
	if c.Ack == AckMajority {
		ack = core.AckMajority
	}
	return core.Class{
		Name:       c.Name,
		Rank:       rank,
		ReadOnly:   c.Access == AccessRead,
		MaxAge:     c.MaxAge.Std(),
		Repeatable: c.Repeatable,
		Ack:        ack,
		Ledger:     c.Ledger,
		Timeout:    c.Timeout.Std(),
		Cost:       c.ExpectedCost.Std(),
	}
}

func (db *Database) toCore() core.DatabaseSpec {
	spec := core.DatabaseSpec{Name: entity.Database(db.Name), DefaultClass: db.DefaultClass}
	for _, upstream := range db.Upstreams {
		spec.Upstreams = append(spec.Upstreams, core.UpstreamSpec{
			Name: entity.Upstream(upstream.Name), Slots: upstream.Slots, Connections: upstream.Connections})
	}
	for _, user := range sortedKeys(db.Users) {
		spec.Users = append(spec.Users, core.UserClass{User: user, Class: db.Users[user]})
	}
	return spec
}

func sortedKeys(values map[string]string) []string {
	return slices.Sorted(maps.Keys(values))
}
