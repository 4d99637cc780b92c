// Package shutdown decides which calls a process still takes while it shuts down.
//
// A process that got the signal to stop has a grace period to answer the calls that it
// has. The load balancer notices only after some seconds that the process takes no new
// connections, and callers keep using the open ones. A call that is taken in that time and
// can't be answered before the grace period is over is lost; if it is refused at once, its
// caller sends it to another process.
//
// Until the load balancer has noticed, a caller that is refused may be sent to the same process
// again, and calls are taken that are very likely answered in time. After that a refusal costs
// the caller a connection and one of its retries, and a cut costs it the whole call. Calls are
// taken then if twice what recent calls have needed is left, or if their deadline is within the
// grace period.
//
// # Usage
//
//	c := shutdown.Call{TimeLeft: left, Objective: objective, Stream: true, MaxTokens: most,
//		TokenTime: tokenTimes.High(), Slowness: firstEvents.High()}
//	if !c.Fits(shutdown.Period{Left: graceLeft, Noticed: noticed}) {
//		// Refuse the call and close the connection.
//	}
//
// No part of this package has a clock, a network or a goroutine.
//
// Source: internal/gateway.
package shutdown

import (
	"slices"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// plainFactor times the latency objective is the time within which almost all plain
	// calls are answered.
	plainFactor = 3
	// defaultTokenTime is the time per token at a busy engine, used until it was measured.
	defaultTokenTime = 10 * time.Millisecond
	// noticeMargin and lateMargin times the required time must be left, before and after the
	// load balancer has noticed.
	noticeMargin = 1.2
	lateMargin   = 2
)

// Call describes a call that has just arrived.
type Call struct {
	// TimeLeft is the time until the deadline of the call.
	TimeLeft time.Duration
	// Objective is the latency objective of the route, of a stream that to its first event;
	// 0 means that there is none.
	Objective time.Duration
	// Stream is true if the answer is a stream of events.
	Stream bool
	// MaxTokens is the maximum output length of a generation, 0 if there is none. Expected
	// lengths and callers' hints don't bound an output.
	MaxTokens serving.Tokens
	// TokenTime is a high quantile of the recent times per token, 0 if it is not known.
	TokenTime time.Duration
	// Slowness is a high quantile of what recent calls needed, of a stream to its first event,
	// in latency objectives of their routes.
	Slowness float64
}

// Required returns the time that the call may need, as far as recent calls tell, or the time to
// its deadline if that is shorter or nothing is known.
func (c *Call) Required() time.Duration {
	required := c.TimeLeft
	switch {
	case c.Objective <= 0:
	case !c.Stream:
		required = scale(c.Objective, max(plainFactor, c.Slowness))
	case c.MaxTokens > 0:
		perToken := c.TokenTime
		if perToken <= 0 {
			perToken = defaultTokenTime
		}
		required = scale(c.Objective, max(1, c.Slowness)) + time.Duration(c.MaxTokens)*perToken
	}
	return min(required, c.TimeLeft)
}

func scale(d time.Duration, f float64) time.Duration { return time.Duration(f * float64(d)) }

// Period is what is left of a shutdown.
type Period struct {
	// Left is the rest of the grace period.
	Left time.Duration
	// Noticed is true once the load balancer sends no new connections.
	Noticed bool
}

// Fits reports whether the call is to be taken.
func (c *Call) Fits(p Period) bool {
	margin := noticeMargin
	if p.Noticed {
		margin = lateMargin
	}
	return c.TimeLeft <= p.Left || scale(c.Required(), margin) <= p.Left
}

const (
	// recentValues is the number of values that Recent holds.
	recentValues = 64
	// highRank is the rank, from the highest, of the value that High returns of a full Recent.
	// One call that was stalled for its whole time says little of the next ones.
	highRank = 3
)

// Recent holds the last values of a measurement. The zero value is empty.
type Recent struct {
	values [recentValues]float64
	// n is the number of values so far, and next the index of the next one.
	n, next int
}

// Observe adds a value.
func (r *Recent) Observe(v float64) {
	r.values[r.next] = v
	r.next = (r.next + 1) % recentValues
	r.n = min(r.n+1, recentValues)
}

// High returns a high quantile of the values, 0 if there are none.
func (r *Recent) High() float64 {
	if r.n == 0 {
		return 0
	}
	sorted := slices.Clone(r.values[:r.n])
	slices.Sort(sorted)
	return sorted[r.n-1-highRank*r.n/recentValues]
}
