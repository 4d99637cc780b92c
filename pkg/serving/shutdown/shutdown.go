// Package shutdown decides which calls a process still takes while it shuts down.
//
// A process that got the signal to stop has a grace period to answer the calls that it
// has. The load balancer notices only after some seconds that the process takes no new
// connections, and callers keep using the open ones. A call that is taken in that time and
// can't be answered before the grace period is over is lost; if it is refused at once, its
// caller sends it to another process.
//
// # Usage
//
//	c := shutdown.Call{TimeLeft: left, Objective: objective, Stream: true, MaxTokens: most, TokenTime: perToken}
//	if !c.Fits(graceLeft) {
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

// Fits reports whether the call is very likely answered within the rest of the grace
// period.
func (c *Call) Fits(graceLeft time.Duration) bool { return c.Required() <= graceLeft }
