package main

import (
	"io"
	"net"
	"sync"
)

// link is a proxy between the dispatchers and one agent. While it is cut, it resets the open
// connections and refuses new ones, as a cut with the variant "reset" does.
type link struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	conns    map[net.Conn]bool
}

// open accepts connections, for the first time or after a cut.
func (l *link) open() error {
	listener, err := listenRetry(l.addr)
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.listener, l.conns = listener, map[net.Conn]bool{}
	l.mu.Unlock()
	go func() {
		for {
			conn, err := listener.Accept()
			if err != nil {
				return
			}
			go l.serve(conn)
		}
	}()
	return nil
}

// cut resets all connections and refuses new ones until open is called.
func (l *link) cut() {
	l.mu.Lock()
	defer l.mu.Unlock()
	_ = l.listener.Close()
	for c := range l.conns {
		reset(c)
	}
}

func (l *link) serve(from net.Conn) {
	to, err := net.Dial("tcp", l.target)
	if err != nil {
		reset(from)
		return
	}
	l.mu.Lock()
	l.conns[from], l.conns[to] = true, true
	l.mu.Unlock()
	var wg sync.WaitGroup
	forward := func(a, b net.Conn) {
		_, _ = io.Copy(a, b)
		_ = a.Close()
		_ = b.Close()
	}
	wg.Go(func() { forward(to, from) })
	wg.Go(func() { forward(from, to) })
	wg.Wait()
	l.mu.Lock()
	delete(l.conns, from)
	delete(l.conns, to)
	l.mu.Unlock()
}

// reset closes a connection with a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
