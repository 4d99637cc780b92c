package timeline

import (
	"cmp"
	"fmt"
	"math"
	"strconv"
	"strings"
	"sync"
	"time"

	"turmericdrum.org/turmericdrum/pkg/serving"
)

// DefaultMaxSkew is far above the error of clocks synchronized by NTP. A host whose
// clock is ahead by more must not advance the clocks of the others.
const DefaultMaxSkew = 5 * time.Second

// Time is a timestamp of a hybrid logical clock.
type Time struct {
	// WallUS is the physical time in microseconds since the Unix epoch.
	WallUS int64 `json:"wall_us"`
	// Logical orders timestamps with the same physical time.
	Logical uint32 `json:"logical"`
}

// Compare returns -1, 0 or 1 if t is before, equal to or after u.
func (t Time) Compare(u Time) int {
	return cmp.Or(cmp.Compare(t.WallUS, u.WallUS), cmp.Compare(t.Logical, u.Logical))
}

// String returns the value of the HTTP header, in the form MICROSECONDS.COUNTER.
func (t Time) String() string {
	return strconv.FormatInt(t.WallUS, 10) + "." + strconv.FormatUint(uint64(t.Logical), 10)
}

// Wall returns the physical time in UTC.
func (t Time) Wall() time.Time { return time.UnixMicro(t.WallUS).UTC() }

// next returns the smallest time after t.
func (t Time) next() Time {
	if t.Logical == math.MaxUint32 {
		return Time{WallUS: t.WallUS + 1}
	}
	return Time{WallUS: t.WallUS, Logical: t.Logical + 1}
}

// ParseTime parses the result of String.
func ParseTime(s string) (Time, error) {
	wall, logical, _ := strings.Cut(s, ".")
	w, err := strconv.ParseInt(wall, 10, 64)
	if err != nil || w < 0 {
		return Time{}, serving.NewError(serving.KindInvalid, "clock value "+strconv.Quote(s)+" is not of the form MICROSECONDS.COUNTER")
	}
	l, err := strconv.ParseUint(logical, 10, 32)
	if err != nil {
		return Time{}, serving.NewError(serving.KindInvalid, "clock value "+strconv.Quote(s)+" is not of the form MICROSECONDS.COUNTER")
	}
	return Time{WallUS: w, Logical: uint32(l)}, nil
}

// Clock is a hybrid logical clock. It is safe for concurrent use.
type Clock struct {
	// Physical returns the physical time. It is usually time.Now.
	Physical func() time.Time
	// MaxSkew limits how far ahead of the physical time a received time may be. Zero
	// means DefaultMaxSkew.
	MaxSkew time.Duration

	mu       sync.Mutex
	last     Time
	rejected int64
}

// Now returns a time later than every earlier result and every time that Observe
// accepted.
func (c *Clock) Now() Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.advance()
}

func (c *Clock) advance() Time {
	if now := c.Physical().UnixMicro(); now > c.last.WallUS {
		c.last = Time{WallUS: now}
	} else {
		c.last = c.last.next()
	}
	return c.last
}

// Observe advances the clock to a time received from another process. If that time
// is too far ahead, it returns an error and does not change the clock.
func (c *Clock) Observe(t Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	ahead := t.Wall().Sub(c.Physical())
	if limit := cmp.Or(c.MaxSkew, DefaultMaxSkew); ahead > limit {
		c.rejected++
		e := serving.NewError(serving.KindInvalid, fmt.Sprintf("received clock value is %v ahead, over the bound of %v", ahead, limit))
		e.Remedy = "synchronize the clocks of the hosts"
		return e
	}
	if t.Compare(c.last) > 0 {
		c.last = t
	}
	return nil
}

// Rejected returns the number of received times that were too far ahead.
func (c *Clock) Rejected() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.rejected
}
