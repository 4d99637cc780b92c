package main

import (
	"fmt"
	"os"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

// cases holds the cases by name. They return one of the exit codes.
var cases = map[string]func(rec *record, trouble bool) (int, error){
	"unstopped-source": unstoppedSource,
	"closing-sockets":  closingSockets,
	"short-fields":     shortFields,
}

// maxTime bounds a case. It is below the 120 s that a script may take.
const maxTime = 115 * time.Second

// processes holds the processes that the case has started.
type processes struct {
	mu  sync.Mutex
	all []*os.Process
}

var started processes

func (p *processes) add(child *os.Process) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.all = append(p.all, child)
}

// endOnSignal ends all processes and the case after a signal or maxTime.
func (p *processes) endOnSignal() {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	select {
	case <-c:
	case <-time.After(maxTime):
	}
	p.mu.Lock()
	for _, child := range p.all {
		// A process that has been waited for is not signaled again.
		_ = child.Kill()
	}
	fmt.Fprintln(os.Stderr, "the case was ended before its time")
	os.Exit(notRun)
}

func main() {
	if len(os.Args) > 1 && os.Args[1] == "engine" {
		if err := engineProcess(os.Args[2:]); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(notRun)
		}
		return
	}
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin3 CASE FOLDER")
		os.Exit(notRun)
	}
	go started.endOnSignal()
	rec, err := newRecord(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	code, err := cases[os.Args[1]](rec, os.Getenv("TROUBLE") != "0")
	if err != nil {
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		code = notRun
	}
	rec.printf("exit status %d", code)
	fmt.Println(os.Args[1], "exit status", code)
	os.Exit(code)
}
