package soak

import (
	"errors"
	"net"
	"sync"
	"syscall"
	"time"
)

// linkMode determines what a proxy does with the bytes of its connections.
type linkMode int

// Modes of a proxy.
const (
	linkPass linkMode = iota
	// linkDelay delays each read by linkDelayTime.
	linkDelay
	// linkSilent drops all bytes in both directions and keeps the connections open.
	linkSilent
	// linkOneWay forwards requests and drops answers.
	linkOneWay
)

// linkDelayTime is longer than the delay between regions and shorter than every timeout.
const linkDelayTime = 80 * time.Millisecond

// linkPollInterval is the interval at which the end of a connection waits for a link that
// drops bytes.
const linkPollInterval = 20 * time.Millisecond

// proxy simulates the network link to a target on the same machine: it forwards connections
// to the target, in one of several modes.
type proxy struct {
	listener net.Listener
	target   string

	mu    sync.Mutex
	mode  linkMode
	conns map[net.Conn]bool
}

func newProxy(target string) (*proxy, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &proxy{listener: l, target: target, conns: map[net.Conn]bool{}}
	go p.run()
	return p, nil
}

func (p *proxy) address() string { return p.listener.Addr().String() }

func (p *proxy) run() {
	for {
		c, err := p.listener.Accept()
		if err != nil {
			return
		}
		go p.serve(c)
	}
}

func (p *proxy) serve(c net.Conn) {
	t, err := net.Dial("tcp", p.target)
	if err != nil {
		_ = c.Close()
		return
	}
	p.track(c, true)
	p.track(t, true)
	var wg sync.WaitGroup
	wg.Go(func() { p.copy(t, c, false) })
	wg.Go(func() { p.copy(c, t, true) })
	wg.Wait()
	p.track(c, false)
	p.track(t, false)
}

func (p *proxy) track(c net.Conn, open bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if open {
		p.conns[c] = true
		return
	}
	delete(p.conns, c)
}

// copy forwards bytes in one direction until either side closes its connection. The flag
// answer is set for bytes that the target sends. The end of a connection does not pass a link
// that drops bytes, and after dropped bytes it is a reset: TCP delivers no end behind a gap. A
// reset stays one.
func (p *proxy) copy(to, from net.Conn, answer bool) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 16<<10)
	dropped := false
	for {
		n, err := from.Read(b)
		if n > 0 {
			if !p.passes(answer) {
				dropped = true
			} else if _, err := to.Write(b[:n]); err != nil {
				return
			}
		}
		if err == nil {
			continue
		}
		for !p.passes(answer) {
			dropped = true
			time.Sleep(linkPollInterval)
		}
		if dropped || errors.Is(err, syscall.ECONNRESET) {
			closeWithReset(to)
		}
		return
	}
}

// passes reports whether bytes are forwarded in the current mode. It applies the delay of
// linkDelay.
func (p *proxy) passes(answer bool) bool {
	p.mu.Lock()
	mode := p.mode
	p.mu.Unlock()
	switch mode {
	case linkDelay:
		time.Sleep(linkDelayTime)
	case linkSilent:
		return false
	case linkOneWay:
		return !answer
	}
	return true
}

// set changes the mode. After a mode that drops bytes it resets all connections, because their
// byte streams have gaps.
func (p *proxy) set(mode linkMode) {
	p.mu.Lock()
	lossy := p.mode == linkSilent || p.mode == linkOneWay
	p.mode = mode
	p.mu.Unlock()
	if lossy {
		p.reset()
	}
}

// reset closes all connections with a TCP reset.
func (p *proxy) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		closeWithReset(c)
	}
}

func closeWithReset(c net.Conn) {
	if t, ok := c.(*net.TCPConn); ok {
		// Without this, Close would end the connection with FIN instead of RST.
		_ = t.SetLinger(0)
	}
	_ = c.Close()
}

func (p *proxy) close() {
	_ = p.listener.Close()
	p.reset()
}
