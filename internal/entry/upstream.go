package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

const (
	// readBuffer is the buffer of one engine stream, beside that of net/http; a token
	// needs about 150 bytes.
	readBuffer = 2 << 10
	// maxEvent bounds the length of one server-sent event of an engine.
	maxEvent = 64 << 10
	// maxRefusal bounds the body of an engine's refusal that is read.
	maxRefusal = 4 << 10
)

var (
	// errGenerationGone means that the engine no longer has the generation.
	errGenerationGone = serving.NewError(serving.KindGenerationLost, "the engine no longer has the generation").WithRan(serving.DidRun)
	// errEndOfStream means that the engine ended a stream as whole.
	errEndOfStream = errors.New("engine ended the stream")
	// errStalled means that no frame arrived within the bound.
	errStalled = errors.New("no frame arrived in time")
)

// frameStream reads the frames of one generation from an engine. If nothing
// arrives while a read is armed, the stream is cut.
type frameStream struct {
	body    io.ReadCloser
	reader  *bufio.Reader
	long    []byte
	cancel  context.CancelFunc
	timer   *time.Timer
	bound   time.Duration
	stalled atomic.Bool
}

// startGeneration sends a request to an engine.
func (e *Entry) startGeneration(ctx context.Context, a *attempt) (*frameStream, error) {
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { a.sent.Store(true) }}
	return e.openStream(ctx, a, func(ctx context.Context) (*http.Request, error) {
		ctx = httptrace.WithClientTrace(ctx, trace)
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.engine.Address+"/v1/completions", bytes.NewReader(a.body))
		if err != nil {
			return nil, err
		}
		r.Header.Set("Content-Type", "application/json")
		r.Header.Set("X-Request-Id", string(a.request.ID))
		r.Header.Set("X-Generation-Id", string(a.generation))
		r.Header.Set("X-Priority", fmt.Sprint(int(a.request.Priority)))
		// A restarted engine refuses what was granted to its predecessor.
		r.Header.Set("X-Engine-Incarnation", fmt.Sprint(uint64(a.engine.Incarnation)))
		return r, nil
	}, startRefusal)
}

// resumeGeneration opens the rest of a generation, from an index on.
func (e *Entry) resumeGeneration(ctx context.Context, a *attempt) (*frameStream, error) {
	return e.openStream(ctx, a, func(ctx context.Context) (*http.Request, error) {
		url := fmt.Sprintf("%s?from=%d", generationURL(a), a.sequencer.Next())
		return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	}, resumeRefusal)
}

func generationURL(a *attempt) string {
	return "http://" + a.engine.Address + "/v1/generations/" + string(a.generation)
}

func (e *Entry) openStream(ctx context.Context, a *attempt, build func(context.Context) (*http.Request, error), refusal func(*http.Response) error) (*frameStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &frameStream{cancel: cancel, bound: a.stallBound()}
	s.timer = time.AfterFunc(s.bound, s.cut)
	r, err := build(ctx)
	if err != nil {
		s.close()
		return nil, err
	}
	res, err := e.upstream.Do(r) //nolint:bodyclose // The stream closes it.
	s.timer.Stop()
	if err != nil {
		s.close()
		return nil, s.reason(err)
	}
	s.body = res.Body
	if res.StatusCode != http.StatusOK {
		err := refusal(res)
		s.close()
		return nil, err
	}
	s.reader = bufio.NewReaderSize(res.Body, readBuffer)
	return s, nil
}

// startRefusal is the error of an engine that did not start a generation.
func startRefusal(res *http.Response) error {
	var body errorAnswer
	b, _ := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	_ = json.Unmarshal(b, &body)
	message := fmt.Sprintf("the engine answered %d %s", res.StatusCode, body.Error.Message)
	switch res.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return permanent{serving.NewError(serving.KindInvalid, message)}
	case http.StatusRequestEntityTooLarge:
		return permanent{serving.NewError(serving.KindTooLarge, message)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return serving.NewError(serving.KindOverloaded, message).WithRetryAfter(max(time.Second, time.Duration(body.Error.RetryAfterMS)*time.Millisecond))
	}
	return serving.NewError(serving.KindEngineFailed, message)
}

// resumeRefusal is the error of an engine that did not resume a generation.
func resumeRefusal(res *http.Response) error {
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
		return errGenerationGone
	}
	return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("the engine answered %d", res.StatusCode))
}

// permanent marks an error that another engine would repeat.
type permanent struct{ error }

// Unwrap returns the error itself.
func (p permanent) Unwrap() error { return p.error }

func (s *frameStream) cut() {
	s.stalled.Store(true)
	s.cancel()
}

// reason replaces the error of a cancelled read if the stream was cut as stalled.
func (s *frameStream) reason(err error) error {
	if s.stalled.Load() {
		return errStalled
	}
	return err
}

// next returns the next frame; it waits for one at most for the bound.
func (s *frameStream) next(p *frameParser) (generation.Frame, error) {
	s.timer.Reset(s.bound)
	defer s.timer.Stop()
	for {
		line, err := s.line()
		if err != nil {
			return generation.Frame{}, s.reason(err)
		}
		data, ok := bytes.CutPrefix(line, []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return generation.Frame{}, errEndOfStream
		}
		return p.parse(data)
	}
}

// line returns the next line without its end; it is valid until the next call.
func (s *frameStream) line() ([]byte, error) {
	s.long = s.long[:0]
	for {
		part, err := s.reader.ReadSlice('\n')
		if err == nil && len(s.long) == 0 {
			return bytes.TrimRight(part, "\r\n"), nil
		}
		s.long = append(s.long, part...)
		switch {
		case err == nil:
			return bytes.TrimRight(s.long, "\r\n"), nil
		case errors.Is(err, io.EOF):
			return nil, io.ErrUnexpectedEOF
		case !errors.Is(err, bufio.ErrBufferFull):
			return nil, err
		case len(s.long) > maxEvent:
			return nil, serving.NewError(serving.KindEngineFailed, "the engine sent an event that is too long")
		}
	}
}

// buffered tells whether an event can be read without waiting.
func (s *frameStream) buffered() bool {
	b, _ := s.reader.Peek(s.reader.Buffered())
	return bytes.Contains(b, []byte("data: ")) && bytes.IndexByte(bytes.TrimLeft(b, "\r\n"), '\n') >= 0
}

func (s *frameStream) close() {
	s.timer.Stop()
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
}
