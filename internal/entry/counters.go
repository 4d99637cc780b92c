package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// engineCounters holds the counters of one engine. All snapshots share it, and
// goroutines that serve requests update it.
type engineCounters struct {
	inFlight atomic.Int64
	// threshold is the stall threshold in nanoseconds. It is a copy of stall.Threshold
	// that can be read without mu.
	threshold atomic.Int64

	mu    sync.Mutex
	stall *dispatch.StallDetector
}

func newEngineCounters() *engineCounters {
	c := &engineCounters{stall: dispatch.NewStallDetector(dispatch.StallConfig{})}
	c.threshold.Store(int64(c.stall.Threshold()))
	return c
}

// observeGap records the time between two tokens of the engine.
func (c *engineCounters) observeGap(gap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stall.Observe(gap)
	c.threshold.Store(int64(c.stall.Threshold()))
}

// stallThreshold returns the time without a token after which a stream of the engine
// counts as stalled.
func (c *engineCounters) stallThreshold() time.Duration { return time.Duration(c.threshold.Load()) }

// retryBudget is a retry budget that is safe for concurrent use. It covers the retries
// of all requests of the entry.
type retryBudget struct {
	mu     sync.Mutex
	budget *dispatch.RetryBudget
}

func newRetryBudget() *retryBudget { return &retryBudget{budget: dispatch.NewRetryBudget(0, 0)} }

// request counts a first attempt, which adds to the budget.
func (r *retryBudget) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Request(0)
}

// retry reports whether the budget permits a retry, and consumes it.
func (r *retryBudget) retry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Retry(0)
}
