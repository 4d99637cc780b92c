package main

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

func init() { cases["8"] = longHeaders }

// Figures of the case. Lookups come at usualRate, each on a new connection, and at burstRate
// times that in the burst.
const (
	usualRate = 22
	usualTime = 78 * time.Second
	burstRate = 2.5
	burstFrom = 20 * time.Second
	burstFor  = 10 * time.Second
	// keptUsers send orders on connections that they keep.
	keptUsers = 20
	// cookieBytes is the length of a header field, within max_header_bytes (16,384).
	cookieBytes = 15800
	// orderCookieBytes is that of the orders.
	orderCookieBytes = 5000
)

// longHeaders lets a burst of requests come on new connections, with headers inside the limits of
// the manifest, and looks for requests of kept connections that got no answer.
func longHeaders(t *trial) ([]string, error) {
	t.limits = map[string]any{"cpu_share": 0.192, "cores": 1, "memory_mb": 112, "max_fds": 4100, "link_mbps": 10.0, "disk_mb": 0}
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
	time.Sleep(5 * time.Second)
	header := map[string]string{"Cookie": "s=" + strings.Repeat("c", cookieBytes)}
	orderHeader := map[string]string{"Cookie": "s=" + strings.Repeat("c", orderCookieBytes)}
	var wg sync.WaitGroup
	end := make(chan struct{})
	var mu sync.Mutex
	answered := 0
	var cut []*result
	for i := range keptUsers {
		wg.Go(func() {
			c := &client{record: t.record, address: t.frontend(0)}
			defer c.close()
			for delay := time.Duration(i) * 20 * time.Millisecond; wait(end, delay); delay = time.Duration(rand.IntN(300)) * time.Millisecond {
				r := c.send(http.MethodPost, orderPath, `{"order":1}`, 5*time.Second, orderHeader, nil)
				mu.Lock()
				switch {
				case r.complete && r.status == http.StatusOK:
					answered++
				case r.kept && r.sent && !r.begun && !errors.Is(r.err, os.ErrDeadlineExceeded):
					cut = append(cut, r)
					t.note("client: the kept connection of order %s ended without an answer: %v", r.id, r.err)
				}
				mu.Unlock()
			}
		})
	}
	var lookups, refused, failed atomic.Int64
	lookUp := func() {
		c := &client{record: t.record, address: t.frontend(0)}
		defer c.close()
		r := c.send(http.MethodGet, lookupPath, "", 5*time.Second, header, nil)
		switch {
		case r.complete && r.status == http.StatusOK:
			lookups.Add(1)
		case r.status == http.StatusServiceUnavailable:
			refused.Add(1)
		default:
			failed.Add(1)
		}
	}
	start := time.Now()
	report := func() {
		mu.Lock()
		defer mu.Unlock()
		t.note("after %.0f s: lookups: %d answered, %d refused, %d failed; orders: %d answered, %d cut", time.Since(start).Seconds(), lookups.Load(), refused.Load(),
			failed.Load(), answered, len(cut))
	}
	for n, nextReport := 0, 2*time.Second; time.Since(start) < usualTime; n++ {
		rate := float64(usualRate)
		if now := time.Since(start); t.trouble && now >= burstFrom && now < burstFrom+burstFor {
			rate *= burstRate
		}
		wg.Go(lookUp)
		time.Sleep(time.Duration(float64(time.Second) / rate))
		if time.Since(start) > nextReport {
			report()
			nextReport += 4 * time.Second
		}
	}
	close(end)
	wg.Wait()
	time.Sleep(2 * orderWork)
	report()
	var lost []string
	for _, r := range cut {
		if ran.has(r.id) {
			lost = append(lost, fmt.Sprintf("order %s came on a kept connection, an engine has run it, and the connection ended without an answer: %v", r.id, r.err))
		}
	}
	t.note("%d orders whose kept connections ended without an answer, %d of them had been passed on", len(cut), len(lost))
	if answered == 0 {
		return nil, fmt.Errorf("no order was answered")
	}
	if len(lost) <= lostBorne {
		return nil, nil
	}
	return append(lost[:lostBorne:lostBorne], fmt.Sprintf("%d requests of kept connections were passed on to sound engines and got no answer, more than %d", len(lost), lostBorne)), nil
}
