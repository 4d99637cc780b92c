package rpc

import (
	"context"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// callClass determines whether a call may be resent.
type callClass int

const (
	// readOnly calls change nothing.
	readOnly callClass = iota
	// idempotent calls have an id by which the server recognizes a resend.
	idempotent
	// nonIdempotent calls must not be resent once they may have run.
	nonIdempotent
)

// call sends a call to one replica after another, and to the leader that a replica
// names, until an attempt succeeds, an attempt fails with an error that must not be
// retried, or the deadline passes.
func call[T any](ctx context.Context, c *Client, class callClass, send func(context.Context, string) (T, error)) (T, error) {
	var zero T
	c.once.Do(c.init)
	if len(c.Addresses) == 0 {
		return zero, errNoAddress()
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	addr, hops, mayHaveRun := c.startAddress(), 0, false
	var refusal *serving.Error
	for pause := c.BackoffMin; ; pause = min(2*pause, c.BackoffMax) {
		res, err := attempt(ctx, c, addr, send)
		if err == nil {
			c.recordAnswer(addr)
			return res, nil
		}
		e := serving.AsError(err)
		if e.Ran == serving.NotRun {
			refusal = e
		}
		mayHaveRun = mayHaveRun || class != readOnly && e.Ran != serving.NotRun
		if !retryable(e.Kind) || mayHaveRun && class == nonIdempotent {
			return zero, e
		}
		if e.Kind == serving.KindNotLeader && e.Detail != "" && e.Detail != addr && hops < maxHops {
			addr, hops = e.Detail, hops+1
			continue
		}
		addr, hops = c.nextAddress(addr), 0
		if !sleep(ctx, max(e.RetryAfter, c.jitter(pause))) {
			return zero, timeoutError(e, refusal, mayHaveRun)
		}
	}
}

func attempt[T any](ctx context.Context, c *Client, addr string, send func(context.Context, string) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, c.AttemptTimeout)
	defer cancel()
	res, err := send(ctx, baseURL(addr))
	return res, FromTwirp(err)
}

// retryable reports whether another attempt or another replica may succeed.
func retryable(k serving.Kind) bool {
	switch k {
	case serving.KindNotLeader, serving.KindNoQuorum, serving.KindViewExpired, serving.KindDraining,
		serving.KindOverloaded, serving.KindDeadline, serving.KindOutcomeUnknown:
		return true
	}
	return false
}

// jitter returns a random duration between half of a pause and all of it, so that
// clients that failed at the same time do not retry at the same time.
func (c *Client) jitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + c.Random()/2))
}

// sleep waits for d and reports whether there is time for another attempt
// afterwards.
func sleep(ctx context.Context, d time.Duration) bool {
	if deadline, ok := ctx.Deadline(); ok && time.Until(deadline) <= d {
		return false
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// timeoutError returns the error of a call that has no time left for another
// attempt. If the call cannot have run, a refusal by a replica is returned in
// preference to the error of the last attempt, because it is more specific.
func timeoutError(last, refusal *serving.Error, mayHaveRun bool) error {
	if !mayHaveRun && refusal != nil {
		return refusal
	}
	if !mayHaveRun {
		return serving.WrapError(last, serving.KindNoQuorum, "no control replica answered in time")
	}
	e := serving.WrapError(last, serving.KindOutcomeUnknown, "no replica answered in time").WithRan(serving.RanUnknown)
	e.Remedy = "send the call again with the same command id or attempt id"
	return e
}
