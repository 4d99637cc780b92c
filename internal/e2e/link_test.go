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

// link simulates the network link of one process. It is a TCP proxy that can hold the
// bytes of one or both directions, delay them, and reset connections, either for one
// client process or for all. Held bytes arrive when the hold ends, as after the
// retransmission of lost packets.
type link struct {
	listener net.Listener
	target   string

	mu      sync.Mutex
	changed chan struct{}
	rules   map[string]rule
	conns   map[*linkConn]bool
	closed  bool
}

// rule describes the fault on the connections of a client. The zero rule is no fault.
type rule struct {
	// holdRequests holds the bytes from the client, holdResponses those to it.
	holdRequests, holdResponses bool
	delay                       time.Duration
	reset                       bool
}

// allClients is the client name of the rule for clients without a rule of their own.
const allClients = ""

type linkConn struct {
	client, server net.Conn
	// name is the client process. It is empty until identifyClient finds it.
	name string
}

// memberName and engineName find the name of the sender in a request between the
// system's processes. Calls contain the name of their entry or control replica,
// announcements that of their engine.
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

// notify wakes the connections that wait for a change of the rules. The caller must
// hold l.mu.
func (l *link) notify() {
	close(l.changed)
	l.changed = make(chan struct{})
}

// setRule sets the rule of a client. A rule with reset also resets its open connections.
func (l *link) setRule(client string, r rule) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.rules[client] = r
	l.notify()
	if !r.reset {
		return
	}
	for c := range l.conns {
		if client == allClients || c.name == client {
			c.close()
		}
	}
}

// rule returns the rule of a connection and a channel that is closed when the rules
// change.
func (l *link) rule(c *linkConn) (rule, <-chan struct{}) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed {
		return rule{reset: true}, l.changed
	}
	if r, ok := l.rules[c.name]; ok && c.name != allClients {
		return r, l.changed
	}
	return l.rules[allClients], l.changed
}

// close resets both connections.
func (c *linkConn) close() {
	// With a linger time of 0, Close sends a reset.
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
		// The proxy has already accepted the connection, so it can only reset it, not
		// refuse it.
		_ = client.(*net.TCPConn).SetLinger(0)
		_ = client.Close()
		return
	}
	c := &linkConn{client: client, server: server}
	l.mu.Lock()
	l.conns[c] = true
	l.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { l.forward(c, server, client, true) })
	wg.Go(func() { l.forward(c, client, server, false) })
	wg.Wait()
	c.close()
	l.mu.Lock()
	delete(l.conns, c)
	l.mu.Unlock()
}

// forward copies the bytes of one direction.
func (l *link) forward(c *linkConn, to, from net.Conn, fromClient bool) {
	buf := make([]byte, 32<<10)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if fromClient {
				l.identifyClient(c, buf[:n])
			}
			if !l.waitForRule(c, fromClient) {
				c.close()
				return
			}
			if _, werr := to.Write(buf[:n]); werr != nil {
				c.close()
				return
			}
		}
		if err == io.EOF { //nolint:errorlint // Read returns io.EOF unwrapped.
			_ = to.(*net.TCPConn).CloseWrite()
			return
		}
		if err != nil {
			c.close()
			return
		}
	}
}

// identifyClient sets the name of the client if data contains it and it is not set yet.
func (l *link) identifyClient(c *linkConn, data []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.name == "" {
		c.name = string(memberName.Find(data))
	}
	if c.name == "" {
		c.name = string(engineName.Find(data))
	}
}

// waitForRule waits until the rules let bytes of this direction pass. It returns false if
// the connection must be reset.
func (l *link) waitForRule(c *linkConn, fromClient bool) bool {
	for {
		r, changed := l.rule(c)
		switch {
		case r.reset:
			return false
		case fromClient && r.holdRequests, !fromClient && r.holdResponses:
			<-changed
		default:
			time.Sleep(r.delay) // Simulates the latency of the link.
			return true
		}
	}
}
