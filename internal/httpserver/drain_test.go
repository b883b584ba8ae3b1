package httpserver

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"
)

// gate stands for a slow host: while it is held, what the kernel has accepted or read does not
// reach the server.
type gate struct {
	mu   sync.Mutex
	open chan struct{}
}

func newGate() *gate {
	g := &gate{open: make(chan struct{})}
	g.release()
	return g
}

func (g *gate) hold() {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.open = make(chan struct{})
}

func (g *gate) release() { close(g.open) }

func (g *gate) pass() {
	g.mu.Lock()
	open := g.open
	g.mu.Unlock()
	<-open
}

type gatedListener struct {
	net.Listener
	g *gate
}

func (l gatedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	l.g.pass()
	return gatedConn{c, l.g}, err
}

type gatedConn struct {
	net.Conn
	g *gate
}

// NetConn returns the connection of the server.
func (c gatedConn) NetConn() net.Conn { return c.Conn }

func (c gatedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.g.pass()
	return n, err
}

// drainBed has a server on a slow host and clients that count what they send and receive.
type drainBed struct {
	t      *testing.T
	s      *Server
	g      *gate
	runErr chan error
}

func newDrainBed(t *testing.T, handler http.HandlerFunc) *drainBed {
	s, err := Listen(Config{Listen: "127.0.0.1:0", Handler: handler, Drainable: true})
	if err != nil {
		t.Fatal(err)
	}
	b := &drainBed{t: t, s: s, g: newGate(), runErr: make(chan error, 1)}
	tracked := s.listener.(trackedListener)
	tracked.Listener = gatedListener{tracked.Listener, b.g}
	s.listener = tracked
	go func() { b.runErr <- s.Run() }()
	t.Cleanup(func() {
		_ = s.Close()
		if err := <-b.runErr; err != nil {
			t.Error(err)
		}
	})
	return b
}

func (b *drainBed) send(c net.Conn) {
	b.t.Helper()
	if _, err := io.WriteString(c, "POST / HTTP/1.1\r\nHost: x\r\nContent-Length: 2\r\n\r\n{}"); err != nil {
		b.t.Fatalf("sending a request: %v", err)
	}
}

// receive returns the status of the answer to a sent request, and whether it closes the
// connection. It fails the test if the connection is closed without an answer.
func (b *drainBed) receive(c net.Conn) (status int, closes bool) {
	b.t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		b.t.Fatalf("connection closed without an answer after a request was sent: %v", err)
	}
	return resp.StatusCode, resp.Close
}

// awaitIdle waits until the server has completed the requests that are answered. If the gate were
// held before, the read that ends with a request would wait for it.
func (b *drainBed) awaitIdle() {
	for idle := false; !idle; time.Sleep(time.Millisecond) {
		b.s.drainer.mu.Lock()
		idle = true
		for c := range b.s.drainer.conns {
			idle = idle && !c.busy
		}
		b.s.drainer.mu.Unlock()
	}
}

// awaitRetired waits until the server has refused further requests on all connections.
func (b *drainBed) awaitRetired() {
	for b.s.drainer.hasUnanswered() || !b.s.drainer.isRetiring() {
		time.Sleep(time.Millisecond)
	}
}

// TestNoRequestIsDroppedByAStop guards against connections that are closed without an answer after
// a request was sent: on a slow host, the server closed connections that it took for idle, since
// it had not read the request yet. The client sends its second request at each moment of the stop.
func TestNoRequestIsDroppedByAStop(t *testing.T) {
	const (
		beforeStop = iota
		whileDraining
		beforeRetirement
		afterRetirement
		moments
	)
	for moment := range moments {
		b := newDrainBed(t, func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusNoContent) })
		c := dial(t, b.s)
		b.send(c)
		if status, closes := b.receive(c); status != http.StatusNoContent || closes {
			t.Fatalf("before the stop: got status %d, closes %v", status, closes)
		}
		b.awaitIdle()
		sendAt := func(at int) {
			if at == moment {
				b.send(c)
			}
		}
		b.g.hold()
		sendAt(beforeStop)
		b.s.StartDraining()
		sendAt(whileDraining)
		if moment <= whileDraining {
			b.g.release() // The server reads the request before it retires the connection.
			if status, closes := b.receive(c); status != http.StatusNoContent || !closes {
				t.Errorf("moment %d: got status %d, closes %v, want 204 and a closed connection", moment, status, closes)
			}
			if err := b.s.AwaitDrained(t.Context()); err != nil {
				t.Error(err)
			}
		}
		sendAt(beforeRetirement)
		retired := make(chan error, 1)
		go func() { retired <- b.s.Retire(t.Context()) }()
		b.awaitRetired()
		sendAt(afterRetirement)
		if moment > whileDraining {
			b.g.release()
			if status, closes := b.receive(c); status != http.StatusServiceUnavailable || !closes {
				t.Errorf("moment %d: got status %d, closes %v, want 503 and a closed connection", moment, status, closes)
			}
		}
		_ = c.Close()
		if err := <-retired; err != nil {
			t.Errorf("moment %d: Retire returned %v", moment, err)
		}
	}
}

// TestConnectionsAtTheEndOfAStop guards against clients that connect right before the listening
// socket is closed: one connection waits in the kernel, and one was just accepted. The requests that
// are refused must not reach the handler.
func TestConnectionsAtTheEndOfAStop(t *testing.T) {
	b := newDrainBed(t, func(http.ResponseWriter, *http.Request) { t.Error("a refused request reached the handler") })
	b.g.hold()
	var clients []net.Conn
	for range 3 {
		c := dial(t, b.s)
		b.send(c)
		clients = append(clients, c)
	}
	b.s.StartDraining()
	retired := make(chan error, 1)
	go func() { retired <- b.s.Retire(t.Context()) }()
	b.awaitRetired()
	b.g.release()
	for _, c := range clients {
		if status, closes := b.receive(c); status != http.StatusServiceUnavailable || !closes {
			t.Errorf("got status %d, closes %v, want 503 and a closed connection", status, closes)
		}
		_ = c.Close()
	}
	if err := <-retired; err != nil {
		t.Error(err)
	}
	if c, err := net.Dial("tcp", b.s.Addr()); err == nil {
		_ = c.Close()
		t.Error("the listening socket is open after Retire")
	}
}

// TestRequestInFlightDuringAStop guards against an answer that leaves its connection open since its
// request arrived before the stop, and against a connection that is retired while its request is
// processed.
func TestRequestInFlightDuringAStop(t *testing.T) {
	entered, finish := make(chan struct{}), make(chan struct{})
	b := newDrainBed(t, func(w http.ResponseWriter, _ *http.Request) {
		close(entered)
		<-finish
		_, _ = io.WriteString(w, "done")
	})
	c := dial(t, b.s)
	b.send(c)
	<-entered
	b.s.StartDraining()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	if err := b.s.Retire(ctx); err == nil {
		t.Error("Retire returned no error although a request is unanswered")
	}
	close(finish)
	if status, closes := b.receive(c); status != http.StatusOK || !closes {
		t.Errorf("got status %d, closes %v, want 200 and a closed connection", status, closes)
	}
}
