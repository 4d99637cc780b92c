package upstream

import (
	"bufio"
	"context"
	"expvar"
	"io"
	"math"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/internal/answer"
	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// dialTimeout covers several round trips between regions, including one lost packet.
	dialTimeout = 400 * time.Millisecond
	// defaultIdleTimeout is the idle timeout that is assumed for an engine that doesn't
	// state its own.
	defaultIdleTimeout = 2 * time.Second
	// idleTimeoutFraction is the fraction of the engine's idle timeout after which a
	// connection isn't used, because the engine may be closing it.
	idleTimeoutFraction = 0.6
	// SafeIdleTime is the maximum idle time of a connection for a call that must not run
	// twice. Some engines drop connections that were idle for slightly longer.
	SafeIdleTime = 200 * time.Millisecond
	// sweepInterval is how often expired idle connections are closed.
	sweepInterval = time.Second
	// readBuffer is the size of a connection's read buffer in bytes. It holds the header
	// and the body of an ordinary small answer.
	readBuffer = 4 << 10
	// maxHeader bounds the header of an answer in bytes. Decoded, short fields take about eight
	// times as much memory, for each call whose header is being read.
	maxHeader = 16 << 10
)

var (
	connectionsOpened = expvar.NewInt("engine_connections_opened")
	connectionsReused = expvar.NewInt("engine_connections_reused")
)

// silenceTimeout is how long a connection may be silent in both directions, also for
// keep-alive probes, before it fails. An engine that is cut off for a while goes on with its
// answer, and callers bear pauses of several seconds; whoever waits no longer ends the call
// earlier. New calls find out by dialTimeout that an engine can't be reached.
const silenceTimeout = 10 * time.Second

var dialer = &net.Dialer{Timeout: dialTimeout, KeepAliveConfig: keepAlive(silenceTimeout)}

// keepAlive returns the settings with which a connection fails after a silence.
func keepAlive(silence time.Duration) net.KeepAliveConfig {
	const probes = 8
	interval := max(time.Second, silence/(probes+2))
	return net.KeepAliveConfig{Enable: true, Idle: silence - probes*interval, Interval: interval, Count: probes}
}

// Decoder decodes the header of an engine's answer. Every serving.Dialect implements
// it.
type Decoder interface {
	DecodeAnswer(status int, h http.Header) serving.Answer
}

// Pool holds the connections to engines. Exported fields are set before the first use.
type Pool struct {
	Dialect Decoder
	Clock   serving.Clock
	// IdleTimeout is the idle timeout that is assumed for engines that don't state their
	// own; 0 means 2 s.
	IdleTimeout time.Duration

	mu   sync.Mutex
	idle map[poolKey][]*conn
	open openConns
}

// openConns holds the connections that this process has not closed, idle or not, by address.
type openConns struct {
	mu        sync.Mutex
	byAddress map[string]map[*conn]bool
}

func (o *openConns) add(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if o.byAddress == nil {
		o.byAddress = map[string]map[*conn]bool{}
	}
	if o.byAddress[c.address] == nil {
		o.byAddress[c.address] = map[*conn]bool{}
	}
	o.byAddress[c.address][c] = true
}

func (o *openConns) remove(c *conn) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if delete(o.byAddress[c.address], c); len(o.byAddress[c.address]) == 0 {
		delete(o.byAddress, c.address)
	}
}

// allEnded reports whether the engine at an address has ended all of its connections.
func (o *openConns) allEnded(address string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	for c := range o.byAddress[address] {
		if !hasEnded(c.Conn) {
			return false
		}
	}
	return true
}

// poolKey identifies connections that may be used for the same calls. A late answer to a
// call with an id must not come before the answer to one without.
type poolKey struct {
	address         string
	answerWithoutID bool
}

// conn is one connection to an engine.
type conn struct {
	net.Conn
	pool    *Pool
	address string
	reader  *bufio.Reader
	limit   *limitedReader
	// expiresAt is the time up to which the idle connection may be used.
	expiresAt time.Duration
	idleSince time.Duration
	// reused is set once the connection has been used for a call.
	reused bool
	// refused holds the ids of the last calls that the engine refused on this connection.
	refused []serving.RequestID
}

// Close implements net.Conn.
func (c *conn) Close() error {
	c.pool.open.remove(c)
	return c.Conn.Close()
}

// maxRefused bounds the refused calls that a connection remembers. A call is sent to an
// engine that refused it only shortly afterwards.
const maxRefused = 8

// recordRefusal records that the engine refused a call on this connection.
func (c *conn) recordRefusal(id serving.RequestID) {
	c.refused = append(c.refused, id)
	c.refused = c.refused[max(0, len(c.refused)-maxRefused):]
}

// get returns a connection for a request: an idle one or a new one.
func (p *Pool) get(ctx context.Context, r *Request) (*conn, error) {
	if c := p.takeIdle(r.key(), r.MaxIdleTime); c != nil {
		if !slices.Contains(c.refused, r.ID) {
			connectionsReused.Add(1)
			return c, nil
		}
		// A late copy of that refusal could not be told from an answer to this call.
		_ = c.Close()
	}
	c, err := p.dial(ctx, r.Address)
	if err != nil {
		return nil, serving.WrapError(err, serving.KindEngineFailed, "connect to the engine")
	}
	return c, nil
}

// dial opens a connection.
func (p *Pool) dial(ctx context.Context, address string) (*conn, error) {
	nc, err := dialer.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	connectionsOpened.Add(1)
	limit := &limitedReader{r: nc}
	c := &conn{Conn: nc, pool: p, address: address, reader: bufio.NewReaderSize(limit, readBuffer), limit: limit}
	p.open.add(c)
	return c, nil
}

// limitedReader fails once the header of an answer is longer than maxHeader.
type limitedReader struct {
	r io.Reader
	// inHeader is set while a header is read, of which left more bytes may come.
	inHeader bool
	left     int
}

// Read implements io.Reader.
func (l *limitedReader) Read(b []byte) (int, error) {
	if !l.inHeader {
		return l.r.Read(b)
	}
	if l.left <= 0 {
		return 0, &answer.Error{Reason: "the header is longer than " + strconv.Itoa(maxHeader) + " bytes"}
	}
	n, err := l.r.Read(b)
	l.left -= n
	return n, err
}

// readResponse reads the header of one answer.
func (c *conn) readResponse(method string) (*http.Response, error) {
	c.limit.inHeader, c.limit.left = true, maxHeader
	defer func() { c.limit.inHeader = false }()
	return answer.Read(c.reader, &http.Request{Method: method})
}

func (p *Pool) takeIdle(key poolKey, maxIdleTime time.Duration) *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.Clock.Now()
	list := p.idle[key]
	for len(list) > 0 {
		c := list[len(list)-1]
		list = list[:len(list)-1]
		p.idle[key] = list
		if now-c.idleSince > maxIdleTime && now < c.expiresAt {
			// The other connections were idle for longer. They are kept for calls that
			// may run again, which allow longer idle times.
			p.idle[key] = append(list, c)
			return nil
		}
		if now >= c.expiresAt || c.reader.Buffered() > 0 || !isOpen(c.Conn) {
			_ = c.Close()
			continue
		}
		return c
	}
	return nil
}

// put keeps a connection for the next call. If there are maxIdleConns idle connections
// already, it replaces the oldest one.
func (p *Pool) put(key poolKey, c *conn, idleTimeout time.Duration, maxIdleConns int) {
	if maxIdleConns <= 0 {
		_ = c.Close()
		return
	}
	if idleTimeout <= 0 {
		idleTimeout = orDefault(p.IdleTimeout, defaultIdleTimeout)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = map[poolKey][]*conn{}
	}
	now := p.Clock.Now()
	c.idleSince, c.expiresAt = now, now+time.Duration(idleTimeoutFraction*float64(idleTimeout))
	list := p.idle[key]
	for len(list) >= maxIdleConns {
		_ = list[0].Close()
		list = list[1:]
	}
	p.idle[key] = append(list, c)
}

// Run closes idle connections shortly before their engines do, until ctx is canceled.
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

// Idle returns the number of idle connections.
func (p *Pool) Idle() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	n := 0
	for _, list := range p.idle {
		n += len(list)
	}
	return n
}

// CloseIdle closes all idle connections.
func (p *Pool) CloseIdle() { p.closeIdle(math.MaxInt64) }

// closeIdle closes the idle connections whose expiresAt is not after the given time.
func (p *Pool) closeIdle(at time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for key, list := range p.idle {
		open := list[:0]
		for _, c := range list {
			if at >= c.expiresAt {
				_ = c.Close()
				continue
			}
			open = append(open, c)
		}
		if len(open) == 0 {
			delete(p.idle, key)
			continue
		}
		p.idle[key] = open
	}
}

func orDefault(d, fallback time.Duration) time.Duration {
	if d > 0 {
		return d
	}
	return fallback
}
