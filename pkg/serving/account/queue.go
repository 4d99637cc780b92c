package account

import (
	"container/heap"
	"math"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// QueueConfig configures a queue. Zero values mean the defaults.
type QueueConfig struct {
	// MaxItems bounds the items in the queue (default 1,024).
	MaxItems int
	// MaxBypasses is how many other items can start ahead of an item for which no
	// engine has room. After that, items of the same model behind it wait too
	// (default 8).
	MaxBypasses int
	// MaxAccountsPerPop bounds the accounts whose first item one Pop considers
	// (default 16).
	MaxAccountsPerPop int
	// TimeToFirstToken is the expected time from the start of a request to its first
	// token. A request whose deadline is sooner than that is not started.
	TimeToFirstToken time.Duration
	// Credit bounds the unused service, in tokens per unit of weight, that an account
	// can catch up on after it was idle (default 0).
	Credit float64
}

// Item is a queued request.
type Item struct {
	Request *serving.Request
	// Cost is the expected number of prompt and answer tokens.
	Cost serving.Tokens
	// Weight is the share of the account relative to others; 0 or less means 1.
	Weight float64
	// PushedAt is set by Push.
	PushedAt time.Duration
	bypassed int
	seq      uint64
}

// Queue is a weighted fair queue of requests whose costs are counted in tokens. It
// applies start-time fair queueing between client accounts. Within an account,
// items are ordered by priority and then by age, so a high priority never takes
// service from another account. An item that can't start does not block those that
// can, up to MaxBypasses.
type Queue struct {
	cfg      QueueConfig
	accounts map[serving.ClientAccountID]*flow
	// waiting holds the flows with at least one item.
	waiting     []*flow
	virtualTime float64
	size        int
	// queued is the cost of all items in tokens.
	queued float64
	seq    uint64
	// rate is the drain rate in tokens per second. drained is the cost of the items
	// served since windowStart, from which the rate is updated.
	rate        float64
	drained     float64
	windowStart time.Duration
}

// flow is the queue of one account.
type flow struct {
	account serving.ClientAccountID
	weight  float64
	// start is the virtual start time of the first item.
	start float64
	items itemHeap
	// queued is the cost of the items in tokens.
	queued float64
	// backloggedSince is the time since which the account has always had a queued
	// item; it is valid only while items is not empty.
	backloggedSince time.Duration
	lastPush        time.Duration
}

type itemHeap []*Item

func (h itemHeap) Len() int { return len(h) }
func (h itemHeap) Less(i, j int) bool {
	a, b := h[i], h[j]
	if a.Request.Priority != b.Request.Priority {
		return a.Request.Priority > b.Request.Priority
	}
	return a.seq < b.seq
}
func (h itemHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *itemHeap) Push(x any)   { *h = append(*h, x.(*Item)) }
func (h *itemHeap) Pop() any {
	old := *h
	x := old[len(old)-1]
	old[len(old)-1] = nil
	*h = old[:len(old)-1]
	return x
}

// NewQueue returns an empty queue.
func NewQueue(cfg QueueConfig) *Queue {
	if cfg.MaxItems == 0 {
		cfg.MaxItems = 1024
	}
	if cfg.MaxBypasses == 0 {
		cfg.MaxBypasses = 8
	}
	if cfg.MaxAccountsPerPop == 0 {
		cfg.MaxAccountsPerPop = 16
	}
	return &Queue{cfg: cfg, accounts: map[serving.ClientAccountID]*flow{}}
}

// Len returns the number of queued items.
func (q *Queue) Len() int { return q.size }

// Rate returns the smoothed drain rate in tokens per second; 0 means unknown.
func (q *Queue) Rate() float64 { return q.rate }

// Push adds an item. It returns an error if the item is not expected to be served
// before its deadline. If the queue is full, the item replaces the newest item of
// the account with the largest queued cost per weight; the caller has to answer the
// evicted item with [Queue.EvictionError]. Push returns an error instead if the
// item's own account has, or would have with the item, the largest queued cost per
// weight.
func (q *Queue) Push(now time.Duration, item Item) (evicted *Item, err error) {
	f := q.flow(item.Request.Account, item.Weight)
	wait := q.Wait(item.Request.Account, item.Cost, item.Weight)
	if d := item.Request.Deadline; d > 0 && now+wait+q.cfg.TimeToFirstToken > d {
		return nil, overloaded("the request would wait longer than its deadline", wait+q.cfg.TimeToFirstToken-(d-now))
	}
	if q.size >= q.cfg.MaxItems {
		mostBacklogged := q.mostBacklogged()
		if mostBacklogged == f || (f.queued+float64(item.Cost))/f.weight >= mostBacklogged.queued/mostBacklogged.weight {
			return nil, overloaded("the queue is full", wait)
		}
		evicted = q.removeNewest(mostBacklogged)
	}
	q.seq++
	item.seq, item.PushedAt = q.seq, now
	if len(f.items) == 0 {
		// An idle account resumes at the current virtual time, less the bounded
		// credit, so that it can't catch up on all the service it did not use.
		f.start = max(f.start, q.virtualTime-q.cfg.Credit)
		f.backloggedSince = now

		q.waiting = append(q.waiting, f)
	}
	heap.Push(&f.items, &item)
	f.lastPush = now
	f.queued += float64(item.Cost)
	q.queued += float64(item.Cost)
	q.size++
	return evicted, nil
}

// EvictionError returns the error with which to answer the request of an evicted
// item.
func (q *Queue) EvictionError(item *Item) error {
	return overloaded("the queue is full", q.Wait(item.Request.Account, item.Cost, item.Weight))
}

func overloaded(message string, wait time.Duration) error {
	wait = min(max(wait, 100*time.Millisecond), time.Minute)
	return serving.NewError(serving.KindOverloaded, message).WithRetryAfter(wait)
}

func (q *Queue) flow(account serving.ClientAccountID, weight float64) *flow {
	f := q.accounts[account]
	if f == nil {
		f = &flow{account: account}
		q.accounts[account] = f
	}
	if weight <= 0 {
		weight = 1
	}
	f.weight = weight
	return f
}

// Wait estimates how long a new item of an account would wait: the queued cost that
// fair queueing serves before it, divided by the drain rate. It is 0 if the rate is
// unknown or the queue is empty, and at most one hour.
func (q *Queue) Wait(account serving.ClientAccountID, cost serving.Tokens, weight float64) time.Duration {
	if q.rate <= 0 || q.size == 0 {
		return 0
	}
	f := q.flow(account, weight)
	start := max(f.start, q.virtualTime-q.cfg.Credit) + f.queued/f.weight

	ahead := f.queued
	for _, x := range q.waiting {
		if x != f {
			ahead += min(x.queued, max(0, start-x.start)*x.weight)
		}
	}
	seconds := ahead / q.rate
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// Verdict is the result of the admission check of an item in [Queue.Pop].
type Verdict int

const (
	// Start removes the item from the queue to start it.
	Start Verdict = iota
	// NoRoom skips the item because no engine has room for it. If a later item
	// starts, that counts towards MaxBypasses.
	NoRoom
	// Reserved skips the item because the free capacity is reserved for other
	// accounts. It does not count towards MaxBypasses, since the item would fit.
	Reserved
)

// Pop removes and returns the next item for which admit returns Start; a nil admit
// accepts every item. Items that can't meet their deadline are skipped and stay in
// the queue until Expired removes them.
func (q *Queue) Pop(now time.Duration, admit func(*Item) Verdict) (*Item, bool) {
	slices.SortFunc(q.waiting, func(a, b *flow) int {
		switch {
		case a.start < b.start:
			return -1
		case a.start > b.start:
			return 1
		case a.items[0].seq < b.items[0].seq:
			return -1
		default:
			return 1
		}
	})
	var blocked []serving.ModelID
	var passedOver []*Item
	for i, f := range q.waiting {
		if i >= q.cfg.MaxAccountsPerPop {
			break
		}
		item := f.items[0]
		if item.expired(now, q.cfg.TimeToFirstToken) || slices.Contains(blocked, item.Request.Model) {
			continue
		}
		v := Start
		if admit != nil {
			v = admit(item)
		}
		if v == NoRoom {
			passedOver = append(passedOver, item)
			if item.bypassed >= q.cfg.MaxBypasses {
				blocked = append(blocked, item.Request.Model)
			}
		}
		if v != Start {
			continue
		}

		for _, p := range passedOver {
			p.bypassed++
		}
		q.serve(now, f)
		return item, true
	}
	return nil, false
}

func (item *Item) expired(now, timeToFirstToken time.Duration) bool {
	return item.Request.Deadline > 0 && now+timeToFirstToken >= item.Request.Deadline
}

// Backlogged reports whether an account has had queued requests continuously for
// at least d, while another account that pushed a request within the last 10 s has
// not. Such an account uses at least its share, so capacity that is reserved for
// accounts below their share is not available to it.
func (q *Queue) Backlogged(now time.Duration, account serving.ClientAccountID, d time.Duration) bool {
	f := q.accounts[account]
	if f == nil || !f.backlogged(now, d) {
		return false
	}
	for _, x := range q.accounts {
		if x != f && !x.backlogged(now, d) && now-x.lastPush < 10*time.Second {
			return true
		}
	}
	return false
}

func (f *flow) backlogged(now, d time.Duration) bool {
	return len(f.items) > 0 && now-f.backloggedSince >= d
}

// serve removes the first item of a flow and advances the virtual time to the start
// time of the item.
func (q *Queue) serve(now time.Duration, f *flow) {
	item := heap.Pop(&f.items).(*Item)
	q.virtualTime = max(q.virtualTime, f.start)
	f.start += float64(item.Cost) / f.weight
	q.afterRemove(f, item)
	q.updateRate(now, float64(item.Cost))
}

// afterRemove updates the totals after an item was removed from a flow.
func (q *Queue) afterRemove(f *flow, item *Item) {
	f.queued -= float64(item.Cost)
	q.queued -= float64(item.Cost)
	q.size--
	if len(f.items) > 0 {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(x *flow) bool { return x == f })
	// Delete idle accounts, except those whose start time is ahead of the virtual
	// time, since that records service beyond their share.
	if len(q.accounts) > 4*q.cfg.MaxItems {
		for id, x := range q.accounts {
			if len(x.items) == 0 && x.start <= q.virtualTime {
				delete(q.accounts, id)
			}
		}
	}
}

// updateRate updates the drain rate from the cost served in windows of at least
// 500 ms. A window that has been open for more than 5 s is discarded.
func (q *Queue) updateRate(now time.Duration, cost float64) {
	const window = 500 * time.Millisecond
	if q.windowStart == 0 || now-q.windowStart > 10*window {
		q.windowStart, q.drained = now, 0
	}
	q.drained += cost
	span := now - q.windowStart
	if span < window {
		return
	}
	rate := q.drained / span.Seconds()
	if q.rate == 0 {
		q.rate = rate
	} else if q.size > 0 || rate > q.rate {
		// With an empty queue the served rate is limited by demand rather than by
		// capacity, so a lower value is ignored.
		q.rate += (rate - q.rate) / 4
	}
	q.windowStart, q.drained = now, 0
}

// Charge corrects the service counted for an account; diff is the number of tokens
// that were processed minus the cost of the item.
func (q *Queue) Charge(account serving.ClientAccountID, diff serving.Tokens) {
	if f := q.accounts[account]; f != nil {
		f.start += float64(diff) / f.weight
	}
}

// Expired removes and returns the items that can no longer produce a first token
// before their deadline.
func (q *Queue) Expired(now time.Duration) []*Item {
	return q.remove(func(item *Item) bool { return item.expired(now, q.cfg.TimeToFirstToken) })
}

// Remove removes the item of a request whose caller has disconnected. It returns
// false if the request is not queued.
func (q *Queue) Remove(id serving.RequestID) bool {
	return len(q.remove(func(item *Item) bool { return item.Request.ID == id })) > 0
}

func (q *Queue) remove(match func(*Item) bool) []*Item {
	var all []*Item
	for _, f := range slices.Clone(q.waiting) {
		remaining := f.items[:0]
		var removed []*Item
		for _, item := range f.items {
			if match(item) {
				removed = append(removed, item)
			} else {
				remaining = append(remaining, item)
			}
		}
		if len(removed) == 0 {
			continue
		}
		f.items = remaining
		heap.Init(&f.items)
		for _, item := range removed {
			q.afterRemove(f, item)
		}
		all = append(all, removed...)
	}
	return all
}

// mostBacklogged returns the account with the largest queued cost per weight, or nil
// if the queue is empty.
func (q *Queue) mostBacklogged() *flow {
	var mostBacklogged *flow
	largest := math.Inf(-1)
	for _, f := range q.waiting {
		if n := f.queued / f.weight; n > largest {
			mostBacklogged, largest = f, n
		}
	}
	return mostBacklogged
}

func (q *Queue) removeNewest(f *flow) *Item {
	newest := 0
	for i, item := range f.items {
		if item.seq > f.items[newest].seq {
			newest = i
		}
	}
	item := heap.Remove(&f.items, newest).(*Item)
	q.afterRemove(f, item)
	return item
}
