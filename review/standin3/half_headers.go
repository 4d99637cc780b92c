package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// halfHeaders plays a crowd of callers that open connections, send the half of a header and stop
// there, beside ordinary callers that keep their connections. The rule LOST is broken if the entry
// passes more than three requests from kept connections on to a sound engine and closes these
// connections without an answer.
func halfHeaders(rec *record, trouble bool) (int, error) {
	const ordinary, crowd = 60, 2300
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 3000 {
		return notRun, fmt.Errorf("the connections need 3000 descriptors, the limit is %d", limit.Cur)
	}
	d, err := startDeployment(rec, 1)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	var ran sync.Map
	for i := range 3 {
		e := &engine{id: "i-7f3a91" + string(rune('a'+i)), service: plainService, zone: zones[i], hubs: d.controlAddresses(), note: func(string, ...any) {}, plainWork: 60 * time.Millisecond,
			onRun: func(id string) { ran.Store(id, true) }}
		if err := e.start(address(d.ip(10+i), 0)); err != nil {
			return notRun, err
		}
		defer e.close()
	}
	time.Sleep(4 * time.Second)
	if a := send(d.frontend(0), http.MethodGet, lookupPath, "0000000000000001", 0, 2*time.Second); a.status != http.StatusOK {
		return notRun, fmt.Errorf("an ordinary request is not served: status %d, %w", a.status, a.err)
	}
	end := time.Now().Add(16 * time.Second)
	var answered, lost, other atomic.Int64
	var callers sync.WaitGroup
	for i := range ordinary {
		callers.Go(func() {
			for n := 0; time.Now().Before(end); n++ {
				keptCaller(rec, d.frontend(0), i, n, end, &ran, &answered, &lost, &other)
			}
		})
	}
	time.Sleep(5 * time.Second)
	if trouble {
		rec.printf("crowd: begins with %d connections", crowd)
		for i := range crowd {
			callers.Go(func() {
				for time.Now().Before(end) {
					halfCaller(d.frontend(0), i, end)
				}
			})
			time.Sleep(time.Millisecond)
		}
	}
	callers.Wait()
	rec.printf("ordinary callers: %d requests answered, %d from kept connections ran at an engine and got no answer, %d others got none", answered.Load(), lost.Load(), other.Load())
	fmt.Println("answered", answered.Load(), "ran and lost", lost.Load(), "others without an answer", other.Load())
	if lost.Load() > 3 {
		return broken, nil
	}
	return held, nil
}

// halfCaller sends the half of a header and waits until its connection is closed.
func halfCaller(frontend string, n int, end time.Time) {
	c, err := net.DialTimeout("tcp", frontend, time.Second)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer c.Close()
	_ = c.SetDeadline(end)
	head := requestHead(http.MethodGet, lookupPath, 1<<22+n, "")
	_, _ = io.WriteString(c, head[:len(head)/2])
	_, _ = io.Copy(io.Discard, c)
	time.Sleep(200 * time.Millisecond)
}

// keptCaller sends orders on one connection, one after another, until the connection ends.
func keptCaller(rec *record, frontend string, caller, connection int, end time.Time, ran *sync.Map, answered, lost, other *atomic.Int64) {
	c, err := net.DialTimeout("tcp", frontend, time.Second)
	if err != nil {
		time.Sleep(200 * time.Millisecond)
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 0; time.Now().Before(end); n++ {
		number := caller<<16 + connection<<10 + n
		id := fmt.Sprintf("%016x", 0x1c41d07b00000000+number)
		_ = c.SetDeadline(time.Now().Add(3 * time.Second))
		if _, err := io.WriteString(c, requestHead(http.MethodPost, orderPath, number, "")+"Content-Length: 2\r\n\r\n{}"); err != nil {
			return
		}
		status, err := readAnswer(r, http.MethodPost)
		if err == nil {
			answered.Add(1)
			continue
		}
		time.Sleep(200 * time.Millisecond)
		if _, has := ran.Load(id); has && n > 0 {
			lost.Add(1)
			rec.printf("caller %d: request %s, number %d on its connection, ran at an engine and got no answer: status %d, %v", caller, id, n+1, status, err)
			return
		}
		other.Add(1)
		return
	}
}
