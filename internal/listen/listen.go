// Package listen opens listening sockets.
package listen

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// TCP opens a listening socket at an IP:port. Its connections start with a receive buffer of this
// size, which bounds what a client can send before the process reads it. The kernel would let the
// buffer of a fast connection grow to megabytes, which count as memory of the process.
func TCP(addr string, receiveBufferBytes int) (net.Listener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		var err error
		if controlErr := raw.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		}); controlErr != nil {
			return controlErr
		}
		return err
	}}
	return config.Listen(context.Background(), "tcp", addr)
}
