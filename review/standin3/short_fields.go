package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// shortFields plays a crowd of callers that keep their connections: each has one ordinary request
// answered, and then sends one that is legal in size but has very many short fields, and stops a
// byte short of the end of its body. The platform kills the process of an entry that is over the
// memory of its machine, and starts it again. The case counts these ends: the rule Fault is broken
// if they come three times on each of two entries.
func shortFields(rec *record, trouble bool) (int, error) {
	const entries, memoryMB, crowd, fields, allowed = 2, 134, 500, 2200, 2
	d, err := startDeployment(rec, entries, memoryMB)
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
	text := fieldText(fields)
	end := time.Now().Add(60 * time.Second)
	ends := make([]int, entries)
	var crowds, platform sync.WaitGroup
	var results tally
	release := make(chan struct{})
	for entry := range entries {
		frontend := d.frontend(entry)
		if a := send(frontend, http.MethodGet, lookupPath, fmt.Sprintf("%016x", entry+1), 0, 2*time.Second); a.status != http.StatusOK {
			return notRun, fmt.Errorf("an ordinary request is not served: status %d, %w", a.status, a.err)
		}
		platform.Go(func() { ends[entry] = d.limitMemory(entry, allowed+1, end) })
		crowds.Go(func() {
			var callers sync.WaitGroup
			for i := range crowd {
				callers.Go(func() {
					for !isClosed(release) {
						results.add(crowdCaller(frontend, entry*crowd+i, text, trouble, release))
						time.Sleep(time.Second)
					}
				})
				// Some hundred connections come in a second.
				time.Sleep(3 * time.Millisecond)
			}
			callers.Wait()
		})
	}
	platform.Wait()
	close(release)
	crowds.Wait()
	results.write(rec)
	for entry, n := range ends {
		rec.printf("entry %d: its process was over the memory of its machine, %d MB, and was killed %d times", entry, d.entryMemoryMB, n)
	}
	fmt.Println("processes killed:", ends)
	if slices.Min(ends) > allowed {
		return broken, nil
	}
	return held, nil
}

// limitMemory kills the process of an entry whenever it has more memory than its machine, and starts
// it again, until that has happened a number of times or the time is over. It returns how often it
// happened.
func (d *deployment) limitMemory(entry, most int, end time.Time) (n int) {
	peak := 0
	for ; n < most && time.Now().Before(end); time.Sleep(100 * time.Millisecond) {
		now, err := residentMB(d.entries[entry].cmd.Process.Pid)
		if err != nil {
			d.record.printf("entry %d: its process has ended: %v", entry, err)
		}
		peak = max(peak, now)
		if err == nil && now <= d.entryMemoryMB {
			continue
		}
		d.record.printf("entry %d: %d MB in memory, its machine has %d MB; the platform kills the process", entry, now, d.entryMemoryMB)
		n++
		d.entries[entry].stop()
		time.Sleep(500 * time.Millisecond)
		p, err := d.start("gateway", hubCount+entry)
		if err != nil {
			d.record.printf("entry %d: not started again: %v", entry, err)
			return n
		}
		d.entries[entry] = p
	}
	d.record.printf("entry %d: %d MB in memory at the peak", entry, peak)
	return n
}

// tally counts what became of requests.
type tally struct {
	mu     sync.Mutex
	counts map[string]int
}

func (t *tally) add(result string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = map[string]int{}
	}
	t.counts[result]++
}

func (t *tally) write(rec *record) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for result, n := range t.counts {
		rec.printf("crowd: %d times: %s", n, result)
	}
}

func isClosed(c <-chan struct{}) bool {
	select {
	case <-c:
		return true
	default:
		return false
	}
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
		return "first request not served"
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
		if err != nil {
			answered <- "second request stopped short, the connection ended without an answer"
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

// residentMB returns the memory of a process in MiB, without the pages of its program file.
func residentMB(pid int) (int, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(b)) {
		if value, ok := strings.CutPrefix(line, "RssAnon:"); ok {
			kb, err := strconv.Atoi(strings.TrimSuffix(strings.TrimSpace(value), " kB"))
			return kb >> 10, err
		}
	}
	return 0, errors.New("the process has ended")
}
