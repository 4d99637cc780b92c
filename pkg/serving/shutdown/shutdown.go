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
// the caller one more connection at most. Only calls are taken whose deadline is within the
// grace period, because an engine that is crowded or has stalled needs longer than usual.
//
// # Usage
//
//	c := shutdown.Call{TimeLeft: left, Objective: objective, Stream: true, MaxTokens: most, TokenTime: perToken}
//	if !c.Fits(shutdown.Period{Left: graceLeft, Noticed: noticed}) {
//		// Refuse the call and close the connection.
//	}
//
// No part of this package has a clock, a network or a goroutine.
//
// Source: internal/gateway.
package shutdown

import (
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

const (
	// plainFactor times the latency objective is the time within which almost all plain
	// calls are answered.
	plainFactor = 3
	// firstEventFactor times the latency objective is the time within which almost all
	// streams begin.
	firstEventFactor = 1.5
	// defaultTokenTime is the time per token at a busy engine, used until it was measured.
	defaultTokenTime = 10 * time.Millisecond
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
	// TokenTime is the usual time per token, 0 if it is not known.
	TokenTime time.Duration
}

// Required returns the time in which the call is very likely answered.
func (c *Call) Required() time.Duration {
	var required time.Duration
	switch {
	case c.Stream && c.MaxTokens > 0:
		perToken := c.TokenTime
		if perToken <= 0 {
			perToken = defaultTokenTime
		}
		required = time.Duration(firstEventFactor*float64(c.Objective)) + time.Duration(c.MaxTokens)*perToken
	case !c.Stream && c.Objective > 0:
		required = plainFactor * c.Objective
	default:
		required = c.TimeLeft
	}
	return min(required, c.TimeLeft)
}

// Period is what is left of a shutdown.
type Period struct {
	// Left is the rest of the grace period.
	Left time.Duration
	// Noticed is true once the load balancer sends no new connections.
	Noticed bool
}

// Fits reports whether the call is to be taken.
func (c *Call) Fits(p Period) bool {
	return c.TimeLeft <= p.Left || !p.Noticed && c.Required() <= p.Left
}
