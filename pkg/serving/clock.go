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

// MonotonicClock is a Clock that also counts the time during which the host is suspended,
// where the operating system has such a clock. The clock of package time doesn't count
// it, so that a lease would outlast the election of another leader.
type MonotonicClock struct {
	origin time.Duration
	// read returns the time since a fixed moment before the start of the process.
	read func() time.Duration
}

// NewMonotonicClock returns a clock whose origin is the current time.
func NewMonotonicClock() *MonotonicClock {
	return &MonotonicClock{origin: sinceBoot(), read: sinceBoot}
}

// Now returns the time since the origin.
func (c *MonotonicClock) Now() time.Duration { return c.read() - c.origin }

var processStart = time.Now()

// sinceProcessStart doesn't count the time during which the host is suspended.
func sinceProcessStart() time.Duration { return time.Since(processStart) }
