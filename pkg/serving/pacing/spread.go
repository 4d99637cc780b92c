package pacing

import "time"

// maxSpread is the share of a wait by which it is prolonged at most.
const maxSpread = 0.25

// Spread returns the time after which one of many callers that were refused at the same
// moment should come again, so that they don't return at the same moment as well. d is the
// wait that all of them need, position a random number from 0 to 1.
func Spread(d time.Duration, position float64) time.Duration {
	if d <= 0 {
		return d
	}
	return d + time.Duration(maxSpread*min(1, max(0, position))*float64(d))
}
