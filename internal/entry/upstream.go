package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/generation"
)

// maxEvent bounds the length of one server-sent event of an engine.
const maxEvent = 64 << 10

// errGenerationGone means that the engine no longer has the generation.
var errGenerationGone = serving.NewError(serving.KindGenerationLost, "the engine no longer has the generation").WithRan(serving.DidRun)

// frameStream reads the frames of one generation from an engine.
type frameStream struct {
	body    io.ReadCloser
	scanner *bufio.Scanner
}

// startGeneration sends a request to an engine.
func (e *Entry) startGeneration(ctx context.Context, n *Engine, a *attempt) (*frameStream, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+n.Address+"/v1/completions", bytes.NewReader(a.body))
	if err != nil {
		return nil, err
	}
	r.Header.Set("Content-Type", "application/json")
	r.Header.Set("X-Request-Id", string(a.request.ID))
	r.Header.Set("X-Generation-Id", string(a.generation))
	r.Header.Set("X-Priority", fmt.Sprint(int(a.request.Priority)))
	return e.openStream(r)
}

// resumeGeneration opens the rest of a generation, from an index on.
func (e *Entry) resumeGeneration(ctx context.Context, address string, id serving.GenerationID, from serving.TokenIndex) (*frameStream, error) {
	url := fmt.Sprintf("http://%s/v1/generations/%s?from=%d", address, id, from)
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	return e.openStream(r)
}

func (e *Entry) openStream(r *http.Request) (*frameStream, error) {
	res, err := e.upstream.Do(r)
	if err != nil {
		return nil, err
	}
	switch res.StatusCode {
	case http.StatusOK:
	case http.StatusNotFound, http.StatusGone:
		res.Body.Close()
		return nil, errGenerationGone
	default:
		res.Body.Close()
		return nil, serving.NewError(serving.KindEngineFailed, fmt.Sprintf("the engine answered %d", res.StatusCode))
	}
	scanner := bufio.NewScanner(res.Body)
	scanner.Buffer(make([]byte, 0, 4<<10), maxEvent)
	return &frameStream{body: res.Body, scanner: scanner}, nil
}

// next returns the next frame, or io.EOF at the end of the stream.
func (s *frameStream) next() (generation.Frame, error) {
	var f generation.Frame
	for s.scanner.Scan() {
		data, ok := bytes.CutPrefix(s.scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if bytes.Equal(data, []byte("[DONE]")) {
			return f, io.EOF
		}
		err := json.Unmarshal(data, &f)
		return f, err
	}
	if err := s.scanner.Err(); err != nil {
		return f, err
	}
	return f, io.ErrUnexpectedEOF
}

func (s *frameStream) close() { s.body.Close() }
