package account

import "turmericdrum.org/turmericdrum/pkg/serving"

// Concurrency limits the requests that an account runs at the same time.
type Concurrency struct {
	limits  map[serving.ClientAccountID]int
	running map[serving.ClientAccountID]int
}

// NewConcurrency returns a limiter without limits.
func NewConcurrency() *Concurrency {
	return &Concurrency{limits: map[serving.ClientAccountID]int{}, running: map[serving.ClientAccountID]int{}}
}

// SetLimit sets the limit of an account; 0 removes it.
func (c *Concurrency) SetLimit(account serving.ClientAccountID, limit int) {
	if limit == 0 {
		delete(c.limits, account)
		return
	}
	c.limits[account] = limit
}

// Acquire counts a request as running and returns true, or returns false if the
// account has reached its limit. Release must follow each successful call.
func (c *Concurrency) Acquire(account serving.ClientAccountID) bool {
	if limit, ok := c.limits[account]; ok && c.running[account] >= limit {
		return false
	}
	c.running[account]++
	return true
}

// Release marks one request of the account as ended.
func (c *Concurrency) Release(account serving.ClientAccountID) {
	if c.running[account] <= 1 {
		delete(c.running, account)
		return
	}
	c.running[account]--
}
