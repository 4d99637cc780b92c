package entry

import (
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

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// maxRefusal bounds the part of an engine's error body that is read, in bytes.
const maxRefusal = 4 << 10

var (
	// errGenerationGone means that the engine no longer has the generation.
	errGenerationGone = serving.NewError(serving.KindGenerationLost, "the engine no longer has the generation").WithRan(serving.DidRun)
	// errEndOfStream means that the engine ended the stream with [DONE].
	errEndOfStream = errors.New("engine ended the stream")
	// errStalled means that no frame arrived within the timeout.
	errStalled = errors.New("no frame arrived within the stall timeout")
)

// frameStream reads the frames of one generation from an engine. It cancels the request
// if a read waits longer than timeout.
type frameStream struct {
	body    io.ReadCloser
	events  *upstream.EventReader
	cancel  context.CancelFunc
	timer   *time.Timer
	timeout time.Duration
	stalled atomic.Bool
}

// startGeneration sends a request to an engine and opens the stream of its answer.
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
		// The slot was granted for this incarnation; a restarted engine refuses it.
		r.Header.Set("X-Engine-Incarnation", fmt.Sprint(uint64(a.engine.Incarnation)))
		return r, nil
	}, startRefusal)
}

// resumeGeneration opens a stream of the frames that have not arrived yet.
func (e *Entry) resumeGeneration(ctx context.Context, a *attempt) (*frameStream, error) {
	return e.openStream(ctx, a, func(ctx context.Context) (*http.Request, error) {
		url := fmt.Sprintf("%s?from=%d", generationURL(a), a.sequencer.Next())
		return http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	}, resumeRefusal)
}

func generationURL(a *attempt) string {
	return "http://" + a.engine.Address + "/v1/generations/" + string(a.generation)
}

// openStream sends the request that build returns and opens the stream of the answer.
// If the status is not 200, it returns the error that refusal returns for the answer.
func (e *Entry) openStream(ctx context.Context, a *attempt, build func(context.Context) (*http.Request, error), refusal func(*http.Response) error) (*frameStream, error) {
	ctx, cancel := context.WithCancel(ctx)
	s := &frameStream{cancel: cancel, timeout: a.stallTimeout()}
	s.timer = time.AfterFunc(s.timeout, s.cancelStalled)
	r, err := build(ctx)
	if err != nil {
		s.close()
		return nil, err
	}
	res, err := e.upstream.Do(r) //nolint:bodyclose // The stream closes it.
	s.timer.Stop()
	if err != nil {
		logMalformed(a.request.ID, a.engine, err)
		s.close()
		return nil, s.stallError(err)
	}
	s.body = res.Body
	if res.StatusCode != http.StatusOK {
		err := refusal(res)
		logMalformed(a.request.ID, a.engine, err)
		s.close()
		return nil, err
	}
	s.events = upstream.NewEventReader(res.Body)
	return s, nil
}

// startRefusal returns the error for an engine's refusal to start a generation.
func startRefusal(res *http.Response) error {
	var body errorAnswer
	b, err := io.ReadAll(io.LimitReader(res.Body, maxRefusal))
	if answer.IsMalformed(err) {
		return serving.WrapError(err, serving.KindEngineFailed, "read the engine's refusal").WithRan(serving.RanUnknown)
	}
	_ = json.Unmarshal(b, &body)
	message := fmt.Sprintf("the engine answered %d %s", res.StatusCode, body.Error.Message)
	switch res.StatusCode {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return permanentError{serving.NewError(serving.KindInvalid, message)}
	case http.StatusRequestEntityTooLarge:
		return permanentError{serving.NewError(serving.KindTooLarge, message)}
	case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		return serving.NewError(serving.KindOverloaded, message).WithRetryAfter(max(time.Second, time.Duration(body.Error.RetryAfterMS)*time.Millisecond))
	}
	return serving.NewError(serving.KindEngineFailed, message)
}

// resumeRefusal returns the error for an engine's refusal to resume or cancel a
// generation.
func resumeRefusal(res *http.Response) error {
	if res.StatusCode == http.StatusNotFound || res.StatusCode == http.StatusGone {
		return errGenerationGone
	}
	return serving.NewError(serving.KindEngineFailed, fmt.Sprintf("the engine answered %d", res.StatusCode))
}

// permanentError marks an error that any other engine would return too.
type permanentError struct{ error }

// Unwrap returns the marked error.
func (p permanentError) Unwrap() error { return p.error }

func (s *frameStream) cancelStalled() {
	s.stalled.Store(true)
	s.cancel()
}

// stallError returns errStalled if the stream was cancelled because it stalled, and err
// otherwise.
func (s *frameStream) stallError(err error) error {
	if s.stalled.Load() {
		return errStalled
	}
	return err
}

// next returns the next frame. It waits at most for the timeout.
func (s *frameStream) next(p *frameParser) (generation.Frame, error) {
	s.timer.Reset(s.timeout)
	defer s.timer.Stop()
	for {
		event, err := s.events.Next()
		for line := range bytes.Lines(event) {
			data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
			switch {
			case !ok || !bytes.HasSuffix(line, []byte("\n")):
				// Not a frame, or a frame that was cut off by the end of the stream.
			case bytes.Equal(data, []byte("[DONE]")):
				return generation.Frame{}, errEndOfStream
			default:
				return p.parse(data)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return generation.Frame{}, s.stallError(io.ErrUnexpectedEOF)
		case err != nil:
			return generation.Frame{}, s.stallError(err)
		}
	}
}

func (s *frameStream) close() {
	s.timer.Stop()
	s.cancel()
	if s.body != nil {
		s.body.Close()
	}
}
