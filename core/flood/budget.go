package flood

const (
	// defaultRetryRatio applies if Policy.RetryRatio is 0.
	defaultRetryRatio = 0.2
	// retryBurst is the capacity of the budget, so that the simultaneous retries
	// after a short disturbance are admitted.
	retryBurst = 20
)

// retryBudget is a token bucket: first attempts add tokens, each retry takes one.
type retryBudget struct {
	tokens float64
}

func (b *retryBudget) deposit(ratio float64) {
	b.tokens = min(retryBurst, b.tokens+ratio)
}

func (b *retryBudget) allows() bool { return b.tokens >= 1 }

func (b *retryBudget) withdraw() { b.tokens-- }
