//go:build unix

package gateway

import (
	"syscall"
	"time"
)

// processorTime returns the processor time that this process has used, 0 if it is unknown.
func processorTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
