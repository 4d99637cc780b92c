package demo

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against a demonstration that no longer runs or takes longer than 30 s.
func TestDemoRuns(t *testing.T) {
	var out bytes.Buffer
	began := time.Now()
	err := (&Command{}).Run(context.Background(), &out)
	assert.NilError(t, err, out.String())
	assert.Assert(t, time.Since(began) < 30*time.Second)
	assert.Equal(t, strings.Count(out.String(), "each once and in order"), 2)
	assert.Equal(t, strings.Count(out.String(), `"ran":1`), 2)
}
