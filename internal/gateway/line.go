package gateway

import (
	"context"
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/placement"
)

// line holds the calls that wait for room at an engine, most urgent first.
type line struct {
	waiting []*waiter
	number  uint64
}

// waiter is one call in the line.
type waiter struct {
	need   *placement.Need
	rank   int
	number uint64
	ticket chan *placement.Ticket
}

// place claims an engine for a call. A call that no engine has room for waits up
// to patience; the error then is the last refusal.
func (g *Gateway) place(ctx context.Context, need *placement.Need, rank int, patience time.Duration) (*placement.Ticket, error) {
	b := &g.board
	b.mu.Lock()
	ticket, err := b.pool.Place(g.Clock.Now(), need)
	if err == nil || patience <= 0 {
		b.mu.Unlock()
		return ticket, err
	}
	w := b.line.add(need, rank)
	b.mu.Unlock()
	waited.Add(1)
	t := time.NewTimer(patience)
	defer t.Stop()
	select {
	case ticket := <-w.ticket:
		return ticket, nil
	case <-t.C:
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.line.remove(w)
	select {
	case ticket := <-w.ticket:
		// The room was found at the last moment.
		return ticket, nil
	default:
	}
	if _, later := b.pool.Place(g.Clock.Now(), need); later != nil {
		return nil, later
	}
	return nil, err
}

func (l *line) add(need *placement.Need, rank int) *waiter {
	l.number++
	w := &waiter{need: need, rank: rank, number: l.number, ticket: make(chan *placement.Ticket, 1)}
	at, _ := slices.BinarySearchFunc(l.waiting, w, func(a, b *waiter) int {
		if a.rank != b.rank {
			return a.rank - b.rank
		}
		return int(a.number) - int(b.number)
	})
	l.waiting = slices.Insert(l.waiting, at, w)
	return w
}

func (l *line) remove(w *waiter) {
	l.waiting = slices.DeleteFunc(l.waiting, func(o *waiter) bool { return o == w })
}

// serveLine gives room to the waiting calls. The caller holds mu of the blackboard.
func (b *blackboard) serveLine(now time.Duration) {
	if len(b.line.waiting) == 0 {
		return
	}
	blocked := map[serving.ServiceID]int{}
	kept := b.line.waiting[:0]
	for _, w := range b.line.waiting {
		service := w.need.Service.ID
		if blocked[service] >= maxBlocked {
			kept = append(kept, w)
			continue
		}
		ticket, err := b.pool.Place(now, w.need)
		if err != nil {
			blocked[service]++
			kept = append(kept, w)
			continue
		}
		w.ticket <- ticket
	}
	clear(b.line.waiting[len(kept):])
	b.line.waiting = kept
}

// maxBlocked bounds the calls of a service that are tried after one that does
// not fit: smaller ones may still fit, and a large one must not wait forever.
const maxBlocked = 4
