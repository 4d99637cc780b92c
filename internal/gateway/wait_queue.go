package gateway

import (
	"context"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// waitQueue holds the calls that wait until an engine has room, ordered by rank and
// then by arrival.
type waitQueue struct {
	calls    []*waitingCall
	sequence uint64
}

// waitingCall is one call in a waitQueue.
type waitingCall struct {
	need     *placement.Need
	rank     int
	sequence uint64
	ticket   chan *placement.Ticket
}

// place claims an engine for a call. If no engine has room, the call waits up to
// maxWait, and the result is that of a last attempt.
func (g *Gateway) place(ctx context.Context, need *placement.Need, rank int, maxWait time.Duration) (*placement.Ticket, error) {
	b := &g.board
	b.mu.Lock()
	b.restrict(g.Clock.Now(), need)
	ticket, err := b.pool.Place(g.Clock.Now(), need)
	if err != nil && b.endComparison(need) {
		b.restrict(g.Clock.Now(), need)
		ticket, err = b.pool.Place(g.Clock.Now(), need)
	}
	if err == nil || maxWait <= 0 || waitsTooLong(err, maxWait) {
		b.mu.Unlock()
		return ticket, err
	}
	w := b.waitQueue.add(need, rank)
	b.mu.Unlock()
	callsWaited.Add(1)
	t := time.NewTimer(maxWait)
	defer t.Stop()
	select {
	case ticket := <-w.ticket:
		return ticket, nil
	case <-t.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waitQueue.remove(w)
	select {
	case ticket := <-w.ticket:
		// The call was placed just before it was removed from the queue.
		return ticket, nil
	default:
	}
	if ctx.Err() != nil {
		return nil, err
	}
	b.restrict(g.Clock.Now(), need)
	// The ticket must not be dropped: it may be the only probe of its engine.
	return b.pool.Place(g.Clock.Now(), need)
}

// waitsTooLong reports whether a call can't be placed within maxWait because the limits of
// all engines are used up for longer.
func waitsTooLong(err error, maxWait time.Duration) bool {
	e := serving.AsError(err)
	return e.Detail == placement.DetailEngineLimit && e.RetryAfter > maxWait
}

func (q *waitQueue) add(need *placement.Need, rank int) *waitingCall {
	q.sequence++
	w := &waitingCall{need: need, rank: rank, sequence: q.sequence, ticket: make(chan *placement.Ticket, 1)}
	at, _ := slices.BinarySearchFunc(q.calls, w, func(a, b *waitingCall) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(a.sequence) - int(b.sequence)
	})
	q.calls = slices.Insert(q.calls, at, w)
	return w
}

func (q *waitQueue) remove(w *waitingCall) {
	q.calls = slices.DeleteFunc(q.calls, func(o *waitingCall) bool { return o == w })
}

// placeWaiting places the waiting calls for which an engine has room. The caller
// holds mu of the blackboard.
func (b *blackboard) placeWaiting(now time.Duration) {
	if len(b.waitQueue.calls) == 0 {
		return
	}
	failed := map[serving.ServiceID]int{}
	remaining := b.waitQueue.calls[:0]
	for _, w := range b.waitQueue.calls {
		service := w.need.Service.ID
		if failed[service] >= maxFailedPlacements {
			remaining = append(remaining, w)
			continue
		}
		b.restrict(now, w.need)
		ticket, err := b.pool.Place(now, w.need)
		if err != nil {
			failed[service]++
			remaining = append(remaining, w)
			continue
		}
		w.ticket <- ticket
	}
	clear(b.waitQueue.calls[len(remaining):])
	b.waitQueue.calls = remaining
}

// maxFailedPlacements is the number of waiting calls of a service that may fail to
// be placed before the remaining ones are skipped. Smaller calls behind a large one
// may still fit, but they must not make the large one wait forever.
const maxFailedPlacements = 4
