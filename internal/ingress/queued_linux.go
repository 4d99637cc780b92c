package ingress

import (
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// queued returns the number of bytes in the kernel's buffers of a connection.
func queued(c net.Conn) int64 {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return 0
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return 0
	}
	n := 0
	err = control.Control(func(fd uintptr) {
		in, _ := unix.IoctlGetInt(int(fd), unix.SIOCINQ)
		out, _ := unix.IoctlGetInt(int(fd), unix.SIOCOUTQ)
		n = in + out
	})
	if err != nil {
		return 0
	}
	return int64(n)
}
