package httpserver

import (
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sys/unix"
)

// The planned stop of a server, for clients that keep using open connections:
//
//   - StartDraining makes every answer close its connection. New connections and requests are
//     still accepted.
//   - AwaitDrained waits until no connection is left.
//   - Retire closes the listening socket, and the connections that are still idle with an answer
//     that says so.
//
// http.Server.Shutdown closes connections on which a request is in the socket's buffer, or has
// been read but not processed. Its client gets no answer.

// refusal is what a client receives on an idle connection before the server closes it. A client that
// has sent a request at the same time takes it for the answer; the server processes no request of the
// connection after it, so this answer is true.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nConnection: close\r\nRetry-After: 1\r\nContent-Length: 0\r\n\r\n"

// drainPoll is how often the server looks for clients that the kernel has accepted. No event
// reports that there are none left.
const drainPoll = time.Millisecond

// drainer tracks the connections of a server.
type drainer struct {
	listener *net.TCPListener
	mu       sync.Mutex
	conns    map[*trackedConn]struct{}
	// draining is set by StartDraining, and retiring by Retire.
	draining, retiring bool
	// changed gets a value after a connection was closed.
	changed chan struct{}
	// accepted is closed when the server accepts no more connections.
	accepted     chan struct{}
	acceptedOnce sync.Once
}

func newDrainer(l *net.TCPListener) *drainer {
	return &drainer{
		listener: l, conns: make(map[*trackedConn]struct{}), changed: make(chan struct{}, 1), accepted: make(chan struct{}),
	}
}

// trackedListener adds the connections that it accepts to a drainer.
type trackedListener struct {
	net.Listener
	d *drainer
}

// Accept implements net.Listener. After Retire it returns http.ErrServerClosed.
func (l trackedListener) Accept() (net.Conn, error) {
	inner, err := l.Listener.Accept()
	if errors.Is(err, net.ErrClosed) {
		l.d.acceptedOnce.Do(func() { close(l.d.accepted) })
		return nil, http.ErrServerClosed
	}
	if err != nil {
		return nil, err
	}
	c := &trackedConn{Conn: inner, d: l.d}
	l.d.mu.Lock()
	defer l.d.mu.Unlock()
	l.d.conns[c] = struct{}{}
	if l.d.retiring {
		c.retireIfIdle()
	}
	return c, nil
}

// trackedConn is a connection of which the server knows whether it is idle: whether no byte of a
// request has been read since the last answer. drainer.mu guards busy and retired.
type trackedConn struct {
	net.Conn
	d *drainer
	// busy is set from the first byte of a request to the end of its answer.
	busy bool
	// retired is set once refusal has been sent. No further request is processed.
	retired   bool
	closeOnce sync.Once
}

// Read implements net.Conn. On a retired connection it returns io.EOF and discards what the
// client has sent.
func (c *trackedConn) Read(p []byte) (int, error) {
	if c.isRetired() {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p)
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	if c.retired {
		return 0, io.EOF
	}
	c.busy = c.busy || n > 0
	return n, err
}

// Close implements net.Conn. The client of a retired connection may still send: if the server
// closed the socket with unread data, the client's system could discard the refusal. So the
// socket is closed when the client has closed its end, or with the server.
func (c *trackedConn) Close() error {
	if !c.isRetired() {
		return c.closeSocket()
	}
	go func() {
		_ = c.SetReadDeadline(time.Time{})
		_, _ = io.Copy(io.Discard, c.Conn)
		_ = c.closeSocket()
	}()
	return nil
}

func (c *trackedConn) isRetired() bool {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	return c.retired
}

func (c *trackedConn) closeSocket() error {
	var err error
	c.closeOnce.Do(func() {
		err = c.Conn.Close()
		c.d.mu.Lock()
		defer c.d.mu.Unlock()
		delete(c.d.conns, c)
		select {
		case c.d.changed <- struct{}{}:
		default:
		}
	})
	return err
}

// retireIfIdle refuses further requests if the connection is idle. The caller holds drainer.mu,
// so no byte of a request is read meanwhile.
func (c *trackedConn) retireIfIdle() {
	if c.busy || c.retired {
		return
	}
	c.retired = true
	// Nothing else is in the socket's send buffer, so the write does not wait.
	_ = c.SetWriteDeadline(time.Now().Add(time.Second))
	_, _ = io.WriteString(c.Conn, refusal)
	_ = c.SetReadDeadline(time.Unix(1, 0)) // Ends a Read that waits.
}

// stateChanged implements http.Server.ConnState.
func (d *drainer) stateChanged(nc net.Conn, state http.ConnState) {
	c, ok := nc.(*trackedConn)
	if !ok || state != http.StateIdle {
		return
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	c.busy = false
	if d.retiring {
		c.retireIfIdle()
	}
}

// connKey is the key of the context's value that holds the connection of a request.
type connKey struct{}

// NetConn returns the connection below this one.
func (c *trackedConn) NetConn() net.Conn { return c.Conn }

// wrap returns a handler whose answers close their connections once the server drains. It
// processes no request of a retired connection; there can be one if the client sent it before
// the answer to the previous one.
func (d *drainer) wrap(handler http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(*trackedConn); ok && !c.begin() {
			panic(http.ErrAbortHandler)
		}
		cw := &closingWriter{ResponseWriter: w, d: d}
		handler.ServeHTTP(cw, r)
		cw.setClose()
	})
}

// begin marks the connection as busy, unless it is retired.
func (c *trackedConn) begin() bool {
	c.d.mu.Lock()
	defer c.d.mu.Unlock()
	c.busy = !c.retired
	return c.busy
}

// closingWriter adds "Connection: close" to an answer that is written while the server drains.
type closingWriter struct {
	http.ResponseWriter
	d       *drainer
	written bool
}

func (w *closingWriter) setClose() {
	if w.written {
		return
	}
	w.d.mu.Lock()
	defer w.d.mu.Unlock()
	if w.d.draining {
		w.Header().Set("Connection", "close")
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *closingWriter) WriteHeader(status int) {
	w.setClose()
	w.written = w.written || status >= http.StatusOK
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *closingWriter) Write(p []byte) (int, error) {
	w.setClose()
	w.written = true
	return w.ResponseWriter.Write(p)
}

// Unwrap supports http.ResponseController.
func (w *closingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

// StartDraining makes every later answer close its connection.
func (s *Server) StartDraining() {
	s.drainer.mu.Lock()
	defer s.drainer.mu.Unlock()
	s.drainer.draining = true
}

// AwaitDrained waits until there is no connection, or until ctx ends.
func (s *Server) AwaitDrained(ctx context.Context) error {
	return s.drainer.await(ctx, func(open int) bool { return open == 0 && !s.drainer.hasPending() })
}

// Retire closes the listening socket after it has accepted the clients that have connected. It
// answers each idle connection with a refusal that closes it. Then it waits until no connection
// is left, or until ctx ends. It returns the error of ctx if a request is still unanswered then;
// clients may keep refused connections open.
func (s *Server) Retire(ctx context.Context) error {
	d := s.drainer
	d.rejectConnections()
	d.mu.Lock()
	d.retiring = true
	for c := range d.conns {
		c.retireIfIdle()
	}
	d.mu.Unlock()
	err := d.await(ctx, func(int) bool { return !d.hasPending() })
	_ = s.listener.Close()
	if err != nil {
		return err
	}
	select {
	case <-d.accepted:
	case <-ctx.Done():
		return ctx.Err()
	}
	if err := d.await(ctx, func(open int) bool { return open == 0 }); err != nil && d.hasUnanswered() {
		return err
	}
	return nil
}

// hasUnanswered reports whether there is a connection that is not retired.
func (d *drainer) hasUnanswered() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	for c := range d.conns {
		if !c.retired {
			return true
		}
	}
	return false
}

// await waits until done returns true for the number of open connections.
func (d *drainer) await(ctx context.Context, done func(open int) bool) error {
	ticker := time.NewTicker(drainPoll)
	defer ticker.Stop()
	for {
		d.mu.Lock()
		open := len(d.conns)
		d.mu.Unlock()
		if done(open) {
			return nil
		}
		var poll <-chan time.Time
		if open == 0 || d.isRetiring() {
			poll = ticker.C
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-d.changed:
		case <-poll:
		}
	}
}

func (d *drainer) isRetiring() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retiring
}

// hasPending reports whether a client has connected whose connection was not accepted.
func (d *drainer) hasPending() bool {
	pending := false
	d.control(func(fd int) {
		poll := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}
		n, err := unix.Poll(poll, 0)
		pending = err == nil && n > 0 && poll[0].Revents&unix.POLLIN != 0
	})
	return pending
}

// rejectConnections makes the kernel drop the packets of new clients. A client that connected
// between the last accept and the close of the listening socket would get no answer to its
// request. A client whose packets are dropped tries again, and is then refused.
func (d *drainer) rejectConnections() {
	d.control(func(fd int) {
		const dropAll = unix.BPF_RET | unix.BPF_K
		_ = unix.SetsockoptSockFprog(fd, unix.SOL_SOCKET, unix.SO_ATTACH_FILTER,
			&unix.SockFprog{Len: 1, Filter: &unix.SockFilter{Code: dropAll}})
	})
}

// control calls f with the file descriptor of the listening socket, unless it is closed.
func (d *drainer) control(f func(fd int)) {
	raw, err := d.listener.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { f(int(fd)) })
}

// closeAll closes all sockets.
func (d *drainer) closeAll() {
	d.mu.Lock()
	open := make([]*trackedConn, 0, len(d.conns))
	for c := range d.conns {
		open = append(open, c)
	}
	d.mu.Unlock()
	for _, c := range open {
		_ = c.closeSocket()
	}
}
