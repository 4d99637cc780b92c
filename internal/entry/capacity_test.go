package entry

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"runtime"
	"syscall"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/dispatch"
	"turmericdrum.org/turmericdrum/pkg/serving/engine"
)

// The benchmarks of this file measure the growth rates in docs/CAPACITY.md. They report
// CPU time, which depends less on the load of the machine than elapsed time does.

func processorTime() time.Duration {
	var r syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &r)
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// reportProcessorTime reports the CPU time per iteration in microseconds.
func reportProcessorTime(b *testing.B, run func()) {
	b.Helper()
	run()
	runtime.GC()
	began := processorTime()
	for b.Loop() {
		run()
	}
	b.ReportMetric(float64((processorTime()-began).Microseconds())/float64(b.N), "cpu-us/op")
}

func benchAnnouncement(i int) *engine.Announcement {
	return &engine.Announcement{
		Engine: serving.EngineID(fmt.Sprintf("engine-%05d", i)), Host: "host", Address: fmt.Sprintf("10.0.%d.%d:9000", i/250, i%250),
		DataCentre: "dc-a", Incarnation: 1, Seq: 1, Kind: engine.KindModel, State: engine.PhaseReady,
		Models:   []engine.ModelRef{{Model: "guide", Version: "1"}},
		Capacity: serving.Capacity{MaxRunning: 64, ColdRunning: 4, MemoryBlocks: 10000, BlockTokens: 16},
		Load:     serving.Load{Running: 20, BlocksUsed: 4000, StepMS: 30, AsOfMS: 1},
	}
}

func benchEntry(b *testing.B, engines int) *Entry {
	b.Helper()
	e := newEntry(testSettings(b))
	for i := range engines {
		e.board.state.directory.Announce(0, benchAnnouncement(i), "r")
	}
	e.board.publish()
	return e
}

// messageBytes sends one request to a handler over a socket and returns the bytes in
// both directions, including headers.
func messageBytes(b *testing.B, path string, request proto.Message, response proto.Message) (sent, received int) {
	b.Helper()
	body, err := proto.Marshal(request)
	if err != nil {
		b.Fatal(err)
	}
	reply, err := proto.Marshal(response)
	if err != nil {
		b.Fatal(err)
	}
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/protobuf")
		_, _ = w.Write(reply)
	}))
	defer server.Close()
	r, err := http.NewRequestWithContext(context.Background(), http.MethodPost, server.URL+path, bytes.NewReader(body))
	if err != nil {
		b.Fatal(err)
	}
	r.Header.Set("Content-Type", "application/protobuf")
	r.Header.Set("Authorization", "Bearer "+testSettings(b).ClusterKey)
	var out, in bytes.Buffer
	_ = r.Write(&out)
	r.Body = io.NopCloser(bytes.NewReader(body))
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		b.Fatal(err)
	}
	defer res.Body.Close()
	_ = res.Write(&in)
	return out.Len(), in.Len()
}

// BenchmarkExchange applies a membership exchange in which every engine has a new load
// report, and reports the bytes of the digest and of the records.
func BenchmarkExchange(b *testing.B) {
	for _, n := range []int{15, 150, 1500} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			e := benchEntry(b, n)
			now := time.Duration(0)
			members := e.board.state.directory.Newer(nil)
			known := e.board.state.directory.Digest()
			reportProcessorTime(b, func() {
				exchangeReceived{records: e.decodeMembers(e.encodeMembers(members, known))}.apply(e.board.state, now)
			})
			digest := &schema.MemberExchange{Digest: encodeDigest(e.board.state.directory.Digest())}
			records := &schema.MemberExchange{Records: e.encodeMembers(members, known)}
			sent, received := messageBytes(b, schema.MembersPathPrefix+"Exchange", digest, records)
			b.ReportMetric(float64(sent), "digest-bytes")
			b.ReportMetric(float64(received), "record-bytes")
		})
	}
}

// BenchmarkBoard publishes a snapshot and sweeps the directory.
func BenchmarkBoard(b *testing.B) {
	for _, n := range []int{15, 150, 1500, 10000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			e := benchEntry(b, n)
			runtime.GC()
			runtime.ReadMemStats(&after)
			reportProcessorTime(b, func() { e.board.publish(); e.board.sweep() })
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "heap-bytes/engine")
		})
	}
}

// BenchmarkTick runs the dispatcher's tick when every engine has a new load report.
func BenchmarkTick(b *testing.B) {
	for _, n := range []int{15, 150, 1500, 10000} {
		b.Run(fmt.Sprintf("engines=%d", n), func(b *testing.B) {
			e := &testEntry{Entry: benchEntry(b, 0)}
			var engines []*Engine
			for i := range n {
				engines = append(engines, &Engine{Announcement: benchAnnouncement(i), State: engine.StateAlive, counters: &engineCounters{}})
			}
			e.setBoard(b, testConfig(), engines...)
			at := time.Duration(0)
			reportProcessorTime(b, func() {
				at += time.Millisecond
				for _, g := range engines {
					g.ReceivedAt = at
				}
				e.dispatcher.tick()
			})
		})
	}
}

// BenchmarkSlotMessage reports the bytes of a slot renewal for different numbers of
// held slots.
func BenchmarkSlotMessage(b *testing.B) {
	for _, held := range []int{1, 4, 16} {
		b.Run(fmt.Sprintf("held=%d", held), func(b *testing.B) {
			q := dispatch.SlotRequest{Engine: "engine-00001", Entry: dispatch.EntryID{Host: "entry-0001", Incarnation: 1 << 60}, Seq: 1000, Ack: 999}
			p := dispatch.SlotReply{Engine: q.Engine, Term: dispatch.OwnerTerm{Epoch: 1000, Owner: q.Entry}, Seq: 1000, TTL: time.Second, Incarnation: 1 << 60, Limit: 64}
			for i := range held {
				id := serving.SlotID(fmt.Sprintf("entry-0002/%d/1000/%d", int64(1)<<60, i))
				q.Held = append(q.Held, dispatch.HeldSlot{ID: id, LastUse: 1000, Running: true})
				p.Slots = append(p.Slots, id)
			}
			q.Forecast.Generations, p.Others.Generations = serving.Slots(held), 40
			reportProcessorTime(b, func() { decodeSlotRequest(encodeSlotRequest(q)) })
			sent, received := messageBytes(b, schema.SlotsPathPrefix+"Update", encodeSlotRequest(q), encodeSlotReply(p))
			b.ReportMetric(float64(sent), "request-bytes")
			b.ReportMetric(float64(received), "reply-bytes")
		})
	}
}

// BenchmarkPollMessage reports the bytes of a view poll when the view has not changed.
func BenchmarkPollMessage(b *testing.B) {
	req := &schema.ViewRequest{Entry: "entry-0001", Address: "10.0.0.1:7000", DataCentre: "dc-a", Region: "r", Incarnation: "1796357578480000000", HaveRevision: 100000, ConfigRevision: 100000, EntriesEpoch: 5000}
	res := &schema.ViewResult{Revision: 100000, Unchanged: true}
	reportProcessorTime(b, func() { _, _ = proto.Marshal(req) })
	sent, received := messageBytes(b, schema.ViewsPathPrefix+"GetView", req, res)
	b.ReportMetric(float64(sent), "request-bytes")
	b.ReportMetric(float64(received), "reply-bytes")
}
