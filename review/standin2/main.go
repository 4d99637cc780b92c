package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Exit statuses.
const (
	ruleHeld   = 0
	ruleBroken = 1
	notRun     = 2
)

// limit bounds the time of a case. It is below the 120 s that a script may take.
const limit = 110 * time.Second

// cases maps the number of a case to its function. The result is what broke the rule, empty if
// it held.
var cases = map[string]func(*trial) (broken []string, err error){}

// trial is one run of a case.
type trial struct {
	trouble bool
	*record
	*deployment
}

func main() {
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(notRun)
	}
	os.Exit(run(os.Args[1], os.Args[2]))
}

func run(name, folder string) int {
	f := cases[name]
	if f == nil {
		fmt.Fprintln(os.Stderr, "there is no case", name)
		return notRun
	}
	t := &trial{trouble: os.Getenv("TROUBLE") != "0", record: newRecord()}
	d, err := newDeployment(t.record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	t.deployment = d
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM, syscall.SIGHUP)
	type result struct {
		broken []string
		err    error
	}
	done := make(chan result, 1)
	go func() {
		broken, err := f(t)
		done <- result{broken, err}
	}()
	var r result
	select {
	case r = <-done:
	case <-time.After(limit):
		r.err = errors.New("the case took too long")
	case s := <-signals:
		r.err = fmt.Errorf("the case was ended by %v", s)
	}
	d.close()
	status := ruleHeld
	switch {
	case len(r.broken) > 0:
		status = ruleBroken
		for _, b := range r.broken {
			t.note("BROKEN: %s", b)
		}
	case r.err != nil:
		status = notRun
		t.note("NOT RUN: %v", r.err)
	default:
		t.note("the rule held")
	}
	t.note("trouble %v, exit status %d", t.trouble, status)
	if err := t.write(filepath.Join(folder, "record.txt")); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return notRun
	}
	for _, line := range t.tail(12) {
		fmt.Println(line)
	}
	return status
}

// record collects what was sent, answered and run, with the time since the start.
type record struct {
	mu    sync.Mutex
	start time.Time
	lines []line
}

type line struct {
	at   time.Duration
	text string
}

func newRecord() *record { return &record{start: time.Now()} }

// note adds a line.
func (r *record) note(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lines = append(r.lines, line{time.Since(r.start), fmt.Sprintf(format, args...)})
}

func (r *record) tail(n int) []string {
	r.mu.Lock()
	defer r.mu.Unlock()
	sort.SliceStable(r.lines, func(i, j int) bool { return r.lines[i].at < r.lines[j].at })
	var out []string
	for _, l := range r.lines[max(0, len(r.lines)-n):] {
		out = append(out, fmt.Sprintf("%8.3f  %s", l.at.Seconds(), l.text))
	}
	return out
}

func (r *record) write(path string) error {
	return os.WriteFile(path, []byte(strings.Join(r.tail(1<<30), "\n")+"\n"), 0o600)
}
