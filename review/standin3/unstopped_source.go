package main

import (
	"strings"
	"sync/atomic"
	"time"
)

// unstoppedSource plays a model engine that leaves as planned while it runs a stream, and that
// resets a part of its requests: the order to stop the stream, which it does not carry out, and a
// second later the stream itself, on which it goes on to work. The rule TWICE is broken if another
// engine goes on with the request while the first still works on it 400 ms later.
func unstoppedSource(rec *record, trouble bool) (int, error) {
	d, err := startDeployment(rec, 1, usualMemoryMB)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	const id, events, count = "9c41d07be2a35f68", 200, 12
	f := newFleet()
	// stopReset is the time in Unix milliseconds at which the order to stop was reset.
	var stopReset atomic.Int64
	var streamReset atomic.Bool
	var engines []*engine
	for i := range count {
		e := &engine{id: "i-7f3a91" + string(rune('a'+i)), service: modelService, zone: zones[i%len(zones)], hubs: d.controlAddresses(), fleet: f, note: rec.printf}
		e.refuseConn = func(path string, body []byte) bool {
			if !trouble || path != "/-/kv-move" || !strings.Contains(string(body), `"last":true`) || !stopReset.CompareAndSwap(0, time.Now().UnixMilli()) {
				return false
			}
			rec.printf("engine %s: resets the connection of the order to stop %s, which is not carried out", e.id, id)
			return true
		}
		e.loseAnswer = func(string, int) bool {
			at := stopReset.Load()
			return at != 0 && time.Since(time.UnixMilli(at)) > time.Second && streamReset.CompareAndSwap(false, true)
		}
		engines = append(engines, e)
		if err := e.start(address(d.ip(10+i), 0)); err != nil {
			return notRun, err
		}
		defer e.close()
	}
	time.Sleep(4 * time.Second)
	got := make(chan answer, 1)
	go func() { got <- send(d.frontend(0), "POST", streamPath, id, events, 20*time.Second) }()
	source := runningAt(engines, id, 10)
	if source == nil {
		rec.printf("no engine runs the stream")
		return notRun, nil
	}
	source.drain()
	a := <-got
	rec.printf("caller: status %d, whole %v, %d of %d events, err %v", a.status, a.whole, strings.Count(a.body, "data:"), events, a.err)
	first, _ := source.runOf(id)
	for deadline := time.Now().Add(10 * time.Second); first.ended.IsZero() && time.Now().Before(deadline); first, _ = source.runOf(id) {
		time.Sleep(50 * time.Millisecond)
	}
	code := held
	for _, e := range engines {
		next, ok := e.runOf(id)
		if !ok || e == source {
			continue
		}
		overlap := first.ended.Sub(next.began)
		rec.printf("engine %s began to go on with the request %d ms before engine %s ended its work on it; stopped there by an order: %v", e.id, overlap.Milliseconds(), source.id, first.stopped)
		if overlap > 400*time.Millisecond {
			code = broken
		}
	}
	return code, nil
}

// runningAt waits until an engine has made some events of a request, and returns it. It returns nil
// if none does in time.
func runningAt(engines []*engine, id string, events int) *engine {
	for deadline := time.Now().Add(5 * time.Second); time.Now().Before(deadline); time.Sleep(10 * time.Millisecond) {
		for _, e := range engines {
			if r, ok := e.runOf(id); ok && r.events > events {
				return e
			}
		}
	}
	return nil
}
