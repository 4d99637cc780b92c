package upstream

import (
	"errors"
	"io"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving/completion"
)

// VerifiedBody reads the body of a plain answer. Its end is io.ErrUnexpectedEOF if the
// answer was truncated.
type VerifiedBody struct {
	exchange *Exchange
	assess   func(completion.Ending) completion.Verdict
	// read is the number of bytes read. readAt is the time at which the last of them
	// arrived; the header, if there are none.
	read     int64
	readAt   time.Duration
	arrivals completion.Arrivals
	// end is the error at the end of the body, nil before.
	end error
}

// NewVerifiedBody returns the body of an exchange. assess decides whether the answer is
// complete.
func NewVerifiedBody(x *Exchange, assess func(completion.Ending) completion.Verdict) *VerifiedBody {
	b := &VerifiedBody{exchange: x, assess: assess, readAt: x.pool.Clock.Now(), arrivals: completion.NewArrivals(x.SentAt)}
	b.arrivals.Observe(x.HeaderAt)
	return b
}

// Read implements io.Reader.
func (b *VerifiedBody) Read(p []byte) (int, error) {
	if b.end != nil {
		return 0, b.end
	}
	startedAt := b.exchange.pool.Clock.Now()
	n, err := b.exchange.Body.Read(p)
	now := b.exchange.pool.Clock.Now()
	end := completion.Ending{Framed: b.exchange.Framing != EndsWithConnection, Pause: now - startedAt, Busy: startedAt - b.readAt}
	if n > 0 {
		b.read += int64(n)
		b.readAt = now
		end.Pause, end.Busy = 0, 0
		b.arrivals.Observe(now)
	}
	end.Empty = b.read == 0
	end.Resumed, end.SinceResumed = b.arrivals.End(now)
	// An engine that did not run the call says so in the header.
	if errors.Is(err, io.EOF) && !b.exchange.NotRun && b.assess(end) != completion.Complete {
		err = io.ErrUnexpectedEOF
	}
	b.end = err
	return n, err
}
