package upstream

import (
	"context"
	"errors"
	"syscall"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

const (
	// processCheckAttempts bounds the attempts to connect to an engine whose answer has
	// ended with its connection. On a link that loses packets, one attempt says little.
	processCheckAttempts = 3
	// listenerCloseTime is the time within which a process that crashes has also closed
	// its listener, after the first of its connections.
	listenerCloseTime = 10 * time.Millisecond
)

// CheckProcess reports whether a process still accepts connections at the engine's address.
func (x *Exchange) CheckProcess(ctx context.Context) completion.Process {
	return x.pool.checkProcess(ctx, x.key, x.maxIdleConns)
}

// CheckProcess reports whether a process still accepts connections at an engine's address,
// after one of its connections has ended. The connection that it opens for this is kept for
// the next call, unless there are maxIdleConns already.
func (p *Pool) CheckProcess(ctx context.Context, address string, maxIdleConns int) completion.Process {
	return p.checkProcess(ctx, poolKey{address: address}, maxIdleConns)
}

func (p *Pool) checkProcess(ctx context.Context, key poolKey, maxIdleConns int) completion.Process {
	for range processCheckAttempts {
		c, err := p.dial(ctx, key.address)
		switch {
		case err == nil && p.keepIfOpen(ctx, c, key, maxIdleConns):
			return completion.Running
		case err == nil:
			// Either the engine has no room for one more connection, or a proxy in front of it
			// accepted the connection.
			if p.hasOpenConn(key) {
				return completion.Running
			}
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
			if p.hasOpenConn(key) {
				return completion.Running
			}
			return completion.Ended
		case ctx.Err() != nil:
			return completion.Unreachable
		}
	}
	return completion.Unreachable
}

// keepIfOpen keeps a new connection for the next call, unless the engine closes it within
// listenerCloseTime. It returns false in this case.
func (p *Pool) keepIfOpen(ctx context.Context, c *conn, key poolKey, maxIdleConns int) bool {
	t := time.NewTimer(listenerCloseTime)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
	if !isOpen(c.Conn) {
		_ = c.Close()
		return false
	}
	p.put(key, c, 0, maxIdleConns)
	return true
}

// hasOpenConn reports whether an idle connection is open.
func (p *Pool) hasOpenConn(key poolKey) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[key] {
		if isOpen(c.Conn) {
			return true
		}
	}
	return false
}

// ProcessEnded reports whether no process runs at an engine's address any more, given the error
// of a request to it: its host refused the connection, and all other connections to it have
// ended. A process that has only closed its listener still has those of its calls.
func (p *Pool) ProcessEnded(address string, err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED) && p.open.allEnded(address)
}
