package managed

import "skylarkhinge.dev/skylarkhinge/core/flood"

// guaranteedShares are the fractions of slot time guaranteed to the ranks while they have
// work, most urgent first. A small share for the less urgent ranks keeps them from starving
// under a flood of urgent work. Ranks beyond the list have no guarantee.
var guaranteedShares = [...]float64{0.5, 0.2, 0.1}

// maxQueued bounds the queue of one database. At the usual statement cost, requests beyond
// it could not be served before their deadlines.
const maxQueued = 400

// schedulingPolicy derives the scheduler's policy from the configured routes.
func schedulingPolicy(doc *Document) flood.Policy {
	policy := flood.Policy{MaxQueued: maxQueued}
	for _, r := range doc.Routes {
		rank := min(r.Rank, maxRanks-1)
		for len(policy.Ranks) <= rank {
			policy.Ranks = append(policy.Ranks, flood.RankPolicy{})
		}
		if target := policy.Ranks[rank].Target; target == 0 || r.TargetLatency < target {
			policy.Ranks[rank].Target = r.TargetLatency
		}
	}
	for i := range policy.Ranks {
		if i < len(guaranteedShares) {
			policy.Ranks[i].KeptShare = guaranteedShares[i]
		}
	}
	return policy
}

// maxRanks is the number of distinct ranks. Higher ranks are treated as the last one.
const maxRanks = 16
