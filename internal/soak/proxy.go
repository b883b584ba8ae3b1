package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// dialTimeout bounds a connection attempt over loopback.
	dialTimeout = time.Second
	// maxChunk is the largest chunk, in bytes, that a proxy forwards at once.
	maxChunk = 32 << 10
	// holdCheckInterval is the time between two checks whether the fault that holds a
	// chunk has ended.
	holdCheckInterval = 5 * time.Millisecond
)

// LinkFaults are the faults of a link. A link without faults, the zero value, forwards
// everything at once.
type LinkFaults struct {
	// Delay delays every chunk.
	Delay time.Duration
	// HoldToTarget holds all data sent to the target until the fault ends, HoldFromTarget
	// all data that the target sends.
	HoldToTarget, HoldFromTarget bool
}

// link is a TCP proxy between a dispatcher and an agent, the target.
type link struct {
	addr, target string

	mu       sync.Mutex
	listener net.Listener
	faults   LinkFaults
	conns    map[*proxiedConn]bool
	closed   bool

	// portMu is held while the port is closed or opened. refusals counts the faults that keep it
	// closed.
	portMu   sync.Mutex
	refusals int
}

// proxiedConn is one proxied connection.
type proxiedConn struct {
	clientConn, targetConn net.Conn
	// blackholed connections forward nothing any more, but stay open. The field is never
	// reset.
	blackholed bool
}

func newLink(listen, target string) (*link, error) {
	k := &link{addr: listen, target: target, conns: map[*proxiedConn]bool{}}
	return k, k.listen()
}

// listen opens the port.
func (k *link) listen() error {
	l, err := listenWithRetry(k.addr)
	if err != nil {
		return err
	}
	k.mu.Lock()
	k.listener = l
	k.mu.Unlock()
	go k.acceptLoop(l)
	return nil
}

// refuse closes the port and resets all connections, until open is called as often.
func (k *link) refuse() {
	k.portMu.Lock()
	defer k.portMu.Unlock()
	k.refusals++
	k.mu.Lock()
	l := k.listener
	k.mu.Unlock()
	_ = l.Close()
	k.resetAll()
}

// open ends a call of refuse.
func (k *link) open() error {
	k.portMu.Lock()
	defer k.portMu.Unlock()
	k.refusals--
	if k.refusals > 0 {
		return nil
	}
	return k.listen()
}

func (k *link) acceptLoop(l net.Listener) {
	for {
		conn, err := l.Accept()
		if err != nil {
			return
		}
		go k.serve(conn)
	}
}

// waitWhileHeld waits while faults hold or delay data in one direction. It reports false if
// the link is closed or the connection is blackholed. p is nil for a new connection.
func (k *link) waitWhileHeld(p *proxiedConn, toTarget bool) bool {
	for {
		k.mu.Lock()
		f, done := k.faults, k.closed || p != nil && p.blackholed
		k.mu.Unlock()
		if done {
			return false
		}
		if toTarget && !f.HoldToTarget || !toTarget && !f.HoldFromTarget {
			if f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			return true
		}
		time.Sleep(holdCheckInterval)
	}
}

// serve connects an accepted connection to the target and forwards in both directions.
func (k *link) serve(clientConn net.Conn) {
	if !k.waitWhileHeld(nil, true) {
		_ = clientConn.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	targetConn, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.target)
	if err != nil {
		reset(clientConn)
		return
	}
	p := &proxiedConn{clientConn: clientConn, targetConn: targetConn}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.copyDirection(p, targetConn, clientConn, true) })
	wg.Go(func() { k.copyDirection(p, clientConn, targetConn, false) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// copyDirection forwards data from one connection to the other until one of them fails or
// ends, and then closes both. If they are blackholed, it first discards all data until the
// sender closes.
func (k *link) copyDirection(p *proxiedConn, to, from net.Conn, toTarget bool) {
	buf := make([]byte, maxChunk)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !k.waitWhileHeld(p, toTarget) {
				break
			}
			if _, err := to.Write(buf[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	k.mu.Lock()
	blackholed := p.blackholed
	k.mu.Unlock()
	if blackholed {
		_, _ = io.Copy(io.Discard, from)
	}
	_ = p.clientConn.Close()
	_ = p.targetConn.Close()
}

// setFaults replaces the faults.
func (k *link) setFaults(f LinkFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// resetAll resets all open connections.
func (k *link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		reset(p.clientConn)
		reset(p.targetConn)
	}
}

// blackholeAll stops all forwarding on the connections that are open now, without closing
// them. New connections work.
func (k *link) blackholeAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.blackholed = true
	}
}

// close closes the listener and resets all connections.
func (k *link) close() {
	k.mu.Lock()
	k.closed = true
	l := k.listener
	k.mu.Unlock()
	_ = l.Close()
	k.resetAll()
}

// reset closes a connection with a TCP reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
