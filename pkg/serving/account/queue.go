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
	// Most bounds the items in the queue (default 1,024).
	Most int
	// MostBypassed is the number of times that an item which can't start is
	// passed over by others of its model (default 8).
	MostBypassed int
	// Tries bounds the accounts that one Pop asks for an item that can start
	// (default 16).
	Tries int
	// Lead is the expected time from the start of a request to its first token; a
	// request whose deadline is closer is not started.
	Lead time.Duration
	// Credit is the service in tokens per weight that an account which had less
	// than its share may catch up on (default 0).
	Credit float64
}

// Item is a request that waits.
type Item struct {
	Request *serving.Request
	// Cost is the expected number of tokens, prompt and answer.
	Cost serving.Tokens
	// Weight is the share of the account relative to others.
	Weight   float64
	PushedAt time.Duration
	bypassed int
	seq      uint64
}

// Queue is a weighted fair queue by tokens over client accounts: start-time fair
// queueing over accounts, and within an account by priority and then by age. A
// priority never takes service from another account. The queue is
// work-conserving: an item that can't start does not block those that can.
type Queue struct {
	cfg      QueueConfig
	accounts map[serving.ClientAccountID]*flow
	waiting  []*flow
	virtual  float64
	size     int
	queued   float64
	seq      uint64
	rate     float64
	drained  float64
	windowAt time.Duration
}

type flow struct {
	account serving.ClientAccountID
	weight  float64
	// start is the virtual time at which the head may start.
	start  float64
	items  itemHeap
	queued float64
	// backlogFrom is the time since which it has had items without a break.
	backlogFrom time.Duration
	lastPush    time.Duration
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
	if cfg.Most == 0 {
		cfg.Most = 1024
	}
	if cfg.MostBypassed == 0 {
		cfg.MostBypassed = 8
	}
	if cfg.Tries == 0 {
		cfg.Tries = 16
	}
	return &Queue{cfg: cfg, accounts: map[serving.ClientAccountID]*flow{}}
}

// Len returns the number of items.
func (q *Queue) Len() int { return q.size }

// Rate returns the measured drain rate in tokens per second; 0 means unknown.
func (q *Queue) Rate() float64 { return q.rate }

// Push adds an item. It refuses one that can't be served before its deadline. A
// full queue takes it in the place of the newest item of the account with the
// most waiting per weight, which is returned and is to be refused.
func (q *Queue) Push(now time.Duration, it Item) (evicted *Item, err error) {
	f := q.flow(it.Request.Account, it.Weight)
	wait := q.Wait(it.Request.Account, it.Cost, it.Weight)
	if d := it.Request.Deadline; d > 0 && now+wait+q.cfg.Lead > d {
		return nil, overloaded("the request would wait longer than its deadline", wait+q.cfg.Lead-(d-now))
	}
	if q.size >= q.cfg.Most {
		longest := q.longest()
		if longest == f || (f.queued+float64(it.Cost))/f.weight >= longest.queued/longest.weight {
			return nil, overloaded("the queue is full", wait)
		}
		evicted = q.removeNewest(longest)
	}
	q.seq++
	it.seq, it.PushedAt = q.seq, now
	if len(f.items) == 0 {
		// An account that was idle starts at the present virtual time, less a
		// bounded credit: it has no claim on all the service it did not ask for.
		f.start = max(f.start, q.virtual-q.cfg.Credit)
		f.backlogFrom = now

		q.waiting = append(q.waiting, f)
	}
	heap.Push(&f.items, &it)
	f.lastPush = now
	f.queued += float64(it.Cost)
	q.queued += float64(it.Cost)
	q.size++
	return evicted, nil
}

// Refused returns the error for an evicted item.
func (q *Queue) Refused(it *Item) error {
	return overloaded("the queue is full", q.Wait(it.Request.Account, it.Cost, it.Weight))
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

// Wait estimates how long a new item of an account would wait: the work that
// fair queueing serves before it, at the measured drain rate.
func (q *Queue) Wait(account serving.ClientAccountID, cost serving.Tokens, weight float64) time.Duration {
	if q.rate <= 0 || q.size == 0 {
		return 0
	}
	f := q.flow(account, weight)
	start := max(f.start, q.virtual-q.cfg.Credit) + f.queued/f.weight

	ahead := f.queued
	for _, x := range q.waiting {
		if x != f {
			ahead += min(x.queued, max(0, start-x.start)*x.weight)
		}
	}
	seconds := ahead / q.rate
	return time.Duration(min(seconds, 3600) * float64(time.Second))
}

// Verdict is the answer of an admission check on the item that is next.
type Verdict int

const (
	// Start starts the item.
	Start Verdict = iota
	// NoRoom passes over the item, which counts towards MostBypassed.
	NoRoom
	// Reserved passes over the item because what is free is kept for other
	// accounts. It does not count, since the item would fit.
	Reserved
)

// Pop removes the next item that admit accepts; a nil admit accepts all. Items
// past their deadline are not offered; Expired returns them.
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
	var passed []*Item
	for i, f := range q.waiting {
		if i >= q.cfg.Tries {
			break
		}
		it := f.items[0]
		if it.expired(now, q.cfg.Lead) || slices.Contains(blocked, it.Request.Model) {
			continue
		}
		v := Start
		if admit != nil {
			v = admit(it)
		}
		if v == NoRoom {
			passed = append(passed, it)
			if it.bypassed >= q.cfg.MostBypassed {
				blocked = append(blocked, it.Request.Model)
			}
		}
		if v != Start {
			continue
		}

		for _, p := range passed {
			p.bypassed++
		}
		q.serve(now, f)
		return it, true
	}
	return nil, false
}

func (it *Item) expired(now, lead time.Duration) bool {
	return it.Request.Deadline > 0 && now+lead >= it.Request.Deadline
}

// Backlogged tells whether an account has had requests waiting without a break
// for the given time while another account that was served lately has not. Such
// an account uses at least its share, and what is reserved for accounts below
// their share is not for it.
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
	return len(f.items) > 0 && now-f.backlogFrom >= d
}

// serve removes the head of a flow and advances the virtual time to its start.
func (q *Queue) serve(now time.Duration, f *flow) {
	it := heap.Pop(&f.items).(*Item)
	q.virtual = max(q.virtual, f.start)
	f.start += float64(it.Cost) / f.weight
	q.forget(f, it)
	q.measure(now, float64(it.Cost))
}

func (q *Queue) forget(f *flow, it *Item) {
	f.queued -= float64(it.Cost)
	q.queued -= float64(it.Cost)
	q.size--
	if len(f.items) > 0 {
		return
	}
	q.waiting = slices.DeleteFunc(q.waiting, func(x *flow) bool { return x == f })
	// Accounts without history beyond the present are not kept.
	if len(q.accounts) > 4*q.cfg.Most {
		for id, x := range q.accounts {
			if len(x.items) == 0 && x.start <= q.virtual {
				delete(q.accounts, id)
			}
		}
	}
}

// measure updates the drain rate from windows of 500 ms that began with a backlog.
func (q *Queue) measure(now time.Duration, cost float64) {
	const window = 500 * time.Millisecond
	if q.windowAt == 0 || now-q.windowAt > 10*window {
		q.windowAt, q.drained = now, 0
	}
	q.drained += cost
	span := now - q.windowAt
	if span < window {
		return
	}
	rate := q.drained / span.Seconds()
	if q.rate == 0 {
		q.rate = rate
	} else if q.size > 0 || rate > q.rate {
		// Without a backlog the rate shows the demand and not what can drain.
		q.rate += (rate - q.rate) / 4
	}
	q.windowAt, q.drained = now, 0
}

// Charge corrects the service that an account has had by the difference of what
// ran and the cost of the item.
func (q *Queue) Charge(account serving.ClientAccountID, diff serving.Tokens) {
	if f := q.accounts[account]; f != nil {
		f.start += float64(diff) / f.weight
	}
}

// Expired removes and returns the items whose deadline has passed.
func (q *Queue) Expired(now time.Duration) []*Item {
	return q.remove(func(it *Item) bool { return it.expired(now, q.cfg.Lead) })
}

// Remove removes the item of a request, for a caller that has gone.
func (q *Queue) Remove(id serving.RequestID) bool {
	return len(q.remove(func(it *Item) bool { return it.Request.ID == id })) > 0
}

func (q *Queue) remove(match func(*Item) bool) []*Item {
	var out []*Item
	for _, f := range slices.Clone(q.waiting) {
		kept := f.items[:0]
		var gone []*Item
		for _, it := range f.items {
			if match(it) {
				gone = append(gone, it)
			} else {
				kept = append(kept, it)
			}
		}
		if len(gone) == 0 {
			continue
		}
		f.items = kept
		heap.Init(&f.items)
		for _, it := range gone {
			q.forget(f, it)
		}
		out = append(out, gone...)
	}
	return out
}

func (q *Queue) longest() *flow {
	var longest *flow
	most := math.Inf(-1)
	for _, f := range q.waiting {
		if n := f.queued / f.weight; n > most {
			longest, most = f, n
		}
	}
	return longest
}

func (q *Queue) removeNewest(f *flow) *Item {
	newest := 0
	for i, it := range f.items {
		if it.seq > f.items[newest].seq {
			newest = i
		}
	}
	it := heap.Remove(&f.items, newest).(*Item)
	q.forget(f, it)
	return it
}
