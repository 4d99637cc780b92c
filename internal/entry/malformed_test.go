package entry

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/answer/answertest"
	"turmericdrum.org/turmericdrum/internal/rpc"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// foreign is a text in the malformed answers that no caller may get.
	foreign = "smuggled"
	// maxFaultTime is the time within which a malformed answer is given up.
	maxFaultTime = 3 * time.Second
)

// rawAnswer is what an engine sends in place of an answer. begins is set if a completion begins with
// it, which is then resumed.
type rawAnswer struct {
	name, bytes string
	begins      bool
}

// rawAnswers sends a rawAnswer to the first requests and leaves their connections open.
type rawAnswers struct {
	answer rawAnswer

	mu sync.Mutex
	// left is the number of requests that get the answer.
	left int
	// used has the remote addresses of connections on which a request arrived, and reused is
	// set if the last raw answer was sent on one of them.
	used   map[string]bool
	reused bool
	// again describes connections that were not closed after the raw answer.
	again []string
}

// take reports whether the raw answer was sent to a request.
func (a *rawAnswers) take(w http.ResponseWriter, r *http.Request) bool {
	a.mu.Lock()
	if a.used == nil {
		a.used = map[string]bool{}
	}
	used := a.used[r.RemoteAddr]
	a.used[r.RemoteAddr] = true
	raw := a.left > 0
	if raw {
		a.left--
		a.reused = used
	}
	a.mu.Unlock()
	if !raw {
		return false
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return true
	}
	go func() {
		defer conn.Close()
		_, _ = io.WriteString(conn, a.answer.bytes)
		_ = conn.SetReadDeadline(time.Now().Add(2 * maxFaultTime))
		var b [1]byte
		if n, err := conn.Read(b[:]); n > 0 || errors.Is(err, os.ErrDeadlineExceeded) {
			a.mu.Lock()
			defer a.mu.Unlock()
			a.again = append(a.again, fmt.Sprintf("%d bytes, %v", n, err))
		}
	}()
	return true
}

func (a *rawAnswers) set(n int) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.left = n
}

func (a *rawAnswers) check(t *testing.T) {
	t.Helper()
	a.mu.Lock()
	defer a.mu.Unlock()
	assert.Equal(t, len(a.again), 0, "connections that stay in use after a malformed answer: %v", a.again)
}

// checkMalformed sends orders, idempotent calls and completions to engines that answer with
// malformed bytes.
func checkMalformed(t *testing.T, answers []rawAnswer) {
	for _, tc := range answers {
		t.Run(tc.name+"/order", func(t *testing.T) { checkMalformedOrder(t, tc, "", serving.RanUnknown) })
		t.Run(tc.name+"/order found by a lookup", func(t *testing.T) { checkMalformedOrder(t, tc, "ran", "") })
		t.Run(tc.name+"/lookup of an order", func(t *testing.T) { checkMalformedLookup(t, tc) })
		t.Run(tc.name+"/idempotent call", func(t *testing.T) { checkMalformedCall(t, tc) })
		for _, stream := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/completion, stream=%t", tc.name, stream), func(t *testing.T) { checkMalformedCompletion(t, tc, stream) })
		}
		t.Run(tc.name+"/resumed stream", func(t *testing.T) { checkMalformedResume(t, tc) })
	}
}

// rawService returns a service whose calls get raw answers.
func rawService(t *testing.T, tc rawAnswer) (*fakeService, *rawAnswers) {
	raw := &rawAnswers{answer: tc}
	return newFakeService(t, "stylus-1", func(w http.ResponseWriter, r *http.Request) {
		if !raw.take(w, r) {
			answerOK(w, r)
		}
	}), raw
}

func checkMalformedOrder(t *testing.T, tc rawAnswer, lookupStatus string, ran serving.Ran) {
	path, status := "", http.StatusBadGateway
	if lookupStatus != "" {
		path, status = "/v1/calls/{key}", http.StatusOK
	}
	s, raw := rawService(t, tc)
	s.lookupStatus = lookupStatus
	e, _ := newOrderEntry(t, path, s)
	assert.Equal(t, e.order(t, testKey, "first", "a").status, http.StatusOK)
	raw.set(maxAttempts)
	begin := time.Now()
	got := e.order(t, testKey, "k", "a")
	assert.Assert(t, time.Since(begin) < maxFaultTime, "answered after %v", time.Since(begin))
	assert.Equal(t, got.status, status)
	assert.Equal(t, got.err.Error.Ran, ran)
	raw.set(0)
	again := e.order(t, testKey, "k", "a")
	assert.Equal(t, again.status, status)
	assert.Equal(t, again.err.Error.Ran, ran)
	assert.Equal(t, s.count(), 2, "the order was sent again")
	raw.check(t)
}

// checkMalformedLookup loses the answer to an order, and answers the lookup of its outcome with
// malformed bytes.
func checkMalformedLookup(t *testing.T, tc rawAnswer) {
	raw := &rawAnswers{answer: tc}
	s := newFakeService(t, "stylus-1", closeWithoutAnswer)
	s.lookupStatus = "ran"
	s.interceptLookup = raw.take
	e, _ := newOrderEntry(t, "/v1/calls/{key}", s)
	raw.set(1)
	begin := time.Now()
	got := e.order(t, testKey, "k", "a")
	assert.Assert(t, time.Since(begin) < maxFaultTime, "answered after %v", time.Since(begin))
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.err.Error.Ran, serving.RanUnknown)
	assert.Equal(t, e.order(t, testKey, "k", "a").status, http.StatusOK)
	assert.Equal(t, s.count(), 1, "the order was sent again")
	raw.check(t)
}

func checkMalformedCall(t *testing.T, tc rawAnswer) {
	s, raw := rawService(t, tc)
	e, _ := newOrderEntry(t, "", s)
	call := func() (*received, string) {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodPost, e.server.URL+"/v1/services/stylus/stock/needles", strings.NewReader("a"))
		assert.NilError(t, err)
		r.Header.Set("Authorization", "Bearer "+testKey)
		res, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer res.Body.Close()
		b, err := io.ReadAll(res.Body)
		assert.NilError(t, err)
		res.Body = io.NopCloser(strings.NewReader(string(b)))
		return readAll(t, res), string(b)
	}
	for _, kept := range []bool{false, true} {
		if !kept {
			e.enginePool.CloseIdle()
		}
		raw.set(1)
		begin := time.Now()
		got, body := call()
		assert.Assert(t, time.Since(begin) < maxFaultTime, "answered after %v", time.Since(begin))
		assert.Equal(t, got.status, http.StatusOK, body)
		assert.Equal(t, body, "reserved")
		assert.Equal(t, raw.reused, kept)
	}
	raw.set(maxAttempts)
	got, body := call()
	assert.Equal(t, got.status, http.StatusBadGateway, body)
	assert.Equal(t, got.err.Error.Ran, serving.RanUnknown)
	assert.Assert(t, !strings.Contains(body, foreign), body)
	raw.set(0)
	raw.check(t)
}

// rawScript returns an engine that answers requests for streams with steps, and then with raw
// answers.
func rawScript(t *testing.T, raw *rawAnswers, steps ...func(*scriptedStream)) *scriptedEngine {
	answer := func(o *scriptedStream) {
		if !raw.take(o.w, o.r) {
			o.sendAll()
		}
	}
	for len(steps) < 4*maxAttempts {
		steps = append(steps, answer)
	}
	return newScriptedEngine(t, "engine-1", 5, steps...)
}

// checkMalformedCompletion uses new connections only, because a connection to an engine ends with its
// stream.
func checkMalformedCompletion(t *testing.T, tc rawAnswer, stream bool) {
	raw := &rawAnswers{answer: tc}
	e := newTestEntry(t, rawScript(t, raw).Engine)
	body := fmt.Sprintf(`{"model":"guide","prompt":"p","stream":%t}`, stream)
	call := func() *received { return e.do(t, http.MethodPost, "/v1/completions", testKey, nil, body) }
	assert.Equal(t, call().status, http.StatusOK)
	raw.set(1)
	begin := time.Now()
	got := call()
	assert.Assert(t, time.Since(begin) < maxFaultTime, "answered after %v", time.Since(begin))
	assert.Equal(t, got.status, http.StatusOK)
	if stream {
		got.checkFrames(t, 0, 5)
	} else {
		assert.Equal(t, got.completion.Tokens, 5)
	}
	raw.set(maxAttempts)
	got = call()
	if tc.begins {
		assert.Equal(t, got.status, http.StatusOK)
		return
	}
	assert.Equal(t, got.status, http.StatusBadGateway)
	assert.Equal(t, got.err.Error.Ran, serving.RanUnknown)
	assert.Assert(t, !strings.Contains(got.err.Error.Message, foreign), got.err.Error.Message)
	raw.check(t)
}

// checkMalformedResume breaks off a stream, and answers the request to resume it with malformed bytes.
func checkMalformedResume(t *testing.T, tc rawAnswer) {
	raw := &rawAnswers{answer: tc, left: 1}
	n := rawScript(t, raw, func(o *scriptedStream) { o.sendUpTo(2); o.abort() })
	begin := time.Now()
	got := newTestEntry(t, n.Engine).stream(t)
	assert.Assert(t, time.Since(begin) < maxFaultTime, "answered after %v", time.Since(begin))
	got.checkFrames(t, 0, 5)
	_, starts, _ := n.count()
	assert.Equal(t, starts, 1)
	raw.check(t)
}

// Guards against a status that no answer may have, which is passed on, taken for an interim answer
// so that the body passes for the answer, or waited on until the call's deadline.
func TestMalformedStatus(t *testing.T) {
	whole := func(statusLine string) string {
		return fmt.Sprintf("%s\r\nContent-Length: %d\r\n\r\n%s", statusLine, len(foreign), foreign)
	}
	notRun := `{"error":{"kind":"overloaded","ran":"not_run"}}`
	checkMalformed(t, []rawAnswer{
		{"000", whole("HTTP/1.1 000 Unknown"), false},
		{"000 before an answer", "HTTP/1.1 000 \r\n\r\n" + whole("HTTP/1.1 200 OK"), false},
		{"101 before an answer", "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: upgrade\r\n\r\n" + whole("HTTP/1.1 200 OK"), false},
		{"600", whole("HTTP/1.1 600 Unknown"), false},
		{"999 that says it has not run", fmt.Sprintf("HTTP/1.1 999 \r\nContent-Length: %d\r\n\r\n%s", len(notRun), notRun), false},
	})
}

// Guards against a field whose name no field may have: its answer is passed on without it, with a
// body that ends elsewhere than the engine meant, or as a refusal that nobody has stated.
func TestMalformedFields(t *testing.T) {
	const chunk = "8\r\n" + foreign + "\r\n0\r\n"
	notRun := `{"error":{"kind":"overloaded","ran":"not_run"}}`
	whole := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(foreign), foreign)
	checkMalformed(t, []rawAnswer{
		{"blank in the name", "HTTP/1.1 200 OK\r\nX Bad: v\r\nContent-Length: 8\r\n\r\n" + foreign, false},
		{"blank behind the name of the transfer encoding", "HTTP/1.1 200 OK\r\nTransfer-Encoding : chunked\r\n\r\n" + chunk + "\r\n", false},
		{"control byte in the name", "HTTP/1.1 200 OK\r\nX\x01Bad: v\r\nContent-Length: 8\r\n\r\n" + foreign, false},
		{"in an interim answer", "HTTP/1.1 103 Early Hints\r\nX Bad: v\r\n\r\n" + whole, false},
		{"in a refusal", fmt.Sprintf("HTTP/1.1 503 No\r\nX Bad: v\r\nContent-Length: %d\r\n\r\n%s", len(notRun), notRun), false},
		{"in the trailer", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk + "X Bad: v\r\n\r\n", true},
		{"in the trailer of a refusal", fmt.Sprintf("HTTP/1.1 503 No\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX Bad: v\r\n\r\n", len(notRun), notRun), false},
	})
}

// Guards against an entry that takes a malformed answer of a control replica or of another entry, and
// keeps its connection.
func TestClientsOfEntryRefuseMalformedAnswers(t *testing.T) {
	e := newEntry(testSettings(t))
	claims, ok := e.claims.(*rpc.Client)
	assert.Assert(t, ok)
	for _, tc := range []struct {
		name   string
		client *http.Client
	}{
		{"entries and views", e.cluster},
		{"claims", rpc.HTTPClient(claims.Key, claims.Transport)},
		{"engines", e.upstream},
	} {
		t.Run(tc.name, func(t *testing.T) { answertest.CheckClient(t, tc.client) })
	}
}

// Guards against calls and prompts that are blocked as crashing engines because engines answered them
// with malformed bytes.
func TestMalformedAnswersBlockNoCall(t *testing.T) {
	raw := &rawAnswers{answer: rawAnswer{bytes: "HTTP/1.1 000 \r\n\r\n"}}
	var engines []*Engine
	for i := range 6 {
		s := newFakeService(t, fmt.Sprint("stylus-", i), func(w http.ResponseWriter, r *http.Request) {
			if !raw.take(w, r) {
				answerOK(w, r)
			}
		})
		n := rawScript(t, raw)
		n.Engine.Engine = serving.EngineID(fmt.Sprint("engine-", i))
		engines = append(engines, s.Engine, n.Engine)
	}
	e, _ := newOrderEntry(t, "")
	e.setBoard(t, serviceConfig(""), engines...)
	go e.prompts.run(t.Context(), func() map[serving.EngineID]*Engine { return nil })
	for i := range 6 {
		raw.set(maxAttempts)
		assert.Equal(t, e.order(t, testKey, fmt.Sprint("k-", i), "the same call").status, http.StatusBadGateway)
		raw.set(maxAttempts)
		assert.Equal(t, e.stream(t).status, http.StatusBadGateway)
		time.Sleep(300 * time.Millisecond)
	}
	raw.set(0)
	// Evidence settles within this time.
	time.Sleep(3 * time.Second)
	assert.Equal(t, e.order(t, testKey, "k", "the same call").status, http.StatusOK)
	assert.Equal(t, e.stream(t).status, http.StatusOK)
}
