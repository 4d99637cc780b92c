package serving

import "time"

// Clock returns the time since an arbitrary monotonic origin of the process.
type Clock interface {
	Now() time.Duration
}

// Random is a source of random numbers; *rand.Rand of math/rand/v2 implements it.
type Random interface {
	Uint64() uint64
	Float64() float64
	IntN(n int) int
}

// MonotonicClock reads the monotonic clock of the process.
type MonotonicClock struct {
	origin time.Time
}

// NewMonotonicClock returns a clock whose origin is the current time.
func NewMonotonicClock() *MonotonicClock {
	return &MonotonicClock{origin: time.Now()}
}

// Now returns the time since the origin.
func (c *MonotonicClock) Now() time.Duration { return time.Since(c.origin) }
