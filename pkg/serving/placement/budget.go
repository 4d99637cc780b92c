package placement

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// budgetBuckets is the number of buckets of the sliding window.
	budgetBuckets = 20
	// budgetShare is the share of the budget that the entries may use. The rest
	// covers restarted entries, which begin with an unused share.
	budgetShare = 0.6
)

// RetryBudget limits the retries to the engines of each service within any window of
// length Window, over all entries together. The limit is a ratio of the calls plus
// an allowance that is divided among the entries.
type RetryBudget struct {
	// Ratio is the permitted number of retries per call.
	Ratio float64
	// Allowance is the number of retries that all entries together may send per
	// window in addition to Ratio.
	Allowance float64
	Window    time.Duration

	services map[serving.ServiceID]*budgetWindow
}

// budgetWindow counts the calls and retries of one service. bucket is the number of
// the current bucket since time 0. Its index in the arrays is taken modulo
// budgetBuckets.
type budgetWindow struct {
	bucket         int64
	calls, retries [budgetBuckets]float64
}

// RecordCall records the first attempt of a call.
func (b *RetryBudget) RecordCall(now time.Duration, s serving.ServiceID) {
	w := b.window(now, s)
	w.calls[w.bucket%budgetBuckets]++
}

// AllowRetry reports whether a call may be retried, and records the retry if so.
func (b *RetryBudget) AllowRetry(now time.Duration, s serving.ServiceID, entries int) bool {
	w := b.window(now, s)
	calls, retries := 0.0, 0.0
	for i := range budgetBuckets {
		calls += w.calls[i]
		retries += w.retries[i]
	}
	if retries+1 > budgetShare*(b.Ratio*calls+b.Allowance/float64(max(entries, 1))) {
		return false
	}
	w.retries[w.bucket%budgetBuckets]++
	return true
}

// window returns the sliding window of a service, advanced to now.
func (b *RetryBudget) window(now time.Duration, s serving.ServiceID) *budgetWindow {
	if b.services == nil {
		b.services = map[serving.ServiceID]*budgetWindow{}
	}
	w := b.services[s]
	if w == nil {
		w = &budgetWindow{}
		b.services[s] = w
	}
	bucket := int64(now / max(b.Window/budgetBuckets, time.Millisecond))
	for steps := min(bucket-w.bucket, budgetBuckets); steps > 0; steps-- {
		i := (bucket - steps + 1) % budgetBuckets
		w.calls[i], w.retries[i] = 0, 0
	}
	w.bucket = max(w.bucket, bucket)
	return w
}
