//go:build !linux

package ingress

import "net"

// unread returns 0, because the number of unread bytes is only known on Linux.
func unread(net.Conn) int64 { return 0 }
