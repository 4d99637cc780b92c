package upstream

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// eventBuffer is the size of the read buffer in bytes. It holds several events; the
	// event of one token has about 150 bytes.
	eventBuffer = 2 << 10
	// maxEvent bounds the size of one event in bytes.
	maxEvent = 256 << 10
)

// EventReader splits the body of an answer into server-sent events.
type EventReader struct {
	// MayHold, if set, reports whether the reader may hold an event of n bytes. It is called
	// for events longer than eventBuffer.
	MayHold func(n int) bool

	reader *bufio.Reader
	event  []byte
}

// NewEventReader returns a reader of the events of a body.
func NewEventReader(r io.Reader) *EventReader {
	return &EventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// Next returns the next complete event including its blank line. The slice is valid
// until the next call. At the regular end of the stream the error is io.EOF, and the
// bytes after the last event are returned with it. An interrupted stream ends with
// io.ErrUnexpectedEOF or the error of its connection.
func (r *EventReader) Next() ([]byte, error) {
	r.event = r.event[:0]
	for {
		part, err := r.reader.ReadSlice('\n')
		start := len(r.event)
		r.event = append(r.event, part...)
		switch {
		case errors.Is(err, bufio.ErrBufferFull):
		case err != nil:
			return r.event, err
		case len(bytes.TrimRight(r.event[lineStart(r.event, start):], "\r\n")) == 0 && start > 0:
			return r.event, nil
		}
		if len(r.event) > maxEvent || len(r.event) > eventBuffer && r.MayHold != nil && !r.MayHold(len(r.event)) {
			return nil, serving.NewError(serving.KindEngineFailed, "the engine sent an event that is too long").WithRan(serving.DidRun)
		}
	}
}

// lineStart returns the index at which the last line of event starts. from is the
// length of event before the last read.
func lineStart(event []byte, from int) int {
	if from > 0 && event[from-1] != '\n' {
		if at := bytes.LastIndexByte(event[:from], '\n'); at >= 0 {
			return at + 1
		}
		return 0
	}
	return from
}

// Buffered reports whether Next can return a complete event without waiting for more
// bytes.
func (r *EventReader) Buffered() bool {
	b, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n"))
}
