//go:build !unix

package gateway

import "time"

// processorTime returns 0, because the processor time of the process is unknown.
func processorTime() time.Duration { return 0 }
