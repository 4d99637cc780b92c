package timelines_test

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/timelines"
)

const eventLog = `{"wall_us":1000000,"logical":0,"process":"p","kind":"sent","request_id":"r1"}
{"wall_us":2000000,"logical":0,"process":"p","kind":"sent","request_id":"r2"}
{"wall_us":3000000,"logical":0,"process":"q","kind":"given","request_id":"r1"}
`

func writeLog(dir string) string {
	path := filepath.Join(dir, "events.jsonl")
	if err := os.WriteFile(path, []byte(eventLog), 0o644); err != nil {
		panic(err)
	}
	return path
}

// Guards against filters that show the wrong number of events, and against errors
// about arguments that name no remedy.
func TestRun(t *testing.T) {
	path := writeLog(t.TempDir())
	tests := []struct {
		name    string
		command timelines.Command
		rows    int
		err     string
	}{
		{"all", timelines.Command{}, 3, ""},
		{"one request", timelines.Command{Request: "r1"}, 2, ""},
		{"one process", timelines.Command{Process: "q"}, 1, ""},
		{"the last", timelines.Command{Limit: 2, Format: "table"}, 2, ""},
		{"unknown format", timelines.Command{Format: "pdf"}, 0, "--format html"},
		{"missing file", timelines.Command{Files: []string{path + "x"}}, 0, "check the path"},
	}
	for _, tt := range tests {
		if tt.command.Files == nil {
			tt.command.Files = []string{path}
		}
		var b strings.Builder
		err := tt.command.Run(&b)
		if tt.err != "" {
			assert.ErrorContains(t, err, tt.err, tt.name)
			continue
		}
		assert.NilError(t, err, tt.name)
		assert.Equal(t, strings.Count(b.String(), "\n"), tt.rows+1, tt.name)
	}
}

func ExampleCommand_Run() {
	dir, _ := os.MkdirTemp("", "timelines")
	defer func() { _ = os.RemoveAll(dir) }()
	c := timelines.Command{Files: []string{writeLog(dir)}, Request: "r2"}
	fmt.Println(c.Run(os.Stdout))
	// Output:
	// TIME                         LOGICAL  PROCESS  KIND  REQUEST  ATTRIBUTES
	// 1970-01-01T00:00:02.000000Z  0        p        sent  r2
	// <nil>
}
