package main

import (
	"errors"
	"io"
	"net"
	"sync"
	"syscall"
	"time"
)

// linkBacklog is the queue of a link's listener while it is not cut.
const linkBacklog = 512

// link is a network link to a target on the same machine. While it is cut, open connections
// are silent and new ones hang, as behind a partition.
type link struct {
	listener *net.TCPListener
	target   string

	mu sync.Mutex
	// open is closed while bytes pass.
	open  chan struct{}
	conns map[net.Conn]bool
	// fill holds the connections that fill the queue while the link is cut.
	fill []net.Conn
}

func (d *deployment) newLink(address, target string) (*link, error) {
	l, err := net.Listen("tcp", address)
	if err != nil {
		return nil, err
	}
	n := &link{listener: l.(*net.TCPListener), target: target, open: make(chan struct{}), conns: map[net.Conn]bool{}}
	close(n.open)
	go n.run()
	d.links = append(d.links, n)
	return n, nil
}

func (n *link) wait() {
	n.mu.Lock()
	open := n.open
	n.mu.Unlock()
	<-open
}

func (n *link) setBacklog(backlog int) error {
	raw, err := n.listener.SyscallConn()
	if err != nil {
		return err
	}
	var listenErr error
	if err := raw.Control(func(fd uintptr) { listenErr = syscall.Listen(int(fd), backlog) }); err != nil {
		return err
	}
	return listenErr
}

// cut cuts the link until the returned function is called. Bytes that are held up by then
// pass afterwards.
func (n *link) cut() (heal func(), err error) {
	n.mu.Lock()
	n.open = make(chan struct{})
	open := n.open
	n.mu.Unlock()
	if err := n.setBacklog(0); err != nil {
		return nil, err
	}
	// One connection may have been accepted since, and the queue holds one more.
	for range 4 {
		if c, err := net.DialTimeout("tcp", n.listener.Addr().String(), 50*time.Millisecond); err == nil {
			n.fill = append(n.fill, c)
		}
	}
	return func() {
		_ = n.setBacklog(linkBacklog)
		for _, c := range n.fill {
			_ = c.Close()
		}
		close(open)
	}, nil
}

func (n *link) run() {
	for {
		n.wait()
		c, err := n.listener.Accept()
		if err != nil {
			return
		}
		go n.serve(c)
	}
}

func (n *link) serve(c net.Conn) {
	n.wait()
	t, err := net.Dial("tcp", n.target)
	if err != nil {
		_ = c.Close()
		return
	}
	n.mu.Lock()
	n.conns[c], n.conns[t] = true, true
	n.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { n.copy(t, c) })
	wg.Go(func() { n.copy(c, t) })
	wg.Wait()
	n.mu.Lock()
	defer n.mu.Unlock()
	delete(n.conns, c)
	delete(n.conns, t)
}

func (n *link) copy(to, from net.Conn) {
	defer to.Close()
	defer from.Close()
	b := make([]byte, 16<<10)
	for {
		k, err := from.Read(b)
		n.wait()
		if k > 0 {
			if _, err := to.Write(b[:k]); err != nil {
				return
			}
		}
		if err != nil {
			if !errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).SetLinger(0)
			}
			return
		}
	}
}

func (n *link) close() {
	_ = n.listener.Close()
	n.mu.Lock()
	defer n.mu.Unlock()
	for c := range n.conns {
		_ = c.Close()
	}
}
