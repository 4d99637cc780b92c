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

// hasEnded reports whether the engine has ended a connection, which may be in use. If there are
// unread bytes, the end behind them is not seen.
func hasEnded(c net.Conn) bool {
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	ended := true
	// Unlike Read, Control doesn't wait for a reader of the connection. It fails if this process
	// has closed the connection.
	_ = control.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		ended = err == nil && n == 0 || err != nil && err != syscall.EAGAIN && err != syscall.EINTR
	})
	return ended
}
