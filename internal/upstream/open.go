package upstream

import (
	"net"
	"syscall"
)

// isOpen reports whether an idle connection is still open and has no unread bytes, as
// far as this host knows. Unexpected bytes make the connection as unusable as an end
// of stream.
func isOpen(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = control.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = err == syscall.EAGAIN
		return true
	})
	return err == nil && open
}
