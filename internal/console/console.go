// Package console writes the log of a process to standard output without blocking
// the process. Lines wait in a bounded queue. Lines that exceed its size or the
// rate limit are dropped and counted.
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
	// queueLines limits the lines that wait while the reader of the output is slow.
	queueLines = 1024
	// linesPerSecond and burstLines limit the volume of the log. A busy entry serves
	// tens of requests per second and writes a few lines for each.
	linesPerSecond = 300
	burstLines     = 1000
	// closeTimeout limits how long Close waits for queued lines to be written.
	closeTimeout = 200 * time.Millisecond
)

var droppedLines = expvar.NewInt("log_lines_dropped")

// Writer is a non-blocking writer of log lines. It is safe for concurrent use.
type Writer struct {
	lines   chan []byte
	limiter *rate.Limiter
	done    chan struct{}
	// mu guards closed and prevents Write from sending on lines after Close closed it.
	mu     sync.Mutex
	closed bool
}

// Start returns a writer and starts a goroutine that writes its lines to out. Close
// stops it.
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

// Write queues a line. It drops the line if the queue is full, the rate is exceeded
// or the writer is closed. It never returns an error.
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

// run writes the queued lines to out, combining all that are waiting into one
// write.
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
			// The error can't be logged, since the log itself failed; count it instead.
			droppedLines.Add(1)
		}
	}
}

// Close stops the writer after the queued lines are written, or after closeTimeout.
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
