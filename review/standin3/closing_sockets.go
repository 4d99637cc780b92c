package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// engineProcess runs one model engine until it is killed. Its long streams have no length and end
// with their connections.
func engineProcess(args []string) error {
	if len(args) != 4 {
		return errors.New("usage: standin3 engine ID ZONE LISTEN HUBS")
	}
	var mu sync.Mutex
	e := &engine{id: args[0], service: modelService, zone: args[1], hubs: strings.Split(args[3], ","),
		unframed: func(path string) bool { return path == streamPath },
		note: func(format string, args ...any) {
			mu.Lock()
			defer mu.Unlock()
			fmt.Printf(format+"\n", args...)
		}}
	if err := e.start(args[2]); err != nil {
		return err
	}
	select {}
}

// child is an engine in a process of its own.
type child struct {
	cmd  *exec.Cmd
	done chan struct{}
}

func startChild(rec *record, id, zone, listen string, hubs []string) (*child, error) {
	cmd := exec.Command(os.Args[0], "engine", id, zone, listen, strings.Join(hubs, ","))
	out, err := cmd.StdoutPipe()
	if err != nil {
		return nil, err
	}
	cmd.Stderr = os.Stderr
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	started.add(cmd.Process)
	c := &child{cmd: cmd, done: make(chan struct{})}
	go func() {
		defer close(c.done)
		for s := bufio.NewScanner(out); s.Scan(); {
			rec.printf("%s", s.Text())
		}
	}()
	return c, nil
}

func (c *child) kill() {
	_ = c.cmd.Process.Signal(syscall.SIGKILL)
	<-c.done
	_ = c.cmd.Wait()
}

// otherCaller uses a connection to an engine as the other machines do: it is opened, serves a
// status check, and is kept for some time.
func otherCaller(engine string, end time.Time) {
	buffer := make([]byte, 1<<10)
	for time.Now().Before(end) {
		c, err := net.DialTimeout("tcp", engine, time.Second)
		if err != nil {
			time.Sleep(200 * time.Millisecond)
			continue
		}
		_, _ = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: "+engine+"\r\n\r\n")
		keptUntil := time.Now().Add(time.Duration(5000+rand.IntN(10000)) * time.Millisecond)
		if keptUntil.After(end) {
			keptUntil = end
		}
		_ = c.SetReadDeadline(keptUntil)
		// The answer is short enough for one read. The second one waits for the end of the
		// connection.
		for range 2 {
			if _, err := c.Read(buffer); err != nil {
				break
			}
		}
		_ = c.Close()
	}
}

// closingSockets plays model engines that crash one after another. The rules MIXED and ORDER are
// broken if a caller gets a part of a stream as a complete one.
func closingSockets(rec *record, trouble bool) (int, error) {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil || limit.Cur < 9000 {
		return notRun, fmt.Errorf("the connections need 9000 descriptors, the limit is %d", limit.Cur)
	}
	d, err := startDeployment(rec, 1, usualMemoryMB)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	const engines, otherConnections, longEvents, shortEvents = 6, 1250, 120, 4
	children := make([]*child, engines)
	starts := 0
	engineAddress := func(i int) string { return address(d.ip(10+i), d.ports.frontend) }
	start := func(i int) error {
		starts++
		var err error
		children[i], err = startChild(rec, fmt.Sprintf("i-%d%04d", i, starts), zones[i%len(zones)], engineAddress(i), d.controlAddresses())
		return err
	}
	for i := range children {
		if err := start(i); err != nil {
			return notRun, err
		}
		defer func() { children[i].kill() }()
	}
	time.Sleep(4 * time.Second)
	var wrong, whole, failed, next atomic.Int64
	end := time.Now().Add(32 * time.Second)
	var callers sync.WaitGroup
	caller := func(path string, events int, pause time.Duration) {
		for time.Now().Before(end) {
			id := fmt.Sprintf("%016x", 0x1c41d07b00000000+next.Add(1))
			a := send(d.frontend(0), http.MethodPost, path, id, events, 6*time.Second)
			want := ""
			for n := range events {
				want += event(id, n+1)
			}
			switch {
			case a.status == http.StatusOK && a.whole && a.body == want && a.seal == seal(id):
				whole.Add(1)
			case a.status == http.StatusOK && a.whole:
				wrong.Add(1)
				rec.printf("caller: request %s %s has got %d of %d events as a whole answer with status 200", id, path, strings.Count(a.body, "data:"), events)
			default:
				failed.Add(1)
				rec.printf("caller: request %s %s failed: status %d, whole %v, %d of %d events, %v", id, path, a.status, a.whole, strings.Count(a.body, "data:"), events, a.err)
			}
			time.Sleep(pause)
		}
	}
	for i := range engines {
		for range otherConnections {
			callers.Go(func() { otherCaller(engineAddress(i), end) })
		}
	}
	for range 36 {
		callers.Go(func() { caller(streamPath, longEvents, 100*time.Millisecond) })
	}
	for range 18 {
		callers.Go(func() { caller(shortPath, shortEvents, 300*time.Millisecond) })
	}
	for i := 0; trouble && time.Now().Add(6*time.Second).Before(end); i = (i + 1) % engines {
		time.Sleep(time.Second + time.Duration(rand.IntN(500))*time.Millisecond)
		rec.printf("the process of the engine at %s is killed", engineAddress(i))
		children[i].kill()
		time.Sleep(2500 * time.Millisecond)
		if err := start(i); err != nil {
			return notRun, err
		}
	}
	callers.Wait()
	rec.printf("%d answers whole, %d failed, %d cut short but given as whole", whole.Load(), failed.Load(), wrong.Load())
	fmt.Println("whole", whole.Load(), "failed", failed.Load(), "cut short", wrong.Load())
	if wrong.Load() > 0 {
		return broken, nil
	}
	return held, nil
}
