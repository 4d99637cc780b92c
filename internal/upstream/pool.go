package upstream

import (
	"bufio"
	"context"
	"expvar"
	"math"
	"net"
	"net/http"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// dialTimeout is several round trips between regions, one lost packet included.
	dialTimeout = 400 * time.Millisecond
	// defaultIdle is how long a connection is kept for an engine that doesn't tell.
	defaultIdle = 2 * time.Second
	// idleMargin is the part of the engine's idle timeout after which a connection is
	// not used, since the close may be on its way.
	idleMargin = 0.6
	// SafeIdle is the idle time up to which a connection is used for a call that
	// must not run twice: some engines drop connections that rested a little longer.
	SafeIdle = 200 * time.Millisecond
	// sweepInterval is how often idle connections are looked at.
	sweepInterval = time.Second
	// readBuffer holds the header and the small body of an ordinary answer.
	readBuffer = 4 << 10
)

var (
	connectionsOpened = expvar.NewInt("engine_connections_opened")
	connectionsReused = expvar.NewInt("engine_connections_reused")
)

// dialer ends connections within about two seconds when the engine's host is silent.
var dialer = &net.Dialer{
	Timeout:         dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: time.Second, Interval: 500 * time.Millisecond, Count: 3},
}

// Decoder decodes the header of an engine's answer; every serving.Dialect is one.
type Decoder interface {
	DecodeAnswer(status int, h http.Header) serving.Answer
}

// Pool holds the connections to engines. Exported fields are set before the first use.
type Pool struct {
	Dialect Decoder
	Clock   serving.Clock
	// IdleFor is how long engines keep idle connections that don't tell; 0 means the
	// default.
	IdleFor time.Duration

	mu   sync.Mutex
	idle map[string][]*conn
}

// conn is one connection to an engine.
type conn struct {
	net.Conn
	reader *bufio.Reader
	// until is the time up to which the engine keeps the connection.
	until  time.Duration
	rested time.Duration
	used   bool
}

// get returns an idle connection that rested for at most maxRest, or a new one.
func (p *Pool) get(ctx context.Context, address string, maxRest time.Duration) (*conn, error) {
	if c := p.takeIdle(address, maxRest); c != nil {
		connectionsReused.Add(1)
		return c, nil
	}
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindEngineFailed, "connect to the engine")
	}
	connectionsOpened.Add(1)
	return &conn{Conn: nc, reader: bufio.NewReaderSize(nc, readBuffer)}, nil
}

func (p *Pool) takeIdle(address string, maxRest time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	list := p.idle[address]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[address] = list
		if now-c.rested > maxRest && now < c.until {
			// The others rested longer; they may still serve calls that may run again.
			p.idle[address] = append(list, c)
			return nil
		}
		if now >= c.until || c.reader.Buffered() > 0 || !alive(c.Conn) {
			_ = c.Close()
			continue
		}
		return c
	}
	return nil
}

// put keeps a connection for the next call, unless keep others rest already; it
// takes the place of the oldest one.
func (p *Pool) put(address string, c *conn, idleFor time.Duration, keep int) {
	if keep <= 0 {
		_ = c.Close()
		return
	}
	if idleFor <= 0 {
		idleFor = orDefault(p.IdleFor, defaultIdle)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[string][]*conn{}
	}
	now := p.Clock.Now()
	c.rested, c.until, c.used = now, now+time.Duration(idleMargin*float64(idleFor)), true
	list := p.idle[address]
	for len(list) >= keep {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[address] = append(list, c)
}

// Run closes idle connections that their engines are about to close, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	t := time.NewTicker(sweepInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
			p.closeIdle(p.Clock.Now())
		}
	}
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.closeIdle(math.MaxInt64) }

// closeIdle closes the idle connections that are kept up to a time.
func (p *Pool) closeIdle(until time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if until >= c.until {
				_ = c.Close()
				continue
			}
			kept = append(kept, c)
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

func orDefault(d, other time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return other
}
