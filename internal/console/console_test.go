package console_test

import (
	"bytes"
	"io"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/console"
)

// blockedWriter blocks each write until release is closed.
type blockedWriter struct{ release chan struct{} }

func (b blockedWriter) Write(line []byte) (int, error) {
	<-b.release
	return len(line), nil
}

// Guards against a process that hangs because nobody reads its output: the queue
// fills up, and a write or Close waits forever.
func TestWriteDoesNotBlock(t *testing.T) {
	out := blockedWriter{release: make(chan struct{})}
	defer close(out.release)
	w := console.Start(out)
	done := make(chan struct{})
	go func() {
		defer close(done)
		for range 5000 {
			_, _ = io.WriteString(w, "a line\n")
		}
		w.Close()
	}()
	select {
	case <-done:
	case <-time.After(10 * time.Second):
		t.Fatal("Write or Close blocks while the output is blocked")
	}
}

// Guards against lines that are lost because the process ends before they are
// written, and against a write after Close that fails or panics.
func TestCloseWritesQueuedLines(t *testing.T) {
	var out bytes.Buffer
	w := console.Start(&out)
	for range 20 {
		_, _ = io.WriteString(w, "a line\n")
	}
	w.Close()
	assert.Equal(t, strings.Count(out.String(), "a line\n"), 20)
	_, err := io.WriteString(w, "after the end\n")
	assert.NilError(t, err)
}
