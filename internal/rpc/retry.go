package rpc

import (
	"context"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// effect is what a second arrival of a call would do.
type effect int

const (
	// readOnly calls change nothing.
	readOnly effect = iota
	// resendable calls have an id by which a second arrival is recognized.
	resendable
	// once marks calls that must not be sent again once they may have run.
	once
)

// call calls the replicas one after the other until one answers or the deadline passes.
func call[T any](ctx context.Context, c *Client, ef effect, send func(context.Context, string) (T, error)) (T, error) {
	var none T
	c.once.Do(c.init)
	if len(c.Addresses) == 0 {
		return none, errNoAddress()
	}
	if _, ok := ctx.Deadline(); !ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, c.Timeout)
		defer cancel()
	}
	addr, hops, mayHaveRun := c.first(), 0, false
	var refusal *serving.Error
	for pause := c.BackoffMin; ; pause = min(2*pause, c.BackoffMax) {
		res, err := attempt(ctx, c, addr, send)
		if err == nil {
			c.answered(addr)
			return res, nil
		}
		e := serving.AsError(err)
		if e.Ran == serving.NotRun {
			refusal = e
		}
		mayHaveRun = mayHaveRun || ef != readOnly && e.Ran != serving.NotRun
		if !retryable(e.Kind) || mayHaveRun && ef == once {
			return none, e
		}
		if e.Kind == serving.KindNotLeader && e.Detail != "" && e.Detail != addr && hops < maxHops {
			addr, hops = e.Detail, hops+1
			continue
		}
		addr, hops = c.after(addr), 0
		if !sleep(ctx, max(e.RetryAfter, c.jitter(pause))) {
			return none, gaveUp(e, refusal, mayHaveRun)
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

// jitter returns between half and all of a pause, so that clients that failed
// together do not retry together.
func (c *Client) jitter(pause time.Duration) time.Duration {
	return time.Duration(float64(pause) * (0.5 + c.Random()/2))
}

// sleep pauses and reports whether there is time for another attempt afterwards.
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

// gaveUp returns the error of a call that found no time for another attempt. A
// replica's refusal says more than the attempt that the deadline cut off.
func gaveUp(last, refusal *serving.Error, mayHaveRun bool) error {
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
