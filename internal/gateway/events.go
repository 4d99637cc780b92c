package gateway

import (
	"bufio"
	"bytes"
	"errors"
	"io"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// eventBuffer holds a few events of a stream.
	eventBuffer = 4 << 10
	// maxEvent bounds one event.
	maxEvent = 256 << 10
)

// eventReader splits a stream into whole server-sent events.
type eventReader struct {
	reader *bufio.Reader
	event  []byte
}

func newEventReader(r io.Reader) *eventReader {
	return &eventReader{reader: bufio.NewReaderSize(r, eventBuffer)}
}

// next returns the next whole event with its blank line; it is valid until the
// next call. At the proper end of the stream the error is io.EOF, and the bytes
// after the last event are returned with it. A stream that was cut ends with
// io.ErrUnexpectedEOF or the error of its connection.
func (r *eventReader) next() ([]byte, error) {
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
		if len(r.event) > maxEvent {
			return nil, serving.NewError(serving.KindEngineFailed, "the engine sent an event that is too long").WithRan(serving.DidRun)
		}
	}
}

// lineStart returns where the line that ends the event begins.
func lineStart(event []byte, from int) int {
	if from > 0 && event[from-1] != '\n' {
		if at := bytes.LastIndexByte(event[:from], '\n'); at >= 0 {
			return at + 1
		}
		return 0
	}
	return from
}

// buffered tells whether a whole event can be read without waiting.
func (r *eventReader) buffered() bool {
	b, _ := r.reader.Peek(r.reader.Buffered())
	return bytes.Contains(b, []byte("\n\n")) || bytes.Contains(b, []byte("\r\n\r\n"))
}
