package entry

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// pacedEngine streams tokens at a fixed rate. The text of each token is the time at
// which it was sent, in nanoseconds since origin. It writes to raw connections to keep
// its own CPU time small compared with that of the entry in the same process.
type pacedEngine struct {
	listener net.Listener
	origin   time.Time
	// length is the number of tokens of each answer, and pace the time between two of
	// them.
	length int
	pace   time.Duration
}

func newPacedEngine(tb testing.TB, length int, pace time.Duration) (*pacedEngine, *Engine) {
	tb.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		tb.Fatal(err)
	}
	p := &pacedEngine{listener: l, origin: time.Now(), length: length, pace: pace}
	go p.serve()
	tb.Cleanup(func() { _ = l.Close() })
	return p, &Engine{Announcement: &engine.Announcement{
		Engine: "engine-1", Address: l.Addr().String(), DataCentre: "dc-a", Incarnation: 1,
		State: engine.PhaseReady, Models: []engine.ModelRef{{Model: "guide"}},
	}, State: engine.StateAlive, counters: newEngineCounters()}
}

func (p *pacedEngine) serve() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err == nil {
				_, _ = io.Copy(io.Discard, r.Body)
				p.answer(c, r.Header.Get("X-Request-Id"), r.Header.Get("X-Generation-Id"))
			}
		}()
	}
}

func (p *pacedEngine) answer(w io.Writer, request, id string) {
	fmt.Fprint(w, "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nConnection: close\r\n\r\n")
	ticker := time.NewTicker(max(p.pace, time.Microsecond))
	defer ticker.Stop()
	for i := range p.length {
		if p.pace > 0 {
			<-ticker.C
		}
		finish := ""
		if i == p.length-1 {
			finish = `,"finish_reason":"stop"`
		}
		if _, err := fmt.Fprintf(w, "data: {\"request_id\":%q,\"generation_id\":%q,\"index\":%d,\"token\":\"%d\"%s}\n\n", request, id, i, time.Since(p.origin).Nanoseconds(), finish); err != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
}

// readAnswer reads one answer and passes the delay of each token to observe.
func (p *pacedEngine) readAnswer(url string, observe func(time.Duration)) error {
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, url+"/v1/completions", strings.NewReader(`{"model":"guide","stream":true}`))
	if err != nil {
		return err
	}
	r.Header.Set("Authorization", "Bearer "+testKey)
	r.Header.Set("X-Request-Id", "r")
	r.Header.Set("X-Generation-Id", "g")
	res, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	scanner, n := bufio.NewScanner(res.Body), 0
	for scanner.Scan() {
		_, rest, ok := strings.Cut(scanner.Text(), `"token":"`)
		if !ok {
			continue
		}
		now := time.Since(p.origin)
		var sent int64
		for _, c := range []byte(rest) {
			if c == '"' {
				break
			}
			sent = sent*10 + int64(c-'0')
		}
		n++
		observe(now - time.Duration(sent))
	}
	if n != p.length {
		return fmt.Errorf("%d tokens instead of %d, status %d", n, p.length, res.StatusCode)
	}
	return nil
}

// readAnswers reads several answers concurrently and returns the delays of all tokens
// in nanoseconds.
func (p *pacedEngine) readAnswers(tb testing.TB, url string, streams int) *hdrhistogram.Histogram {
	tb.Helper()
	h := hdrhistogram.New(1, 60e9, 3)
	var mu sync.Mutex
	var all sync.WaitGroup
	for range streams {
		all.Go(func() {
			var delays []int64
			if err := p.readAnswer(url, func(d time.Duration) { delays = append(delays, int64(d)) }); err != nil {
				tb.Error(err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, d := range delays {
				_ = h.RecordValue(max(d, 1))
			}
		})
	}
	all.Wait()
	return h
}

func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkAddedLatency compares the delay of tokens through the entry with that of
// direct calls to the same engine. The two alternate within one run.
func BenchmarkAddedLatency(b *testing.B) {
	p, n := newPacedEngine(b, 200, 5*time.Millisecond)
	e := newTestEntry(b, n)
	direct, through := hdrhistogram.New(1, 60e9, 3), hdrhistogram.New(1, 60e9, 3)
	for b.Loop() {
		direct.Merge(p.readAnswers(b, "http://"+n.Address, 20))
		through.Merge(p.readAnswers(b, e.server.URL, 20))
	}
	for _, q := range []float64{50, 99} {
		d, t := direct.ValueAtQuantile(q), through.ValueAtQuantile(q)
		b.ReportMetric(float64(d)/1e3, fmt.Sprintf("direct-p%v-µs", q))
		b.ReportMetric(float64(t-d)/1e3, fmt.Sprintf("added-p%v-µs", q))
	}
}

// BenchmarkTokenCPU measures the CPU time per token of engine, entry and caller
// together, and of engine and caller alone, at 11,500 tokens/s.
func BenchmarkTokenCPU(b *testing.B) {
	const streams, rate, seconds = 115, 100, 3
	p, n := newPacedEngine(b, rate*seconds, time.Second/rate)
	e := newTestEntry(b, n)
	for _, bb := range []struct{ name, url string }{{"direct", "http://" + n.Address}, {"entry", e.server.URL}} {
		b.Run(bb.name, func(b *testing.B) {
			tokens, cpu := 0, cpuTime()
			for b.Loop() {
				p.readAnswers(b, bb.url, streams)
				tokens += streams * p.length
			}
			b.ReportMetric(float64(cpuTime()-cpu)/float64(tokens)/1e3, "cpu-µs/token")
			b.ReportMetric(float64(cpuTime()-cpu)/float64(b.Elapsed()), "cores")
		})
	}
}

// BenchmarkStreamMemory measures the memory per stream of engine, entry and caller
// together, and of engine and caller alone.
func BenchmarkStreamMemory(b *testing.B) {
	for _, streams := range []int{250, 500, 1000, 2000} {
		p, n := newPacedEngine(b, 4, 300*time.Millisecond)
		e := newTestEntry(b, n)
		for _, bb := range []struct{ name, url string }{{"direct", "http://" + n.Address}, {"entry", e.server.URL}} {
			b.Run(fmt.Sprintf("%s/%d", bb.name, streams), func(b *testing.B) {
				for b.Loop() {
					before := memoryInUse()
					done := make(chan struct{})
					go func() { defer close(done); p.readAnswers(b, bb.url, streams) }()
					time.Sleep(900 * time.Millisecond) // By now all streams are open and none has ended.
					b.ReportMetric(float64(memoryInUse()-before)/float64(streams), "bytes/stream")
					<-done
					http.DefaultTransport.(*http.Transport).CloseIdleConnections()
				}
			})
		}
	}
}

func memoryInUse() int64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return int64(m.HeapInuse + m.StackInuse)
}

// BenchmarkRelayToken measures the entry's own work per token, without sockets.
func BenchmarkRelayToken(b *testing.B) {
	a := newAttempt(&serving.Request{ID: "request-1", Account: "bench"}, "generation-1", &Engine{
		Announcement: &engine.Announcement{Engine: "engine-1", Address: "127.0.0.1:7000"}, counters: newEngineCounters(),
	}, nil, 0)
	out := &streamedAnswer{signer: newEntry(testSettings(b)).signer}
	out.begin(a)
	data := []byte(`{"request_id":"request-1","generation_id":"generation-1","index":0,"token":" needle"}`)
	b.ReportAllocs()
	for b.Loop() {
		f, err := a.parser.parse(data)
		if err != nil {
			b.Fatal(err)
		}
		f.Index = a.sequencer.Next()
		a.frames, _ = a.sequencer.Append(a.frames[:0], f)
		out.buf = appendEvent(out.buf[:0], out.streamSigner, &a.frames[0])
	}
}
