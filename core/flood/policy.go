package flood

// defaultMaxQueued applies if Policy.MaxQueued is 0.
const defaultMaxQueued = 10_000

// withDefaults returns the policy with defaults for unset fields.
func withDefaults(p Policy) Policy {
	if len(p.Ranks) == 0 {
		p.Ranks = []RankPolicy{{Name: "default", KeptShare: 1}}
	}
	if p.RetryRatio == 0 {
		p.RetryRatio = defaultRetryRatio
	}
	if p.MaxQueued <= 0 {
		p.MaxQueued = defaultMaxQueued
	}
	return p
}

// keptShares returns the kept share of each rank, scaled down if their sum
// exceeds 1. Ranks that are not in the policy have 0.
func keptShares(p Policy, ranks int) []float64 {
	shares := make([]float64, ranks)
	total := 0.0
	for i, r := range p.Ranks {
		shares[i] = max(0, r.KeptShare)
		total += shares[i]
	}
	if total <= 1 {
		return shares
	}
	for i := range shares {
		shares[i] /= total
	}
	return shares
}

// reservedCapacity returns the queue capacity reserved for each rank. Half of the
// queue is reserved in equal parts, so that no rank can fill the queue and cause
// refusals of the others.
func reservedCapacity(p Policy) int {
	return p.MaxQueued / (2 * len(p.Ranks))
}
