package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
)

// engineCounters are shared by traffic goroutines across snapshots.
type engineCounters struct {
	inFlight  atomic.Int64
	threshold atomic.Int64

	mu    sync.Mutex
	stall *dispatch.StallDetector
}

func newEngineCounters() *engineCounters {
	c := &engineCounters{stall: dispatch.NewStallDetector(dispatch.StallConfig{})}
	c.threshold.Store(int64(c.stall.Threshold()))
	return c
}

// observeGap records a gap between two tokens of the engine.
func (c *engineCounters) observeGap(gap time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stall.Observe(gap)
	c.threshold.Store(int64(c.stall.Threshold()))
}

// stallThreshold returns the gap beyond which a stream of the engine counts as stalled.
func (c *engineCounters) stallThreshold() time.Duration { return time.Duration(c.threshold.Load()) }

// retryBudget is a retry budget that traffic goroutines share.
type retryBudget struct {
	mu     sync.Mutex
	budget *dispatch.RetryBudget
}

func newRetryBudget() *retryBudget { return &retryBudget{budget: dispatch.NewRetryBudget(0, 0)} }

func (r *retryBudget) request() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.budget.Request(0)
}

// retry tells whether a request may be sent once more.
func (r *retryBudget) retry() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.budget.Retry(0)
}
