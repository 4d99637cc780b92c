// Package console writes the log of a process to standard output without ever
// blocking the process: lines wait in a bounded queue, and those that don't fit,
// or exceed the rate, are dropped and counted.
//
// # Usage
//
//	w := console.Start(os.Stdout)
//	defer w.Close()
//	klog.SetOutput(w)
package console

import (
	"expvar"
	"io"
	"sync"
	"time"

	"golang.org/x/time/rate"
	"k8s.io/klog/v2"
)

const (
	// queueLines bounds the lines that wait for a slow reader of the log.
	queueLines = 1024
	// linesPerSecond and burstLines bound the volume of the log; a busy entry writes
	// a few lines for each of some tens of requests a second.
	linesPerSecond = 300
	burstLines     = 1000
	// closeTimeout bounds the wait for the last lines at the end of the process.
	closeTimeout = 200 * time.Millisecond
)

var droppedLines = expvar.NewInt("log_lines_dropped")

// Writer is a non-blocking writer of log lines.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	done    chan struct{}
	mu      sync.Mutex
	closed  bool
}

// Start returns a writer whose lines are written to out by a goroutine.
func Start(out io.Writer) *Writer {
	w := &Writer{lines: make(chan []byte, queueLines), limiter: rate.NewLimiter(linesPerSecond, burstLines), done: make(chan struct{})}
	go w.run(out)
	return w
}

// Redirect sends all lines of klog to a new writer on out.
func Redirect(out io.Writer) *Writer {
	w := Start(out)
	klog.LogToStderr(false)
	klog.SetOutput(w)
	return w
}

// Write queues a line, or drops it if the queue is full or the rate exceeded.
func (w *Writer) Write(line []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.closed || !w.limiter.Allow() {
		droppedLines.Add(1)
		return len(line), nil
	}
	select {
	case w.lines <- append([]byte(nil), line...):
	default:
		droppedLines.Add(1)
	}
	return len(line), nil
}

// run writes what is queued, several lines with one write.
func (w *Writer) run(out io.Writer) {
	defer close(w.done)
	for line := range w.lines {
		for more := true; more; {
			select {
			case next, ok := <-w.lines:
				line = append(line, next...)
				more = ok
			default:
				more = false
			}
		}
		if _, err := out.Write(line); err != nil {
			// The log itself can't say that it is broken; the counter shows it.
			droppedLines.Add(1)
		}
	}
}

// Close writes what is queued, for a short time at most.
func (w *Writer) Close() {
	w.mu.Lock()
	if !w.closed {
		w.closed = true
		close(w.lines)
	}
	w.mu.Unlock()
	select {
	case <-w.done:
	case <-time.After(closeTimeout):
	}
}
