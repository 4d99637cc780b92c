package main

import (
	"encoding/json"
	"fmt"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// greyShare is the largest share of its requests that a grey engine fails.
const greyShare = 0.45

// unstoppedSource plays a model engine that leaves as planned while it runs some streams, and that
// resets a part of its requests: the order to stop one of the streams, which it does not carry out,
// and a second later this stream itself, on which it goes on to work. The rule TWICE is broken if
// another engine goes on with the request while the first still works on it 400 ms later.
func unstoppedSource(rec *record, trouble bool) (int, error) {
	d, err := startDeployment(rec, 1, usualMemoryMB)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	const streams, events, count = 36, 200, 12
	f := newFleet()
	// unstopped is the request whose order to stop was reset, at the time stopReset in Unix
	// milliseconds.
	var unstopped atomic.Value
	var stopReset atomic.Int64
	var streamReset atomic.Bool
	var engines []*engine
	for i := range count {
		e := &engine{id: "i-7f3a91" + string(rune('a'+i)), service: modelService, zone: zones[i%len(zones)], hubs: d.controlAddresses(), fleet: f, note: rec.printf}
		e.refuseConn = func(path string, body []byte) bool {
			var order struct {
				ID   string `json:"id"`
				Last bool   `json:"last"`
			}
			if !trouble || path != "/-/kv-move" || json.Unmarshal(body, &order) != nil || !order.Last || !unstopped.CompareAndSwap(nil, order.ID) {
				return false
			}
			stopReset.Store(time.Now().UnixMilli())
			rec.printf("engine %s: resets the connection of the order to stop %s, which is not carried out", e.id, order.ID)
			return true
		}
		e.loseAnswer = func(id string, _ int) bool {
			at := stopReset.Load()
			return at != 0 && unstopped.Load() == id && time.Since(time.UnixMilli(at)) > time.Second && streamReset.CompareAndSwap(false, true)
		}
		engines = append(engines, e)
		if err := e.start(address(d.ip(10+i), 0)); err != nil {
			return notRun, err
		}
		defer e.close()
	}
	time.Sleep(4 * time.Second)
	var callers sync.WaitGroup
	for i := range streams {
		id := fmt.Sprintf("%016x", 0x1c41d07be2a30000+i)
		callers.Go(func() {
			a := send(d.frontend(0), "POST", streamPath, id, events, 20*time.Second)
			rec.printf("caller: request %s: status %d, whole %v, %d of %d events, err %v", id, a.status, a.whole, strings.Count(a.body, "data:"), events, a.err)
		})
		time.Sleep(30 * time.Millisecond)
	}
	source := runningSome(engines, 3, 10)
	if source == nil {
		rec.printf("no engine runs three of the streams")
		return notRun, nil
	}
	source.drain()
	if trouble {
		go func() {
			for !streamReset.Load() {
				time.Sleep(10 * time.Millisecond)
			}
			time.Sleep(200 * time.Millisecond)
			c, err := net.DialTimeout("tcp", source.address(), time.Second)
			rec.printf("engine %s: accepts connections 200 ms later: %v", source.id, err == nil)
			if err == nil {
				_ = c.Close()
			}
		}()
	}
	callers.Wait()
	time.Sleep(500 * time.Millisecond)
	source.mu.Lock()
	requests := source.requests
	source.mu.Unlock()
	rec.printf("engine %s: %d requests and orders in all", source.id, requests)
	if trouble && 2 > greyShare*float64(requests) {
		rec.printf("the two that were reset are more than the share of a grey engine")
		return notRun, nil
	}
	return doubled(rec, engines, source), nil
}

// runningSome waits until an engine has made some events of a number of requests, and returns it. It
// returns nil if none does in time.
func runningSome(engines []*engine, requests, events int) *engine {
	for deadline := time.Now().Add(4 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, e := range engines {
			n := 0
			for _, r := range e.allRuns() {
				if r.events > events && r.ended.IsZero() {
					n++
				}
			}
			if n >= requests {
				return e
			}
		}
	}
	return nil
}

// doubled returns whether the rule was broken by a request that ran at the source.
func doubled(rec *record, engines []*engine, source *engine) int {
	code := held
	for id, first := range source.allRuns() {
		for _, e := range engines {
			next, ok := e.allRuns()[id]
			if !ok || e == source || next.began.Before(first.began) {
				continue
			}
			overlap := first.ended.Sub(next.began)
			rec.printf("request %s: engine %s began to go on %d ms before engine %s ended its work on it; stopped there by an order: %v", id, e.id, overlap.Milliseconds(), source.id, first.stopped)
			if overlap > 400*time.Millisecond {
				code = broken
			}
		}
	}
	return code
}
