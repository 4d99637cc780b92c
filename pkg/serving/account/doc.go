// Package account implements the decision logic for client accounts:
// authentication by key, token rate limits, limits on concurrent requests, the
// division of one limit over all entries, and a weighted fair queue.
//
// All types are state machines without sockets, clocks, files or goroutines, and
// apart from [Keyring] they are not safe for concurrent use. Times are
// [time.Duration] values since an arbitrary monotonic origin of the process.
//
// # Usage
//
//	ring := account.NewKeyring(keys)
//	id, ok := ring.Authenticate(key)
//
//	limiter := account.NewTokenLimiter()
//	limiter.SetRate(now, id, account.Rate{PerSecond: 10_000, Burst: 50_000})
//	wait, ok := limiter.Take(now, id, prompt+expected) // before the request runs
//	limiter.Charge(now, id, generated-expected)        // after it ran
//
//	queue := account.NewQueue(account.QueueConfig{})
//	evicted, err := queue.Push(now, account.Item{Request: r, Cost: cost, Weight: 1})
//	item, ok := queue.Pop(now, admit)
//
// If a request can't be queued, Push returns a [*serving.Error] of kind
// [serving.KindOverloaded] whose RetryAfter is estimated from the drain rate of the
// queue. The request did not run.
package account
