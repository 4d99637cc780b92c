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

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// maxRefusal bounds the body of an engine's refusal that is read.
const maxRefusal = 4 << 10

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
	events  *upstream.EventReader
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
	s.events = upstream.NewEventReader(res.Body)
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
		event, err := s.events.Next()
		for line := range bytes.Lines(event) {
			data, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data: "))
			switch {
			case !ok || !bytes.HasSuffix(line, []byte("\n")):
				// Not a frame, or the part of one before the stream was cut.
			case bytes.Equal(data, []byte("[DONE]")):
				return generation.Frame{}, errEndOfStream
			default:
				return p.parse(data)
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			return generation.Frame{}, s.reason(io.ErrUnexpectedEOF)
		case err != nil:
			return generation.Frame{}, s.reason(err)
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
