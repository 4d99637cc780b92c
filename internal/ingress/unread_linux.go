package ingress

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// unread returns the number of bytes that have arrived on a connection and were not read.
func unread(c net.Conn) int64 {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	if err := control.Control(func(fd uintptr) { n, _ = unix.IoctlGetInt(int(fd), unix.SIOCINQ) }); err != nil {
		return 0
	}
	return int64(n)
}
