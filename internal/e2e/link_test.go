package e2e

import (
	"io"
	"net"
	"regexp"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// link is a TCP proxy in front of one process. It can hold the bytes of one or
// both directions, delay them, and reset connections, for the connections of one
// client process or of all. Held bytes arrive late when the hold ends, as over a
// network that lost packets for a while.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{}
	rules   map[string]rule
	conns   map[*linkConn]bool
	closed  bool
}

// rule says what happens to the connections of a client.
type rule struct {
	// holdUp holds what the client sends, holdDown what the process answers.
	holdUp, holdDown bool
	delay            time.Duration
	reset            bool
}

// everyone is the client name of a rule for all clients.
const everyone = ""

type linkConn struct {
	client, server net.Conn
	// name is the client process; it is read from what the client sends first.
	name string
}

// clientNames finds the sender in a request between the system's processes: calls
// name their entry or control replica, announcements their engine.
var (
	memberName = regexp.MustCompile(`(entry|control)-[a-z][0-9]`)
	engineName = regexp.MustCompile(`engine-[a-z][0-9]`)
)

func newLink(t *testing.T, target string) *link {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	l := &link{listener: listener, target: target, changed: make(chan struct{}), rules: map[string]rule{}, conns: map[*linkConn]bool{}}
	var wg sync.WaitGroup
	wg.Go(func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			wg.Go(func() { l.serve(c) })
		}
	})
	t.Cleanup(func() {
		_ = listener.Close()
		l.mu.Lock()
		l.closed = true
		l.notify()
		for c := range l.conns {
			c.close()
		}
		l.mu.Unlock()
		wg.Wait()
	})
	return l
}

func (l *link) address() string { return l.listener.Addr().String() }

// notify wakes the connections that wait; the caller holds the lock.
func (l *link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// set puts a rule in force for a client; the zero rule lets everything pass.
func (l *link) set(client string, r rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules[client] = r
	l.notify()
	if !r.reset {
		return
	}
	for c := range l.conns {
		if client == everyone || c.name == client {
			c.close()
		}
	}
}

// rule returns the rule of a connection and a channel that closes when rules change.
func (l *link) rule(c *linkConn) (rule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return rule{reset: true}, l.changed
	}
	if r, ok := l.rules[c.name]; ok && c.name != everyone {
		return r, l.changed
	}
	return l.rules[everyone], l.changed
}

func (c *linkConn) close() {
	// Without lingering, Close resets the connection.
	for _, conn := range []net.Conn{c.client, c.server} {
		if tcp, ok := conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		_ = conn.Close()
	}
}

func (l *link) serve(client net.Conn) {
	server, err := net.DialTimeout("tcp", l.target, time.Second)
	if err != nil {
		// A reset is the closest that a proxy comes to a refused connection.
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &linkConn{client: client, server: server}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.copy(c, server, client, true) })
	wg.Go(func() { l.copy(c, client, server, false) })
	wg.Wait()
	c.close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// copy passes the bytes of one direction on.
func (l *link) copy(c *linkConn, to, from net.Conn, up bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if up {
				l.identify(c, buf[:n])
			}
			if !l.await(c, up) {
				c.close()
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.close()
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // Read returns it as it is.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

func (l *link) identify(c *linkConn, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.name == "" {
		c.name = string(memberName.Find(data))
	}
	if c.name == "" {
		c.name = string(engineName.Find(data))
	}
}

// await waits as the rules demand; it returns false if the connection ends.
func (l *link) await(c *linkConn, up bool) bool {
	for {
		r, changed := l.rule(c)
		switch {
		case r.reset:
			return false
		case up && r.holdUp, !up && r.holdDown:
			<-changed
		default:
			time.Sleep(r.delay) // The delay of the link itself.
			return true
		}
	}
}
