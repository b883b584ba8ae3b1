package soak

import (
	"context"
	"io"
	"net"
	"sync"
	"time"
)

const (
	// proxyDial bounds a connection attempt over loopback.
	proxyDial = time.Second
	// proxyBuffer is the largest chunk that a proxy passes on at once.
	proxyBuffer = 32 << 10
	// holdPause is the pause between two looks of a held chunk at the faults.
	holdPause = 5 * time.Millisecond
)

// LinkFaults disturbs a link. The zero value passes everything.
type LinkFaults struct {
	// Delay is added to every chunk.
	Delay time.Duration
	// HoldThere and HoldBack hold what goes to the target, or comes from it, until the
	// fault ends.
	HoldThere, HoldBack bool
}

// link is a TCP proxy between two processes.
type link struct {
	target   string
	listener net.Listener

	mu     sync.Mutex
	faults LinkFaults
	conns  map[*passage]bool
	closed bool
}

// passage is one proxied connection.
type passage struct {
	near, far net.Conn
	// silent is set for good: nothing passes any more, and nothing is closed.
	silent bool
}

func newLink(listen, target string) (*link, error) {
	l, err := net.Listen("tcp", listen)
	if err != nil {
		return nil, err
	}
	k := &link{target: target, listener: l, conns: map[*passage]bool{}}
	go k.accept()
	return k, nil
}

func (k *link) addr() string { return k.listener.Addr().String() }

func (k *link) accept() {
	for {
		conn, err := k.listener.Accept()
		if err != nil {
			return
		}
		go k.serve(conn)
	}
}

// held waits while a direction is held. It reports false when the link is closed or
// the connection silenced.
func (k *link) held(p *passage, there bool) bool {
	for {
		k.mu.Lock()
		f, done := k.faults, k.closed || p != nil && p.silent
		k.mu.Unlock()
		if done {
			return false
		}
		if there && !f.HoldThere || !there && !f.HoldBack {
			if f.Delay > 0 {
				time.Sleep(f.Delay)
			}
			return true
		}
		time.Sleep(holdPause)
	}
}

func (k *link) serve(near net.Conn) {
	if !k.held(nil, true) {
		_ = near.Close()
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), proxyDial)
	defer cancel()
	far, err := (&net.Dialer{}).DialContext(ctx, "tcp", k.target)
	if err != nil {
		reset(near)
		return
	}
	p := &passage{near: near, far: far}
	k.mu.Lock()
	k.conns[p] = true
	k.mu.Unlock()
	var wg sync.WaitGroup
	wg.Go(func() { k.pass(p, far, near, true) })
	wg.Go(func() { k.pass(p, near, far, false) })
	wg.Wait()
	k.mu.Lock()
	delete(k.conns, p)
	k.mu.Unlock()
}

// pass copies one direction until it ends; then both ends are closed, unless the
// connection has been silenced.
func (k *link) pass(p *passage, to, from net.Conn, there bool) {
	buf := make([]byte, proxyBuffer)
	for {
		n, err := from.Read(buf)
		if n > 0 {
			if !k.held(p, there) {
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
	silent := p.silent
	k.mu.Unlock()
	if silent {
		_, _ = io.Copy(io.Discard, from)
	}
	_ = p.near.Close()
	_ = p.far.Close()
}

// disturb replaces the faults.
func (k *link) disturb(f LinkFaults) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.faults = f
}

// resetAll resets the open connections.
func (k *link) resetAll() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		reset(p.near)
		reset(p.far)
	}
}

// silence lets nothing pass on the open connections any more. New ones work.
func (k *link) silence() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for p := range k.conns {
		p.silent = true
	}
}

func (k *link) close() {
	_ = k.listener.Close()
	k.mu.Lock()
	k.closed = true
	k.mu.Unlock()
	k.resetAll()
}

// reset closes a connection so that its peer sees a reset.
func reset(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}
