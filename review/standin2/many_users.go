package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["7"] = manyUsers }

// Figures of the case. The entry host is the smallest of the pages' deployments, with 3,075
// descriptors. The users before the burst keep a connection each.
const (
	usualUsers  = 1000
	burstFactor = 1.7
	burstTime   = 3 * time.Second
	orderUsers  = 40
	// orderWork is the longest time that the site files have for an order.
	orderWork = 450 * time.Millisecond
	// userPause is the time between two requests of a user, within four fifths of the idle
	// timeout.
	userPause = 9 * time.Second
	// plainEngines and plainSlots are the engines of the service and their slots.
	plainEngines, plainSlots = 7, 6
	// lostBorne is what the rule bears.
	lostBorne = 3
)

// manyUsers lets many users come at once at an entry, and looks for requests of kept connections
// that were passed on to a sound engine and got no answer.
func manyUsers(t *trial) ([]string, error) {
	t.limits = map[string]any{"cpu_share": 0.144, "cores": 1, "memory_mb": 120, "max_fds": 3075, "link_mbps": 7.5, "disk_mb": 0}
	if err := raiseDescriptors(4096); err != nil {
		return nil, err
	}
	if err := t.startAll(manifest(7)); err != nil {
		return nil, err
	}
	ran := &runs{ids: map[string]bool{}}
	for i := range plainEngines {
		e, err := t.newEngine(i, plainService, zones[i%3])
		if err != nil {
			return nil, err
		}
		e.slots = plainSlots
		e.orderWork, e.onOrder = orderWork, ran.add
		e.start()
	}
	time.Sleep(4 * time.Second)

	var wg sync.WaitGroup
	end := make(chan struct{})
	var lookups, failures atomic.Int64
	user := func(delay time.Duration) {
		c := &client{record: t.record, address: t.frontend(0)}
		defer c.close()
		for wait(end, delay) {
			r := c.send(http.MethodGet, lookupPath, "", 5*time.Second, nil, nil)
			if lookups.Add(1); r.status != http.StatusOK || !r.complete {
				failures.Add(1)
			}
			delay = userPause
		}
	}
	var mu sync.Mutex
	var answered int
	// cut holds the orders whose kept connections ended without an answer.
	var cut []*result
	order := func(delay time.Duration) {
		c := &client{record: t.record, address: t.frontend(0)}
		defer c.close()
		for wait(end, delay) {
			r := c.send(http.MethodPost, orderPath, `{"order":1}`, 5*time.Second, nil, nil)
			mu.Lock()
			switch {
			case r.complete:
				answered++
			case r.kept && r.sent && !r.begun && !errors.Is(r.err, os.ErrDeadlineExceeded):
				cut = append(cut, r)
				t.note("client: the kept connection of order %s ended without an answer: %v", r.id, r.err)
			}
			mu.Unlock()
			delay = time.Duration(rand.Float64() * float64(250*time.Millisecond))
		}
	}
	t.note("%d users come in 8 s, %d of them with orders", usualUsers, orderUsers)
	for i := range usualUsers {
		delay := time.Duration(i) * 8 * time.Second / usualUsers
		if i%(usualUsers/orderUsers) == 0 && i/(usualUsers/orderUsers) < orderUsers {
			wg.Go(func() { order(delay) })
			continue
		}
		wg.Go(func() { user(delay) })
	}
	time.Sleep(16 * time.Second)
	mu.Lock()
	t.note("before the burst: %d orders answered, %d cut; %d lookups, %d failed", answered, len(cut), lookups.Load(), failures.Load())
	mu.Unlock()
	if t.trouble {
		more := int((burstFactor - 1) * usualUsers)
		t.note("burst: %d more users come in %v", more, burstTime)
		for i := range more {
			delay := time.Duration(i) * burstTime / time.Duration(more)
			wg.Go(func() { user(delay) })
		}
	}
	time.Sleep(burstTime + 6*time.Second)
	close(end)
	wg.Wait()
	// Engines that still run an order end it.
	time.Sleep(2 * orderWork)
	var lost []string
	for _, r := range cut {
		if ran.has(r.id) {
			lost = append(lost, fmt.Sprintf("order %s came on a kept connection, an engine has run it, and the connection ended without an answer: %v", r.id, r.err))
		}
	}
	t.note("orders: %d answered, %d cut, %d of them had been passed on; lookups: %d, %d failed", answered, len(cut), len(lost), lookups.Load(), failures.Load())
	if answered == 0 {
		return nil, fmt.Errorf("no order was answered")
	}
	if len(lost) <= lostBorne {
		return nil, nil
	}
	return append(lost[:lostBorne:lostBorne], fmt.Sprintf("%d requests of kept connections were passed on to sound engines and got no answer, more than %d", len(lost), lostBorne)), nil
}

// runs holds the ids of the orders that engines have run to their end.
type runs struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (r *runs) has(id string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ids[id]
}

// add adds the id of an order.
func (r *runs) add(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ids[id] = true
}

// wait waits for d. It returns false if end is closed first.
func wait(end <-chan struct{}, d time.Duration) bool {
	select {
	case <-end:
		return false
	case <-time.After(d):
		return true
	}
}
