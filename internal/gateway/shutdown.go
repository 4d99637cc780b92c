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

// recentCalls holds what recent calls needed: the time per token, and the times to the first
// event of streams and to the answers of plain calls, in latency objectives of their routes.
type recentCalls struct {
	tokenTimes, firstEvents, answers shutdown.Recent
}

// observeAnswer records a plain call that was answered or given up.
func (j *job) observeAnswer() {
	if j.Route.Objective <= 0 {
		return
	}
	j.g.board.mu.Lock()
	defer j.g.board.mu.Unlock()
	j.g.board.recent.answers.Observe(float64(j.g.Clock.Now()-j.arrivedAt) / float64(j.Route.Objective))
}

// observeStream records a stream that has ended. One without an event counts with its whole
// time. The caller holds mu of the blackboard.
func (r *relay) observeStream() {
	if d := r.tokenTime(); d > 0 {
		r.g.board.recent.tokenTimes.Observe(float64(d))
	}
	if r.Route.Objective <= 0 {
		return
	}
	first := r.firstEventAt
	if r.events == 0 {
		first = r.g.Clock.Now()
	}
	r.g.board.recent.firstEvents.Observe(float64(first-r.arrivedAt) / float64(r.Route.Objective))
}

// checkShutdown returns an error if this entry shuts down and may not answer the call before
// its end. It limits the deadline of any other call, so that the call gets an answer before the
// connection is closed.
func (j *job) checkShutdown() error {
	if !j.g.draining.Load() {
		return nil
	}
	endsAt := time.Duration(j.g.endsAt.Load())
	c := shutdown.Call{TimeLeft: j.timeLeft(), Objective: j.Route.Objective, Stream: j.Route.Kind == serving.KindStreamRoute, MaxTokens: j.MaxTokens}
	j.g.board.mu.Lock()
	if c.Stream {
		c.TokenTime, c.Slowness = time.Duration(j.g.board.recent.tokenTimes.High()), j.g.board.recent.firstEvents.High()
	} else {
		c.Slowness = j.g.board.recent.answers.High()
	}
	j.g.board.mu.Unlock()
	p := shutdown.Period{Left: endsAt - j.g.Clock.Now(), Noticed: j.g.noticed.Load()}
	fits := c.Fits(p)
	j.log("Call during shutdown", "taken", fits, "left", p.Left, "noticed", p.Noticed, "required", c.Required(), "time_left", c.TimeLeft,
		"most", c.MaxTokens, "token_time", c.TokenTime, "slowness", c.Slowness)
	if !fits {
		return serving.NewError(serving.KindDraining, "this entry shuts down in "+p.Left.String()+", before the call is certain to be answered").WithRetryAfter(drainingRetryAfter)
	}
	takenInShutdown.Add(1)
	j.deadline = min(j.deadline, endsAt)
	return nil
}
