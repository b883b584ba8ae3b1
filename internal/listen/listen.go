// Package listen opens listening sockets.
package listen

import (
	"context"
	"net"
	"syscall"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// backlog is the number of connections that wait to be accepted. What their clients have sent
// counts as memory of the process, so it is less than the thousands that the kernel permits.
const backlog = 512

// TCP opens a listening socket at an IP:port. Its connections start with a receive buffer of this
// size, which bounds what a client can send before the process reads it. The kernel would let the
// buffer of a fast connection grow to megabytes, which count as memory of the process.
func TCP(addr string, receiveBufferBytes int) (*net.TCPListener, error) {
	config := net.ListenConfig{Control: func(_, _ string, raw syscall.RawConn) error {
		return control(raw, func(fd int) error {
			return unix.SetsockoptInt(fd, unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
	}}
	l, err := config.Listen(context.Background(), "tcp", addr)
	if err != nil {
		return nil, err
	}
	tcp := l.(*net.TCPListener)
	raw, err := tcp.SyscallConn()
	if err == nil {
		err = control(raw, func(fd int) error { return unix.Listen(fd, backlog) })
	}
	if err != nil {
		_ = tcp.Close()
		return nil, errors.Wrap(err, "set the backlog")
	}
	return tcp, nil
}

// control calls f with the descriptor of a socket.
func control(raw syscall.RawConn, f func(fd int) error) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) { err = f(int(fd)) }); controlErr != nil {
		return controlErr
	}
	return err
}
