package ingress

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

// waitTimeout bounds the wait for a condition, which takes less than a second on an idle machine.
const waitTimeout = 20 * time.Second

// testServer serves over a guarded listener.
type testServer struct {
	t *testing.T
	*Listener
}

func newTestServer(t *testing.T, budget int64, limits Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	l := &Listener{Name: "test", Budget: &Budget{Bytes: budget}, Limits: limits}
	assert.NilError(t, l.Listen("127.0.0.1:0"))
	if handler == nil {
		handler = func(w http.ResponseWriter, r *http.Request) {
			n, _ := io.Copy(io.Discard, r.Body)
			_, _ = fmt.Fprint(w, n)
		}
	}
	s := l.Server(l.Guard(handler), nil)
	go func() { _ = s.Serve(l) }()
	t.Cleanup(func() { _ = s.Close() })
	return &testServer{t: t, Listener: l}
}

func (s *testServer) dial() net.Conn {
	s.t.Helper()
	c, err := net.Dial("tcp", s.Addr().String())
	assert.NilError(s.t, err)
	s.t.Cleanup(func() { _ = c.Close() })
	assert.NilError(s.t, c.SetDeadline(time.Now().Add(waitTimeout)))
	return c
}

// request sends a request on a connection and returns the status of the answer, 0 if there is
// none.
func request(c net.Conn, raw string) int {
	if _, err := io.WriteString(c, raw); err != nil {
		return 0
	}
	return status(c)
}

func status(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, res.Body)
	_ = res.Body.Close()
	return res.StatusCode
}

func (s *testServer) eventually(f func() bool) {
	s.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if f() {
			return
		}
	}
	s.t.Fatalf("condition does not hold within %v", waitTimeout)
}

func (s *testServer) connections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// empty reports whether all resources are released.
func (s *testServer) empty() bool { return s.connections() == 0 && s.Budget.Used() == 0 }

const (
	get  = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	post = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n"
)

// Guards against requests outside the limits that are passed on, and against ordinary ones that
// are refused or lose their connection.
func TestRequests(t *testing.T) {
	limits := Limits{HeaderBytes: 8 << 10, HeaderFields: 100, BodyBytes: 256 << 10, BodyFactor: 2}
	for _, tc := range []struct {
		name   string
		budget int64
		raw    string
		want   int
		// kept is set if the connection stays usable.
		kept bool
	}{
		{"without a body", 0, get, 200, true},
		{"body", 0, fmt.Sprintf(post, 5) + "hello", 200, true},
		{"largest body", 0, fmt.Sprintf(post, 256<<10) + strings.Repeat("x", 256<<10), 200, true},
		{"chunks", 0, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n", 200, true},
		{"many fields", 0, "GET / HTTP/1.1\r\nHost: a\r\n" + shortFields(99) + "\r\n", 200, true},
		{"too many fields", 0, "GET / HTTP/1.1\r\nHost: a\r\n" + shortFields(101) + "\r\n", 431, false},
		{"too many fields without an end", 0, "GET / HTTP/1.1\r\nHost: a\r\n" + shortFields(200), 431, false},
		{"long header", 0, "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10) + "\r\n\r\n", 431, false},
		{"long header without an end", 0, "GET / HTTP/1.1\r\nHost: a\r\nX: " + strings.Repeat("x", 20<<10), 431, false},
		{"stated length over the limit", 0, fmt.Sprintf(post, 300<<10) + strings.Repeat("x", 300<<10), 413, false},
		{"unstated length over the limit", 0, "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n4b000\r\n" + strings.Repeat("x", 300<<10) + "\r\n0\r\n\r\n", 413, false},
		{"body without memory", 128 << 10, fmt.Sprintf(post, 200<<10) + strings.Repeat("x", 200<<10), 503, false},
		{"fields without memory", 30 << 10, "GET / HTTP/1.1\r\nHost: a\r\n" + shortFields(99) + "\r\n", 503, false},
		{"small request without memory", 1, fmt.Sprintf(post, 5) + "hello", 200, true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestServer(t, tc.budget, limits, nil)
			c := s.dial()
			assert.Equal(t, request(c, tc.raw), tc.want)
			if tc.kept {
				assert.Equal(t, request(c, get), http.StatusOK)
			}
			_ = c.Close()
			s.eventually(s.empty)
		})
	}
}

// Guards against taking the body of a request, whose header was read together with the request
// before it, for a header that is too long, and its connection for an idle one.
func TestRequestsInOnePart(t *testing.T) {
	const size = 300 << 10
	s := newTestServer(t, 0, Limits{}, nil)
	c := s.dial()
	_, err := io.WriteString(c, get+get+fmt.Sprintf(post, size)+strings.Repeat("x", size)+get)
	assert.NilError(t, err)
	answers := bufio.NewReader(c)
	for i, want := range []string{"0", "0", fmt.Sprint(size), "0"} {
		res, err := http.ReadResponse(answers, nil)
		assert.NilError(t, err, "answer %d", i)
		b, err := io.ReadAll(res.Body)
		_ = res.Body.Close()
		assert.NilError(t, err)
		assert.Equal(t, string(b), want)
	}
}

// Guards against answers that are lost because the connection is reset before the client, which
// sends its whole body first, has read them.
func TestAnswerToUnreadBodyArrives(t *testing.T) {
	s := newTestServer(t, 0, Limits{BodyBytes: 1 << 20}, nil)
	for _, size := range []int{1<<20 + 1, 4 << 20, 8 << 20} {
		c := s.dial()
		_, err := io.WriteString(c, fmt.Sprintf(post, size)+strings.Repeat("x", size))
		assert.NilError(t, err, "body of %d bytes", size)
		assert.Equal(t, status(c), http.StatusRequestEntityTooLarge)
	}
}

// Guards against closing connections of ordinary clients while others are outside the limits.
func TestConnectionsAboveTheBound(t *testing.T) {
	const bound = 8
	for _, tc := range []struct {
		name string
		// begin is what each connection of the crowd sends, answered whether it reads an answer.
		begin    string
		answered bool
	}{
		{"silent", "", false},
		{"partial header", "GET / HTTP/1.1\r\nHo", false},
		{"partial body", fmt.Sprintf(post, 10) + "x", false},
		{"idle without a valid request", "GET /missing HTTP/1.1\r\nHost: a\r\n\r\n", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestServer(t, 0, Limits{Connections: bound}, func(w http.ResponseWriter, r *http.Request) {
				if r.URL.Path == "/missing" {
					w.WriteHeader(http.StatusNotFound)
				}
			})
			known := s.dial()
			assert.Equal(t, request(known, get), http.StatusOK)
			for range 5 * bound {
				c := s.dial()
				_, err := io.WriteString(c, tc.begin)
				assert.NilError(t, err)
				if tc.answered {
					_ = status(c)
				}
				// Each connection is accepted before the next one.
				other := s.dial()
				assert.Equal(t, request(other, get), http.StatusOK)
				_ = other.Close()
			}
			assert.Assert(t, s.connections() <= bound)
			assert.Equal(t, request(known, get), http.StatusOK, "the connection of an ordinary client was closed")
		})
	}
}

// Guards against closing a connection whose request is being served, and against waiting for a
// place that is not there.
func TestBusyConnectionsAreKept(t *testing.T) {
	const bound = 4
	entered, release := make(chan bool, bound), make(chan struct{})
	s := newTestServer(t, 0, Limits{Connections: bound}, func(http.ResponseWriter, *http.Request) {
		entered <- true
		<-release
	})
	var busy [bound]net.Conn
	for i := range busy {
		busy[i] = s.dial()
		_, err := io.WriteString(busy[i], get)
		assert.NilError(t, err)
		<-entered
	}
	_, err := s.dial().Read(make([]byte, 1))
	assert.Assert(t, err != nil, "a connection above the bound was accepted")
	close(release)
	for _, c := range busy {
		assert.Equal(t, status(c), http.StatusOK)
	}
}

// Guards against a body that stops just short of its end and holds its memory, and against an
// answer that nobody reads.
func TestStalledClients(t *testing.T) {
	long := strings.Repeat("x", 16<<20)
	s := newTestServer(t, 0, Limits{StallTime: 300 * time.Millisecond, AnswerStallTime: 300 * time.Millisecond}, func(w http.ResponseWriter, _ *http.Request) {
		_, _ = io.WriteString(w, long)
	})
	body := s.dial()
	assert.Equal(t, request(body, fmt.Sprintf(post, 100<<10)+strings.Repeat("x", 100<<10-1)), http.StatusRequestTimeout)
	_, err := io.WriteString(s.dial(), strings.Repeat(get, 100))
	assert.NilError(t, err)
	_ = body.Close()
	s.eventually(s.empty)
}

// Guards against closing the connections of ordinary clients after a process was suspended: what
// they sent meanwhile was not read.
func TestSuspensionClosesNoConnections(t *testing.T) {
	s := newTestServer(t, 0, Limits{StallTime: time.Second}, nil)
	c := s.dial()
	_, err := io.WriteString(c, fmt.Sprintf(post, 5)+"hel")
	assert.NilError(t, err)
	s.eventually(func() bool {
		s.mu.Lock()
		defer s.mu.Unlock()
		for c := range s.conns {
			return shedding.Phase(c.phase.Load()) == shedding.Body
		}
		return false
	})
	s.closeStalled(s.advance(time.Hour))
	assert.Equal(t, request(c, "lo"), http.StatusOK)
}

// Guards against a crowd of incomplete bodies that keeps ordinary ones out until it leaves.
func TestStalledBodiesMakeRoom(t *testing.T) {
	const size = 512 << 10
	for _, tc := range []struct {
		name string
		// drips is set if the crowd goes on to send single bytes.
		drips bool
	}{
		{"one byte short", false},
		{"a byte now and then", true},
	} {
		t.Run(tc.name, func(t *testing.T) {
			s := newTestServer(t, 2<<20, Limits{Normal: shedding.Limits{Quiet: 200 * time.Millisecond}}, nil)
			var crowd []net.Conn
			for range 20 {
				c := s.dial()
				crowd = append(crowd, c)
				_, err := io.WriteString(c, fmt.Sprintf(post, size)+strings.Repeat("x", size-10_000))
				assert.NilError(t, err)
			}
			body := fmt.Sprintf(post, size) + strings.Repeat("x", size)
			s.eventually(func() bool {
				for _, c := range crowd {
					if tc.drips {
						// An error means that the connection was closed, which is the purpose.
						_, _ = c.Write([]byte("x"))
					}
				}
				return request(s.dial(), body) == http.StatusOK
			})
		})
	}
}

// Guards against a header whose end is not found because of the places at which it arrives in
// parts; the body would then count as header.
func TestEndOfHeader(t *testing.T) {
	for _, raw := range []string{"GET / HTTP/1.1\r\nA: b\r\n\r\n", "GET / HTTP/1.1\nA: b\n\n", "GET / HTTP/1.1\r\nA: b\n\r\n"} {
		for first := 1; first < len(raw); first++ {
			for second := first; second <= len(raw); second++ {
				c := &Conn{}
				at := 0
				for _, part := range []string{raw[:first], raw[first:second], raw[second:] + "body\n\n"} {
					if part == "" {
						continue
					}
					if end := c.headerEnd([]byte(part)); end >= 0 {
						at += end
						break
					}
					at += len(part)
				}
				assert.Equal(t, at, len(raw), "%q in parts %d, %d", raw, first, second)
			}
		}
	}
}

// Guards against connections that take more memory than is charged for them.
func TestConnectionTakesNoMoreThanItsCharge(t *testing.T) {
	const n = 300
	entered, release := make(chan bool, n), make(chan struct{})
	s := newTestServer(t, 0, Limits{}, func(http.ResponseWriter, *http.Request) {
		entered <- true
		<-release
	})
	before := memory()
	for range n {
		_, err := io.WriteString(s.dial(), get)
		assert.NilError(t, err)
		<-entered
	}
	cost := (memory() - before) / n
	close(release)
	t.Logf("%d bytes for each connection with its client", cost)
	assert.Assert(t, cost <= ConnectionBytes)
}

func memory() int64 {
	n := heap()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return n + int64(m.StackInuse) //nolint:gosec // Stacks are smaller than that.
}

// Guards against requests that hold more memory than is charged, or don't release it. The
// corpus has the requests of crowds.
func FuzzRequests(f *testing.F) {
	for _, raw := range []string{get, fmt.Sprintf(post, 5) + "hello", "GET / HTTP/1.1\r\nHost: a\r\n" + shortFields(500) + "\r\n", strings.Repeat(get, 50),
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + strings.Repeat("1;a=b\r\nx\r\n", 100) + "0\r\n" + shortFields(100) + "\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\nTrailer: x\r\n\r\nffffffffffffffff\r\n", "\n\n\n\r\n", "PRI * HTTP/2.0\r\n\r\nSM\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: a\r\nExpect: 100-continue\r\nContent-Length: 9999999999\r\n\r\n" + strings.Repeat("x", 1000)} {
		f.Add([]byte(raw))
	}
	const (
		budget = 4 << 20
		// perByte and fixed bound what the requests of one connection allocate in all. A short
		// field of 4 bytes takes fieldBytes in copies that are made once.
		perByte, fixed = 400, 2 << 20
	)
	f.Fuzz(func(t *testing.T, raw []byte) {
		s := newTestServer(t, budget, Limits{DropTime: 50 * time.Millisecond}, nil)
		c := s.dial()
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		_, _ = c.Write(raw)
		_ = c.(*net.TCPConn).CloseWrite()
		_, _ = io.Copy(io.Discard, c)
		runtime.ReadMemStats(&after)
		_ = c.Close()
		s.eventually(s.empty)
		n := after.TotalAlloc - before.TotalAlloc
		assert.Assert(t, n <= fixed+perByte*uint64(len(raw)), "%d bytes were allocated for %d", n, len(raw))
	})
}
