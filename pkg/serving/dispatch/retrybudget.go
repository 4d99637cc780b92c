package dispatch

// RetryBudget limits retries to a share of the requests, so that retries cannot
// multiply an overload. Requests that are themselves retries of a caller or of an
// earlier entry add nothing to the budget and are not retried again, so the ratio holds
// for the whole path.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget (default 0.1).
	Ratio float64
	// Max is the largest number of retries in the budget (default 10).
	Max       float64
	remaining float64
}

// NewRetryBudget returns a budget that starts full. Zero arguments mean the defaults of
// Ratio and Max.
func NewRetryBudget(ratio, limit float64) *RetryBudget {
	return &RetryBudget{Ratio: orDefault(ratio, 0.1), Max: orDefault(limit, 10), remaining: orDefault(limit, 10)}
}

// Request records a request; attempt is 0 for one that is not a retry.
func (b *RetryBudget) Request(attempt int) {
	if attempt == 0 {
		b.remaining = min(b.Max, b.remaining+b.Ratio)
	}
}

// Retry reports whether a request that arrived as the given attempt may be retried, and
// takes the retry from the budget.
func (b *RetryBudget) Retry(attempt int) bool {
	if attempt > 0 || b.remaining < 1 {
		return false
	}
	b.remaining--
	return true
}

// Remaining returns the number of retries in the budget; a retry needs at least 1.
func (b *RetryBudget) Remaining() float64 { return b.remaining }
