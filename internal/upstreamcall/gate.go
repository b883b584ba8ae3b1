package upstreamcall

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a request that was cancelled before its first byte was sent.
var (
	errTooLate   = errors.New("the permission to start lapsed before the request was sent")
	errCancelled = errors.New("the request was given up before it was sent")
)

// States of a gate.
const (
	gateWaiting int32 = iota
	gateOpen
	gateClosed
)

// gate decides whether the first byte of one request may be sent. Several goroutines
// may race to open or to close it, and the first one decides for good. Once the gate is
// open, the upstream may receive the request; once it is closed, the upstream never does.
type gate struct {
	state    atomic.Int32
	notAfter time.Duration
	mono     func() time.Duration
}

// pass opens the gate unless it is closed or notAfter has passed.
func (g *gate) pass() error {
	if g.state.Load() == gateOpen {
		return nil
	}
	if g.mono() > g.notAfter && g.close() {
		return errTooLate
	}
	if g.state.CompareAndSwap(gateWaiting, gateOpen) || g.state.Load() == gateOpen {
		return nil
	}
	return errCancelled
}

// close closes the gate if it is still waiting, and reports whether it is closed.
func (g *gate) close() bool {
	return g.state.CompareAndSwap(gateWaiting, gateClosed) || g.state.Load() == gateClosed
}

// gatedConn is a connection that sends bytes only if the gate of the current request
// allows it. A connection carries one request at a time.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errCancelled
	}
	if err := g.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
