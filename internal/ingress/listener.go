package ingress

import (
	"context"
	"errors"
	"expvar"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"k8s.io/klog/v2"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/shedding"
)

const (
	// tick is the resolution of the listener's clock and the interval of its checks.
	tick = 100 * time.Millisecond
	// maxStep bounds the time by which the clock moves at once.
	maxStep = 2 * tick
	// queuedTicks is the number of ticks between two checks of the kernel's buffers, each of which takes
	// about a microsecond for each request in progress.
	queuedTicks = 5
	// logInterval is the interval between two log lines for the same cause.
	logInterval = 5 * time.Second
	// descriptorPause is the pause after an accept that failed for want of a descriptor.
	descriptorPause = 10 * time.Millisecond
)

// Listener accepts the connections of clients within limits.
type Listener struct {
	// Listener is the listener that accepts connections without limits.
	net.Listener
	// Name names the listener in the log.
	Name string
	// Budget is that of the process. Several listeners may share it.
	Budget *Budget
	// Limits are those of the listener.
	Limits Limits
	// Refuse, if set, writes the answer of Guard to a request that is not passed on. The error
	// is one of pkg/serving.
	Refuse func(w http.ResponseWriter, err error)

	limits Limits
	once   sync.Once
	stop   chan struct{}
	// now is the time of the listener's clock at the last tick. It is never 0.
	now atomic.Int64

	mu    sync.Mutex
	conns map[*Conn]bool
	seq   uint64
	// logged holds the time of the last log line for each cause, and the events since.
	logged map[string]*logState
}

type logState struct {
	at     time.Time
	events int
}

// Listen listens on a TCP address.
func (l *Listener) Listen(address string) error {
	limits := l.Limits.withDefaults()
	cfg := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		// Accepted connections inherit the sizes. A client whose request is not read can't
		// send more than that.
		return raw.Control(func(fd uintptr) {
			if limits.ReadBuffer > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, limits.ReadBuffer)
			}
			if limits.WriteBuffer > 0 {
				_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, limits.WriteBuffer)
			}
		})
	}}
	inner, err := cfg.Listen(context.Background(), "tcp", address)
	if err != nil {
		return serving.WrapError(err, serving.KindInvalid, "listen on "+address)
	}
	// Connections that wait to be accepted hold bytes, too.
	if raw, err := inner.(*net.TCPListener).SyscallConn(); err == nil {
		_ = raw.Control(func(fd uintptr) { _ = syscall.Listen(int(fd), limits.Backlog) })
	}
	l.Listener = inner
	return nil
}

func (l *Listener) setup() {
	l.limits = l.Limits.withDefaults()
	if l.Budget == nil {
		l.Budget = &Budget{}
	}
	l.conns, l.logged = map[*Conn]bool{}, map[string]*logState{}
	l.stop = make(chan struct{})
	l.now.Store(1)
	go l.watch()
}

// Accept implements net.Listener. It never fails for want of a descriptor.
func (l *Listener) Accept() (net.Conn, error) {
	l.once.Do(l.setup)
	for {
		inner, err := l.Listener.Accept()
		switch {
		case errors.Is(err, syscall.EMFILE), errors.Is(err, syscall.ENFILE):
			l.shed(causeDescriptors)
			time.Sleep(descriptorPause)
			continue
		case err != nil:
			return nil, err
		}
		if c := l.add(inner); c != nil {
			return c, nil
		}
		_ = inner.Close()
	}
}

// add returns the connection with limits, or nil if there is no room for it.
func (l *Listener) add(inner net.Conn) *Conn {
	c := &Conn{Conn: inner, l: l}
	c.inHeader.Store(true)
	c.setPhase(shedding.Opening)
	l.mu.Lock()
	full := len(l.conns) >= l.limits.Connections
	l.mu.Unlock()
	if full && !l.shed(causeConnections) {
		l.note(refusals, causeConnections, c)
		return nil
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.seq++
	c.seq = l.seq
	l.conns[c] = true
	l.Budget.charge(ConnectionBytes)
	connectionsInUse.Add(1)
	return c
}

func (l *Listener) remove(c *Conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.conns[c] {
		return
	}
	delete(l.conns, c)
	c.chargeQueued(0)
	l.Budget.charge(-ConnectionBytes)
	connectionsInUse.Add(-1)
}

// first returns the connection that is closed first, of those up to a class for which eligible
// returns true, and nil if there is none. The caller holds mu.
func (l *Listener) first(most shedding.Class, eligible func(c *Conn, h shedding.Holding) bool) *Conn {
	now := l.now.Load()
	var worst shedding.Holding
	var out *Conn
	for c := range l.conns {
		h := c.holding(now)
		if h.Class(l.limits.Normal) > most || eligible != nil && !eligible(c, h) {
			continue
		}
		if out == nil || h.Before(worst, l.limits.Normal) || !worst.Before(h, l.limits.Normal) && c.seq < out.seq {
			out, worst = c, h
		}
	}
	return out
}

// shed closes the connection that is closed first. It reports whether there was one.
func (l *Listener) shed(cause string) bool {
	l.mu.Lock()
	victim := l.first(shedding.Known, nil)
	l.mu.Unlock()
	if victim == nil {
		return false
	}
	victim.shut(cause)
	return true
}

// makeRoom ends requests outside the limits that hold n bytes together, except those of one
// connection. It reports whether there were some.
func (l *Listener) makeRoom(n int64, except *Conn) bool {
	victims := map[*Conn]bool{}
	l.mu.Lock()
	for freed := int64(0); freed < n && len(victims) < maxShed; {
		victim := l.first(shedding.Unused, func(c *Conn, h shedding.Holding) bool {
			return c != except && h.Bytes > ConnectionBytes && !victims[c]
		})
		if victim == nil {
			break
		}
		victims[victim] = true
		freed += victim.held.Load()
	}
	l.mu.Unlock()
	for c := range victims {
		c.expire(causeMemory)
	}
	return len(victims) > 0
}

// Close implements net.Listener. Connections stay open.
func (l *Listener) Close() error {
	l.once.Do(l.setup)
	l.mu.Lock()
	select {
	case <-l.stop:
	default:
		close(l.stop)
	}
	l.mu.Unlock()
	return l.Listener.Close()
}

// watch moves the clock and closes connections without progress. It ends once the listener is
// closed and has no connections.
func (l *Listener) watch() {
	t := time.NewTicker(tick)
	defer t.Stop()
	last := time.Now()
	for n := 0; ; n++ {
		<-t.C
		at := time.Now()
		now := l.advance(at.Sub(last))
		last = at
		if n%queuedTicks == 0 {
			l.countQueued(now)
		}
		if l.closeStalled(now) {
			select {
			case <-l.stop:
				return
			default:
			}
		}
	}
}

// advance moves the clock after some time and returns the new time. The time for which the process
// was suspended doesn't count: the bytes that clients sent meanwhile were not read.
func (l *Listener) advance(elapsed time.Duration) int64 {
	return l.now.Add(int64(min(elapsed, maxStep)))
}

// countQueued charges the bytes in the kernel's buffers of requests in progress: what has arrived
// behind them, and what the clients have not taken.
func (l *Listener) countQueued(now int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for c := range l.conns {
		n := int64(0)
		if h := c.holding(now); h.Age > tick && (h.Phase == shedding.Serving || h.Phase == shedding.Writing) {
			n = queued(c.Conn)
		}
		c.chargeQueued(n)
	}
}

// closeStalled closes the connections without progress. It reports whether there are none left.
func (l *Listener) closeStalled(now int64) bool {
	type stalled struct {
		c     *Conn
		cause string
	}
	var found []stalled
	l.mu.Lock()
	for c := range l.conns {
		h := c.holding(now)
		// The deadlines of the HTTP server and of the call bound the other phases.
		switch {
		case h.Phase == shedding.Body && (now-c.moved.Load() > int64(l.limits.StallTime) || h.Age > l.limits.BodyTime):
			found = append(found, stalled{c, causeStalledBody})
		case h.Phase == shedding.Writing && h.Quiet > l.limits.AnswerStallTime:
			found = append(found, stalled{c, causeSlowReader})
		}
	}
	empty := len(l.conns) == 0
	l.mu.Unlock()
	for _, s := range found {
		s.c.expire(s.cause)
	}
	return empty
}

// note counts a refusal or a closing, and logs one line for each cause and interval.
func (l *Listener) note(counter *expvar.Map, cause string, c *Conn) {
	counter.Add(cause, 1)
	what := "Client refused"
	if counter == closings {
		what = "Connection of a client closed"
	}
	l.mu.Lock()
	s := l.logged[what+cause]
	if s == nil {
		s = &logState{}
		l.logged[what+cause] = s
	}
	s.events++
	now, events := time.Now(), s.events
	due := now.Sub(s.at) >= logInterval
	if due {
		s.at, s.events = now, 0
	}
	connections := len(l.conns)
	l.mu.Unlock()
	if due {
		klog.InfoS(what, "listener", l.Name, "cause", cause, "since_last", events, "client", c.RemoteAddr(), "connections", connections, "bytes", l.Budget.Used(), "budget", l.Budget.Bytes)
	}
}

// Server returns an HTTP server for the listener. hook, if set, is called with each state of a
// connection.
func (l *Listener) Server(h http.Handler, hook func(net.Conn, http.ConnState)) *http.Server {
	limits := l.Limits.withDefaults()
	return &http.Server{
		Handler: h, ReadHeaderTimeout: limits.HeaderTime, IdleTimeout: limits.IdleTime, MaxHeaderBytes: limits.HeaderBytes,
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, connKey{}, c) },
		ConnState: func(c net.Conn, s http.ConnState) {
			if c, ok := c.(*Conn); ok {
				c.observe(s)
			}
			if hook != nil {
				hook(c, s)
			}
		},
	}
}
