package managed

import "skylarkhinge.dev/skylarkhinge/core/flood"

// keptShares are the parts of slot time that ranks get while they have work,
// most urgent first. Less urgent ranks keep a little, so that a flood of urgent
// work does not shut them out; ranks past the list have none.
var keptShares = [...]float64{0.5, 0.2, 0.1}

// maxQueued bounds the queue of one database. At the statements' usual cost, more
// cannot be served within their deadlines.
const maxQueued = 400

// policyOf derives the scheduler's policy from the routes in force.
func policyOf(doc *Document) flood.Policy {
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
		if i < len(keptShares) {
			policy.Ranks[i].KeptShare = keptShares[i]
		}
	}
	return policy
}

// maxRanks bounds the ranks that the routes may ask for.
const maxRanks = 16
