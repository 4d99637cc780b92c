package account_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/account"
)

func Example() {
	ring := account.NewKeyring(map[serving.ClientAccountID][]account.KeyHash{"bench": {account.HashKey("secret")}})
	key, _ := account.Bearer("Bearer secret")
	id, ok := ring.Authenticate(key)
	fmt.Println(id, ok)

	limiter := account.NewTokenLimiter()
	limiter.SetRate(0, id, account.Rate{PerSecond: 100, Burst: 200})
	_, ok = limiter.Take(0, id, 150)
	fmt.Println(ok)
	limiter.Charge(0, id, 100) // ran 100 tokens longer than expected
	wait, ok := limiter.Take(0, id, 50)
	fmt.Println(wait, ok)

	queue := account.NewQueue(account.QueueConfig{})
	_, err := queue.Push(0, account.Item{Request: &serving.Request{ID: "r1", Account: id}, Cost: 10, Weight: 1})
	item, ok := queue.Pop(0, nil)
	fmt.Println(err, item.Request.ID, ok)
	// Output:
	// bench true
	// true
	// 1s false
	// <nil> r1 true
}

// Guards against accepting unknown or altered keys, a key hash in place of a key, or a
// malformed key hash.
func TestAuthenticateRejectsUnknown(t *testing.T) {
	ring := account.NewKeyring(map[serving.ClientAccountID][]account.KeyHash{"a": {account.HashKey("k")}})
	for _, key := range []string{"", "K", "k ", account.HashKey("k").String()} {
		_, ok := ring.Authenticate(key)
		assert.Assert(t, !ok, key)
	}
	_, err := account.ParseKeyHash("12")
	assert.Equal(t, serving.KindOf(err), serving.KindInvalid)
}

// Guards against an account that spends more than its rate and burst allow over a
// random sequence of takes.
func TestLimiterNeverExceedsRate(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		l := account.NewTokenLimiter()
		l.SetRate(0, "a", account.Rate{PerSecond: 50, Burst: 100})
		var now time.Duration
		var spent serving.Tokens
		for _, n := range rapid.SliceOf(rapid.Int64Range(1, 100)).Draw(t, "takes") {
			now += time.Duration(rapid.Int64Range(0, 2000).Draw(t, "ms")) * time.Millisecond
			if _, ok := l.Take(now, "a", serving.Tokens(n)); ok {
				spent += serving.Tokens(n)
			}
			if float64(spent) > 100+50*now.Seconds()+1 {
				t.Fatalf("spent %d by %v", spent, now)
			}
		}
	})
}

// Guards against rates of entries whose sum exceeds the account's limit when
// replies are lost and demands change.
func TestSharesNeverExceedLimit(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := account.NewShareOwner(account.ShareConfig{}, 1000, 0, time.Second)
		holders := make([]*account.ShareHolder, 4)
		for i := range holders {
			holders[i] = account.NewShareHolder(account.ShareConfig{}, serving.HostID(fmt.Sprint(i)), 1)
			holders[i].SetLimit(1000, len(holders))
		}
		now := 5 * time.Second
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 1500).Draw(t, "ms")) * time.Millisecond
			h := holders[rapid.IntRange(0, 3).Draw(t, "entry")]
			p, ok := o.Grant(now, h.Request(now, rapid.Float64Range(0, 2000).Draw(t, "demand")))
			if ok && rapid.Bool().Draw(t, "delivered") {
				h.HandleReply(p)
			}
			sum := 0.0
			for _, h := range holders {
				sum += h.Rate(now)
			}
			if sum > 1000.001 {
				t.Fatalf("shares sum to %v", sum)
			}
		}
	})
}

// Guards against a division that is not max-min fair or leaves part of the limit
// unassigned.
func TestDivide(t *testing.T) {
	tests := []struct {
		limit         float64
		demands, want []float64
	}{
		{90, []float64{100, 100, 100}, []float64{30, 30, 30}},
		{90, []float64{10, 100, 100}, []float64{10, 40, 40}},
		{90, []float64{0, 30, 0}, []float64{20, 50, 20}},
	}
	for _, tt := range tests {
		assert.DeepEqual(t, account.Divide(tt.limit, tt.demands), tt.want)
	}
}

func item(id, a string, cost serving.Tokens, p serving.Priority) account.Item {
	r := &serving.Request{ID: serving.RequestID(id), Account: serving.ClientAccountID(a), Priority: p, Model: "m"}
	return account.Item{Request: r, Cost: cost, Weight: 1}
}

// Guards against an account that gets more than its share by sending ten times as
// many requests or by sending all of them with a high priority.
func TestQueueIsFair(t *testing.T) {
	q := account.NewQueue(account.QueueConfig{})
	for i := range 100 {
		_, err := q.Push(0, item(fmt.Sprint("big", i), "big", 100, serving.PriorityInteractive))
		assert.NilError(t, err)
	}
	for i := range 10 {
		_, err := q.Push(0, item(fmt.Sprint("small", i), "small", 100, serving.PriorityBatch))
		assert.NilError(t, err)
	}
	small := 0
	for range 20 {
		popped, ok := q.Pop(0, nil)
		assert.Assert(t, ok)
		if popped.Request.Account == "small" {
			small++
		}
	}
	assert.Equal(t, small, 10)
}

// Guards against a first item that can't start and blocks other accounts, and
// against one that is bypassed indefinitely.
func TestQueueBypassIsBounded(t *testing.T) {
	q := account.NewQueue(account.QueueConfig{MaxBypasses: 3})
	_, err := q.Push(0, item("large", "a", 1000, 0))
	assert.NilError(t, err)
	for i := range 10 {
		_, err := q.Push(0, item(fmt.Sprint(i), "b", 1, 0))
		assert.NilError(t, err)
	}
	fits := func(queued *account.Item) account.Verdict {
		if queued.Cost >= 100 {
			return account.NoRoom
		}
		return account.Start
	}
	served := 0
	for range 10 {
		if _, ok := q.Pop(0, fits); ok {
			served++
		}
	}
	assert.Equal(t, served, 3)
}

// Guards against an unbounded queue, a rejection without a retry time, and items
// that stay queued past their deadline.
func TestQueueRefusals(t *testing.T) {
	q := account.NewQueue(account.QueueConfig{MaxItems: 10})
	for i := range 10 {
		_, err := q.Push(0, item(fmt.Sprint(i), "big", 100, 0))
		assert.NilError(t, err)
	}
	_, err := q.Push(0, item("x", "big", 100, 0))
	assert.Equal(t, serving.KindOf(err), serving.KindOverloaded)
	evicted, err := q.Push(0, item("y", "small", 100, 0))
	assert.NilError(t, err)
	assert.Equal(t, evicted.Request.Account, serving.ClientAccountID("big"))
	// The drain rate is 100 tokens per 100 ms.
	for i := range 6 {
		_, ok := q.Pop(time.Duration(i+1)*100*time.Millisecond, nil)
		assert.Assert(t, ok)
	}
	late := item("late", "big", 100, 0)
	late.Request.Deadline = 650 * time.Millisecond
	_, err = q.Push(600*time.Millisecond, late)
	assert.Equal(t, serving.KindOf(err), serving.KindOverloaded)
	assert.Assert(t, serving.AsError(err).RetryAfter > 0)
	soon := item("soon", "small", 1, 0)
	soon.Request.Deadline = 2 * time.Second
	_, err = q.Push(600*time.Millisecond, soon)
	assert.NilError(t, err)
	assert.Equal(t, len(q.Expired(2*time.Second)), 1)
	assert.Equal(t, q.Len(), 4)
	assert.Assert(t, q.Remove("8"))
}

// Guards against a negative balance that is still paid off at the old rate after
// the rate of the account was raised.
func TestSetRateKeepsBalanceInTokens(t *testing.T) {
	l := account.NewTokenLimiter()
	l.SetRate(0, "a", account.Rate{PerSecond: 1, Burst: 2})
	_, ok := l.Take(0, "a", 100)
	assert.Assert(t, ok)
	wait, ok := l.Take(0, "a", 1)
	assert.Assert(t, !ok)
	assert.Assert(t, wait > 90*time.Second, wait)
	l.SetRate(0, "a", account.Rate{PerSecond: 100, Burst: 200})
	_, ok = l.Take(0, "a", 100)
	assert.Assert(t, ok, "100 tokens of 200 were spent")
	wait, ok = l.Take(0, "a", 100)
	assert.Assert(t, !ok)
	assert.Equal(t, wait, time.Second)
}
