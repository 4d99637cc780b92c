package replica_test

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"gotest.tools/v3/assert"

	"turmericdrum.org/turmericdrum/internal/replica"
	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/journal"
)

// links delivers messages in order after a one-way delay, without sockets.
type links struct {
	delay time.Duration
	mu    sync.Mutex
	nodes map[string]*replica.Node
}

// linkTransport sends the messages of one node.
type linkTransport struct {
	*links
	mu     sync.Mutex
	queues map[string]chan delayed
	ctx    context.Context
}

type delayed struct {
	due      time.Time
	messages []*schema.LogMessage
}

func (t *linkTransport) Run(ctx context.Context) {
	t.mu.Lock()
	t.ctx = ctx
	t.mu.Unlock()
	<-ctx.Done()
}

func (t *linkTransport) Send(address string, messages []*schema.LogMessage) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.ctx == nil {
		return
	}
	q, ok := t.queues[address]
	if !ok {
		q = make(chan delayed, 4096)
		t.queues[address] = q
		go t.deliver(t.ctx, address, q)
	}
	select {
	case q <- delayed{time.Now().Add(t.delay), messages}:
	default:
	}
}

func (t *linkTransport) deliver(ctx context.Context, address string, q chan delayed) {
	for {
		select {
		case <-ctx.Done():
			return
		case d := <-q:
			time.Sleep(time.Until(d.due))
			t.links.mu.Lock()
			n := t.nodes[address]
			t.links.mu.Unlock()
			if n != nil {
				_, _ = n.Deliver(ctx, &schema.LogMessages{Messages: d.messages})
			}
		}
	}
}

// startLinked starts replica i of a cluster of n replicas connected by links, with
// its data in a folder on disk.
func startLinked(b *testing.B, l *links, i, n int, path string, syncEach bool) *host {
	var initial []replica.InitialMember
	for k := range n {
		initial = append(initial, replica.InitialMember{Host: serving.HostID(fmt.Sprint(k)), Address: fmt.Sprintf("link-%d", k)})
	}
	disk, err := journal.OpenFolder(path)
	assert.NilError(b, err)
	h := &host{machine: &machine{}, server: &http.Server{}, path: path, done: make(chan error, 1)}
	h.Node = &replica.Node{Host: initial[i].Host, Address: initial[i].Address, Disk: disk, Machine: h.machine,
		Bootstrap: true, Initial: initial, Transport: &linkTransport{links: l, queues: map[string]chan delayed{}}}
	if syncEach {
		h.SyncEach()
	}
	l.mu.Lock()
	l.nodes[h.Address] = h.Node
	l.mu.Unlock()
	ctx, cancel := context.WithCancel(context.Background())
	h.cancel = cancel
	go func() { h.done <- h.Run(ctx) }()
	b.Cleanup(h.stop)
	return h
}

func startLinkedCluster(b *testing.B, delay time.Duration, n int, syncEach bool) (*links, []*host) {
	l := &links{delay: delay, nodes: map[string]*replica.Node{}}
	var hosts []*host
	for i := range n {
		hosts = append(hosts, startLinked(b, l, i, n, b.TempDir(), syncEach))
	}
	return l, hosts
}

func report(b *testing.B, h *hdrhistogram.Histogram) {
	b.ReportMetric(float64(h.ValueAtPercentile(50))/1000, "p50-ms")
	b.ReportMetric(float64(h.ValueAtPercentile(99))/1000, "p99-ms")
	b.ReportMetric(float64(h.Max())/1000, "max-ms")
}

func newHistogram() *hdrhistogram.Histogram { return hdrhistogram.New(1, 60_000_000, 3) }

// BenchmarkCommitLatency measures the latency of proposals of one client to three
// replicas.
func BenchmarkCommitLatency(b *testing.B) {
	for _, delay := range []time.Duration{time.Millisecond, 10 * time.Millisecond} {
		b.Run(fmt.Sprint("one-way=", delay), func(b *testing.B) {
			_, hosts := startLinkedCluster(b, delay, 3, false)
			leader := waitLeader(b, hosts)
			latency := newHistogram()
			for b.Loop() {
				start := time.Now()
				_, err := leader.Propose(context.Background(), []byte("x"))
				assert.NilError(b, err)
				_ = latency.RecordValue(time.Since(start).Microseconds())
			}
			report(b, latency)
		})
	}
}

// BenchmarkThroughput compares group commit with one sync per proposal, for 256
// clients and three replicas on disk, connected in memory or over HTTP.
func BenchmarkThroughput(b *testing.B) {
	for _, name := range []string{"group-commit", "sync-each", "group-commit-http"} {
		b.Run(name, func(b *testing.B) {
			var hosts []*host
			if name == "group-commit-http" {
				hosts = startCluster(b, 3)
			} else {
				_, hosts = startLinkedCluster(b, 0, 3, name == "sync-each")
			}
			leader := waitLeader(b, hosts)
			var next atomic.Int64
			var wg sync.WaitGroup
			b.ResetTimer()
			for range 256 {
				wg.Go(func() {
					for next.Add(1) <= int64(b.N) {
						if _, err := leader.Propose(context.Background(), make([]byte, 100)); err != nil {
							b.Error(err)
							return
						}
					}
				})
			}
			wg.Wait()
			b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "proposals/s")
		})
	}
}

// BenchmarkLeaderKill measures the time from the loss of the leader until another
// replica answers reads, with a one-way delay of 10 ms.
func BenchmarkLeaderKill(b *testing.B) {
	failoverTimes := newHistogram()
	for b.Loop() {
		l, hosts := startLinkedCluster(b, 10*time.Millisecond, 3, false)
		leader := waitLeader(b, hosts)
		start := time.Now()
		l.mu.Lock()
		delete(l.nodes, leader.Address)
		l.mu.Unlock()
		leader.stop()
		waitLeader(b, without(hosts, leader))
		_ = failoverTimes.RecordValue(time.Since(start).Microseconds())
		for _, h := range without(hosts, leader) {
			h.stop()
		}
	}
	report(b, failoverTimes)
}

// BenchmarkCatchUp measures the time from the start of a replica that missed 1,000
// entries until it has applied them, with a one-way delay of 10 ms.
func BenchmarkCatchUp(b *testing.B) {
	l, hosts := startLinkedCluster(b, 10*time.Millisecond, 3, false)
	leader := waitLeader(b, hosts)
	behind := without(hosts, leader)[0]
	index := 0
	for i, h := range hosts {
		if h == behind {
			index = i
		}
	}
	catchUpTimes := newHistogram()
	for b.Loop() {
		behind.stop()
		var wg sync.WaitGroup
		for range 100 {
			wg.Go(func() {
				for range 10 {
					if _, err := leader.Propose(context.Background(), make([]byte, 100)); err != nil {
						b.Error(err)
					}
				}
			})
		}
		wg.Wait()
		want := leader.Status().GetAppliedIndex()
		start := time.Now()
		behind = startLinked(b, l, index, 3, behind.path, false)
		for behind.Status().GetAppliedIndex() < want {
			time.Sleep(time.Millisecond)
		}
		_ = catchUpTimes.RecordValue(time.Since(start).Microseconds())
	}
	report(b, catchUpTimes)
}
