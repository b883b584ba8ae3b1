package upstreamcall

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
)

// Errors of a request that was stopped before its first byte.
var (
	errLapsed = errors.New("the permission to start lapsed before the request was sent")
	errShut   = errors.New("the request was given up before it was sent")
)

// States of a gate.
const (
	gateWaiting int32 = iota
	gateOpen
	gateShut
)

// gate stands before the first byte of one request. It decides once, whichever
// goroutine comes first: open, and the upstream may get the request, or shut,
// and it never will.
type gate struct {
	state    atomic.Int32
	notAfter time.Duration
	mono     func() time.Duration
}

// pass opens the gate unless it is shut or the time is up.
func (g *gate) pass() error {
	if g.state.Load() == gateOpen {
		return nil
	}
	if g.mono() > g.notAfter && g.shut() {
		return errLapsed
	}
	if g.state.CompareAndSwap(gateWaiting, gateOpen) || g.state.Load() == gateOpen {
		return nil
	}
	return errShut
}

// shut reports whether the gate is shut, shutting it if it is still waiting.
func (g *gate) shut() bool {
	return g.state.CompareAndSwap(gateWaiting, gateShut) || g.state.Load() == gateShut
}

// gatedConn is a connection whose writes pass the gate of the request that uses
// it. A connection carries one request at a time.
type gatedConn struct {
	net.Conn
	gate atomic.Pointer[gate]
}

// Write implements net.Conn.
func (c *gatedConn) Write(b []byte) (int, error) {
	g := c.gate.Load()
	if g == nil {
		return 0, errShut
	}
	if err := g.pass(); err != nil {
		return 0, err
	}
	return c.Conn.Write(b)
}
