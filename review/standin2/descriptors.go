package main

import (
	"fmt"
	"syscall"
)

// raiseDescriptors raises the soft limit of descriptors of this process and those that it starts
// to the hard limit, and returns an error if that is below n.
func raiseDescriptors(n uint64) error {
	var l syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &l); err != nil {
		return err
	}
	if l.Max < n {
		return fmt.Errorf("the case needs %d descriptors, and the hard limit is %d", n, l.Max)
	}
	l.Cur = l.Max
	return syscall.Setrlimit(syscall.RLIMIT_NOFILE, &l)
}
