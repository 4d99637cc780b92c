// Package main holds the stand-ins of the review cases: engines, callers, an operator and
// links between processes, and a driver that starts the project's programs as processes on
// loopback addresses.
//
// # Usage
//
//	target/review-standin case NAME RECORD
//	target/review-standin engine CONFIG
//	target/review-standin guard
//
// The first form runs one case, writes what was sent, answered and run to the file RECORD,
// and exits with 1 if the rule was broken, 0 if it held and 2 if the case could not run.
// With TROUBLE=0 in the environment the case runs without its disruption. The second form
// runs one engine, and the third ends what a driver that was killed has left; the driver starts
// both.
package main

import (
	"errors"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// caseLimit bounds the time that a case may take.
const caseLimit = 110 * time.Second

// errBroken is returned by a case that saw its rule broken.
var errBroken = errors.New("the rule was broken")

// cases holds the cases by name.
var cases = map[string]func(*deployment) error{
	"two-runs":         twoRuns,
	"truncated-stream": truncatedStream,
	"spoiled-answer":   spoiledAnswer,
	"late-stream":      lateStream,
	"unanswered":       unanswered,
	"lost-engine":      lostEngine,
	"other-writer":     otherWriter,
	"disk-losses":      diskLosses,
}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "engine" {
		runEngineProcess(os.Args[2])
		return
	}
	if len(os.Args) == 2 && os.Args[1] == "guard" {
		runGuard()
		return
	}
	if len(os.Args) != 4 || os.Args[1] != "case" || cases[os.Args[2]] == nil {
		fmt.Fprintln(os.Stderr, "usage: review-standin case NAME RECORD | engine CONFIG")
		os.Exit(exitNotRun)
	}
	os.Exit(runCase(os.Args[2], os.Args[3]))
}

func runCase(name, record string) int {
	d, err := newDeployment(record, os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitNotRun
	}
	finished := false
	defer func() { d.close(finished) }()
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, syscall.SIGINT)
	done := make(chan error, 1)
	go func() { done <- cases[name](d) }()
	select {
	case err = <-done:
		finished = true
	case s := <-stop:
		err = fmt.Errorf("stopped by %v", s)
	case <-time.After(caseLimit):
		err = fmt.Errorf("the case took longer than %v", caseLimit)
	}
	switch {
	case err == nil:
		d.logf("RESULT held")
		return exitHeld
	case errors.Is(err, errBroken):
		d.logf("RESULT broken: %v", err)
		return exitBroken
	}
	d.logf("RESULT not run: %v", err)
	return exitNotRun
}
