// Command testsummary reads the output of go test -json. It prints the output of
// failed tests, the tests of KNOWN-RED.txt that failed or passed, and the number of
// passed, failed and skipped tests. It exits with status 1 if there are failures other
// than those that KNOWN-RED.txt lists, or if go test failed (-status) without any
// failed test in its output.
//
// # Usage
//
//	go test -json ./... | go run ./internal/testsummary -known KNOWN-RED.txt
//
// An entry of KNOWN-RED.txt has a line "test: PACKAGE TestName". A failure of
// exactly that test does not fail the run.
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

// event is one line of the output of go test -json.
type event struct {
	Action  string
	Package string
	Test    string
	Output  string
}

// summary collects the results. Its keys and list items are names of the form
// "package test", or "package" for a package.
type summary struct {
	known            map[string]bool // tests that KNOWN-RED.txt lists
	output           map[string][]string
	result           map[string]string
	newFailures      []string
	knownFailures    []string
	unexpectedPasses []string
	passed           int
	failed           int
	skipped          int
}

func main() {
	knownPath := flag.String("known", "KNOWN-RED.txt", "file that lists known failures")
	status := flag.Int("status", 0, "exit status of go test")
	flag.Parse()
	s := &summary{known: readKnown(*knownPath), output: map[string][]string{}, result: map[string]string{}}
	s.read(os.Stdin)
	s.count()
	s.print(os.Stdout)
	if len(s.newFailures) > 0 || (*status != 0 && s.failed+len(s.knownFailures) == 0) {
		os.Exit(1)
	}
}

// readKnown returns the names "package test" that the file lists. A file that
// cannot be read lists none.
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

// read stores the output and the result of each test and package. Lines that are
// not JSON are skipped.
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

// count counts the passed, failed and skipped tests and divides the failures into known
// and new ones. The parent tests and the package of a known failure fail with it; they
// count as new failures only if another test below them failed.
func (s *summary) count() {
	allowed := map[string]bool{}
	for name := range s.known {
		if s.result[name] == "fail" {
			s.knownFailures = append(s.knownFailures, name)
			allowed[name] = true
			for i := strings.LastIndexAny(name, "/ "); i > 0 && i > strings.Index(name, " ")-1; i = strings.LastIndexAny(name[:i], "/ ") {
				allowed[name[:i]] = true
			}
		}
		if s.result[name] == "pass" {
			s.unexpectedPasses = append(s.unexpectedPasses, name)
		}
	}
	for name, result := range s.result {
		isTest := strings.Contains(name, " ")
		switch {
		case result == "fail" && allowed[name] && !s.hasNewFailureBelow(name):
		case result == "fail":
			s.newFailures = append(s.newFailures, name)
			if isTest {
				s.failed++
			}
		case result == "pass" && isTest:
			s.passed++
		case result == "skip" && isTest:
			s.skipped++
		}
	}
	sort.Strings(s.newFailures)
	sort.Strings(s.knownFailures)
}

// hasNewFailureBelow reports whether a test below the test or package called name
// failed and is neither known nor a parent of a known failure.
func (s *summary) hasNewFailureBelow(name string) bool {
	for other, result := range s.result {
		below := strings.HasPrefix(other, name+"/") || strings.HasPrefix(other, name+" ")
		if below && result == "fail" && !s.known[other] && !s.isParentOfKnown(other) {
			return true
		}
	}
	return false
}

func (s *summary) isParentOfKnown(name string) bool {
	for knownName := range s.known {
		if strings.HasPrefix(knownName, name+"/") {
			return true
		}
	}
	return false
}

func (s *summary) print(w io.Writer) {
	for _, name := range s.newFailures {
		fmt.Fprintf(w, "--- FAIL %s\n%s", name, strings.Join(s.output[name], ""))
	}
	for _, name := range s.knownFailures {
		fmt.Fprintf(w, "known red: %s\n", name)
	}
	for _, name := range s.unexpectedPasses {
		fmt.Fprintf(w, "listed in KNOWN-RED.txt but passes now: %s\n", name)
	}
	fmt.Fprintf(w, "%d passed, %d failed, %d skipped\n", s.passed, s.failed, s.skipped)
}
