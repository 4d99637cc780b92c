package placement

import (
	"sync"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// FairQueue divides free engine capacity evenly among client accounts. Of the calls
// of one account that wait for the same service with the same rank, only the first
// one tries to find an engine. Each account therefore gets capacity equally often,
// however many of its calls wait. It is safe for concurrent use.
type FairQueue struct {
	mu      sync.Mutex
	waiting map[queueKey][]*Waiter
}

type queueKey struct {
	service serving.ServiceID
	account serving.ClientAccountID
	rank    int
}

// Waiter is one call in the queue of its account. Leave must be called to remove it.
type Waiter struct {
	queue *FairQueue
	key   queueKey
	ready chan struct{}
}

// Enqueue adds a call to the end of the queue of its account.
func (q *FairQueue) Enqueue(service serving.ServiceID, account serving.ClientAccountID, rank int) *Waiter {
	w := &Waiter{queue: q, key: queueKey{service, account, rank}, ready: make(chan struct{})}
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.waiting == nil {
		q.waiting = map[queueKey][]*Waiter{}
	}
	waiters := append(q.waiting[w.key], w)
	q.waiting[w.key] = waiters
	if len(waiters) == 1 {
		close(w.ready)
	}
	return w
}

// Ready returns a channel that is closed when the call becomes the first in the
// queue of its account.
func (w *Waiter) Ready() <-chan struct{} { return w.ready }

// Leave removes the call from its queue. It may be called more than once.
func (w *Waiter) Leave() {
	w.queue.mu.Lock()
	defer w.queue.mu.Unlock()
	waiters := w.queue.waiting[w.key]
	for i, other := range waiters {
		if other != w {
			continue
		}
		waiters = append(waiters[:i:i], waiters[i+1:]...)
		if len(waiters) == 0 {
			delete(w.queue.waiting, w.key)
			return
		}
		w.queue.waiting[w.key] = waiters
		if i == 0 {
			close(waiters[0].ready)
		}
		return
	}
}
