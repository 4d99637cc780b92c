package dispatch

// RetryBudget permits retries as a share of the requests, so that retries can't
// multiply an overload. Requests that are themselves retries of a caller or of
// an entry before this one add nothing to the budget and are not retried again,
// which keeps the ratio over the whole path.
type RetryBudget struct {
	// Ratio is the number of retries earned by a request (default 0.1).
	Ratio float64
	// Most bounds the retries saved up (default 10).
	Most   float64
	tokens float64
}

// NewRetryBudget returns a budget that starts full.
func NewRetryBudget(ratio, most float64) *RetryBudget {
	return &RetryBudget{Ratio: orDefault(ratio, 0.1), Most: orDefault(most, 10), tokens: orDefault(most, 10)}
}

// Request records a request; attempt is 0 for one that nobody on the path has retried.
func (b *RetryBudget) Request(attempt int) {
	if attempt == 0 {
		b.tokens = min(b.Most, b.tokens+b.Ratio)
	}
}

// Retry spends a retry of a request that arrived as the given attempt.
func (b *RetryBudget) Retry(attempt int) bool {
	if attempt > 0 || b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}

// Left returns the number of retries that may run now.
func (b *RetryBudget) Left() float64 { return b.tokens }
