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

// SetLimit sets the limit of an account; 0 means none.
func (c *Concurrency) SetLimit(account serving.ClientAccountID, limit int) {
	if limit == 0 {
		delete(c.limits, account)
		return
	}
	c.limits[account] = limit
}

// Acquire starts a request if the account's limit permits.
func (c *Concurrency) Acquire(account serving.ClientAccountID) bool {
	if limit, ok := c.limits[account]; ok && c.running[account] >= limit {
		return false
	}
	c.running[account]++
	return true
}

// Release ends a request.
func (c *Concurrency) Release(account serving.ClientAccountID) {
	if c.running[account] <= 1 {
		delete(c.running, account)
		return
	}
	c.running[account]--
}
