package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"
)

// shortFields plays a crowd of callers that keep their connections: each has one ordinary request
// answered, and then sends one that is legal in size but has very many short fields, and stops a
// byte short of the end of its body. The process of the entry has to stay within the memory of its
// machine.
func shortFields(rec *record, trouble bool) (int, error) {
	const crowd, fields = 1200, 2200
	d, err := startDeployment(rec, 1)
	if d != nil {
		defer d.close()
	}
	if err != nil {
		return notRun, err
	}
	for i := range 3 {
		e := &engine{id: "i-7f3a91" + string(rune('a'+i)), service: plainService, zone: zones[i], hubs: d.controlAddresses(), note: func(string, ...any) {}, plainWork: 5 * time.Millisecond}
		if err := e.start(address(d.ip(10+i), 0)); err != nil {
			return notRun, err
		}
		defer e.close()
	}
	time.Sleep(4 * time.Second)
	if a := send(d.frontend(0), http.MethodGet, lookupPath, "0000000000000001", 0, 2*time.Second); a.status != http.StatusOK {
		return notRun, fmt.Errorf("an ordinary request is not served: status %d, %w", a.status, a.err)
	}
	pid := d.entries[0].cmd.Process.Pid
	before, err := residentMB(pid)
	if err != nil {
		return notRun, err
	}
	rec.printf("entry: %d MB in memory before the crowd", before)
	text := fieldText(fields)
	var wg sync.WaitGroup
	var mu sync.Mutex
	results := map[string]int{}
	note := func(result string) {
		mu.Lock()
		defer mu.Unlock()
		results[result]++
	}
	release := make(chan struct{})
	for i := range crowd {
		wg.Go(func() { note(crowdCaller(d.frontend(0), i, text, trouble, release)) })
		// Some hundred connections come in a second.
		time.Sleep(3 * time.Millisecond)
	}
	peak := before
	for end := time.Now().Add(20 * time.Second); time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now, err := residentMB(pid)
		if err != nil {
			rec.printf("entry: its process has ended: %v", err)
			return broken, nil
		}
		if now > peak+10 {
			rec.printf("entry: %d MB in memory", now)
		}
		peak = max(peak, now)
	}
	close(release)
	wg.Wait()
	for result, n := range results {
		rec.printf("crowd: %d callers: %s", n, result)
	}
	rec.printf("entry: %d MB in memory at the peak, its machine has %d MB", peak, entryMemoryMB)
	fmt.Println("peak", peak, "MB of", entryMemoryMB)
	if peak > entryMemoryMB {
		return broken, nil
	}
	return held, nil
}

// fieldText returns a number of header fields with different names of three letters and no value.
func fieldText(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := range n {
		b.WriteString(string([]byte{letters[i%26], letters[i/26%26], letters[i/676%26]}) + ":\r\n")
	}
	return b.String()
}

// crowdCaller sends the two requests of one caller and returns what became of them.
func crowdCaller(frontend string, n int, fields string, trouble bool, release chan struct{}) string {
	c, err := net.DialTimeout("tcp", frontend, time.Second)
	if err != nil {
		return "not connected"
	}
	defer c.Close()
	_ = c.SetDeadline(time.Now().Add(10 * time.Second))
	r := bufio.NewReader(c)
	_, _ = io.WriteString(c, requestHead(http.MethodGet, lookupPath, n, "")+"\r\n")
	if status, err := readAnswer(r, http.MethodGet); err != nil || status != http.StatusOK {
		return fmt.Sprint("first request not served: ", status, " ", err)
	}
	_ = c.SetDeadline(time.Now().Add(time.Minute))
	body := `{"order":1}`
	if !trouble {
		_, _ = io.WriteString(c, requestHead(http.MethodPost, orderPath, crowdOffset+n, "")+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body)
		status, _ := readAnswer(r, http.MethodPost)
		return fmt.Sprint("second request answered with ", status)
	}
	_, _ = io.WriteString(c, requestHead(http.MethodPost, orderPath, crowdOffset+n, fields)+"Content-Length: "+strconv.Itoa(len(body))+"\r\n\r\n"+body[:len(body)-1])
	answered := make(chan string, 1)
	go func() {
		status, err := readAnswer(r, http.MethodPost)
		var timeout net.Error
		if errors.As(err, &timeout) {
			answered <- "second request stopped short, not answered"
			return
		}
		answered <- fmt.Sprint("second request stopped short, answered with ", status)
	}()
	select {
	case result := <-answered:
		return result
	case <-release:
		_ = c.SetDeadline(time.Now())
		return <-answered
	}
}

// crowdOffset separates the ids of the second requests from those of the first.
const crowdOffset = 1 << 20

func requestHead(method, path string, n int, fields string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Turmericdrum-Attempt-Id: %016x\r\nX-Turmericdrum-Deadline-Ms: 2000\r\nAuthorization: Bearer %s\r\n%s",
		method, path, routeHost, 0x1c41d07b00000000+n, apiKey, fields)
}

func readAnswer(r *bufio.Reader, method string) (int, error) {
	res, err := http.ReadResponse(r, &http.Request{Method: method})
	if err != nil {
		return 0, err
	}
	defer res.Body.Close()
	_, err = io.Copy(io.Discard, res.Body)
	return res.StatusCode, err
}

// residentMB returns the memory of a process in MiB.
func residentMB(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10, err
		}
	}
	return 0, errors.New("the process has ended")
}
