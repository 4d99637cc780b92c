package gateway

import (
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/schema"
	"turmericdrum.org/turmericdrum/pkg/serving/saturation"
)

const (
	// sampleInterval is the interval of the samples of what this process uses. It is short
	// against the waves in which callers come, and a sample takes a few microseconds.
	sampleInterval = 250 * time.Millisecond
	// stateInterval is the interval at which an entry that is ready repeats its state to the
	// hub, which may have restarted.
	stateInterval = time.Second
)

// hostLoad samples what this process uses of its host and decides whether the entry reports
// that it is not ready. It does nothing unless the limits of the host are known.
type hostLoad struct {
	g *Gateway
	// awayUntil is the time in nanoseconds up to which the entry reports that it is not ready
	// because of its load.
	awayUntil atomic.Int64
	// bytes counts what callers sent and received. Each byte from a caller goes on to an
	// engine, and each byte to a caller has come from one, so it approximates the bytes in one
	// direction of the link.
	bytes   atomic.Uint64
	callers atomic.Int64

	mu         sync.Mutex
	controller saturation.Controller
	// reported is the phase that was last sent to a hub, at reportedAt.
	reported   saturation.Phase
	reportedAt time.Duration
}

func (l *hostLoad) setup(g *Gateway) {
	l.g = g
	l.controller = saturation.Controller{Capacity: g.Capacity}
}

// run samples until ctx is canceled.
func (l *hostLoad) run(ctx context.Context) {
	if !l.g.Capacity.Known() {
		return
	}
	t := time.NewTicker(sampleInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			l.observe(l.g.Clock.Now(), l.sample())
		}
	}
}

// sample returns what this process has used. Each call in progress has at most one connection
// to an engine.
func (l *hostLoad) sample() saturation.Sample {
	return saturation.Sample{Processor: processorTime(), Bytes: l.bytes.Load(),
		Descriptors: int(l.callers.Load()+inProgress.Value()) + l.g.upstream.Idle()}
}

// observe applies a sample.
func (l *hostLoad) observe(now time.Duration, s saturation.Sample) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller.Observe(now, s)
	levels := l.controller.Levels()
	hostProcessorLevel.Set(float64(levels.Processor))
	hostLinkLevel.Set(float64(levels.Link))
	hostDescriptorLevel.Set(float64(levels.Descriptors))
	l.decide(now)
}

// decide applies the decision. The caller holds mu.
func (l *hostLoad) decide(now time.Duration) {
	d := l.controller.Decide(now)
	l.awayUntil.Store(int64(l.controller.AwayUntil()))
	if !d.Changed {
		return
	}
	hostAway.Set(0)
	if d.Phase == saturation.Away {
		hostAway.Set(1)
	}
	hostPhaseChanges.Add(d.Phase.String(), 1)
	levels, entries := l.controller.Levels(), l.controller.Answer().Entries
	klog.InfoS("Host load phase changed", "phase", d.Phase, "cause", d.Cause, "processor", levels.Processor, "link", levels.Link,
		"descriptors", levels.Descriptors, "entries", entries, "max_away", saturation.MaxAway(entries))
}

// away reports whether the entry is not ready because of its load.
func (l *hostLoad) away(now time.Duration) bool { return int64(now) < l.awayUntil.Load() }

// report returns what to send with a poll, nil if the hub needs nothing. newHub is set if the
// last poll was sent to another hub.
func (l *hostLoad) report(now time.Duration, newHub bool) *schema.EntrySaturation {
	if !l.g.Capacity.Known() {
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	phase := l.controller.Phase()
	if phase == saturation.Ready && phase == l.reported && !newHub && now-l.reportedAt < stateInterval {
		return nil
	}
	l.reported, l.reportedAt = phase, now
	s := l.controller.State()
	s.DataCentre = l.g.DataCentre
	return s.ToWire()
}

// apply applies the answer to a poll that was sent at the given time.
func (l *hostLoad) apply(sentAt time.Duration, m *schema.SaturationAnswer) {
	if !l.g.Capacity.Known() {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if m == nil {
		l.controller.ClearAnswer()
	} else {
		l.controller.SetAnswer(sentAt, saturation.AnswerFromWire(m))
	}
	l.decide(l.g.Clock.Now())
}

// setLeaving records that the entry shuts down.
func (l *hostLoad) setLeaving() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.controller.SetLeaving()
}

// count returns a listener that counts the connections of callers and their bytes. It returns
// inner if the limits of the host are unknown.
func (l *hostLoad) count(inner net.Listener) net.Listener {
	if !l.g.Capacity.Known() {
		return inner
	}
	return &countingListener{Listener: inner, load: l}
}

type countingListener struct {
	net.Listener
	load *hostLoad
}

// Accept implements net.Listener.
func (l *countingListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	l.load.callers.Add(1)
	return &countedConn{Conn: c, load: l.load}, nil
}

// countedConn is a connection of a caller.
type countedConn struct {
	net.Conn
	load   *hostLoad
	closed atomic.Bool
}

// Read implements net.Conn.
func (c *countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.load.bytes.Add(uint64(max(0, n)))
	return n, err
}

// Write implements net.Conn.
func (c *countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.load.bytes.Add(uint64(max(0, n)))
	return n, err
}

// Close implements net.Conn.
func (c *countedConn) Close() error {
	if c.closed.CompareAndSwap(false, true) {
		c.load.callers.Add(-1)
	}
	return c.Conn.Close()
}
