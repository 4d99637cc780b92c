package gateway

import (
	"errors"
	"net"
	"net/http"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
	"turmericdrum.org/turmericdrum/pkg/serving/shutdown"
)

const (
	// drainingRetryAfter is the Retry-After of a call that this entry can't answer before it
	// ends. Callers connect to another entry.
	drainingRetryAfter = 50 * time.Millisecond
	// shutdownPollInterval is the interval at which a shutdown checks whether callers still
	// use their connections.
	shutdownPollInterval = 20 * time.Millisecond
	// firstRequestTimeout is how long a connection without a request counts as in use.
	firstRequestTimeout = 5 * time.Second
	// tokenTimeWeight is the weight of a new stream in the average time per token.
	tokenTimeWeight = 0.1
)

// errShutdown is the cause of the cancellation of calls at the end of a shutdown.
var errShutdown = errors.New("this entry has shut down")

// connTracker tracks the connections of callers.
type connTracker struct {
	mu sync.Mutex
	// active holds the connections with a request in progress, and opened the time at which
	// those without a request so far were opened.
	active map[net.Conn]bool
	opened map[net.Conn]time.Time
}

// observe is the ConnState hook of a server.
func (t *connTracker) observe(c net.Conn, s http.ConnState) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.active == nil {
		t.active, t.opened = map[net.Conn]bool{}, map[net.Conn]time.Time{}
	}
	delete(t.active, c)
	delete(t.opened, c)
	switch s {
	case http.StateNew:
		t.opened[c] = time.Now()
	case http.StateActive:
		t.active[c] = true
	}
}

// inUse reports whether a request is in progress, or may come on a connection that has had
// none.
func (t *connTracker) inUse() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.active) > 0 {
		return true
	}
	for _, at := range t.opened {
		if time.Since(at) < firstRequestTimeout {
			return true
		}
	}
	return false
}

// checkShutdown returns an error if this entry shuts down and can't be expected to answer
// the call before its end. It limits the deadline of any other call, so that the call gets
// an answer before the connection is closed.
func (j *job) checkShutdown() error {
	if !j.g.draining.Load() {
		return nil
	}
	endsAt := time.Duration(j.g.endsAt.Load())
	left := endsAt - j.g.Clock.Now()
	c := shutdown.Call{TimeLeft: j.timeLeft(), Objective: j.Route.Objective, Stream: j.Route.Kind == serving.KindStreamRoute, MaxTokens: j.MaxTokens}
	if c.Stream {
		j.g.board.mu.Lock()
		c.TokenTime = j.g.board.tokenTime
		j.g.board.mu.Unlock()
	}
	if !c.Fits(shutdown.Period{Left: left, Noticed: j.g.noticed.Load()}) {
		return serving.NewError(serving.KindDraining, "this entry shuts down in "+left.String()+", before the call is certain to be answered").WithRetryAfter(drainingRetryAfter)
	}
	j.deadline = min(j.deadline, endsAt)
	return nil
}

// observeTokenTime adds the time per token of a stream that has ended to the average. The
// caller holds mu of the blackboard.
func (b *blackboard) observeTokenTime(d time.Duration) {
	switch {
	case d <= 0:
	case b.tokenTime == 0:
		b.tokenTime = d
	default:
		b.tokenTime += time.Duration(tokenTimeWeight * float64(d-b.tokenTime))
	}
}
