package timeline

import (
	"cmp"
	"context"
	"encoding/json"
	"os"
	"strconv"
	"sync/atomic"

	"github.com/rotisserie/eris"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	rotatedSuffix = ".1"
	// DefaultMaxBytes is the default size limit of a log.
	DefaultMaxBytes = 16 << 20
	// bufferedEvents is the maximum number of events that wait to be written.
	bufferedEvents = 4096
	// flushBytes is the buffer size at which events are written even if more are
	// queued. It is reached only under load.
	flushBytes = 64 << 10
	// KindDropped is the kind of the event that reports dropped events.
	KindDropped = "events_dropped"
)

// Log writes events to a file of bounded size.
type Log struct {
	// MaxBytes limits the total size of the file and the rotated file. Zero means
	// DefaultMaxBytes.
	MaxBytes int64

	path    string
	process string
	clock   *Clock
	queue   chan Event
	dropped atomic.Int64
	file    *os.File
	// size is the size of the file including the bytes in pending.
	size    int64
	pending []byte
}

// NewLog returns a log whose events Run writes to path.
func NewLog(path, process string, clock *Clock) *Log {
	return &Log{path: path, process: process, clock: clock, queue: make(chan Event, bufferedEvents)}
}

// Add records an event. Attributes are alternating names and values; those with
// empty values are omitted. Add never blocks: if the buffer is full, the event is
// dropped and counted.
func (l *Log) Add(kind string, request serving.RequestID, attributes ...string) {
	e := Event{Time: l.clock.Now(), Process: l.process, Kind: kind, RequestID: request}
	if len(attributes) > 1 {
		e.Attributes = make(map[string]string, len(attributes)/2)
	}
	for i := 0; i+1 < len(attributes); i += 2 {
		if attributes[i+1] != "" {
			e.Attributes[attributes[i]] = attributes[i+1]
		}
	}
	select {
	case l.queue <- e:
	default:
		l.dropped.Add(1)
	}
}

// Dropped returns the number of dropped events.
func (l *Log) Dropped() int64 { return l.dropped.Load() }

// Run writes events until ctx is done, and then the events still in the buffer. It
// returns on a write error; later events are dropped once the buffer is full.
func (l *Log) Run(ctx context.Context) error {
	if err := l.open(); err != nil {
		return err
	}
	defer func() { l.file.Close() }()
	var reported int64
	for {
		if n := l.dropped.Load(); n > reported {
			attributes := map[string]string{"count": strconv.FormatInt(n-reported, 10)}
			if err := l.write(Event{Time: l.clock.Now(), Process: l.process, Kind: KindDropped, Attributes: attributes}); err != nil {
				return err
			}
			reported = n
		}
		select {
		case e := <-l.queue:
			if err := l.write(e); err != nil {
				return err
			}
		case <-ctx.Done():
			if len(l.queue) == 0 {
				return l.flush()
			}
		}
	}
}

// open opens the file for appending. It terminates an incomplete last line that an
// earlier process left, so that the next event starts on its own line.
func (l *Log) open() error {
	f, err := os.OpenFile(l.path, os.O_APPEND|os.O_CREATE|os.O_RDWR, 0o644)
	if err != nil {
		return eris.Wrap(err, "open event log")
	}
	l.file, l.size = f, 0
	info, err := f.Stat()
	if err != nil {
		return eris.Wrap(err, "open event log")
	}
	l.size = info.Size()
	last := make([]byte, 1)
	if l.size == 0 {
		return nil
	}
	if _, err := f.ReadAt(last, l.size-1); err != nil {
		return eris.Wrap(err, "open event log")
	}
	if last[0] == '\n' {
		return nil
	}
	l.append('\n')
	return nil
}

func (l *Log) append(b ...byte) {
	l.pending = append(l.pending, b...)
	l.size += int64(len(b))
}

func (l *Log) flush() error {
	_, err := l.file.Write(l.pending)
	l.pending = l.pending[:0]
	return eris.Wrap(err, "write event log")
}

func (l *Log) write(e Event) error {
	line, err := json.Marshal(e)
	if err != nil {
		return eris.Wrap(err, "encode event")
	}
	if l.size > 0 && l.size+int64(len(line))+1 > cmp.Or(l.MaxBytes, DefaultMaxBytes)/2 {
		if err := l.rotate(); err != nil {
			return err
		}
	}
	l.append(append(line, '\n')...)
	if len(l.queue) == 0 || len(l.pending) >= flushBytes {
		return l.flush()
	}
	return nil
}

// rotate replaces the rotated file with the current one and opens a new file.
func (l *Log) rotate() error {
	if err := l.flush(); err != nil {
		return err
	}
	if err := l.file.Close(); err != nil {
		return eris.Wrap(err, "rotate event log")
	}
	if err := os.Rename(l.path, l.path+rotatedSuffix); err != nil {
		return eris.Wrap(err, "rotate event log")
	}
	return l.open()
}
