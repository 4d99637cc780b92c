package placement_test

import (
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// Guards against an account that takes capacity from others by keeping many calls
// waiting. All engines are full and one slot becomes free at a time, which goes to
// a random one of the calls that are first in their queue. The greedy account keeps
// ten times as many calls waiting as each of three small ones, whose calls must not
// wait longer than they do if the greedy account has a single waiting call.
func TestFairQueueOfAccounts(t *testing.T) {
	const freedSlots = 4000
	// meanWait returns the mean number of slots that become free while a call of a
	// small account waits, if the greedy account always keeps the given number of
	// calls waiting.
	meanWait := func(queued int) float64 {
		r := rand.New(rand.NewPCG(1, 1))
		var queue placement.FairQueue
		type call struct {
			account serving.ClientAccountID
			waiter  *placement.Waiter
			since   int
		}
		var calls []*call
		enqueue := func(account serving.ClientAccountID, now int) {
			calls = append(calls, &call{account, queue.Enqueue("model", account, 0), now})
		}
		for range queued {
			enqueue("greedy", 0)
		}
		for _, account := range []serving.ClientAccountID{"a", "b", "c"} {
			enqueue(account, 0)
		}
		waits, n := 0, 0
		for now := range freedSlots {
			var candidates []int
			for i, c := range calls {
				select {
				case <-c.waiter.Ready():
					candidates = append(candidates, i)
				default:
				}
			}
			i := candidates[r.IntN(len(candidates))]
			c := calls[i]
			c.waiter.Leave()
			calls = append(calls[:i:i], calls[i+1:]...)
			if c.account != "greedy" {
				waits, n = waits+now-c.since, n+1
			}
			enqueue(c.account, now+1)
		}
		return float64(waits) / float64(n)
	}
	one, ten := meanWait(1), meanWait(10)
	assert.Assert(t, ten <= 1.1*one, "a small account waits for %.1f free slots if another account has ten waiting calls, %.1f if it has one", ten, one)
}

// Guards against a canceled call that blocks the queue of its account.
func TestLeaveBeforeReady(t *testing.T) {
	var queue placement.FairQueue
	first, second, third := queue.Enqueue("s", "a", 0), queue.Enqueue("s", "a", 0), queue.Enqueue("s", "a", 0)
	other := queue.Enqueue("s", "b", 0)
	ready := func(w *placement.Waiter) bool {
		select {
		case <-w.Ready():
			return true
		default:
			return false
		}
	}
	urgent := queue.Enqueue("s", "a", -1)
	assert.Assert(t, ready(first) && !ready(second) && !ready(third) && ready(other) && ready(urgent))
	second.Leave()
	second.Leave()
	assert.Assert(t, !ready(third))
	first.Leave()
	assert.Assert(t, ready(third))
}
