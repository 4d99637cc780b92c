package crowd

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"net"
	"strings"
	"sync"
	"time"
)

const (
	// defaultLimit bounds the time of a crowd. digestLimit is that of crowds whose requests
	// take a process long to read.
	defaultLimit = 1250 * time.Millisecond
	digestLimit  = 3 * time.Second
	// hold is the time for which connections stay open after the last member has played.
	hold = 500 * time.Millisecond
	// dialTimeout is short because a connection that is not accepted is a permitted answer.
	dialTimeout = 500 * time.Millisecond
	dialers     = 32
	// slowInterval is the interval between two bytes of a slow member.
	slowInterval = time.Second
	// maxHeader is the size of the largest legal header in bytes.
	maxHeader = 16_384
	// bodyBytes is the sum of the bodies of a crowd. It is several times the memory of the
	// hosts in the tests' settings, and below the memory of the machine that runs the tests.
	bodyBytes = 384 << 20
	// manyMembers is a number of members below the descriptors in the tests' settings, and
	// tooManyMembers one above them.
	manyMembers    = 1_400
	tooManyMembers = 2_500
)

// Target is what the requests of a crowd address.
type Target struct {
	Name string
	// Address is the address of a listener.
	Address      string
	Method, Path string
	// Header holds the header lines of an ordinary request, each with its line end.
	Header string
	// Body is the size of the largest legal body in bytes.
	Body int
	// Fields, if set, is one short field of a body that the listener decodes. Other bodies are
	// JSON objects.
	Fields string
	// Large, if set, is the path of a long answer.
	Large string
	// Content is the body of a request whose answer members wait for.
	Content string
}

// head returns a request's header without the empty line at its end.
func (t Target) head(i int, lines ...string) string {
	return fmt.Sprintf("%s %s HTTP/1.1\r\n%sX-Turmericdrum-Attempt-Id: crowd-%d\r\n%s", t.Method, t.Path, t.Header, i, strings.Join(lines, ""))
}

// request returns the header of a request with a body of n bytes, or of chunks if n is negative.
func (t Target) request(i, n int) string {
	if n < 0 {
		return t.head(i, "Transfer-Encoding: chunked\r\n\r\n")
	}
	return t.head(i, fmt.Sprintf("Content-Length: %d\r\n\r\n", n))
}

// complete returns a complete request.
func (t Target) complete(i int) string { return t.request(i, len(t.Content)) + t.Content }

// large returns a complete request for a long answer, if the target has one.
func (t Target) large(i int) string {
	if t.Large != "" {
		t.Path = t.Large
	}
	return t.complete(i)
}

// fields returns a body of the largest legal size that consists of very many short fields.
func (t Target) fields() []byte {
	if t.Fields != "" {
		return bytes.Repeat([]byte(t.Fields), t.Body/len(t.Fields))
	}
	var b bytes.Buffer
	b.WriteString(`{"routes":[{}`)
	for b.Len() < t.Body/2 {
		b.WriteString(",{}")
	}
	b.WriteString("]")
	for i := 0; b.Len() < t.Body-16; i++ {
		fmt.Fprintf(&b, `,"%x":0`, i)
	}
	b.WriteString("}")
	return b.Bytes()
}

// Crowd is a group of clients.
type Crowd struct {
	Name string
	// PerTarget is set if the crowd is played at one target at a time. The members of the
	// others are spread over all targets of a listener.
	PerTarget bool
	// Limit bounds the time of the crowd; 0 means defaultLimit.
	Limit time.Duration
	// Size returns the number of members.
	Size func(t Target) int
	// Play plays the script of member i. It returns at the end of the crowd at the latest.
	Play func(c *Conn, t Target, i int)
}

// Run plays the crowd until all members have played, its limit is over, or ctx ends, and closes all
// connections.
func (c Crowd) Run(ctx context.Context, targets ...Target) {
	ctx, cancel := context.WithTimeout(ctx, cmp.Or(c.Limit, defaultLimit))
	defer cancel()
	var played, closed sync.WaitGroup
	end := make(chan struct{})
	slots := make(chan struct{}, dialers)
	for i := range c.Size(targets[0]) {
		played.Add(1)
		closed.Go(func() {
			c.play(ctx, slots, targets[i%len(targets)], i, played.Done, end)
		})
	}
	played.Wait()
	select {
	case <-ctx.Done():
	case <-time.After(hold):
	}
	close(end)
	closed.Wait()
}

func (c Crowd) play(ctx context.Context, slots chan struct{}, t Target, i int, played func(), end <-chan struct{}) {
	slots <- struct{}{}
	conn, err := (&net.Dialer{Timeout: dialTimeout}).DialContext(ctx, "tcp", t.Address)
	<-slots
	if err != nil {
		played()
		return
	}
	defer conn.Close()
	stop := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Now()) })
	defer stop()
	c.Play(&Conn{Conn: conn, ctx: ctx}, t, i)
	played()
	<-end
}

// Conn is the connection of a member. All operations end at the end of the crowd.
type Conn struct {
	net.Conn
	ctx context.Context
}

// filler is the content of bodies, as long as the largest that is sent in one piece.
var filler = bytes.Repeat([]byte("x"), 4<<20)

func (c *Conn) send(s string) { _, _ = c.Write([]byte(s)) }

// fill sends n bytes in pieces.
func (c *Conn) fill(n, piece int) {
	for n > 0 {
		k, err := c.Write(filler[:min(n, piece, len(filler))])
		if err != nil {
			return
		}
		n -= k
	}
}

// drip sends a byte every slowInterval.
func (c *Conn) drip(s string) {
	for i := range len(s) {
		if _, err := c.Write([]byte{s[i]}); err != nil || !c.pause() {
			return
		}
	}
}

// sip reads a byte every slowInterval.
func (c *Conn) sip() {
	for c.pause() {
		if _, err := c.Read(make([]byte, 1)); err != nil {
			return
		}
	}
}

func (c *Conn) pause() bool {
	select {
	case <-c.ctx.Done():
		return false
	case <-time.After(slowInterval):
		return true
	}
}

// missing returns how many bytes at its end member i does not send: most members stop just
// short of the end of a body.
func missing(i int) int {
	if i%8 == 0 {
		return 0
	}
	return 1
}

func size(n int) func(Target) int { return func(Target) int { return n } }

func bodies(t Target) int { return bodyBytes / t.Body }

// fields returns n bytes of header lines, each with a short name of its own.
func fields(n int) string {
	const letters = "abcdefghijklmnopqrstuvwxyz"
	var b strings.Builder
	for i := 0; b.Len()+6 <= n; i++ {
		b.Write([]byte{letters[i/26/26%26], letters[i/26%26], letters[i%26], ':', '\r', '\n'})
	}
	return b.String()
}

// shortFields are the short fields of a request whose header has the largest legal size.
var (
	shortFields   = fields(maxHeader - 1024)
	trailerFields = fields(maxHeader)
	longFields    = fields(900 << 10)
)

// All returns the crowds.
func All() []Crowd {
	return []Crowd{
		{Name: "bodies in one piece", PerTarget: true, Size: bodies, Play: func(c *Conn, t Target, i int) {
			c.send(t.request(i, t.Body))
			c.fill(t.Body-missing(i), t.Body)
		}},
		{Name: "bodies in small pieces", PerTarget: true, Limit: digestLimit, Size: size(manyMembers), Play: func(c *Conn, t Target, i int) {
			n := bodyBytes / manyMembers
			c.send(t.request(i, n))
			c.fill(n-missing(i), 2<<10)
		}},
		{Name: "bodies in chunks", PerTarget: true, Size: bodies, Play: func(c *Conn, t Target, i int) {
			const single = 1 << 10
			c.send(t.request(i, -1))
			c.send(fmt.Sprintf("%x\r\n", t.Body-single))
			c.fill(t.Body-single, 64<<10)
			c.send("\r\n" + strings.Repeat("1\r\nx\r\n", single-missing(i)))
		}},
		{Name: "headers of many short fields", Limit: digestLimit, Size: size(manyMembers), Play: func(c *Conn, t Target, i int) {
			const n = 24 << 10
			c.send(t.head(i, shortFields, fmt.Sprintf("Content-Length: %d\r\n\r\n", n)))
			c.fill(n-missing(i), n)
		}},
		{Name: "bodies of many short fields", Size: size(16), Play: func(c *Conn, t Target, i int) {
			b := t.fields()
			c.send(t.request(i, len(b)))
			_, _ = c.Write(b)
		}},
		{Name: "silent connections", Size: size(tooManyMembers), Play: func(*Conn, Target, int) {}},
		{Name: "stated lengths without a body", Size: bodies, Play: func(c *Conn, t Target, i int) {
			c.send(t.request(i, t.Body))
		}},
		{Name: "bodies over a stated limit", Size: bodies, Play: func(c *Conn, t Target, i int) {
			c.send(t.request(i, 16*t.Body))
			c.fill(4*t.Body, t.Body)
		}},
		{Name: "bodies over an unstated limit", Size: bodies, Play: func(c *Conn, t Target, i int) {
			c.send(t.request(i, -1))
			for range 16 * t.Body / len(filler) {
				c.send(fmt.Sprintf("%x\r\n", len(filler)))
				c.fill(len(filler), len(filler))
				c.send("\r\n")
			}
		}},
		{Name: "headers over the limit", Size: size(manyMembers / 2), Play: func(c *Conn, t Target, i int) {
			c.send(t.head(i, longFields))
		}},
		{Name: "trailers of many short fields", Size: size(manyMembers), Play: func(c *Conn, t Target, i int) {
			c.send(t.request(i, -1) + "1\r\nx\r\n0\r\n" + trailerFields)
		}},
		{Name: "chunk extensions", Size: size(manyMembers), Play: func(c *Conn, t Target, i int) {
			c.send(t.request(i, -1))
			for range 64 {
				c.send("1;" + strings.Repeat("a=b;", 512) + "\r\nx\r\n")
			}
		}},
		{Name: "pipelined requests", Size: size(16), Play: func(c *Conn, t Target, i int) {
			one := []byte(t.complete(i))
			for range 64 {
				if _, err := c.Write(bytes.Repeat(one, 128)); err != nil {
					return
				}
			}
		}},
		{Name: "slow senders", Size: size(manyMembers), Play: func(c *Conn, t Target, i int) {
			if i%2 == 0 {
				c.drip(t.request(i, 0))
				return
			}
			c.send(t.request(i, 64))
			c.drip(strings.Repeat("x", 64))
		}},
		{Name: "slow readers", Size: size(manyMembers / 2), Play: func(c *Conn, t Target, i int) {
			c.send(t.large(i))
			c.sip()
		}},
		{Name: "stopping partway", Size: size(tooManyMembers), Play: func(c *Conn, t Target, i int) {
			s := t.request(i, 64)
			switch i / 4 % 4 {
			case 0: // In the header.
				c.send(s[:len(s)/2])
			case 1: // In the body.
				c.send(s + "xxx")
			case 2: // Between two requests.
				c.send(t.complete(i))
				_, _ = c.Read(make([]byte, 4<<10))
			case 3: // In the answer.
				c.send(t.large(i))
				_, _ = c.Read(make([]byte, 1))
			}
		}},
	}
}
