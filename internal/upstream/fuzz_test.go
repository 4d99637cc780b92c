package upstream_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"turmericdrum.org/turmericdrum/internal/upstream"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

// Guards against events of a faulty engine that are lost, changed or made up between the body of
// an answer and its caller, and against a panic of the entry.
func FuzzEvents(f *testing.F) {
	for _, seed := range []string{"", "\n", "id: 1\ndata: x\n\n", "id: 1\r\ndata: x\r\n\r\nid: 2\n", "data: x\n\n\n\ndata", "\r\n\r\n:c\n\n"} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, body []byte, chunk int) {
		r := upstream.NewEventReader(&chunkReader{body: body, size: max(1, chunk%64)})
		var got []byte
		for {
			event, err := r.Next()
			got = append(got, event...)
			if err != nil {
				if errors.Is(err, io.EOF) && !bytes.Equal(got, body) {
					t.Fatalf("got %q of %q", got, body)
				}
				return
			}
			if len(event) == 0 {
				t.Fatal("an event without bytes")
			}
		}
	})
}

// chunkReader returns its body in parts of at most size bytes.
type chunkReader struct {
	body []byte
	size int
}

func (c *chunkReader) Read(p []byte) (int, error) {
	if len(c.body) == 0 {
		return 0, io.EOF
	}
	n := copy(p[:min(len(p), c.size)], c.body)
	c.body = c.body[n:]
	return n, nil
}

// tokenCharacters are the characters of field names.
const tokenCharacters = "!#$%&'*+-.^_`|~0123456789ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"

// Guards against bytes of a faulty engine that end the entry with a panic, keep a call past its
// time, or count as the answer to another call.
func FuzzAnswer(f *testing.F) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	f.Cleanup(func() { _ = l.Close() })
	// answers holds the answers by the targets of their requests, as a connection may come late.
	var answers sync.Map
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				req, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				_, _ = io.Copy(io.Discard, req.Body)
				if answer, ok := answers.LoadAndDelete(req.RequestURI); ok {
					_, _ = c.Write(answer.([]byte))
				}
			}()
		}
	}()
	var inputs atomic.Int64
	for _, seed := range []string{"", "HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 2\r\n\r\nok", "HTTP/1.1 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n\r\n",
		"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\nId: b\r\n\r\n", "HTTP/1.1 503 No\r\nNot-Run: 1\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\n\r\nabc", "garbage\r\n\r\n",
		"HTTP/1.1 000 \r\n\r\nHTTP/1.1 200 OK\r\nId: a\r\n\r\n", "HTTP/1.1 200 OK\r\nId: a\r\nX Y: z\r\n\r\n", "HTTP/1.0 200 OK\r\nId: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"} {
		f.Add([]byte(seed))
	}
	f.Fuzz(func(t *testing.T, answer []byte) {
		const limit = 5 * time.Second
		p := newPool()
		defer p.CloseIdle()
		target := "/" + strconv.FormatInt(inputs.Add(1), 10)
		answers.Store(target, answer)
		defer answers.Delete(target)
		connected := false
		begin := time.Now()
		x, err := p.Send(t.Context(), upstream.Request{Address: l.Addr().String(), Method: http.MethodPost, Target: target, Host: "h", Body: []byte("b"), ID: "a",
			Connected: func(bool) { connected = true }})
		if err == nil {
			if x.RequestID != "a" && (x.RequestID != "" || !x.NotRun) {
				t.Fatalf("the answer to %q was taken: %q", x.RequestID, answer)
			}
			if x.Status < 200 || x.Status > 599 {
				t.Fatalf("status %d was taken: %q", x.Status, answer)
			}
			for name := range x.Header {
				if strings.Trim(name, tokenCharacters) != "" || name == "" {
					t.Fatalf("field %q was taken: %q", name, answer)
				}
			}
			_, err = io.Copy(io.Discard, io.LimitReader(x.Body, 1<<20))
			x.Close(err == nil)
		} else if connected && serving.AsError(err).Ran == serving.NotRun {
			t.Fatalf("a call that was sent counts as not run: %v", err)
		}
		if took := time.Since(begin); took > limit {
			t.Fatalf("the call took %v", took)
		}
	})
}
