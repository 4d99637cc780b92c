// Command testsummary reads the output of go test -json, prints failures and
// the tests that KNOWN-RED.txt lists, and ends with a line that counts results.
//
// # Usage
//
//	go test -json ./... | go run ./internal/testsummary -known KNOWN-RED.txt
//
// An entry of KNOWN-RED.txt starts with a line "test: PACKAGE TestName"; only
// failures of exactly these tests do not fail the run.
package main

import (
	"bufio"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"os"
	"sort"
	"strings"
)

type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

type summary struct {
	known   map[string]bool
	output  map[string][]string
	result  map[string]string
	bad     []string
	red     []string
	green   []string
	passed  int
	failed  int
	skipped int
}

func main() {
	known := flag.String("known", "KNOWN-RED.txt", "file that lists known failures")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	s := &summary{known: readKnown(*known), output: map[string][]string{}, result: map[string]string{}}
	s.read(os.Stdin)
	s.count()
	s.print(os.Stdout)
	if len(s.bad) > 0 || (*status != 0 && s.failed+len(s.red) == 0) {
		os.Exit(1)
	}
}

// readKnown returns the names "package test" that the file lists.
func readKnown(path string) map[string]bool {
	known := map[string]bool{}
	b, err := os.ReadFile(path)
	if err != nil {
		return known
	}
	for line := range strings.Lines(string(b)) {
		if name, ok := strings.CutPrefix(strings.TrimSpace(line), "test: "); ok {
			known[strings.TrimSpace(name)] = true
		}
	}
	return known
}

func (s *summary) read(r io.Reader) {
	scanner := bufio.NewScanner(r)
	scanner.Buffer(nil, 16<<20)
	for scanner.Scan() {
		var e event
		if json.Unmarshal(scanner.Bytes(), &e) != nil {
			continue
		}
		name := strings.TrimSpace(e.Package + " " + e.Test)
		switch e.Action {
		case "output", "build-output":
			s.output[name] = append(s.output[name], e.Output)
		case "pass", "fail", "skip", "build-fail":
			s.result[name] = strings.TrimPrefix(e.Action, "build-")
		}
	}
}

// count sorts the results into passed, known and new failures. A failed parent
// of a known failure does not count, and neither does its package.
func (s *summary) count() {
	excused := map[string]bool{}
	for name := range s.known {
		if s.result[name] == "fail" {
			s.red = append(s.red, name)
			excused[name] = true
			for i := strings.LastIndexAny(name, "/ "); i > 0 && i > strings.Index(name, " ")-1; i = strings.LastIndexAny(name[:i], "/ ") {
				excused[name[:i]] = true
			}
		}
		if s.result[name] == "pass" {
			s.green = append(s.green, name)
		}
	}
	for name, result := range s.result {
		isTest := strings.Contains(name, " ")
		switch {
		case result == "fail" && excused[name] && !s.failsOtherwise(name):
		case result == "fail":
			s.bad = append(s.bad, name)
			if isTest {
				s.failed++
			}
		case result == "pass" && isTest:
			s.passed++
		case result == "skip" && isTest:
			s.skipped++
		}
	}
	sort.Strings(s.bad)
	sort.Strings(s.red)
}

// failsOtherwise tells whether a test or package below name failed that is not known.
func (s *summary) failsOtherwise(name string) bool {
	for other, result := range s.result {
		below := strings.HasPrefix(other, name+"/") || strings.HasPrefix(other, name+" ")
		if below && result == "fail" && !s.known[other] && !s.parentOfKnown(other) {
			return true
		}
	}
	return false
}

func (s *summary) parentOfKnown(name string) bool {
	for k := range s.known {
		if strings.HasPrefix(k, name+"/") {
			return true
		}
	}
	return false
}

func (s *summary) print(w io.Writer) {
	for _, name := range s.bad {
		fmt.Fprintf(w, "--- FAIL %s\n%s", name, strings.Join(s.output[name], ""))
	}
	for _, name := range s.red {
		fmt.Fprintf(w, "known red: %s\n", name)
	}
	for _, name := range s.green {
		fmt.Fprintf(w, "listed in KNOWN-RED.txt but passes now: %s\n", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", s.passed, s.failed, s.skipped)
}
