//go:build !linux

package serving

import "time"

// sinceBoot returns the time since the start of the process.
func sinceBoot() time.Duration { return sinceProcessStart() }
