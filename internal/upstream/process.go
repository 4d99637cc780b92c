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

// CheckProcess reports whether a process still accepts connections at an engine's address.
// The connection that it opens for this is kept for the next call, in place of the one
// that ended with the answer.
func (x *Exchange) CheckProcess(ctx context.Context) completion.Process {
	closedEarly := false
	for range processCheckAttempts {
		c, err := dial(ctx, x.address)
		switch {
		case err == nil && x.pool.keepIfOpen(ctx, x, c):
			return completion.Running
		case err == nil && closedEarly:
			// A process that is there, but has no room for one more connection.
			return completion.Running
		case err == nil:
			closedEarly = true
		case errors.Is(err, syscall.ECONNREFUSED), errors.Is(err, syscall.ECONNRESET):
			if x.pool.hasOpenConn(x.address) {
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
func (p *Pool) keepIfOpen(ctx context.Context, x *Exchange, c *conn) bool {
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
	p.put(x.address, c, x.IdleTimeout, x.maxIdleConns)
	return true
}

// hasOpenConn reports whether an idle connection to an address is open.
func (p *Pool) hasOpenConn(address string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, c := range p.idle[address] {
		if isOpen(c.Conn) {
			return true
		}
	}
	return false
}
